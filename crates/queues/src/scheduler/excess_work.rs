//! The waiting work of admitted jobs that are beyond the rates of their tenants.
//!
//! It is left out when a job of another tenant is compared with the backlog. The sums are as of the
//! last update, which passes over all such jobs and is therefore made at intervals.

use std::sync::Arc;

use rustc_hash::FxHashMap;
use sapphirepost_types::Millis;

use crate::ids::JobKey;
use crate::ids::StepKey;
use crate::scheduler::backlog::Backlog;
use crate::scheduler::ranking::Rank;
use crate::scheduler::steps::StepView;

/// The shortest time between two updates.
const UPDATE_MIN_MS: u64 = 20;
/// The number of jobs that lengthens this time by a millisecond.
const JOBS_PER_UPDATE_MS: usize = 16;
/// Jobs that have ended are dropped at the latest when this many jobs have been added since the last
/// time, which bounds the memory.
const ADDED_MAX: usize = 1_024;

/// The admitted jobs beyond the rates of their tenants, and their waiting work.
#[derive(Debug, Default)]
pub struct ExcessWork {
    /// The names of the tenants of the jobs. Some of the jobs have ended.
    jobs: FxHashMap<JobKey, Arc<str>>,
    /// The number of jobs when ended ones were last dropped.
    kept: usize,
    updated_at: Option<Millis>,
    by_tenant: Vec<(Arc<str>, Backlog)>,
}

impl ExcessWork {
    /// Adds an admitted job. `job_steps` has the jobs that have not ended.
    pub fn add(&mut self, job: JobKey, tenant: &Arc<str>, job_steps: &FxHashMap<JobKey, u16>) {
        if self.jobs.len() >= self.kept + ADDED_MAX {
            self.drop_ended(job_steps);
        }
        self.jobs.insert(job, tenant.clone());
    }

    /// Sums up the waiting work again, if that is due.
    pub fn update(
        &mut self,
        job_steps: &FxHashMap<JobKey, u16>,
        steps: &FxHashMap<StepKey, StepView>,
        now: Millis,
    ) {
        let interval_ms = UPDATE_MIN_MS + (self.jobs.len() / JOBS_PER_UPDATE_MS) as u64;
        let is_recent = |at: Millis| now.since(at) < interval_ms;
        if self.updated_at.is_some_and(is_recent) {
            return;
        }
        self.updated_at = Some(now);
        self.by_tenant.clear();
        self.drop_ended(job_steps);
        for (job, tenant) in &self.jobs {
            let keys = (0..job_steps[job]).map(|step| StepKey { job: *job, step });
            let views = keys.filter_map(|key| steps.get(&key));
            for view in views.filter(|view| !view.waiting.is_empty()) {
                let backlog = backlog_of(&mut self.by_tenant, tenant);
                backlog.add_step(view, &Rank::of(view, now));
            }
        }
    }

    /// The waiting work beyond the rates of all tenants but one.
    pub fn of_others<'a>(&'a self, tenant: &'a str) -> impl Iterator<Item = &'a Backlog> {
        let others = self.by_tenant.iter();
        let others = others.filter(move |(name, _)| **name != *tenant);
        others.map(|(_, backlog)| backlog)
    }

    fn drop_ended(&mut self, job_steps: &FxHashMap<JobKey, u16>) {
        self.jobs.retain(|job, _| job_steps.contains_key(job));
        self.kept = self.jobs.len();
    }
}

fn backlog_of<'a>(
    by_tenant: &'a mut Vec<(Arc<str>, Backlog)>,
    tenant: &Arc<str>,
) -> &'a mut Backlog {
    let known = by_tenant.iter().position(|(name, _)| name == tenant);
    let position = known.unwrap_or_else(|| {
        by_tenant.push((tenant.clone(), Backlog::default()));
        by_tenant.len() - 1
    });
    &mut by_tenant[position].1
}
