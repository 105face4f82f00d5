//! The scripts.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::cluster::Cluster;
use crate::cluster::Event;
use crate::cluster::PREFIX;
use crate::cluster::URGENT;

pub fn play(name: &str, record: PathBuf, has_trouble: bool) -> Verdict {
    match name {
        "reserved" => reserved(record, has_trouble),
        "closed" => closed(record, has_trouble),
        "starved" => starved(record, has_trouble),
        "failures" => failures(record, has_trouble),
        _ => Verdict::NotRun(format!("there is no script {name}")),
    }
}

fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let begun = Instant::now();
    while begun.elapsed() < limit {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    condition()
}

/// Where the task runs now: the place of the runner, and when the run began.
fn running(events: &[Event], task: &str) -> Option<(usize, u64)> {
    let mut at = None;
    for event in events {
        match event.kind.as_str() {
            "start" if event.task == task => at = Some((event.place, event.life, event.at_ms)),
            "end" if event.task == task => at = None,
            "crash" => at = at.filter(|(place, life, _)| (*place, *life) != (event.place, event.life)),
            _ => {}
        }
    }
    at.map(|(place, _, began)| (place, began))
}

/// The longest time of each task from the end of a run to the next start, or to `now_ms`: the task, when
/// its last run ended, and the time.
fn gaps(events: &[Event], now_ms: u64) -> Vec<(String, u64, u64)> {
    let mut open: BTreeMap<&str, u64> = BTreeMap::new();
    let mut longest: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
    let mut close = |task, ended: u64, at: u64| {
        let known = longest.entry(task).or_insert((ended, 0));
        if at - ended > known.1 {
            *known = (ended, at - ended);
        }
    };
    for event in events {
        match event.kind.as_str() {
            "end" => drop(open.insert(&event.task, event.at_ms)),
            "start" => {
                if let Some(ended) = open.remove(event.task.as_str()) {
                    close(&event.task, ended, event.at_ms);
                }
            }
            _ => {}
        }
    }
    for (task, ended) in open {
        close(task, ended, now_ms);
    }
    longest.into_iter().map(|(task, (ended, gap))| (task.to_owned(), ended, gap)).collect()
}

/// 96 tasks that last, on 8 runners, fail by themselves, each after 14 to 25 s. They take 192 of 512
/// cores, and each job may use all runners that do not run another task of it.
fn failures(record: PathBuf, has_trouble: bool) -> Verdict {
    let Some(mut cluster) = Cluster::start(record, 2, 8) else {
        return Verdict::NotRun("the cluster did not start".to_owned());
    };
    let record = cluster.record.clone();
    let spec = match has_trouble {
        true => "last 300 fail 14000 21000 17000 25000 15000 23000 19000",
        false => "last 300",
    };
    let jobs: Vec<String> = (0..24).map(|job| format!("5c0e7a21d94b36{job:02x}")).collect();
    for id in &jobs {
        let body = format!(
            "{{\"spec\":\"{spec}\",\"steps\":[{{\"count\":4,\"cpu\":2000,\"mem-mb\":1024,\
             \"estimate-ms\":600000,\"anti-affinity\":1,\"long-running\":true}}]}}"
        );
        if !cluster.submit(PREFIX, id, &body) {
            return Verdict::NotRun("a job was not accepted".to_owned());
        }
    }
    thread::sleep(Duration::from_secs(100));
    let all = gaps(&record.events(), record.now_ms());
    if let Some(process) = cluster.has_ended_process() {
        return Verdict::NotRun(format!("a process ended: {process}"));
    }
    let mut longest = all.clone();
    longest.sort_by_key(|(_, _, gap)| std::cmp::Reverse(*gap));
    for (task, ended, gap) in longest.iter().take(10) {
        record.note(&format!("{task}: nothing ran for {gap} ms after {ended} ms"));
    }
    // From 6 s after its last run, for 3 s.
    match longest.first() {
        Some((task, ended, gap)) if *gap > 9_000 => Verdict::Broken(format!(
            "{task}, which lasts, has not run for {gap} ms since {ended} ms; {} tasks in all",
            all.iter().filter(|(_, _, gap)| *gap > 9_000).count()
        )),
        _ => Verdict::Held,
    }
}

