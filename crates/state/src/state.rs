//! [`State`] itself: dispatch of commands, snapshots and the digest.

use std::hash::Hasher;

use sapphirepost_queues::QueueCommand;
use sapphirepost_queues::QueueState;
use sapphirepost_queues::state::QueueChange;
use sapphirepost_types::Name;
use sapphirepost_types::ObjectKey;
use sapphirepost_types::ObjectVersion;
use sapphirepost_types::PlanId;
use sapphirepost_types::TaskId;
use serde::Deserialize;
use serde::Serialize;
use siphasher::sip::SipHasher13;
use thiserror::Error;

use crate::claims::Claims;
use crate::command::Command;
use crate::command::Request;
use crate::config::Config;
use crate::entries::EntryContacts;
use crate::jobs::Jobs;
use crate::operations::Operations;
use crate::outcome::Change;
use crate::outcome::CommandResult;
use crate::outcome::Outcome;
use crate::plans::Plans;
use crate::quotas::Quotas;
use crate::tasks::Task;
use crate::tasks::Tasks;
use crate::workers::Workers;

/// A snapshot that cannot be decoded.
#[derive(Debug, Error)]
#[error("the snapshot cannot be decoded: {0}")]
pub struct StateError(#[from] serde_json::Error);

/// Safety mechanisms that tests disable to show that their checks detect the resulting faults.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Disabled {
    /// If set, reports of older attempts change newer ones.
    pub attempt_fencing: bool,
    /// If set, a stop request releases the resources at once instead of when the worker confirms
    /// the stop.
    pub release_on_confirmed_stop: bool,
    /// If set, a plan is confirmed even if the objects that it was computed from have changed.
    pub stale_check: bool,
    /// If set, claims are granted for request IDs of any age.
    pub claim_window: bool,
}

/// The replicated state of the cluster.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct State {
    pub(crate) applied: u64,
    pub(crate) clock_unix_ms: u64,
    pub(crate) last_version: ObjectVersion,
    pub(crate) last_prune_unix_ms: u64,
    pub(crate) config: Config,
    pub(crate) plans: Plans,
    pub(crate) jobs: Jobs,
    pub(crate) tasks: Tasks,
    pub(crate) workers: Workers,
    pub(crate) quotas: Quotas,
    pub(crate) claims: Claims,
    pub(crate) operations: Operations,
    #[serde(rename = "roster")]
    pub(crate) entry_contacts: EntryContacts,
    #[serde(default)]
    pub(crate) queues: QueueState,
    #[serde(skip)]
    pub(crate) disabled: Disabled,
    #[serde(skip)]
    pub(crate) changes: Vec<Change>,
    /// The changes that each queue command of the last applied command made.
    #[serde(skip)]
    pub(crate) queue_changes: Vec<Vec<QueueChange>>,
}

impl State {
    /// Creates the state as it is before the first command.
    pub fn new() -> State {
        State::default()
    }

    /// Disables safety mechanisms, for tests only.
    #[doc(hidden)]
    pub fn disable(&mut self, disabled: Disabled) {
        self.disabled = disabled;
    }

    /// Applies the command at a log index. A command at an index that was applied before has no
    /// effect and returns [`CommandResult::Ignored`].
    pub fn apply(&mut self, index: u64, command: &Command) -> Outcome {
        if index <= self.applied {
            return self.take_outcome(CommandResult::Ignored);
        }
        self.applied = index;
        self.clock_unix_ms = self.clock_unix_ms.max(command.at_unix_ms);
        self.changes.clear();
        self.queue_changes.clear();
        self.prune_if_due();
        let result = self.dispatch(&command.request);
        self.take_outcome(result)
    }

    /// The queues of the jobs that callers submit.
    pub fn queues(&self) -> &QueueState {
        &self.queues
    }

    /// Takes the changes that each queue command of the last applied command made, in order.
    pub fn take_queue_changes(&mut self) -> Vec<Vec<QueueChange>> {
        std::mem::take(&mut self.queue_changes)
    }

    fn apply_queue_commands(&mut self, commands: &[QueueCommand]) -> CommandResult {
        for command in commands {
            let mut changes = Vec::new();
            self.queues
                .apply(self.applied, self.clock_unix_ms, command, &mut changes);
            self.queue_changes.push(changes);
        }
        CommandResult::Applied
    }

