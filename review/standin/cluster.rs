//! A small deployment on loopback addresses: the programs of the deploy file, runners, an operator
//! and clients. Every process that is started here is ended when the cluster is dropped.

use std::fs;
use std::io::BufRead;
use std::io::BufReader;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::json::Json;
use crate::json::quote;

pub const HOST: &str = "nony24.example";
pub const PREFIX: &str = "/lohu930/";
/// The prefix of the queue that comes first.
pub const URGENT: &str = "/pule252/";
const CONTROL: &str = "target/release/sapphirepost-platform-control";
const ENTRY: &str = "target/release/sapphirepost-platform-entry";
const CONTROL_PORT: u16 = 8166;
const FRONTEND_PORT: u16 = 8161;
const READY_PORT: u16 = 8167;
const RUNNER_PORT: u16 = 8080;
const SERVICE: &str = "huvo11a";
const ZONES: [&str; 3] = ["hall-pj", "hall-kl", "hall-shah"];

/// The bounds of the site tali-panjat that the processes and the runners need.
pub const BOUNDS: &str = r#"{"seed-lag-s": 3, "addr-reuse-s": 2, "contact-ms": 3000, "ack-ms": 4000,
 "catch-up-s": 4, "drain-ms": 2000, "grace-s": 6, "loss-slack-ms": 200, "config-apply-ms": 2000,
 "rollback-slack-ms": 250, "outer-ms": 5000, "recovery-s": 12, "hold-max-ms": 10000, "stop-ms": 400,
 "gang-ms": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14,
 "status_s": 120, "remote-factor": 3, "checkpoint-s": 1, "restore-ms": 100, "notice-ms": 4500,
 "migrate-s": 1.5, "maintenance-s": 2, "fencing-enforced": false, "lease-ms": 3000, "thaw-ms": 300,
 "pace-ms": 100, "interference-ms": 4000}"#;
const HOLD_MAX_MS: u64 = 10_000;
const STOP_MS: u64 = 400;
const HEARTBEAT_MS: u64 = 1_500;
/// The heartbeats and the operator need this long at most until the cluster can be used.
const START_MAX: Duration = Duration::from_secs(20);

/// What a runner has done.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    pub at_ms: u64,
    /// The place of the runner, and which of its lives it is.
    pub place: usize,
    pub life: usize,
    /// `start`, `stop`, `end`, `noted`, or `crash` of the runner.
    pub kind: String,
    pub task: String,
    pub run: u64,
    /// How a run ended.
    pub how: String,
}

/// What was sent, answered and run, in order.
pub struct Record {
    began: Instant,
    lines: Mutex<Vec<String>>,
    pub events: Mutex<Vec<Event>>,
}

impl Record {
    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// Writes a line, with the time since the script began.
    pub fn note(&self, line: &str) {
        let line = format!("{:>9.3} {line}", self.began.elapsed().as_secs_f64());
        self.lines.lock().unwrap().push(line);
    }

    pub fn events(&self) -> Vec<Event> {
        self.events.lock().unwrap().clone()
    }
}

/// A process of the system.
struct Process {
    name: String,
    settings: PathBuf,
    program: &'static str,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    fn spawn(&mut self) {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log).unwrap();
        let child = Command::new(self.program)
            .env("SAPPHIREPOST_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => self.child = Some(child),
            Err(error) => {
                eprintln!("cannot start {}: {error}", self.program);
            }
        }
    }
}

/// A runner: the process of its present life.
struct RunnerProcess {
    life: usize,
    child: Option<Child>,
}

pub struct Cluster {
    pub record: Arc<Record>,
    directory: PathBuf,
    record_path: PathBuf,
    net: String,
    /// Keeps the addresses from another script on the machine.
    _reserved: TcpListener,
    processes: Vec<Process>,
    runners: Vec<RunnerProcess>,
    entries: usize,
}

