//! Plans for intents: the effects that a confirmation would have, and warnings for the operator.

use std::collections::BTreeMap;

use sapphirepost_protocol::operator::Refusal;
use sapphirepost_state::PlanDraft;
use sapphirepost_state::config::KEYS_MAX;
use sapphirepost_state::config::VALUE_MAX_BYTES;
use sapphirepost_state::jobs::JOB_TASKS_MAX;
use sapphirepost_state::jobs::Job;
use sapphirepost_state::workers::Worker;
use sapphirepost_types::ConfigVersion;
use sapphirepost_types::Effect;
use sapphirepost_types::Intent;
use sapphirepost_types::JobKind;
use sapphirepost_types::JobSpec;
use sapphirepost_types::Name;
use sapphirepost_types::ObjectKey;
use sapphirepost_types::Resources;
use sapphirepost_types::VersionedObject;
use sapphirepost_types::Warning;
use sapphirepost_types::WorkerId;
use smallvec::SmallVec;
use smallvec::smallvec;

use crate::draining::blocker_reason;
use crate::draining::move_blocker;
use crate::estimate::FreeCapacity;
use crate::estimate::infeasible_cause;
use crate::message::Context;

/// Maximum length of a job's payload.
const PAYLOAD_MAX_BYTES: usize = 64 << 10;

type PlanResult = Result<PlanDraft, Refusal>;

/// Plans an intent, or returns why it is refused.
pub(crate) fn plan(ctx: &Context<'_>, intent: &Intent) -> PlanResult {
    match intent {
        Intent::Run(spec) => plan_run(ctx, intent, spec),
        Intent::Resize { job, tasks } => plan_resize(ctx, intent, job, *tasks),
        Intent::Cancel { job } => plan_cancel(ctx, intent, job),
        Intent::Drain {
            worker,
            allow_interruption,
        } => plan_drain(ctx, intent, worker, *allow_interruption),
        Intent::Undrain { worker } => plan_undrain(ctx, intent, worker),
        Intent::DeclareLost { worker } => plan_declare_lost(ctx, intent, worker),
        Intent::SetQuota { team, .. } => {
            let effects = vec![Effect::ChangeQuota { team: team.clone() }];
            let object = ObjectKey::Quota(team.clone());
            Ok(draft(ctx, intent, object, effects, Vec::new()))
        }
        Intent::SetConfig {
            key,
            value,
            expected,
        } => plan_config(ctx, intent, key, value, *expected),
    }
}

fn draft(
    ctx: &Context<'_>,
    intent: &Intent,
    object: ObjectKey,
    effects: Vec<Effect>,
    warnings: Vec<Warning>,
) -> PlanDraft {
    let rests_on: SmallVec<[VersionedObject; 4]> = smallvec![rests_on(ctx, object)];
    PlanDraft {
        intent: intent.clone(),
        rests_on,
        effects,
        warnings,
    }
}

fn rests_on(ctx: &Context<'_>, object: ObjectKey) -> VersionedObject {
    let (version, _) = ctx.state.version_of(&object);
    VersionedObject { object, version }
}

fn plan_run(ctx: &Context<'_>, intent: &Intent, spec: &JobSpec) -> PlanResult {
    check_spec(spec)?;
    if ctx.state.jobs().active(&spec.name).is_some() {
        return Err(invalid(format!("a job named {} runs already", spec.name)));
    }
    if let Some(cause) = infeasible_cause(ctx.state, spec) {
        return Err(Refusal::NeverFits {
            reason: cause.reason(spec),
        });
    }
    let free = FreeCapacity::of(ctx.state);
    let fit_now = free.count(&spec.resources, spec.tasks);
    let effects = vec![Effect::PlaceTasks {
        job: spec.name.clone(),
        tasks: spec.tasks,
        fit_now,
    }];
    let mut warnings = capacity_warnings(ctx, spec, spec.tasks, &free, fit_now);
    warnings.extend(deadline_warning(ctx, spec, fit_now));
    let object = ObjectKey::Job(spec.name.clone());
    Ok(draft(ctx, intent, object, effects, warnings))
}

fn check_spec(spec: &JobSpec) -> Result<(), Refusal> {
    if spec.tasks == 0 || spec.tasks > JOB_TASKS_MAX {
        return Err(invalid(format!("a job has 1 to {JOB_TASKS_MAX} tasks")));
    }
    if spec.resources.is_zero() {
        return Err(invalid(
            "a task must request at least one resource".to_owned(),
        ));
    }
    if spec.payload.len() > PAYLOAD_MAX_BYTES {
        return Err(invalid(format!(
            "the payload exceeds {PAYLOAD_MAX_BYTES} bytes"
        )));
    }
    Ok(())
}

