//! The log lines about workers that start again under the same ID.

use sapphirepost_queues::Scheduler;
use sapphirepost_queues::WorkerRecord;
use sapphirepost_queues::scheduler::WorkerReply;
use sapphirepost_queues::scheduler::WorkerRequest;
use sapphirepost_queues::scheduler::WorkerRequestError;
use sapphirepost_queues::scheduler::WorkerRequestKind;
use sapphirepost_types::Incarnation;

/// Logs a report of another incarnation than the one that this leader sends requests to.
pub(crate) fn log_report(scheduler: &Scheduler, record: &WorkerRecord) {
    let known = scheduler.incarnation(&record.id);
    let Some(known) = known.filter(|known| *known != record.incarnation) else {
        return;
    };
    let event = if record.incarnation > known {
        "another incarnation of the worker reports"
    } else {
        "late report of a former incarnation"
    };
    log::info!(
        worker = &*record.id, known:%, incarnation:% = record.incarnation,
        sequence = record.sequence; "{event}"
    );
}

/// Logs a sign-off that does not end the present incarnation.
pub(crate) fn log_late_sign_off(worker: &str, incarnation: Option<Incarnation>) {
    log::info!(worker, incarnation:?; "late sign-off of a former incarnation");
}

/// Logs a poll that was answered by another incarnation than the one that this leader sends
/// requests to, with the ends that the worker lists and the number up to which the poll has
/// acknowledged its ends.
pub(crate) fn log_reply(
    scheduler: &Scheduler,
    request: &WorkerRequest,
    result: &Result<WorkerReply, WorkerRequestError>,
) {
    let WorkerRequestKind::Poll { acknowledged, .. } = request.kind else {
        return;
    };
    let Ok(WorkerReply::Polled(reply)) = result else {
        return;
    };
    let known = scheduler.incarnation(&request.worker);
    let Some(known) = known.filter(|known| *known != reply.incarnation) else {
        return;
    };
    log::info!(
        worker = &*request.worker, known:%, incarnation:% = reply.incarnation, acknowledged,
        ends = reply.ends.len(), running = reply.running.len();
        "another incarnation of the worker answers"
    );
}
