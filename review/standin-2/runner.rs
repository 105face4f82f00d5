//! Runners: lives of machines that report themselves, run tasks and answer orders as PROTOCOL.md
//! says.
//!
//! The spec of a job tells what its tasks do: `lasts`, or `work MS`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Answer;
use crate::http::Message;
use crate::http::Server;
use crate::json::Json;
use crate::json::quoted;
use crate::record::Record;

const BEAT: Duration = Duration::from_millis(1_000);
const STOP_TIME: Duration = Duration::from_millis(100);
const HOLD_MAX_MS: u64 = 6_000;
pub const CPU: u64 = 16_000;

struct Run {
    run: u64,
    /// The work that is left; `None` for a task that lasts.
    ends_at: Option<Instant>,
    work_ms: u64,
    since: Instant,
    stops_at: Option<Instant>,
}

#[derive(Default)]
struct State {
    running: BTreeMap<String, Run>,
    finished: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    /// The highest run of each task that was stopped or has ended.
    superseded: BTreeMap<String, u64>,
    token: u64,
    until_ms: u64,
}

/// What all lives of all runners share.
#[derive(Clone)]
pub struct Site {
    pub service: &'static str,
    /// Whether runners say when they were started (`born`).
    pub has_born: bool,
    pub controls: Vec<SocketAddr>,
    pub record: Record,
    /// All ends of runs that lists have shown or the stand-in knows: task, run and how.
    pub ends: Arc<Mutex<Vec<(String, u64, String)>>>,
    /// All starts: runner, task, run and when.
    pub starts: Arc<Mutex<Vec<(String, String, u64, Instant)>>>,
}

/// A runner that leaves.
#[derive(Clone, Copy)]
pub struct Drain {
    /// The earliest end of the runner.
    pub until: Instant,
    /// When a control acknowledged a report with `draining`.
    pub acknowledged: Option<Instant>,
}

/// One life of a runner.
pub struct Runner {
    pub id: String,
    pub address: SocketAddr,
    site: Site,
    started: Instant,
    state: Mutex<State>,
    changed: Condvar,
    is_up: AtomicBool,
    born_ms: u64,
    kind: &'static str,
    drains: Mutex<Option<Drain>>,
    sequence: AtomicU64,
    server: Mutex<Option<Server>>,
}

impl Runner {
    pub fn start(site: &Site, id: &str, address: SocketAddr) -> Result<Arc<Runner>, String> {
        Runner::start_kind(site, id, address, "a")
    }

    /// Starts a life of a kind, which is the first of its labels.
    pub fn start_kind(
        site: &Site,
        id: &str,
        address: SocketAddr,
        kind: &'static str,
    ) -> Result<Arc<Runner>, String> {
        let runner = Arc::new(Runner {
            id: id.to_owned(),
            address,
            site: site.clone(),
            started: Instant::now(),
            state: Mutex::default(),
            changed: Condvar::new(),
            is_up: AtomicBool::new(true),
            born_ms: unix_ms(),
            kind,
            drains: Mutex::new(None),
            sequence: AtomicU64::new(0),
            server: Mutex::new(None),
        });
        let handler = runner.clone();
        let server = Server::start(address, move |request| handler.handle(request));
        let server = server.map_err(|error| format!("runner {id}: {error}"))?;
        *runner.server.lock().unwrap() = Some(server);
        let worker = runner.clone();
        thread::spawn(move || worker.work());
        let reporter = runner.clone();
        thread::spawn(move || reporter.report());
        site.record
            .note(&format!("runner {id} starts at {address}"));
        Ok(runner)
    }

    /// Ends the process of the runner, with all that runs on it.
    pub fn crash(&self) {
        self.is_up.store(false, Ordering::SeqCst);
        if let Some(server) = self.server.lock().unwrap().take() {
            server.close();
        }
        let lost = std::mem::take(&mut self.state.lock().unwrap().running);
        let lost: Vec<String> = lost
            .iter()
            .map(|(task, run)| format!("{task} run {}", run.run))
            .collect();
        let (id, record) = (&self.id, &self.site.record);
        record.note(&format!("runner {id} crashes with [{}]", lost.join(", ")));
    }

    /// Announces from now on that the runner leaves, at the earliest after `remaining`.
    pub fn drain(&self, remaining: Duration) {
        *self.drains.lock().unwrap() = Some(Drain {
            until: Instant::now() + remaining,
            acknowledged: None,
        });
    }

