//! A task that lasts whose runner crashes soon after its start, on a cluster that is busy.

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::cases::wait;
use crate::http;
use crate::processes::Bounds;
use crate::processes::CONTROL_PORT;
use crate::processes::FRONT_PORT;
use crate::processes::Machine;
use crate::processes::Place;
use crate::processes::RUNNER_PORT;
use crate::processes::Role;
use crate::processes::config;
use crate::processes::operator;
use crate::record::Record;
use crate::runner::Runner;
use crate::runner::Site;

const RUNNERS: u8 = 8;
const LARGE: &str = "5c0e7a2100000001";
const FILLER: &str = "5c0e7a2100000002";
const SUSPECT: &str = "5c0e7a2100000003";
/// How long the crashed runner is down.
const DOWN: Duration = Duration::from_millis(1_500);
/// How long after the crash there is room again.
const FULL: Duration = Duration::from_millis(46_500);
/// The rule counts from 6 s after the last run, 4 s of calm and 3 s without a run.
const WAIT_MAX: Duration = Duration::from_secs(10);

pub fn run(trouble: bool, record: &Record) -> Result<Vec<String>, String> {
    let place = Place::new()?;
    let bounds = Bounds { machines: 1 };
    let seeds = [1, 2, 3];
    let mut machines = Vec::new();
    for number in seeds {
        machines.push(Machine::new(
            &place,
            Role::Control,
            number,
            &seeds,
            bounds,
            record,
        )?);
    }
    machines.push(Machine::new(
        &place,
        Role::Entry,
        11,
        &seeds,
        bounds,
        record,
    )?);
    for machine in &mut machines {
        machine.start()?;
    }
    let controls: Vec<_> = seeds
        .iter()
        .map(|n| place.address(*n, CONTROL_PORT))
        .collect();
    let text = config(7, &["/batch/"]);
    wait(Duration::from_secs(20), || {
        let answer = operator(&controls, "PUT", &text, record);
        answer.is_some_and(|(status, _)| status == 200)
    })
    .ok_or("the configuration was not accepted")?;
    let site = Site {
        service: "svc",
        has_born: false,
        controls: controls.clone(),
        record: record.clone(),
        ends: Arc::default(),
        starts: Arc::default(),
    };
    let mut runners: Vec<Arc<Runner>> = Vec::new();
    for number in 0..RUNNERS {
        let address = place.address(101 + number, RUNNER_PORT);
        runners.push(Runner::start(&site, &format!("i-{number}-1"), address)?);
    }
    thread::sleep(Duration::from_secs(2));

    let entry = place.address(11, FRONT_PORT);
    let call = |method: &str, job: &str, body: &str| {
        let headers = [("Host", "a.example"), ("Deadline-Ms", "3000")];
        let path = format!("/batch/{job}");
        let answer = http::call(entry, method, &path, &headers, body, Duration::from_secs(3));
        record.note(&format!("client: {method} {path} -> {answer:?}"));
        answer.is_ok_and(|(status, _)| status == 200)
    };
    let lasting = |count: u32, cpu: u32, more: &str| {
        format!(
            "{{\"spec\":\"lasts\",\"steps\":[{{\"count\":{count},\"cpu\":{cpu},\"mem-mb\":256,\
             \"estimate-ms\":1000,\"long-running\":true{more}}}]}}"
        )
    };
    let count = |runners: &[Arc<Runner>], job: &str| {
        let at_work = runners
            .iter()
            .filter(|runner| runner.at_work(job).is_some());
        at_work.count()
    };
    let one_each = ",\"anti-affinity\":1";
    let limit = Duration::from_secs(10);
    // A large task on each runner, a smaller one on each but one.
    for (job, tasks, cpu) in [(LARGE, 8, 10_000), (FILLER, 7, 5_000)] {
        if !call("POST", job, &lasting(tasks, cpu, one_each)) {
            return Err("a job was not accepted".to_owned());
        }
        wait(limit, || count(&runners, job) == tasks as usize).ok_or("a job did not start")?;
    }
    if !call(
        "POST",
        SUSPECT,
        &lasting(1, 4_000, ",\"requirements\":\"a\""),
    ) {
        return Err("the job was not accepted".to_owned());
    }
    let until = Instant::now() + limit;
    let position = loop {
        if let Some(position) = runners.iter().position(|r| r.at_work(SUSPECT).is_some()) {
            break position;
        }
        if Instant::now() > until {
            return Err("the task did not start".to_owned());
        }
        thread::sleep(Duration::from_millis(2));
    };
    if trouble {
        thread::sleep(Duration::from_millis(80));
        runners[position].crash();
        thread::sleep(DOWN);
        // The new life is of the other kind, on which the task may not run.
        let (id, address) = (format!("i-{position}-2"), runners[position].address);
        runners[position] = Runner::start_kind(&site, &id, address, "b")?;
    }
    thread::sleep(FULL);
    if count(&runners, LARGE) != 8 {
        return Err("a large task is missing".to_owned());
    }
    if !call("DELETE", FILLER, "") {
        return Err("the cancel was not acknowledged".to_owned());
    }
    wait(limit, || count(&runners, FILLER) == 0).ok_or("the cancelled tasks run on")?;
    let free = Instant::now();
    record.note("seven runners have 6 of 16 cores free; no disruption from here on");
    while count(&runners, SUSPECT) == 0 {
        if free.elapsed() > WAIT_MAX {
            call("GET", SUSPECT, "");
            return Ok(vec![format!(
                "LOST: the task that lasts has nothing running, {:.1} s after there is room for it on \
                 seven runners",
                free.elapsed().as_secs_f64()
            )]);
        }
        thread::sleep(Duration::from_millis(20));
    }
    record.note(&format!(
        "it runs, {:.1} s after that",
        free.elapsed().as_secs_f64()
    ));
    Ok(Vec::new())
}
