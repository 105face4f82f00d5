//! Formats replies as text for operators.

use std::fmt::Display;
use std::time::Duration;
use std::time::UNIX_EPOCH;

use sapphirepost_protocol::operator::ClusterStatus;
use sapphirepost_protocol::operator::ConfigRecord;
use sapphirepost_protocol::operator::Confirmed;
use sapphirepost_protocol::operator::JobStatus;
use sapphirepost_protocol::operator::MemberStatus;
use sapphirepost_protocol::operator::OperatorReply;
use sapphirepost_protocol::operator::Refusal;
use sapphirepost_protocol::operator::TenantReport;
use sapphirepost_protocol::operator::WorkerStatus;
use sapphirepost_types::Intent;
use sapphirepost_types::JobKind;
use sapphirepost_types::JobSpec;
use sapphirepost_types::Name;
use sapphirepost_types::OnPartition;
use sapphirepost_types::Plan;
use sapphirepost_types::Priority;
use sapphirepost_types::Resources;
use serde_json::Value;

use crate::table::Table;

/// Formats a reply of any kind, with a line break at its end.
pub(crate) fn reply(reply: &OperatorReply) -> String {
    match reply {
        OperatorReply::Plan(shown) => plan(shown),
        OperatorReply::Confirmed(shown) => confirmed(shown),
        OperatorReply::Refused(shown) => format!("{}\n", refusal(shown)),
        OperatorReply::Status(shown) => status(shown),
        OperatorReply::Explanation { lines } => {
            lines.iter().map(|line| line.clone() + "\n").collect()
        }
        OperatorReply::Config { version, values } => {
            let mut text = format!("version {version}\n");
            for (key, value) in values {
                text += &format!("{key} = {value}\n");
            }
            text
        }
        OperatorReply::History(records) => history(records),
        OperatorReply::InForce {
            version,
            applied,
            lacking,
        } => {
            let mut text = format!("{version} applied by: {}\n", names(applied));
            if !lacking.is_empty() {
                text += &format!("not confirmed by: {}\n", names(lacking));
            }
            text
        }
        OperatorReply::Tenants(shown) => tenants(shown),
        OperatorReply::Members(shown) => members(shown),
        OperatorReply::MembershipChanged { detail } => format!("{detail}\n"),
    }
}

/// Formats a plan with its effects, its warnings and the object versions that it was computed
/// from.
pub(crate) fn plan(plan: &Plan) -> String {
    let mut text = format!("{}: {}\n", plan.id, intent(&plan.intent));
    text += &section("effects", &plan.effects);
    text += &section("warnings", &plan.warnings);
    let rests_on: Vec<String> = plan
        .rests_on
        .iter()
        .map(|versioned| format!("{} {}", versioned.object, versioned.version))
        .collect();
    text += &section("rests on", &rests_on);
    text
}

fn section<T: Display>(title: &str, lines: &[T]) -> String {
    if lines.is_empty() {
        return String::new();
    }
    let lines: String = lines.iter().map(|line| format!("    {line}\n")).collect();
    format!("  {title}\n{lines}")
}

/// Formats the result of a confirmation.
pub(crate) fn confirmed(confirmed: &Confirmed) -> String {
    let mut text = format!(
        "{} confirmed by operation {}",
        confirmed.plan, confirmed.operation
    );
    if !confirmed.detail.is_empty() {
        text += &format!(": {}", confirmed.detail);
    }
    if let Some(version) = confirmed.config_version {
        text += &format!(" ({version})");
    }
    text + "\n"
}

/// Formats the reason for a refusal, without a line break at its end.
pub(crate) fn refusal(refusal: &Refusal) -> String {
    match refusal {
        Refusal::Invalid { reason } | Refusal::NeverFits { reason } => reason.clone(),
        Refusal::Stale {
            changed,
            won,
            fresh,
        } => {
            let changed: Vec<String> = changed
                .iter()
                .map(|versioned| format!("{} is now {}", versioned.object, versioned.version))
                .collect();
            let mut text = format!("the plan is out of date: {}", changed.join(", "));
            if let Some(won) = won {
                text += &format!("; {won} was confirmed before");
            }
            if let Some(fresh) = fresh {
                text += &format!("\nnew plan:\n{}", plan(fresh).trim_end());
            }
            text
        }
        Refusal::AlreadyConfirmed { by } => format!("already confirmed by operation {by}"),
        Refusal::OperationTooOld => {
            "the operation ID is older than the retained records, so its outcome is unknown"
                .to_owned()
        }
        Refusal::OperationTooNew => "the operation ID lies in the future".to_owned(),
        Refusal::OperationMismatch => "the operation ID was used for another request".to_owned(),
        Refusal::NotFound { what } => format!("{what} does not exist"),
    }
}

