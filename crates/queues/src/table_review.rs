//! Reviews a queue table before it is put in force: entries that can never match a request, limits
//! that contradict each other, and what changes against another table.
//!
//! A finding is no reason to refuse the table; [`QueueTable::check`] decides that. No finding and
//! no change contains the text of a key.

use std::fmt;
use std::sync::Arc;

use crate::ids::JOB_KEY_DIGITS;
use crate::table::Queue;
use crate::table::QueueTable;
use crate::table::Service;
use crate::tenant::ApiKey;
use crate::tenant::Tenant;

/// A part of a table that has no effect or not the intended one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The queue, service or tenant, with its name.
    pub subject: String,
    /// What is wrong with it.
    pub problem: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.subject, self.problem)
    }
}

/// A difference between two tables.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TableChange {
    /// Only the new table has the entry.
    Added(String),
    /// Only the former table has the entry.
    Removed(String),
    /// A setting of an entry differs.
    Changed {
        /// The entry.
        subject: String,
        /// The setting.
        setting: &'static str,
        /// Its former value.
        from: String,
        /// Its new value.
        to: String,
    },
}

impl fmt::Display for TableChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TableChange::Added(subject) => write!(f, "add {subject}"),
            TableChange::Removed(subject) => write!(f, "remove {subject}"),
            TableChange::Changed {
                subject,
                setting,
                from,
                to,
            } => write!(f, "change {setting} of {subject} from {from} to {to}"),
        }
    }
}

/// Finds entries that can never match, and limits that contradict each other.
pub fn review(table: &QueueTable) -> Vec<Finding> {
    let mut findings = Vec::new();
    for queue in &table.queues {
        let problems = unmatched_path(queue)
            .into_iter()
            .chain(shadowed_jobs(table, queue))
            .chain(contradicting_limits(queue))
            .chain(needless_public(table, queue));
        findings.extend(problems.map(|problem| finding(format!("queue {}", queue.name), problem)));
    }
    for service in &table.services {
        if !table.queues.iter().any(|q| q.service == service.name) {
            let subject = format!("service {}", service.name);
            findings.push(finding(subject, "no queue uses it".to_owned()));
        }
    }
    let tenants = table.tenants.iter().flatten();
    for tenant in tenants {
        let problems = tenant_problems(tenant).into_iter();
        findings.extend(problems.map(|problem| finding(tenant_subject(tenant), problem)));
    }
    findings.extend(unusable_table(table));
    findings
}

fn finding(subject: String, problem: String) -> Finding {
    Finding { subject, problem }
}

fn tenant_subject(tenant: &Tenant) -> String {
    format!("tenant {}", tenant.name)
}

/// Why no request can have the host and the path of a queue.
fn unmatched_path(queue: &Queue) -> Option<String> {
    let is_split = |c: char| c.is_whitespace() || matches!(c, '/' | '?' | '#');
    if queue.host.is_empty() || queue.host.contains(is_split) {
        return Some(format!("the host \"{}\" matches no request", queue.host));
    }
    if queue.host.contains(':') {
        let problem = "the host has a port, and requests are matched without it";
        return Some(problem.to_owned());
    }
    let ends_path = |c: char| c.is_whitespace() || matches!(c, '?' | '#');
    if !queue.path_prefix.starts_with('/') || queue.path_prefix.contains(ends_path) {
        let prefix = &queue.path_prefix;
        return Some(format!("the path prefix \"{prefix}\" matches no request"));
    }
    None
}

/// A queue whose longer prefix also begins the paths of jobs of this queue takes these jobs.
fn shadowed_jobs(table: &QueueTable, queue: &Queue) -> Option<String> {
    let takes_jobs = |other: &&Queue| {
        let rest = other.path_prefix.strip_prefix(&*queue.path_prefix);
        let is_key_part = rest.is_some_and(|rest| {
            let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
            (1..=JOB_KEY_DIGITS).contains(&rest.len()) && rest.bytes().all(is_digit)
        });
        is_key_part && other.host.eq_ignore_ascii_case(&queue.host)
    };
    let other = table.queues.iter().find(takes_jobs)?;
    Some(format!("queue {} takes some of its jobs", other.name))
}

fn contradicting_limits(queue: &Queue) -> Vec<String> {
    let mut problems = Vec::new();
    if queue.deadline_factor < 1.0 && queue.target_ms == 0 {
        let factor = queue.deadline_factor;
        problems.push(format!(
            "with a deadline factor of {factor} and no target time every job is late"
        ));
    }
    if let Some(cost) = queue.permits {
        let answered_ms = cost.total_ms(1);
        if answered_ms >= cost.valid_ms {
            let valid_ms = cost.valid_ms;
            problems.push(format!(
                "a permit is valid for {valid_ms} ms, and a request takes {answered_ms} ms"
            ));
        }
    }
    problems
}

fn needless_public(table: &QueueTable, queue: &Queue) -> Option<String> {
    let is_needless = queue.is_public && table.tenants.is_none();
    is_needless.then(|| "it is public, but no queue needs a key without tenants".to_owned())
}

fn tenant_problems(tenant: &Tenant) -> Vec<String> {
    let mut problems = Vec::new();
    if tenant.keys.is_empty() {
        problems.push("it has no key, so no request can be of it".to_owned());
    }
    if tenant.limits.weight == 0.0 {
        let problem = "its weight is 0, so it has no share of full workers";
        problems.push(problem.to_owned());
    }
    problems
}

