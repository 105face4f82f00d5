//! The commands that change the replicated queue state.

use std::sync::Arc;

use sapphirepost_types::Incarnation;
use serde::Deserialize;
use serde::Serialize;

use crate::crash::LostRuns;
use crate::ids::JobKey;
use crate::ids::StepKey;
use crate::ids::TaskKey;
use crate::spec::SubmittedSpec;
use crate::table::Queue;
use crate::table::QueueTable;
use crate::tenant::JobTenant;
use crate::worker::EndKind;
use crate::worker::WorkerRecord;

/// A change of the queue state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum QueueCommand {
    /// Replaces the queue table, unless the current one has the same version or a higher one.
    PutTable(Box<QueueTable>),
    /// Accepts a job; a job that is already known is not changed.
    Submit {
        /// The ID that the caller gave the job.
        job: JobKey,
        /// The queue at the time of the submission. Its `attempts_max` stays in force for the job;
        /// a new leader takes the other settings from it only if the table has no such queue.
        queue: Arc<Queue>,
        /// The payload and the steps, as checked by [`SubmittedSpec::check`].
        spec: Arc<SubmittedSpec>,
        /// The tenant whose key the caller has presented.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        tenant: Option<Arc<JobTenant>>,
    },
    /// Cancels a job that has not ended.
    Cancel {
        /// The job to cancel.
        job: JobKey,
    },
    /// Adds a worker, or replaces its record unless that is of a later report or of another
    /// incarnation.
    PutWorker(Box<WorkerRecord>),
    /// A worker has started again under its ID. The former incarnation has ended, and its ends are
    /// not numbered on. Its runs are kept, since a start that was meant for it may be carried out by
    /// the new incarnation, until a reply of that one shows that they do not run there.
    RestartWorker {
        /// The record of the new incarnation.
        record: Box<WorkerRecord>,
        /// The incarnation that it follows; if that is not the known one, only the record is put.
        former: Incarnation,
        /// The last checkpoints that the former incarnation reported.
        checkpoints: Vec<(TaskKey, Arc<str>)>,
        /// If the former incarnation has crashed, the tasks that ran there, and those of them that
        /// may have caused the crash.
        lost: Option<LostRuns>,
    },
    /// Removes an incarnation of a worker that has ended as planned, and ends all its runs.
    RemoveWorker {
        /// The ID of the worker.
        worker: Arc<str>,
        /// The incarnation; `None` for any.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        incarnation: Option<Incarnation>,
        /// The last checkpoints that were reported by the worker.
        checkpoints: Vec<(TaskKey, Arc<str>)>,
    },
    /// Removes an incarnation of a worker that has no runs and has been silent for long. The runs
    /// that ended with its lease are kept for some time, in case it turns out to have crashed.
    ForgetWorker {
        /// The ID of the worker.
        worker: Arc<str>,
        /// The incarnation.
        incarnation: Incarnation,
    },
    /// Removes an incarnation of a worker that has crashed, and ends all its runs. The crash counts
    /// against the tasks that ran there.
    Crash {
        /// The ID of the worker.
        worker: Arc<str>,
        /// The incarnation.
        #[serde(default)]
        incarnation: Incarnation,
        /// The last checkpoints that were reported by the worker.
        checkpoints: Vec<(TaskKey, Arc<str>)>,
        /// The tasks that ran there, and those of them that may have caused the crash.
        lost: LostRuns,
    },
    /// Places tasks of a step on workers. It is committed before the start requests are sent, so
    /// that every leader knows what may run. Placements of tasks that can no longer start, or on an
    /// incarnation that has ended, have no effect; a gang is placed as a whole or not at all.
    Start {
        /// The step of the tasks.
        step: StepKey,
        /// The tasks with their workers.
        placements: Vec<Placement>,
    },
    /// Ends of runs that a worker has reported.
    End {
        /// The ID of the worker that reported them.
        worker: Arc<str>,
        /// The incarnation that reported them, which numbers them.
        #[serde(default)]
        incarnation: Incarnation,
        /// The number of the last reported end, by the worker's numbering.
        upto: u64,
        /// The ends; those that do not match a run of the worker have no effect.
        ends: Vec<RunEnd>,
    },
    /// The lease of a worker has certainly expired, so nothing runs there. Its runs end, and the
    /// worker stays known.
    Expire {
        /// The ID of the worker whose lease expired.
        worker: Arc<str>,
        /// The incarnation that had the lease.
        #[serde(default)]
        incarnation: Incarnation,
        /// The last checkpoints that were reported by the worker.
        checkpoints: Vec<(TaskKey, Arc<str>)>,
        /// The tasks that ran there, in case the worker turns out to have crashed.
        #[serde(default, skip_serializing_if = "LostRuns::is_empty")]
        lost: LostRuns,
        /// Tasks whose runs do not end, since they may have begun on another incarnation, which has
        /// a lease of its own.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        kept: Vec<TaskKey>,
    },
    /// A run never started on a worker and cannot start there any more.
    Release {
        /// The ID of the worker on which the run was placed.
        worker: Arc<str>,
        /// The incarnation that cannot start it any more.
        #[serde(default)]
        incarnation: Incarnation,
        /// The task of the run.
        task: TaskKey,
        /// The number of the run, as in its [`Placement`].
        run: u32,
    },
}

/// The placement of one task on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Placement {
    /// The index of the task in the step.
    pub index: u32,
    /// The number of the run, higher than that of any earlier run of the task.
    pub run: u32,
    /// The ID of the worker.
    pub worker: Arc<str>,
    /// The incarnation that was chosen; another one may not be able to run the task.
    #[serde(default)]
    pub incarnation: Incarnation,
}

/// The end of a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunEnd {
    /// The task of the run.
    pub task: TaskKey,
    /// The number of the run, as in its [`Placement`].
    pub run: u32,
    /// How the run ended.
    pub kind: EndKind,
    /// The last checkpoint that the run wrote, if there is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub checkpoint: Option<Arc<str>>,
}
