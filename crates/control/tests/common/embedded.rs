//! A group of members that run in the test process, each behind a relay.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use tempfile::TempDir;
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
use sapphirepost_process::metrics::Metrics;
use sapphirepost_protocol::queue::QueueCall;
use sapphirepost_protocol::queue::QueueReply;
use sapphirepost_queues::Queue;
use sapphirepost_queues::QueueTable;
use sapphirepost_queues::scheduler::WorkerRequest;
use sapphirepost_queues::scheduler::WorkerRequestError;
use sapphirepost_queues::table::ENDED_KEPT_DEFAULT_MS;
use sapphirepost_queues::table::Service;
use sapphirepost_types::MemberId;

use super::WAIT_TIMEOUT;
use super::free_address;
use super::relay::Relay;

pub const ELECTION_TIMEOUT_MS: u64 = 400;

/// A gateway to workers that never answer.
struct SilentWorkers;

impl WorkerGateway for SilentWorkers {
    fn send(&self, _request: WorkerRequest, done: WorkerReplyCallback) {
        thread::spawn(move || done(Err(WorkerRequestError::NoAnswer)));
    }
}

pub struct Member {
    pub local: LocalControl,
    pub relay: Relay,
    metrics: Metrics,
}

/// A group of voters with a queue table, which run until the test process ends.
pub struct Group {
    pub members: Vec<Member>,
    runtime: Runtime,
    _data: Arc<TempDir>,
}

impl Group {
    pub fn start(size: usize) -> Group {
        let data = Arc::new(tempfile::tempdir().unwrap());
        let inner: Vec<SocketAddr> = (0..size).map(|_| free_address()).collect();
        let relays: Vec<Relay> = inner.iter().map(|inner| Relay::start(*inner)).collect();
        let voters: Vec<InitialVoter> = relays
            .iter()
            .zip(1..)
            .map(|(relay, id)| InitialVoter {
                member: MemberId(id),
                address: relay.address.to_string(),
            })
            .collect();
        let members = relays.into_iter().zip(inner).zip(1..);
        let members = members.map(|((relay, inner), id)| {
            let data_dir = data.path().join(format!("member-{id}"));
            let settings = settings(data_dir, inner, relay.address, MemberId(id), &voters);
            start_member(settings, relay, data.clone())
        });
        let group = Group {
            members: members.collect(),
            runtime: Runtime::new().unwrap(),
            _data: data.clone(),
        };
        group.call_leader(&QueueCall::PutTable(table(1)));
        group
    }

    pub fn block_on<T>(&self, future: impl Future<Output = T>) -> T {
        self.runtime.block_on(future)
    }

    /// Makes a call to one member as the program does in which it runs.
    pub fn call(&self, index: usize, call: &QueueCall) -> Result<QueueReply, RpcError> {
        let local = &self.members[index].local;
        self.runtime.block_on(local.call(call.clone()))
    }

    /// Calls one member after another until one answers, and returns which one and its answer.
    pub fn call_leader(&self, call: &QueueCall) -> (usize, QueueReply) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            for index in 0..self.members.len() {
                match self.call(index, call) {
                    Ok(reply) => return (index, reply),
                    Err(error) => assert!(Instant::now() < deadline, "{error}"),
                }
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Returns the index of the leader.
    pub fn leader(&self) -> usize {
        self.call_leader(&QueueCall::GetTable).0
    }

    /// Returns the metrics of one member as text.
    pub fn metrics(&self, index: usize) -> String {
        self.members[index].metrics.encode().unwrap()
    }

    /// Returns the value of a counter of one member.
    pub fn counter(&self, index: usize, name: &str) -> u64 {
        let text = self.metrics(index);
        let prefix = format!("sapphirepost_{name}_total ");
        let value = text.lines().find_map(|line| line.strip_prefix(&prefix));
        value.unwrap().parse().unwrap()
    }
}

fn settings(
    data_dir: PathBuf,
    inner_address: SocketAddr,
    advertise_address: SocketAddr,
    member: MemberId,
    voters: &[InitialVoter],
) -> Settings {
    Settings {
        mode: Mode::Run,
        data_dir,
        inner_address,
        advertise_address,
        admin_address: free_address(),
        inner_key: None,
        initial_voters: InitialVoters(voters.to_vec()),
        new_member: Some(member),
        fault_tolerance: FaultTolerance::new(1),
        election_timeout_ms: ELECTION_TIMEOUT_MS,
        heartbeat_ms: 40,
        lease_ms: 4_000,
        snapshot_entries: 10_000,
        snapshot_log_bytes: 16 << 20,
        segment_bytes: 1 << 20,
        request_memory_bytes: 64 << 20,
        descriptor_limit: 1_024,
        log_levels: LogLevels::default(),
    }
}

fn start_member(settings: Settings, relay: Relay, data: Arc<TempDir>) -> Member {
    let (sender, receiver) = flume::bounded(1);
    thread::spawn(move || {
        let _data = data;
        run_embedded(settings, |embedding| {
            sender.send((embedding.local.clone(), embedding.metrics.clone()))?;
            let timing = QueueTiming {
                lease_ms: 4_000,
                lease_max_ms: 4_000,
                stop_ms: 400,
                gang_ms: 2_000,
                remote_factor: 1.0,
            };
            let gateway = Box::new(SilentWorkers);
            Ok(Some(QueueParts { gateway, timing }))
        })
        .unwrap();
    });
    let (local, metrics) = receiver.recv().unwrap();
    Member {
        local,
        relay,
        metrics,
    }
}

/// A table with one queue, whose jobs have paths below `/jobs/` of host `h`.
pub fn table(version: u64) -> QueueTable {
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
        version,
        queues: vec![queue],
        services: vec![service],
        tenants: None,
        document: "{}".into(),
        ended_kept_ms: ENDED_KEPT_DEFAULT_MS,
    }
}