/// Four runners crash, one after the other, each with the one task of a job that lasts. All runners
/// also run a large task of another job that lasts.
fn starved(record: PathBuf, has_trouble: bool) -> Verdict {
    let Some(mut cluster) = Cluster::start(record, 2, 8) else {
        return Verdict::NotRun("the cluster did not start".to_owned());
    };
    let record = cluster.record.clone();
    let large = r#"{"spec":"last 300","steps":[{"count":8,"cpu":40000,"mem-mb":1024,"estimate-ms":600000,"long-running":true}]}"#;
    if !cluster.submit(URGENT, "0a4e7a21d94b3600", large) {
        return Verdict::NotRun("the first job was not accepted".to_owned());
    }
    let are_placed = || (0..8).all(|index| running(&record.events(), &format!("0a4e7a21d94b3600.0.0.{index}")).is_some());
    if !wait_until(Duration::from_secs(10), are_placed) {
        return Verdict::NotRun("the first job does not run".to_owned());
    }
    let (id, task) = ("5c0e7a21d94b36f8", "5c0e7a21d94b36f8.0.0.0");
    let small = r#"{"spec":"last 300","steps":[{"count":1,"cpu":2000,"mem-mb":1024,"estimate-ms":600000,"long-running":true}]}"#;
    if !cluster.submit(PREFIX, id, small) {
        return Verdict::NotRun("the second job was not accepted".to_owned());
    }
    for crash in 0..4 {
        if !wait_until(Duration::from_secs(12), || running(&record.events(), task).is_some()) {
            return Verdict::NotRun(format!("the task does not run after {crash} crashes"));
        }
        thread::sleep(Duration::from_millis(2_500));
        if let (true, Some((place, _))) = (has_trouble, running(&record.events(), task)) {
            cluster.crash_runner(place);
            thread::sleep(Duration::from_millis(3_000));
            cluster.start_runner(place);
        }
    }
    let returned_ms = record.now_ms();
    let is_restarted = wait_until(Duration::from_secs(25), || running(&record.events(), task).is_some());
    cluster.read_all(id);
    if let Some(process) = cluster.has_ended_process() {
        return Verdict::NotRun(format!("a process ended: {process}"));
    }
    if is_restarted && running(&record.events(), task).is_some_and(|(_, at)| at < returned_ms + 10_000) {
        return Verdict::Held;
    }
    Verdict::Broken(format!(
        "the task has not run again within 10 s after the last runner was back; runs after 25 s: {is_restarted}, \
         all tasks of the first job run: {}",
        are_placed()
    ))
}

/// On each runner a task that lasts takes an eighth of the cores. A gang comes that would need nearly
/// all cores of all runners, and then ordinary jobs of a queue behind it.
fn reserved(record: PathBuf, has_trouble: bool) -> Verdict {
    let Some(mut cluster) = Cluster::start(record, 2, 8) else {
        return Verdict::NotRun("the cluster did not start".to_owned());
    };
    let record = cluster.record.clone();
    let lasting = r#"{"spec":"last 300","steps":[{"count":8,"cpu":8000,"mem-mb":1024,"anti-affinity":1,"long-running":true}]}"#;
    if !cluster.submit(URGENT, "0a4e7a21d94b3600", lasting) {
        return Verdict::NotRun("the job that lasts was not accepted".to_owned());
    }
    let are_placed = || (0..8).all(|index| running(&record.events(), &format!("0a4e7a21d94b3600.0.0.{index}")).is_some());
    if !wait_until(Duration::from_secs(10), are_placed) {
        return Verdict::NotRun("the job that lasts does not run".to_owned());
    }
    thread::sleep(Duration::from_secs(2));
    let gang = r#"{"spec":"work 6200","steps":[{"count":16,"cpu":30000,"mem-mb":68000,"estimate-ms":6200,"gang":true}]}"#;
    if has_trouble && !cluster.submit(URGENT, "6a61e7a21d94b360", gang) {
        return Verdict::NotRun("the gang was not accepted".to_owned());
    }
    let ordinary = r#"{"spec":"work 800","steps":[{"count":2,"cpu":5600,"mem-mb":21000,"estimate-ms":800}]}"#;
    let ids: Vec<String> = (0..8).map(|job| format!("77d1c2a05b3e9f{job:02x}")).collect();
    for id in &ids {
        thread::sleep(Duration::from_millis(700));
        if !cluster.submit(PREFIX, id, ordinary) {
            return Verdict::NotRun("an ordinary job was not accepted".to_owned());
        }
    }
    // No job is handed in any more: the traffic ends here. finish_s is 14 s.
    let is_completed = |id: &String| cluster.read(0, id).is_some_and(|(_, state)| state == "completed");
    wait_until(Duration::from_secs(35), || {
        thread::sleep(Duration::from_millis(500));
        ids.iter().all(is_completed)
    });
    for id in &ids {
        cluster.read_all(id);
    }
    // The rule asks whether anything of a job runs, not how soon it is done.
    let events = record.events();
    let has_started = |id: &String| events.iter().any(|event| event.kind == "start" && event.task.starts_with(id.as_str()));
    let open = ids.iter().filter(|id| !is_completed(id) && !has_started(id)).count();
    let verdict = match open {
        0 => Verdict::Held,
        count => Verdict::Broken(format!(
            "{count} of 8 accepted ordinary jobs have not started 35 s after the end of the traffic"
        )),
    };
    match cluster.has_ended_process() {
        Some(process) => Verdict::NotRun(format!("a process ended: {process}")),
        None => verdict,
    }
}

