//! Assembles the process and runs it.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use anyhow::Context as _;

use sapphirepost_consensus::Config;
use sapphirepost_consensus::Node;
use sapphirepost_consensus::PersistentState;
use tokio::runtime::Handle;

use sapphirepost_process::Readiness;
use sapphirepost_process::RpcError;
use sapphirepost_process::SystemClock;
use sapphirepost_process::admin::AdminParts;
use sapphirepost_process::admin::AdminServer;
use sapphirepost_process::admin::DumpError;
use sapphirepost_process::admin::DumpSource;
use sapphirepost_process::metrics::Metrics;
use sapphirepost_process::rpc;
use sapphirepost_process::rpc::Responder;
use sapphirepost_process::rpc::RpcServer;
use sapphirepost_process::rpc::RpcServerConfig;
use sapphirepost_process::shutdown;
use sapphirepost_process::shutdown::Shutdown;
use sapphirepost_protocol::queue::QueueCall;
use sapphirepost_protocol::queue::QueueReply;
use sapphirepost_state::State;
use sapphirepost_storage::DiskOptions;
use sapphirepost_storage::DiskStore;
use sapphirepost_storage::LogStore;
use sapphirepost_storage::StoreError;
use sapphirepost_types::Clock;
use sapphirepost_types::MemberId;

use crate::calls::Calls;
use crate::cluster_clock::ClockMetrics;
use crate::cluster_clock::ClusterClock;
use crate::cluster_metrics::ClusterMetrics;
use crate::core::Core;
use crate::event::Event;
use crate::event::EventRing;
use crate::initial_voters::InitialVoters;
use crate::leading::Leading;
use crate::led::LedState;
use crate::methods;
use crate::metrics::CoreMetrics;
use crate::peers::Peers;
use crate::queue_metrics::QueueMetrics;
use crate::queues::QueueParts;
use crate::queues::Queues;
use crate::settings::Settings;
use crate::snapshots::Snapshots;
use crate::storage_thread::StorageThread;

/// Threads of the asynchronous runtime; the decisions run on the core thread.
const NETWORK_THREADS: usize = 2;
/// How long the admin listener waits for a dump.
const DUMP_TIMEOUT: Duration = Duration::from_secs(2);
/// How long replies that were just answered may take to leave the process at its end.
const LINGER: Duration = Duration::from_millis(100);
/// How often a start that found no room on the disk is tried again.
const ROOM_POLL: Duration = Duration::from_millis(200);
/// Attempts for each log line about them.
const ROOM_LOG_ATTEMPTS: u32 = 25;

/// Creates the data directory, if it is new, and returns the identity of this member.
pub fn init(settings: &Settings) -> anyhow::Result<MemberId> {
    let store = open(settings).context("cannot use the data directory")?;
    Ok(store.member())
}

/// Runs the process until it is asked to stop.
pub fn run(settings: Settings) -> anyhow::Result<()> {
    run_embedded(settings, |_| Ok(None))
}

/// What a program around the process is given.
pub struct Embedding {
    /// The runtime of the network threads.
    pub runtime: Handle,
    /// The identity of this member.
    pub member: MemberId,
    /// The control process itself.
    pub local: LocalControl,
    /// Its metrics.
    pub metrics: Metrics,
    /// Whether it is ready.
    pub readiness: Readiness,
}

/// Calls the control process of this program.
#[derive(Clone)]
pub struct LocalControl {
    ring: EventRing,
}

impl LocalControl {
    /// Calls the queues; only a leader answers.
    pub async fn call(&self, call: QueueCall) -> Result<QueueReply, RpcError> {
        let (done, answer) = Responder::pair();
        methods::hand_over(&self.ring, Event::Queue(Box::new(call), done));
        let dropped = |_| Err(RpcError::OutcomeUnknown("the call was dropped".to_owned()));
        answer.await.unwrap_or_else(dropped)
    }
}

