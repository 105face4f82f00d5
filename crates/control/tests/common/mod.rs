//! A cluster of real processes, and an operator that resends a request until one of them answers.

#![allow(dead_code)] // Each test binary uses only a part of this module.

pub mod embedded;
pub mod relay;

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use tempfile::TempDir;
use tokio::runtime::Runtime;

use sapphirepost_consensus::Record;
use sapphirepost_control::InitialVoter;
use sapphirepost_control::InitialVoters;
use sapphirepost_process::RpcError;
use sapphirepost_process::SharedKey;
use sapphirepost_process::rpc;
use sapphirepost_process::rpc::RpcClient;
use sapphirepost_process::rpc::RpcClientConfig;
use sapphirepost_protocol::method;
use sapphirepost_protocol::operator::Confirm;
use sapphirepost_protocol::operator::MemberStatus;
use sapphirepost_protocol::operator::OperatorReply;
use sapphirepost_protocol::operator::OperatorRequest;
use sapphirepost_protocol::operator::Propose;
use sapphirepost_types::Intent;
use sapphirepost_types::MemberId;
use sapphirepost_types::Name;
use sapphirepost_types::OperationId;

use self::relay::Relay;

const KEY: &str = "a-key-for-tests-0123456789";
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(15);

/// First port of the range for tests. It ends below the range that the operating system gives to
/// outgoing connections, so that none of them takes a port before its process has started.
const FIRST_PORT: u32 = 10_000;
const PORTS: u32 = 20_000;

pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let start = std::process::id().wrapping_mul(97);
    loop {
        let offset = start.wrapping_add(NEXT.fetch_add(1, Ordering::SeqCst)) % PORTS;
        let address = SocketAddr::from(([127, 0, 0, 1], (FIRST_PORT + offset) as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

pub struct Process {
    pub member: MemberId,
    pub data_dir: PathBuf,
    pub relay: Relay,
    pub inner: SocketAddr,
    pub admin: SocketAddr,
    child: Option<Child>,
    /// Whether the process was asked to stop.
    is_stopping: bool,
}

pub struct Cluster {
    pub processes: Vec<Process>,
    /// The configuration values whose changes were accepted.
    pub accepted: BTreeMap<Name, String>,
    operation_count: u64,
    bootstrap: String,
    directory: TempDir,
    runtime: Runtime,
    extra_flags: Vec<String>,
}

impl Cluster {
    /// Starts a group of voters.
    pub fn start(voters: usize, extra_flags: &[&str]) -> Cluster {
        let mut cluster = Cluster::prepare(voters, extra_flags);
        cluster.spawn_all();
        cluster
    }

    /// Prepares a group of voters, without starting them.
    pub fn prepare(voters: usize, extra_flags: &[&str]) -> Cluster {
        let directory = TempDir::new().unwrap();
        std::fs::write(directory.path().join("key"), KEY).unwrap();
        let mut cluster = Cluster {
            processes: Vec::new(),
            accepted: BTreeMap::new(),
            operation_count: 0,
            bootstrap: String::new(),
            directory,
            runtime: rpc::runtime(2).unwrap(),
            extra_flags: extra_flags.iter().map(|text| (*text).to_owned()).collect(),
        };
        for _ in 0..voters {
            cluster.add_process();
        }
        let initial_voters = cluster
            .processes
            .iter()
            .map(|p| format!("{}@{}", p.member, p.relay.address));
        cluster.bootstrap = initial_voters.collect::<Vec<_>>().join(",");
        cluster
    }

    pub fn spawn_all(&mut self) {
        (0..self.processes.len()).for_each(|index| self.spawn(index));
    }

    /// The first records in the log of each voter.
    pub fn first_records(&self) -> Vec<Record> {
        let voters = self.processes.iter().map(|process| InitialVoter {
            member: process.member,
            address: process.relay.address.to_string(),
        });
        InitialVoters(voters.collect()).records()
    }

    /// The log lines of a process.
    pub fn log_text(&self, index: usize) -> String {
        let path = self.directory.path().join(format!("log{index}"));
        std::fs::read_to_string(path).unwrap_or_default()
    }

    /// Adds a process with a new data directory and a new identity, without starting it.
    pub fn add_process(&mut self) -> usize {
        let index = self.processes.len();
        let (inner, admin) = (free_address(), free_address());
        self.processes.push(Process {
            member: MemberId(0),
            data_dir: self.directory.path().join(format!("data{index}")),
            relay: Relay::start(inner),
            inner,
            admin,
            child: None,
            is_stopping: false,
        });
        self.create_identity(index);
        index
    }

    pub fn create_identity(&mut self, index: usize) {
        let output = self.command(index, &["--init"]).output().unwrap();
        assert!(output.status.success(), "{output:?}");
        let text = String::from_utf8(output.stdout).unwrap();
        self.processes[index].member = text.trim().parse().unwrap();
    }

    fn command(&self, index: usize, more: &[&str]) -> Command {
        let process = &self.processes[index];
        let mut command = Command::new(env!("CARGO_BIN_EXE_sapphirepost-control"));
        command.arg("--data-dir").arg(&process.data_dir);
        command
            .arg("--inner-key-file")
            .arg(self.directory.path().join("key"));
        command.args(["--inner-address", &process.inner.to_string()]);
        command.args(["--advertise-address", &process.relay.address.to_string()]);
        command.args(["--admin-address", &process.admin.to_string()]);
        if !self.bootstrap.is_empty() {
            command.args(["--bootstrap", &self.bootstrap]);
        }
        command
            .args(&self.extra_flags)
            .args(more)
            .stdin(Stdio::null());
        command
    }

    pub fn spawn(&mut self, index: usize) {
        let log = self.directory.path().join(format!("log{index}"));
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(log)
            .unwrap();
        let child = self.command(index, &[]).stderr(log).spawn().unwrap();
        self.processes[index].child = Some(child);
    }

    /// Starts a process that gets a write error instead of SIGXFSZ beyond the file size that
    /// [`Cluster::limit_file_size`] allows.
    pub fn spawn_ignoring_sigxfsz(&mut self, index: usize) {
        let program = self.command(index, &[]);
        let mut shell = Command::new("sh");
        shell.args(["-c", "trap '' XFSZ; exec \"$0\" \"$@\""]);
        shell.arg(program.get_program()).args(program.get_args());
        let child = shell.stdin(Stdio::null()).stderr(Stdio::null()).spawn();
        self.processes[index].child = Some(child.unwrap());
    }

    /// Limits the size of all files of a process to simulate a full disk; `None` lifts the limit.
    pub fn limit_file_size(&self, index: usize, size_bytes: Option<u64>) {
        let id = self.processes[index].child.as_ref().unwrap().id();
        let soft = size_bytes.map_or("unlimited".to_owned(), |size| size.to_string());
        let mut command = Command::new("prlimit");
        command.args([
            "--pid",
            &id.to_string(),
            &format!("--fsize={soft}:unlimited"),
        ]);
        assert!(command.status().unwrap().success());
    }

    /// Whether a process still runs.
    pub fn is_running(&mut self, index: usize) -> bool {
        let child = self.processes[index].child.as_mut().unwrap();
        child.try_wait().unwrap().is_none()
    }

    /// Runs a second process on the data directory of another one and waits for its end.
    pub fn run_second_process(&self, index: usize) -> Output {
        self.command(index, &[]).output().unwrap()
    }

    /// Ends a process with SIGKILL.
    pub fn kill(&mut self, index: usize) {
        let mut child = self.processes[index].child.take().unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    /// Sends a signal, such as `-TERM`, to a process.
    pub fn signal(&self, index: usize, signal: &str) {
        let id = self.processes[index]
            .child
            .as_ref()
            .unwrap()
            .id()
            .to_string();
        assert!(
            Command::new("kill")
                .args([signal, &id])
                .status()
                .unwrap()
                .success()
        );
    }

    /// Injects one of five faults: a kill, a pause, a graceful stop, or closed or silent
    /// connections. Does nothing if the process was killed already.
    pub fn inject_fault(&mut self, index: usize, fault: u32) {
        if self.processes[index].child.is_none() {
            return;
        }
        match fault {
            0 => self.kill(index),
            1 => self.signal(index, "-STOP"),
            2 => {
                self.signal(index, "-TERM");
                self.processes[index].is_stopping = true;
            }
            3 => self.processes[index].relay.cut(),
            _ => self.processes[index].relay.silence_open(),
        }
    }

    /// Ends all faults of a process and restarts it if it was killed or asked to stop.
    pub fn clear_faults(&mut self, index: usize) {
        self.processes[index].relay.heal();
        if self.processes[index].child.is_some() {
            self.signal(index, "-CONT");
            if !std::mem::take(&mut self.processes[index].is_stopping) {
                return;
            }
            self.wait(index);
        }
        self.processes[index].is_stopping = false;
        self.spawn(index);
    }

    /// Waits for the end of a process and returns whether it reported success.
    pub fn wait(&mut self, index: usize) -> bool {
        self.processes[index]
            .child
            .take()
            .unwrap()
            .wait()
            .unwrap()
            .success()
    }

    pub fn dump(&self, index: usize) -> Option<Value> {
        let url = format!("http://{}/dump", self.processes[index].admin);
        let response = attohttpc::get(url)
            .timeout(Duration::from_millis(500))
            .send()
            .ok()?;
        response.json().ok()
    }

    /// The metrics of a process, or nothing while it does not answer.
    pub fn metrics(&self, index: usize) -> String {
        let url = format!("http://{}/metrics", self.processes[index].admin);
        let request = attohttpc::get(url).timeout(Duration::from_millis(500));
        let response = request.send().and_then(|response| response.text());
        response.unwrap_or_default()
    }

    fn client(&self, index: usize) -> RpcClient {
        let key = SharedKey::new(KEY).unwrap();
        let config = RpcClientConfig::new(self.processes[index].inner.to_string(), Some(key));
        RpcClient::new(self.runtime.handle().clone(), config)
    }

    pub fn call(&self, index: usize, request: &OperatorRequest) -> Result<OperatorReply, RpcError> {
        self.client(index)
            .call_blocking(method::OPERATOR, request, CALL_TIMEOUT)
    }

    /// Reads the configuration again and again, from whichever process answers, on connections that
    /// stay open.
    pub fn read_until(&self, until: Instant) {
        let clients: Vec<RpcClient> = (0..self.processes.len()).map(|i| self.client(i)).collect();
        let mut preferred = 0;
        while Instant::now() < until {
            let reply: Result<OperatorReply, RpcError> = clients[preferred].call_blocking(
                method::OPERATOR,
                &OperatorRequest::GetConfig,
                CALL_TIMEOUT,
            );
            if reply.is_err() {
                preferred = (preferred + 1) % clients.len();
                thread::sleep(Duration::from_millis(10));
            }
        }
    }

    /// Resends a request to all processes until one answers it.
    pub fn operate(&self, request: &OperatorRequest) -> OperatorReply {
        self.request(method::OPERATOR, request)
    }

    /// Resends any call to all processes until one answers it.
    pub fn request<P, R>(&self, method: &str, params: &P) -> R
    where
        P: Serialize + Sync + Debug,
        R: DeserializeOwned,
    {
        let start = Instant::now();
        while start.elapsed() < WAIT_TIMEOUT {
            for index in 0..self.processes.len() {
                if self.processes[index].child.is_some()
                    && let Ok(reply) =
                        self.client(index)
                            .call_blocking(method, params, CALL_TIMEOUT)
                {
                    return reply;
                }
            }
            thread::sleep(Duration::from_millis(10));
        }
        panic!("no answer to {params:?}: {:?}", self.dumps());
    }

    pub fn dumps(&self) -> Vec<Option<Value>> {
        (0..self.processes.len())
            .map(|index| self.dump(index))
            .collect()
    }

    pub fn operation(&mut self) -> OperationId {
        self.operation_count += 1;
        let unix = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap();
        format!("{}-test{}", unix.as_millis(), self.operation_count)
            .parse()
            .unwrap()
    }

    /// Plans and confirms an intent.
    pub fn confirm(&mut self, intent: Intent) {
        let (operation, confirmation) = (self.operation(), self.operation());
        let reply = self.operate(&OperatorRequest::Propose(Propose { operation, intent }));
        let OperatorReply::Plan(plan) = reply else {
            panic!("{reply:?}")
        };
        let confirm = Confirm {
            operation: confirmation,
            plan: plan.id,
        };
        let reply = self.operate(&OperatorRequest::Confirm(confirm));
        assert!(matches!(reply, OperatorReply::Confirmed(_)), "{reply:?}");
    }

    /// A request for a plan that is not confirmed.
    pub fn proposal(&mut self) -> OperatorRequest {
        let operation = self.operation();
        let intent = Intent::SetConfig {
            key: Name::new("unconfirmed").unwrap(),
            value: None,
            expected: None,
        };
        OperatorRequest::Propose(Propose { operation, intent })
    }

    /// Changes a configuration value and returns once that is accepted.
    pub fn set_config_value(&mut self) {
        let key = Name::new(&format!("key{}", self.operation_count)).unwrap();
        let value = format!("value{}", self.operation_count);
        self.confirm(Intent::SetConfig {
            key: key.clone(),
            value: Some(value.clone()),
            expected: None,
        });
        self.accepted.insert(key, value);
    }

    /// Checks that the configuration has exactly the accepted values, each applied once.
    pub fn check_accepted(&self) {
        let reply = self.operate(&OperatorRequest::GetConfig);
        let OperatorReply::Config { version, values } = reply else {
            panic!("{reply:?}")
        };
        assert_eq!(values, self.accepted);
        assert_eq!(
            version.0,
            self.accepted.len() as u64,
            "a change was applied twice"
        );
    }

    pub fn members(&self) -> Vec<MemberStatus> {
        match self.operate(&OperatorRequest::ListMembers) {
            OperatorReply::Members(members) => members,
            reply => panic!("{reply:?}"),
        }
    }

    /// The index of the process that leads the group.
    pub fn leader(&self) -> usize {
        let leader = self
            .members()
            .into_iter()
            .find(|member| member.leader)
            .unwrap()
            .member;
        self.processes
            .iter()
            .position(|process| process.member == leader)
            .unwrap()
    }

    pub fn wait_for(&self, what: &str, condition: impl Fn(&Cluster) -> bool) {
        let start = Instant::now();
        while !condition(self) {
            assert!(start.elapsed() < WAIT_TIMEOUT, "{what}: {:?}", self.dumps());
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Waits until all processes show the same state.
    pub fn wait_until_converged(&self) {
        let shown = |cluster: &Cluster, index| {
            let dump = cluster.dump(index)?;
            Some((dump["applied"].clone(), dump["state_digest"].clone()))
        };
        self.wait_for("the states differ", |cluster| {
            let first = shown(cluster, 0);
            first.is_some() && (1..cluster.processes.len()).all(|i| shown(cluster, i) == first)
        });
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for process in &mut self.processes {
            if let Some(mut child) = process.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if thread::panicking() {
            for index in 0..self.processes.len() {
                eprintln!("--- log of process {index}\n{}", self.log_text(index));
            }
        }
    }
}
