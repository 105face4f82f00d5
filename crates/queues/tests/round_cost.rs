//! The work of the scheduler on a large, nearly full cluster, in checks of a worker for a step, by
//! the number of waiting steps.

mod model;

use std::thread;

use sapphirepost_queues::JobKey;
use sapphirepost_queues::Scheduler;

use crate::model::Model;
use crate::model::STEP_MS;
use crate::model::large;
use crate::model::wide_load::LARGE_KINDS;

/// Until then the cluster is full, and the first permits have been answered.
const WARM_UP_MS: u64 = 2_500;
const MEASURED_MS: u64 = 1_000;
/// At 50 ns a check, these take a quarter of a processor.
const CHECKS_PER_S_MAX: u64 = 5_000_000;

/// A cluster on which a number of steps wait, in the proportion of a usual load.
struct Backlog {
    model: Model,
    steps: usize,
    due: [f64; LARGE_KINDS.len()],
    next: [u64; LARGE_KINDS.len()],
}

/// The work of one second.
#[derive(Clone, Copy, Debug, Default)]
struct Work {
    steps: usize,
    /// The mean number of waiting steps.
    waiting: usize,
    placement: u64,
    admission: u64,
    starts: u64,
}

impl Work {
    fn total(&self) -> u64 {
        self.placement + self.admission
    }
}

impl Backlog {
    fn new(steps: usize) -> Backlog {
        let mut model = large::model();
        model.run(100);
        Backlog {
            model,
            steps,
            due: [0.0; LARGE_KINDS.len()],
            next: [0; LARGE_KINDS.len()],
        }
    }

    /// The number of jobs without a start, whose first steps wait.
    fn waiting(&self) -> usize {
        let waiting = LARGE_KINDS
            .iter()
            .map(|kind| self.model.scheduler.waiting_jobs(kind.queue));
        waiting.sum::<u64>() as usize
    }

    /// Submits jobs in the proportion of the usual load.
    fn submit(&mut self, jobs: f64) {
        let all: u64 = LARGE_KINDS.iter().map(|kind| kind.per_1000_s).sum();
        for (position, kind) in LARGE_KINDS.iter().enumerate() {
            self.due[position] += jobs * kind.per_1000_s as f64 / all as f64;
            while self.due[position] >= 1.0 {
                self.due[position] -= 1.0;
                let number = self.next[position];
                self.next[position] += 1;
                let spec = kind.spec(number);
                self.model.submit(kind.key(number), kind.queue, spec);
            }
        }
    }

    /// Lets the leader decide on as many jobs as arrive at the usual load.
    fn admit_usual_load(&mut self, step: u64) {
        let table = self.model.state.table().unwrap();
        for kind in LARGE_KINDS {
            let per_step = large::jobs_per_step(&kind);
            let jobs = (per_step * (step + 1) as f64) as u64 - (per_step * step as f64) as u64;
            let queue = table.queue(kind.queue).unwrap();
            for number in 0..jobs {
                let key = JobKey(kind.key(u64::from(u32::MAX) + number));
                let spec = kind.spec(number);
                let _ = self
                    .model
                    .scheduler
                    .admission(key, queue, &spec, None, self.model.now);
            }
        }
    }

    fn run_step(&mut self) {
        let missing = self.steps.saturating_sub(self.waiting());
        self.submit(missing as f64);
        self.model.run(STEP_MS);
    }

    fn measure(mut self) -> Work {
        let mut work = Work {
            steps: self.steps,
            ..Work::default()
        };
        for _ in 0..WARM_UP_MS / STEP_MS {
            self.run_step();
        }
        let starts = self.model.starts;
        for step in 0..MEASURED_MS / STEP_MS {
            let before = self.model.leader.checks;
            self.run_step();
            work.placement += self.model.leader.checks - before;
            work.waiting += self.waiting();
            self.admit_usual_load(step);
            work.admission += self.model.scheduler.take_checks();
        }
        work.waiting /= (MEASURED_MS / STEP_MS) as usize;
        work.starts = self.model.starts - starts;
        work
    }
}

fn work_of_one_second(steps: usize) -> Work {
    let work = Backlog::new(steps).measure();
    println!(
        "{} waiting steps ({} on average): {} checks a second, {} of them for admission; {} starts",
        work.steps,
        work.waiting,
        work.total(),
        work.admission,
        work.starts
    );
    work
}

fn assert_affordable(work: &Work) {
    assert!(
        work.total() <= CHECKS_PER_S_MAX,
        "more than {CHECKS_PER_S_MAX} checks a second: {work:?}"
    );
}

/// Guards against a leader that spends all its processor time on placement although few steps wait.
#[test]
fn rounds_with_few_waiting_steps_leave_time_for_the_rest() {
    assert_affordable(&work_of_one_second(100));
    assert_affordable(&work_of_one_second(300));
}

/// Guards against a round that costs waiting steps times workers.
#[test]
fn rounds_with_many_waiting_steps_leave_time_for_the_rest() {
    let (some, many) = thread::scope(|scope| {
        let some = scope.spawn(|| work_of_one_second(1_000));
        let many = work_of_one_second(3_000);
        (some.join().unwrap(), many)
    });
    assert!(
        many.total() <= 3 * some.total(),
        "the work grows faster than the number of waiting steps: {some:?}, {many:?}"
    );
    assert_affordable(&some);
    assert_affordable(&many);
}

/// Guards against a counter that ties the scheduler to one thread.
#[test]
fn the_scheduler_may_move_to_another_thread() {
    fn assert_send<T: Send>() {}
    assert_send::<Scheduler>();
}
