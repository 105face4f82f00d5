//! Runs simulated workers: each worker has a thread that sends its syncs, and the main thread
//! advances the time of all workers.
//!
//! Time advances independently of the syncs, because a sync may hang on an unresponsive connection
//! until after the lease has expired.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use sapphirepost_process::SystemClock;
use sapphirepost_process::shutdown;
use sapphirepost_protocol::worker::WorkerSpec;
use sapphirepost_protocol::worker::WorkerSyncReply;
use sapphirepost_types::Clock;
use sapphirepost_types::Incarnation;
use sapphirepost_types::Name;
use sapphirepost_types::Resources;

use crate::agent::Agent;
use crate::agent::AgentConfig;
use crate::entries::Entries;
use crate::journal::Journal;

const SYNC_PATH: &str = "/v1/workers/sync";
/// How long an entry may hold a sync.
const WAIT_MS: u64 = 1000;
const SYNC_TIMEOUT: Duration = Duration::from_millis(WAIT_MS + 2000);
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// The shortest time between two syncs. It prevents a busy loop if the entry replies at once
/// instead of holding the sync.
const SYNC_INTERVAL_MIN: Duration = Duration::from_millis(50);
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Options of the simulated workers in one process.
#[derive(Clone, Debug)]
pub struct WorkerOptions {
    /// Client for the entries that the workers sync with.
    pub entries: Entries,
    /// The worker's name, or the prefix of the names if `count` is not 1.
    pub name: String,
    /// The failure domain that all workers report.
    pub failure_domain: Name,
    /// Number of workers.
    pub count: u32,
    /// Number of workers in each rack, at least 1.
    pub rack_size: u32,
    /// The resources that each worker offers to tasks.
    pub capacity: Resources,
    /// Reported usage, in percent of the resources that the tasks declare.
    pub usage_percent: u64,
    /// Time that stopping a task without a checkpoint takes.
    pub stop_ms: u64,
    /// Time that stopping a task with a checkpoint takes.
    pub checkpoint_ms: u64,
    /// Records the starts and stops of tasks.
    pub journal: Journal,
    /// Fault: every task fails shortly after its start.
    pub fail_all: bool,
    /// Fault: stop commands are ignored.
    pub ignore_stops: bool,
    /// Fault: time from the start of the process to a pause of all workers, absent for no pause.
    pub pause_after_ms: Option<u64>,
    /// Length of the pause.
    pub pause_ms: u64,
}

struct Shared {
    agents: Vec<Mutex<Agent>>,
    journal: Journal,
    clock: SystemClock,
    is_paused: AtomicBool,
}

/// Runs the workers until a shutdown signal arrives.
pub fn run(options: WorkerOptions) -> anyhow::Result<()> {
    let signals = shutdown::shutdown_channel()?;
    let clock = SystemClock::new();
    let incarnation = Incarnation(clock.unix_ms());
    let agents = (0..options.count)
        .map(|index| {
            Ok(Mutex::new(Agent::new(agent_config(
                &options,
                index,
                incarnation,
            )?)))
        })
        .collect::<anyhow::Result<Vec<_>>>()?;
    let shared = Arc::new(Shared {
        agents,
        journal: options.journal.clone(),
        clock,
        is_paused: AtomicBool::new(false),
    });
    for index in 0..options.count as usize {
        let shared = shared.clone();
        let entries = options.entries.starting_at(index);
        thread::Builder::new()
            .name(format!("sync-{index}"))
            .spawn(move || sync_forever(&shared, index, &entries))?;
    }
    log::info!(count = options.count; "workers started");
    while signals.try_recv().is_err() {
        shared
            .is_paused
            .store(is_paused(&options, clock), Ordering::Relaxed);
        if !shared.is_paused.load(Ordering::Relaxed) {
            shared.tick();
        }
        thread::sleep(TICK_INTERVAL);
    }
    Ok(())
}

fn is_paused(options: &WorkerOptions, clock: SystemClock) -> bool {
    let now_ms = clock.now().0;
    options
        .pause_after_ms
        .is_some_and(|after| (after..after + options.pause_ms).contains(&now_ms))
}

fn agent_config(
    options: &WorkerOptions,
    index: u32,
    incarnation: Incarnation,
) -> anyhow::Result<AgentConfig> {
    let name = match options.count {
        1 => options.name.clone(),
        _ => format!("{}-{index:03}", options.name),
    };
    let rack = format!(
        "{}-rack{}",
        options.failure_domain,
        index / options.rack_size
    );
    Ok(AgentConfig {
        worker: Name::new(&name)?,
        incarnation,
        spec: WorkerSpec {
            failure_domain: options.failure_domain.clone(),
            rack: Name::new(&rack)?,
            capacity: options.capacity,
        },
        usage_percent: options.usage_percent,
        stop_ms: options.stop_ms,
        checkpoint_ms: options.checkpoint_ms,
        fail_all: options.fail_all,
        ignore_stops: options.ignore_stops,
    })
}

impl Shared {
    fn tick(&self) {
        for agent in &self.agents {
            let mut agent = lock(agent);
            agent.tick(self.clock.now());
            self.record_events(&mut agent);
        }
    }

    fn record_events(&self, agent: &mut Agent) {
        for event in agent.take_journal() {
            self.journal.record(&event);
        }
    }

    fn wait_while_paused(&self) {
        while self.is_paused.load(Ordering::Relaxed) {
            thread::sleep(TICK_INTERVAL);
        }
    }
}

fn sync_forever(shared: &Shared, index: usize, entries: &Entries) {
    let agent = &shared.agents[index];
    loop {
        shared.wait_while_paused();
        let started_at = shared.clock.now();
        let sync = lock(agent).next_sync(started_at, WAIT_MS);
        let result = entries.post::<_, WorkerSyncReply>(SYNC_PATH, &sync, SYNC_TIMEOUT);
        shared.wait_while_paused();
        match result {
            Ok(reply) => {
                let mut agent = lock(agent);
                agent.handle_reply(shared.clock.now(), reply);
                shared.record_events(&mut agent);
            }
            Err(error) => {
                log::debug!("sync of {} failed: {error:#}", sync.worker);
                thread::sleep(RETRY_PAUSE);
            }
        }
        let elapsed = Duration::from_millis(shared.clock.now().since(started_at));
        thread::sleep(SYNC_INTERVAL_MIN.saturating_sub(elapsed));
    }
}

fn lock(agent: &Mutex<Agent>) -> std::sync::MutexGuard<'_, Agent> {
    agent.lock().unwrap_or_else(PoisonError::into_inner)
}
