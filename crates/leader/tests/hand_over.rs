//! Guards against a task that runs on two workers because a deposed leader renewed a lease after
//! the new leader was elected.

mod support;

use sapphirepost_leader::Context;
use sapphirepost_leader::Leader;
use sapphirepost_leader::LeaderConfig;
use sapphirepost_leader::Output;
use sapphirepost_leader::Reply;
use sapphirepost_leader::ReplyToken;
use sapphirepost_protocol::worker::WorkerSpec;
use sapphirepost_protocol::worker::WorkerSync;
use sapphirepost_state::Command;
use sapphirepost_state::Request;
use sapphirepost_state::State;
use sapphirepost_types::Incarnation;
use sapphirepost_types::Millis;
use sapphirepost_types::Resources;
use sapphirepost_types::WorkerId;

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
