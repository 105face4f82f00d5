//! Jobs, and the versions of job names.
//!
//! The version of a name is kept after its job has ended and was dropped: a plan that was made
//! before the job existed must remain stale.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use sapphirepost_types::JobId;
use sapphirepost_types::JobKind;
use sapphirepost_types::JobSpec;
use sapphirepost_types::Name;
use sapphirepost_types::ObjectVersion;
use sapphirepost_types::PlanId;
use sapphirepost_types::TaskId;
use serde::Deserialize;
use serde::Serialize;

/// Maximum number of ended jobs that are kept; the oldest are dropped first.
pub const ENDED_JOBS_MAX: usize = 10_000;
/// How long an ended job is kept, in milliseconds.
pub const ENDED_JOB_RETENTION_MS: u64 = 24 * 60 * 60 * 1_000;
/// Maximum number of tasks of one job.
pub const JOB_TASKS_MAX: u32 = 10_000;

/// The lifecycle phase of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum JobPhase {
    /// The tasks are placed and kept running.
    Active,
    /// The job was cancelled. The tasks are not updated one by one: whether a task should run
    /// follows from the phase of its job.
    Cancelled,
    /// All tasks succeeded. A service never reaches this phase.
    Finished,
    /// At least one task failed for good: for a gang as soon as this happened, otherwise once all
    /// tasks had ended. A service never reaches this phase.
    Failed {
        /// The number of failed tasks and the reason that one of them reported.
        reason: String,
    },
}

/// The record of one job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Job {
    /// The specification from the operator, with the current number of tasks of a resized service.
    pub spec: JobSpec,
    /// The lifecycle phase; attempts should run only while it is [`JobPhase::Active`].
    pub phase: JobPhase,
    /// The IDs of its tasks, including ended ones.
    pub tasks: BTreeSet<TaskId>,
    /// Number of tasks whose current attempt is placed on a worker.
    pub placed: u32,
    /// Number of tasks that succeeded.
    pub finished: u32,
    /// Number of tasks that failed for good while the job was active.
    pub failed: u32,
    /// When the plan for the job was confirmed, in milliseconds since the Unix epoch.
    pub created_unix_ms: u64,
    /// When the job was no longer active and no task was placed any more, in milliseconds since the
    /// Unix epoch; `None` before.
    pub ended_unix_ms: Option<u64>,
}

impl Job {
    /// Whether its tasks should be placed and kept running.
    pub fn is_active(&self) -> bool {
        self.phase == JobPhase::Active
    }

    /// Whether it is a service, which runs until it is cancelled.
    pub fn is_service(&self) -> bool {
        self.spec.kind == JobKind::Service
    }

    /// Whether it is a gang, whose tasks must all start together.
    pub fn is_gang(&self) -> bool {
        matches!(self.spec.kind, JobKind::Gang { .. })
    }
}

/// The version of a job name, against which plans for jobs of this name are checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobNameVersion {
    /// The newest job with the name.
    pub job: JobId,
    /// The version, which changes with each confirmed plan for a job of this name.
    pub version: ObjectVersion,
    /// The plan that set the version.
    pub changed_by: PlanId,
    /// When the version was set, in milliseconds since the Unix epoch.
    pub changed_unix_ms: u64,
}

/// All jobs that have not been dropped, with the versions of their names.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Jobs {
    next: JobId,
    records: BTreeMap<JobId, Job>,
    names: BTreeMap<Name, JobNameVersion>,
    /// Ended jobs, in the order of their end.
    ended: VecDeque<JobId>,
}

impl Jobs {
    /// The job with the given ID, unless it was dropped.
    pub fn get(&self, id: JobId) -> Option<&Job> {
        self.records.get(&id)
    }

    /// The version of a name; `None` if no job had the name or the version was dropped.
    pub fn name_version(&self, name: &Name) -> Option<&JobNameVersion> {
        self.names.get(name)
    }

    /// The newest job with the name, ended or not, unless it was dropped.
    pub fn by_name(&self, name: &Name) -> Option<(JobId, &Job)> {
        let id = self.names.get(name)?.job;
        Some((id, self.records.get(&id)?))
    }

    /// The active job with the name.
    pub fn active(&self, name: &Name) -> Option<(JobId, &Job)> {
        self.by_name(name).filter(|(_, job)| job.is_active())
    }

    /// All jobs in the order of their IDs.
    pub fn iter(&self) -> impl Iterator<Item = (JobId, &Job)> {
        self.records.iter().map(|(id, job)| (*id, job))
    }

    /// Number of jobs that have not been dropped.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there is no job, active or ended.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    pub(crate) fn get_mut(&mut self, id: JobId) -> Option<&mut Job> {
        self.records.get_mut(&id)
    }

    pub(crate) fn add(&mut self, job: Job) -> JobId {
        let id = self.next;
        self.next = id.next();
        self.records.insert(id, job);
        id
    }

    pub(crate) fn set_name_version(&mut self, name: &Name, record: JobNameVersion) {
        self.names.insert(name.clone(), record);
    }

    pub(crate) fn record_end(&mut self, id: JobId, now_unix_ms: u64) {
        if let Some(job) = self.records.get_mut(&id) {
            job.ended_unix_ms = Some(now_unix_ms);
            self.ended.push_back(id);
        }
    }

    /// Removes the oldest ended job if it is past its retention or there are too many ended jobs.
    pub(crate) fn take_expired(&mut self, now_unix_ms: u64) -> Option<(JobId, Job)> {
        let id = *self.ended.front()?;
        let ended_unix_ms = self.records.get(&id)?.ended_unix_ms?;
        let is_old = ended_unix_ms.saturating_add(ENDED_JOB_RETENTION_MS) < now_unix_ms;
        if !is_old && self.ended.len() <= ENDED_JOBS_MAX {
            return None;
        }
        self.ended.pop_front();
        self.records.remove(&id).map(|job| (id, job))
    }

    /// Drops name versions that no plan that is still kept can refer to.
    pub(crate) fn prune_name_versions(&mut self, now_unix_ms: u64, retention_ms: u64) {
        let records = &self.records;
        self.names.retain(|_, name| {
            records.contains_key(&name.job)
                || name.changed_unix_ms.saturating_add(retention_ms) >= now_unix_ms
        });
    }
}
