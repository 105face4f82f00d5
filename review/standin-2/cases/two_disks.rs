//! Two machines lose power, then two others lose their disks.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::json::Json;
use crate::processes::Bounds;
use crate::processes::CONTROL_PORT;
use crate::processes::FRONT_PORT;
use crate::processes::Machine;
use crate::processes::Place;
use crate::processes::Role;
use crate::processes::config;
use crate::processes::operator;
use crate::record::Record;

const SEEDS: [u8; 3] = [1, 2, 3];
const CORES: [u8; 5] = [1, 2, 3, 4, 5];
const ENTRY: u8 = 11;
const JOB: &str = "/batch/5c0e7a21d94b36f8";
/// How long the first two machines are without power before the others lose their disks.
const DARK_MS: u64 = 4_500;
/// How long the others are without power.
const DOWN: Duration = Duration::from_millis(1_000);
/// `recovery-s` of the deployment.
const RECOVERY: Duration = Duration::from_secs(15);
/// The operator asks for this time after that.
const ASKED: Duration = Duration::from_secs(20);

pub fn run(trouble: bool, record: &Record) -> Result<Vec<String>, String> {
    let place = Place::new()?;
    let bounds = Bounds { machines: 2 };
    let mut machines = Vec::new();
    for number in CORES {
        machines.push(Machine::new(
            &place,
            Role::Control,
            number,
            &SEEDS,
            bounds,
            record,
        )?);
    }
    machines.push(Machine::new(
        &place,
        Role::Entry,
        ENTRY,
        &SEEDS,
        bounds,
        record,
    )?);
    for machine in &mut machines {
        machine.start()?;
    }
    let entry = place.address(ENTRY, FRONT_PORT);
    let client = |method: &str, body: &str| {
        let headers = [("Host", "a.example"), ("Deadline-Ms", "3000")];
        let timeout = Duration::from_secs(3);
        let answer = http::call(entry, method, JOB, &headers, body, timeout);
        record.note(&format!("client: {method} {JOB} -> {answer:?}"));
        answer
    };
    let controls: Vec<_> = CORES
        .iter()
        .map(|n| place.address(*n, CONTROL_PORT))
        .collect();
    let put = |version: u64, limit: Duration| {
        let text = config(version, &["/batch/"]);
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if let Some((status, _)) = operator(&controls, "PUT", &text, record) {
                record.note(&format!(
                    "operator: PUT configuration {version} -> {status}"
                ));
                if status == 200 {
                    return true;
                }
            }
            thread::sleep(Duration::from_millis(200));
        }
        false
    };
    if !put(7, Duration::from_secs(20)) {
        return Err("the first configuration was not accepted".to_owned());
    }
    // The machines beyond the seeds join; all are back and caught up long before the disruption.
    thread::sleep(Duration::from_secs(15));
    if !put(9, Duration::from_secs(4)) {
        return Err("the second configuration was not accepted".to_owned());
    }
    let job = "{\"spec\":\"work 100\",\"steps\":[{\"count\":1,\"cpu\":500,\"mem-mb\":256,\
               \"estimate-ms\":100}]}";
    if !client("POST", job).is_ok_and(|(status, _)| status == 200) {
        return Err("the job was not accepted".to_owned());
    }
    if trouble {
        // For a look at the cause: a shorter loss of power leaves the voters as they are.
        let dark_ms = std::env::var("DARK_MS").ok();
        let dark_ms = dark_ms
            .and_then(|text| text.parse().ok())
            .unwrap_or(DARK_MS);
        let dark = [3, 4];
        for position in dark {
            machines[position].kill();
        }
        thread::sleep(Duration::from_millis(dark_ms));
        if !put(12, Duration::from_secs(5)) {
            return Err("the third configuration was not accepted".to_owned());
        }
        thread::sleep(Duration::from_millis(300));
        let wiped = [0, 1];
        for position in wiped {
            machines[position].kill();
        }
        for position in wiped {
            machines[position].lose_disk()?;
            machines[position].write_settings(&place, &SEEDS, bounds, false)?;
        }
        thread::sleep(DOWN);
        for position in wiped.into_iter().chain(dark) {
            machines[position].write_settings(&place, &SEEDS, bounds, false)?;
            machines[position].start()?;
        }
    } else if !put(12, Duration::from_secs(5)) {
        return Err("the third configuration was not accepted".to_owned());
    }
    record.note("all machines are back");
    thread::sleep(RECOVERY);
    let until = Instant::now() + ASKED;
    let mut last = "no response".to_owned();
    while Instant::now() < until {
        if let Some((status, body)) = operator(&controls, "GET", "", record) {
            let version = Json::parse(&body).and_then(|body| body.get("version").number());
            record.note(&format!(
                "operator: GET configuration -> {status}, version {version:?}"
            ));
            if status == 200 && version >= Some(12) {
                let state = client("GET", "").ok().filter(|(status, _)| *status == 200);
                return Ok(match state {
                    Some(_) => Vec::new(),
                    None => vec!["LOST: the accepted job has no state".to_owned()],
                });
            }
            last = format!("{status}, version {version:?}");
            if status == 200 {
                break;
            }
        }
        thread::sleep(Duration::from_millis(1_000));
    }
    for machine in &mut machines {
        if machine.has_ended() {
            record.note(&format!("{} has ended by itself", machine.name));
        }
        for line in machine.log_text().lines().rev().take(400) {
            if line.contains("voters change") || line.contains("member joins") {
                record.note(&format!("log of {}: {line}", machine.name));
            }
        }
    }
    let state = client("GET", "");
    Ok(vec![
        format!(
            "CONFIG: version 12 was acknowledged; {} s after all machines are back the read gives \
             {last}",
            (RECOVERY + ASKED).as_secs()
        ),
        format!("LOST: the accepted job has no state: {state:?}"),
    ])
}
