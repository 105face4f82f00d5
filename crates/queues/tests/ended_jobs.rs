//! Runs of jobs that have ended: they are stopped whatever happens to leaders and workers, and the
//! leader reports those that go on.

mod model;

use sapphirepost_queues::JobKey;
use sapphirepost_queues::Queue;
use sapphirepost_queues::QueueCommand;

use crate::model::COMMIT_MS;
use crate::model::Model;
use crate::model::load;
use crate::model::load::Kind;
use crate::model::queue;
use crate::model::worker::ModelWorker;

const WORKERS: usize = 3;
/// When the runs of the test jobs have started and none has ended.
const STARTED_MS: u64 = 500;

fn queues() -> Vec<Queue> {
    vec![queue("tally", 2, 4.0, 3_000)]
}

fn workers(count: usize) -> Vec<ModelWorker> {
    let worker = |number| ModelWorker::new(&format!("w{number}"), 64, load::need, load::work_ms);
    (0..count).map(worker).collect()
}

/// A model in which a job of several tasks runs, and the job.
fn model_with_running_job() -> (Model, JobKey) {
    let mut model = Model::new(queues(), workers(WORKERS), 0);
    model.run(50);
    let key = load::key(Kind::Tally, 1);
    model.submit(key, "tally", load::spec(Kind::Tally, 1));
    model.run(STARTED_MS);
    assert!(model.has_started(JobKey(key)));
    (model, JobKey(key))
}

fn set_unreachable(model: &mut Model, is_unreachable: bool) {
    for worker in model.workers.values_mut() {
        worker.is_unreachable = is_unreachable;
    }
}

/// Cancels a job while no worker can be reached, and waits for the commit.
fn cancel_while_cut_off(model: &mut Model, job: JobKey) {
    set_unreachable(model, true);
    model.propose(QueueCommand::Cancel { job });
    model.run(2 * COMMIT_MS);
    assert!(model.jobs[&job].ended.is_some());
}

/// Guards against an operator who cannot tell why a task of an ended job runs on.
#[test]
fn runs_of_an_ended_job_are_reported_until_they_are_over() {
    let (mut model, job) = model_with_running_job();
    let tasks = load::spec(Kind::Tally, 1).steps[0].count as usize;
    let now = model.now;
    assert_eq!(model.scheduler.find_ended_job_runs(now).count, 0);
    cancel_while_cut_off(&mut model, job);
    let now = model.now;
    let early = model.scheduler.find_ended_job_runs(now);
    assert_eq!((early.count, early.longest.len()), (tasks, 0));
    model.run(2_500);
    let now = model.now;
    let late = model.scheduler.find_ended_job_runs(now);
    assert_eq!(late.count, tasks);
    assert!(!late.longest.is_empty() && late.longest.len() <= 8);
    assert!(late.longest.iter().all(|run| run.task.step.job == job));
    set_unreachable(&mut model, false);
    model.run(2_000);
    let now = model.now;
    assert_eq!(model.scheduler.find_ended_job_runs(now).count, 0);
}

/// Guards against a new leader that does not say how many runs of ended jobs it has taken over.
#[test]
fn a_new_leader_counts_the_runs_of_ended_jobs_that_it_takes_over() {
    let (mut model, job) = model_with_running_job();
    let tasks = load::spec(Kind::Tally, 1).steps[0].count as usize;
    model.change_leader();
    let sums = |model: &Model| {
        let adopted = model.scheduler.adopted_runs();
        let runs: usize = adopted.iter().map(|worker| worker.runs).sum();
        let of_ended_jobs: usize = adopted.iter().map(|worker| worker.of_ended_jobs).sum();
        (runs, of_ended_jobs)
    };
    assert_eq!(sums(&model), (tasks, 0));
    cancel_while_cut_off(&mut model, job);
    model.change_leader();
    assert_eq!(sums(&model), (tasks, tasks));
}