fn capacity_warnings(
    ctx: &Context<'_>,
    spec: &JobSpec,
    tasks: u32,
    free: &FreeCapacity,
    fit_now: u32,
) -> Vec<Warning> {
    let mut warnings = Vec::new();
    if fit_now < tasks {
        warnings.push(Warning::MustWait {
            limiting: free.limiting(&spec.resources),
        });
    }
    let sum = spec.resources.checked_mul(tasks).unwrap_or(Resources::ZERO);
    if let Some(limiting) = ctx.state.quotas().limiting(&spec.team, &sum) {
        warnings.push(Warning::OverQuota {
            team: spec.team.clone(),
            limiting,
        });
    }
    warnings
}

/// Estimates the end of a batch job and warns if it is after the deadline. The tasks are assumed to
/// run in waves of as many as fit now; if none fits, one at a time after a wait of one run time.
fn deadline_warning(ctx: &Context<'_>, spec: &JobSpec, fit_now: u32) -> Option<Warning> {
    let JobKind::Batch {
        deadline_unix_ms: Some(deadline_unix_ms),
        run_time_ms,
    } = spec.kind
    else {
        return None;
    };
    let waves = match fit_now {
        0 => u64::from(spec.tasks) + 1,
        fit_now => u64::from(spec.tasks.div_ceil(fit_now)),
    };
    let expected_unix_ms = ctx
        .wall_ms()
        .saturating_add(waves.saturating_mul(run_time_ms));
    (expected_unix_ms > deadline_unix_ms).then_some(Warning::DeadlineAtRisk {
        expected_unix_ms,
        deadline_unix_ms,
    })
}

fn plan_resize(ctx: &Context<'_>, intent: &Intent, name: &Name, tasks: u32) -> PlanResult {
    let (_, job) = ctx
        .state
        .jobs()
        .active(name)
        .ok_or_else(|| not_found("job", name))?;
    if !job.is_service() {
        return Err(invalid(format!("{name} is no service")));
    }
    if tasks > JOB_TASKS_MAX {
        return Err(invalid(format!("a job has at most {JOB_TASKS_MAX} tasks")));
    }
    let before = job.spec.tasks;
    let mut effects = Vec::new();
    let mut warnings = Vec::new();
    if tasks > before {
        let more = tasks - before;
        let free = FreeCapacity::of(ctx.state);
        let fit_now = free.count(&job.spec.resources, more);
        effects.push(Effect::PlaceTasks {
            job: name.clone(),
            tasks: more,
            fit_now,
        });
        warnings = capacity_warnings(ctx, &job.spec, more, &free, fit_now);
    }
    if tasks < before {
        effects.push(Effect::StopTasks {
            job: name.clone(),
            tasks: before - tasks,
        });
    }
    if tasks == 0 && before > 0 {
        warnings.push(Warning::Interrupts { job: name.clone() });
    }
    let object = ObjectKey::Job(name.clone());
    Ok(draft(ctx, intent, object, effects, warnings))
}

fn plan_cancel(ctx: &Context<'_>, intent: &Intent, name: &Name) -> PlanResult {
    let (_, job) = ctx
        .state
        .jobs()
        .active(name)
        .ok_or_else(|| not_found("active job", name))?;
    let effects = vec![Effect::StopTasks {
        job: name.clone(),
        tasks: job.placed,
    }];
    let object = ObjectKey::Job(name.clone());
    Ok(draft(ctx, intent, object, effects, Vec::new()))
}

fn plan_drain(
    ctx: &Context<'_>,
    intent: &Intent,
    name: &Name,
    allow_interruption: bool,
) -> PlanResult {
    let (id, worker) = find_worker(ctx, name)?;
    let mut effects = vec![Effect::CloseWorker {
        worker: name.clone(),
    }];
    let mut warnings = Vec::new();
    let mut free = FreeCapacity::of(ctx.state).without(id);
    let mut moves: BTreeMap<(Name, Option<Name>), u32> = BTreeMap::new();
    let mut immovable: BTreeMap<Name, String> = BTreeMap::new();
    let mut gangs = BTreeMap::new();
    for (job, count) in jobs_on(ctx, worker) {
        if let Some(blocker) = move_blocker(job, allow_interruption) {
            immovable.insert(job.spec.name.clone(), blocker_reason(blocker, job, name));
            continue;
        }
        if job.is_service() && job.spec.tasks <= 1 {
            warnings.push(Warning::Interrupts {
                job: job.spec.name.clone(),
            });
        }
        if job.is_gang() {
            gangs.insert(job.spec.name.clone(), (job, count));
            continue;
        }
        for _ in 0..count {
            let to = free.reserve(&job.spec.resources);
            let to = to.and_then(|to| ctx.state.workers().get(to));
            let to = to.map(|to| to.name.clone());
            *moves.entry((job.spec.name.clone(), to)).or_default() += 1;
        }
    }
    for (job_name, (job, count)) in gangs {
        match free.reserve_gang(ctx.state, job) {
            true => *moves.entry((job_name, None)).or_default() += count,
            false => {
                let reason = "its tasks must move together, and too little is free".to_owned();
                immovable.insert(job_name, reason);
            }
        }
    }
    for ((job, to), tasks) in moves {
        effects.push(Effect::MoveTasks {
            job,
            tasks,
            from: name.clone(),
            to,
        });
    }
    for (job, reason) in immovable {
        warnings.push(Warning::CannotMove { job, reason });
    }
    let object = ObjectKey::Worker(name.clone());
    Ok(draft(ctx, intent, object, effects, warnings))
}