impl Cluster {
    /// Starts three control processes, `entries` entries and `runners` runners, hands in the first
    /// configuration and waits until jobs can be handed in. `record_path` is written at the end.
    pub fn start(record_path: PathBuf, entries: usize, runners: usize) -> Option<Cluster> {
        let (net, reserved) = reserve();
        let directory = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&directory).ok()?;
        let record = Arc::new(Record {
            began: Instant::now(),
            lines: Mutex::default(),
            events: Mutex::default(),
        });
        let mut cluster = Cluster {
            record,
            directory,
            record_path,
            net,
            _reserved: reserved,
            processes: Vec::new(),
            runners: Vec::new(),
            entries,
        };
        for number in 0..3 {
            cluster.add_process(number, true);
        }
        for number in 0..entries {
            cluster.add_process(number, false);
        }
        for place in 0..runners {
            cluster.runners.push(RunnerProcess { life: 0, child: None });
            cluster.start_runner(place);
        }
        cluster.configure(1)?;
        let begun = Instant::now();
        let is_ready = |number: usize| {
            let address = cluster.address(40 + number, READY_PORT);
            http::call(&address, "GET", &address, "/readyz", "").is_some_and(|(status, _)| status == 200)
        };
        while !(0..entries).all(is_ready) {
            if begun.elapsed() > START_MAX {
                eprintln!("the entries are not ready");
                return None;
            }
            thread::sleep(Duration::from_millis(50));
        }
        // All runners have sent a heartbeat by then, and have been asked for what they run.
        thread::sleep(Duration::from_millis(HEARTBEAT_MS));
        cluster.record.note("ready");
        Some(cluster)
    }

    fn address(&self, host: usize, port: u16) -> String {
        format!("{}.{host}:{port}", self.net)
    }

    fn add_process(&mut self, number: usize, is_control: bool) {
        let host = if is_control { 10 } else { 40 } + number;
        let ip = format!("{}.{host}", self.net);
        let zone = ZONES[number % ZONES.len()];
        let class = if is_control { "core" } else { "edge" };
        let name = format!("{class}-{zone}-{number}");
        let listen = if is_control {
            format!("{{\"control-plane\":\"{ip}:{CONTROL_PORT}\"}}")
        } else {
            format!("{{\"frontend\":\"{ip}:{FRONTEND_PORT}\",\"ready\":\"{ip}:{READY_PORT}\"}}")
        };
        let data = if is_control {
            let folder = self.directory.join(format!("data-{number}"));
            quote(&folder.to_string_lossy())
        } else {
            "null".to_owned()
        };
        let serves = if is_control { "control" } else { "edge" };
        let seeds: Vec<String> = (0..3).map(|seed| quote(&self.address(10 + seed, CONTROL_PORT))).collect();
        let settings = format!(
            "{{\"node-name\":{},\"role\":\"my-{class}\",\"machine-class\":\"{class}\",\
             \"serves\":[\"{serves}\"],\"ip\":\"{ip}\",\"zone\":\"{zone}\",\"region\":\"klang-valley\",\
             \"zones\":{{\"hall-pj\":\"klang-valley\",\"hall-kl\":\"klang-valley\",\
             \"hall-shah\":\"klang-valley\"}},\"bind-addrs\":{listen},\"internal-ports\":[7720,7735],\
             \"seeds\":[{}],\"bootstrap\":true,\"fault-counted\":{is_control},\
             \"limits\":{{\"cpu-quota\":0.5,\"cores\":1,\"memory-mb\":256,\"max-fds\":4096,\
             \"link-mbps\":1000.0,\"disk-mb\":128}},\"data-dir\":{data},\"discovery\":\"registry\",\
             \"entry\":\"vip\",\"heartbeat-ms\":{HEARTBEAT_MS},\
             \"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\"],\
             \"fault-tolerance\":{{\"machines\":1,\"zones\":1,\"region-count\":0}},\"bounds\":{BOUNDS},\
             \"config_mode\":\"highest\",\"orders\":\"invoke\"}}",
            quote(&name),
            seeds.join(",")
        );
        let path = self.directory.join(format!("{name}.json"));
        fs::write(&path, settings).unwrap();
        let mut process = Process {
            log: self.directory.join(format!("{name}.log")),
            name,
            settings: path,
            program: if is_control { CONTROL } else { ENTRY },
            child: None,
        };
        process.spawn();
        self.record.note(&format!("process {} started", process.name));
        self.processes.push(process);
    }

    /// Hands in a configuration as the operator does, until it is acknowledged.
    fn configure(&self, version: u64) -> Option<()> {
        let body = format!(
            "{{\"version\":{version},\"routes\":[{{\"name\":\"r-wrr6x73\",\"host\":\"{HOST}\",\
             \"path-prefix\":\"{PREFIX}\",\"kind\":\"non_idempotent\",\"timeout-ms\":3000,\
             \"target-latency-ms\":1000,\"priority\":1,\"service\":\"{SERVICE}\",\"max-attempts\":3,\
             \"deadline-factor\":2.2}},{{\"name\":\"r-73hh2b9\",\"host\":\"{HOST}\",\
             \"path-prefix\":\"{URGENT}\",\"kind\":\"non_idempotent\",\"timeout-ms\":3000,\
             \"target-latency-ms\":250,\"priority\":0,\"service\":\"{SERVICE}\",\"max-attempts\":3,\
             \"deadline-factor\":1.5}}],\"services\":[{{\"name\":\"{SERVICE}\",\
             \"health-path\":\"/healthz\",\"max-conns\":64,\"protocol\":\"h1\",\"tls\":false,\
             \"admission-check\":false,\"standby\":false}}],\"limits\":{{\"max-header-bytes\":16384,\
             \"max-body-bytes\":262144,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}}}"
        );
        let begun = Instant::now();
        while begun.elapsed() < START_MAX {
            for control in 0..3 {
                let address = self.address(10 + control, CONTROL_PORT);
                let answer = http::call(&address, "PUT", &address, "/config", &body);
                if answer.is_some_and(|(status, _)| status == 200) {
                    self.record.note(&format!("configuration {version} acknowledged"));
                    return Some(());
                }
            }
            thread::sleep(Duration::from_millis(100));
        }
        eprintln!("no configuration was acknowledged");
        None
    }

    /// Starts the next life of a runner, with a new ID at the same address.
    pub fn start_runner(&mut self, place: usize) {
        let life = self.runners[place].life + 1;
        let controls: Vec<String> = (0..3).map(|n| self.address(10 + n, CONTROL_PORT)).collect();
        let mut child = Command::new(std::env::current_exe().unwrap())
            .args(["runner", &format!("i-{place}-{life}"), &self.address(100 + place, RUNNER_PORT)])
            .args([SERVICE, ZONES[place % ZONES.len()], &format!("r1-{}", place / 8)])
            .args([controls.join(","), HOLD_MAX_MS.to_string(), STOP_MS.to_string()])
            .arg(HEARTBEAT_MS.to_string())
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let output = BufReader::new(child.stdout.take().unwrap());
        let record = self.record.clone();
        record.note(&format!("runner {place}.{life} started"));
        thread::spawn(move || {
            for line in output.lines().map_while(Result::ok) {
                record.note(&format!("runner {place}.{life}: {line}"));
                let words: Vec<&str> = line.split(' ').collect();
                let word = |position: usize| words.get(position).copied().unwrap_or_default();
                let event = Event {
                    at_ms: record.now_ms(),
                    place,
                    life,
                    kind: word(0).to_owned(),
                    task: word(1).to_owned(),
                    run: word(2).parse().unwrap_or(0),
                    how: word(3).to_owned(),
                };
                record.events.lock().unwrap().push(event);
            }
        });
        self.runners[place] = RunnerProcess {
            life,
            child: Some(child),
        };
    }

    /// Crashes a runner: its process is killed.
    pub fn crash_runner(&mut self, place: usize) {
        let runner = &mut self.runners[place];
        if let Some(mut child) = runner.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let life = runner.life;
        self.record.note(&format!("runner {place}.{life} crashed"));
        let event = Event {
            at_ms: self.record.now_ms(),
            place,
            life,
            kind: "crash".to_owned(),
            task: String::new(),
            run: 0,
            how: String::new(),
        };
        self.record.events.lock().unwrap().push(event);
    }

    pub fn entry_address(&self, entry: usize) -> String {
        self.address(40 + entry % self.entries, FRONTEND_PORT)
    }

    /// Hands in a job as a client does: again with the same ID after no answer, at the next entry.
    /// Returns whether it was accepted.
    pub fn submit(&self, prefix: &str, id: &str, body: &str) -> bool {
        for attempt in 0..5 {
            let address = self.entry_address(attempt);
            let answer = http::call(&address, "POST", HOST, &format!("{prefix}{id}"), body);
            let status = answer.as_ref().map(|(status, _)| *status);
            self.record.note(&format!("POST {id} -> {status:?}"));
            if status == Some(200) {
                return true;
            }
            thread::sleep(Duration::from_millis(300));
        }
        false
    }

    /// Reads a job at one entry.
    pub fn read(&self, entry: usize, id: &str) -> Option<(u16, String)> {
        let address = self.entry_address(entry);
        let (status, body) = http::call(&address, "GET", HOST, &format!("{PREFIX}{id}"), "")?;
        let state = Json::parse(&body).map(|body| body.get("state").text().to_owned());
        Some((status, state.unwrap_or_default()))
    }

    /// Reads a job at all entries, and writes the answers down.
    pub fn read_all(&self, id: &str) -> Vec<Option<(u16, String)>> {
        let answers: Vec<_> = (0..self.entries).map(|entry| self.read(entry, id)).collect();
        self.record.note(&format!("GET {id} -> {answers:?}"));
        answers
    }

    /// Whether a process of the system has ended by itself.
    pub fn has_ended_process(&mut self) -> Option<String> {
        for process in &mut self.processes {
            if let Some(child) = &mut process.child
                && let Ok(Some(status)) = child.try_wait()
            {
                return Some(format!("{}: {status}", process.name));
            }
        }
        None
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        let runners = self.runners.iter_mut().filter_map(|runner| runner.child.take());
        let processes = self.processes.iter_mut().filter_map(|process| process.child.take());
        let mut children: Vec<Child> = runners.chain(processes).collect();
        for child in &mut children {
            let _ = child.kill();
        }
        for child in &mut children {
            let _ = child.wait();
        }
        thread::sleep(Duration::from_millis(100));
        let text = self.record.lines.lock().unwrap().join("\n");
        let _ = fs::write(&self.record_path, text + "\n");
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.directory);
        }
    }
}

/// A loopback network that no other script uses.
fn reserve() -> (String, TcpListener) {
    let process = std::process::id();
    for number in 0..250 {
        let net = format!("127.{}.{}", 60 + process % 150, (process / 150 + number) % 250);
        if let Ok(listener) = TcpListener::bind(format!("{net}.1:8160")) {
            return (net, listener);
        }
    }
    panic!("no free loopback addresses");
}
