//! Waiting work is placed soon after something has made room for it, whatever that was.
//!
//! A leader that tries a waiting step only when it learns of a change needs a sign of each change.
//! Each test makes room in another way, for a task and for a gang, with permits and without.

mod model;

use std::sync::Arc;

use sapphirepost_queues::JobKey;
use sapphirepost_queues::LostRuns;
use sapphirepost_queues::QueueCommand;
use sapphirepost_queues::StepKey;
use sapphirepost_queues::StepSpec;
use sapphirepost_queues::SubmittedSpec;
use sapphirepost_queues::TaskKey;
use sapphirepost_queues::WorkerRecord;
use sapphirepost_queues::scheduler::PermitOutcome;
use sapphirepost_queues::scheduler::RejectReason;
use sapphirepost_queues::scheduler::WorkerRequestError;
use sapphirepost_types::Millis;
use sapphirepost_types::Resources;

use crate::model::Model;
use crate::model::PolicyFault;
use crate::model::STEP_MS;
use crate::model::queue;
use crate::model::restart::FIRST_INCARNATION;
use crate::model::with_permits;
use crate::model::worker::ModelWorker;
use crate::model::worker::REQUEST_TIMEOUT_MS;

const WORKERS: usize = 4;
const POLICY_CLIENTS: usize = 4;
const FILLER: JobKey = JobKey(1);
/// Fills the workers that have less capacity than the others.
const SMALL_FILLER: JobKey = JobKey(4);
const WAITING: JobKey = JobKey(9);
const FILLER_MS: u64 = 2_500;
const LONG_FILLER_MS: u64 = 60_000;
const WHOLE: Resources = Resources::new(32_000, 8_192, 0);
const HALF: Resources = Resources::new(16_000, 4_096, 0);
/// From the moment when there is room: a commit, a request to the policy and rounds.
const SOON_MS: u64 = 600;
/// From the moment when a worker can be reached again: a poll times out, and another is answered.
const CONTACT_MS: u64 = REQUEST_TIMEOUT_MS + 500;
/// The first pause of a worker that is suspected.
const HEALTH_PAUSE_MS: u64 = 2_000;
/// The longest pause after rejected starts that the test causes.
const REJECTION_PAUSE_MS: u64 = 800;
/// Until a request to the policy is given up, and its client gets another one.
const GIVEN_UP_MS: u64 = 5_000;

/// The work that waits: a task or a gang of two, of a queue with permits or without.
#[derive(Clone, Copy, Debug)]
struct Case {
    queue: &'static str,
    is_gang: bool,
}

const CASES: [Case; 4] = [
    Case {
        queue: "free",
        is_gang: false,
    },
    Case {
        queue: "permitted",
        is_gang: false,
    },
    Case {
        queue: "free",
        is_gang: true,
    },
    Case {
        queue: "permitted",
        is_gang: true,
    },
];

impl Case {
    fn spec(self, resources: Resources) -> SubmittedSpec {
        let count = if self.is_gang { 2 } else { 1 };
        spec(count, resources, 300, self.is_gang)
    }

    /// A model whose workers are all full until the filler ends.
    fn full_model(self, filler_ms: fn(TaskKey) -> u64) -> Model {
        let mut model = model(WORKERS, filler_ms);
        model.submit(FILLER.0, "filler", spec(4, WHOLE, 5_000, false));
        model.run(300);
        assert!(model.has_started(FILLER));
        model
    }

    fn submit(self, model: &mut Model, resources: Resources) {
        model.submit(WAITING.0, self.queue, self.spec(resources));
    }

    /// Runs for some time, in which the work must not start.
    fn assert_waits(self, model: &mut Model, period_ms: u64) {
        model.run(period_ms);
        assert!(!has_run(model, WAITING), "{self:?} does not wait");
    }

    /// Runs until the waiting work has started, which must be within `limit_ms`.
    fn assert_starts_within(self, model: &mut Model, limit_ms: u64) {
        let since = model.now;
        while !has_run(model, WAITING) {
            let waits_ms = model.now.since(since);
            assert!(
                waits_ms < limit_ms,
                "{self:?} waits for {waits_ms} ms: {:?}",
                model.scheduler.find_waiting_steps(model.now)
            );
            model.run(STEP_MS);
        }
    }
}

/// Whether a task of a job runs or the job has ended.
fn has_run(model: &Model, job: JobKey) -> bool {
    model.has_started(job) || model.jobs[&job].ended.is_some()
}

fn spec(count: u32, resources: Resources, estimate_ms: u64, is_gang: bool) -> SubmittedSpec {
    let step = StepSpec {
        count,
        resources,
        estimate_ms,
        is_gang,
        per_worker_max: Some(1),
        ..StepSpec::default()
    };
    SubmittedSpec {
        payload: Arc::from("payload"),
        steps: vec![step],
    }
}

