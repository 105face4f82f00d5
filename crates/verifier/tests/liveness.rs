//! Guards against a liveness check that overlooks a step that the scheduler has lost: each faulty
//! history must be reported with its step and job, and justified waits must not be reported.

use std::sync::Arc;

use sapphirepost_types::Resources;
use sapphirepost_verifier::Invariant;
use sapphirepost_verifier::liveness::Liveness;
use sapphirepost_verifier::liveness::Observation;
use sapphirepost_verifier::liveness::Permits;
use sapphirepost_verifier::liveness::StepName;
use sapphirepost_verifier::liveness::StepNeed;
use sapphirepost_verifier::liveness::TaskEnd;
use sapphirepost_verifier::liveness::TaskName;
use sapphirepost_verifier::liveness::WaitLimits;

const LIMITS: WaitLimits = WaitLimits {
    failover_ms: 1_400,
    lease_ms: 6_000,
    pause_ms: 8_000,
    permits_ms: 2_000,
    stop_ms: 200,
    gang_ms: 3_000,
    reservation_ms: 1_000,
};
const TASK_RESOURCES: Resources = Resources::new(1_000, 100, 0);

/// Allows all workers except those whose ID begins with `denied`.
struct AllowedByName;

impl Permits for AllowedByName {
    fn allows(&self, _step: &StepName, worker: &str) -> bool {
        !worker.starts_with("denied")
    }
}

fn step(count: u32) -> StepNeed {
    StepNeed {
        count,
        resources: TASK_RESOURCES,
        ..StepNeed::default()
    }
}

fn after_first(count: u32) -> StepNeed {
    StepNeed {
        after: vec![0],
        ..step(count)
    }
}

fn gang(count: u32) -> StepNeed {
    StepNeed {
        is_gang: true,
        ..step(count)
    }
}

fn accepted(job: &str, steps: Vec<StepNeed>) -> [Observation; 2] {
    let job: Arc<str> = job.into();
    [
        Observation::Submitted {
            job: job.clone(),
            steps,
        },
        Observation::Accepted { job },
    ]
}

fn open(worker: &str, tasks: u64) -> Observation {
    Observation::WorkerOpen {
        worker: worker.into(),
        capacity: Resources::new(tasks * TASK_RESOURCES.millicores, 10_000, 0),
        labels: vec!["a".into()],
    }
}

fn closed(worker: &str) -> Observation {
    Observation::WorkerClosed {
        worker: worker.into(),
    }
}

fn task(job: &str, step: u32, index: u32) -> TaskName {
    TaskName {
        step: StepName {
            job: job.into(),
            step,
        },
        index,
    }
}

fn started(worker: &str, task: TaskName) -> Observation {
    Observation::Started {
        worker: worker.into(),
        task,
    }
}

fn stopped(worker: &str, task: TaskName, end: TaskEnd) -> Observation {
    Observation::Stopped {
        worker: worker.into(),
        task,
        end,
    }
}

/// Returns the violations if all events happen at time 0 and then nothing happens until one
/// millisecond after the maximum wait.
fn violations_after(events: impl IntoIterator<Item = Observation>) -> Vec<String> {
    let mut liveness = Liveness::new(LIMITS, Box::new(AllowedByName));
    let mut violations = Vec::new();
    for event in events {
        violations.extend(liveness.observe(0, event));
    }
    violations.extend(liveness.overdue(LIMITS.total_ms()));
    assert_eq!(violations, [], "the maximum wait is not over");
    violations.extend(liveness.overdue(LIMITS.total_ms() + 1));
    assert!(
        violations
            .iter()
            .all(|violation| violation.invariant == Invariant::Liveness)
    );
    violations
        .into_iter()
        .map(|violation| violation.detail)
        .collect()
}

/// Checks that exactly one step is reported, with its index and job.
fn assert_reported(events: impl IntoIterator<Item = Observation>, step: u32, job: &str) {
    let reports = violations_after(events);
    assert_eq!(reports.len(), 1, "{reports:?}");
    let expected = format!("of step {step} of job {job} ");
    assert!(reports[0].contains(&expected), "{reports:?}");
}

#[test]
fn a_step_lost_in_a_change_of_leader_is_reported() {
    let mut events = vec![open("w1", 1)];
    events.extend(accepted("j1", vec![step(1)]));
    events.push(Observation::Disturbed);
    assert_reported(events, 0, "j1");
}

#[test]
fn an_expired_permit_that_is_not_requested_again_is_reported() {
    let mut events = vec![open("w1", 1), open("denied-1", 1)];
    events.extend(accepted("j1", vec![step(1), after_first(1)]));
    let first = task("j1", 0, 0);
    events.push(started("w1", first.clone()));
    events.push(stopped("w1", first, TaskEnd::Done));
    assert_reported(events, 1, "j1");
}

#[test]
fn a_reservation_that_is_never_released_is_reported() {
    let mut events = vec![open("w1", 2), open("w2", 2)];
    events.extend(accepted("gang", vec![gang(4)]));
    for (index, worker) in [(0, "w1"), (1, "w1"), (2, "w2"), (3, "w2")] {
        events.push(started(worker, task("gang", 0, index)));
    }
    for (index, worker) in [(0, "w1"), (1, "w1"), (2, "w2"), (3, "w2")] {
        events.push(stopped(worker, task("gang", 0, index), TaskEnd::Done));
    }
    events.push(Observation::Closed { job: "gang".into() });
    events.extend(accepted("small", vec![step(1)]));
    assert_reported(events, 0, "small");
}