    /// How the runner leaves, if it does.
    pub fn draining(&self) -> Option<Drain> {
        *self.drains.lock().unwrap()
    }

    /// The number of the last report.
    pub fn last_sequence(&self) -> u64 {
        self.sequence.load(Ordering::SeqCst)
    }

    /// The field `born` with a comma, where runners have it.
    pub fn born(&self) -> String {
        if self.site.has_born {
            format!("\"born\":{},", self.born_ms)
        } else {
            String::new()
        }
    }

    /// The run of a task that is at work here, and for how long.
    pub fn at_work(&self, prefix: &str) -> Option<(String, u64, Duration)> {
        let state = self.state.lock().unwrap();
        let mut running = state.running.iter();
        let found = running.find(|(task, _)| task.starts_with(prefix));
        found.map(|(task, run)| (task.clone(), run.run, run.since.elapsed()))
    }

    fn clock_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn report(&self) {
        let mut next = 0;
        while self.is_up.load(Ordering::SeqCst) {
            let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
            let drain = self.draining();
            let state = match drain {
                None => "\"state\":\"ready\"".to_owned(),
                Some(drain) => {
                    let left = drain.until.saturating_duration_since(Instant::now());
                    format!(
                        "\"state\":\"draining\",\"remaining-ms\":{}",
                        left.as_millis()
                    )
                }
            };
            let body = format!(
                "{{{}\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"z1\",\"version\":\"v1\",\
                 \"slots\":8,{state},\"cold-remaining-ms\":0,\"capacity\":{{\"cpu\":{CPU},\
                 \"mem-mb\":32768,\"gpu\":0}},\"labels\":[\"{}\",\"r1-1\"],\"clock-ms\":{},\
                 \"sequence\":{sequence}}}",
                self.born(),
                self.site.service,
                self.address,
                self.kind,
                self.clock_ms()
            );
            let path = format!("/instances/{}", self.id);
            for _ in 0..self.site.controls.len() {
                let control = self.site.controls[next % self.site.controls.len()];
                let timeout = Duration::from_secs(1);
                let answer = http::call(control, "PUT", &path, &[], &body, timeout);
                if answer.is_ok_and(|(status, _)| (200..300).contains(&status)) {
                    if drain.is_some() {
                        self.drain_acknowledged(control, sequence);
                    }
                    break;
                }
                next += 1;
            }
            thread::sleep(BEAT);
        }
    }

    fn drain_acknowledged(&self, control: SocketAddr, sequence: u64) {
        let mut drains = self.drains.lock().unwrap();
        if let Some(drain) = drains.as_mut().filter(|drain| drain.acknowledged.is_none()) {
            drain.acknowledged = Some(Instant::now());
            let id = &self.id;
            self.site.record.note(&format!(
                "{control} acknowledges that {id} is draining (sequence {sequence})"
            ));
        }
    }