/// Runs the process inside another program, which may add the calls of workers. `embed` is called
/// before the process takes part in the group.
pub fn run_embedded(
    settings: Settings,
    embed: impl FnOnce(&Embedding) -> anyhow::Result<Option<QueueParts>>,
) -> anyhow::Result<()> {
    let mut store = when_room(|| open(&settings))?;
    let member = store.member();
    let mut restored = store.restore()?;
    if restored.is_empty() {
        when_room(|| found(&mut store, &settings.initial_voters, &mut restored))?;
    }
    let runtime = rpc::runtime(NETWORK_THREADS).context("cannot start the network threads")?;
    let (ring, events) = EventRing::new();
    let metrics = Metrics::new();
    let core_metrics = CoreMetrics::register(&metrics);
    let cluster_metrics = ClusterMetrics::register(&metrics);
    let clock_metrics = ClockMetrics::register(&metrics);
    let queue_metrics = QueueMetrics::register(&metrics);
    let storage = StorageThread::start(Box::new(store), ring.clone(), core_metrics.clone())?;

    let server_config = RpcServerConfig::new(settings.inner_address, settings.inner_key.clone());
    let server = RpcServer::start(runtime.handle(), server_config, methods::methods(&ring)?)?;
    let readiness = Readiness::new();
    readiness.block("consensus", "no leader is known");
    let dump = dump_source(ring.clone());
    let parts = AdminParts {
        readiness: readiness.clone(),
        metrics,
        dump,
    };
    let embedding = Embedding {
        runtime: runtime.handle().clone(),
        member,
        local: LocalControl { ring: ring.clone() },
        metrics: parts.metrics.clone(),
        readiness: readiness.clone(),
    };
    let queue_parts = embed(&embedding)?;
    let admin = AdminServer::start(settings.admin_address, parts)?;
    let signals = ring.clone();
    shutdown::on_shutdown(move |kind| stop(kind, &signals)).context("cannot handle signals")?;
    log::info!(member:%, inner:% = server.address(), admin:% = admin.address(); "started");

    let peers = Peers::new(
        runtime.handle().clone(),
        settings.inner_key.clone(),
        member,
        settings.advertise_address.to_string(),
    );
    let core = core(
        &settings,
        restored,
        peers,
        &storage,
        readiness,
        (core_metrics, cluster_metrics, clock_metrics),
        Queues::new(queue_parts, ring.clone(), queue_metrics),
    )?;
    let result = core.run(&events);
    if result.is_ok() {
        thread::sleep(LINGER);
    }
    server.stop();
    // The storage thread ends by itself once the core and snapshot threads have dropped the ring.
    if result.is_ok() {
        drop(events);
        storage.finish();
    }
    runtime.shutdown_background();
    log::info!("stopped");
    Ok(result?)
}

fn stop(kind: Shutdown, events: &EventRing) {
    match kind {
        Shutdown::Graceful => events.message(Event::Shutdown),
        Shutdown::Immediate => {
            // Not through the core thread, which may wait for a disk that does not answer. The
            // log tolerates an end at any moment.
            log::warn!("stopping at once; calls in progress end without an answer");
            std::process::exit(1);
        }
    }
}

fn open(settings: &Settings) -> Result<DiskStore, StoreError> {
    let options = DiskOptions {
        segment_bytes: settings.segment_bytes,
        new_member: settings.new_member,
    };
    DiskStore::open(&settings.data_dir, options)
}

/// Repeats a step of the start until the disk has room for it. A process that ended instead would
/// only be started again.
fn when_room<T>(mut step: impl FnMut() -> Result<T, StoreError>) -> anyhow::Result<T> {
    let mut attempts = 0;
    loop {
        match step() {
            Err(error) if error.is_out_of_space() => {
                if attempts % ROOM_LOG_ATTEMPTS == 0 {
                    log::error!(error:%; "waiting for room on the disk");
                }
                attempts += 1;
                thread::sleep(ROOM_POLL);
            }
            result => return result.context("cannot use the data directory"),
        }
    }
}

/// A first voter with an empty log founds the group.
fn found(
    store: &mut DiskStore,
    initial_voters: &InitialVoters,
    restored: &mut PersistentState,
) -> Result<(), StoreError> {
    let member = store.member();
    if !initial_voters.contains(member) {
        log::warn!(member:%; "not a first voter; waiting to be added as a member");
        return Ok(());
    }
    let records = initial_voters.records();
    store.append(&records)?;
    store.sync()?;
    records
        .into_iter()
        .for_each(|record| restored.apply(record));
    Ok(())
}

fn core(
    settings: &Settings,
    restored: PersistentState,
    peers: Peers,
    storage: &StorageThread,
    readiness: Readiness,
    (metrics, cluster_metrics, clock_metrics): (CoreMetrics, ClusterMetrics, ClockMetrics),
    queues: Queues,
) -> anyhow::Result<Core> {
    let member = peers.member();
    let clock = Arc::new(SystemClock::new());
    let (state, applied) = match &restored.snapshot {
        Some(snapshot) => (State::restore(&snapshot.data)?, snapshot.meta.index),
        None => (State::new(), 0),
    };
    let seed = clock.unix_ms();
    let mut config = Config::new(member, seed);
    config.election_timeout_ms = settings.election_timeout_ms;
    config.heartbeat_ms = settings.heartbeat_ms;
    let node = Node::new(config, restored, clock.now());
    let cluster_clock = ClusterClock::new(node.last_index(), clock_metrics);
    let jobs = storage.jobs();
    let snapshots = Snapshots::start(settings.snapshot_entries, applied, jobs.clone())?;
    Ok(Core {
        clock,
        node,
        state,
        applied,
        calls: Calls::default(),
        peers,
        jobs,
        snapshots,
        readiness,
        metrics,
        cluster_clock,
        cluster_metrics,
        leading: Leading {
            member,
            lease_ms: settings.lease_ms,
            election_timeout_ms: settings.election_timeout_ms,
        },
        led: LedState::default(),
        queues,
        stop_by: None,
    })
}

fn dump_source(ring: EventRing) -> DumpSource {
    Arc::new(move || {
        let (sender, receiver) = flume::bounded(1);
        let reply = Box::new(move |dump| drop(sender.try_send(dump)));
        ring.call(Event::Dump(reply)).map_err(|_| DumpError::Busy)?;
        receiver
            .recv_timeout(DUMP_TIMEOUT)
            .map_err(|_| DumpError::TimedOut)
    })
}
