//! Calls about queues that arrive while an earlier call is not committed yet, to a member that runs
//! in the test process.

mod common;

use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::join;
use tokio::runtime::Runtime;

use sapphirepost_control::FaultTolerance;
use sapphirepost_control::InitialVoter;
use sapphirepost_control::InitialVoters;
use sapphirepost_control::LocalControl;
use sapphirepost_control::Mode;
use sapphirepost_control::QueueParts;
use sapphirepost_control::QueueTiming;
use sapphirepost_control::Settings;
use sapphirepost_control::WorkerGateway;
use sapphirepost_control::WorkerReplyCallback;
use sapphirepost_control::run_embedded;
use sapphirepost_process::RpcError;
use sapphirepost_process::logging::LogLevels;
use sapphirepost_protocol::queue::CallerAction;
use sapphirepost_protocol::queue::CallerRequest;
use sapphirepost_protocol::queue::QueueCall;
use sapphirepost_protocol::queue::QueueReply;
use sapphirepost_queues::JobPhase;
use sapphirepost_queues::Queue;
use sapphirepost_queues::QueueTable;
use sapphirepost_queues::StepSpec;
use sapphirepost_queues::SubmittedSpec;
use sapphirepost_queues::WorkerRecord;
use sapphirepost_queues::scheduler::WorkerReport;
use sapphirepost_queues::scheduler::WorkerRequest;
use sapphirepost_queues::scheduler::WorkerRequestError;
use sapphirepost_queues::table::ENDED_KEPT_DEFAULT_MS;
use sapphirepost_queues::table::Service;
use sapphirepost_types::Incarnation;
use sapphirepost_types::MemberId;
use sapphirepost_types::Resources;

use crate::common::WAIT_TIMEOUT;
use crate::common::free_address;

const MEMBER: MemberId = MemberId(1);
/// How often two calls are made at the same time; most of these times the second one arrives before
/// the commit of the first.
const ATTEMPTS: u64 = 50;

/// A gateway to workers that never answer; it records the workers that it was to reach, and when.
#[derive(Clone, Default)]
struct SilentWorkers {
    requests: Arc<Mutex<Vec<SentRequest>>>,
}

struct SentRequest {
    worker: Arc<str>,
    at: Instant,
}

impl WorkerGateway for SilentWorkers {
    fn send(&self, request: WorkerRequest, done: WorkerReplyCallback) {
        let sent = SentRequest {
            worker: request.worker,
            at: Instant::now(),
        };
        self.requests.lock().unwrap().push(sent);
        thread::spawn(move || done(Err(WorkerRequestError::NoAnswer)));
    }
}

impl SilentWorkers {
    fn was_reached_after(&self, worker: &str, at: Instant) -> bool {
        let requests = self.requests.lock().unwrap();
        requests
            .iter()
            .any(|sent| *sent.worker == *worker && sent.at > at)
    }
}

/// A group of one member, which runs until the test process ends.
struct Member {
    runtime: Runtime,
    local: LocalControl,
    workers: SilentWorkers,
}

impl Member {
    fn start() -> Member {
        let data_dir = tempfile::tempdir().unwrap();
        let address = free_address();
        let voter = InitialVoter {
            member: MEMBER,
            address: address.to_string(),
        };
        let settings = Settings {
            mode: Mode::Run,
            data_dir: data_dir.path().join("data"),
            inner_address: address,
            advertise_address: address,
            admin_address: free_address(),
            inner_key: None,
            initial_voters: InitialVoters(vec![voter]),
            new_member: Some(MEMBER),
            fault_tolerance: FaultTolerance::new(0),
            election_timeout_ms: 200,
            heartbeat_ms: 40,
            lease_ms: 4_000,
            snapshot_entries: 10_000,
            snapshot_log_bytes: 16 << 20,
            segment_bytes: 1 << 20,
            request_memory_bytes: 64 << 20,
            descriptor_limit: 1_024,
            log_levels: LogLevels::default(),
        };
        let workers = SilentWorkers::default();
        let gateway = Box::new(workers.clone());
        let (sender, receiver) = flume::bounded(1);
        thread::spawn(move || {
            let _data_dir = data_dir;
            run_embedded(settings, |embedding| {
                sender.send(embedding.local.clone())?;
                let timing = QueueTiming {
                    lease_ms: 4_000,
                    lease_max_ms: 4_000,
                    stop_ms: 400,
                    gang_ms: 2_000,
                    remote_factor: 1.0,
                };
                Ok(Some(QueueParts { gateway, timing }))
            })
            .unwrap();
        });
        let member = Member {
            runtime: Runtime::new().unwrap(),
            local: receiver.recv().unwrap(),
            workers,
        };
        member.call(&QueueCall::PutTable(table()));
        member
    }

