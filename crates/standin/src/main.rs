//! The `sapphirepost-standin` program: runs simulated workers or upstreams, or checks their
//! journals.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use sapphirepost_process::SharedKey;
use sapphirepost_process::logging;
use sapphirepost_process::logging::LogLevels;
use sapphirepost_standin::check;
use sapphirepost_standin::entries::Entries;
use sapphirepost_standin::journal::Journal;
use sapphirepost_standin::upstream;
use sapphirepost_standin::upstream::Faults;
use sapphirepost_standin::upstream::UpstreamOptions;
use sapphirepost_standin::worker;
use sapphirepost_standin::worker::WorkerOptions;
use sapphirepost_types::Name;
use sapphirepost_types::Resources;

/// Simulated workers and upstreams for tests.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Worker(WorkerArguments),
    Upstream(UpstreamArguments),
    Check(CheckArguments),
}

/// Check journals against the invariants.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct CheckArguments {
    /// journals of one test run, checked together
    #[argh(positional)]
    journals: Vec<PathBuf>,
}

/// Run simulated workers.
#[derive(FromArgs)]
#[argh(subcommand, name = "worker")]
struct WorkerArguments {
    /// workers addresses of entries, comma-separated
    #[argh(option)]
    entries: String,
    /// file with the workers key
    #[argh(option)]
    key_file: PathBuf,
    /// name, or prefix of the names with --count
    #[argh(option)]
    name: String,
    /// failure domain
    #[argh(option)]
    failure_domain: Name,
    /// number of workers in this process
    #[argh(option, default = "1")]
    count: u32,
    /// number of workers in one rack
    #[argh(option, default = "8")]
    rack_size: u32,
    /// capacity of each worker, as <millicores>m/<memory>Mi/<accelerators>a
    #[argh(option, default = "Resources::new(64_000, 262_144, 0)")]
    capacity: Resources,
    /// reported usage, in percent of the resources that the tasks declare
    #[argh(option, default = "60")]
    usage_percent: u64,
    /// time that a stop without a checkpoint takes, in milliseconds
    #[argh(option, default = "20")]
    stop_ms: u64,
    /// time that a stop with a checkpoint takes, in milliseconds
    #[argh(option, default = "100")]
    checkpoint_ms: u64,
    /// file that gets a line for each start and stop of a task
    #[argh(option)]
    journal: Option<PathBuf>,
    /// fail every task
    #[argh(switch)]
    fail_all: bool,
    /// ignore stop commands
    #[argh(switch)]
    ignore_stops: bool,
    /// pause all workers this long after the start of the process, in milliseconds
    #[argh(option)]
    pause_after_ms: Option<u64>,
    /// length of the pause in milliseconds
    #[argh(option, default = "10_000")]
    pause_ms: u64,
}

/// Run simulated upstreams.
#[derive(FromArgs)]
#[argh(subcommand, name = "upstream")]
struct UpstreamArguments {
    /// workers addresses of entries, comma-separated
    #[argh(option)]
    entries: String,
    /// file with the workers key
    #[argh(option)]
    key_file: PathBuf,
    /// name, or prefix of the names with --count
    #[argh(option)]
    name: String,
    /// service that the upstreams belong to
    #[argh(option)]
    service: Name,
    /// failure domain
    #[argh(option)]
    failure_domain: Name,
    /// number of upstreams in this process
    #[argh(option, default = "1")]
    count: u32,
    /// address to listen on; port 0 takes a free one, and with --count each takes the next port
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    listen: SocketAddr,
    /// maximum number of concurrent requests of each upstream
    #[argh(option, default = "8")]
    slots: u16,
    /// maximum number of concurrent connections of each upstream
    #[argh(option, default = "64")]
    connections: u16,
    /// run time of a request without `run_ms` in its query, in milliseconds
    #[argh(option, default = "1")]
    run_ms: u64,
    /// time from the start of the shutdown until the listeners close, in milliseconds
    #[argh(option, default = "5000")]
    leave_ms: u64,
    /// file that gets a line for each request that ran
    #[argh(option)]
    journal: Option<PathBuf>,
    /// accept requests and never respond
    #[argh(switch)]
    stall: bool,
    /// send only half of each response body
    #[argh(switch)]
    truncate: bool,
    /// delay of each response in milliseconds
    #[argh(option, default = "0")]
    late_ms: u64,
    /// respond to every request with status 500 without running it
    #[argh(switch)]
    fail_fast: bool,
    /// stop responding on the connections that are open when the faults begin
    #[argh(switch)]
    silent: bool,
    /// run each request and respond that it was not run
    #[argh(switch)]
    lie: bool,
    /// time from the start of the process to the beginning of the faults, in milliseconds
    #[argh(option, default = "0")]
    fault_after_ms: u64,
    /// number of upstreams with the faults, the first ones of this process; default: all
    #[argh(option)]
    faulty: Option<u32>,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let result = logging::init(&LogLevels::default())
        .map_err(anyhow::Error::from)
        .and_then(|()| match arguments.command {
            Command::Worker(arguments) => run_workers(arguments),
            Command::Upstream(arguments) => run_upstreams(arguments),
            Command::Check(arguments) => run_check(&arguments),
        });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("sapphirepost-standin: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run_check(arguments: &CheckArguments) -> anyhow::Result<()> {
    let report = check::check(&arguments.journals)?;
    for violation in &report.violations {
        println!("{violation}");
    }
    let count = report.violations.len();
    println!(
        "{} task starts, {} runs of requests with an ID, {count} violations",
        report.starts, report.runs
    );
    anyhow::ensure!(count == 0, "the journals violate the invariants");
    Ok(())
}

fn run_workers(arguments: WorkerArguments) -> anyhow::Result<()> {
    let options = WorkerOptions {
        entries: Entries::new(
            &arguments.entries,
            SharedKey::from_file(&arguments.key_file)?,
        )?,
        name: arguments.name,
        failure_domain: arguments.failure_domain,
        count: arguments.count,
        rack_size: arguments.rack_size.max(1),
        capacity: arguments.capacity,
        usage_percent: arguments.usage_percent,
        stop_ms: arguments.stop_ms,
        checkpoint_ms: arguments.checkpoint_ms,
        journal: Journal::open(arguments.journal.as_deref())?,
        fail_all: arguments.fail_all,
        ignore_stops: arguments.ignore_stops,
        pause_after_ms: arguments.pause_after_ms,
        pause_ms: arguments.pause_ms,
    };
    worker::run(options)
}

fn run_upstreams(arguments: UpstreamArguments) -> anyhow::Result<()> {
    let options = UpstreamOptions {
        entries: Entries::new(
            &arguments.entries,
            SharedKey::from_file(&arguments.key_file)?,
        )?,
        name: arguments.name,
        service: arguments.service,
        failure_domain: arguments.failure_domain,
        count: arguments.count,
        listen: arguments.listen,
        slots: arguments.slots,
        connections: arguments.connections,
        run_ms: arguments.run_ms,
        leave_ms: arguments.leave_ms,
        journal: Journal::open(arguments.journal.as_deref())?,
        faults: Faults {
            stall: arguments.stall,
            truncate: arguments.truncate,
            delay_ms: arguments.late_ms,
            fail_fast: arguments.fail_fast,
            silent: arguments.silent,
            false_refusal: arguments.lie,
            begin_after_ms: arguments.fault_after_ms,
        },
        faulty_count: arguments.faulty.unwrap_or(arguments.count),
    };
    upstream::run(options)
}
