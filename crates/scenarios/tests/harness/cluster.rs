//! Starts and controls the processes of one scenario. Dropping the `Cluster` kills its processes by
//! their process IDs, also when a step fails.

use std::collections::BTreeMap;
use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use anyhow::bail;
use attohttpc::ProxySettings;
use serde_json::Value;
use tempfile::TempDir;

use crate::harness::programs;
use crate::harness::relay::Relays;

const KEY: &str = "scenario-key-0123456789";
const DOMAINS: [&str; 3] = ["a", "b", "c"];
const POLL_INTERVAL: Duration = Duration::from_millis(100);
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Exit code of the command-line client when a change may have had an effect.
const EXIT_OUTCOME_UNKNOWN: i32 = 5;
const STOP_TIMEOUT: Duration = Duration::from_secs(20);

/// The listeners of entries and control processes. The value is the base of the port numbers, to
/// which the index of the process is added.
#[derive(Clone, Copy)]
pub enum Port {
    Callers = 21_000,
    Workers = 21_100,
    Operators = 21_200,
    EntryAdmin = 21_300,
    EntryInner = 21_400,
    ControlInner = 21_500,
    ControlAdmin = 21_600,
}

struct Process {
    child: Child,
    command: Vec<String>,
    domain: String,
}

/// The processes of a scenario.
pub struct Cluster {
    /// The number of the scenario, below 16: the lower four bits of the third octet of all
    /// addresses.
    scenario: u8,
    directory: TempDir,
    /// Running processes by name, such as `control-1`, `entry-4`, `worker-a-2` or `upstream-b-1`.
    processes: BTreeMap<String, Process>,
    /// Command lines and failure domains of killed processes, for a restart.
    killed: BTreeMap<String, (Vec<String>, String)>,
    pub relays: Relays,
    pub entries: usize,
    /// The value of `--bootstrap`; empty until the initial voters have data directories.
    initial_voters: String,
}

impl Cluster {
    pub fn new(scenario: u8) -> Cluster {
        let directory = tempfile::tempdir().unwrap();
        std::fs::write(directory.path().join("key"), KEY).unwrap();
        Cluster {
            scenario,
            directory,
            processes: BTreeMap::new(),
            killed: BTreeMap::new(),
            relays: Relays::new(),
            entries: 0,
            initial_voters: String::new(),
        }
    }

    /// The address that a process listens on. Callers, operators and this test connect to it
    /// without a relay.
    pub fn listen_address(&self, port: Port, index: usize) -> SocketAddr {
        self.address(2, port, index)
    }

    /// The address of the relay through which the failure domain `from` connects to a process.
    fn relay_address(&self, from: &str, port: Port, index: usize) -> SocketAddr {
        let domain = DOMAINS.iter().position(|domain| *domain == from).unwrap();
        self.address(10 + domain as u8, port, index)
    }

    /// The address of the relay that a control process advertises to all members and entries.
    fn advertised_address(&self, index: usize) -> SocketAddr {
        self.address(1, Port::ControlInner, index)
    }

    fn address(&self, last_octet: u8, port: Port, index: usize) -> SocketAddr {
        // Keeps concurrent test runs apart, unless their process IDs are equal modulo 16.
        let run_offset = (std::process::id() % 16) as u8 * 16;
        let ip = [127, 78, run_offset + self.scenario, last_octet];
        SocketAddr::from((ip, port as u16 + index as u16))
    }

    pub fn path(&self, file: &str) -> PathBuf {
        self.directory.path().join(file)
    }

    fn text_path(&self, file: &str) -> String {
        self.path(file).to_string_lossy().into_owned()
    }

    pub fn start(
        &mut self,
        control: usize,
        entries: usize,
        workers: usize,
        upstreams: usize,
    ) -> anyhow::Result<()> {
        self.entries = entries;
        self.add_relays(control, entries);
        let initial_voters = (1..=control)
            .map(|index| self.create_member(index))
            .collect::<anyhow::Result<Vec<_>>>()?;
        self.initial_voters = initial_voters.join(",");
        for index in 1..=control {
            self.start_control(index)?;
        }
        for index in 1..=entries {
            let command = self.entry_command(index, control);
            self.spawn(&format!("entry-{index}"), command, self.entry_domain(index))?;
        }
        for index in 0..workers {
            self.start_worker(index)?;
        }
        for index in 0..upstreams {
            self.start_upstream(index)?;
        }
        self.wait_ready(control, entries)?;
        wait_for("workers", START_TIMEOUT, || {
            let status = self.run_cli_json(&["status"])?;
            let list = status["status"]["workers"].as_array();
            let connected = list.into_iter().flatten();
            let count = connected.filter(|w| w["connected"] == true).count();
            Ok(count == workers)
        })
    }