/// Whether no request can be served at all.
fn unusable_table(table: &QueueTable) -> Option<Finding> {
    let tenants = table.tenants.as_ref()?;
    let has_key = tenants.iter().any(|tenant| !tenant.keys.is_empty());
    let has_public = table.queues.iter().any(|queue| queue.is_public);
    let is_unusable = !has_key && !has_public;
    is_unusable.then(|| {
        let problem = "no tenant has a key and no queue is public: every request is refused";
        finding("table".to_owned(), problem.to_owned())
    })
}

/// What changes if `new` replaces `former`: queues, then services, then tenants.
pub fn compare(former: &QueueTable, new: &QueueTable) -> Vec<TableChange> {
    let mut changes = Changes::default();
    let queue_name = |queue: &Queue| queue.name.clone();
    changes.compare(
        "queue",
        &former.queues,
        &new.queues,
        queue_name,
        queue_settings,
    );
    changes.compare(
        "service",
        &former.services,
        &new.services,
        |service| service.name.clone(),
        service_settings,
    );
    let tenants = |table: &QueueTable| table.tenants.clone().unwrap_or_default();
    let (former_tenants, new_tenants) = (tenants(former), tenants(new));
    let tenant_name = |tenant: &Tenant| tenant.name.clone();
    changes.compare(
        "tenant",
        &former_tenants,
        &new_tenants,
        tenant_name,
        tenant_settings,
    );
    for tenant in &new_tenants {
        if let Some(known) = former_tenants.iter().find(|t| t.name == tenant.name) {
            changes.compare_keys(tenant, &known.keys);
        }
    }
    if former.tenants.is_some() != new.tenants.is_some() {
        let needs = |table: &QueueTable| table.tenants.is_some().to_string();
        changes.changed("table", "needs_keys", needs(former), needs(new));
    }
    changes.0
}

#[derive(Default)]
struct Changes(Vec<TableChange>);

impl Changes {
    /// Compares two lists of entries by their names.
    fn compare<T>(
        &mut self,
        kind: &str,
        former: &[T],
        new: &[T],
        name: impl Fn(&T) -> Arc<str>,
        settings: impl Fn(&T) -> Vec<(&'static str, String)>,
    ) {
        for entry in former {
            if !new.iter().any(|other| name(other) == name(entry)) {
                let subject = format!("{kind} {}", name(entry));
                self.0.push(TableChange::Removed(subject));
            }
        }
        for entry in new {
            let subject = format!("{kind} {}", name(entry));
            let Some(known) = former.iter().find(|other| name(other) == name(entry)) else {
                self.0.push(TableChange::Added(subject));
                continue;
            };
            for ((setting, from), (_, to)) in settings(known).into_iter().zip(settings(entry)) {
                self.changed(&subject, setting, from, to);
            }
        }
    }

    fn compare_keys(&mut self, tenant: &Tenant, former: &[ApiKey]) {
        let subject = tenant_subject(tenant);
        let added = tenant.keys.iter().filter(|key| !former.contains(key));
        let removed = former.iter().filter(|key| !tenant.keys.contains(key));
        let keys = |count: usize| (count > 0).then(|| format!("{count} keys of {subject}"));
        self.0.extend(keys(added.count()).map(TableChange::Added));
        self.0
            .extend(keys(removed.count()).map(TableChange::Removed));
    }

    fn changed(&mut self, subject: &str, setting: &'static str, from: String, to: String) {
        if from != to {
            self.0.push(TableChange::Changed {
                subject: subject.to_owned(),
                setting,
                from,
                to,
            });
        }
    }
}

fn queue_settings(queue: &Queue) -> Vec<(&'static str, String)> {
    let permits = queue.permits.map_or("none".to_owned(), |cost| {
        let (call_ms, worker_ms, valid_ms) = (cost.call_ms, cost.worker_ms, cost.valid_ms);
        format!("{call_ms} ms and {worker_ms} ms a worker, valid for {valid_ms} ms")
    });
    vec![
        ("host", queue.host.to_string()),
        ("path_prefix", queue.path_prefix.to_string()),
        ("service", queue.service.to_string()),
        ("priority", queue.priority.to_string()),
        ("attempts_max", queue.attempts_max.to_string()),
        ("deadline_factor", queue.deadline_factor.to_string()),
        ("target_ms", queue.target_ms.to_string()),
        ("timeout_ms", queue.timeout_ms.to_string()),
        ("permits", permits),
        ("is_public", queue.is_public.to_string()),
    ]
}

fn service_settings(service: &Service) -> Vec<(&'static str, String)> {
    let checks_room = service.workers_check_room.to_string();
    vec![("workers_check_room", checks_room)]
}

fn tenant_settings(tenant: &Tenant) -> Vec<(&'static str, String)> {
    let quota = tenant.limits.quota;
    let amount = |value: u64, max: u64| match value {
        value if value == max => "unlimited".to_owned(),
        value => value.to_string(),
    };
    let accelerators = amount(quota.accelerators.into(), u32::MAX.into());
    vec![
        ("priority", tenant.limits.priority.to_string()),
        ("weight", tenant.limits.weight.to_string()),
        ("quota_millicores", amount(quota.millicores, u64::MAX)),
        ("quota_memory_mib", amount(quota.memory_mib, u64::MAX)),
        ("quota_accelerators", accelerators),
    ]
}