fn need(task: TaskKey) -> Resources {
    match task.step.job {
        FILLER => WHOLE,
        _ => HALF,
    }
}

fn worker(name: &str, filler_ms: fn(TaskKey) -> u64) -> ModelWorker {
    let mut worker = ModelWorker::new(name, 32, need, filler_ms);
    worker.record.capacity = WHOLE;
    worker
}

/// A model without work.
fn model(workers: usize, filler_ms: fn(TaskKey) -> u64) -> Model {
    let workers = (0..workers).map(|number| worker(&format!("w{number:02}"), filler_ms));
    let queues = vec![
        queue("free", 1, 30.0, 1_000),
        with_permits(queue("permitted", 1, 30.0, 1_000), 40.0, 2.0),
        queue("filler", 2, 30.0, 1_000),
    ];
    let mut model = Model::new(queues, workers.collect(), POLICY_CLIENTS);
    model.run(100);
    model
}

fn work_ms(task: TaskKey) -> u64 {
    match task.step.job {
        FILLER | SMALL_FILLER => FILLER_MS,
        _ => 300,
    }
}

fn long_filler(task: TaskKey) -> u64 {
    match task.step.job {
        FILLER | SMALL_FILLER => LONG_FILLER_MS,
        _ => 300,
    }
}

/// Runs until the filler has left enough workers for the waiting work.
fn run_until_filler_ends(model: &mut Model) {
    while model.has_started(FILLER) {
        model.run(STEP_MS);
    }
}

fn add_worker(model: &mut Model, name: &str) {
    let new = worker(name, long_filler);
    let record = Box::new(new.record.clone());
    model.workers.insert(new.record.id.clone(), new);
    model.propose(QueueCommand::PutWorker(record));
}

fn for_all_workers(model: &mut Model, change: impl Fn(&mut ModelWorker)) {
    model.workers.values_mut().for_each(change);
}

/// Reports the workers' descriptions after a change.
fn report_all(model: &mut Model, sequence: u64, change: impl Fn(&mut WorkerRecord)) {
    for id in model.worker_ids() {
        let worker = model.workers.get_mut(&id).unwrap();
        change(&mut worker.record);
        worker.record.sequence = sequence;
        let record = worker.record.clone();
        model.report(&record);
    }
}

/// Guards against waiting work that is not tried when runs end.
#[test]
fn work_starts_when_runs_end() {
    for case in CASES {
        let mut model = case.full_model(work_ms);
        case.submit(&mut model, HALF);
        run_until_filler_ends(&mut model);
        case.assert_starts_within(&mut model, SOON_MS);
    }
}

/// Guards against waiting work that is not tried when runs end whose job was cancelled.
#[test]
fn work_starts_when_a_job_is_cancelled() {
    for case in CASES {
        let mut model = case.full_model(long_filler);
        case.submit(&mut model, HALF);
        case.assert_waits(&mut model, 3_000);
        model.propose(QueueCommand::Cancel { job: FILLER });
        run_until_filler_ends(&mut model);
        case.assert_starts_within(&mut model, SOON_MS);
    }
}

/// Guards against a new leader that does not notice room that appears while it takes over.
#[test]
fn work_starts_when_runs_end_about_a_change_of_leader() {
    for case in CASES {
        for offset_ms in (0..=200).step_by(20) {
            let mut model = case.full_model(work_ms);
            case.submit(&mut model, HALF);
            run_until_filler_ends(&mut model);
            model.run(offset_ms);
            if model.has_started(WAITING) {
                continue;
            }
            model.change_leader();
            // Before the first reply of a worker to the new leader, an old poll may time out.
            case.assert_starts_within(&mut model, CONTACT_MS + SOON_MS);
        }
    }
}

/// Guards against waiting work that is not tried on new workers.
#[test]
fn work_starts_when_workers_are_added() {
    for case in CASES {
        let mut model = case.full_model(long_filler);
        case.submit(&mut model, HALF);
        case.assert_waits(&mut model, 3_000);
        add_worker(&mut model, "new0");
        add_worker(&mut model, "new1");
        case.assert_starts_within(&mut model, SOON_MS);
    }
}

/// Guards against waiting work that is not tried on workers that can be reached again.
#[test]
fn work_starts_when_workers_are_reachable_again() {
    for case in CASES {
        let mut model = model(WORKERS, work_ms);
        for_all_workers(&mut model, |worker| worker.is_unreachable = true);
        model.run(3_000);
        case.submit(&mut model, HALF);
        case.assert_waits(&mut model, 3_000);
        for_all_workers(&mut model, |worker| worker.is_unreachable = false);
        case.assert_starts_within(&mut model, CONTACT_MS + SOON_MS);
    }
}

