//! Runs simulated upstreams.
//!
//! Each upstream announces itself every second, limits its concurrent requests and connections, and
//! marks the response to a request that it did not run with the outcome header. On the first signal
//! it announces that it is leaving, continues to serve for `leave_ms` so that the entries stop
//! sending requests, finishes the requests in progress and exits. A second signal ends the process
//! before that.

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
use crate::journal::Journal;
use crate::journal::JournalEvent;

pub use crate::upstream::faults::Faults;

/// Maximum time to wait, after `leave_ms`, for requests in progress.
const FINISH_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Value of `leaving_at_ms` before the upstream leaves.
const NOT_LEAVING: u64 = u64::MAX;

/// Options of the simulated upstreams in one process.
#[derive(Clone, Debug)]
pub struct UpstreamOptions {
    /// Client for the entries that receive the announcements.
    pub entries: Entries,
    /// The upstream's name, or the prefix of the names if `count` is not 1.
    pub name: String,
    /// The service that all upstreams belong to.
    pub service: Name,
    /// The failure domain that all upstreams announce.
    pub failure_domain: Name,
    /// Number of upstreams.
    pub count: u32,
    /// Address of the first upstream; each further one takes the next port. With port 0, each takes
    /// a free port.
    pub listen: SocketAddr,
    /// Maximum number of concurrent requests of one upstream.
    pub slots: u16,
    /// Maximum number of concurrent connections of one upstream.
    pub connections: u16,
    /// Run time of a request whose query has no `run_ms`.
    pub run_ms: u64,
    /// Time from the start of the shutdown until the listeners close.
    pub leave_ms: u64,
    /// Records the requests that ran.
    pub journal: Journal,
    /// The faults of the faulty upstreams.
    pub faults: Faults,
    /// Number of faulty upstreams, the first ones of the process.
    pub faulty_count: u32,
}

/// One simulated upstream.
struct Upstream {
    name: Name,
    options: UpstreamOptions,
    faults: Faults,
    address: SocketAddr,
    incarnation: Incarnation,
    clock: SystemClock,
    slots: Semaphore,
    connections: Arc<Semaphore>,
    /// When the upstream began to leave, in milliseconds of `clock`, or [`NOT_LEAVING`].
    leaving_at_ms: AtomicU64,
    /// Set to true to close the listener and shut down its connections gracefully.
    closing: watch::Sender<bool>,
}

impl Upstream {
    fn leaving_ms(&self) -> Option<u64> {
        let at_ms = self.leaving_at_ms.load(Ordering::SeqCst);
        (at_ms != NOT_LEAVING).then(|| self.clock.now().since(Millis(at_ms)))
    }

    fn leave(&self) {
        self.leaving_at_ms
            .store(self.clock.now().0, Ordering::SeqCst);
        let upstream = self.name.clone();
        self.options
            .journal
            .record(&JournalEvent::Leaving { upstream });
    }

    fn is_idle(&self) -> bool {
        self.slots.available_permits() == usize::from(self.options.slots)
    }
}

/// Runs the upstreams until a shutdown signal arrives and they have shut down.
pub fn run(options: UpstreamOptions) -> anyhow::Result<()> {
    let signals = shutdown::shutdown_channel()?;
    let runtime = rpc::runtime(2)?;
    let clock = SystemClock::new();
    let upstreams = (0..options.count)
        .map(|index| start_upstream(runtime.handle(), &options, index, clock))
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
    finish_requests(&upstreams, &signals);
    Ok(())
}

fn finish_requests(upstreams: &[Arc<Upstream>], signals: &flume::Receiver<Shutdown>) {
    let deadline = Instant::now() + FINISH_TIMEOUT;
    while Instant::now() < deadline && !upstreams.iter().all(|upstream| upstream.is_idle()) {
        if signals.recv_timeout(POLL_INTERVAL).is_ok() {
            log::warn!("ended before all requests were finished");
            return;
        }
    }
    // The connections may still be writing the last responses; they close when this is done.
    thread::sleep(POLL_INTERVAL * 5);
}

fn start_upstream(
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
    let is_faulty = index < options.faulty_count;
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
        leaving_at_ms: AtomicU64::new(NOT_LEAVING),
        closing: watch::channel(false).0,
    });
    runtime.spawn(serve::accept(listener, upstream.clone()));
    Ok(upstream)
}
