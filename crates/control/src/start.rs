//! Assembles the process and runs it.

use std::num::NonZero;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use anyhow::Context as _;

use sapphirepost_consensus::Config;
use sapphirepost_consensus::Index;
use sapphirepost_consensus::Node;
use sapphirepost_consensus::PersistentState;
use tokio::runtime::Handle;

use sapphirepost_process::Readiness;
use sapphirepost_process::RpcError;
use sapphirepost_process::SystemClock;
use sapphirepost_process::admin::AdminServer;
use sapphirepost_process::admin::AdminSources;
use sapphirepost_process::admin::DumpError;
use sapphirepost_process::admin::DumpSource;
use sapphirepost_process::byte_budget::ByteBudget;
use sapphirepost_process::descriptors::DescriptorShares;
use sapphirepost_process::logging;
use sapphirepost_process::metrics::Metrics;
use sapphirepost_process::rpc;
use sapphirepost_process::rpc::OrderedRuntime;
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
use sapphirepost_types::Millis;

use crate::cluster_clock::ClockMetrics;
use crate::cluster_clock::ClusterClock;
use crate::cluster_metrics::ClusterMetrics;
use crate::commit_path;
use crate::commit_path::CommitPath;
use crate::commit_path::Hops;
use crate::core::Core;
use crate::core_load::CALL_NETWORK_THREAD_NAME;
use crate::core_load::CoreLoad;
use crate::core_load::GROUP_NETWORK_THREAD_NAME;
use crate::core_load::LoadMetrics;
use crate::event::Event;
use crate::event::EventSender;
use crate::follower_reads::StateAge;
use crate::group_size::EvenTimer;
use crate::group_tolerance::GroupTolerance;
use crate::group_tolerance::ToleranceMetrics;
use crate::initial_voters::InitialVoters;
use crate::leader_settings::LeaderSettings;
use crate::leadership::Leadership;
use crate::methods;
use crate::metrics::CoreMetrics;
use crate::peers::Peers;
use crate::pending_calls::PendingCalls;
use crate::queue_metrics::QueueMetrics;
use crate::queues::QueueParts;
use crate::queues::Queues;
use crate::relayed_reports::RelayedReports;
use crate::settings::Settings;
use crate::snapshots::SnapshotInterval;
use crate::snapshots::Snapshots;
use crate::storage_thread::StorageThread;

/// The part of the size of the log at which a snapshot is due that stays in memory afterwards, for
/// members that lag slightly.
const TRAILING_DIVISOR: usize = 2;
/// The most threads of the asynchronous runtime; scheduling decisions run on the core thread.
const NETWORK_THREADS_MAX: usize = 2;
/// Threads that carry the calls of other processes. They are apart from the others, which may have
/// thousands of requests to workers to handle first.
const CALL_NETWORK_THREADS: usize = 1;
/// How long the admin listener waits for a dump.
const DUMP_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a stopping process waits for its last replies to be sent.
const REPLY_DRAIN_TIME: Duration = Duration::from_millis(100);
/// Time between two attempts to start while the disk is out of space.
const SPACE_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// One failed attempt to start in this many is logged.
const ATTEMPTS_PER_LOG_LINE: u32 = 25;

/// Creates the data directory, if it is new, and returns the identity of this member.
pub fn init(settings: &Settings) -> anyhow::Result<MemberId> {
    let store = open_store(settings).context("cannot use the data directory")?;
    Ok(store.member())
}

/// Runs the process until it is asked to stop.
pub fn run(settings: Settings) -> anyhow::Result<()> {
    run_embedded(settings, |_| Ok(None))
}

/// The parts of the control process that an embedding program may use.
pub struct Embedding {
    /// The asynchronous runtime that the network threads run.
    pub runtime: Handle,
    /// The identity of this member.
    pub member: MemberId,
    /// How many descriptors the program may use for each purpose.
    pub descriptors: DescriptorShares,
    /// The memory for requests that arrive, which the program's listeners share.
    pub budget: ByteBudget,
    /// Calls this control process without a connection.
    pub local: LocalControl,
    /// The metrics of the process, to which the program may add its own.
    pub metrics: Metrics,
    /// The readiness of the process, which the program may block for its own reasons.
    pub readiness: Readiness,
}

/// Calls the control process that runs in the same program.
#[derive(Clone)]
pub struct LocalControl {
    event_sender: EventSender,
}

impl LocalControl {
    /// Makes a call about queues. Members that do not lead return an error, except for a report of
    /// a worker that changes nothing and a read of a job: a follower answers these itself if its
    /// state is recent.
    pub async fn call(&self, call: QueueCall) -> Result<QueueReply, RpcError> {
        let (done, answer) = Responder::channel();
        methods::forward_call(&self.event_sender, Event::LocalQueue(Box::new(call), done));
        let dropped = |_| Err(RpcError::OutcomeUnknown("the call was dropped".to_owned()));
        answer.await.unwrap_or_else(dropped)
    }

