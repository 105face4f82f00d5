//! Guards against a task that runs on two workers because a deposed leader renewed a lease after
//! the new leader was elected, and against decisions that a new leader makes a second time.

mod support;

use sapphirepost_leader::Context;
use sapphirepost_leader::Leader;
use sapphirepost_leader::LeaderConfig;
use sapphirepost_leader::Output;
use sapphirepost_leader::Reply;
use sapphirepost_leader::ReplyToken;
use sapphirepost_protocol::worker::TaskReport;
use sapphirepost_protocol::worker::TaskStatus;
use sapphirepost_protocol::worker::WorkerSpec;
use sapphirepost_protocol::worker::WorkerSync;
use sapphirepost_state::Command;
use sapphirepost_state::Placement;
use sapphirepost_state::PlanDraft;
use sapphirepost_state::Request;
use sapphirepost_state::State;
use sapphirepost_types::Attempt;
use sapphirepost_types::Incarnation;
use sapphirepost_types::Intent;
use sapphirepost_types::JobKind;
use sapphirepost_types::JobSpec;
use sapphirepost_types::Millis;
use sapphirepost_types::OperationId;
use sapphirepost_types::PlanId;
use sapphirepost_types::Priority;
use sapphirepost_types::Resources;
use sapphirepost_types::TaskId;
use sapphirepost_types::WorkerId;
use smallvec::SmallVec;

const START_UNIX_MS: u64 = 1_700_000_000_000;
const ELECTED_MS: u64 = 20_000;
/// How long after the election the old leader still renews a lease.
const LATE_MS: u64 = 400;

fn context(state: &State, now_ms: u64) -> Context<'_> {
    Context {
        state,
        now: Millis(now_ms),
        unix_ms: START_UNIX_MS + now_ms,
    }
}

fn spec() -> WorkerSpec {
    WorkerSpec {
        failure_domain: support::name("a"),
        rack: support::name("r1"),
        capacity: Resources::new(1_000, 1_000, 0),
    }
}

/// A state with one connected worker.
fn connected_state() -> State {
    let mut state = State::new();
    let register = Request::RegisterWorker {
        worker: support::name("w1"),
        incarnation: Incarnation(1),
        spec: spec(),
    };
    let report = Request::ReportTasks {
        worker: WorkerId(0),
        incarnation: Incarnation(1),
        sequence: 1,
        full: true,
        tasks: Vec::new(),
    };
    for (index, request) in (1..).zip([register, report]) {
        let at_unix_ms = START_UNIX_MS;
        state.apply(
            index,
            &Command {
                at_unix_ms,
                request,
            },
        );
    }
    state
}

/// When the lease that the old leader grants after the election has ended at the latest: the
/// worker's clock is as slow as allowed, and the worker takes the maximum time to stop its tasks.
fn late_lease_end_ms(config: &LeaderConfig, state: &State) -> u64 {
    let mut old = Leader::new(config.clone(), state, Millis(0), START_UNIX_MS, 1);
    let sync = WorkerSync {
        worker: support::name("w1"),
        incarnation: Incarnation(1),
        sequence: 2,
        spec: None,
        full: false,
        tasks: Vec::new(),
        digest: sapphirepost_protocol::worker::tasks_digest([]),
        usage: None,
        wait_ms: 0,
    };
    let sent_ms = ELECTED_MS + LATE_MS;
    let mut out = Output::default();
    old.worker_sync(&context(state, sent_ms), sync, ReplyToken(1), &mut out);
    let Some((_, Reply::Worker(reply))) = out.replies.pop() else {
        panic!("{out:?}")
    };
    assert_eq!(reply.lease_ms, config.lease_ms);
    sent_ms + reply.lease_ms + config.drift_ms + config.stop_ms
}

/// When the new leader, which receives no sync of the worker, proposes its expiry.
fn expiry_proposed_ms(config: &LeaderConfig, state: &State) -> u64 {
    let at = Millis(ELECTED_MS);
    let mut new = Leader::new(config.clone(), state, at, START_UNIX_MS + ELECTED_MS, 2);
    let steps = (ELECTED_MS..ELECTED_MS + 60_000).step_by(20);
    let expires = |now_ms: &u64| {
        let mut out = Output::default();
        new.tick(&context(state, *now_ms), &mut out);
        let mut requests = out.proposals.iter().map(|command| &command.request);
        requests.any(|request| matches!(request, Request::ExpireWorker { .. }))
    };
    steps.into_iter().find(expires).unwrap()
}

