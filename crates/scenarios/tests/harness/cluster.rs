//! The processes of one scenario. They are ended by their ids, also when a step fails.

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
const POLL: Duration = Duration::from_millis(100);
const START_TIMEOUT: Duration = Duration::from_secs(30);
const STOP_TIMEOUT: Duration = Duration::from_secs(20);

/// What a listener of an entry or a control process is for.
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

/// Running processes by name, such as `control-1`, `entry-4`, `worker-a-2`, `upstream-b-1`.
pub struct Cluster {
    /// The second to last byte of all addresses.
    scenario: u8,
    directory: TempDir,
    processes: BTreeMap<String, Process>,
    /// The command lines of processes that were killed.
    ended: BTreeMap<String, (Vec<String>, String)>,
    pub relays: Relays,
    pub entries: usize,
    founders: String,
}

impl Cluster {
    pub fn new(scenario: u8) -> Cluster {
        let directory = tempfile::tempdir().unwrap();
        std::fs::write(directory.path().join("key"), KEY).unwrap();
        Cluster {
            scenario,
            directory,
            processes: BTreeMap::new(),
            ended: BTreeMap::new(),
            relays: Relays::new(),
            entries: 0,
            founders: String::new(),
        }
    }

    /// Where a process listens; callers, operators and this test connect there.
    pub fn listens(&self, port: Port, index: usize) -> SocketAddr {
        self.address(2, port, index)
    }

    /// The relay in front of a process that processes of a failure domain connect to.
    fn relayed(&self, from: &str, port: Port, index: usize) -> SocketAddr {
        let domain = DOMAINS.iter().position(|domain| *domain == from).unwrap();
        self.address(10 + domain as u8, port, index)
    }

    /// The relay in front of a control process whose address all members and entries are told.
    fn advertised(&self, index: usize) -> SocketAddr {
        self.address(1, Port::ControlInner, index)
    }

