//! Lasting refusals by the placement policy and lasting rejections by workers.

mod model;

use std::sync::Arc;

use sapphirepost_queues::Queue;
use sapphirepost_queues::scheduler::PermitOutcome;
use sapphirepost_queues::scheduler::PermitRequest;
use sapphirepost_queues::scheduler::RejectReason;
use sapphirepost_types::Millis;

use crate::model::Model;
use crate::model::PolicyFault;
use crate::model::load;
use crate::model::load::Kind;
use crate::model::queue;
use crate::model::with_permits;
use crate::model::worker::ModelWorker;

const REFUSAL_MS: u64 = 4;

fn slow_policy_queue(name: &str) -> Queue {
    let mut queue = with_permits(queue(name, 2, 4.0, 3_000), 480.0, 6.9);
    if let Some(cost) = &mut queue.permits {
        cost.valid_ms = 1_500;
    }
    queue
}

fn workers(count: usize) -> Vec<ModelWorker> {
    let worker = |number| ModelWorker::new(&format!("w{number:03}"), 64, load::need, load::work_ms);
    (0..count).map(worker).collect()
}

fn submit(model: &mut Model, kind: Kind, name: &str, count: u32) {
    let mut spec = load::spec(kind, 1);
    spec.steps[0].count = count;
    spec.steps[0].per_worker_max = Some(1);
    model.submit(load::key(kind, 1), name, spec);
}

fn refuse_until(now: Millis, end_ms: u64) -> Option<(PermitOutcome, u64)> {
    (now.0 < end_ms).then_some((PermitOutcome::Refused, REFUSAL_MS))
}

/// Guards against a gang that never gets fresh permits after the policy refused all requests for a
/// while.
#[test]
fn a_gang_runs_after_the_policy_refused_everything_for_a_while() {
    let policies: [(u64, PolicyFault); 8] = [
        (200, |_, now| refuse_until(now, 200)),
        (300, |_, now| refuse_until(now, 300)),
        (350, |_, now| refuse_until(now, 350)),
        (400, |_, now| refuse_until(now, 400)),
        (600, |_, now| refuse_until(now, 600)),
        (1_000, |_, now| refuse_until(now, 1_000)),
        (2_000, |_, now| refuse_until(now, 2_000)),
        (3_000, |_, now| refuse_until(now, 3_000)),
    ];
    let mut stuck = Vec::new();
    for (refusing_ms, policy) in policies {
        let mut model = Model::new(vec![slow_policy_queue("gang")], workers(60), 4);
        model.policy_fault = Some(policy);
        model.run(50);
        submit(&mut model, Kind::Gang, "gang", 12);
        model.run(60_000);
        if model.jobs.values().any(|job| job.ended.is_none()) {
            stuck.push(refusing_ms);
        }
    }
    assert!(stuck.is_empty(), "not done after refusals for {stuck:?} ms");
}

/// Guards against a step that renews the permit of a worker which the policy now refuses, and
/// requests permits on no other worker.
#[test]
fn a_step_requests_other_workers_when_renewals_are_refused() {
    let mut model = Model::new(vec![slow_policy_queue("tally")], workers(40), 4);
    model.policy_fault = Some(|request, now| {
        let first = |worker: &Arc<str>| &**worker == "w000";
        let is_refused = now.0 > 3_000 && request.workers.iter().any(first);
        is_refused.then_some((PermitOutcome::Refused, REFUSAL_MS))
    });
    renew_after_pause(&mut model);
}

/// Guards against a step that waits for a worker which the policy allowed once and denies now.
#[test]
fn a_step_requests_other_workers_when_renewals_are_denied() {
    let mut model = Model::new(vec![slow_policy_queue("tally")], workers(40), 4);
    model.policy_fault = Some(|request, now| {
        let only = request.workers.len() == 1 && &*request.workers[0] == "w000";
        (now.0 > 3_000 && only).then_some((PermitOutcome::Allowed(Vec::new()), 480))
    });
    renew_after_pause(&mut model);
}

/// Runs a step that got a permit on the only reachable worker and becomes ready when the permit has
/// expired.
fn renew_after_pause(model: &mut Model) {
    for worker in model.workers.values_mut().skip(1) {
        worker.is_unreachable = true;
    }
    model.run(50);
    let mut spec = load::spec(Kind::Tally, 1);
    let mut second = spec.steps[0].clone();
    spec.steps[0].count = 1;
    spec.steps[0].estimate_ms = 500;
    second.count = 1;
    second.after.push(0);
    spec.steps.push(second);
    model.submit(load::key(Kind::Tally, 1), "tally", spec);
    model.run(2_500);
    for worker in model.workers.values_mut() {
        worker.is_unreachable = false;
    }
    model.run_until_done(60_000);
}

/// Guards against a permit request that the policy is always too busy for or never answers, and
/// that is repeated unchanged for ever.
#[test]
fn a_permit_request_that_keeps_failing_is_split() {
    let mut stuck = Vec::new();
    for outcome in ["busy", "unanswered"] {
        let mut model = Model::new(vec![slow_policy_queue("tally")], workers(160), 4);
        model.policy_fault = Some(match outcome {
            "busy" => |request, _| {
                (request.workers.len() > 20).then_some((PermitOutcome::Busy, REFUSAL_MS))
            },
            _ => |request, _| {
                (request.workers.len() > 20).then_some((PermitOutcome::Unanswered, REFUSAL_MS))
            },
        });
        model.run(50);
        submit(&mut model, Kind::Tally, "tally", 52);
        model.run(60_000);
        if model.jobs.values().any(|job| job.ended.is_none()) {
            stuck.push((outcome, model.refused_permit_requests));
        }
    }
    assert!(stuck.is_empty(), "not done, refused requests: {stuck:?}");
}