#[test]
fn a_new_leader_waits_out_leases_that_its_predecessor_renews_late() {
    let state = connected_state();
    let config = LeaderConfig::default();
    let late_lease_end_ms = late_lease_end_ms(&config, &state);
    assert!(expiry_proposed_ms(&config, &state) >= late_lease_end_ms);
    let without_hand_over = LeaderConfig {
        hand_over_ms: 0,
        ..config
    };
    assert!(expiry_proposed_ms(&without_hand_over, &state) < late_lease_end_ms);
}

/// Number of workers; more than the placer compares for one preemption.
const BUSY_WORKERS: u32 = 120;
const CAPACITY: Resources = Resources::new(1_000, 1_000, 0);

/// Applies a request as the next command of the log.
fn apply(state: &mut State, request: Request) {
    let command = Command {
        at_unix_ms: START_UNIX_MS,
        request,
    };
    state.apply(state.applied() + 1, &command);
}

fn run_job(state: &mut State, spec: JobSpec) {
    let draft = PlanDraft {
        intent: Intent::Run(spec),
        rests_on: SmallVec::new(),
        effects: Vec::new(),
        warnings: Vec::new(),
    };
    let draft = Box::new(draft);
    let operation = None;
    apply(state, Request::RecordPlan { operation, draft });
    let plan = PlanId(state.plans().len() as u64);
    let id = state.applied().to_string();
    let operation = OperationId::new(START_UNIX_MS, &id).unwrap();
    apply(state, Request::ConfirmPlan { operation, plan });
}

/// A state in which each of many workers is full with one task, and an urgent task waits.
fn state_with_waiting_urgent_task() -> State {
    let mut state = State::new();
    for index in 0..BUSY_WORKERS {
        let register = Request::RegisterWorker {
            worker: support::name(&format!("w{index}")),
            incarnation: Incarnation(1),
            spec: spec(),
        };
        apply(&mut state, register);
    }
    let kind = JobKind::Batch {
        deadline_unix_ms: None,
        run_time_ms: 600_000,
    };
    let batch = support::job("batch", kind.clone(), BUSY_WORKERS, CAPACITY);
    run_job(&mut state, batch);
    for index in 0..BUSY_WORKERS {
        report(&mut state, index, 1, Vec::new());
        let placement = Placement {
            task: TaskId(index),
            attempt: Attempt(1),
            worker: WorkerId(index),
        };
        let groups = vec![vec![placement]];
        apply(&mut state, Request::PlaceTasks { groups });
        let running = TaskReport {
            task: TaskId(index),
            attempt: Attempt(1),
            status: TaskStatus::Running,
        };
        report(&mut state, index, 2, vec![running]);
    }
    let urgent = JobSpec {
        priority: Priority::Urgent,
        ..support::job("urgent", kind, 1, CAPACITY)
    };
    run_job(&mut state, urgent);
    state
}

fn report(state: &mut State, worker: u32, sequence: u64, tasks: Vec<TaskReport>) {
    let request = Request::ReportTasks {
        worker: WorkerId(worker),
        incarnation: Incarnation(1),
        sequence,
        full: true,
        tasks,
    };
    apply(state, request);
}

/// Ticks a leader for a while, applies what it proposes, and returns the tasks that it stops.
fn stopped_tasks(state: &mut State, leader: &mut Leader, from_ms: u64) -> Vec<TaskId> {
    let mut stopped = Vec::new();
    for now_ms in (from_ms..from_ms + 1_000).step_by(20) {
        let mut out = Output::default();
        leader.tick(&context(state, now_ms), &mut out);
        for command in out.proposals {
            if let Request::StopTasks { stops } = &command.request {
                stopped.extend(stops.iter().map(|stop| stop.task));
            }
            let index = state.applied() + 1;
            let outcome = state.apply(index, &command);
            let ctx = context(state, now_ms);
            leader.applied(&ctx, index, &command, &outcome, &mut Output::default());
        }
    }
    stopped
}

/// Guards against tasks that are preempted in addition to those that the last leader has chosen for
/// the same urgent task and that have not stopped yet.
#[test]
fn a_new_leader_preempts_no_second_task_for_an_urgent_one() {
    for seed in 2..6 {
        let mut state = state_with_waiting_urgent_task();
        let config = LeaderConfig::default();
        let mut old = Leader::new(config.clone(), &state, Millis(0), START_UNIX_MS, 1);
        let first = stopped_tasks(&mut state, &mut old, 0);
        assert_eq!(first.len(), 1, "{first:?}");
        let at = Millis(ELECTED_MS);
        let unix_ms = START_UNIX_MS + ELECTED_MS;
        let mut new = Leader::new(config, &state, at, unix_ms, seed);
        let second = stopped_tasks(&mut state, &mut new, ELECTED_MS);
        assert_eq!(
            second,
            [],
            "seed {seed}: {first:?} is already being stopped"
        );
    }
}
