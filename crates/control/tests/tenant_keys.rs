//! Requests with keys of tenants, at members that lead, follow, or have lost their quorum.

mod common;

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::join;
use sapphirepost_process::RpcError;
use sapphirepost_protocol::queue::CallerAction;
use sapphirepost_protocol::queue::CallerRequest;
use sapphirepost_protocol::queue::QueueCall;
use sapphirepost_protocol::queue::QueueReply;
use sapphirepost_queues::ApiKey;
use sapphirepost_queues::JobPhase;
use sapphirepost_queues::QueueTable;
use sapphirepost_queues::StepSpec;
use sapphirepost_queues::SubmittedSpec;
use sapphirepost_queues::Tenant;
use sapphirepost_queues::TenantLimits;
use sapphirepost_types::Resources;

use crate::common::WAIT_TIMEOUT;
use crate::common::embedded::Group;
use crate::common::embedded::table;

/// How often two tenants submit one job at the same time.
const ATTEMPTS: u64 = 50;
const QUEUED: QueueReply = QueueReply::Phase(JobPhase::Queued);

fn tenant(name: &str, keys: &[&str]) -> Tenant {
    Tenant {
        name: Arc::from(name),
        keys: keys.iter().map(|key| ApiKey::new(key)).collect(),
        limits: TenantLimits {
            priority: 0,
            weight: 1.0,
            quota: Resources::new(u64::MAX, u64::MAX, u32::MAX),
        },
    }
}

/// A table with the queue `/jobs/` and the public queue `/open/`.
fn tenants_table(version: u64, tenants: Vec<Tenant>) -> QueueTable {
    let mut table = table(version);
    let mut open = table.queues[0].clone();
    open.name = Arc::from("open");
    open.path_prefix = Arc::from("/open/");
    open.is_public = true;
    table.queues.push(open);
    table.tenants = Some(tenants);
    table
}

fn caller(path: &str, key: Option<&str>, action: CallerAction) -> QueueCall {
    QueueCall::Caller(CallerRequest {
        host: "h".to_owned(),
        path: path.to_owned(),
        key: key.map(ApiKey::new),
        action,
    })
}

fn job(number: u64, key: Option<&str>, action: CallerAction) -> QueueCall {
    caller(&format!("/jobs/{number:016x}"), key, action)
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

/// A group with the tenants acme, which has two keys, and bolt.
struct Site {
    group: Group,
    leader: usize,
}

impl Site {
    fn start() -> Site {
        let group = Group::start(3);
        let site = Site {
            leader: group.leader(),
            group,
        };
        let tenants = vec![
            tenant("acme", &["acme-1", "acme-2"]),
            tenant("bolt", &["bolt-1"]),
        ];
        site.put(tenants_table(2, tenants));
        site
    }

    fn call(&self, call: &QueueCall) -> QueueReply {
        self.group.call(self.leader, call).unwrap()
    }

    fn put(&self, table: QueueTable) {
        let reply = self.call(&QueueCall::PutTable(table));
        assert_eq!(reply, QueueReply::TableInForce);
    }

    fn follower(&self) -> usize {
        (self.leader + 1) % 3
    }

    /// Asks the leader for its index as the program of the follower does.
    fn ask_index(&self) {
        let local = &self.group.members[self.follower()].local;
        let Some(asked) = self.group.block_on(local.leader_index_wanted()) else {
            return;
        };
        let QueueReply::LeaderIndex(index) = self.call(&QueueCall::LeaderIndex) else {
            panic!("no index");
        };
        local.leader_index_known(index, asked);
    }

    /// Reads a job at a follower until it answers.
    fn wait_for_follower(&self, read: &QueueCall) -> QueueReply {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            self.ask_index();
            match self.group.call(self.follower(), read) {
                Ok(reply) => return reply,
                Err(error) => assert!(Instant::now() < deadline, "{error}"),
            }
            thread::sleep(Duration::from_millis(10));
        }
    }

    fn assert_follower_does_not_answer(&self, read: &QueueCall) {
        for _ in 0..10 {
            self.ask_index();
            let reply = self.group.call(self.follower(), read);
            let is_forwarded = matches!(reply, Err(RpcError::NotLeader { .. }));
            assert!(is_forwarded, "{read:?}: {reply:?}");
            thread::sleep(Duration::from_millis(10));
        }
    }
}

/// Guards against requests that run without a valid key, and against a job that another tenant
/// uses.
#[test]
fn the_leader_refuses_requests_without_the_key_of_the_tenant() {
    let site = Site::start();
    let acme = Some("acme-1");
    assert_eq!(site.call(&job(1, acme, submission())), QueueReply::Accepted);
    for key in [None, Some("wrong"), Some("")] {
        for action in [submission(), CallerAction::Read, CallerAction::Cancel] {
            for number in [1, 2] {
                let reply = site.call(&job(number, key, action.clone()));
                assert_eq!(reply, QueueReply::Unauthorized, "{key:?} {action:?}");
            }
        }
        let waiting = site.call(&caller("/jobs/", key, CallerAction::Read));
        assert_eq!(waiting, QueueReply::Unauthorized);
    }
    for action in [submission(), CallerAction::Read, CallerAction::Cancel] {
        let reply = site.call(&job(1, Some("bolt-1"), action));
        assert_eq!(reply, QueueReply::Forbidden);
    }
    assert_eq!(site.call(&job(1, acme, CallerAction::Read)), QUEUED);
    let unknown = site.call(&job(2, acme, CallerAction::Read));
    assert_eq!(unknown, QueueReply::UnknownJob);
}

