//! Settings of the control process.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;

use sapphirepost_process::SharedKey;
use sapphirepost_process::descriptors;
use sapphirepost_process::logging::LogLevels;
use sapphirepost_process::settings::Number;
use sapphirepost_process::settings::Reader;
use sapphirepost_process::settings::SettingsErrors;
use sapphirepost_types::MemberId;

use crate::group_tolerance::FaultTolerance;
use crate::initial_voters::InitialVoter;
use crate::initial_voters::InitialVoters;

const ELECTION_TIMEOUT: Number = Number::new(250, 50, 10_000, "ms");
const HEARTBEAT: Number = Number::new(60, 10, 5_000, "ms");
const LEASE: Number = Number::new(6_000, 1_000, 60_000, "ms");
const SNAPSHOT_ENTRIES: Number = Number::new(20_000, 10, 1_000_000, "entries");
const SNAPSHOT_LOG_BYTES: Number = Number::new(32 << 20, 4096, 1 << 30, "bytes");
const SEGMENT_BYTES: Number = Number::new(16 << 20, 4096, 1 << 30, "bytes");
const REQUEST_MEMORY: Number = Number::new(64 << 10, 16 << 10, 1 << 20, "KiB");

/// How many machines may be lost in a group of which operators choose the voters.
const FAULT_TOLERANCE: usize = 1;

/// How many heartbeat intervals must fit into the election timeout, so that one late heartbeat does
/// not cause an election.
const HEARTBEATS_PER_TIMEOUT: u64 = 3;

/// One member of the replicated group of a sapphirepost cluster.
#[derive(Clone, Debug, Default, FromArgs)]
pub struct Flags {
    /// directory with the log, the snapshots and the identity of this member
    #[argh(option)]
    pub data_dir: Option<String>,
    /// address of the inner listener, as ip:port
    #[argh(option)]
    pub inner_address: Option<String>,
    /// inner address under which other members reach this one; default: the inner address
    #[argh(option)]
    pub advertise_address: Option<String>,
    /// address of the admin listener, as ip:port
    #[argh(option)]
    pub admin_address: Option<String>,
    /// file with the key of the inner protocol
    #[argh(option)]
    pub inner_key_file: Option<String>,
    /// first voters of a new group, as member<number>@ip:port,...; ignored once the data
    /// directory holds a log
    #[argh(option)]
    pub bootstrap: Option<String>,
    /// shortest election timeout in milliseconds
    #[argh(option)]
    pub election_timeout_ms: Option<String>,
    /// time between heartbeats of the leader in milliseconds
    #[argh(option)]
    pub heartbeat_ms: Option<String>,
    /// length of a worker's lease in milliseconds
    #[argh(option)]
    pub lease_ms: Option<String>,
    /// entries between two snapshots
    #[argh(option)]
    pub snapshot_entries: Option<String>,
    /// size of the entries between two snapshots in bytes, if it is reached first
    #[argh(option)]
    pub snapshot_log_bytes: Option<String>,
    /// size of a log segment in bytes
    #[argh(option)]
    pub segment_bytes: Option<String>,
    /// memory for requests that arrive, in KiB
    #[argh(option)]
    pub request_memory_kib: Option<String>,
    /// log levels, as <level>[,<module>=<level>]...
    #[argh(option)]
    pub log_level: Option<String>,
    /// create the data directory, print the identity of this member and exit
    #[argh(switch)]
    pub init: bool,
    /// check the settings and exit
    #[argh(switch)]
    pub check: bool,
}

/// What the process is asked to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Check the settings and exit.
    Check,
    /// Create the data directory, print the identity of this member and exit.
    Init,
    /// Run as a member of the group.
    Run,
}

