//! Reads of job phases that a follower answers from its applied state.
//!
//! A follower answers while its state is known to be at most [`AGE_MAX_MS`] old. To know this, it
//! notes the time, asks the leader up to which entry it has applied the log, and waits until it has
//! applied that entry itself: its state then is no older than the noted time. The age counts on the
//! follower's own clock from before the question, so neither a slow network nor a pause of a process
//! makes a state look newer than it is. Whatever the state does not answer goes to the leader.

use std::collections::VecDeque;

use sapphirepost_consensus::Index;
use sapphirepost_consensus::Role;
use sapphirepost_process::RpcError;
use sapphirepost_process::rpc::Responder;
use sapphirepost_protocol::queue::CallerAction;
use sapphirepost_protocol::queue::CallerRequest;
use sapphirepost_queues::JobKey;
use sapphirepost_queues::JobPhase;
use sapphirepost_types::Millis;

use crate::core::Core;

/// The oldest state from which reads are answered. A caller whose requests go to several members
/// sees a change undone for at most this time.
const AGE_MAX_MS: u64 = 200;
/// The leader is asked only while reads come: for this long after the last one.
const DEMAND_MS: u64 = 1_000;

/// An answer of the leader that this member has not reached yet.
#[derive(Clone, Copy, Debug)]
struct LeaderIndex {
    index: Index,
    asked: Millis,
}

/// How old the applied state of a follower is.
#[derive(Debug, Default)]
pub(crate) struct StateAge {
    ahead: VecDeque<LeaderIndex>,
    /// The applied state is no older than this.
    current_at: Option<Millis>,
    last_read: Option<Millis>,
}

impl StateAge {
    /// Records that the leader had applied the log up to `index` at some time after `asked`.
    pub(crate) fn record(&mut self, index: Index, asked: Millis) {
        self.ahead.push_back(LeaderIndex { index, asked });
    }

    /// Whether the state, which is applied up to `applied`, is recent.
    fn is_recent(&mut self, applied: Index, now: Millis) -> bool {
        let reached = self.ahead.iter().filter(|known| known.index <= applied);
        let reached = reached.map(|known| known.asked).max();
        self.current_at = self.current_at.max(reached);
        self.ahead
            .retain(|known| known.index > applied && now.since(known.asked) <= AGE_MAX_MS);
        self.current_at
            .is_some_and(|at| now.since(at) <= AGE_MAX_MS)
    }

    fn is_wanted(&self, now: Millis) -> bool {
        let last_read = self.last_read;
        last_read.is_some_and(|at| now.since(at) <= DEMAND_MS)
    }
}

impl Core {
    /// Answers whether the index of the leader is of use now: with the time to record it with, or
    /// with an error.
    pub(crate) fn handle_leader_index_wanted(&mut self, now: Millis, done: Responder<Millis>) {
        // Also drops what has become too old.
        self.state_age.is_recent(self.applied, now);
        if self.node.role() == Role::Leader || !self.state_age.is_wanted(now) {
            return done.send(Err(RpcError::Busy));
        }
        done.send(Ok(now));
    }

    /// The phase of the job that a caller reads, if this member follows, knows the job and has a
    /// recent state.
    pub(crate) fn recent_phase(
        &mut self,
        now: Millis,
        request: &CallerRequest,
    ) -> Option<JobPhase> {
        if request.action != CallerAction::Read || self.node.role() == Role::Leader {
            return None;
        }
        self.state_age.last_read = Some(now);
        if !self.state_age.is_recent(self.applied, now) {
            return None;
        }
        let state = self.state.queues();
        let resolved = state.table()?.resolve(&request.host, &request.path)?;
        let key: JobKey = resolved.rest.parse().ok()?;
        // Only the leader refuses callers: a newer table may allow them.
        let tenant = state
            .table()?
            .authenticate(resolved.queue, request.key.as_ref());
        let tenant = tenant.ok()?;
        // The ID of a job past its retention may soon be that of another job.
        let job = state.job(key).filter(|job| !job.is_past_retention);
        let job = job.filter(|job| job.is_accessible_to(tenant));
        Some(job?.phase)
    }
}
