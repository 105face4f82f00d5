//! Guards against a verifier that overlooks a violation or reports a false one: each faulty history
//! must be reported under the invariant that it violates, and the correct one must not be reported.

use sapphirepost_types::Attempt;
use sapphirepost_types::Name;
use sapphirepost_types::PlanId;
use sapphirepost_types::Resources;
use sapphirepost_types::TaskId;
use sapphirepost_verifier::Answer;
use sapphirepost_verifier::Event;
use sapphirepost_verifier::Invariant;
use sapphirepost_verifier::Limits;
use sapphirepost_verifier::Outcome;
use sapphirepost_verifier::Timed;
use sapphirepost_verifier::check;

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

fn timed(at_ms: u64, event: Event) -> Timed {
    Timed { at_ms, event }
}

fn worker_size(worker: &str) -> Event {
    Event::WorkerSize {
        worker: name(worker),
        capacity: Resources::new(4_000, 4_096, 1),
    }
}

fn start(worker: &str, task: u32, attempt: u32, resources: Resources) -> Event {
    Event::TaskStarted {
        worker: name(worker),
        task: TaskId(task),
        attempt: Attempt(attempt),
        resources,
    }
}

fn stop(worker: &str, task: u32, attempt: u32, finished: bool) -> Event {
    Event::TaskStopped {
        worker: name(worker),
        task: TaskId(task),
        attempt: Attempt(attempt),
        finished,
    }
}

fn accepted(operation: &str, plan: u64, expected: u64, config: Option<(u64, &str)>) -> Event {
    Event::ConfirmAnswered {
        operation: operation.to_owned(),
        plan: PlanId(plan),
        answer: Answer::Accepted {
            rests_on: vec![("config".to_owned(), expected)],
            config: config.map(|(version, value)| (version, name("limit"), Some(value.to_owned()))),
        },
    }
}

fn applied(process: &str, version: u64, value: &str) -> Event {
    Event::ConfigApplied {
        process: name(process),
        version,
        values: vec![(name("limit"), value.to_owned())],
    }
}

fn ran(request: &str, submission: u64) -> Event {
    Event::RequestRan {
        request: request.to_owned(),
        submission,
        idempotent: false,
    }
}

fn answered(submission: u64, outcome: Outcome) -> Event {
    Event::RequestAnswered {
        submission,
        outcome,
    }
}

fn violated_invariants(events: Vec<Event>) -> Vec<Invariant> {
    let history: Vec<Timed> = events
        .into_iter()
        .enumerate()
        .map(|(position, event)| timed(position as u64, event))
        .collect();
    check(&history, &Limits::default())
        .into_iter()
        .map(|violation| violation.invariant)
        .collect()
}

const HALF: Resources = Resources::new(2_000, 2_048, 0);

#[test]
fn a_correct_history_is_not_reported() {
    let events = vec![
        worker_size("w1"),
        worker_size("w2"),
        start("w1", 1, 1, HALF),
        start("w1", 2, 1, HALF),
        stop("w1", 1, 1, false),
        start("w2", 1, 2, HALF),
        stop("w2", 1, 2, true),
        finish_reported(1),
        Event::WorkerLost { worker: name("w1") },
        start("w2", 2, 2, HALF),
        Event::ProcessStarted {
            process: name("e1"),
        },
        accepted("1-a", 1, 0, Some((1, "5"))),
        accepted("1-a", 1, 0, Some((1, "5"))),
        accepted("1-b", 2, 1, Some((2, "6"))),
        applied("e1", 2, "6"),
        answered(1, Outcome::NotRun),
        ran("r1", 2),
        answered(2, Outcome::Done),
        ran("r2", 3),
        answered(3, Outcome::Unknown),
    ];
    assert_eq!(violated_invariants(events), []);
}

#[test]
fn use_beyond_the_capacity_of_a_worker_is_reported() {
    for third in [
        Resources::new(1, 0, 0),
        Resources::new(0, 1, 0),
        Resources::new(0, 0, 2),
    ] {
        let events = vec![
            worker_size("w1"),
            start("w1", 1, 1, HALF),
            start("w1", 2, 1, HALF),
            start("w1", 3, 1, third),
        ];
        assert_eq!(
            violated_invariants(events),
            [Invariant::Capacity],
            "{third}"
        );
    }
}