/// The validated settings of the process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Whether to run, or only to check the settings or create the data directory.
    pub mode: Mode,
    /// The directory with the log, the snapshots and the identity of this member.
    pub data_dir: PathBuf,
    /// The address that the inner listener binds to.
    pub inner_address: SocketAddr,
    /// The inner address at which other members reach this one.
    pub advertise_address: SocketAddr,
    /// The address that the admin listener binds to.
    pub admin_address: SocketAddr,
    /// The key of the inner protocol; without one, every caller is accepted.
    pub inner_key: Option<SharedKey>,
    /// The initial voters of a new group; ignored once the data directory holds a log.
    pub initial_voters: InitialVoters,
    /// The identity that a new data directory is given; a random one if `None`.
    pub new_member: Option<MemberId>,
    /// How many machines may be lost at the same time. Only a program that provides
    /// [`QueueParts`](crate::QueueParts) chooses the voters by it.
    pub fault_tolerance: FaultTolerance,
    /// The shortest election timeout in milliseconds.
    pub election_timeout_ms: u64,
    /// Time between heartbeats of the leader in milliseconds.
    pub heartbeat_ms: u64,
    /// Length of a worker's lease in milliseconds.
    pub lease_ms: u64,
    /// The number of applied log entries between two snapshots.
    pub snapshot_entries: u64,
    /// The size of the applied log entries at which a snapshot is due before that number. Up to
    /// twice as much is kept on the disk and in memory.
    pub snapshot_log_bytes: usize,
    /// Size of a log segment in bytes.
    pub segment_bytes: u64,
    /// The memory for requests that arrive, shared by all listeners, in bytes.
    pub request_memory_bytes: usize,
    /// How many descriptors the process may have open.
    pub descriptor_limit: u64,
    /// The log level of each module.
    pub log_levels: LogLevels,
}

impl Settings {
    /// Reads and validates all settings; the error lists everything that is wrong.
    pub fn read(flags: Flags, reader: &mut Reader) -> Result<Settings, SettingsErrors> {
        let mode = match (flags.check, flags.init) {
            (true, _) => Mode::Check,
            (false, true) => Mode::Init,
            (false, false) => Mode::Run,
        };
        let data_dir = reader.path("data-dir", flags.data_dir);
        let inner_address = reader.required("inner-address", flags.inner_address);
        let advertise_address = reader.optional("advertise-address", flags.advertise_address);
        let admin_address = reader.required("admin-address", flags.admin_address);
        let has_key = flags.inner_key_file.is_some();
        let inner_key = reader.key_file("inner-key-file", flags.inner_key_file);
        if inner_key.is_none() && !has_key {
            reader.error("inner-key-file", "must be given".to_owned());
        }
        let initial_voters: Vec<InitialVoter> = reader.list("bootstrap", flags.bootstrap);
        let timeout = flags.election_timeout_ms;
        let election_timeout_ms = reader.number("election-timeout-ms", timeout, ELECTION_TIMEOUT);
        let heartbeat_ms = reader.number("heartbeat-ms", flags.heartbeat_ms, HEARTBEAT);
        if heartbeat_ms * HEARTBEATS_PER_TIMEOUT > election_timeout_ms {
            let problem = format!(
                "must be at most {} ms",
                election_timeout_ms / HEARTBEATS_PER_TIMEOUT
            );
            reader.error("heartbeat-ms", problem);
        }
        let lease_ms = reader.number("lease-ms", flags.lease_ms, LEASE);
        let entries = flags.snapshot_entries;
        let snapshot_entries = reader.number("snapshot-entries", entries, SNAPSHOT_ENTRIES);
        let log = flags.snapshot_log_bytes;
        let snapshot_log_bytes = reader.number("snapshot-log-bytes", log, SNAPSHOT_LOG_BYTES);
        let segment_bytes = reader.number("segment-bytes", flags.segment_bytes, SEGMENT_BYTES);
        let memory = flags.request_memory_kib;
        let request_memory_kib = reader.number("request-memory-kib", memory, REQUEST_MEMORY);
        let log_levels = reader.value("log-level", flags.log_level, LogLevels::default());
        reader.finish(|| {
            let inner_address = inner_address?;
            Some(Settings {
                mode,
                data_dir: data_dir?,
                inner_address,
                advertise_address: advertise_address.unwrap_or(inner_address),
                admin_address: admin_address?,
                inner_key: Some(inner_key?),
                initial_voters: InitialVoters(initial_voters),
                new_member: None,
                fault_tolerance: FaultTolerance::new(FAULT_TOLERANCE),
                election_timeout_ms,
                heartbeat_ms,
                lease_ms,
                snapshot_entries,
                snapshot_log_bytes: snapshot_log_bytes as usize,
                segment_bytes,
                request_memory_bytes: request_memory_kib as usize * 1024,
                descriptor_limit: descriptors::limit(),
                log_levels,
            })
        })
    }
}