    /// Returns the time to pass to [`LocalControl::leader_index_known`] with the answer of the leader
    /// to a [`QueueCall::LeaderIndex`] that is made now; `None` if it would be of no use, because
    /// this member leads or gets no reads.
    pub async fn leader_index_wanted(&self) -> Option<Millis> {
        let (done, answer) = Responder::channel();
        methods::forward_call(&self.event_sender, Event::LeaderIndexWanted(done));
        answer.await.ok()?.ok()
    }

    /// Notes that the leader, asked at `asked`, had applied the log up to `index`. Once this member
    /// has done so too, it answers reads of jobs for some time.
    pub fn leader_index_known(&self, index: Index, asked: Millis) {
        self.event_sender
            .send_or_drop(Event::LeaderIndexKnown(index, asked));
    }

    /// Notes that the leader has answered a report of `worker` that was relayed to it. For some
    /// time this member acknowledges reports of the worker that change nothing.
    pub fn report_relayed(&self, worker: Arc<str>) {
        // If it is lost, the next report is relayed as well.
        let _ = self
            .event_sender
            .try_send_call(Event::ReportRelayed(worker));
    }
}

/// Runs the process inside another program until it is asked to stop. `embed` is called before the
/// process takes part in the group; queues are scheduled only if it returns [`QueueParts`].
pub fn run_embedded(
    settings: Settings,
    embed: impl FnOnce(&Embedding) -> anyhow::Result<Option<QueueParts>>,
) -> anyhow::Result<()> {
    let descriptors = DescriptorShares::of(settings.descriptor_limit)?;
    let mut store = retry_while_out_of_space(|| open_store(&settings))?;
    let member = store.member();
    let mut restored = store.restore()?;
    if restored.is_empty() {
        retry_while_out_of_space(|| {
            bootstrap(&mut store, &settings.initial_voters, &mut restored)
        })?;
    }
    let runtime = rpc::runtime(network_threads()).context("cannot start the network threads")?;
    // A commit passes the thread of the group several times, so it must not wait behind the calls of
    // all entries. A member rejects entries that overtake earlier ones.
    let call_runtime = rpc::named_runtime(CALL_NETWORK_THREAD_NAME, CALL_NETWORK_THREADS)
        .context("cannot start the network thread for calls")?;
    let group_runtime = OrderedRuntime::start(GROUP_NETWORK_THREAD_NAME)
        .context("cannot start the group's network thread")?;
    let (event_sender, events) = EventSender::new();
    let metrics = Metrics::new();
    let core_metrics = CoreMetrics::register(&metrics);
    let load_metrics = LoadMetrics::register(&metrics);
    let hops = Hops::register(&metrics);
    group_runtime
        .handle()
        .spawn(commit_path::measure_lateness(hops.clone()));
    let cluster_metrics = ClusterMetrics::register(&metrics);
    let clock_metrics = ClockMetrics::register(&metrics);
    let queue_metrics = QueueMetrics::register(&metrics);
    let tolerance_metrics = ToleranceMetrics::register(&metrics);
    let storage =
        StorageThread::start(Box::new(store), event_sender.clone(), core_metrics.clone())?;

    let budget = ByteBudget::new(settings.request_memory_bytes);
    let mut server_config =
        RpcServerConfig::new(settings.inner_address, settings.inner_key.clone());
    server_config.connections_max = descriptors.inner as u32;
    server_config.budget = budget.clone();
    let server = RpcServer::start_with_priority(
        call_runtime.handle(),
        group_runtime.handle(),
        server_config,
        methods::methods(&event_sender)?,
    )?;
    let readiness = Readiness::new();
    readiness.block("consensus", "no leader is known");
    let dump = dump_source(event_sender.clone());
    let admin_sources = AdminSources {
        readiness: readiness.clone(),
        metrics,
        dump,
        budget: budget.clone(),
    };
    let embedding = Embedding {
        runtime: runtime.handle().clone(),
        member,
        descriptors,
        budget,
        local: LocalControl {
            event_sender: event_sender.clone(),
        },
        metrics: admin_sources.metrics.clone(),
        readiness: readiness.clone(),
    };
    let queue_parts = embed(&embedding)?;
    let admin = AdminServer::start(settings.admin_address, admin_sources)?;
    let signals = event_sender.clone();
    shutdown::on_shutdown(move |kind| handle_shutdown(kind, &signals))
        .context("cannot handle signals")?;
    log::info!(
        member:%, inner:% = server.address(), admin:% = admin.address(),
        descriptor_limit = settings.descriptor_limit, descriptors:?; "started"
    );

    let peers = Peers::new(
        group_runtime.handle().clone(),
        settings.inner_key.clone(),
        member,
        settings.advertise_address.to_string(),
        hops.clone(),
    );
    let core = new_core(
        &settings,
        restored,
        peers,
        &storage,
        readiness,
        MetricSet {
            core: core_metrics,
            load: load_metrics,
            hops,
            cluster: cluster_metrics,
            clock: clock_metrics,
            tolerance: tolerance_metrics,
        },
        Queues::new(queue_parts, event_sender.clone(), queue_metrics),
    )?;
    let result = core.run(&events);
    if result.is_ok() {
        thread::sleep(REPLY_DRAIN_TIME);
    }
    server.stop();
    // The storage thread ends by itself once the core and snapshot threads have dropped their
    // senders. It cannot block on events, since their receiver is dropped here.
    if result.is_ok() {
        drop(events);
        storage.finish();
    }
    drop(group_runtime);
    call_runtime.shutdown_background();
    runtime.shutdown_background();
    log::info!("stopped");
    Ok(result?)
}