/// Guards against several workers that are unknown to the policy, which refuses every request that
/// names one of them.
#[test]
fn several_workers_unknown_to_the_policy_are_left_out_of_permit_requests() {
    let mut stuck = Vec::new();
    for (refusal, policy) in [
        ("at once", unknown_at_once as PolicyFault),
        ("after deciding", unknown_after_delay),
    ] {
        let mut model = Model::new(vec![slow_policy_queue("tally")], workers(160), 4);
        model.policy_fault = Some(policy);
        model.run(50);
        submit(&mut model, Kind::Tally, "tally", 52);
        model.run(60_000);
        if model.jobs.values().any(|job| job.ended.is_none()) {
            stuck.push((refusal, model.refused_permit_requests));
        }
    }
    assert!(stuck.is_empty(), "not done, refused requests: {stuck:?}");
}

fn names_unknown(request: &PermitRequest) -> bool {
    request.workers.iter().any(|worker| &**worker < "w006")
}

fn unknown_at_once(request: &PermitRequest, _: Millis) -> Option<(PermitOutcome, u64)> {
    names_unknown(request).then_some((PermitOutcome::Refused, REFUSAL_MS))
}

fn unknown_after_delay(request: &PermitRequest, _: Millis) -> Option<(PermitOutcome, u64)> {
    names_unknown(request).then_some((PermitOutcome::Refused, 480))
}

/// Guards against a start that a worker keeps rejecting and that is sent to it again and again
/// while other workers are free.
#[test]
fn a_rejected_start_is_sent_to_another_worker() {
    let mut stuck = Vec::new();
    for reason in [
        RejectReason::Invalid,
        RejectReason::NoRoom,
        RejectReason::NoPermit,
        RejectReason::LeaseOver,
        RejectReason::Superseded,
    ] {
        let mut model = Model::new(vec![queue("tally", 2, 4.0, 3_000)], workers(40), 4);
        for worker in model.workers.values_mut() {
            worker.work_ms = |task| 2 * load::work_ms(task);
        }
        if let Some(worker) = model.workers.values_mut().next() {
            worker.rejects_starts = Some(reason);
        }
        model.run(50);
        submit(&mut model, Kind::Tally, "tally", 3);
        model.run(60_000);
        if model.jobs.values().any(|job| job.ended.is_none()) {
            stuck.push(reason);
        }
    }
    assert!(stuck.is_empty(), "not done, rejected as {stuck:?}");
}

/// Guards against a gang on more workers than a permit request can name that renews the permits of
/// the same workers again and again.
#[test]
fn a_gang_on_more_workers_than_a_permit_request_names_runs() {
    let mut stuck = Vec::new();
    for (workers_max, members) in [(100, 120), (20, 30)] {
        let gang = with_permits(queue("gang", 2, 4.0, 3_000), 156.0, 2.34);
        let mut model = Model::new(vec![gang], workers(160), 4);
        model.workers_per_request_max = workers_max;
        model.run(50);
        submit(&mut model, Kind::Gang, "gang", members);
        model.run(60_000);
        if model.jobs.values().any(|job| job.ended.is_none()) {
            stuck.push((workers_max, members));
        }
    }
    assert!(stuck.is_empty(), "never done: {stuck:?}");
}

/// Guards against a gang whose requests renew fresh permits and leave out expired ones.
#[test]
fn a_gang_renews_expired_permits_before_fresh_ones() {
    let gang = with_permits(queue("gang", 2, 4.0, 3_000), 480.0, 6.9);
    let mut model = Model::new(vec![gang], workers(40), 4);
    model.workers_per_request_max = 20;
    for worker in model.workers.values_mut().take(20) {
        worker.is_unreachable = true;
    }
    model.run(50);
    let mut spec = load::spec(Kind::Gang, 1);
    let mut second = spec.steps[0].clone();
    spec.steps[0].count = 1;
    spec.steps[0].is_gang = false;
    spec.steps[0].estimate_ms = 500;
    second.count = 30;
    second.per_worker_max = Some(1);
    second.after.push(0);
    spec.steps.push(second);
    model.submit(load::key(Kind::Gang, 1), "gang", spec);
    model.run(3_000);
    for worker in model.workers.values_mut() {
        worker.is_unreachable = false;
    }
    model.run_until_done(60_000);
}

/// The policy issues permits in time, and its first answers arrive when these have expired.
fn delayed_at_first(request: &PermitRequest, now: Millis) -> Option<(PermitOutcome, u64)> {
    let allowed = request.workers.iter();
    let allowed = allowed.map(|worker| (worker.clone(), Arc::from("ticket")));
    (now < Millis(500)).then(|| (PermitOutcome::Allowed(allowed.collect()), 2_400))
}

/// Guards against starts with permits that expired on their way to the leader.
#[test]
fn a_permit_whose_answer_was_delayed_is_renewed_before_the_start() {
    let quick = with_permits(queue("gang", 2, 4.0, 3_000), 100.0, 1.0);
    let mut model = Model::new(vec![quick], workers(4), 4);
    model.run(50);
    model.policy_fault = Some(delayed_at_first);
    submit(&mut model, Kind::Gang, "gang", 2);
    model.run(2_400 + 40);
    assert_eq!(model.starts, 0, "started with an expired permit");
    model.run_until_done(60_000);
    assert!(model.permit_requests.len() >= 2);
}
