//! Reads of jobs at members that do not lead.

mod common;

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use sapphirepost_process::RpcError;
use sapphirepost_protocol::queue::CallerAction;
use sapphirepost_protocol::queue::CallerRequest;
use sapphirepost_protocol::queue::QueueCall;
use sapphirepost_protocol::queue::QueueReply;
use sapphirepost_queues::JobPhase;
use sapphirepost_queues::StepSpec;
use sapphirepost_queues::SubmittedSpec;
use sapphirepost_types::Resources;

use crate::common::WAIT_TIMEOUT;
use crate::common::embedded::Group;
use crate::common::embedded::table;

/// The oldest state from which a follower answers.
const AGE_MAX: Duration = Duration::from_millis(200);
const QUEUED: Result<QueueReply, RpcError> = Ok(QueueReply::Phase(JobPhase::Queued));

fn caller(path: &str, action: CallerAction) -> QueueCall {
    QueueCall::Caller(CallerRequest {
        host: "h".to_owned(),
        path: path.to_owned(),
        key: None,
        action,
    })
}

fn job(number: u64, action: CallerAction) -> QueueCall {
    caller(&format!("/jobs/{number:016x}"), action)
}

fn submission() -> CallerAction {
    let step = StepSpec {
        count: 1,
        resources: Resources::new(1_000, 100, 0),
        estimate_ms: 1_000,
        ..StepSpec::default()
    };
    CallerAction::Submit(SubmittedSpec {
        payload: Arc::from(""),
        steps: vec![step],
    })
}

/// A group with job 1, and the member at which it is read.
struct Reader {
    group: Group,
    leader: usize,
    follower: usize,
}

impl Reader {
    fn start() -> Reader {
        let group = Group::start(3);
        let leader = group.leader();
        let reader = Reader {
            group,
            leader,
            follower: (leader + 1) % 3,
        };
        reader.call_leader(&job(1, submission()));
        // The first read makes the follower ask for the leader's index.
        let first = reader.read(1);
        assert!(first.is_err(), "{first:?}");
        reader.wait_until_read(QUEUED);
        reader
    }

    fn call_leader(&self, call: &QueueCall) -> QueueReply {
        self.group.call(self.leader, call).unwrap()
    }

    /// Asks the leader for its index as the program of the follower does.
    fn ask_index(&self) {
        let local = &self.group.members[self.follower].local;
        let asked = self.group.block_on(local.leader_index_wanted()).unwrap();
        let QueueReply::LeaderIndex(index) = self.call_leader(&QueueCall::LeaderIndex) else {
            panic!("no index");
        };
        local.leader_index_known(index, asked);
    }

    fn read(&self, number: u64) -> Result<QueueReply, RpcError> {
        self.group
            .call(self.follower, &job(number, CallerAction::Read))
    }

    fn wait_until_read(&self, expected: Result<QueueReply, RpcError>) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            self.ask_index();
            let read = self.read(1);
            if read == expected {
                return;
            }
            assert!(Instant::now() < deadline, "{read:?}");
            thread::sleep(Duration::from_millis(10));
        }
    }
}

/// Guards against reads of known jobs that all cost the leader a call.
#[test]
fn a_follower_answers_reads_of_known_jobs() {
    let reader = Reader::start();
    let before = reader.group.counter(reader.leader, "queue_reads");
    reader.ask_index();
    let until = Instant::now() + AGE_MAX / 2;
    let mut answered = 0;
    while Instant::now() < until {
        assert_eq!(reader.read(1), QUEUED);
        answered += 1;
    }
    assert!(answered > 0);
    assert_eq!(reader.group.counter(reader.leader, "queue_reads"), before);
}

/// Guards against a follower that says that a job does not exist which has just been accepted, or
/// that decides what only the leader can decide.
#[test]
fn a_follower_answers_nothing_but_phases() {
    let reader = Reader::start();
    let calls = [
        job(2, CallerAction::Read),
        job(1, CallerAction::Cancel),
        job(1, submission()),
        caller("/jobs/", CallerAction::Read),
        caller("/jobs/x", CallerAction::Read),
        caller("/none/0000000000000001", CallerAction::Read),
    ];
    for call in calls {
        reader.ask_index();
        let reply = reader.group.call(reader.follower, &call);
        assert!(
            matches!(reply, Err(RpcError::NotLeader { .. })),
            "{call:?}: {reply:?}"
        );
    }
}

/// Guards against a member that shows an old phase, because its state was recent once.
#[test]
fn a_follower_with_an_old_state_does_not_answer() {
    let reader = Reader::start();
    reader.ask_index();
    thread::sleep(AGE_MAX + Duration::from_millis(50));
    assert!(reader.read(1).is_err());
    reader.wait_until_read(QUEUED);
}

/// Guards against a follower that counts the leader's answer as if its own state were as new,
/// although it has not applied what the leader has: it would show a cancelled job as queued, or go
/// back to an earlier queue table after another member has used a later one.
#[test]
fn a_follower_that_lags_behind_does_not_answer() {
    let reader = Reader::start();
    reader.group.members[reader.follower].relay.cut();
    let cancelled = reader.call_leader(&job(1, CallerAction::Cancel));
    assert_eq!(cancelled, QueueReply::Cancelled);
    thread::sleep(AGE_MAX + Duration::from_millis(50));
    for _ in 0..20 {
        reader.ask_index();
        let read = reader.read(1);
        assert!(read.is_err(), "{read:?}");
    }
    reader.group.members[reader.follower].relay.heal();
    reader.wait_until_read(Ok(QueueReply::Phase(JobPhase::Cancelled)));
}

/// Guards against an index that counts as newer than the question for it, when the answer was long
/// on its way.
#[test]
fn a_late_answer_of_the_leader_is_of_no_use() {
    let reader = Reader::start();
    let local = &reader.group.members[reader.follower].local;
    let asked = reader.group.block_on(local.leader_index_wanted()).unwrap();
    let reply = reader.call_leader(&QueueCall::LeaderIndex);
    thread::sleep(AGE_MAX + Duration::from_millis(50));
    let QueueReply::LeaderIndex(index) = reply else {
        panic!("{reply:?}");
    };
    local.leader_index_known(index, asked);
    assert!(reader.read(1).is_err());
}

/// Guards against a follower that obeys a queue that has been removed.
#[test]
fn a_follower_does_not_answer_for_a_removed_queue() {
    let reader = Reader::start();
    let mut without = table(2);
    without.queues.clear();
    let reply = reader.call_leader(&QueueCall::PutTable(without));
    assert_eq!(reply, QueueReply::TableInForce);
    thread::sleep(AGE_MAX + Duration::from_millis(50));
    for _ in 0..20 {
        reader.ask_index();
        let read = reader.read(1);
        assert!(read.is_err(), "{read:?}");
        thread::sleep(Duration::from_millis(10));
    }
    let reply = reader.call_leader(&job(1, CallerAction::Read));
    assert_eq!(reply, QueueReply::NoQueue);
}
