//! Jobs, and the versions of job names.
//!
//! The version of a name outlives its job: a plan that was made before the job existed must stay
//! stale after the job has ended.

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

/// The most ended jobs that are remembered.
pub const ENDED_JOBS_MAX: usize = 10_000;
/// How long an ended job is remembered.
pub const ENDED_JOB_RETENTION_MS: u64 = 24 * 60 * 60 * 1_000;
/// The most tasks of one job.
pub const JOB_TASKS_MAX: u32 = 10_000;

/// Where a job is in its life.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum JobPhase {
    /// Its tasks are placed and kept running.
    Active,
    /// It was cancelled. Its tasks are stopped without being touched one by one: whether a task
    /// is wanted follows from the phase of its job.
    Cancelled,
    /// All tasks ended with success.
    Finished,
    /// A task was given up.
    Failed {
        /// Why.
        reason: String,
    },
}

/// One job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Job {
    /// What the operator declared, with the current size.
    pub spec: JobSpec,
    /// Where it is in its life.
    pub phase: JobPhase,
    /// Its tasks.
    pub tasks: BTreeSet<TaskId>,
    /// How many tasks hold room.
    pub placed: u32,
    /// How many tasks ended with success.
    pub finished: u32,
    /// How many tasks were given up.
    pub failed: u32,
    /// When it was confirmed, in milliseconds since the Unix epoch.
    pub created_unix_ms: u64,
    /// When the last task had left, in milliseconds since the Unix epoch.
    pub ended_unix_ms: Option<u64>,
}

impl Job {
    /// Whether its tasks are wanted.
    pub fn is_active(&self) -> bool {
        self.phase == JobPhase::Active
    }

    /// Whether it is a service.
    pub fn is_service(&self) -> bool {
        self.spec.kind == JobKind::Service
    }

    /// Whether its tasks start together.
    pub fn is_gang(&self) -> bool {
        matches!(self.spec.kind, JobKind::Gang { .. })
    }
}

/// The version of a job name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobNameVersion {
    /// The newest job of the name.
    pub job: JobId,
    /// The version.
    pub version: ObjectVersion,
    /// The plan that made the version.
    pub changed_by: PlanId,
    /// When, in milliseconds since the Unix epoch.
    pub changed_unix_ms: u64,
}

/// All jobs that are remembered.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Jobs {
    next: JobId,
    records: BTreeMap<JobId, Job>,
    names: BTreeMap<Name, JobNameVersion>,
    ended: VecDeque<JobId>,
}

impl Jobs {
    /// A job.
    pub fn get(&self, id: JobId) -> Option<&Job> {
        self.records.get(&id)
    }

    /// The version of a name.
    pub fn name_version(&self, name: &Name) -> Option<&JobNameVersion> {
        self.names.get(name)
    }

    /// The newest job of a name, ended or not, if it is remembered.
    pub fn by_name(&self, name: &Name) -> Option<(JobId, &Job)> {
        let id = self.names.get(name)?.job;
        Some((id, self.records.get(&id)?))
    }

    /// The job of a name whose tasks are wanted.
    pub fn active(&self, name: &Name) -> Option<(JobId, &Job)> {
        self.by_name(name).filter(|(_, job)| job.is_active())
    }

    /// All jobs in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (JobId, &Job)> {
        self.records.iter().map(|(id, job)| (*id, job))
    }

    /// How many jobs are remembered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no job is remembered.
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

    /// Takes the oldest ended job out if it is past its retention.
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

    /// Drops versions that no kept plan can rest on.
    pub(crate) fn prune_name_versions(&mut self, now_unix_ms: u64, retention_ms: u64) {
        let records = &self.records;
        self.names.retain(|_, name| {
            records.contains_key(&name.job)
                || name.changed_unix_ms.saturating_add(retention_ms) >= now_unix_ms
        });
    }
}
