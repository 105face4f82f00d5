//! Starts all parts of an entry process and stops them in order.

use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use sapphirepost_process::Readiness;
use sapphirepost_process::admin;
use sapphirepost_process::admin::AdminServer;
use sapphirepost_process::admin::AdminSources;
use sapphirepost_process::byte_budget::ByteBudget;
use sapphirepost_process::metrics::Metrics;
use sapphirepost_process::rpc;
use sapphirepost_process::rpc::RpcMethods;
use sapphirepost_process::rpc::RpcServer;
use sapphirepost_process::rpc::RpcServerConfig;
use sapphirepost_process::shutdown;
use sapphirepost_process::shutdown::Shutdown;
use sapphirepost_routing::Event;
use sapphirepost_routing::PlannedStop;
use sapphirepost_routing::RosterChange;
use sapphirepost_routing::RouterConfig;
use sapphirepost_routing::StopPhase;
use sapphirepost_types::Incarnation;
use tokio::runtime::Handle;
use tokio::sync::Semaphore;

use crate::caller::CallerConfig;
use crate::caller::CallerServer;
use crate::clock::EntryClock;
use crate::config_watch;
use crate::config_watch::AppliedConfig;
use crate::config_watch::ConfigWatch;
use crate::config_watch::Watcher;
use crate::control_client::ControlClient;
use crate::metrics::EntryMetrics;
use crate::operators::OperatorConfig;
use crate::operators::OperatorServer;
use crate::peers;
use crate::peers::Peers;
use crate::roster;
use crate::router_thread;
use crate::router_thread::Input;
use crate::router_thread::Inputs;
use crate::router_thread::RouterThreadParts;
use crate::router_thread::SharedStatus;
use crate::settings::Settings;
use crate::workers::WorkersConfig;
use crate::workers::WorkersServer;

/// The interval between two checks of the router status and of the planned stop.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The longest wait for the router thread to produce a state dump.
const DUMP_TIMEOUT: Duration = Duration::from_secs(1);
/// The capacity of the queue of upstream announcements to the router.
const ANNOUNCEMENT_QUEUE_CAPACITY: usize = 4096;
/// The longest wait, at the stop, for worker syncs that the leader still holds.
const WORKERS_STOP_TIMEOUT: Duration = Duration::from_secs(3);
/// The name of the upstream table in the readiness report.
const TABLE_PART: &str = "upstreams";
/// The name of a planned stop in the readiness report.
const STOP_PART: &str = "stop";

/// Runs an entry until a planned stop, which a signal starts, is complete.
pub fn run(settings: &Settings) -> anyhow::Result<()> {
    let signals = shutdown::shutdown_channel().context("signals")?;
    let runtime = rpc::runtime(settings.network_threads).context("runtime")?;
    let entry = Entry::start(settings, runtime.handle())?;
    entry.serve(settings, &signals, runtime.handle());
    // Waiting for the tasks of remaining connections would delay the end of the process.
    runtime.shutdown_background();
    Ok(())
}

struct Entry {
    clock: EntryClock,
    inputs: Inputs,
    status: SharedStatus,
    readiness: Readiness,
    metrics: EntryMetrics,
    callers: CallerServer,
    workers: WorkersServer,
    _operators: Option<OperatorServer>,
    _config: Option<ConfigWatch>,
    _inner: RpcServer,
    _admin: AdminServer,
}

impl Entry {
    fn start(settings: &Settings, runtime: &Handle) -> anyhow::Result<Entry> {
        let clock = EntryClock::new();
        let incarnation = Incarnation(clock.unix_ms());
        let channel = router_thread::input_channel();
        let inputs = channel.0.clone();
        let readiness = Readiness::new();
        readiness.block(TABLE_PART, "the upstreams are not known yet");
        let metrics = Metrics::new();
        let key = settings.inner_key.clone();
        let control = (!settings.control.is_empty())
            .then(|| ControlClient::new(runtime.clone(), &settings.control, key.clone()));
        let peers = Peers::new(
            runtime.clone(),
            inputs.clone(),
            settings.member.id,
            incarnation,
            control.clone(),
            key.clone(),
        );
        peers.set_members(&settings.members);
        let mut methods = RpcMethods::new();
        peers::add_gossip_method(&mut methods, inputs.clone())?;
        let address = settings.member.address;
        let budget = ByteBudget::new(settings.body_memory_kib * 1024);
        let mut inner_config = RpcServerConfig::new(address, key);
        inner_config.budget = budget.clone();
        let inner = RpcServer::start(runtime, inner_config, methods)?;
        let (dump_sender, dumps) = flume::bounded(4);
        let status = SharedStatus::default();
        let roster = RosterChange::settled(settings.members.roster());
        let domain = settings.failure_domain().clone();
        router_thread::start(RouterThreadParts {
            config: RouterConfig::new(settings.member.id, incarnation, domain, roster),
            seed: incarnation.0 ^ u64::from(settings.member.id.0) << 48,
            inputs: channel,
            dumps,
            runtime: runtime.clone(),
            clock,
            budget: Arc::new(Semaphore::new(settings.body_memory_kib)),
            peers: peers.clone(),
            status: status.clone(),
        })?;
        let admin_sources = AdminSources {
            readiness: readiness.clone(),
            metrics: metrics.clone(),
            dump: admin::dump_from_channel(dump_sender, DUMP_TIMEOUT),
            budget: budget.clone(),
        };
        let admin = AdminServer::start(settings.admin, admin_sources)?;
        let config = control.clone().map(|control| {
            let watcher = Watcher {
                entry: settings.member.id,
                incarnation,
            };
            let on_change = roster_updates(settings, runtime, &inputs, &peers);
            config_watch::start(runtime, control, watcher, readiness.clone(), on_change)
        });
        // Without control processes, requests of operators could not be forwarded.
        let operators = control
            .clone()
            .map(|control| {
                let config = OperatorConfig {
                    address: settings.operators,
                    key: settings.operator_key.clone(),
                    budget: budget.clone(),
                };
                OperatorServer::start(config, control)
            })
            .transpose()?;
        let workers = start_workers(settings, runtime, &inputs, control, budget.clone())?;
        let callers = start_callers(settings, runtime, &inputs, clock)?;
        log::info!(
            entry:% = settings.member.id,
            callers:% = callers.address(),
            workers:% = workers.address(),
            inner:% = inner.address(),
            admin:% = admin.address();
            "entry started"
        );
        Ok(Entry {
            clock,
            inputs,
            status,
            readiness,
            metrics: EntryMetrics::new(&metrics),
            callers,
            workers,
            _operators: operators,
            _config: config,
            _inner: inner,
            _admin: admin,
        })
    }

