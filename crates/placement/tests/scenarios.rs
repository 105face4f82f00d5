//! File tests for each policy. Each file states the failure that it guards against.
//!
//! The tasks of job N are numbered from N * 100. Setting `REWRITE=1` updates the expected output.

use std::fmt::Write;

use datadriven::TestCase;
use sapphirepost_placement::Decisions;
use sapphirepost_placement::JobPolicy;
use sapphirepost_placement::JobView;
use sapphirepost_placement::PlacementConfig;
use sapphirepost_placement::Placer;
use sapphirepost_placement::TaskEnd;
use sapphirepost_placement::TaskView;
use sapphirepost_placement::WorkerMode;
use sapphirepost_placement::WorkerView;
use sapphirepost_types::JobId;
use sapphirepost_types::Millis;
use sapphirepost_types::Name;
use sapphirepost_types::Priority;
use sapphirepost_types::Resources;
use sapphirepost_types::TaskId;
use sapphirepost_types::WorkerId;

/// Amounts are written with dots, because the file format allows no slashes in arguments.
fn take_amount(case: &mut TestCase, name: &str) -> Option<Resources> {
    let text: Option<String> = case.try_take_arg(name).unwrap();
    text.map(|text| text.replace('.', "/").parse().unwrap())
}

struct Harness {
    placer: Placer,
    now: Millis,
    next_worker: u32,
    workers: Vec<WorkerView>,
}

fn take<T>(case: &mut TestCase, name: &str, default: T) -> T
where
    T: std::str::FromStr,
    T::Err: std::error::Error + Send + Sync + 'static,
{
    case.try_take_arg(name).unwrap().unwrap_or(default)
}

impl Harness {
    fn new() -> Harness {
        Harness {
            placer: Placer::new(PlacementConfig::default(), 7),
            now: Millis(0),
            next_worker: 0,
            workers: Vec::new(),
        }
    }

    fn run(&mut self, case: &mut TestCase) -> String {
        self.now = Millis(take(case, "at", self.now.0));
        let output = match case.directive.as_str() {
            "workers" => self.add_workers(case),
            "mode" => self.set_mode(case),
            "lose" => self.remove_worker(case),
            "quota" => self.set_quota(case),
            "service" | "batch" | "gang" => self.submit(case),
            "decide" => self.decide(case),
            "end" => self.end(case),
            "cancel" => self.cancel(case),
            "usage" => self.report_usage(case),
            "explain" => format!(
                "{}\n",
                self.placer.explain(JobId(case.take_arg("job").unwrap()))
            ),
            other => panic!("unknown directive {other}"),
        };
        case.expect_empty().unwrap();
        output
    }

    fn add_workers(&mut self, case: &mut TestCase) -> String {
        let domains: Vec<Name> = case.take_args("domains").unwrap();
        let each: u32 = take(case, "each", 1);
        let per_rack: u32 = take(case, "per-rack", 1);
        let capacity = take_amount(case, "capacity").unwrap();
        for failure_domain in domains {
            for position in 0..each {
                self.next_worker += 1;
                let view = WorkerView {
                    id: WorkerId(self.next_worker),
                    failure_domain: failure_domain.clone(),
                    rack: format!("r{}", position / per_rack).parse().unwrap(),
                    capacity,
                    mode: WorkerMode::Ready,
                };
                self.workers.push(view.clone());
                self.placer.upsert_worker(view);
            }
        }
        String::new()
    }

    fn set_mode(&mut self, case: &mut TestCase) -> String {
        let id = WorkerId(case.take_arg("worker").unwrap());
        let mode: String = case.take_arg("as").unwrap();
        let view = self.workers.iter_mut().find(|view| view.id == id).unwrap();
        view.mode = match mode.as_str() {
            "ready" => WorkerMode::Ready,
            "draining" => WorkerMode::Draining,
            "disconnected" => WorkerMode::Disconnected,
            other => panic!("unknown mode {other}"),
        };
        self.placer.upsert_worker(view.clone());
        String::new()
    }

    fn remove_worker(&mut self, case: &mut TestCase) -> String {
        self.placer
            .remove_worker(WorkerId(case.take_arg("worker").unwrap()));
        String::new()
    }

    fn set_quota(&mut self, case: &mut TestCase) -> String {
        let team: Name = case.take_arg("team").unwrap();
        let limit = take_amount(case, "limit");
        self.placer.set_quota(&team, limit);
        String::new()
    }

