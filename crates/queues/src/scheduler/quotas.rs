//! Quotas: limits on what a tenant uses on all workers together.
//!
//! A tenant with many jobs would otherwise take resources that it has not been granted, in memory
//! or accelerators as well as in processor time. A start is proposed only if what may be running
//! already and the start together stay within the quota. A step for which the quota leaves no room
//! waits and withholds nothing from others. Each round looks at its quota again, so that it is
//! tried as soon as a run of its tenant has ended or the table has changed.

use sapphirepost_types::Millis;
use sapphirepost_types::Resources;

use crate::ids::StepKey;
use crate::scheduler::Scheduler;
use crate::scheduler::gangs::Hold;
use crate::scheduler::place::count_fitting;
use crate::scheduler::reservations::Reservations;
use crate::scheduler::steps::StepView;
use crate::scheduler::tenants::TenantIndex;
use crate::scheduler::withheld_time::WithheldTime;
use crate::table::Queue;
use crate::table::QueueTable;
use crate::tenant::JobTenant;
use crate::tenant::TenantLimits;

/// The tenant of a step.
#[derive(Clone, Copy, Debug)]
pub struct StepTenant {
    /// The tenant.
    pub index: TenantIndex,
    /// The limits at the time of the submission, in force if the table lacks the tenant.
    submitted: TenantLimits,
    /// The limits in force.
    pub limits: TenantLimits,
}

impl Scheduler {
    /// The tenant of the steps of a job, with the limits in force.
    pub(crate) fn step_tenant(
        &mut self,
        tenant: Option<&JobTenant>,
        queue: &Queue,
    ) -> Option<StepTenant> {
        let tenant = tenant?;
        self.workers.tenants.service(&queue.service);
        let index = self.workers.tenants.tenant(&tenant.name);
        let in_table = self.workers.tenants.limits(index);
        Some(StepTenant {
            index,
            submitted: tenant.limits,
            limits: in_table.unwrap_or(tenant.limits),
        })
    }

    /// Takes the limits of all tenants from a table. Tenants that it lacks keep the limits with
    /// which their jobs were submitted.
    pub(crate) fn update_limits(&mut self, table: &QueueTable) {
        let tenants = &mut self.workers.tenants;
        tenants.set_limits(table.tenants.as_deref().unwrap_or_default());
        if tenants.is_empty() {
            return;
        }
        for queue in &table.queues {
            tenants.service(&queue.service);
        }
        for tenant in self
            .steps
            .values_mut()
            .filter_map(|view| view.tenant.as_mut())
        {
            tenant.limits = tenants.limits(tenant.index).unwrap_or(tenant.submitted);
        }
    }

    /// How many tasks of a step may start within the quota of its tenant.
    pub(crate) fn quota_room(&self, view: &StepView) -> u32 {
        let Some(tenant) = &view.tenant else {
            return u32::MAX;
        };
        let used = self.workers.tenants.total(tenant.index).resources;
        let left = tenant.limits.quota.saturating_sub(&used);
        count_fitting(view.spec().resources, left)
    }

    /// Whether this leader has met a job or a run of a tenant.
    pub(crate) fn has_tenants(&self) -> bool {
        !self.workers.tenants.is_empty()
    }

    /// Whether nothing of a step may start within the quota of its tenant.
    pub(crate) fn is_at_quota(&self, view: &StepView) -> bool {
        if view.tenant.is_none() {
            return false;
        }
        let needed = match view.spec().is_gang {
            true => view.spec().count,
            false => 1,
        };
        self.quota_room(view) < needed
    }

    /// Whether a committed start of a step may still be sent: its tenant uses no more than the
    /// quota in force of any resource that the step takes. The quota may have been lowered since
    /// the start was proposed.
    pub(crate) fn is_within_quota(&self, step: StepKey) -> bool {
        let view = self.steps.get(&step);
        let Some((view, tenant)) = view.and_then(|view| Some((view, view.tenant?))) else {
            return true;
        };
        let need = view.spec().resources;
        let used = self.workers.tenants.total(tenant.index).resources;
        only_needed(used, need).fits_in(&tenant.limits.quota)
    }

    /// Makes a step that is at the quota of its tenant wait without withholding anything.
    pub(crate) fn wait_for_quota(
        &mut self,
        key: StepKey,
        reservations: &mut Reservations,
        now: Millis,
    ) {
        if reservations.owners().contains(&key) {
            let reserved = reservations.by_owner();
            let reserved = reserved.filter(|(_, owner)| *owner == key);
            reserved.for_each(|(index, _)| self.rounds.note_freed(index));
            reservations.release(key);
        }
        let Some(view) = self.steps.get_mut(&key) else {
            return;
        };
        view.left_out_at = None;
        if std::mem::replace(&mut view.is_at_quota, true) {
            return;
        }
        view.hold = Hold::default();
        view.blocked_since = None;
        view.shortfall = None;
        view.renewal_due = None;
        view.is_without_turn = false;
        view.withheld_time = WithheldTime::default();
        view.permits.drop_need();
        self.drop_isolation(key, now);
    }

    /// Lets a step wait for the quota of its tenant, or lets a round try it if the quota has room
    /// again. Returns whether it waits.
    pub(crate) fn update_wait_for_quota(
        &mut self,
        key: StepKey,
        reservations: &mut Reservations,
        now: Millis,
    ) -> bool {
        let view = self.steps.get(&key);
        let is_at_quota = view.is_some_and(|view| self.is_at_quota(view));
        if is_at_quota {
            self.wait_for_quota(key, reservations, now);
        } else if let Some(view) = self.steps.get_mut(&key)
            && std::mem::take(&mut view.is_at_quota)
        {
            view.tried = None;
        }
        is_at_quota
    }

    /// The tenant of a run that an earlier leader started.
    pub(crate) fn adopted_tenant(&mut self, tenant: Option<&JobTenant>) -> Option<TenantIndex> {
        Some(self.workers.tenants.tenant(&tenant?.name))
    }

    /// Counts again what each tenant uses, for comparison with the totals that are kept by
    /// difference. In the order of [`Scheduler::tenant_usage`].
    pub fn recount_tenant_usage(&self) -> Vec<Resources> {
        let mut recounted = vec![Resources::ZERO; self.workers.tenants.tenants().count()];
        for (_, worker) in self.workers.iter() {
            for run in worker.runs.values() {
                if let Some(key) = run.tenant {
                    let sum = &mut recounted[key.tenant.position()];
                    *sum = sum.saturating_add(&run.resources);
                }
            }
        }
        recounted
    }

    /// What each tenant uses that this leader has met.
    pub fn tenant_usage(&self) -> Vec<Resources> {
        let tenants = self.workers.tenants.tenants();
        let used = tenants.map(|(index, _)| self.workers.tenants.total(index).resources);
        used.collect()
    }
}

/// The amounts in `used` of the resources that `need` has some of.
fn only_needed(used: Resources, need: Resources) -> Resources {
    let if_needed = |used: u64, need: u64| if need > 0 { used } else { 0 };
    Resources {
        millicores: if_needed(used.millicores, need.millicores),
        memory_mib: if_needed(used.memory_mib, need.memory_mib),
        accelerators: if need.accelerators > 0 {
            used.accelerators
        } else {
            0
        },
    }
}
