//! Recording and confirmation of plans, and the effects of the intents in them.
//!
//! The texts of results and refusals are recorded in the replicated state for resends. All members
//! must record the same ones, also members of different versions, so a text must not change.

use std::hash::Hasher;

use sapphirepost_protocol::operator::Confirmed;
use sapphirepost_protocol::operator::Refusal;
use sapphirepost_types::Intent;
use sapphirepost_types::JobId;
use sapphirepost_types::JobSpec;
use sapphirepost_types::Name;
use sapphirepost_types::OperationId;
use sapphirepost_types::Plan;
use sapphirepost_types::PlanId;
use sapphirepost_types::Resources;
use sapphirepost_types::VersionedObject;
use serde::Serialize;
use siphasher::sip::SipHasher13;

use crate::command::PlanDraft;
use crate::jobs::Job;
use crate::jobs::JobNameVersion;
use crate::jobs::JobPhase;
use crate::operations::Answer;
use crate::operations::Lookup;
use crate::outcome::Change;
use crate::outcome::CommandResult;
use crate::quotas::TEAMS_MAX;
use crate::state::State;
use crate::tasks::Task;
use crate::workers::Contact;

/// The description of what an intent has changed, for the operator, or why it was refused.
type IntentResult = Result<String, Refusal>;

impl State {
    /// Looks up an operation that requests a plan. `now_unix_ms` may be ahead of the clock of the
    /// state.
    pub fn lookup_propose(
        &self,
        operation: &OperationId,
        intent: &Intent,
        now_unix_ms: u64,
    ) -> Lookup {
        let content = content_digest("propose", intent);
        self.operations.lookup(operation, content, now_unix_ms)
    }

    /// Looks up an operation that confirms a plan. `now_unix_ms` may be ahead of the clock of the
    /// state.
    pub fn lookup_confirm(
        &self,
        operation: &OperationId,
        plan: PlanId,
        now_unix_ms: u64,
    ) -> Lookup {
        let content = content_digest("confirm", &plan);
        self.operations.lookup(operation, content, now_unix_ms)
    }

    pub(crate) fn record_plan(
        &mut self,
        operation: Option<&OperationId>,
        draft: &PlanDraft,
    ) -> CommandResult {
        let Some(operation) = operation else {
            return CommandResult::Planned(self.plans.add(draft.clone(), self.clock_unix_ms));
        };
        match self.lookup_propose(operation, &draft.intent, self.clock_unix_ms) {
            Lookup::Answered(answer) => command_result(answer),
            Lookup::Refused(refusal) => CommandResult::Refused(refusal),
            Lookup::New => {
                let id = self.plans.add(draft.clone(), self.clock_unix_ms);
                let content = content_digest("propose", &draft.intent);
                self.operations
                    .record(operation.clone(), content, Answer::Planned(id));
                CommandResult::Planned(id)
            }
        }
    }

    pub(crate) fn confirm_plan(&mut self, operation: &OperationId, plan: PlanId) -> CommandResult {
        match self.lookup_confirm(operation, plan, self.clock_unix_ms) {
            Lookup::Answered(answer) => command_result(answer),
            Lookup::Refused(refusal) => CommandResult::Refused(refusal),
            Lookup::New => {
                let answer = match self.try_confirm(operation, plan) {
                    Ok(confirmed) => Answer::Confirmed(confirmed),
                    Err(refusal) => Answer::Refused(refusal),
                };
                let content = content_digest("confirm", &plan);
                self.operations
                    .record(operation.clone(), content, answer.clone());
                command_result(answer)
            }
        }
    }

    fn try_confirm(
        &mut self,
        operation: &OperationId,
        plan_id: PlanId,
    ) -> Result<Confirmed, Refusal> {
        let Some(record) = self.plans.get(plan_id) else {
            return Err(Refusal::NotFound {
                what: plan_id.to_string(),
            });
        };
        if let Some(by) = &record.confirmed_by {
            return Err(Refusal::AlreadyConfirmed { by: by.clone() });
        }
        self.check_versions(&record.plan)?;
        let intent = record.plan.intent.clone();
        let detail = self.apply_intent(operation, plan_id, &intent)?;
        self.plans.confirm(plan_id, operation);
        let changes_config = matches!(intent, Intent::SetConfig { .. });
        Ok(Confirmed {
            plan: plan_id,
            operation: operation.clone(),
            config_version: changes_config.then(|| self.config.version()),
            detail,
        })
    }

