//! Connects the leader's decisions to the placement package.

use sapphirepost_leader::placing as leader;
use sapphirepost_placement as placement;
use sapphirepost_placement::Placer;
use sapphirepost_types::JobId;
use sapphirepost_types::Millis;
use sapphirepost_types::Name;
use sapphirepost_types::Resources;
use sapphirepost_types::TaskId;
use sapphirepost_types::WorkerId;

/// The placement behind the leader's interface.
pub(crate) struct ConnectedPlacer(pub(crate) Placer);

impl leader::Placing for ConnectedPlacer {
    fn upsert_worker(&mut self, worker: leader::WorkerView) {
        let mode = match worker.mode {
            leader::WorkerMode::Ready => placement::WorkerMode::Ready,
            leader::WorkerMode::Draining => placement::WorkerMode::Draining,
            leader::WorkerMode::Disconnected => placement::WorkerMode::Disconnected,
        };
        self.0.upsert_worker(placement::WorkerView {
            id: worker.id,
            failure_domain: worker.failure_domain,
            rack: worker.rack,
            capacity: worker.capacity,
            mode,
        });
    }

    fn remove_worker(&mut self, worker: WorkerId) {
        self.0.remove_worker(worker);
    }

    fn set_quota(&mut self, team: &Name, limit: Option<Resources>) {
        self.0.set_quota(team, limit);
    }

    fn submit(&mut self, now: Millis, job: leader::JobView) {
        self.0.submit(now, job_view(job));
    }

    fn cancel(&mut self, now: Millis, job: JobId) {
        self.0.cancel(now, job);
    }

    fn bind(&mut self, task: TaskId, worker: WorkerId, resources: Resources) {
        self.0.bind(task, worker, resources);
    }

    fn release(&mut self, now: Millis, task: TaskId, end: leader::TaskEnd) {
        let end = match end {
            leader::TaskEnd::Finished => placement::TaskEnd::Finished,
            leader::TaskEnd::Failed => placement::TaskEnd::Failed,
            leader::TaskEnd::Stopped => placement::TaskEnd::Stopped,
            leader::TaskEnd::Lost => placement::TaskEnd::Lost,
            leader::TaskEnd::Rejected => placement::TaskEnd::Rejected,
            leader::TaskEnd::Cancelled => placement::TaskEnd::Cancelled,
        };
        self.0.release(now, task, end);
    }

    fn report_usage(&mut self, now: Millis, worker: WorkerId, usage: Resources) {
        self.0.report_usage(now, worker, usage);
    }

    fn decide(&mut self, now: Millis, budget: usize) -> leader::Decisions {
        decisions(self.0.decide(now, budget))
    }

    fn explain(&self, job: JobId) -> Vec<String> {
        self.0.explain(job).lines
    }
}

fn job_view(job: leader::JobView) -> placement::JobView {
    let policy = match job.policy {
        leader::JobPolicy::Service => placement::JobPolicy::Service,
        leader::JobPolicy::Batch {
            deadline,
            run_time_ms,
        } => placement::JobPolicy::Batch {
            deadline,
            run_time_ms,
        },
        leader::JobPolicy::Gang { run_time_ms } => placement::JobPolicy::Gang { run_time_ms },
    };
    let tasks = job.tasks.iter().map(|task| placement::TaskView {
        id: task.id,
        displaced: task.displaced,
        started: task.started,
    });
    placement::JobView {
        id: job.id,
        name: job.name,
        team: job.team,
        policy,
        priority: job.priority,
        resources: job.resources,
        checkpoint_cost_ms: job.checkpoint_cost_ms,
        submitted: job.submitted,
        tasks: tasks.collect(),
    }
}

fn decisions(decided: placement::Decisions) -> leader::Decisions {
    let placements = decided
        .placements
        .iter()
        .map(|placement| leader::Placement {
            job: placement.job,
            task: placement.task,
            worker: placement.worker,
        });
    let displacements = decided
        .displacements
        .iter()
        .map(|displacement| leader::Displacement {
            task: displacement.task,
            checkpoint: displacement.checkpoint,
        });
    let set_aside = decided.health.iter().map(|change| {
        (
            change.worker,
            change.health == placement::Health::Quarantined,
        )
    });
    let throttles = decided.throttles.iter().map(|throttle| leader::Throttle {
        task: throttle.task,
        worker: throttle.worker,
        percent: throttle.percent,
    });
    leader::Decisions {
        placements: placements.collect(),
        displacements: displacements.collect(),
        set_aside: set_aside.collect(),
        throttles: throttles.collect(),
    }
}
