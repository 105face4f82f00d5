//! Shares of the tenants in the workers of a service.
//!
//! A tenant with many jobs would otherwise fill the workers and let the others wait for the ends of
//! its tasks. The dominant share of a tenant is the largest of the fractions of processor, memory
//! and accelerators of a service that its runs take, and its fair share is its weight divided by
//! the weights of all tenants that wait or run there. Once the dominant share of a tenant reaches
//! the fair one, its steps come after those of all tenants for which it does not. It still gets
//! what the others leave.
//!
//! A round may place a lot, for instance after an election. A step of a tenant within its share
//! therefore starts only as many tasks as bring the tenant to it; the rest of the step is tried
//! after the steps of the other tenants. While a step of a tenant within its share still waits
//! then, steps of tenants over theirs reserve, hold and preempt nothing in the service.
//!
//! Steps without a tenant have no share of a service in which tenants wait or run.

use sapphirepost_types::Millis;
use sapphirepost_types::Resources;

use crate::ids::StepKey;
use crate::scheduler::Scheduler;
use crate::scheduler::ranking::Rank;
use crate::scheduler::steps::StepView;
use crate::scheduler::tenants::RunTenant;
use crate::scheduler::tenants::ServiceIndex;

/// Shares that differ by less are equal: sums of fractions are not exact.
const ROUNDING: f64 = 1e-9;

/// Amounts of all kinds of resources, which may be larger than those of one worker can be.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Amounts {
    /// Thousandths of a core.
    pub millicores: f64,
    /// MiB of memory.
    pub memory_mib: f64,
    /// Accelerators.
    pub accelerators: f64,
}

impl Amounts {
    fn pairs(&self, other: Resources) -> [(f64, f64); 3] {
        [
            (self.millicores, other.millicores as f64),
            (self.memory_mib, other.memory_mib as f64),
            (self.accelerators, f64::from(other.accelerators)),
        ]
    }
}

/// The shares in one service, as of the last round.
#[derive(Clone, Debug, Default)]
struct ServiceShares {
    capacity: Amounts,
    /// The weights of the tenants that wait or run there; `None` for the others.
    weights: Vec<Option<f64>>,
    weight_sum: f64,
    /// Whether a step of a tenant within its share waited there after all such steps were tried.
    has_waiting_within: bool,
}

impl ServiceShares {
    fn set_weight(&mut self, key: RunTenant, weight: f64) {
        let position = key.tenant.position();
        if self.weights.len() <= position {
            self.weights.resize(position + 1, None);
        }
        if self.weights[position].replace(weight).is_none() {
            self.weight_sum += weight;
        }
    }

    fn has_tenants(&self) -> bool {
        self.weights.iter().any(Option::is_some)
    }

    /// The fair share of a tenant. If no weight is above 0, nobody is over a share.
    fn fair_share(&self, key: RunTenant) -> f64 {
        let weight = self.weights.get(key.tenant.position());
        let weight = weight.copied().flatten();
        match (weight, self.weight_sum > 0.0) {
            (Some(weight), true) => weight / self.weight_sum,
            _ => 1.0,
        }
    }

    fn dominant_share(&self, used: Resources) -> f64 {
        let pairs = self.capacity.pairs(used);
        let fractions = pairs.into_iter().filter(|(capacity, _)| *capacity > 0.0);
        let fractions = fractions.map(|(capacity, used)| used / capacity);
        fractions.fold(0.0, f64::max)
    }

    /// How many tasks start until the tenant has used up its share, at least one.
    fn tasks_within(&self, key: RunTenant, used: Resources, task: Resources) -> u32 {
        let fair_share = self.fair_share(key);
        let used = self.capacity.pairs(used);
        let task = self.capacity.pairs(task);
        let tasks = used.iter().zip(task).map(|((capacity, used), (_, each))| {
            let left = (fair_share * capacity - used).max(0.0);
            if each > 0.0 && *capacity > 0.0 {
                (left / each - ROUNDING).ceil()
            } else {
                f64::MAX
            }
        });
        let tasks = tasks.fold(f64::MAX, f64::min);
        (tasks as u32).max(1)
    }
}

/// The shares in all services in which tenants wait or run.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    services: Vec<ServiceShares>,
}

impl Shares {
    fn service(&self, service: ServiceIndex) -> Option<&ServiceShares> {
        self.services.get(service.position())
    }

    fn service_mut(&mut self, service: ServiceIndex) -> &mut ServiceShares {
        if self.services.len() <= service.position() {
            let services = service.position() + 1;
            self.services.resize(services, ServiceShares::default());
        }
        &mut self.services[service.position()]
    }

    /// Records that a step of a tenant within its share waits.
    fn note_waiting_within(&mut self, service: ServiceIndex) {
        self.service_mut(service).has_waiting_within = true;
    }

    /// Begins to record the steps of this round that wait.
    pub(crate) fn forget_waiting(&mut self) {
        for service in &mut self.services {
            service.has_waiting_within = false;
        }
    }
}

/// A waiting step of a round, for the comparison of shares.
#[derive(Clone, Copy, Debug)]
pub(super) struct ShareEntry {
    service: ServiceIndex,
    key: Option<RunTenant>,
    weight: f64,
}

