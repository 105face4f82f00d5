//! Heartbeats of another writer under the ID of a runner, which then drains.

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
use crate::runner::CPU;
use crate::runner::Runner;
use crate::runner::Site;

const RUNNERS: u8 = 4;
/// `drain-ms` of the deployment.
const DRAIN: Duration = Duration::from_millis(2_500);
/// How long the runner says that it stays, and how long it is watched.
const STAYS: Duration = Duration::from_secs(10);
/// How far the count of the other writer is ahead of that of the runner.
const AHEAD: u64 = 100;

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
        has_born: true,
        controls: controls.clone(),
        record: record.clone(),
        ends: Arc::default(),
        starts: Arc::default(),
    };
    let mut runners: Vec<Arc<Runner>> = Vec::new();
    for number in 0..RUNNERS {
        let address = place.address(101 + number, RUNNER_PORT);
        runners.push(Runner::start(&site, &format!("i-{number}"), address)?);
    }
    thread::sleep(Duration::from_secs(2));

    let leaving = &runners[0];
    if trouble {
        // The other writer knows nothing of `labels`, `version`, `slots`, `cold-remaining-ms` and `clock-ms`.
        let sequence = leaving.last_sequence() + AHEAD;
        let body = format!(
            "{{{}\"service\":\"svc\",\"address\":\"{}\",\"zone\":\"z1\",\"state\":\"ready\",\
             \"capacity\":{{\"cpu\":{CPU},\"mem-mb\":32768,\"gpu\":0}},\
             \"sequence\":{sequence}}}",
            leaving.born(),
            leaving.address
        );
        let path = format!("/instances/{}", leaving.id);
        let answer = http::call(
            controls[0],
            "PUT",
            &path,
            &[],
            &body,
            Duration::from_secs(1),
        );
        record.note(&format!("other writer: PUT {path} {body} -> {answer:?}"));
    }
    thread::sleep(Duration::from_secs(2));
    leaving.drain(STAYS);
    record.note(&format!("{} leaves", leaving.id));

    let entry = place.address(11, FRONT_PORT);
    let headers = [("Host", "a.example"), ("Deadline-Ms", "3000")];
    let job = "{\"spec\":\"work 300\",\"steps\":[{\"count\":8,\"cpu\":4000,\"mem-mb\":256,\
               \"estimate-ms\":300}]}";
    let until = Instant::now() + STAYS;
    let mut number = 0;
    while Instant::now() < until {
        number += 1;
        let path = format!("/batch/{:016x}", 0x5c0e_7a21_0000_0000_u64 + number);
        let answer = http::call(entry, "POST", &path, &headers, job, Duration::from_secs(3));
        record.note(&format!("client: POST {path} -> {answer:?}"));
        thread::sleep(Duration::from_millis(250));
    }
    let drain = leaving.draining().and_then(|drain| drain.acknowledged);
    let acknowledged = drain.ok_or("no control acknowledged that the runner is draining")?;
    let starts = site.starts.lock().unwrap();
    let late: Vec<String> = starts
        .iter()
        .filter(|(id, _, _, at)| *id == leaving.id && *at > acknowledged + DRAIN)
        .map(|(_, task, run, at)| {
            let after_ms = (*at - acknowledged).as_millis();
            format!(
                "DRAIN: {task} run {run} starts on {} {after_ms} ms after it",
                leaving.id
            )
        })
        .collect();
    record.note(&format!(
        "{} starts, {} of them late",
        starts.len(),
        late.len()
    ));
    Ok(late.into_iter().take(5).collect())
}