/// Guards against waiting work that is not tried on a worker of which the first sign of life is the
/// answer to a start, and not to a poll.
#[test]
fn work_starts_when_a_start_is_answered_after_one_that_was_lost() {
    for case in CASES.into_iter().filter(|case| !case.is_gang) {
        for offset_ms in (0..=60).step_by(STEP_MS as usize) {
            let mut model = model(1, long_filler);
            model.workers.get_mut("w00").unwrap().loses_starts = true;
            model.submit(SMALL_FILLER.0, "filler", spec(1, HALF, 5_000, false));
            model.run(REQUEST_TIMEOUT_MS - 30 + offset_ms);
            case.submit(&mut model, HALF);
            model.workers.get_mut("w00").unwrap().loses_starts = false;
            case.assert_starts_within(&mut model, CONTACT_MS + SOON_MS);
        }
    }
}

/// Guards against waiting work that is not tried on workers whose capacity has grown.
#[test]
fn work_starts_when_capacity_grows() {
    for case in CASES {
        let mut model = model(WORKERS, work_ms);
        report_all(&mut model, 1, |record| {
            record.capacity = Resources::new(8_000, 2_048, 0);
        });
        model.run(100);
        case.submit(&mut model, HALF);
        case.assert_waits(&mut model, 3_000);
        report_all(&mut model, 2, |record| record.capacity = WHOLE);
        case.assert_starts_within(&mut model, SOON_MS);
    }
}

/// Guards against waiting work that is not tried on workers that have got the required label.
#[test]
fn work_starts_when_workers_get_the_required_label() {
    for case in CASES {
        let mut model = model(WORKERS, work_ms);
        let mut spec = case.spec(HALF);
        spec.steps[0].required_label = Some(Arc::from("fast"));
        model.submit(WAITING.0, case.queue, spec);
        case.assert_waits(&mut model, 3_000);
        report_all(&mut model, 1, |record| {
            record.labels.push(Arc::from("fast"));
        });
        case.assert_starts_within(&mut model, SOON_MS);
    }
}

/// Guards against waiting work that is not tried on the worker that it needs, since many others
/// with more room were freed at the same time.
#[test]
fn work_starts_when_its_worker_is_one_of_many_that_are_freed() {
    for case in CASES {
        let mut model = model(40, work_ms);
        for name in ["w38", "w39"] {
            let worker = model.workers.get_mut(name).unwrap();
            worker.record.labels.push(Arc::from("small"));
            worker.record.capacity = HALF;
            worker.record.sequence = 1;
            worker.need = |_| HALF;
            let record = worker.record.clone();
            model.report(&record);
        }
        model.run(100);
        model.submit(FILLER.0, "filler", spec(38, WHOLE, 5_000, false));
        let mut small = spec(2, HALF, 5_000, false);
        small.steps[0].required_label = Some(Arc::from("small"));
        model.submit(SMALL_FILLER.0, "filler", small.clone());
        model.run(300);
        small.steps[0].is_gang = case.is_gang;
        small.steps[0].count = case.spec(HALF).steps[0].count;
        model.submit(WAITING.0, case.queue, small);
        case.assert_waits(&mut model, 1_000);
        run_until_filler_ends(&mut model);
        case.assert_starts_within(&mut model, SOON_MS);
    }
}

/// Guards against waiting work that is not tried when the pause of unhealthy workers is over.
#[test]
fn work_starts_when_the_pause_of_unhealthy_workers_is_over() {
    for case in CASES {
        let mut model = model(2, work_ms);
        for_all_workers(&mut model, |worker| {
            worker.start_error = Some(WorkerRequestError::Unhealthy);
        });
        case.submit(&mut model, HALF);
        case.assert_waits(&mut model, 1_000);
        for_all_workers(&mut model, |worker| worker.start_error = None);
        case.assert_starts_within(&mut model, HEALTH_PAUSE_MS + SOON_MS);
    }
}

/// Guards against waiting work that is not tried when the pause after rejected starts is over.
#[test]
fn work_starts_when_the_pause_after_rejected_starts_is_over() {
    for reason in [RejectReason::NoRoom, RejectReason::NoPermit] {
        for case in CASES {
            let mut model = model(2, work_ms);
            for_all_workers(&mut model, |worker| worker.rejects_starts = Some(reason));
            case.submit(&mut model, HALF);
            case.assert_waits(&mut model, 1_000);
            for_all_workers(&mut model, |worker| worker.rejects_starts = None);
            case.assert_starts_within(&mut model, REJECTION_PAUSE_MS + SOON_MS);
        }
    }
}

