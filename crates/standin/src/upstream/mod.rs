//! Runs stand-in upstream runners.
//!
//! Each announces itself every second, serves with a bounded number of slots and connections, and
//! says with the outcome header when it did not run a request. On the first signal it announces
//! that it leaves, serves on until entries have stopped sending, finishes and ends; on the second
//! it ends at once.

mod announce;
mod faults;
mod serve;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use sapphirepost_process::SystemClock;
use sapphirepost_process::rpc;
use sapphirepost_process::shutdown;
use sapphirepost_process::shutdown::Shutdown;
use sapphirepost_types::Clock;
use sapphirepost_types::Incarnation;
use sapphirepost_types::Millis;
use sapphirepost_types::Name;
use tokio::runtime::Handle;
use tokio::sync::Semaphore;
use tokio::sync::watch;

use crate::entries::Entries;
use crate::journal::Entry;
use crate::journal::Journal;

pub use crate::upstream::faults::Faults;

/// The longest time to finish what is in progress after `leave_ms`.
const FINISH_MAX: Duration = Duration::from_secs(60);
const POLL: Duration = Duration::from_millis(20);
const NOT_LEAVING: u64 = u64::MAX;

/// What to run.
#[derive(Clone, Debug)]
pub struct UpstreamOptions {
    /// The entries to announce to.
    pub entries: Entries,
    /// The name, or the prefix of the names if there are several.
    pub name: String,
    /// The service of all.
    pub service: Name,
    /// The failure domain of all.
    pub failure_domain: Name,
    /// How many.
    pub count: u32,
    /// Where the first one listens; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Requests at a time.
    pub slots: u16,
    /// Connections at a time.
    pub connections: u16,
    /// The time that a request takes if its query has no `run_ms`.
    pub run_ms: u64,
    /// The time from the leaving announcement to the end.
    pub leave_ms: u64,
    /// Where runs are recorded.
    pub journal: Journal,
    /// How the faulty ones misbehave.
    pub faults: Faults,
    /// How many of them do.
    pub faulty: u32,
}

/// One runner.
struct Upstream {
    name: Name,
    options: UpstreamOptions,
    faults: Faults,
    address: SocketAddr,
    incarnation: Incarnation,
    clock: SystemClock,
    slots: Semaphore,
    connections: Arc<Semaphore>,
    /// When it began to leave, in milliseconds of the clock.
    leaving_at: AtomicU64,
    /// Set when the listener closes.
    closing: watch::Sender<bool>,
}

impl Upstream {
    fn leaving_ms(&self) -> Option<u64> {
        let at = self.leaving_at.load(Ordering::SeqCst);
        (at != NOT_LEAVING).then(|| self.clock.now().since(Millis(at)))
    }

    fn leave(&self) {
        self.leaving_at.store(self.clock.now().0, Ordering::SeqCst);
        let upstream = self.name.clone();
        self.options.journal.record(&Entry::Leaving { upstream });
    }

    fn is_idle(&self) -> bool {
        self.slots.available_permits() == usize::from(self.options.slots)
    }
}

/// Runs the upstreams until a signal arrives and they have left.
pub fn run(options: UpstreamOptions) -> anyhow::Result<()> {
    let signals = shutdown::shutdown_channel()?;
    let runtime = rpc::runtime(2)?;
    let clock = SystemClock::new();
    let upstreams = (0..options.count)
        .map(|index| start(runtime.handle(), &options, index, clock))
        .collect::<anyhow::Result<Vec<_>>>()?;
    for (index, upstream) in upstreams.iter().enumerate() {
        let upstream = upstream.clone();
        thread::spawn(move || announce::announce_forever(&upstream, index));
    }
    log::info!(count = options.count; "upstreams started");
    let _ = signals.recv();
    for upstream in &upstreams {
        upstream.leave();
    }
    log::info!("upstreams leaving");
    if signals.recv_timeout(Duration::from_millis(options.leave_ms)) == Ok(Shutdown::Immediate) {
        return Ok(());
    }
    for upstream in &upstreams {
        let _ = upstream.closing.send(true);
    }
    finish(&upstreams, &signals);
    Ok(())
}

fn finish(upstreams: &[Arc<Upstream>], signals: &flume::Receiver<Shutdown>) {
    let until = Instant::now() + FINISH_MAX;
    while Instant::now() < until && !upstreams.iter().all(|upstream| upstream.is_idle()) {
        if signals.recv_timeout(POLL).is_ok() {
            log::warn!("ended before all requests were finished");
            return;
        }
    }
    // The last answers are in the hands of the connections, which close once they are written.
    thread::sleep(POLL * 5);
}

fn start(
    runtime: &Handle,
    options: &UpstreamOptions,
    index: u32,
    clock: SystemClock,
) -> anyhow::Result<Arc<Upstream>> {
    let name = match options.count {
        1 => options.name.clone(),
        _ => format!("{}-{index:03}", options.name),
    };
    let mut listen = options.listen;
    if listen.port() != 0 {
        listen.set_port(listen.port() + u16::try_from(index)?);
    }
    let listener = runtime.block_on(tokio::net::TcpListener::bind(listen))?;
    let is_faulty = index < options.faulty;
    let upstream = Arc::new(Upstream {
        name: Name::new(&name)?,
        options: options.clone(),
        faults: if is_faulty {
            options.faults
        } else {
            Faults::default()
        },
        address: listener.local_addr()?,
        incarnation: Incarnation(clock.unix_ms()),
        clock,
        slots: Semaphore::new(usize::from(options.slots)),
        connections: Arc::new(Semaphore::new(usize::from(options.connections))),
        leaving_at: AtomicU64::new(NOT_LEAVING),
        closing: watch::channel(false).0,
    });
    runtime.spawn(serve::accept(listener, upstream.clone()));
    Ok(upstream)
}