#[test]
fn a_worker_that_is_not_used_after_its_return_is_reported() {
    let mut events = vec![open("w1", 1), closed("w1")];
    events.extend(accepted("j1", vec![step(1)]));
    assert_eq!(
        violations_after(events.clone()),
        Vec::<String>::new(),
        "the only worker is closed"
    );
    events.push(open("w1", 1));
    assert_reported(events, 0, "j1");
}

/// Guards against a task that the scheduler counts as placed although no worker has it.
#[test]
fn a_step_with_only_some_tasks_started_is_reported() {
    let mut events = vec![open("w1", 2)];
    events.extend(accepted("j1", vec![step(2)]));
    events.push(started("w1", task("j1", 0, 0)));
    assert_reported(events, 0, "j1");
}

#[test]
fn a_lost_run_that_is_not_restarted_is_reported() {
    let mut events = vec![open("w1", 1), open("w2", 1)];
    events.extend(accepted("j1", vec![step(1)]));
    events.push(started("w1", task("j1", 0, 0)));
    events.push(closed("w1"));
    events.push(stopped("w1", task("j1", 0, 0), TaskEnd::MustRerun));
    assert_reported(events, 0, "j1");
}

#[test]
fn a_waiting_gang_that_fits_is_reported() {
    let mut events = vec![open("w1", 2), open("w2", 1)];
    events.extend(accepted("j1", vec![gang(3)]));
    assert_reported(events, 0, "j1");
}

#[test]
fn justified_waits_are_not_reported() {
    let with_label = StepNeed {
        label: Some("b".into()),
        ..step(1)
    };
    let limited_per_worker = StepNeed {
        per_worker_max: Some(1),
        ..step(2)
    };
    let reasons = [
        ("no worker", vec![], vec![step(1)]),
        ("no free resources", vec![open("w1", 0)], vec![step(1)]),
        ("denied", vec![open("denied-1", 1)], vec![step(1)]),
        (
            "no worker with the label",
            vec![open("w1", 1)],
            vec![with_label],
        ),
        (
            "resources for a part of a gang",
            vec![open("w1", 2)],
            vec![gang(3)],
        ),
    ];
    for (reason, mut events, steps) in reasons {
        events.extend(accepted("j1", steps));
        assert_eq!(violations_after(events), Vec::<String>::new(), "{reason}");
    }
    let mut events = vec![open("w1", 2)];
    events.extend(accepted("j1", vec![limited_per_worker, after_first(1)]));
    events.push(started("w1", task("j1", 0, 0)));
    assert_eq!(
        violations_after(events),
        Vec::<String>::new(),
        "one task per worker"
    );
}

#[test]
fn steps_of_unaccepted_and_ended_jobs_are_not_reported() {
    let [submitted, accepted] = accepted("j1", vec![step(1)]);
    let events = vec![open("w1", 1), submitted, accepted];
    assert_eq!(violations_after(events[..2].to_vec()), Vec::<String>::new());
    let mut ended = events;
    ended.push(Observation::Closed { job: "j1".into() });
    assert_eq!(violations_after(ended), Vec::<String>::new());
}

#[test]
fn an_unacknowledged_end_is_not_reported() {
    let mut events = vec![open("w1", 1)];
    events.extend(accepted("j1", vec![step(1), after_first(1)]));
    events.push(started("w1", task("j1", 0, 0)));
    events.push(stopped("w1", task("j1", 0, 0), TaskEnd::Unacknowledged));
    assert_eq!(violations_after(events), Vec::<String>::new());
}

#[test]
fn a_job_with_only_an_unacknowledged_end_is_reported() {
    let mut liveness = Liveness::new(LIMITS, Box::new(AllowedByName));
    let mut events = vec![open("w1", 1)];
    events.extend(accepted("j1", vec![step(1)]));
    events.push(started("w1", task("j1", 0, 0)));
    events.push(stopped("w1", task("j1", 0, 0), TaskEnd::Done));
    events.push(stopped("w1", task("j1", 0, 0), TaskEnd::Unacknowledged));
    for event in events {
        assert_eq!(liveness.observe(0, event), []);
    }
    assert!(liveness.is_blocked("j1"));
    liveness.requeue_unacknowledged(1);
    assert!(!liveness.is_blocked("j1"));
    assert_eq!(liveness.overdue(LIMITS.total_ms() + 2).len(), 1);
}

#[test]
fn the_wait_restarts_after_each_interruption() {
    let half_ms = LIMITS.total_ms() / 2 + 1;
    for interruption in [
        vec![Observation::Disturbed],
        vec![closed("w1"), open("w1", 1)],
    ] {
        let mut liveness = Liveness::new(LIMITS, Box::new(AllowedByName));
        let mut events = vec![open("w1", 1)];
        events.extend(accepted("j1", vec![step(1)]));
        for event in events {
            assert_eq!(liveness.observe(0, event), []);
        }
        for event in interruption {
            assert_eq!(liveness.observe(half_ms, event), []);
        }
        assert_eq!(liveness.overdue(half_ms + LIMITS.total_ms()), []);
        let overdue_ms = half_ms + LIMITS.total_ms() + 1;
        assert_eq!(liveness.overdue(overdue_ms).len(), 1);
        assert_eq!(
            liveness.overdue(overdue_ms + 1),
            [],
            "each step is reported once"
        );
    }
}