    fn add_relays(&self, control: usize, entries: usize) {
        let add = |port, index, to| {
            for from in DOMAINS {
                let (address, target) = (
                    self.relay_address(from, port, index),
                    self.listen_address(port, index),
                );
                self.relays.add(address, target, Some(from), to);
            }
        };
        for index in 1..=control {
            add(Port::ControlInner, index, control_domain(index));
            let target = self.listen_address(Port::ControlInner, index);
            let advertised = self.advertised_address(index);
            self.relays
                .add(advertised, target, None, control_domain(index));
        }
        for index in 1..=entries {
            add(Port::EntryInner, index, self.entry_domain(index));
            add(Port::Workers, index, self.entry_domain(index));
        }
    }

    pub fn entry_domain(&self, index: usize) -> &'static str {
        DOMAINS[(index - 1) * DOMAINS.len() / self.entries]
    }

    /// Creates the data directory of a control process; returns `<member ID>@<address>`.
    pub fn create_member(&self, index: usize) -> anyhow::Result<String> {
        let command = self.control_command(index);
        let output = Command::new(&command[0])
            .args(&command[1..])
            .arg("--init")
            .output()?;
        anyhow::ensure!(output.status.success(), "--init failed: {output:?}");
        let member = String::from_utf8(output.stdout)?;
        let address = self.advertised_address(index);
        Ok(format!("{}@{address}", member.trim()))
    }

    pub fn start_control(&mut self, index: usize) -> anyhow::Result<()> {
        let command = self.control_command(index);
        self.spawn(&format!("control-{index}"), command, control_domain(index))
    }

    fn control_command(&self, index: usize) -> Vec<String> {
        let listen_address = |port| self.listen_address(port, index).to_string();
        let mut command = CommandLine::new("sapphirepost-control")
            .flag("data-dir", self.text_path(&format!("control-{index}")))
            .flag("inner-address", listen_address(Port::ControlInner))
            .flag(
                "advertise-address",
                self.advertised_address(index).to_string(),
            )
            .flag("admin-address", listen_address(Port::ControlAdmin))
            .flag("inner-key-file", self.text_path("key"));
        if !self.initial_voters.is_empty() {
            command = command.flag("bootstrap", self.initial_voters.clone());
        }
        command.0
    }

    fn entry_command(&self, index: usize, control: usize) -> Vec<String> {
        let listen_address = |port| self.listen_address(port, index).to_string();
        // An entry listens on its own address in the roster and connects to the others by relay.
        let member = |other| {
            let inner = match other == index {
                true => self.listen_address(Port::EntryInner, other),
                false => self.relay_address(self.entry_domain(index), Port::EntryInner, other),
            };
            format!("entry{other}@{}={inner}", self.entry_domain(other))
        };
        let key = self.text_path("key");
        let domain = self.entry_domain(index);
        let addresses: Vec<String> = (1..=control)
            .map(|index| {
                self.relay_address(domain, Port::ControlInner, index)
                    .to_string()
            })
            .collect();
        let roster: Vec<String> = (1..=self.entries).map(member).collect();
        CommandLine::new("sapphirepost-entry")
            .flag("entry", format!("entry{index}"))
            .flag("roster", roster.join(","))
            .flag("control", addresses.join(","))
            .flag("callers-address", listen_address(Port::Callers))
            .flag("workers-address", listen_address(Port::Workers))
            .flag("operators-address", listen_address(Port::Operators))
            .flag("admin-address", listen_address(Port::EntryAdmin))
            .flag("inner-key-file", key.clone())
            .flag("workers-key-file", key.clone())
            .flag("operator-key-file", key)
            .0
    }

    /// The addresses at which workers and upstreams of a failure domain reach the entries, those of
    /// the same domain first.
    fn workers_addresses(&self, domain: &str) -> String {
        let mut order: Vec<usize> = (1..=self.entries).collect();
        order.sort_by_key(|index| self.entry_domain(*index) != domain);
        let all: Vec<String> = order
            .into_iter()
            .map(|index| self.relay_address(domain, Port::Workers, index).to_string())
            .collect();
        all.join(",")
    }

    fn start_worker(&mut self, index: usize) -> anyhow::Result<()> {
        let domain = DOMAINS[index % 3];
        let name = format!("worker-{domain}-{}", index / 3 + 1);
        let mut command = self.standin_command("worker", &name, domain, "tasks.journal");
        command = command.flag("capacity", "4000m/8192Mi/0a".to_owned());
        self.spawn(&name, command.0, domain)
    }

    fn start_upstream(&mut self, index: usize) -> anyhow::Result<()> {
        let domain = DOMAINS[index % 3];
        let name = format!("upstream-{domain}-{}", index / 3 + 1);
        let listen = SocketAddr::new(
            self.listen_address(Port::Callers, 0).ip(),
            22_000 + index as u16,
        );
        let command = self
            .standin_command("upstream", &name, domain, "requests.journal")
            .flag("service", "logbook".to_owned())
            .flag("listen", listen.to_string())
            .flag("run-ms", "20".to_owned());
        self.spawn(&name, command.0, domain)
    }

    fn standin_command(&self, kind: &str, name: &str, domain: &str, journal: &str) -> CommandLine {
        let mut command = CommandLine::new("sapphirepost-standin");
        command.0.push(kind.to_owned());
        command
            .flag("entries", self.workers_addresses(domain))
            .flag("key-file", self.text_path("key"))
            .flag("name", name.to_owned())
            .flag("failure-domain", domain.to_owned())
            .flag("journal", self.text_path(journal))
    }

    fn spawn(&mut self, name: &str, command: Vec<String>, domain: &str) -> anyhow::Result<()> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.path(&format!("{name}.log")))?;
        let child = Command::new(&command[0])
            .args(&command[1..])
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .with_context(|| format!("starting {name}"))?;
        if !name.starts_with("worker") && !name.starts_with("upstream") {
            self.relays.register(child.id(), domain);
        }
        let domain = domain.to_owned();
        let process = Process {
            child,
            command,
            domain,
        };
        self.processes.insert(name.to_owned(), process);
        Ok(())
    }

    fn wait_ready(&self, control: usize, entries: usize) -> anyhow::Result<()> {
        let admins = (1..=control)
            .map(|index| self.listen_address(Port::ControlAdmin, index))
            .chain((1..=entries).map(|index| self.listen_address(Port::EntryAdmin, index)));
        for admin in admins {
            wait_for("readiness", START_TIMEOUT, || Ok(is_ready(admin)))?;
        }
        Ok(())
    }

    pub fn process_id(&self, name: &str) -> anyhow::Result<String> {
        let process = self.processes.get(name).context(name.to_owned())?;
        Ok(process.child.id().to_string())
    }

    pub fn signal(&self, name: &str, signal: &str) -> anyhow::Result<()> {
        let id = self.process_id(name)?;
        let status = Command::new("kill").args([signal, &id]).status()?;
        anyhow::ensure!(status.success(), "kill {signal} {name} failed");
        Ok(())
    }

    pub fn kill(&mut self, name: &str) -> anyhow::Result<()> {
        let mut process = self.processes.remove(name).context(name.to_owned())?;
        process.child.kill()?;
        process.child.wait()?;
        let killed = (process.command, process.domain);
        self.killed.insert(name.to_owned(), killed);
        Ok(())
    }

    pub fn restart(&mut self, name: &str) -> anyhow::Result<()> {
        let (command, domain) = self.killed.remove(name).context(name.to_owned())?;
        self.spawn(name, command, &domain)
    }

    /// Waits until a process that was asked to stop has exited, and checks its exit status.
    pub fn wait_exit(&mut self, name: &str) -> anyhow::Result<()> {
        let process = self.processes.get_mut(name).context(name.to_owned())?;
        let mut code = None;
        wait_for("exit", STOP_TIMEOUT, || {
            code = process.child.try_wait()?;
            Ok(code.is_some())
        })?;
        anyhow::ensure!(code.is_some_and(|code| code.success()), "{name}: {code:?}");
        self.processes.remove(name);
        Ok(())
    }

    pub fn is_running(&self, name: &str) -> bool {
        self.processes.contains_key(name)
    }

    pub fn is_entry_ready(&self, index: usize) -> bool {
        is_ready(self.listen_address(Port::EntryAdmin, index))
    }

    /// The names of processes, running or killed, that start with `prefix`.
    pub fn names(&self, prefix: &str) -> Vec<String> {
        let running = self.processes.keys().chain(self.killed.keys());
        running
            .filter(|name| name.starts_with(prefix))
            .cloned()
            .collect()
    }

    /// The name of the control process that is the leader.
    pub fn leader(&self) -> anyhow::Result<String> {
        let listed = self.run_cli_json(&["control", "list"])?;
        let members = listed["members"].as_array().context("no members")?;
        let leader = members
            .iter()
            .find(|member| member["leader"] == true)
            .context("no leader")?;
        let address: SocketAddr = leader["address"]
            .as_str()
            .context("leader without an address")?
            .parse()?;
        let index = address.port() - Port::ControlInner as u16;
        Ok(format!("control-{index}"))
    }

    /// Runs the command-line client against these entries; returns exit code, stdout and stderr.
    pub fn run_cli(&self, entries: &[usize], arguments: &[&str]) -> (i32, String, String) {
        let entries: Vec<String> = entries
            .iter()
            .map(|index| self.listen_address(Port::Operators, *index).to_string())
            .collect();
        let output = Command::new(programs::path("sapphirepost"))
            .args(["--entries", &entries.join(",")])
            .args(["--key-file", &self.text_path("key")])
            .args(arguments)
            .output()
            .unwrap();
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        let code = output.status.code().unwrap_or(-1);
        (code, text(&output.stdout), text(&output.stderr))
    }

    /// Runs a command of the client with `--json` against all entries; returns its output.
    pub fn run_cli_json(&self, arguments: &[&str]) -> anyhow::Result<Value> {
        let all: Vec<usize> = (1..=self.entries).collect();
        let arguments = [&["--json"], arguments].concat();
        let (code, output, errors) = self.run_cli(&all, &arguments);
        if code != 0 {
            bail!("{arguments:?}: exit code {code}: {errors}");
        }
        Ok(serde_json::from_str(&output)?)
    }

    /// Runs a command that adds or removes a member, and once more if the outcome of the first try
    /// is unknown, as docs/operators.md says: the call may go to a leader that is being killed.
    pub fn change_members(&self, arguments: &[&str]) -> anyhow::Result<()> {
        let all: Vec<usize> = (1..=self.entries).collect();
        let (code, _, errors) = self.run_cli(&all, arguments);
        match code {
            0 => Ok(()),
            EXIT_OUTCOME_UNKNOWN => self.run_cli_json(arguments).map(drop),
            _ => bail!("{arguments:?}: exit code {code}: {errors}"),
        }
    }

    /// Returns the last lines of all logs, to be printed when a step fails.
    pub fn logs(&self) -> String {
        let mut text = String::new();
        for name in self.names("") {
            let log = std::fs::read_to_string(self.path(&format!("{name}.log")));
            let log = log.unwrap_or_default();
            let lines: Vec<&str> = log.lines().collect();
            let last = lines[lines.len().saturating_sub(6)..].join("\n");
            text += &format!("== {name}\n{last}\n");
        }
        text
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for process in self.processes.values_mut() {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
    }
}

