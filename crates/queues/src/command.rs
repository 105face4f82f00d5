//! Commands: what changes the replicated queues.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::JobKey;
use crate::ids::StepKey;
use crate::ids::TaskKey;
use crate::spec::SubmittedSpec;
use crate::table::Queue;
use crate::table::QueueTable;
use crate::worker::EndKind;
use crate::worker::WorkerRecord;

/// One change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum QueueCommand {
    /// Replaces the table, unless a version at least as high is in force.
    PutTable(Box<QueueTable>),
    /// Accepts a job; one that is known already is not changed.
    Submit {
        /// The caller's ID.
        job: JobKey,
        /// The queue as it is now; its rules hold for the job also when it is removed later.
        queue: Arc<Queue>,
        /// The work.
        spec: Arc<SubmittedSpec>,
    },
    /// Cancels a job that has not ended.
    Cancel {
        /// The job.
        job: JobKey,
    },
    /// Makes a worker known or replaces what it says of itself.
    PutWorker(Box<WorkerRecord>),
    /// A life of a worker is over, and with it all that ran there.
    RemoveWorker {
        /// The worker.
        worker: Arc<str>,
        /// The last checkpoints that were seen there.
        checkpoints: Vec<(TaskKey, Arc<str>)>,
    },
    /// Gives tasks of a step to workers. It is committed before the orders are sent, so that
    /// every leader knows what may run.
    Start {
        /// The step.
        step: StepKey,
        /// Its tasks.
        placements: Vec<Placement>,
    },
    /// Ends that a worker has listed.
    End {
        /// The worker.
        worker: Arc<str>,
        /// The number of the last one.
        upto: u64,
        /// The ends.
        ends: Vec<RunEnd>,
    },
    /// The lease of a worker has certainly expired, so nothing runs there.
    Expire {
        /// The worker.
        worker: Arc<str>,
        /// The last checkpoints that were seen there.
        checkpoints: Vec<(TaskKey, Arc<str>)>,
    },
    /// A run never began on a worker and can no longer begin there.
    Release {
        /// The worker.
        worker: Arc<str>,
        /// The task.
        task: TaskKey,
        /// The run.
        run: u32,
    },
}

/// One task of a start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Placement {
    /// The position of the task in the step.
    pub index: u32,
    /// The run; higher than any earlier one of the task.
    pub run: u32,
    /// The worker.
    pub worker: Arc<str>,
}

/// The end of one run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunEnd {
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: u32,
    /// How it ended.
    pub kind: EndKind,
    /// The last checkpoint, if there is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub checkpoint: Option<Arc<str>>,
}