/// Five small tasks that last, each of a job of its own, run on one runner when that crashes, four
/// times. Afterwards three large tasks that last come, and then an ordinary job.
fn closed(record: PathBuf, has_trouble: bool) -> Verdict {
    let Some(mut cluster) = Cluster::start(record, 2, 8) else {
        return Verdict::NotRun("the cluster did not start".to_owned());
    };
    let record = cluster.record.clone();
    let small: Vec<String> = (0..5).map(|job| format!("5c0e7a21d94b36{job:02x}")).collect();
    for id in &small {
        let body = r#"{"spec":"last 300","steps":[{"count":1,"cpu":2000,"mem-mb":1024,"estimate-ms":600000,"long-running":true}]}"#;
        if !cluster.submit(PREFIX, id, body) {
            return Verdict::NotRun("a small job was not accepted".to_owned());
        }
    }
    let place = |id: &String| running(&record.events(), &format!("{id}.0.0.0")).map(|(place, _)| place);
    let all_run = || small.iter().all(|id| place(id).is_some());
    for crash in 0..4 {
        if !wait_until(Duration::from_secs(15), all_run) {
            return Verdict::NotRun(format!("the small tasks do not run after {crash} crashes"));
        }
        thread::sleep(Duration::from_millis(2_000));
        if let (true, Some(place)) = (has_trouble, place(&small[0])) {
            cluster.crash_runner(place);
            thread::sleep(Duration::from_millis(3_000));
            cluster.start_runner(place);
        }
    }
    if !wait_until(Duration::from_secs(25), all_run) {
        return Verdict::NotRun("the small tasks do not run at the end".to_owned());
    }
    let places: Vec<Option<usize>> = small.iter().map(place).collect();
    record.note(&format!("the small tasks run at {places:?}"));
    let large = r#"{"spec":"last 300","steps":[{"count":3,"cpu":63000,"mem-mb":1024,"estimate-ms":600000,"long-running":true}]}"#;
    if !cluster.submit(URGENT, "0a4e7a21d94b3600", large) {
        return Verdict::NotRun("the large job was not accepted".to_owned());
    }
    let are_placed = || (0..3).all(|index| running(&record.events(), &format!("0a4e7a21d94b3600.0.0.{index}")).is_some());
    if !wait_until(Duration::from_secs(10), are_placed) {
        return Verdict::NotRun("the large job does not run".to_owned());
    }
    let id = "77d1c2a05b3e9f44";
    let ordinary = r#"{"spec":"work 800","steps":[{"count":2,"cpu":5600,"mem-mb":21000,"estimate-ms":800}]}"#;
    if !cluster.submit(PREFIX, id, ordinary) {
        return Verdict::NotRun("the ordinary job was not accepted".to_owned());
    }
    // No job is handed in any more: the traffic ends here. finish_s is 14 s.
    let mut state = String::new();
    let ended = wait_until(Duration::from_secs(30), || {
        state = cluster.read(0, id).map(|(_, state)| state).unwrap_or_default();
        state == "completed"
    });
    cluster.read_all(id);
    if let Some(process) = cluster.has_ended_process() {
        return Verdict::NotRun(format!("a process ended: {process}"));
    }
    if ended {
        return Verdict::Held;
    }
    let events = record.events();
    let starts = events.iter().filter(|event| event.kind == "start" && event.task.starts_with(id)).count();
    if starts > 0 {
        // The rule asks whether anything of the job runs, not how soon it is done.
        return Verdict::Held;
    }
    Verdict::Broken(format!(
        "the ordinary job is {state} 30 s after the end of the traffic, with {starts} starts; small tasks at {places:?}"
    ))
}