fn intent(intent: &Intent) -> String {
    match intent {
        Intent::Run(spec) => run(spec),
        Intent::Resize { job, tasks } => format!("resize {job} to {tasks} tasks"),
        Intent::Cancel { job } => format!("cancel {job}"),
        Intent::Drain {
            worker,
            allow_interruption: true,
        } => format!("drain {worker}, interruptions allowed"),
        Intent::Drain { worker, .. } => format!("drain {worker}"),
        Intent::Undrain { worker } => format!("undrain {worker}"),
        Intent::DeclareLost { worker } => format!("declare {worker} lost"),
        Intent::SetQuota {
            team,
            limit: Some(limit),
        } => format!("limit {team} to {limit}"),
        Intent::SetQuota { team, limit: None } => format!("lift the limit of {team}"),
        Intent::SetConfig {
            key,
            value: Some(value),
            ..
        } => format!("set {key} to {value}"),
        Intent::SetConfig { key, .. } => format!("remove {key}"),
    }
}

fn run(spec: &JobSpec) -> String {
    let kind = kind(&spec.kind);
    let urgent = match spec.priority {
        Priority::Urgent => "urgent ",
        Priority::Normal => "",
    };
    let on_partition = match spec.on_partition() {
        OnPartition::Keep => "keep",
        OnPartition::Move => "move",
    };
    let mut text = format!(
        "run {urgent}{kind} {}: {} tasks of {} for team {}, {on_partition} on partition",
        spec.name, spec.tasks, spec.resources, spec.team
    );
    if let Some(ms) = spec.kind.run_time_ms() {
        let run_time = humantime::format_duration(Duration::from_millis(ms));
        text += &format!(", run time {run_time}");
    }
    if let JobKind::Batch {
        deadline_unix_ms: Some(deadline),
        ..
    } = spec.kind
    {
        text += &format!(", deadline {}", format_time(deadline));
    }
    text
}

fn kind(kind: &JobKind) -> &'static str {
    match kind {
        JobKind::Service => "service",
        JobKind::Batch { .. } => "batch",
        JobKind::Gang { .. } => "gang",
    }
}

fn status(status: &ClusterStatus) -> String {
    let mut text = format!(
        "leader {} in term {}, {}\n\n",
        status.leader, status.term, status.config_version
    );
    text += &jobs(&status.jobs);
    text.push('\n');
    text += &workers(&status.workers);
    text
}

fn jobs(jobs: &[JobStatus]) -> String {
    let mut table = Table::new(&[
        "JOB",
        "KIND",
        "TEAM",
        "WANTED",
        "RUNNING",
        "STARTING",
        "WAITING",
        "UNREACHABLE",
        "FINISHED",
        "FAILED",
        "STATE",
    ]);
    for job in jobs {
        let counts = [
            job.wanted,
            job.running,
            job.starting,
            job.waiting,
            job.unreachable,
            job.finished,
            job.failed,
        ];
        let labels = [
            job.name.to_string(),
            kind(&job.kind).to_owned(),
            job.team.to_string(),
        ];
        let counts = counts.iter().map(u32::to_string);
        table.add_row(
            labels
                .into_iter()
                .chain(counts)
                .chain([job_state(job).to_owned()]),
        );
    }
    table.render()
}

fn job_state(job: &JobStatus) -> &'static str {
    let ended = job.finished + job.failed;
    match job.kind {
        _ if job.cancelled => "cancelled",
        JobKind::Service => "active",
        _ if ended >= job.wanted => "finished",
        _ => "active",
    }
}