#[test]
fn two_running_attempts_of_a_task_are_reported() {
    let events = vec![
        worker_size("w1"),
        worker_size("w2"),
        start("w1", 1, 1, HALF),
        start("w2", 1, 2, HALF),
    ];
    assert_eq!(violated_invariants(events), [Invariant::SingleAttempt]);
}

fn finish_reported(task: u32) -> Event {
    Event::FinishReported { task: TaskId(task) }
}

#[test]
fn an_attempt_after_a_reported_finish_is_reported() {
    let events = vec![
        worker_size("w1"),
        start("w1", 1, 1, HALF),
        stop("w1", 1, 1, true),
        finish_reported(1),
        start("w1", 1, 2, HALF),
    ];
    assert_eq!(violated_invariants(events), [Invariant::SingleAttempt]);
}

#[test]
fn a_reported_finish_of_a_task_that_did_not_finish_is_reported() {
    let events = vec![
        worker_size("w1"),
        start("w1", 1, 1, HALF),
        stop("w1", 1, 1, false),
        finish_reported(1),
    ];
    assert_eq!(violated_invariants(events), [Invariant::SingleAttempt]);
}

#[test]
fn a_refused_request_that_ran_is_reported() {
    let before = vec![ran("r", 1), answered(1, Outcome::NotRun)];
    assert_eq!(violated_invariants(before), [Invariant::NotRun]);
    let after = vec![answered(1, Outcome::NotRun), ran("r", 1)];
    assert_eq!(violated_invariants(after), [Invariant::NotRun]);
}

#[test]
fn a_second_run_of_a_non_idempotent_request_is_reported() {
    let events = vec![ran("r", 1), ran("r", 2), answered(2, Outcome::Done)];
    assert_eq!(violated_invariants(events), [Invariant::AtMostOnce]);
}

#[test]
fn two_accepted_confirmations_for_one_version_are_reported() {
    let events = vec![
        accepted("1-a", 1, 0, Some((1, "5"))),
        accepted("1-b", 2, 0, Some((2, "6"))),
    ];
    assert_eq!(violated_invariants(events), [Invariant::Answers]);
}

#[test]
fn a_changed_answer_to_an_operation_is_reported() {
    let refused = Event::ConfirmAnswered {
        operation: "1-a".to_owned(),
        plan: PlanId(1),
        answer: Answer::Refused,
    };
    let events = vec![accepted("1-a", 1, 0, Some((1, "5"))), refused];
    assert_eq!(violated_invariants(events), [Invariant::Answers]);
}

#[test]
fn a_reverted_configuration_is_reported() {
    let changes = || {
        vec![
            Event::ProcessStarted {
                process: name("e1"),
            },
            accepted("1-a", 1, 0, Some((1, "5"))),
            accepted("1-b", 2, 1, Some((2, "6"))),
        ]
    };
    let mut reverted = changes();
    reverted.extend([applied("e1", 2, "6"), applied("e1", 1, "5")]);
    assert_eq!(violated_invariants(reverted), [Invariant::Configuration]);
    let mut old_value = changes();
    old_value.push(applied("e1", 2, "5"));
    assert_eq!(violated_invariants(old_value), [Invariant::Configuration]);
}

#[test]
fn a_configuration_that_is_not_applied_in_time_is_reported() {
    let history = |cut_off: bool| {
        vec![
            timed(
                0,
                Event::ProcessStarted {
                    process: name("e1"),
                },
            ),
            timed(
                1,
                Event::ProcessCutOff {
                    process: name("e1"),
                    cut_off,
                },
            ),
            timed(2, accepted("1-a", 1, 0, Some((1, "5")))),
            timed(20_000, worker_size("w1")),
        ]
    };
    let reachable = check(&history(false), &Limits::default());
    assert_eq!(reachable.len(), 1);
    assert_eq!(reachable[0].invariant, Invariant::Configuration);
    assert_eq!(check(&history(true), &Limits::default()), []);
}