/// Guards against a key in a log line that shows a call or an unexpected reply.
#[test]
fn debug_output_of_calls_and_replies_shows_no_key() {
    let mut table = tenants_table(2, vec![tenant("acme", &["acme-1"])]);
    table.document = "{\"api-keys\": [\"acme-1\"]}".into();
    let reply = QueueReply::Table(table.document.clone());
    let put = QueueCall::PutTable(table);
    let read = job(1, Some("acme-1"), CallerAction::Read);
    let text = format!("{put:?} {read:#?} {reply:?}");
    assert!(!text.contains("acme-1"), "{text}");
}

/// Guards against a public queue that asks for a key, or takes an unknown one.
#[test]
fn a_public_queue_needs_no_key_and_takes_no_unknown_one() {
    let site = Site::start();
    let open = |key, action| site.call(&caller("/open/0000000000000009", key, action));
    assert_eq!(open(Some("wrong"), submission()), QueueReply::Unauthorized);
    assert_eq!(open(None, CallerAction::Read), QueueReply::UnknownJob);
    assert_eq!(open(None, submission()), QueueReply::Accepted);
    assert_eq!(open(None, CallerAction::Read), QUEUED);
    assert_eq!(open(Some("acme-1"), CallerAction::Read), QUEUED);
    assert_eq!(
        open(Some("wrong"), CallerAction::Read),
        QueueReply::Unauthorized
    );
}

/// Guards against a follower that shows a job to a caller without its tenant's key, or refuses one
/// by a table that may be old.
#[test]
fn a_follower_answers_only_callers_whose_key_it_knows() {
    let site = Site::start();
    site.call(&job(1, Some("acme-1"), submission()));
    let read = |key| job(1, key, CallerAction::Read);
    for key in ["acme-1", "acme-2"] {
        assert_eq!(site.wait_for_follower(&read(Some(key))), QUEUED);
    }
    for key in [None, Some("wrong"), Some("bolt-1")] {
        site.assert_follower_does_not_answer(&read(key));
    }
}

/// Guards against a job that is lost to its tenant when the key changes with which it was
/// submitted, and against a withdrawn key that goes on.
#[test]
fn a_new_table_withdraws_and_adds_keys() {
    let site = Site::start();
    let read = |key| job(1, Some(key), CallerAction::Read);
    site.call(&job(1, Some("acme-1"), submission()));
    assert_eq!(site.wait_for_follower(&read("acme-1")), QUEUED);
    site.put(tenants_table(
        3,
        vec![tenant("acme", &["acme-2", "acme-3"])],
    ));
    assert_eq!(site.call(&read("acme-1")), QueueReply::Unauthorized);
    let late = site.call(&job(2, Some("acme-1"), submission()));
    assert_eq!(late, QueueReply::Unauthorized);
    for key in ["acme-2", "acme-3"] {
        assert_eq!(site.call(&read(key)), QUEUED);
        assert_eq!(
            site.call(&job(1, Some(key), submission())),
            QueueReply::Accepted
        );
        assert_eq!(site.wait_for_follower(&read(key)), QUEUED);
    }
    site.assert_follower_does_not_answer(&read("acme-1"));
    // An older table does not bring the key back.
    site.put(tenants_table(2, vec![tenant("acme", &["acme-1"])]));
    assert_eq!(site.call(&read("acme-1")), QueueReply::Unauthorized);
    let cancelled = site.call(&job(1, Some("acme-3"), CallerAction::Cancel));
    assert_eq!(cancelled, QueueReply::Cancelled);
}

/// Guards against a tenant that is told that its job is accepted, or that cancels, while the job of
/// another tenant with the same ID is being committed.
#[test]
fn of_two_tenants_with_one_job_id_only_one_has_the_job() {
    let site = Site::start();
    let local = &site.group.members[site.leader].local;
    for number in 1..=ATTEMPTS {
        let first = local.call(job(number, Some("acme-1"), submission()));
        let action = match number % 2 {
            0 => CallerAction::Cancel,
            _ => submission(),
        };
        let second = local.call(job(number, Some("bolt-1"), action));
        let (first, second) = site.group.block_on(join(first, second));
        assert_eq!(first, Ok(QueueReply::Accepted));
        let is_open = matches!(second, Err(RpcError::Busy) | Ok(QueueReply::Forbidden));
        assert!(is_open, "job {number}: {second:?}");
        let read = site.call(&job(number, Some("acme-1"), CallerAction::Read));
        assert_eq!(read, QUEUED, "job {number}");
        let read = site.call(&job(number, Some("bolt-1"), CallerAction::Read));
        assert_eq!(read, QueueReply::Forbidden);
    }
}

/// Guards against a leader without a quorum that refuses a key which a newer table has added.
#[test]
fn a_leader_without_its_quorum_refuses_no_key() {
    let site = Site::start();
    site.call(&job(1, Some("acme-1"), submission()));
    for member in &site.group.members {
        member.relay.cut();
    }
    let deadline = Instant::now() + Duration::from_secs(3);
    while Instant::now() < deadline {
        for key in [None, Some("new"), Some("bolt-1")] {
            for action in [submission(), CallerAction::Read, CallerAction::Cancel] {
                let reply = site.group.call(site.leader, &job(1, key, action));
                assert!(reply.is_err(), "{key:?}: {reply:?}");
            }
        }
    }
    for member in &site.group.members {
        member.relay.heal();
    }
    let (_, reply) = site
        .group
        .call_leader(&job(1, Some("new"), CallerAction::Read));
    assert_eq!(reply, QueueReply::Unauthorized);
}
