//! The settings of an entry process, from flags and environment variables.

use std::net::SocketAddr;
use std::time::Duration;

use argh::FromArgs;
use sapphirepost_process::SharedKey;
use sapphirepost_process::logging::LogLevels;
use sapphirepost_process::settings::Number;
use sapphirepost_process::settings::Reader;
use sapphirepost_process::settings::SettingsErrors;
use sapphirepost_types::EntryId;
use sapphirepost_types::Name;

use crate::roster::Member;
use crate::roster::Members;

/// The endpoint for callers, upstreams, workers and operators.
#[derive(Debug, Default, FromArgs)]
pub struct Flags {
    /// this entry, as `entry<number>`
    #[argh(option)]
    entry: Option<String>,
    /// all entries, as `<entry>@<failure domain>=<inner ip:port>`, comma-separated
    #[argh(option)]
    roster: Option<String>,
    /// inner ip:port of the control processes, comma-separated; without them claims are refused
    #[argh(option)]
    control: Option<String>,
    /// where callers connect, ip:port
    #[argh(option)]
    callers_address: Option<String>,
    /// where workers and upstreams connect, ip:port
    #[argh(option)]
    workers_address: Option<String>,
    /// where operators connect, ip:port
    #[argh(option)]
    operators_address: Option<String>,
    /// where health, metrics and dump are served, ip:port
    #[argh(option)]
    admin_address: Option<String>,
    /// file with the key of the inner protocol
    #[argh(option)]
    inner_key_file: Option<String>,
    /// file with the key of workers and upstreams
    #[argh(option)]
    workers_key_file: Option<String>,
    /// file with the key of operators
    #[argh(option)]
    operator_key_file: Option<String>,
    /// log levels, as `<level>[,<module>=<level>]...`
    #[argh(option)]
    log_level: Option<String>,
    /// most connections of callers
    #[argh(option)]
    caller_connections: Option<String>,
    /// longest time for the head of a request, in milliseconds
    #[argh(option)]
    head_timeout_ms: Option<String>,
    /// longest time for the body of a request, in milliseconds
    #[argh(option)]
    body_timeout_ms: Option<String>,
    /// longest time without progress while an answer is written, in milliseconds
    #[argh(option)]
    write_timeout_ms: Option<String>,
    /// memory for bodies in each direction, in KiB
    #[argh(option)]
    body_memory_kib: Option<String>,
    /// threads of the network runtime
    #[argh(option)]
    network_threads: Option<String>,
    /// time between "not ready" and the end of accepting, in milliseconds
    #[argh(option)]
    stop_notice_ms: Option<String>,
    /// longest time to finish requests after that, in milliseconds
    #[argh(option)]
    stop_finish_ms: Option<String>,
    /// check the settings and exit
    #[argh(switch)]
    pub check: bool,
}

/// The settings after validation.
#[derive(Debug)]
pub struct Settings {
    /// The roster member that this process runs as.
    pub member: Member,
    /// The initial roster, which the configuration can replace.
    pub members: Members,
    /// Inner addresses of the control processes (`ip:port`); without any, claims are refused and
    /// there is no listener for operators.
    pub control: Vec<String>,
    /// The address of the listener for callers.
    pub callers: SocketAddr,
    /// The address of the listener for workers and upstreams.
    pub workers: SocketAddr,
    /// The address of the listener for operators.
    pub operators: SocketAddr,
    /// The address of the listener for health checks, metrics and state dumps.
    pub admin: SocketAddr,
    /// The key of the protocol between the processes of the system; without one, calls are sent
    /// without a key and accepted without a check.
    pub inner_key: Option<SharedKey>,
    /// The key of workers and upstreams; without one, their requests are refused.
    pub workers_key: Option<SharedKey>,
    /// The key of operators; without one, changes are refused.
    pub operator_key: Option<SharedKey>,
    /// The log levels, in total and per module.
    pub log_levels: LogLevels,
    /// The most open connections of callers.
    pub caller_connections: usize,
    /// The time limit for the head of a request.
    pub head_timeout: Duration,
    /// The time limit for the body of a request.
    pub body_timeout: Duration,
    /// The time limit for one write of an answer to make progress.
    pub write_timeout: Duration,
    /// The memory budget for bodies, in KiB; requests and responses have one each.
    pub body_memory_kib: usize,
    /// The number of threads of the network runtime.
    pub network_threads: usize,
    /// The time of a planned stop from "not ready" until the listener for callers stops accepting.
    pub stop_notice_ms: u64,
    /// The time limit of a planned stop for finishing requests after the listener for callers has
    /// stopped accepting.
    pub stop_finish_ms: u64,
}