    /// Refuses a plan as stale if an object that it was computed from has changed.
    fn check_versions(&self, plan: &Plan) -> Result<(), Refusal> {
        if self.disabled.stale_check {
            return Ok(());
        }
        let mut changed = Vec::new();
        let mut won = None;
        for expected in &plan.rests_on {
            let (version, by) = self.version_of(&expected.object);
            if version == expected.version {
                continue;
            }
            won = won.or(by);
            changed.push(VersionedObject {
                object: expected.object.clone(),
                version,
            });
        }
        if changed.is_empty() {
            return Ok(());
        }
        Err(Refusal::Stale {
            changed,
            won,
            fresh: None,
        })
    }

    fn apply_intent(
        &mut self,
        operation: &OperationId,
        plan: PlanId,
        intent: &Intent,
    ) -> IntentResult {
        match intent {
            Intent::Run(spec) => self.run_job(plan, spec),
            Intent::Resize { job, tasks } => self.resize(plan, job, *tasks),
            Intent::Cancel { job } => self.cancel(plan, job),
            Intent::Drain {
                worker,
                allow_interruption,
            } => self.set_draining(plan, worker, true, *allow_interruption),
            Intent::Undrain { worker } => self.set_draining(plan, worker, false, false),
            Intent::DeclareLost { worker } => self.declare_lost(plan, worker),
            Intent::SetQuota { team, limit } => self.set_quota(plan, team, *limit),
            Intent::SetConfig { key, value, .. } => self.set_config(operation, plan, key, value),
        }
    }

    fn run_job(&mut self, plan: PlanId, spec: &JobSpec) -> IntentResult {
        if self.jobs.active(&spec.name).is_some() {
            return Err(invalid(format!("a job named {} runs already", spec.name)));
        }
        let job = self.jobs.add(Job {
            spec: spec.clone(),
            phase: JobPhase::Active,
            tasks: Default::default(),
            placed: 0,
            finished: 0,
            failed: 0,
            created_unix_ms: self.clock_unix_ms,
            ended_unix_ms: None,
        });
        for _ in 0..spec.tasks {
            self.add_task(job, Task::new(job, false, self.clock_unix_ms));
        }
        self.bump_name_version(&spec.name, job, plan);
        Ok(format!("{job}: {} tasks wait for room", spec.tasks))
    }

    fn resize(&mut self, plan: PlanId, name: &Name, tasks: u32) -> IntentResult {
        let Some((id, job)) = self.jobs.active(name) else {
            return Err(not_found("job", name));
        };
        if !job.is_service() {
            return Err(invalid(format!("{name} is no service")));
        }
        let before = job.spec.tasks;
        if let Some(job) = self.jobs.get_mut(id) {
            job.spec.tasks = tasks;
        }
        self.bump_name_version(name, id, plan);
        self.adjust_replicas(id);
        Ok(format!("{id}: from {before} to {tasks} tasks"))
    }

    /// Cancels a job. The cost does not depend on the number of tasks, because only the phase of
    /// the job changes.
    fn cancel(&mut self, plan: PlanId, name: &Name) -> IntentResult {
        let Some((id, job)) = self.jobs.by_name(name) else {
            return Err(not_found("job", name));
        };
        if !job.is_active() {
            self.bump_name_version(name, id, plan);
            return Ok(format!("{id} had ended before; nothing was cancelled"));
        }
        let placed = job.placed;
        let waiting = (job.tasks.len() as u32)
            .saturating_sub(placed)
            .saturating_sub(job.finished)
            .saturating_sub(job.failed);
        if let Some(job) = self.jobs.get_mut(id) {
            job.phase = JobPhase::Cancelled;
        }
        self.bump_name_version(name, id, plan);
        self.record_end_if_released(id);
        Ok(format!(
            "{id}: {placed} placed tasks are stopped, {waiting} waiting tasks will not start"
        ))
    }