impl Scheduler {
    /// The tenant and the service of a waiting step, for the shares of this round.
    pub(super) fn share_entry(&self, view: &StepView) -> Option<ShareEntry> {
        let service = self.workers.tenants.known_service(&view.queue.service)?;
        let key = |tenant| RunTenant { tenant, service };
        Some(ShareEntry {
            service,
            key: view.tenant.map(|tenant| key(tenant.index)),
            weight: view.tenant.map_or(0.0, |tenant| tenant.limits.weight),
        })
    }

    /// Computes the shares at the beginning of a round, and sets for each waiting step whether its
    /// tenant is over its share.
    pub(super) fn update_shares(
        &mut self,
        order: &mut [(Millis, Rank)],
        entries: &[Option<ShareEntry>],
    ) {
        self.rounds.shares = self.running_shares();
        for entry in entries.iter().flatten() {
            if let Some(key) = entry.key {
                let service = self.rounds.shares.service_mut(entry.service);
                service.set_weight(key, entry.weight);
            }
        }
        for ((_, rank), entry) in order.iter_mut().zip(entries) {
            let is_over = entry.is_some_and(|entry| self.is_entry_over_share(entry));
            if rank.is_over_share != is_over {
                rank.is_over_share = is_over;
                if let Some(view) = self.steps.get_mut(&rank.key) {
                    view.is_over_share = is_over;
                }
            }
        }
    }

    /// The shares of the tenants that run tasks, with the capacity of each service.
    fn running_shares(&self) -> Shares {
        let tenants = &self.workers.tenants;
        let mut shares = Shares::default();
        for (service, name) in tenants.services() {
            let before = self.rounds.shares.service(service);
            let has_waiting_within = before.is_some_and(|known| known.has_waiting_within);
            let known = shares.service_mut(service);
            known.capacity = self.rounds.capacity.service_amounts(name);
            known.has_waiting_within = has_waiting_within;
            for (tenant, _) in tenants.tenants() {
                let key = RunTenant { tenant, service };
                if tenants.in_service(key).runs > 0 {
                    let limits = tenants.limits(tenant);
                    known.set_weight(key, limits.map_or(0.0, |limits| limits.weight));
                }
            }
        }
        shares
    }

    fn is_entry_over_share(&self, entry: ShareEntry) -> bool {
        let Some(shares) = self.rounds.shares.service(entry.service) else {
            return false;
        };
        match entry.key {
            Some(key) => {
                let used = self.workers.tenants.in_service(key).resources;
                shares.dominant_share(used) >= shares.fair_share(key) - ROUNDING
            }
            None => shares.has_tenants(),
        }
    }

    /// Whether the tenant of a step has used up its share now: it has no less than its fair share.
    pub(crate) fn is_over_share(&self, view: &StepView) -> bool {
        let entry = self.share_entry(view);
        entry.is_some_and(|entry| self.is_entry_over_share(entry))
    }

    /// How many tasks of a step may start in one attempt: within the quota, and of a tenant within
    /// its share until that is used up.
    pub(crate) fn start_limit(&self, view: &StepView) -> u32 {
        self.quota_room(view).min(self.share_room(view))
    }

    fn share_room(&self, view: &StepView) -> u32 {
        let entry = view.tenant.and_then(|_| self.share_entry(view));
        let Some(entry) = entry.filter(|_| !view.is_over_share) else {
            return u32::MAX;
        };
        let shares = self.rounds.shares.service(entry.service);
        let (Some(shares), Some(key)) = (shares, entry.key) else {
            return u32::MAX;
        };
        let used = self.workers.tenants.in_service(key).resources;
        shares.tasks_within(key, used, view.spec().resources)
    }

    /// Sets whether the tenant of a step is over its share after the starts of this round so far.
    /// Returns whether it is.
    pub(super) fn refresh_share(&mut self, step: StepKey) -> bool {
        let view = self.steps.get(&step);
        let is_over = view.is_some_and(|view| self.is_over_share(view));
        if let Some(view) = self.steps.get_mut(&step) {
            view.is_over_share = is_over;
        }
        is_over
    }

    /// Handles a step that was tried while its tenant was within its share. Returns whether the
    /// rest of it is to be tried after the steps of the other tenants.
    pub(super) fn share_is_used_up(&mut self, step: StepKey) -> bool {
        let view = self.steps.get(&step);
        let waits = |view: &&StepView| view.is_ready && view.is_committed;
        let waiting = view.filter(|view| !view.waiting.is_empty() && !view.is_at_quota);
        let Some(entry) = waiting
            .filter(waits)
            .and_then(|view| self.share_entry(view))
        else {
            return false;
        };
        if !self.refresh_share(step) {
            self.rounds.shares.note_waiting_within(entry.service);
            return false;
        }
        if let Some(view) = self.steps.get_mut(&step) {
            view.tried = None;
        }
        true
    }

    /// Whether a step may not reserve, hold, preempt or isolate anything: its tenant is over its
    /// share, and a step of a tenant within its share waits in the service.
    pub(crate) fn yields_to_shares(&self, view: &StepView) -> bool {
        if !view.is_over_share {
            return false;
        }
        let entry = self.share_entry(view);
        let shares = entry.and_then(|entry| self.rounds.shares.service(entry.service));
        shares.is_some_and(|shares| shares.has_waiting_within)
    }

    /// Whether a gang of a tenant over its share would preempt a task of a tenant within its share.
    pub(crate) fn would_preempt_within_share(&self, gang: &StepView, preempted: &StepView) -> bool {
        gang.is_over_share && preempted.tenant.is_some() && !self.is_over_share(preempted)
    }
}
