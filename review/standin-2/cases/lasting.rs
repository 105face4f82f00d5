//! A task that lasts, and runners that crash one at a time.

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::cases::wait;
use crate::http;
use crate::json::Json;
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

const JOB: &str = "5c0e7a21d94b36f8";
const RUNNERS: u8 = 8;
const CRASHES: u32 = 5;
/// How long the task is at work before its runner crashes.
const AT_WORK: Duration = Duration::from_millis(2_500);
/// How long a crashed runner is down.
const DOWN: Duration = Duration::from_millis(1_500);
const CASE_MAX: Duration = Duration::from_secs(100);

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
    record.note("operator: configuration 7 acknowledged");
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
    let path = format!("/batch/{JOB}");
    let ask = |method: &str, body: &str| {
        let headers = [("Host", "a.example"), ("Deadline-Ms", "3000")];
        http::call(entry, method, &path, &headers, body, Duration::from_secs(3))
    };
    let job = "{\"spec\":\"lasts\",\"steps\":[{\"count\":1,\"cpu\":500,\"mem-mb\":256,\
               \"estimate-ms\":1000,\"long-running\":true}]}";
    wait(Duration::from_secs(15), || {
        let answer = ask("POST", job);
        record.note(&format!("client: POST {path} -> {answer:?}"));
        answer.is_ok_and(|(status, _)| status == 200)
    })
    .ok_or("the job was not accepted")?;

    let mut broken = Vec::new();
    let mut look = |record: &Record| {
        let answer = ask("GET", "");
        record.note(&format!("client: GET {path} -> {answer:?}"));
        let Ok((status, body)) = answer else {
            return false;
        };
        let state = Json::parse(&body).map(|body| body.get("state").text().to_owned());
        let state = state.unwrap_or_default();
        let is_wrong = status == 410 || ["failed", "cancelled", "completed"].contains(&&*state);
        if is_wrong {
            broken.push(format!(
                "LOST: an accepted job that nobody has cancelled, none of whose runs has ended \
                 `failed`, is shown as {status} {state}"
            ));
        }
        is_wrong
    };

    let began = Instant::now();
    let mut lives = vec![1; runners.len()];
    let mut down: Vec<(usize, Instant)> = Vec::new();
    let mut crashes = 0;
    let mut looked = Instant::now();
    let mut calm_since = Instant::now();
    loop {
        if began.elapsed() > CASE_MAX {
            return Err("the case took too long".to_owned());
        }
        thread::sleep(Duration::from_millis(50));
        for (position, _) in down.extract_if(.., |(_, since)| since.elapsed() >= DOWN) {
            lives[position] += 1;
            let id = format!("i-{position}-{}", lives[position]);
            let address = runners[position].address;
            runners[position] = Runner::start(&site, &id, address)?;
        }
        if looked.elapsed() >= Duration::from_secs(2) {
            looked = Instant::now();
            if look(record) {
                break;
            }
        }
        let at_work = runners.iter().position(|runner| {
            let run = runner.at_work(JOB);
            run.is_some_and(|(_, _, since)| since >= AT_WORK)
        });
        if trouble
            && crashes < CRASHES
            && down.is_empty()
            && let Some(position) = at_work
        {
            crashes += 1;
            runners[position].crash();
            down.push((position, Instant::now()));
            calm_since = Instant::now();
        }
        // After the last disruption the job is looked at for some time more.
        let is_over = crashes == CRASHES || !trouble;
        if is_over && calm_since.elapsed() >= Duration::from_secs(20) {
            break;
        }
    }
    let ends = site.ends.lock().unwrap();
    let failed = ends.iter().filter(|(_, _, how)| how == "failed").count();
    record.note(&format!(
        "{crashes} crashes of runners, {failed} ends `failed`"
    ));
    Ok(broken)
}