    /// Repeats a call until it is answered.
    fn call(&self, call: &QueueCall) -> QueueReply {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            match self.runtime.block_on(self.local.call(call.clone())) {
                Ok(reply) => return reply,
                Err(error) => assert!(Instant::now() < deadline, "{error}"),
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Makes two calls, the second one before the answer to the first.
    fn call_both(
        &self,
        first: QueueCall,
        second: QueueCall,
    ) -> (Result<QueueReply, RpcError>, Result<QueueReply, RpcError>) {
        let both = join(self.local.call(first), self.local.call(second));
        self.runtime.block_on(both)
    }
}

fn table() -> QueueTable {
    let queue = Queue {
        name: Arc::from("jobs"),
        host: Arc::from("h"),
        path_prefix: Arc::from("/jobs/"),
        service: Arc::from("s"),
        priority: 0,
        attempts_max: 1,
        deadline_factor: 2.0,
        target_ms: 1_000,
        timeout_ms: 1_000,
        permits: None,
        is_public: false,
    };
    let service = Service {
        name: Arc::from("s"),
        workers_check_room: false,
    };
    QueueTable {
        version: 1,
        queues: vec![queue],
        services: vec![service],
        tenants: None,
        document: "{}".into(),
        ended_kept_ms: ENDED_KEPT_DEFAULT_MS,
    }
}

fn caller(job: u64, action: CallerAction) -> QueueCall {
    QueueCall::Caller(CallerRequest {
        host: "h".to_owned(),
        path: format!("/jobs/{job:016x}"),
        key: None,
        action,
    })
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

/// Guards against a caller who is told that there is no such job while its submission is being
/// committed, and whose job then runs although it asked to cancel it.
#[test]
fn a_job_that_is_being_committed_is_not_unknown() {
    let member = Member::start();
    for job in 1..=ATTEMPTS {
        let cancel = caller(job, CallerAction::Cancel);
        let (submitted, cancelled) = member.call_both(caller(job, submission()), cancel);
        assert_eq!(submitted, Ok(QueueReply::Accepted));
        assert_eq!(cancelled, Ok(QueueReply::Cancelled), "job {job}");
        let phase = member.call(&caller(job, CallerAction::Read));
        assert_eq!(phase, QueueReply::Phase(JobPhase::Cancelled));
    }
    for job in ATTEMPTS + 1..=2 * ATTEMPTS {
        let read = caller(job, CallerAction::Read);
        let (submitted, phase) = member.call_both(caller(job, submission()), read);
        assert_eq!(submitted, Ok(QueueReply::Accepted));
        assert_ne!(phase, Ok(QueueReply::UnknownJob), "job {job}");
    }
}

/// Guards against a worker that stays registered although it has signed off, because its
/// registration was being committed.
#[test]
fn a_worker_that_leaves_while_it_is_being_registered_is_not_used() {
    let member = Member::start();
    let worker = |number: u64| -> Arc<str> { Arc::from(format!("w{number}")) };
    for number in 1..=ATTEMPTS {
        let record = WorkerRecord {
            id: worker(number),
            incarnation: Incarnation(1),
            address: Arc::from("127.0.0.1:1"),
            service: Arc::from("s"),
            failure_domain: Arc::from("a"),
            capacity: Resources::new(8_000, 8_000, 0),
            labels: Vec::new(),
            is_draining: false,
            sequence: 1,
        };
        let report = WorkerReport { remaining_ms: None };
        let left = QueueCall::Left {
            worker: worker(number),
            incarnation: None,
        };
        let (reported, left) = member.call_both(QueueCall::Report { record, report }, left);
        assert!(reported.is_ok() && left.is_ok());
    }
    thread::sleep(Duration::from_millis(200));
    let after = Instant::now();
    thread::sleep(Duration::from_millis(800));
    let mut all = 1..=ATTEMPTS;
    let used = all.find(|number| member.workers.was_reached_after(&worker(*number), after));
    assert_eq!(used, None);
}

/// Guards against a member that nobody can reach and that stays in the group, because the address
/// in its join request was taken as it came.
#[test]
fn a_member_without_a_valid_address_does_not_join() {
    let member = Member::start();
    let join = QueueCall::Join {
        member: MemberId(2),
        address: "nowhere".to_owned(),
    };
    let reply = member.call(&join);
    assert!(matches!(reply, QueueReply::Invalid(_)), "{reply:?}");
}
