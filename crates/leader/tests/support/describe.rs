//! Formats replies and statistics of the leader for the file tests.

use sapphirepost_leader::ClusterStats;
use sapphirepost_leader::Events;
use sapphirepost_leader::Packing;
use sapphirepost_leader::Reply;
use sapphirepost_protocol::operator::ClusterStatus;
use sapphirepost_protocol::operator::OperatorReply;
use sapphirepost_protocol::operator::Refusal;
use sapphirepost_types::Plan;

pub fn describe(reply: Reply) -> String {
    let reply = match reply {
        Reply::Operator(reply) => reply,
        Reply::Config(reply) => return format!("{}: {:?}\n", reply.version, reply.update),
        other => return format!("{other:?}\n"),
    };
    match reply {
        OperatorReply::Plan(plan) => describe_plan(&plan),
        OperatorReply::Confirmed(confirmed) => {
            let version = confirmed.config_version.map(|v| format!(" ({v})"));
            format!(
                "confirmed: {}{}\n",
                confirmed.detail,
                version.unwrap_or_default()
            )
        }
        OperatorReply::Refused(Refusal::Stale {
            changed,
            won,
            fresh,
        }) => {
            let mut text = "refused: stale\n".to_owned();
            for on in changed {
                text += &format!("  {} is at {}\n", on.object, on.version);
            }
            text += &won.map(|won| format!("  {won} won\n")).unwrap_or_default();
            text + &fresh.map(|plan| describe_plan(&plan)).unwrap_or_default()
        }
        OperatorReply::Refused(refusal) => format!("refused: {refusal:?}\n"),
        OperatorReply::Explanation { lines } => lines.join("\n") + "\n",
        OperatorReply::History(records) => records
            .iter()
            .map(|r| {
                format!(
                    "{} {} {:?} -> {:?} by {}\n",
                    r.version, r.key, r.old, r.new, r.operation
                )
            })
            .collect(),
        OperatorReply::InForce {
            version,
            applied,
            lacking,
        } => {
            format!("{version} is applied by {applied:?}, not by {lacking:?}\n")
        }
        OperatorReply::Status(status) => describe_status(&status),
        other => format!("{other:?}\n"),
    }
}

fn describe_status(status: &ClusterStatus) -> String {
    let mut text = format!("{}\n", status.config_version);
    for job in &status.jobs {
        text += &format!(
            "{}: wants {}, runs {}, starting {}, waiting {}, unreachable {}, finished {}, failed {}\n",
            job.name,
            job.wanted,
            job.running,
            job.starting,
            job.waiting,
            job.unreachable,
            job.finished,
            job.failed
        );
    }
    for worker in &status.workers {
        text += &format!(
            "{}: {} of {}, {} tasks, connected {}, draining {}\n",
            worker.name,
            worker.used,
            worker.capacity,
            worker.tasks,
            worker.connected,
            worker.draining
        );
    }
    text
}

fn describe_plan(plan: &Plan) -> String {
    let mut text = format!("{}\n", plan.id);
    for effect in &plan.effects {
        text += &format!("  {effect}\n");
    }
    for warning in &plan.warnings {
        text += &format!("  warning: {warning}\n");
    }
    for on in &plan.rests_on {
        text += &format!("  rests on {} at {}\n", on.object, on.version);
    }
    text
}

/// Waits are rounded up to seconds, because they depend on how many syncs a worker sends at a time.
pub fn describe_stats(stats: &ClusterStats, events: &Events) -> String {
    let mut text = String::new();
    for (class, waiting) in &stats.waiting {
        let (kind, priority) = (class.kind, class.priority);
        let (tasks, longest) = (waiting.tasks, waiting.longest_ms.div_ceil(1_000));
        text += &format!("{kind} {priority}: {tasks} wait, the longest up to {longest} s\n");
    }
    text += &format!("{:?}\n{:?}\n", stats.tasks, stats.workers);
    let packing = |packing: &Packing| format!("{} of {}", packing.used, packing.capacity);
    let (open, all) = (packing(&stats.open), packing(&stats.all));
    text += &format!(
        "open: {open}; all: {all}\nheld syncs: {}\n",
        stats.held_syncs
    );
    for wait in &events.waits {
        let (kind, priority) = (wait.class.kind, wait.class.priority);
        let wait = wait.wait_ms.div_ceil(1_000);
        text += &format!("placed {kind} {priority} within {wait} s\n");
    }
    let (displacements, expired) = (events.displacements, events.expired_leases);
    let (confirmed, refused) = (events.confirmed_plans, events.refused_plans);
    text + &format!(
        "displacements {displacements}, expired {expired}, confirmed {confirmed}, refused {refused}\n"
    )
}