impl Settings {
    /// Reads and validates all settings; the error lists every invalid one.
    pub fn read(flags: Flags, reader: &mut Reader) -> Result<Settings, SettingsErrors> {
        let entry: Option<EntryId> = reader.required("entry", flags.entry);
        let members = Members(reader.list("roster", flags.roster));
        let control: Vec<SocketAddr> = reader.list("control", flags.control);
        let callers = reader.required("callers-address", flags.callers_address);
        let workers = reader.required("workers-address", flags.workers_address);
        let operators = reader.required("operators-address", flags.operators_address);
        let admin = reader.required("admin-address", flags.admin_address);
        let inner_key = reader.key_file("inner-key-file", flags.inner_key_file);
        let workers_key = reader.key_file("workers-key-file", flags.workers_key_file);
        let operator_key = reader.key_file("operator-key-file", flags.operator_key_file);
        let log_levels = reader.value("log-level", flags.log_level, LogLevels::default());
        let mut number = |name: &str, flag, number| reader.number(name, flag, number);
        let connections = Number::new(4096, 1, 65_536, "connections");
        let caller_connections =
            number("caller-connections", flags.caller_connections, connections);
        let timeout = |default| Number::new(default, 100, 600_000, "ms");
        let head_ms = number("head-timeout-ms", flags.head_timeout_ms, timeout(20_000));
        let body_ms = number("body-timeout-ms", flags.body_timeout_ms, timeout(10_000));
        let write_ms = number("write-timeout-ms", flags.write_timeout_ms, timeout(10_000));
        let memory = Number::new(64 * 1024, 1024, 1024 * 1024, "KiB");
        let body_memory_kib = number("body-memory-kib", flags.body_memory_kib, memory);
        let threads = Number::new(2, 1, 16, "threads");
        let network_threads = number("network-threads", flags.network_threads, threads);
        let notice = Number::new(1_500, 0, 600_000, "ms");
        let stop_notice_ms = number("stop-notice-ms", flags.stop_notice_ms, notice);
        let finish = Number::new(330_000, 0, 3_600_000, "ms");
        let stop_finish_ms = number("stop-finish-ms", flags.stop_finish_ms, finish);
        let member = find_member(reader, entry, &members);
        reader.finish(|| {
            Some(Settings {
                member: member?,
                members,
                control: control.iter().map(SocketAddr::to_string).collect(),
                callers: callers?,
                workers: workers?,
                operators: operators?,
                admin: admin?,
                inner_key,
                workers_key,
                operator_key,
                log_levels,
                caller_connections: caller_connections as usize,
                head_timeout: Duration::from_millis(head_ms),
                body_timeout: Duration::from_millis(body_ms),
                write_timeout: Duration::from_millis(write_ms),
                body_memory_kib: body_memory_kib as usize,
                network_threads: network_threads as usize,
                stop_notice_ms,
                stop_finish_ms,
            })
        })
    }

    /// The failure domain of this entry, from the roster.
    pub fn failure_domain(&self) -> &Name {
        &self.member.failure_domain
    }
}

fn find_member(reader: &mut Reader, entry: Option<EntryId>, members: &Members) -> Option<Member> {
    let id = entry?;
    let matching: Vec<&Member> = members.0.iter().filter(|m| m.id == id).collect();
    match matching.as_slice() {
        [member] => Some((*member).clone()),
        [] => {
            reader.error("roster", format!("{id} is not in the roster"));
            None
        }
        _ => {
            reader.error("roster", format!("{id} is in the roster more than once"));
            None
        }
    }
}
