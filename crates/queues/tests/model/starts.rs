//! The check of what starts carry: the payload of their job, and a checkpoint of their task. All
//! members of one run of a gang carry the same one, which a member of that gang has written.

use std::collections::BTreeMap;
use std::sync::Arc;

use sapphirepost_queues::JobKey;
use sapphirepost_queues::StepKey;
use sapphirepost_queues::TaskKey;
use sapphirepost_queues::scheduler::WorkerRequest;
use sapphirepost_queues::scheduler::WorkerRequestKind;

use super::Model;

/// The checkpoint that the first start of each run of a gang carried.
pub type GangCheckpoints = BTreeMap<(StepKey, u32), Option<Arc<str>>>;

/// The payload of each job of the model.
pub fn payload(job: JobKey) -> Arc<str> {
    Arc::from(format!("payload of {job}"))
}

/// A checkpoint of a task that has done this much work.
pub fn checkpoint(task: TaskKey, done_ms: u64) -> Arc<str> {
    Arc::from(format!("{task}@{done_ms}"))
}

fn parse(checkpoint: &str) -> (TaskKey, u64) {
    let (task, done_ms) = checkpoint.split_once('@').unwrap();
    (task.parse().unwrap(), done_ms.parse().unwrap())
}

/// The work that was done before a run that resumes from this checkpoint.
pub fn resumed_ms(checkpoint: &str) -> u64 {
    parse(checkpoint).1
}

impl Model {
    /// Checks a start that is sent to a worker, whether it is carried out or not.
    pub(super) fn check_start(&mut self, request: &WorkerRequest) {
        let WorkerRequestKind::Start {
            task,
            run,
            payload: carried,
            checkpoint,
            ..
        } = &request.kind
        else {
            return;
        };
        assert_eq!(*carried, payload(task.step.job), "{task}");
        let job = self.state.job(task.step.job);
        let step = job.and_then(|job| job.spec.steps.get(usize::from(task.step.step)));
        let Some(is_gang) = step.map(|step| step.is_gang) else {
            return; // The job has ended since.
        };
        let written_by = checkpoint.as_ref().map(|checkpoint| parse(checkpoint).0);
        let is_own = |by: TaskKey| by == *task || is_gang && by.step == task.step;
        let at = self.now;
        assert!(
            written_by.is_none_or(is_own),
            "{task} resumes from a checkpoint of {written_by:?} at {at}"
        );
        if is_gang {
            let first = self.gang_checkpoints.entry((task.step, *run));
            let first = first.or_insert_with(|| checkpoint.clone());
            assert_eq!(checkpoint, first, "{task} run {run} at {at}");
        }
    }
}