    fn submit(&mut self, case: &mut TestCase) -> String {
        let id: u32 = case.take_arg("job").unwrap();
        let run_time_ms = take(case, "run-ms", 60_000);
        let deadline = case.try_take_arg("deadline").unwrap().map(Millis);
        let policy = match case.directive.as_str() {
            "service" => JobPolicy::Service,
            "gang" => JobPolicy::Gang { run_time_ms },
            _ => JobPolicy::Batch {
                deadline,
                run_time_ms,
            },
        };
        let count: u32 = take(case, "tasks", 1);
        let priority = match case.take_flag("urgent").unwrap() {
            true => Priority::Urgent,
            false => Priority::Normal,
        };
        self.placer.submit(
            self.now,
            JobView {
                id: JobId(id),
                name: take(case, "name", format!("job-{id}")).parse().unwrap(),
                team: take(case, "team", "team".parse().unwrap()),
                policy,
                priority,
                resources: take_amount(case, "need").unwrap(),
                checkpoint_cost_ms: case.try_take_arg("checkpoint-ms").unwrap(),
                submitted: self.now,
                tasks: (0..count)
                    .map(|n| TaskView::new(TaskId(id * 100 + n)))
                    .collect(),
            },
        );
        String::new()
    }

    fn decide(&mut self, case: &mut TestCase) -> String {
        let budget = take(case, "budget", 100);
        let calls: u32 = take(case, "calls", 1);
        let mut output = String::new();
        for _ in 0..calls {
            render(&self.placer.decide(self.now, budget), &mut output);
        }
        if output.is_empty() {
            output.push_str("nothing\n");
        }
        output
    }

    fn end(&mut self, case: &mut TestCase) -> String {
        let end: String = case.take_arg("as").unwrap();
        let end = match end.as_str() {
            "finished" => TaskEnd::Finished,
            "failed" => TaskEnd::Failed,
            "stopped" => TaskEnd::Stopped,
            "lost" => TaskEnd::Lost,
            "rejected" => TaskEnd::Rejected,
            "cancelled" => TaskEnd::Cancelled,
            other => panic!("unknown end {other}"),
        };
        let tasks: Vec<u32> = case.take_args("task").unwrap();
        for task in tasks {
            self.placer.release(self.now, TaskId(task), end);
        }
        String::new()
    }

    fn cancel(&mut self, case: &mut TestCase) -> String {
        self.placer
            .cancel(self.now, JobId(case.take_arg("job").unwrap()));
        String::new()
    }

    fn report_usage(&mut self, case: &mut TestCase) -> String {
        let worker = WorkerId(case.take_arg("worker").unwrap());
        let usage = take_amount(case, "used").unwrap();
        self.placer.report_usage(self.now, worker, usage);
        String::new()
    }
}

fn render(decisions: &Decisions, out: &mut String) {
    for stop in &decisions.stops {
        let how = if stop.checkpoint {
            "checkpoint"
        } else {
            "stop"
        };
        writeln!(
            out,
            "{how} {} on {}: {:?}",
            stop.task, stop.worker, stop.cause
        )
        .unwrap();
    }
    for placement in &decisions.placements {
        writeln!(out, "{} on {}", placement.task, placement.worker).unwrap();
    }
    for infeasible in &decisions.infeasible_jobs {
        writeln!(out, "{} never fits: {}", infeasible.job, infeasible.cause).unwrap();
    }
    for late in &decisions.late_warnings {
        let (job, expected, deadline) = (late.job, late.expected_end, late.deadline);
        writeln!(out, "{job} late: expected {expected}, deadline {deadline}").unwrap();
    }
    for faulty in &decisions.faulty_tasks {
        writeln!(
            out,
            "{} given up: failed on {} workers",
            faulty.task, faulty.workers
        )
        .unwrap();
    }
    for change in &decisions.health_changes {
        writeln!(out, "{} is {:?}", change.worker, change.health).unwrap();
    }
    for throttle in &decisions.throttles {
        let (task, worker, percent) = (throttle.task, throttle.worker, throttle.percent);
        writeln!(out, "throttle {task} on {worker} to {percent} %").unwrap();
    }
}

#[test]
fn scenarios() {
    datadriven::walk("tests/scenarios", |file| {
        let mut harness = Harness::new();
        file.run(|case| {
            let mut case = case.clone();
            harness.run(&mut case)
        });
    });
}
