//! Runs stand-in workers: a thread for each, and one that lets time pass for all of them.
//!
//! Time passes apart from the syncs, because a sync may hang on a silent connection while the
//! lease runs out.

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
const WAIT_MS: u64 = 1000;
const SYNC_TIMEOUT: Duration = Duration::from_millis(WAIT_MS + 2000);
const TICK: Duration = Duration::from_millis(10);
/// The shortest time between two syncs, so that an answer without a hold causes no busy loop.
const SYNC_INTERVAL_MIN: Duration = Duration::from_millis(50);
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// What to run.
#[derive(Clone, Debug)]
pub struct WorkerOptions {
    /// The entries to sync with.
    pub entries: Entries,
    /// The name, or the prefix of the names if there are several.
    pub name: String,
    /// The failure domain of all.
    pub failure_domain: Name,
    /// How many.
    pub count: u32,
    /// How many share a rack.
    pub rack_size: u32,
    /// What each has.
    pub capacity: Resources,
    /// The used share of the declared resources in percent.
    pub usage_percent: u64,
    /// The time that a stop takes.
    pub stop_ms: u64,
    /// The time that a checkpoint takes.
    pub checkpoint_ms: u64,
    /// Where starts and stops are recorded.
    pub journal: Journal,
    /// Whether every task fails.
    pub fail_all: bool,
    /// Whether stop commands are ignored.
    pub ignore_stops: bool,
    /// When work pauses, after the start.
    pub pause_after_ms: Option<u64>,
    /// How long it pauses.
    pub pause_ms: u64,
}

struct Shared {
    agents: Vec<Mutex<Agent>>,
    journal: Journal,
    clock: SystemClock,
    is_paused: AtomicBool,
}

/// Runs the workers until a signal arrives.
pub fn run(options: WorkerOptions) -> anyhow::Result<()> {
    let signals = shutdown::shutdown_channel()?;
    let clock = SystemClock::new();
    let incarnation = Incarnation(clock.unix_ms());
    let agents = (0..options.count)
        .map(|index| {
            Ok(Mutex::new(Agent::new(config(
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
        thread::sleep(TICK);
    }
    Ok(())
}

fn is_paused(options: &WorkerOptions, clock: SystemClock) -> bool {
    let now_ms = clock.now().0;
    options
        .pause_after_ms
        .is_some_and(|after| (after..after + options.pause_ms).contains(&now_ms))
}

fn config(
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
            self.record(&mut agent);
        }
    }

    fn record(&self, agent: &mut Agent) {
        for entry in agent.take_journal() {
            self.journal.record(&entry);
        }
    }

    fn wait_while_paused(&self) {
        while self.is_paused.load(Ordering::Relaxed) {
            thread::sleep(TICK);
        }
    }
}

fn sync_forever(shared: &Shared, index: usize, entries: &Entries) {
    let agent = &shared.agents[index];
    loop {
        shared.wait_while_paused();
        let began = shared.clock.now();
        let sync = lock(agent).sync(began, WAIT_MS);
        let result = entries.post::<_, WorkerSyncReply>(SYNC_PATH, &sync, SYNC_TIMEOUT);
        shared.wait_while_paused();
        match result {
            Ok(reply) => {
                let mut agent = lock(agent);
                agent.reply(shared.clock.now(), reply);
                shared.record(&mut agent);
            }
            Err(error) => {
                log::debug!("sync of {} failed: {error:#}", sync.worker);
                thread::sleep(RETRY_PAUSE);
            }
        }
        let took = Duration::from_millis(shared.clock.now().since(began));
        thread::sleep(SYNC_INTERVAL_MIN.saturating_sub(took));
    }
}

fn lock(agent: &Mutex<Agent>) -> std::sync::MutexGuard<'_, Agent> {
    agent.lock().unwrap_or_else(PoisonError::into_inner)
}