    fn address(&self, last: u8, port: Port, index: usize) -> SocketAddr {
        // Two runs at a time use different addresses.
        let run = (std::process::id() % 16) as u8 * 16;
        let ip = [127, 78, run + self.scenario, last];
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
        let founders = (1..=control)
            .map(|index| self.create_member(index))
            .collect::<anyhow::Result<Vec<_>>>()?;
        self.founders = founders.join(",");
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
            let status = self.json(&["status"])?;
            let list = status["status"]["workers"].as_array();
            let connected = list.into_iter().flatten();
            let count = connected.filter(|w| w["connected"] == true).count();
            Ok(count == workers)
        })
    }

    fn add_relays(&self, control: usize, entries: usize) {
        let add = |port, index, to| {
            for from in DOMAINS {
                let (address, target) =
                    (self.relayed(from, port, index), self.listens(port, index));
                self.relays.add(address, target, Some(from), to);
            }
        };
        for index in 1..=control {
            add(Port::ControlInner, index, control_domain(index));
            let target = self.listens(Port::ControlInner, index);
            let advertised = self.advertised(index);
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

    /// Creates the data directory of a control process; returns its identity and address.
    pub fn create_member(&self, index: usize) -> anyhow::Result<String> {
        let command = self.control_command(index);
        let output = Command::new(&command[0])
            .args(&command[1..])
            .arg("--init")
            .output()?;
        anyhow::ensure!(output.status.success(), "--init failed: {output:?}");
        let member = String::from_utf8(output.stdout)?;
        let address = self.advertised(index);
        Ok(format!("{}@{address}", member.trim()))
    }

    pub fn start_control(&mut self, index: usize) -> anyhow::Result<()> {
        let command = self.control_command(index);
        self.spawn(&format!("control-{index}"), command, control_domain(index))
    }

    fn control_command(&self, index: usize) -> Vec<String> {
        let listens = |port| self.listens(port, index).to_string();
        let mut command = Line::new("sapphirepost-control")
            .flag("data-dir", self.text_path(&format!("control-{index}")))
            .flag("inner-address", listens(Port::ControlInner))
            .flag("advertise-address", self.advertised(index).to_string())
            .flag("admin-address", listens(Port::ControlAdmin))
            .flag("inner-key-file", self.text_path("key"));
        if !self.founders.is_empty() {
            command = command.flag("bootstrap", self.founders.clone());
        }
        command.0
    }

    fn entry_command(&self, index: usize, control: usize) -> Vec<String> {
        let listens = |port| self.listens(port, index).to_string();
        // An entry listens at its own address of the roster, and reaches the others by relay.
        let member = |other| {
            let inner = match other == index {
                true => self.listens(Port::EntryInner, other),
                false => self.relayed(self.entry_domain(index), Port::EntryInner, other),
            };
            format!("entry{other}@{}={inner}", self.entry_domain(other))
        };
        let key = self.text_path("key");
        let domain = self.entry_domain(index);
        let addresses: Vec<String> = (1..=control)
            .map(|index| self.relayed(domain, Port::ControlInner, index).to_string())
            .collect();
        let roster: Vec<String> = (1..=self.entries).map(member).collect();
        Line::new("sapphirepost-entry")
            .flag("entry", format!("entry{index}"))
            .flag("roster", roster.join(","))
            .flag("control", addresses.join(","))
            .flag("callers-address", listens(Port::Callers))
            .flag("workers-address", listens(Port::Workers))
            .flag("operators-address", listens(Port::Operators))
            .flag("admin-address", listens(Port::EntryAdmin))
            .flag("inner-key-file", key.clone())
            .flag("workers-key-file", key.clone())
            .flag("operator-key-file", key)
            .0
    }

    /// The workers addresses of all entries, those of the own failure domain first.
    fn workers(&self, domain: &str) -> String {
        let mut order: Vec<usize> = (1..=self.entries).collect();
        order.sort_by_key(|index| self.entry_domain(*index) != domain);
        let all: Vec<String> = order
            .into_iter()
            .map(|index| self.relayed(domain, Port::Workers, index).to_string())
            .collect();
        all.join(",")
    }

    fn start_worker(&mut self, index: usize) -> anyhow::Result<()> {
        let domain = DOMAINS[index % 3];
        let name = format!("worker-{domain}-{}", index / 3 + 1);
        let mut command = self.standin("worker", &name, domain, "tasks.journal");
        command = command.flag("capacity", "4000m/8192Mi/0a".to_owned());
        self.spawn(&name, command.0, domain)
    }

    fn start_upstream(&mut self, index: usize) -> anyhow::Result<()> {
        let domain = DOMAINS[index % 3];
        let name = format!("upstream-{domain}-{}", index / 3 + 1);
        let listen = SocketAddr::new(self.listens(Port::Callers, 0).ip(), 22_000 + index as u16);
        let command = self
            .standin("upstream", &name, domain, "requests.journal")
            .flag("service", "logbook".to_owned())
            .flag("listen", listen.to_string())
            .flag("run-ms", "20".to_owned());
        self.spawn(&name, command.0, domain)
    }

    fn standin(&self, kind: &str, name: &str, domain: &str, journal: &str) -> Line {
        let mut line = Line::new("sapphirepost-standin");
        line.0.push(kind.to_owned());
        line.flag("entries", self.workers(domain))
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
            .map(|index| self.listens(Port::ControlAdmin, index))
            .chain((1..=entries).map(|index| self.listens(Port::EntryAdmin, index)));
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
        anyhow::ensure!(status.success(), "kill {signal} {name}");
        Ok(())
    }

    pub fn kill(&mut self, name: &str) -> anyhow::Result<()> {
        let mut process = self.processes.remove(name).context(name.to_owned())?;
        process.child.kill()?;
        process.child.wait()?;
        let ended = (process.command, process.domain);
        self.ended.insert(name.to_owned(), ended);
        Ok(())
    }

    pub fn restart(&mut self, name: &str) -> anyhow::Result<()> {
        let (command, domain) = self.ended.remove(name).context(name.to_owned())?;
        self.spawn(name, command, &domain)
    }

    /// Waits until a process that was asked to stop has ended.
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

    /// Whether an entry is ready.
    pub fn is_entry_ready(&self, index: usize) -> bool {
        is_ready(self.listens(Port::EntryAdmin, index))
    }

    /// Names of processes that start with `prefix`.
    pub fn names(&self, prefix: &str) -> Vec<String> {
        let running = self.processes.keys().chain(self.ended.keys());
        running
            .filter(|name| name.starts_with(prefix))
            .cloned()
            .collect()
    }

    /// The control process that leads.
    pub fn leader(&self) -> anyhow::Result<String> {
        let listed = self.json(&["control", "list"])?;
        let members = listed["members"].as_array().context("no members")?;
        let leader = members
            .iter()
            .find(|member| member["leader"] == true)
            .context("no leader")?;
        let address: SocketAddr = leader["address"].as_str().context("address")?.parse()?;
        let index = address.port() - Port::ControlInner as u16;
        Ok(format!("control-{index}"))
    }

    /// Runs the command line through the entries; returns exit code, output and errors.
    pub fn operate(&self, entries: &[usize], arguments: &[&str]) -> (i32, String, String) {
        let entries: Vec<String> = entries
            .iter()
            .map(|index| self.listens(Port::Operators, *index).to_string())
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

    /// The JSON output of a command through any entry.
    pub fn json(&self, arguments: &[&str]) -> anyhow::Result<Value> {
        let all: Vec<usize> = (1..=self.entries).collect();
        let arguments = [&["--json"], arguments].concat();
        let (code, output, errors) = self.operate(&all, &arguments);
        if code != 0 {
            bail!("{arguments:?}: exit code {code}: {errors}");
        }
        Ok(serde_json::from_str(&output)?)
    }

    /// The last lines of the logs, for a failed scenario.
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

struct Line(Vec<String>);

impl Line {
    fn new(program: &str) -> Line {
        let path = programs::path(program);
        Line(vec![path.to_string_lossy().into_owned()])
    }

    fn flag(mut self, name: &str, value: String) -> Line {
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

/// Repeats a check until it holds; a failed check counts as not yet.
pub fn wait_for(
    what: &str,
    timeout: Duration,
    mut check: impl FnMut() -> anyhow::Result<bool>,
) -> anyhow::Result<()> {
    let until = Instant::now() + timeout;
    let mut last = String::new();
    while Instant::now() < until {
        match check() {
            Ok(true) => return Ok(()),
            Ok(false) => {}
            Err(error) => last = format!(": {error:#}"),
        }
        std::thread::sleep(POLL);
    }
    bail!("not within {} s: {what}{last}", timeout.as_secs())
}
