//! Decides how many tasks of a step wait for room near their data.
//!
//! A run that is remote from its data takes longer by a known factor. Waiting for a local worker
//! pays off if the local run is expected to end before a remote one that starts now. Expected ends
//! are imprecise and may move on for ever, so all waits of a step together are bounded by the time
//! that a local run saves, counted from when a task of the step could first have started remotely.
//! A step that can meet its deadline remotely waits no longer than it still can.

use sapphirepost_types::Millis;

/// Room for one task that is expected near its data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LocalSlot {
    /// When the room is expected to be free.
    pub at: Millis,
    /// How long the task is expected to run there.
    pub run_ms: u64,
}

/// What the decision depends on.
#[derive(Clone, Debug)]
pub struct LocalityChoice<'a> {
    /// When a task of the step could first have started remotely.
    pub since: Millis,
    /// How much longer a run takes on a worker of usual speed if it is remote.
    pub saving_ms: u64,
    /// How long a run takes if it starts remotely now.
    pub remote_ms: u64,
    /// The time from the end of the run to the end of the job.
    pub rest_ms: u64,
    /// When the job should be done.
    pub deadline: Millis,
    /// The number of tasks that have no local room now.
    pub tasks: usize,
    /// The expected local room in the order of its times.
    pub slots: &'a [LocalSlot],
    /// The number of these slots that steps before this one wait for.
    pub claimed: usize,
}

/// How many tasks wait, and how long at most; the others start remotely as far as there is room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LocalityDecision {
    /// The number of tasks that wait.
    pub waiting: usize,
    /// The time at which they wait no longer.
    pub until: Millis,
    /// Whether a further task would wait if there were no bound.
    pub is_bounded: bool,
}

impl LocalityChoice<'_> {
    /// Decides for the present time.
    pub fn decide(&self, now: Millis) -> LocalityDecision {
        let until = self.bound(now);
        let remote_end = now + self.remote_ms;
        let pays_off = |slot: &&LocalSlot| slot.at + slot.run_ms < remote_end;
        let slots = self.slots.iter().skip(self.claimed);
        let useful = slots.filter(pays_off).take(self.tasks);
        let in_time = useful.clone().filter(|slot| now < until && slot.at < until);
        let waiting = in_time.count();
        LocalityDecision {
            waiting,
            until,
            is_bounded: waiting < useful.count(),
        }
    }

    /// The time at which no task waits any longer.
    fn bound(&self, now: Millis) -> Millis {
        let bound = self.since + self.saving_ms;
        let remote_path_ms = self.remote_ms + self.rest_ms;
        if now + remote_path_ms > self.deadline {
            // It is late remotely in any case.
            return bound;
        }
        let last_start = Millis(self.deadline.0.saturating_sub(remote_path_ms));
        bound.min(last_start)
    }
}
