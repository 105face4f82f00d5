//! Reports of workers to members that do not lead.

mod common;

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use sapphirepost_protocol::queue::QueueCall;
use sapphirepost_protocol::queue::QueueReply;
use sapphirepost_queues::WorkerRecord;
use sapphirepost_queues::scheduler::WorkerReport;
use sapphirepost_types::Incarnation;
use sapphirepost_types::Resources;

use crate::common::WAIT_TIMEOUT;
use crate::common::embedded::ELECTION_TIMEOUT_MS;
use crate::common::embedded::Group;

/// How long the leader keeps a worker that neither answers nor reports.
const FORGET: Duration = Duration::from_secs(15);

fn record(sequence: u64) -> WorkerRecord {
    WorkerRecord {
        id: Arc::from("w1"),
        incarnation: Incarnation(1),
        address: Arc::from("127.0.0.1:1"),
        service: Arc::from("s"),
        failure_domain: Arc::from("a"),
        capacity: Resources::new(8_000, 8_000, 0),
        labels: vec![Arc::from("large")],
        is_draining: false,
        sequence,
    }
}

fn report(record: WorkerRecord) -> QueueCall {
    let remaining_ms = record.is_draining.then_some(5_000);
    QueueCall::Report {
        record,
        report: WorkerReport { remaining_ms },
    }
}

/// Who answered a report that was sent to a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AnsweredBy {
    Follower,
    Leader,
}

/// A worker that reports to one follower, which relays to the leader as its program does.
struct Reporter {
    group: Group,
    leader: usize,
    follower: usize,
    sequence: u64,
}

impl Reporter {
    fn start() -> Reporter {
        let group = Group::start(3);
        let leader = group.leader();
        Reporter {
            group,
            leader,
            follower: (leader + 1) % 3,
            sequence: 0,
        }
    }

    /// Sends the next report of the worker, with a change.
    fn send(&mut self, change: impl Fn(&mut WorkerRecord)) -> AnsweredBy {
        self.sequence += 1;
        let mut record = record(self.sequence);
        change(&mut record);
        self.send_record(record)
    }

    fn send_record(&self, record: WorkerRecord) -> AnsweredBy {
        let call = report(record);
        match self.group.call(self.follower, &call) {
            Ok(reply) => {
                assert_eq!(reply, QueueReply::Reported);
                AnsweredBy::Follower
            }
            Err(_) => {
                let reply = self.group.call(self.leader, &call);
                assert_eq!(reply, Ok(QueueReply::Reported));
                let local = &self.group.members[self.follower].local;
                local.report_relayed(Arc::from("w1"));
                AnsweredBy::Leader
            }
        }
    }

    fn send_unchanged(&mut self) -> AnsweredBy {
        self.send(|_| {})
    }

    /// Reports until the follower acknowledges the reports.
    fn register(&mut self) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while self.send_unchanged() == AnsweredBy::Leader {
            assert!(Instant::now() < deadline, "no report is acknowledged");
            thread::sleep(Duration::from_millis(20));
        }
    }

    fn reports_at_leader(&self) -> u64 {
        self.group.counter(self.leader, "queue_worker_reports")
    }
}

/// Guards against a leader that handles every report of every worker, although nearly all of them
/// change nothing.
#[test]
fn unchanged_reports_cost_the_leader_nothing() {
    let mut reporter = Reporter::start();
    assert_eq!(reporter.send_unchanged(), AnsweredBy::Leader);
    reporter.register();
    let before = reporter.reports_at_leader();
    for _ in 0..100 {
        assert_eq!(reporter.send_unchanged(), AnsweredBy::Follower);
    }
    assert_eq!(reporter.reports_at_leader(), before);
    let follower = reporter.follower;
    let counter = "queue_worker_reports_acknowledged";
    assert!(reporter.group.counter(follower, counter) >= 100);
}