struct CommandLine(Vec<String>);

impl CommandLine {
    fn new(program: &str) -> CommandLine {
        let path = programs::path(program);
        CommandLine(vec![path.to_string_lossy().into_owned()])
    }

    fn flag(mut self, name: &str, value: String) -> CommandLine {
        self.0.extend([format!("--{name}"), value]);
        self
    }
}

pub fn control_domain(index: usize) -> &'static str {
    DOMAINS[(index - 1) % DOMAINS.len()]
}

fn is_ready(admin: SocketAddr) -> bool {
    attohttpc::get(format!("http://{admin}/readyz"))
        .proxy_settings(ProxySettings::builder().build())
        .timeout(Duration::from_secs(1))
        .send()
        .is_ok_and(|response| response.is_success())
}

/// Repeats `check` until it returns `true`. Errors are retried; the timeout error includes the last
/// one.
pub fn wait_for(
    what: &str,
    timeout: Duration,
    mut check: impl FnMut() -> anyhow::Result<bool>,
) -> anyhow::Result<()> {
    let deadline = Instant::now() + timeout;
    let mut last_error = String::new();
    while Instant::now() < deadline {
        match check() {
            Ok(true) => return Ok(()),
            Ok(false) => {}
            Err(error) => last_error = format!(": {error:#}"),
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    bail!(
        "timed out after {} s waiting for {what}{last_error}",
        timeout.as_secs()
    )
}