/// Jobs with tasks that should keep running on the worker, with the number of these tasks.
fn jobs_on<'a>(ctx: &Context<'a>, worker: &Worker) -> Vec<(&'a Job, u32)> {
    let mut counts = BTreeMap::new();
    for allocation in &worker.held {
        let Some(task) = ctx.state.tasks().get(allocation.task) else {
            continue;
        };
        if task.attempt == allocation.attempt && ctx.state.should_run(task) {
            *counts.entry(task.job).or_default() += 1;
        }
    }
    counts
        .into_iter()
        .filter_map(|(id, count)| Some((ctx.state.jobs().get(id)?, count)))
        .collect()
}

fn plan_undrain(ctx: &Context<'_>, intent: &Intent, name: &Name) -> PlanResult {
    let (_, worker) = find_worker(ctx, name)?;
    if !worker.draining {
        return Err(invalid(format!("{name} is not drained")));
    }
    let effects = vec![Effect::OpenWorker {
        worker: name.clone(),
    }];
    let object = ObjectKey::Worker(name.clone());
    Ok(draft(ctx, intent, object, effects, Vec::new()))
}

fn plan_declare_lost(ctx: &Context<'_>, intent: &Intent, name: &Name) -> PlanResult {
    let (id, worker) = find_worker(ctx, name)?;
    if !worker.is_expired() {
        return Err(invalid(format!("{name} is in contact, or its lease runs")));
    }
    let mut free = FreeCapacity::of(ctx.state).without(id);
    let mut effects = Vec::new();
    for (job, tasks) in jobs_on(ctx, worker) {
        let to = free.reserve(&job.spec.resources);
        let to = to.and_then(|to| ctx.state.workers().get(to));
        effects.push(Effect::MoveTasks {
            job: job.spec.name.clone(),
            tasks,
            from: name.clone(),
            to: to.map(|to| to.name.clone()),
        });
    }
    let object = ObjectKey::Worker(name.clone());
    Ok(draft(ctx, intent, object, effects, Vec::new()))
}

fn plan_config(
    ctx: &Context<'_>,
    intent: &Intent,
    key: &Name,
    value: &Option<String>,
    expected: Option<ConfigVersion>,
) -> PlanResult {
    let config = ctx.state.config();
    if value
        .as_ref()
        .is_some_and(|text| text.len() > VALUE_MAX_BYTES)
    {
        return Err(invalid(format!(
            "the value exceeds {VALUE_MAX_BYTES} bytes"
        )));
    }
    let old = config.values().get(key).cloned();
    if old.is_none() && value.is_some() && config.values().len() >= KEYS_MAX {
        return Err(invalid(format!(
            "the configuration already has {KEYS_MAX} keys, the maximum"
        )));
    }
    if expected.is_some_and(|expected| expected != config.version()) {
        return Err(Refusal::Stale {
            changed: vec![rests_on(ctx, ObjectKey::Config)],
            won: config.changed_by(),
            fresh: None,
        });
    }
    let effects = vec![Effect::ChangeConfig {
        key: key.clone(),
        old,
        new: value.clone(),
    }];
    Ok(draft(ctx, intent, ObjectKey::Config, effects, Vec::new()))
}

fn find_worker<'a>(ctx: &Context<'a>, name: &Name) -> Result<(WorkerId, &'a Worker), Refusal> {
    ctx.state
        .workers()
        .by_name(name)
        .ok_or_else(|| not_found("worker", name))
}

fn invalid(reason: String) -> Refusal {
    Refusal::Invalid { reason }
}

fn not_found(kind: &str, name: &Name) -> Refusal {
    Refusal::NotFound {
        what: format!("{kind} {name}"),
    }
}