    fn dispatch(&mut self, request: &Request) -> CommandResult {
        match request {
            Request::Tick => CommandResult::Applied,
            Request::Queues(commands) => self.apply_queue_commands(commands),
            Request::RecordPlan { operation, draft } => self.record_plan(operation.as_ref(), draft),
            Request::ConfirmPlan { operation, plan } => self.confirm_plan(operation, *plan),
            Request::RegisterWorker {
                worker,
                incarnation,
                spec,
            } => self.register_worker(worker, *incarnation, spec),
            Request::ReportTasks {
                worker,
                incarnation,
                sequence,
                full,
                tasks,
            } => self.report_tasks(*worker, *incarnation, *sequence, *full, tasks),
            Request::PlaceTasks { groups } => self.place_groups(groups),
            Request::StopTasks { stops } => self.stop_tasks(stops),
            Request::ExpireWorker {
                worker,
                incarnation,
            } => self.expire_worker(*worker, *incarnation),
            Request::Claims(batch) => {
                let check_window = !self.disabled.claim_window;
                let verdicts = self.claims.apply(batch, self.clock_unix_ms, check_window);
                CommandResult::Claimed(verdicts)
            }
            Request::NoteEntry { entry } => {
                self.entry_contacts
                    .record_contact(*entry, self.clock_unix_ms);
                CommandResult::Applied
            }
        }
    }

    fn take_outcome(&mut self, result: CommandResult) -> Outcome {
        let mut changes = std::mem::take(&mut self.changes);
        changes.sort_unstable();
        changes.dedup();
        Outcome { result, changes }
    }

    /// Serialises the state; equal states give equal bytes.
    pub fn snapshot(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_else(|error| {
            unreachable!("every map key of the state serialises to a JSON string: {error}")
        })
    }

    /// Restores the state from the bytes of [`State::snapshot`].
    pub fn restore(bytes: &[u8]) -> Result<State, StateError> {
        let mut state: State = serde_json::from_slice(bytes)?;
        state.queues.recount_held_runs();
        Ok(state)
    }

    /// A digest of the whole state, for comparing members. It serialises the state, so it costs as
    /// much as a snapshot.
    pub fn digest(&self) -> u64 {
        let mut hasher = SipHasher13::new();
        hasher.write(&self.snapshot());
        hasher.finish()
    }

    /// The log index of the newest applied command; 0 before the first.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// The highest time of an applied command, in milliseconds since the Unix epoch.
    pub fn clock_unix_ms(&self) -> u64 {
        self.clock_unix_ms
    }

    /// The current configuration and its history.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// The recorded plans, confirmed or not.
    pub fn plans(&self) -> &Plans {
        &self.plans
    }

    /// The jobs that have not ended, and those that ended recently.
    pub fn jobs(&self) -> &Jobs {
        &self.jobs
    }

    /// The tasks of all jobs that have not been dropped.
    pub fn tasks(&self) -> &Tasks {
        &self.tasks
    }

    /// The registered workers and their allocations.
    pub fn workers(&self) -> &Workers {
        &self.workers
    }

    /// The quotas of the teams and their usage.
    pub fn quotas(&self) -> &Quotas {
        &self.quotas
    }

    /// The claims on request IDs.
    pub fn claims(&self) -> &Claims {
        &self.claims
    }

    /// The recorded results of operators' operations.
    pub fn operations(&self) -> &Operations {
        &self.operations
    }

    /// The entries that were in contact recently.
    pub fn entry_contacts(&self) -> &EntryContacts {
        &self.entry_contacts
    }

    /// Whether the task's current attempt should run: its job is active and the attempt was not
    /// requested to stop.
    pub fn should_run(&self, task: &Task) -> bool {
        let is_active = self.jobs.get(task.job).is_some_and(|job| job.is_active());
        is_active && task.stop.is_none()
    }

    /// The version of an object and the plan that set it; version 0 if the object does not exist.
    pub fn version_of(&self, object: &ObjectKey) -> (ObjectVersion, Option<PlanId>) {
        match object {
            ObjectKey::Job(name) => self
                .jobs
                .name_version(name)
                .map_or(Default::default(), |name| {
                    (name.version, Some(name.changed_by))
                }),
            ObjectKey::Worker(name) => self
                .workers
                .by_name(name)
                .map_or(Default::default(), |(_, worker)| {
                    (worker.version, worker.changed_by)
                }),
            ObjectKey::Quota(team) => self.quotas.get(team).map_or(Default::default(), |quota| {
                (quota.version, quota.changed_by)
            }),
            ObjectKey::Config => (
                ObjectVersion(self.config.version().0),
                self.config.changed_by(),
            ),
        }
    }

    pub(crate) fn next_version(&mut self) -> ObjectVersion {
        self.last_version = self.last_version.next();
        self.last_version
    }

    pub(crate) fn record_change(&mut self, change: Change) {
        self.changes.push(change);
    }

    pub(crate) fn record_task_change(&mut self, task: TaskId) {
        self.record_change(Change::Task(task));
    }

    pub(crate) fn record_quota_change(&mut self, team: &Name) {
        self.record_change(Change::Quota(team.clone()));
    }
}