    fn set_draining(
        &mut self,
        plan: PlanId,
        name: &Name,
        draining: bool,
        allow_interruption: bool,
    ) -> IntentResult {
        let version = self.next_version();
        let Some(id) = self.workers.id(name) else {
            return Err(not_found("worker", name));
        };
        let Some(worker) = self.workers.get_mut(id) else {
            return Err(not_found("worker", name));
        };
        worker.draining = draining;
        worker.allow_interruption = allow_interruption;
        worker.version = version;
        worker.changed_by = Some(plan);
        let held = worker.held.len();
        self.record_change(Change::Worker(id));
        match draining {
            true => Ok(format!("{name} takes no more tasks; {held} are there now")),
            false => Ok(format!("{name} takes tasks again")),
        }
    }

    fn declare_lost(&mut self, plan: PlanId, name: &Name) -> IntentResult {
        let version = self.next_version();
        let Some(id) = self.workers.id(name) else {
            return Err(not_found("worker", name));
        };
        let Some(worker) = self.workers.get_mut(id) else {
            return Err(not_found("worker", name));
        };
        let Contact::Expired { since_unix_ms, .. } = worker.contact else {
            return Err(invalid(format!("{name} is in contact")));
        };
        worker.contact = Contact::Expired {
            since_unix_ms,
            lost: true,
        };
        worker.version = version;
        worker.changed_by = Some(plan);
        let count = self.end_all_as_lost(id);
        Ok(format!("{name} is lost; {count} attempts were given up"))
    }

    fn set_quota(&mut self, plan: PlanId, team: &Name, limit: Option<Resources>) -> IntentResult {
        if self.quotas.get(team).is_none() && self.quotas.len() >= TEAMS_MAX {
            return Err(invalid(format!("{TEAMS_MAX} teams are the limit")));
        }
        let version = self.next_version();
        self.quotas.set(team, limit, version, plan);
        self.record_quota_change(team);
        Ok(match limit {
            Some(limit) => format!("the quota of {team} is {limit}"),
            None => format!("{team} has no quota"),
        })
    }

    fn set_config(
        &mut self,
        operation: &OperationId,
        plan: PlanId,
        key: &Name,
        value: &Option<String>,
    ) -> IntentResult {
        let now_unix_ms = self.clock_unix_ms;
        let version = self.config.set(key, value, operation, plan, now_unix_ms);
        self.record_change(Change::Config);
        Ok(format!("{key} is changed in {version}"))
    }

    /// Gives a job name a new version, set by the plan.
    fn bump_name_version(&mut self, name: &Name, job: JobId, plan: PlanId) {
        let record = JobNameVersion {
            job,
            version: self.next_version(),
            changed_by: plan,
            changed_unix_ms: self.clock_unix_ms,
        };
        self.jobs.set_name_version(name, record);
        self.record_change(Change::Job(job));
    }
}

fn command_result(answer: Answer) -> CommandResult {
    match answer {
        Answer::Planned(plan) => CommandResult::Planned(plan),
        Answer::Confirmed(confirmed) => CommandResult::Confirmed(confirmed),
        Answer::Refused(refusal) => CommandResult::Refused(refusal),
    }
}

fn invalid(reason: String) -> Refusal {
    Refusal::Invalid { reason }
}

fn not_found(kind: &str, name: &Name) -> Refusal {
    Refusal::NotFound {
        what: format!("{kind} {name}"),
    }
}

/// Digest of an operation's kind and content, to detect an ID that is used for another operation.
fn content_digest(kind: &str, content: &impl Serialize) -> u64 {
    let bytes = serde_json::to_vec(content).unwrap_or_else(|error| {
        unreachable!("intents and plan ids serialise to JSON: {error}");
    });
    let mut hasher = SipHasher13::new();
    hasher.write(kind.as_bytes());
    hasher.write(&bytes);
    hasher.finish()
}