/// The number of threads of the asynchronous runtime. On one processor, a second thread only takes
/// turns with the first one and is woken to look for work in vain.
fn network_threads() -> usize {
    let processors = thread::available_parallelism().map_or(1, NonZero::get);
    processors.min(NETWORK_THREADS_MAX)
}

fn handle_shutdown(kind: Shutdown, events: &EventSender) {
    match kind {
        Shutdown::Graceful => {
            if let Err(error) = events.request_shutdown() {
                log::error!(error:%; "cannot stop gracefully; another signal stops at once");
            }
        }
        Shutdown::Immediate => {
            // Bypasses the core thread, which may be blocked on a disk that does not respond. The
            // log tolerates a process that ends at any time.
            log::warn!("stopping at once; calls in progress end without an answer");
            logging::flush(logging::EXIT_FLUSH_TIMEOUT);
            std::process::exit(1);
        }
    }
}

fn open_store(settings: &Settings) -> Result<DiskStore, StoreError> {
    let options = DiskOptions {
        segment_bytes: settings.segment_bytes,
        new_member: settings.new_member,
    };
    DiskStore::open(&settings.data_dir, options)
}

/// Retries a step of the start while the disk is out of space. If the process ended instead, it
/// would only be restarted.
fn retry_while_out_of_space<T>(
    mut step: impl FnMut() -> Result<T, StoreError>,
) -> anyhow::Result<T> {
    let mut attempts = 0;
    loop {
        match step() {
            Err(error) if error.is_out_of_space() => {
                if attempts % ATTEMPTS_PER_LOG_LINE == 0 {
                    log::error!(error:%; "waiting for room on the disk");
                }
                attempts += 1;
                thread::sleep(SPACE_POLL_INTERVAL);
            }
            result => return result.context("cannot use the data directory"),
        }
    }
}

/// Writes the first records of a new group to the empty log, if this member is an initial voter.
fn bootstrap(
    store: &mut DiskStore,
    initial_voters: &InitialVoters,
    restored: &mut PersistentState,
) -> Result<(), StoreError> {
    let member = store.member();
    if !initial_voters.contains(member) {
        log::warn!(member:%; "not an initial voter; waiting to be added as a member");
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

/// The metrics that the core thread sets.
struct MetricSet {
    core: CoreMetrics,
    load: LoadMetrics,
    hops: Hops,
    cluster: ClusterMetrics,
    clock: ClockMetrics,
    tolerance: ToleranceMetrics,
}

fn new_core(
    settings: &Settings,
    restored: PersistentState,
    peers: Peers,
    storage: &StorageThread,
    readiness: Readiness,
    metrics: MetricSet,
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
    config.trailing_bytes = settings.snapshot_log_bytes / TRAILING_DIVISOR;
    let node = Node::new(config, restored, clock.now());
    let cluster_clock = ClusterClock::new(node.last_index(), metrics.clock);
    let storage_requests = storage.sender();
    let interval = SnapshotInterval {
        entries: settings.snapshot_entries,
        bytes: settings.snapshot_log_bytes,
    };
    metrics.core.log_bytes_due.set(interval.bytes as i64);
    let snapshots = Snapshots::start(interval, applied, storage_requests.clone())?;
    Ok(Core {
        clock,
        node,
        state,
        applied,
        calls: PendingCalls::default(),
        peers,
        storage_requests,
        snapshots,
        readiness,
        metrics: metrics.core,
        cluster_clock,
        cluster_metrics: metrics.cluster,
        leader_settings: LeaderSettings {
            member,
            lease_ms: settings.lease_ms,
            election_timeout_ms: settings.election_timeout_ms,
        },
        leadership: Leadership::default(),
        queues,
        relayed_reports: RelayedReports::default(),
        state_age: StateAge::default(),
        even_timer: EvenTimer::default(),
        fault_tolerance: settings.fault_tolerance.clone(),
        group_tolerance: GroupTolerance::new(metrics.tolerance),
        load: CoreLoad::new(metrics.load),
        commit_path: CommitPath::new(metrics.hops),
        stop_deadline: None,
    })
}

fn dump_source(event_sender: EventSender) -> DumpSource {
    Arc::new(move || {
        let (sender, receiver) = flume::bounded(1);
        let reply = Box::new(move |dump| drop(sender.try_send(dump)));
        event_sender
            .try_send_call(Event::Dump(reply))
            .map_err(|_| DumpError::Busy)?;
        receiver
            .recv_timeout(DUMP_TIMEOUT)
            .map_err(|_| DumpError::TimedOut)
    })
}