    fn work(&self) {
        while self.is_up.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(10));
            let is_lapsed = {
                let until_ms = self.state.lock().unwrap().until_ms;
                self.clock_ms() > until_ms
            };
            let now = Instant::now();
            let mut state = self.state.lock().unwrap();
            let mut over = Vec::new();
            for (task, run) in &state.running {
                if is_lapsed {
                    over.push((task.clone(), "lapsed"));
                } else if run.stops_at.is_some_and(|at| at <= now) {
                    over.push((task.clone(), "stopped"));
                } else if run.ends_at.is_some_and(|at| at <= now) {
                    over.push((task.clone(), "done"));
                }
            }
            for (task, how) in over {
                if let Some(run) = state.running.remove(&task) {
                    state.last_end += 1;
                    let number = state.last_end;
                    state.finished.push((number, task.clone(), run.run, how));
                    let superseded = state.superseded.entry(task.clone()).or_default();
                    *superseded = (*superseded).max(run.run);
                    let (id, number) = (&self.id, run.run);
                    self.site
                        .record
                        .note(&format!("{id}: {task} run {number} ends {how}"));
                    let mut ends = self.site.ends.lock().unwrap();
                    ends.push((task, number, how.to_owned()));
                    self.changed.notify_all();
                }
            }
        }
    }

    fn handle(&self, request: &Message) -> Answer {
        if !self.is_up.load(Ordering::SeqCst) {
            return None;
        }
        let expected = request.header("expect-instance");
        if expected.is_some_and(|id| id != self.id) {
            return Some((421, format!("{{\"clock-ms\":{}}}", self.clock_ms())));
        }
        let Some(body) = Json::parse(&request.body) else {
            return Some((400, "{}".to_owned()));
        };
        let path = request.first.get(1).map_or("", String::as_str);
        let token = body.get("fencing-token").number().unwrap_or(0);
        let mut state = self.state.lock().unwrap();
        if token < state.token {
            return self.reject("fence");
        }
        state.token = token;
        drop(state);
        match path {
            "/run-start" => self.start_run(&body),
            "/run-stop" => self.stop_run(&body),
            "/hold" => self.hold(&body),
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn reject(&self, reason: &str) -> Answer {
        let clock_ms = self.clock_ms();
        Some((
            409,
            format!("{{\"clock-ms\":{clock_ms},\"reason\":\"{reason}\"}}"),
        ))
    }

    fn accept(&self) -> Answer {
        Some((200, format!("{{\"clock-ms\":{}}}", self.clock_ms())))
    }

    fn extend(&self, state: &mut State, body: &Json) {
        if let Some(until_ms) = body.get("until-ms").number() {
            let until_ms = until_ms.min(self.clock_ms() + HOLD_MAX_MS);
            state.until_ms = state.until_ms.max(until_ms);
        }
    }

    fn start_run(&self, body: &Json) -> Answer {
        let task = body.get("task").text().to_owned();
        let run = body.get("run").number().unwrap_or(0);
        if body.get("until-ms").number().unwrap_or(0) <= self.clock_ms() {
            return self.reject("late");
        }
        let mut state = self.state.lock().unwrap();
        self.extend(&mut state, body);
        if state
            .superseded
            .get(&task)
            .is_some_and(|known| *known >= run)
        {
            drop(state);
            return self.reject("old");
        }
        if !state.running.contains_key(&task) {
            let spec = body.get("spec").text();
            let work_ms: Option<u64> = spec.strip_prefix("work ").and_then(|ms| ms.parse().ok());
            let now = Instant::now();
            let started = Run {
                run,
                ends_at: work_ms.map(|ms| now + Duration::from_millis(ms)),
                work_ms: work_ms.unwrap_or(0),
                since: now,
                stops_at: None,
            };
            state.running.insert(task.clone(), started);
            let id = &self.id;
            self.site
                .record
                .note(&format!("{id}: {task} run {run} starts"));
            let mut starts = self.site.starts.lock().unwrap();
            starts.push((id.clone(), task, run, now));
            drop(starts);
        }
        drop(state);
        self.accept()
    }

    fn stop_run(&self, body: &Json) -> Answer {
        let task = body.get("task").text().to_owned();
        let run = body.get("run").number().unwrap_or(0);
        let mut state = self.state.lock().unwrap();
        if let Some(known) = state.running.get_mut(&task)
            && known.run <= run
        {
            known.stops_at.get_or_insert(Instant::now() + STOP_TIME);
        }
        let superseded = state.superseded.entry(task).or_default();
        *superseded = (*superseded).max(run);
        drop(state);
        self.accept()
    }

    fn hold(&self, body: &Json) -> Answer {
        let acknowledged = body.get("ack-cursor").number().unwrap_or(0);
        let wait_ms = body.get("wait-ms").number().unwrap_or(0).min(2_000);
        let mut state = self.state.lock().unwrap();
        self.extend(&mut state, body);
        state.finished.retain(|(number, ..)| *number > acknowledged);
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        while state.finished.is_empty() && self.is_up.load(Ordering::SeqCst) {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            let pause = left.min(Duration::from_millis(50));
            state = self.changed.wait_timeout(state, pause).unwrap().0;
        }
        let running: Vec<String> = state
            .running
            .iter()
            .map(|(task, run)| {
                let percent = if run.ends_at.is_none() {
                    100
                } else {
                    100 * run.since.elapsed().as_millis() as u64 / run.work_ms.max(1)
                };
                format!(
                    "[{},{},\"\",{},500]",
                    quoted(task),
                    run.run,
                    percent.min(100)
                )
            })
            .collect();
        let finished: Vec<String> = state
            .finished
            .iter()
            .map(|(number, task, run, how)| {
                format!("[{number},{},{run},\"{how}\",\"\"]", quoted(task))
            })
            .collect();
        Some((
            200,
            format!(
                "{{{}\"clock-ms\":{},\"running\":[{}],\"finished\":[{}]}}",
                self.born(),
                self.clock_ms(),
                running.join(","),
                finished.join(",")
            ),
        ))
    }
}

fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
