//! Connections: the cost of one connection per request, and whether a `rouille` server bounds its
//! threads. The results are the reason for the use of `hyper` for callers and upstreams.

use std::net::TcpStream;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use argh::FromArgs;
use attohttpc::ProxySettings;

use crate::report::Report;
use crate::requests::generator;
use crate::requests::runner::Runner;

/// Idle connections opened to the `rouille` server.
const IDLE_CONNECTIONS: usize = 300;

/// The cost of one connection per request, and the threads of a `rouille` server.
#[derive(FromArgs)]
#[argh(subcommand, name = "connections")]
pub struct Arguments {
    /// seed, reported only: no random numbers are used
    #[argh(option, default = "1")]
    seed: u64,
    /// a shorter time
    #[argh(switch)]
    quick: bool,
}

/// Measures the time of a request on a reused and on a new connection, and the threads of a
/// `rouille` server.
pub fn run(arguments: &Arguments) -> anyhow::Result<Report> {
    let mut report = Report::new("connections", arguments.seed);
    let duration = Duration::from_secs(if arguments.quick { 2 } else { 5 });
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    let runner = Runner::start(runtime.handle(), 0, Default::default())?;
    let address = runner.address;
    let done = AtomicU64::new(0);
    runtime.block_on(generator::run_closed_loop(
        address,
        0,
        Instant::now() + duration,
        &done,
    ));
    let reused_per_s = done.load(Ordering::Relaxed) as f64 / duration.as_secs_f64();
    report.metric("reused_connection_us", 1e6 / reused_per_s);
    let until = Instant::now() + duration;
    let mut count = 0;
    while Instant::now() < until {
        attohttpc::get(format!("http://{address}/closed?run_ms=0"))
            .proxy_settings(ProxySettings::builder().build())
            .send()?
            .bytes()?;
        count += 1;
    }
    let fresh_per_s = f64::from(count) / duration.as_secs_f64();
    report.metric("connection_per_request_us", 1e6 / fresh_per_s);
    report.metric(
        "rouille_threads_per_idle_connection",
        rouille_threads_per_connection()?,
    );
    Ok(report)
}

/// Returns the number of threads that a `rouille` server with a pool of four starts for each idle
/// connection.
fn rouille_threads_per_connection() -> anyhow::Result<f64> {
    let server = rouille::Server::new("127.0.0.1:0", |_| rouille::Response::text("ok"))
        .map_err(|error| anyhow::anyhow!("{error}"))?
        .pool_size(4);
    let address = server.server_addr();
    let (thread, stop) = server.stoppable();
    let before = count_threads()?;
    let connections: Vec<TcpStream> = (0..IDLE_CONNECTIONS)
        .map(|_| TcpStream::connect(address))
        .collect::<Result<_, _>>()?;
    thread::sleep(Duration::from_millis(500));
    let after = count_threads()?;
    drop(connections);
    let _ = stop.send(());
    let _ = thread.join();
    Ok((after as f64 - before as f64) / IDLE_CONNECTIONS as f64)
}

/// Returns the number of threads of this process.
fn count_threads() -> anyhow::Result<usize> {
    Ok(std::fs::read_dir("/proc/self/task")?.count())
}
