//! Reports of workers that a follower acknowledges without the leader.
//!
//! Nearly all reports say only that the worker is alive. Such a report needs no decision, so the
//! member that receives it acknowledges it, and relays one to the leader every few seconds. Whatever
//! differs from the applied state goes to the leader at once.

use std::sync::Arc;

use rustc_hash::FxHashMap;
use sapphirepost_process::rpc::Responder;
use sapphirepost_protocol::queue::QueueCall;
use sapphirepost_protocol::queue::QueueReply;
use sapphirepost_queues::WorkerRecord;
use sapphirepost_types::Millis;

use crate::core::Core;

/// How long after a relayed report further ones that change nothing are acknowledged here. The
/// leader removes a silent worker 15 s after its last report, so two relays may fail.
const RELAY_INTERVAL_MS: u64 = 5_000;

/// When the leader last answered a relayed report of each worker.
#[derive(Debug, Default)]
pub(crate) struct RelayedReports {
    answered: FxHashMap<Arc<str>, Millis>,
    /// When outdated entries were last removed.
    cleaned: Millis,
}

impl RelayedReports {
    /// Records that the leader has answered a report of the worker.
    pub(crate) fn record(&mut self, worker: Arc<str>, now: Millis) {
        self.answered.insert(worker, now);
        if now.since(self.cleaned) >= RELAY_INTERVAL_MS {
            self.cleaned = now;
            self.answered
                .retain(|_, at| now.since(*at) < RELAY_INTERVAL_MS);
        }
    }

    fn is_recent(&self, worker: &str, now: Millis) -> bool {
        let answered = self.answered.get(worker);
        answered.is_some_and(|at| now.since(*at) < RELAY_INTERVAL_MS)
    }
}

/// Whether a report says nothing that the known record of the worker does not say. A draining worker
/// counts down the time that it has left, so its reports always say something.
fn is_unchanged(known: &WorkerRecord, reported: &WorkerRecord) -> bool {
    !reported.is_draining
        && reported.incarnation == known.incarnation
        && reported.sequence >= known.sequence
        && reported.is_same_description(known)
}

impl Core {
    /// Answers a call of the program that this member runs in.
    pub(crate) fn handle_local_queue_call(
        &mut self,
        now: Millis,
        call: QueueCall,
        done: Responder<QueueReply>,
    ) {
        if let QueueCall::Report { record, .. } = &call
            && self.may_acknowledge_report(now, record)
        {
            self.queues.metrics.acknowledged_reports.inc();
            return done.send(Ok(QueueReply::Reported));
        }
        self.handle_queue_call(now, call, done);
    }

    /// Whether this member follows a leader that it is in contact with and that knows the worker as
    /// it is reported.
    fn may_acknowledge_report(&self, now: Millis, record: &WorkerRecord) -> bool {
        let contact_max_ms = self.leader_settings.election_timeout_ms;
        let contact_ms = self.node.leader_contact_ms(now);
        contact_ms.is_some_and(|age_ms| age_ms < contact_max_ms)
            && self.relayed_reports.is_recent(&record.id, now)
            && self
                .state
                .queues()
                .worker(&record.id)
                .is_some_and(|known| is_unchanged(&known.record, record))
    }
}