/// Guards against waiting work that is not tried when a gang no longer holds a reservation.
#[test]
fn work_starts_when_a_reservation_ends() {
    for case in CASES {
        // With half of the workers free, the work would not wait for as long.
        let mut model = model(5, long_filler);
        model.submit(FILLER.0, "filler", spec(3, WHOLE, 2_000, false));
        model.run(300);
        let gang = JobKey(3);
        model.submit(gang.0, "free", spec(5, HALF, 5_000, true));
        model.run(500);
        let mut waiting = case.spec(WHOLE);
        waiting.steps[0].estimate_ms = LONG_FILLER_MS;
        model.submit(WAITING.0, case.queue, waiting);
        case.assert_waits(&mut model, 3_000);
        model.propose(QueueCommand::Cancel { job: gang });
        case.assert_starts_within(&mut model, SOON_MS);
    }
}

/// Guards against waiting work that is not tried when a worker has restarted and stops that may
/// still be under way no longer close it.
#[test]
fn work_starts_when_a_restarted_worker_has_no_late_starts_any_more() {
    for case in CASES.into_iter().filter(|case| !case.is_gang) {
        let mut model = model(1, work_ms);
        let worker = model.workers.get_mut("w00").unwrap();
        worker.start_delay_ms = 1_000;
        model.submit(2, "filler", spec(1, HALF, 300, false));
        model.run(100);
        model.restart_worker("w00", 200);
        case.submit(&mut model, HALF);
        model.run(300);
        case.assert_starts_within(&mut model, 3 * CONTACT_MS + SOON_MS);
    }
}

/// Guards against work that is not tried again when the policy answers again.
#[test]
fn work_starts_when_the_policy_answers_again() {
    let faults: [PolicyFault; 3] = [
        |_, now| (now < Millis(3_000)).then_some((PermitOutcome::Busy, 20)),
        |_, now| (now < Millis(3_000)).then_some((PermitOutcome::Refused, 20)),
        |_, now| (now < Millis(3_000)).then_some((PermitOutcome::Unanswered, 20)),
    ];
    for fault in faults {
        for case in CASES.into_iter().filter(|case| case.queue == "permitted") {
            let mut model = model(WORKERS, work_ms);
            model.policy_fault = Some(fault);
            case.submit(&mut model, HALF);
            case.assert_waits(&mut model, 2_900);
            // A worker that was refused alone is left out for some seconds.
            case.assert_starts_within(&mut model, GIVEN_UP_MS + SOON_MS);
        }
    }
}

/// Guards against work that is not tried again when the answer of a policy client is lost.
#[test]
fn work_starts_when_the_answer_of_a_policy_client_was_lost() {
    for case in CASES.into_iter().filter(|case| case.queue == "permitted") {
        let mut model = model(WORKERS, work_ms);
        case.submit(&mut model, HALF);
        model.run(20);
        model.cut_off_clients(&[0, 1, 2, 3], true);
        case.assert_waits(&mut model, 2_000);
        model.cut_off_clients(&[0, 1, 2, 3], false);
        case.assert_starts_within(&mut model, GIVEN_UP_MS + SOON_MS);
    }
}

/// Guards against work that never gets its permits renewed after they have expired while it waited
/// for room, and a new leader that knows none of them.
#[test]
fn work_with_expired_permits_starts_when_there_is_room() {
    for case in CASES {
        for changes_leader in [false, true] {
            let mut model = case.full_model(long_filler);
            case.submit(&mut model, HALF);
            case.assert_waits(&mut model, 5_000);
            if changes_leader {
                model.change_leader();
                case.assert_waits(&mut model, 5_000);
            }
            add_worker(&mut model, "new0");
            add_worker(&mut model, "new1");
            case.assert_starts_within(&mut model, SOON_MS);
        }
    }
}

/// Guards against waiting work that is not tried when a worker is no longer closed for the isolated
/// start of a suspect.
#[test]
fn work_starts_when_a_worker_is_no_longer_closed_for_an_isolated_start() {
    for case in CASES.into_iter().filter(|case| !case.is_gang) {
        let mut model = model(1, long_filler);
        model.submit(SMALL_FILLER.0, "filler", spec(1, HALF, 5_000, false));
        let step = StepKey {
            job: SMALL_FILLER,
            step: 0,
        };
        let lost = worker("lost", long_filler);
        model.propose(QueueCommand::PutWorker(Box::new(lost.record)));
        model.propose(QueueCommand::Crash {
            worker: Arc::from("lost"),
            incarnation: FIRST_INCARNATION,
            checkpoints: Vec::new(),
            lost: LostRuns {
                tasks: vec![step.task(0)],
                suspects: vec![step.task(0)],
                is_inconclusive: false,
            },
        });
        model.join_proposals();
        while !model.has_started(SMALL_FILLER) {
            model.run(STEP_MS);
        }
        case.submit(&mut model, HALF);
        case.assert_waits(&mut model, 300);
        case.assert_starts_within(&mut model, SOON_MS);
    }
}
