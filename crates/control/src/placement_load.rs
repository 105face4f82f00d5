//! What the leader's placement rounds do, as a log line at intervals.

use sapphirepost_queues::scheduler::PlacementCounts;

/// Logs the counts of placement of the last `interval_ms`, and the share of new jobs that the leader
/// admits now.
pub(crate) fn log(counts: &PlacementCounts, interval_ms: u64, admitted_permille: u64) {
    let [
        placed,
        not_ready,
        no_room,
        no_permit,
        expired,
        withheld,
        former_run,
        locality_wait,
    ] = counts.attempts;
    let [
        round,
        freed,
        candidate,
        rack,
        request,
        reservation,
        preemption,
        locality,
    ] = counts.visits;
    let [first, further, renewal] = counts.requests;
    let [first_workers, further_workers, renewal_workers] = counts.requested_workers;
    let [placed_checks, failed_checks @ ..] = counts.attempt_checks;
    let failed_checks: u64 = failed_checks.iter().sum();
    log::info!(
        interval_ms, admitted_permille, rounds = counts.rounds, waiting_steps = counts.waiting_steps,
        not_due = counts.not_due, left_out = counts.left_out, placed, not_ready, no_room, no_permit,
        expired_permit = expired, withheld, former_run, urgent_tries = counts.urgent_attempts,
        tasks = counts.tasks, tasks_after_withholding = counts.tasks_after_withholding,
        local_tasks_after_wait = counts.local_tasks_after_wait, remote_tasks = counts.remote_tasks,
        expired_locality_waits = counts.expired_locality_waits, locality_wait,
        placed_checks, failed_checks, round_visits = round,
        freed_visits = freed, candidate_visits = candidate, rack_visits = rack,
        request_visits = request, reservation_visits = reservation,
        preemption_visits = preemption, locality_visits = locality,
        first_requests = first, further_requests = further,
        renewal_requests = renewal, first_workers, further_workers, renewal_workers,
        answers = counts.answers, repeated_answers = counts.repeated_answers,
        permits = counts.permits, renewed_permits = counts.renewed_permits; "placement load"
    );
}
