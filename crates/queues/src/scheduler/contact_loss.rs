//! How contact with a worker was lost, as evidence for what ended it.
//!
//! A process that ends breaks its connections at once, so a task that crashes its worker does so
//! shortly before the first connection breaks. A worker that stops answering first was cut off or
//! stood still, and a crash that follows has a cause that its leader cannot know. When contact with
//! several workers breaks in the same moment, and no few jobs have just started tasks on all of
//! them, the cause is not a task either.

use std::collections::VecDeque;

use sapphirepost_types::Millis;
use smallvec::SmallVec;

use crate::ids::JobKey;
use crate::scheduler::Scheduler;
use crate::scheduler::messages::WorkerRequest;
use crate::scheduler::messages::WorkerRequestError;
use crate::scheduler::messages::WorkerRequestKind;
use crate::scheduler::workers::WorkerIndex;

/// A worker has been silent if a request has had no answer for this long when a connection breaks.
/// Starts and stops are answered at once.
const SILENT_MS: u64 = 100;
/// Contacts that break within this time of each other break in the same moment.
const SAME_MOMENT_MS: u64 = 50;
/// Contacts that break in the same moment have an outer cause if more jobs than this are needed to
/// explain them all. A worker on which no task has just started counts as a job.
const JOBS_MAX: usize = 3;
/// How long a loss of contact is kept for comparison with others.
const KEPT_MS: u64 = 1_000;

/// What has happened since the last reply of a worker.
#[derive(Clone, Copy, Debug, Default)]
pub struct ContactLoss {
    broken: Option<Break>,
    /// Since when a request has had no answer that it should have had.
    silent_since: Option<Millis>,
    /// Whether contact with other workers broke in the same moment, for an outer cause.
    has_outer_cause: bool,
}

/// The first connection that broke or was refused.
#[derive(Clone, Copy, Debug)]
struct Break {
    /// When the worker was last known to be there.
    earliest: Millis,
    at: Millis,
}

impl ContactLoss {
    /// Records a request that failed at `now`. `heard_at` is the time of the last reply, and
    /// `is_polled` tells whether a poll is unanswered, whose connection breaks when the process
    /// ends. Returns whether it is the first connection that broke.
    fn record(
        &mut self,
        request: &WorkerRequest,
        error: WorkerRequestError,
        (heard_at, is_polled): (Millis, bool),
        now: Millis,
    ) -> bool {
        let is_refused = error == WorkerRequestError::Refused;
        let is_broken = is_refused || error == WorkerRequestError::Broken;
        let is_held = matches!(request.kind, WorkerRequestKind::Poll { .. }) && is_broken;
        if !is_held && !is_refused {
            let expected = request.sent + held_ms(&request.kind);
            let since = self.silent_since.map_or(expected, |at| at.min(expected));
            self.silent_since = Some(since);
        }
        if !is_broken || self.broken.is_some() {
            return false;
        }
        self.broken = Some(Break {
            earliest: if is_polled { now } else { heard_at },
            at: now,
        });
        true
    }

    /// The earliest time at which the process may have ended; `None` if the worker had been silent
    /// before, or its end has another cause than a task.
    pub fn earliest_end(&self) -> Option<Millis> {
        let broken = self.broken.filter(|_| !self.has_outer_cause)?;
        let was_silent = self
            .silent_since
            .is_some_and(|since| broken.at.since(since) > SILENT_MS);
        (!was_silent).then_some(broken.earliest)
    }
}

/// For how long a worker may hold a request open.
fn held_ms(kind: &WorkerRequestKind) -> u64 {
    match kind {
        WorkerRequestKind::Poll { wait_ms, .. } => *wait_ms,
        _ => 0,
    }
}

/// The contact with a worker that broke.
#[derive(Debug)]
struct Loss {
    worker: WorkerIndex,
    at: Millis,
    /// The jobs with tasks that had just started there.
    jobs: SmallVec<[JobKey; 4]>,
}

/// The contacts that broke a short time ago.
#[derive(Debug, Default)]
pub struct ContactLosses {
    recent: VecDeque<Loss>,
}

impl ContactLosses {
    /// Records a loss. Returns the workers whose contact broke in the same moment, if that has an
    /// outer cause.
    fn record(&mut self, loss: Loss) -> Vec<WorkerIndex> {
        let now = loss.at;
        self.recent.retain(|known| now.since(known.at) <= KEPT_MS);
        self.recent.push_back(loss);
        let recent = self.recent.iter();
        let same: Vec<&Loss> = recent
            .filter(|known| now.since(known.at) <= SAME_MOMENT_MS)
            .collect();
        if jobs_needed(&same) <= JOBS_MAX {
            return Vec::new();
        }
        same.iter().map(|loss| loss.worker).collect()
    }
}

/// The number of jobs that explain these losses, by taking the job with the most of them first.
fn jobs_needed(losses: &[&Loss]) -> usize {
    let mut left: Vec<&Loss> = losses.to_vec();
    let mut needed = 0;
    while !left.is_empty() {
        let all = left.iter().flat_map(|loss| &loss.jobs);
        let explained = |job: &&JobKey| left.iter().filter(|loss| loss.jobs.contains(job)).count();
        match all.max_by_key(explained).copied() {
            Some(job) => left.retain(|loss| !loss.jobs.contains(&job)),
            None => return needed + left.len(),
        }
        needed += 1;
    }
    needed
}

impl Scheduler {
    /// Records a request to a worker that failed, as evidence for what happens to the worker.
    pub(crate) fn record_contact_loss(
        &mut self,
        index: WorkerIndex,
        request: &WorkerRequest,
        error: WorkerRequestError,
        now: Millis,
    ) {
        let Some(worker) = self.workers.get_mut(index) else {
            return;
        };
        let contact = (worker.lease.heard_at(), worker.poll.is_in_progress());
        if !worker.loss.record(request, error, contact, now) {
            return;
        }
        let suspects = worker.lost_runs().suspects;
        let mut jobs: SmallVec<[JobKey; 4]> = suspects.iter().map(|task| task.step.job).collect();
        jobs.sort_unstable();
        jobs.dedup();
        let loss = Loss {
            worker: index,
            at: now,
            jobs,
        };
        for index in self.contact_losses.record(loss) {
            if let Some(worker) = self.workers.get_mut(index) {
                worker.loss.has_outer_cause = true;
            }
        }
    }
}
