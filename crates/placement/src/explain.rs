//! Explanations of the state of a job. They are computed on request by a scan of all workers, so
//! that scheduling passes need not record texts.

use sapphirepost_types::JobId;
use sapphirepost_types::Resources;
use sapphirepost_types::TaskId;
use sapphirepost_types::resources::ResourceKind;

use crate::decision::Health;
use crate::explanation::Explanation;
use crate::job::Job;
use crate::job::TaskState;
use crate::job::WaitReason;
use crate::placer::Placer;
use crate::view::WorkerMode;

/// The number of running tasks that an explanation lists.
const LISTED_TASKS: usize = 16;

/// The numbers of workers by the first reason for which a task cannot start on them.
#[derive(Default)]
struct WorkerCounts {
    draining: u32,
    disconnected: u32,
    quarantined: u32,
    on_probation: u32,
    insufficient: [u32; 3],
    /// Workers with enough free capacity for one task.
    fitting: u32,
}

impl Placer {
    /// Explains why a job waits or cannot run, and where its tasks run.
    pub fn explain(&self, job: JobId) -> Explanation {
        let lines = match self.jobs.get(&job) {
            Some(job) => self.explain_job(job),
            None => vec![format!(
                "{job} is not known: it ended, was cancelled, or never existed"
            )],
        };
        Explanation { job, lines }
    }

    fn explain_job(&self, job: &Job) -> Vec<String> {
        let mut lines = vec![format!(
            "{} of team {}: {} running, {} waiting, {} delayed after an end",
            job.name,
            self.quotas.team(job.team).name,
            job.bound.len(),
            job.waiting.len(),
            job.delayed,
        )];
        if let Some(cause) = &job.infeasible {
            lines.push(format!("can never run as things are: {cause}"));
        } else if !job.waiting.is_empty() {
            lines.push(self.explain_waiting(job));
            if job.reason != WaitReason::Queued {
                lines.push(self.explain_workers(&job.need));
            }
        }
        if job.warned_late {
            lines.push("will probably miss its deadline".to_owned());
        }
        let listed = job.bound.iter().take(LISTED_TASKS);
        lines.extend(listed.filter_map(|&task| self.explain_bound(task)));
        if job.bound.len() > LISTED_TASKS {
            lines.push(format!("and {} more tasks", job.bound.len() - LISTED_TASKS));
        }
        lines
    }

    fn explain_bound(&self, id: TaskId) -> Option<String> {
        let TaskState::Bound { worker, .. } = self.tasks.get(&id)?.state else {
            return None;
        };
        Some(format!("{id} on {worker}"))
    }

    fn explain_waiting(&self, job: &Job) -> String {
        if job.is_gang() && !job.bound.is_empty() {
            return "waits until its remaining tasks have stopped, to start as a whole".to_owned();
        }
        match job.reason {
            WaitReason::Queued => "has not been considered for placement yet".to_owned(),
            WaitReason::NoCapacity => format!(
                "no worker has room for {}{}",
                job.need,
                self.explain_reservation(job.id)
            ),
            WaitReason::Reserved { holder } => {
                format!(
                    "the room that would do is reserved for {}",
                    self.name_of(holder)
                )
            }
            WaitReason::Quota(kind) => {
                let team = self.quotas.team(job.team);
                format!("the quota of team {} has too little {kind} left", team.name)
            }
            WaitReason::Preempting => "waits until displaced tasks have stopped".to_owned(),
            WaitReason::GangPartialFit { fit } => format!(
                "needs room for {} tasks at once and {fit} fit{}",
                job.waiting.len(),
                self.explain_reservation(job.id)
            ),
            WaitReason::GangShortage(kind) => format!(
                "needs room for {} tasks at once and too little {kind} is free{}",
                job.waiting.len(),
                self.explain_reservation(job.id)
            ),
        }
    }

    fn explain_reservation(&self, job: JobId) -> String {
        match self
            .reservations
            .iter()
            .find(|reservation| reservation.job == job)
        {
            Some(reservation) => {
                let ms = reservation.expected_start.since(self.now);
                format!("; room is reserved, expected in {ms} ms at the latest")
            }
            None => String::new(),
        }
    }

    fn name_of(&self, job: JobId) -> String {
        match self.jobs.get(&job) {
            Some(job) => job.name.to_string(),
            None => job.to_string(),
        }
    }

    fn explain_workers(&self, need: &Resources) -> String {
        let worker_counts = self.worker_counts(need);
        let insufficient = |kind: ResourceKind, count| (format!("with too little {kind}"), count);
        let causes = [
            insufficient(ResourceKind::Processor, worker_counts.insufficient[0]),
            insufficient(ResourceKind::Memory, worker_counts.insufficient[1]),
            insufficient(ResourceKind::Accelerator, worker_counts.insufficient[2]),
            ("draining".to_owned(), worker_counts.draining),
            ("without contact".to_owned(), worker_counts.disconnected),
            ("quarantined".to_owned(), worker_counts.quarantined),
            (
                "on probation and busy".to_owned(),
                worker_counts.on_probation,
            ),
            ("with room for one task".to_owned(), worker_counts.fitting),
        ];
        let causes = causes.into_iter().filter(|&(_, count)| count > 0);
        let causes: Vec<String> = causes
            .map(|(text, count)| format!("{count} {text}"))
            .collect();
        format!("of {} workers: {}", self.workers.len(), causes.join(", "))
    }

    fn worker_counts(&self, need: &Resources) -> WorkerCounts {
        let mut worker_counts = WorkerCounts::default();
        for (slot, worker) in self.workers.iter() {
            let counter = match (worker.mode, worker.health.state) {
                (WorkerMode::Draining, _) => &mut worker_counts.draining,
                (WorkerMode::Disconnected, _) => &mut worker_counts.disconnected,
                (_, Health::Quarantined) => &mut worker_counts.quarantined,
                (_, Health::Probation) if !self.workers.eligible.contains(slot) => {
                    &mut worker_counts.on_probation
                }
                _ => match need.limiting(&worker.free) {
                    Some(ResourceKind::Processor) => &mut worker_counts.insufficient[0],
                    Some(ResourceKind::Memory) => &mut worker_counts.insufficient[1],
                    Some(ResourceKind::Accelerator) => &mut worker_counts.insufficient[2],
                    None => &mut worker_counts.fitting,
                },
            };
            *counter += 1;
        }
        worker_counts
    }
}