/// Guards against a worker that the leader removes although it reports, because all of its reports
/// are acknowledged by a follower.
#[test]
fn a_worker_that_reports_to_a_follower_is_not_forgotten() {
    let mut reporter = Reporter::start();
    reporter.register();
    let until = Instant::now() + FORGET + Duration::from_secs(3);
    let mut relays = vec![Instant::now()];
    while Instant::now() < until {
        if reporter.send_unchanged() == AnsweredBy::Leader {
            relays.push(Instant::now());
        }
        thread::sleep(Duration::from_millis(250));
    }
    // A worker that was forgotten is unknown to the follower, so its next report is relayed early.
    let pauses: Vec<Duration> = relays.windows(2).map(|pair| pair[1] - pair[0]).collect();
    let usual = Duration::from_secs(4)..Duration::from_secs(7);
    assert!(pauses.len() >= 2, "{pauses:?}");
    assert!(
        pauses.iter().all(|pause| usual.contains(pause)),
        "{pauses:?}"
    );
}

/// Guards against a change that the leader learns of only seconds later, because a follower
/// acknowledges it.
#[test]
fn changes_reported_to_a_follower_reach_the_leader_at_once() {
    let changes: [fn(&mut WorkerRecord); 5] = [
        |record| record.address = Arc::from("127.0.0.1:2"),
        |record| record.service = Arc::from("t"),
        |record| record.failure_domain = Arc::from("b"),
        |record| record.capacity = Resources::new(4_000, 8_000, 0),
        |record| record.labels.clear(),
    ];
    let mut reporter = Reporter::start();
    for (number, change) in changes.into_iter().enumerate() {
        reporter.register();
        assert_eq!(reporter.send_unchanged(), AnsweredBy::Follower, "{number}");
        assert_eq!(reporter.send(change), AnsweredBy::Leader, "{number}");
    }
}

/// Guards against a worker that has started again, or a late report of its former incarnation, of
/// which only a follower knows.
#[test]
fn reports_of_another_incarnation_go_to_the_leader() {
    let mut reporter = Reporter::start();
    reporter.register();
    let restart = |record: &mut WorkerRecord| record.incarnation = Incarnation(2);
    assert_eq!(reporter.send(restart), AnsweredBy::Leader);
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while reporter.send(restart) == AnsweredBy::Leader {
        assert!(Instant::now() < deadline, "no report is acknowledged");
    }
    assert_eq!(reporter.send_unchanged(), AnsweredBy::Leader);
}

/// Guards against a draining worker whose remaining time the leader does not learn.
#[test]
fn all_reports_of_a_draining_worker_go_to_the_leader() {
    let mut reporter = Reporter::start();
    reporter.register();
    let drain = |record: &mut WorkerRecord| record.is_draining = true;
    for _ in 0..10 {
        assert_eq!(reporter.send(drain), AnsweredBy::Leader);
        thread::sleep(Duration::from_millis(50));
    }
}

/// Guards against a late report that a follower acknowledges as if it were the newest.
#[test]
fn an_earlier_report_is_left_to_the_leader() {
    let mut reporter = Reporter::start();
    reporter.sequence = 10;
    reporter.register();
    assert_eq!(reporter.send_unchanged(), AnsweredBy::Follower);
    assert_eq!(reporter.send_record(record(1)), AnsweredBy::Leader);
}

/// Guards against a member that acknowledges reports while it is cut off from the leader, which
/// removes the workers meanwhile.
#[test]
fn a_follower_without_contact_to_a_leader_acknowledges_nothing() {
    let mut reporter = Reporter::start();
    reporter.register();
    let follower = &reporter.group.members[reporter.follower];
    follower.relay.cut();
    thread::sleep(Duration::from_millis(2 * ELECTION_TIMEOUT_MS));
    let answer = reporter.group.call(reporter.follower, &report(record(99)));
    assert!(answer.is_err(), "{answer:?}");
    reporter.group.members[reporter.follower].relay.heal();
    reporter.sequence = 100;
    reporter.register();
}

/// Guards against a follower that compares a report with what the worker said before its last
/// change, which it has not applied.
#[test]
fn a_follower_that_lags_behind_relays() {
    let mut reporter = Reporter::start();
    reporter.register();
    let follower = &reporter.group.members[reporter.follower];
    follower.relay.cut();
    let mut changed = record(50);
    changed.labels.clear();
    let reply = reporter
        .group
        .call(reporter.leader, &report(changed.clone()));
    assert_eq!(reply, Ok(QueueReply::Reported));
    changed.sequence = 51;
    assert_eq!(reporter.send_record(changed), AnsweredBy::Leader);
}