    /// Serves until a signal arrives, then stops in the phases of [`PlannedStop`].
    fn serve(&self, settings: &Settings, signals: &flume::Receiver<Shutdown>, runtime: &Handle) {
        let mut stop = PlannedStop::new(settings.stop_notice_ms, settings.stop_finish_ms);
        let mut suspected = false;
        loop {
            if signals.recv_timeout(POLL_INTERVAL).is_ok() {
                stop.signal(self.clock.now());
            }
            let status = self.status.get();
            self.metrics.update(&status);
            if status.knows_table {
                self.readiness.clear(TABLE_PART);
            }
            // A local fault is suspected while all recently used upstreams fail at once.
            if status.suspects_itself != suspected {
                suspected = status.suspects_itself;
                log::warn!(suspected = suspected; "suspicion of a local fault changed");
            }
            let before = stop.phase();
            let in_flight =
                status.in_flight + self.callers.open_connections() + usize::from(!status.is_idle);
            let phase = stop.tick(self.clock.now(), in_flight);
            if stop.phase() >= StopPhase::NotReady {
                self.readiness.block(STOP_PART, "the entry is stopping");
            }
            if phase != before {
                log::info!(phase:? = phase, in_flight = status.in_flight; "planned stop");
            }
            match phase {
                StopPhase::Serving => {}
                StopPhase::NotReady => self.callers.request_close(),
                StopPhase::Finishing => self.callers.stop_accepting(),
                StopPhase::Finished => break,
            }
        }
        self.finish(runtime);
    }

    fn finish(&self, runtime: &Handle) {
        let status = self.status.get();
        if status.in_flight > 0 || self.callers.open_connections() > 0 {
            log::warn!(
                requests = status.in_flight,
                connections = self.callers.open_connections();
                "stopped with open requests or connections, which were cut off"
            );
            return;
        }
        self.inputs.try_send(Input::Event(Event::Stopping));
        let open = runtime.block_on(self.workers.stop(WORKERS_STOP_TIMEOUT));
        if open > 0 {
            log::warn!(connections = open; "stopped with open connections of workers, which were cut off");
        }
        log::info!("entry stopped");
    }
}

fn start_workers(
    settings: &Settings,
    runtime: &Handle,
    inputs: &Inputs,
    control: Option<ControlClient>,
    budget: ByteBudget,
) -> anyhow::Result<WorkersServer> {
    let (sender, receiver) = flume::bounded(ANNOUNCEMENT_QUEUE_CAPACITY);
    let inputs = inputs.clone();
    runtime.spawn(async move {
        while let Ok(announcement) = receiver.recv_async().await {
            inputs
                .send(Input::Event(Event::Announced(announcement)))
                .await;
        }
    });
    let config = WorkersConfig {
        address: settings.workers,
        key: settings.workers_key.clone(),
        budget,
    };
    let key = settings.inner_key.clone();
    let control = control.unwrap_or_else(|| ControlClient::new(runtime.clone(), &[], key));
    WorkersServer::start(runtime, config, control, sender).context("workers listener")
}

fn start_callers(
    settings: &Settings,
    runtime: &Handle,
    inputs: &Inputs,
    clock: EntryClock,
) -> anyhow::Result<CallerServer> {
    let config = CallerConfig {
        address: settings.callers,
        connections_max: settings.caller_connections,
        head_timeout: settings.head_timeout,
        body_timeout: settings.body_timeout,
        write_timeout: settings.write_timeout,
        request_budget_kib: settings.body_memory_kib,
    };
    CallerServer::start(runtime, config, inputs.clone(), clock).context("caller listener")
}

/// Returns the callback for new configurations. It sets the peers and sends the roster change to
/// the router; a task forwards the changes in order, since the callback must not block.
fn roster_updates(
    settings: &Settings,
    runtime: &Handle,
    inputs: &Inputs,
    peers: &Peers,
) -> impl Fn(&AppliedConfig) + Send + Sync + 'static {
    let (sender, receiver) = flume::unbounded::<RosterChange>();
    let inputs = inputs.clone();
    runtime.spawn(async move {
        while let Ok(change) = receiver.recv_async().await {
            inputs
                .send(Input::Event(Event::RosterChanged(change)))
                .await;
        }
    });
    let initial = settings.members.clone();
    let peers = peers.clone();
    move |config| match roster::from_config(&config.values, &initial) {
        Ok((change, members)) => {
            peers.set_members(&members);
            let _ = sender.send(change);
        }
        Err(error) => log::error!(version = config.version.0; "roster not applied: {error}"),
    }
}
