//! A stand-in runner: one process is one life of it. It follows PROTOCOL.md, "Running tasks" and
//! "Service discovery", and writes what happens on its standard output.
//!
//! The `spec` of a task says how it behaves: `work MS` ends `done` after MS; `last STARTUP` is at work
//! after STARTUP ms and goes on; `last STARTUP fail A B C ...` also ends `failed` by itself, after the
//! time in ms that the index and the run of the task select from the list.

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::json::Json;
use crate::json::quote;

/// What the runner is started with.
pub struct Setup {
    pub id: String,
    pub address: String,
    pub service: String,
    pub zone: String,
    pub rack: String,
    pub controls: Vec<String>,
    pub hold_max_ms: u64,
    pub stop_ms: u64,
    pub heartbeat_ms: u64,
}

pub const CPU: u64 = 64_000;
pub const MEMORY_MB: u64 = 262_144;

struct Run {
    run: u64,
    began: Instant,
    /// How long it works, if it ends by itself, and how it ends then.
    ends: Option<(Duration, &'static str)>,
    startup: Duration,
    stops_at: Option<Instant>,
}

#[derive(Default)]
struct State {
    running: BTreeMap<String, Run>,
    finished: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    /// The highest run of each task that was stopped or has ended.
    over: BTreeMap<String, u64>,
    token: u64,
    until_ms: u64,
}

struct Runner {
    setup: Setup,
    started: Instant,
    state: Mutex<State>,
    changed: Condvar,
}

/// Runs until the process is killed.
pub fn run(setup: Setup) {
    let listener = loop {
        match TcpListener::bind(&setup.address) {
            Ok(listener) => break listener,
            Err(_) => thread::sleep(Duration::from_millis(20)),
        }
    };
    let runner = Arc::new(Runner {
        setup,
        started: Instant::now(),
        state: Mutex::default(),
        changed: Condvar::new(),
    });
    let working = runner.clone();
    thread::spawn(move || {
        loop {
            working.advance();
            thread::sleep(Duration::from_millis(5));
        }
    });
    let reporting = runner.clone();
    thread::spawn(move || reporting.report());
    http::serve(listener, move |request| runner.handle(&request));
}

impl Runner {
    fn clock_ms(&self) -> u64 {
        // Any steady clock will do; this one does not begin at 0.
        50_000 + self.started.elapsed().as_millis() as u64
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Sends a heartbeat every `heartbeat-ms`, to the address that the last answer named.
    fn report(&self) {
        let mut named: Option<String> = None;
        let mut next = 0;
        for sequence in 1.. {
            let setup = &self.setup;
            let body = format!(
                "{{\"service\":{},\"address\":{},\"zone\":{},\"version\":\"v1\",\"slots\":8,\
                 \"state\":\"ready\",\"cold-remaining-ms\":0,\"capacity\":{{\"cpu\":{CPU},\
                 \"mem-mb\":{MEMORY_MB},\"gpu\":0}},\"labels\":[\"a\",{}],\"clock-ms\":{},\
                 \"sequence\":{sequence}}}",
                quote(&setup.service),
                quote(&setup.address),
                quote(&setup.zone),
                quote(&setup.rack),
                self.clock_ms()
            );
            let path = format!("/instances/{}", setup.id);
            for _ in 0..=setup.controls.len() {
                let address = named.take().unwrap_or_else(|| {
                    next += 1;
                    setup.controls[next % setup.controls.len()].clone()
                });
                let mut client = http::Client::new(&address, Duration::from_secs(1));
                let Some((200..=299, answer)) = client.call("PUT", &address, &path, &body) else {
                    continue;
                };
                if let Some(answer) = Json::parse(&answer) {
                    let address = answer.get("heartbeat-addr").text();
                    named = (!address.is_empty()).then(|| address.to_owned());
                }
                break;
            }
            thread::sleep(Duration::from_millis(setup.heartbeat_ms));
        }
    }

    /// Ends the runs whose time has come.
    fn advance(&self) {
        let clock_ms = self.clock_ms();
        let mut state = self.state();
        let mut over = Vec::new();
        for (task, run) in &state.running {
            if clock_ms > state.until_ms {
                over.push((task.clone(), "lapsed"));
            } else if run.stops_at.is_some_and(|at| at <= Instant::now()) {
                over.push((task.clone(), "stopped"));
            } else if let Some((after, how)) = run.ends
                && run.began.elapsed() >= after
            {
                over.push((task.clone(), how));
            }
        }
        for (task, how) in over {
            let run = state.running.remove(&task).map_or(0, |run| run.run);
            state.last_end += 1;
            let number = state.last_end;
            println!("end {task} {run} {how}");
            let highest = state.over.entry(task.clone()).or_default();
            *highest = (*highest).max(run);
            state.finished.push((number, task, run, how));
            self.changed.notify_all();
        }
    }

    fn handle(&self, request: &http::Request) -> (u16, String) {
        if request.header("expect-instance").is_some_and(|id| id != self.setup.id) {
            return (421, format!("{{\"clock-ms\":{}}}", self.clock_ms()));
        }
        let Some(body) = Json::parse(&request.body) else {
            return (400, "{}".to_owned());
        };
        let token = body.get("fencing-token").number().unwrap_or(0);
        {
            let mut state = self.state();
            if token < state.token {
                return self.reject("fence");
            }
            state.token = token;
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/run-start") => self.start(&body),
            ("POST", "/run-stop") => self.stop(&body),
            ("POST", "/hold") => self.hold(&body),
            ("GET", _) => (200, "{}".to_owned()),
            _ => (404, "{}".to_owned()),
        }
    }

    fn reject(&self, reason: &str) -> (u16, String) {
        (409, format!("{{\"clock-ms\":{},\"reason\":\"{reason}\"}}", self.clock_ms()))
    }

    fn accept(&self) -> (u16, String) {
        (200, format!("{{\"clock-ms\":{}}}", self.clock_ms()))
    }

    fn extend(&self, state: &mut State, body: &Json) {
        let until_ms = body.get("until-ms").number().unwrap_or(0);
        let latest_ms = self.clock_ms() + self.setup.hold_max_ms;
        state.until_ms = state.until_ms.max(until_ms.min(latest_ms));
    }

    fn start(&self, body: &Json) -> (u16, String) {
        let task = body.get("task").text().to_owned();
        let run = body.get("run").number().unwrap_or(0);
        let mut state = self.state();
        if body.get("until-ms").number().unwrap_or(0) <= self.clock_ms() {
            return self.reject("late");
        }
        self.extend(&mut state, body);
        if state.running.get(&task).is_some_and(|known| known.run == run) {
            return self.accept();
        }
        let is_old = state.over.get(&task).is_some_and(|over| *over >= run);
        if is_old || state.running.contains_key(&task) {
            return self.reject("old");
        }
        println!("start {task} {run}");
        state.running.insert(task.clone(), new_run(&task, run, body.get("spec").text()));
        self.accept()
    }

    fn stop(&self, body: &Json) -> (u16, String) {
        let task = body.get("task").text().to_owned();
        let run = body.get("run").number().unwrap_or(0);
        let mut state = self.state();
        let delay = Duration::from_millis(self.setup.stop_ms / 2);
        if let Some(known) = state.running.get_mut(&task)
            && known.run <= run
        {
            println!("stop {task} {run}");
            known.stops_at.get_or_insert(Instant::now() + delay);
        }
        let highest = state.over.entry(task).or_default();
        *highest = (*highest).max(run);
        self.accept()
    }

    fn hold(&self, body: &Json) -> (u16, String) {
        let mut state = self.state();
        self.extend(&mut state, body);
        let cursor = body.get("ack-cursor").number().unwrap_or(0);
        for (number, task, run, how) in &state.finished {
            if *number <= cursor {
                println!("noted {task} {run} {how}");
            }
        }
        state.finished.retain(|(number, ..)| *number > cursor);
        let wait_ms = body.get("wait-ms").number().unwrap_or(0).min(2_000);
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        while state.finished.is_empty() && Instant::now() < deadline {
            let rest = deadline.saturating_duration_since(Instant::now());
            state = self.changed.wait_timeout(state, rest).unwrap().0;
        }
        let row = |(task, run): (&String, &Run)| {
            let worked = run.began.elapsed().as_millis();
            let whole = match run.ends {
                Some((after, "done")) => after.as_millis(),
                _ => run.startup.as_millis(),
            };
            let percent = (100 * worked / whole.max(1)).min(100);
            format!("[{},{},\"\",{percent},0]", quote(task), run.run)
        };
        let running: Vec<String> = state.running.iter().map(row).collect();
        let end = |(number, task, run, how): &(u64, String, u64, &str)| {
            format!("[{number},{},{run},\"{how}\",\"\"]", quote(task))
        };
        let finished: Vec<String> = state.finished.iter().take(500).map(end).collect();
        let answer = format!(
            "{{\"clock-ms\":{},\"running\":[{}],\"finished\":[{}]}}",
            self.clock_ms(),
            running.join(","),
            finished.join(",")
        );
        (200, answer)
    }
}

fn new_run(task: &str, run: u64, spec: &str) -> Run {
    let words: Vec<&str> = spec.split(' ').collect();
    let number = |position: usize| words.get(position).and_then(|word| word.parse().ok());
    let first = Duration::from_millis(number(1).unwrap_or(0));
    let mut ends = None;
    let mut startup = Duration::ZERO;
    match words[0] {
        "last" => {
            startup = first;
            let times: Vec<u64> = words.iter().skip(3).filter_map(|word| word.parse().ok()).collect();
            if !times.is_empty() {
                let index: u64 = task.rsplit('.').next().and_then(|word| word.parse().ok()).unwrap_or(0);
                let job = task.bytes().take(16).map(u64::from).sum::<u64>();
                let chosen = (job * 5 + index * 3 + run * 2) as usize % times.len();
                ends = Some((Duration::from_millis(times[chosen]), "failed"));
            }
        }
        _ => ends = Some((first, "done")),
    }
    Run {
        run,
        began: Instant::now(),
        ends,
        startup,
        stops_at: None,
    }
}