fn workers(workers: &[WorkerStatus]) -> String {
    let mut table = Table::new(&[
        "WORKER",
        "FAILURE DOMAIN",
        "RACK",
        "CAPACITY",
        "USED",
        "TASKS",
        "STATE",
    ]);
    for worker in workers {
        table.add_row([
            worker.name.to_string(),
            worker.failure_domain.to_string(),
            worker.rack.to_string(),
            worker.capacity.to_string(),
            worker.used.to_string(),
            worker.tasks.to_string(),
            worker_state(worker),
        ]);
    }
    table.render()
}

fn worker_state(worker: &WorkerStatus) -> String {
    let states = [
        (!worker.connected, "no contact"),
        (worker.draining, "draining"),
        (worker.quarantined, "quarantined"),
    ];
    let states: Vec<&str> = states
        .iter()
        .filter(|(applies, _)| *applies)
        .map(|(_, state)| *state)
        .collect();
    if states.is_empty() {
        return "ready".to_owned();
    }
    states.join(", ")
}

fn history(records: &[ConfigRecord]) -> String {
    let mut table = Table::new(&["VERSION", "TIME", "KEY", "OLD", "NEW", "OPERATION"]);
    for record in records {
        let format_value = |value: &Option<String>| value.clone().unwrap_or("unset".to_owned());
        table.add_row([
            record.version.to_string(),
            format_time(record.at_unix_ms),
            record.key.to_string(),
            format_value(&record.old),
            format_value(&record.new),
            record.operation.to_string(),
        ]);
    }
    table.render()
}

fn tenants(tenants: &[TenantReport]) -> String {
    let mut table = Table::new(&[
        "TENANT", "WEIGHT", "QUOTA", "USED", "RUNNING", "WAITING", "REJECTED",
    ]);
    for tenant in tenants {
        let rejected = tenant.rejected.iter();
        let rejected: Vec<String> = rejected
            .map(|(limit, jobs)| format!("{limit} {jobs}"))
            .collect();
        table.add_row([
            tenant.name.clone(),
            tenant.weight.to_string(),
            quota(&tenant.quota),
            tenant.used.to_string(),
            tenant.running_tasks.to_string(),
            tenant.waiting_steps.to_string(),
            if rejected.is_empty() {
                "-".to_owned()
            } else {
                rejected.join(", ")
            },
        ]);
    }
    table.render()
}

/// Formats a quota, with `-` for a resource that is not limited.
fn quota(quota: &Resources) -> String {
    let amount = |amount: u64, max: u64, unit: &str| match amount == max {
        true => "-".to_owned(),
        false => format!("{amount}{unit}"),
    };
    let accelerators = u64::from(quota.accelerators);
    [
        amount(quota.millicores, u64::MAX, "m"),
        amount(quota.memory_mib, u64::MAX, "Mi"),
        amount(accelerators, u64::from(u32::MAX), "a"),
    ]
    .join("/")
}

fn members(members: &[MemberStatus]) -> String {
    let mut table = Table::new(&["MEMBER", "ADDRESS", "ROLE", "LOG INDEX", "LAST HEARD"]);
    for member in members {
        let role = match (member.leader, member.voter) {
            (true, _) => "leader",
            (false, true) => "voter",
            (false, false) => "non-voter",
        };
        let last_contact = match member.silent_ms {
            Some(ms) => format!("{ms} ms ago"),
            None => "-".to_owned(),
        };
        table.add_row([
            member.member.to_string(),
            member.address.clone(),
            role.to_owned(),
            member.matched.to_string(),
            last_contact,
        ]);
    }
    table.render()
}

/// Formats names, separated by commas, or `none`.
pub(crate) fn names(names: &[Name]) -> String {
    if names.is_empty() {
        return "none".to_owned();
    }
    let names: Vec<&str> = names.iter().map(Name::as_str).collect();
    names.join(", ")
}

/// Formats a JSON dump with line breaks and indentation. Other text is returned unchanged, with a
/// line break.
pub(crate) fn dump(text: &str) -> String {
    let pretty =
        serde_json::from_str::<Value>(text).and_then(|value| serde_json::to_string_pretty(&value));
    pretty.unwrap_or(text.to_owned()) + "\n"
}

fn format_time(unix_ms: u64) -> String {
    humantime::format_rfc3339_seconds(UNIX_EPOCH + Duration::from_millis(unix_ms)).to_string()
}
