//! Waits of steps for workers near their data.
//!
//! The module `locality` decides; this one collects what the decision depends on and keeps what
//! follows from it. A wait withholds nothing from other steps: it reserves and holds no worker and
//! preempts no task. It is decided again at intervals and whenever a local worker has new room, so
//! that it ends when the local worker is lost or its runs overrun their estimates.

use std::sync::Arc;

use rustc_hash::FxHashMap;
use sapphirepost_types::Millis;

use crate::ids::StepKey;
use crate::scheduler::Scheduler;
use crate::scheduler::gangs::Hold;
use crate::scheduler::gangs::assign_members;
use crate::scheduler::locality::LocalSlot;
use crate::scheduler::locality::LocalityChoice;
use crate::scheduler::locality::LocalityDecision;
use crate::scheduler::place::Candidate;
use crate::scheduler::placement_counts::VisitKind;
use crate::scheduler::ranking::Rank;
use crate::scheduler::reservations::Reservations;
use crate::scheduler::reservations::slot_times;
use crate::scheduler::retries::Retry;
use crate::scheduler::step_permits::Permission;
use crate::scheduler::steps::StepView;
use crate::scheduler::workers::WorkerIndex;
use crate::scheduler::workers::WorkerView;

/// A wait is decided again after this time, also if no local worker has new room.
const REVIEW_MS: u64 = 250;
/// The labels of all workers are counted again after this time.
const COUNT_LABELS_MS: u64 = 1_000;

/// The wait of a step for workers near its data.
#[derive(Clone, Copy, Debug, Default)]
pub struct LocalityWait {
    /// When a task could first have started remotely and waited instead.
    since: Option<Millis>,
    /// The number of tasks that wait.
    waiting: usize,
    /// When they wait no longer.
    until: Millis,
}

impl LocalityWait {
    /// Whether tasks of the step wait although they could start remotely.
    pub fn is_waiting(&self) -> bool {
        self.waiting > 0
    }

    /// Whether tasks of the step have waited since all of them were last placed.
    fn has_waited(&self, now: Millis) -> bool {
        self.since.is_some_and(|since| since < now)
    }
}

/// The steps that wait for local workers, and the labels that name racks.
#[derive(Debug, Default)]
pub struct LocalityWaits {
    /// The steps that wait for workers with a label.
    by_rack: FxHashMap<Arc<str>, Vec<StepKey>>,
    /// The number of workers with each label.
    label_counts: FxHashMap<Arc<str>, usize>,
    counted_at: Option<Millis>,
}

impl LocalityWaits {
    /// Records that a step waits for the workers of a rack, and of no other one.
    fn claim(&mut self, rack: &Arc<str>, step: StepKey) {
        self.release(step);
        self.by_rack.entry(rack.clone()).or_default().push(step);
    }

    /// Records that a step does not wait for local workers any more.
    pub(crate) fn release(&mut self, step: StepKey) {
        self.by_rack.retain(|_, steps| {
            steps.retain(|known| *known != step);
            !steps.is_empty()
        });
    }

    /// The label of a worker that names its rack: the one with the fewest workers, since the others
    /// name kinds of workers.
    pub(crate) fn rack<'a>(&self, worker: &'a WorkerView) -> Option<&'a Arc<str>> {
        let count = |label: &&Arc<str>| self.label_counts.get(*label).copied().unwrap_or(0);
        worker.record.labels.iter().min_by_key(count)
    }
}

impl StepView {
    /// Whether all waiting tasks wait for a local worker, so that others are of no use to them.
    fn waits_for_local_only(&self) -> bool {
        self.locality.is_waiting() && self.locality.waiting >= self.waiting.len()
    }

    /// Whether tasks of the step could use room on a worker while others wait for local workers.
    pub(crate) fn can_use_room_on(&self, worker: &WorkerView) -> bool {
        let rack = self.spec().preferred_rack.as_ref();
        let is_local = rack.is_none_or(|rack| worker.record.has_label(rack));
        self.spec().is_gang || is_local || !self.waits_for_local_only()
    }

    /// When a step whose tasks wait for local workers is tried again.
    pub(crate) fn locality_review(&self, retry_ms: u64, now: Millis) -> Option<Retry> {
        let at = (now + REVIEW_MS).min(self.locality.until);
        let is_waiting = self.locality.is_waiting();
        is_waiting.then_some(Retry::At(at.max(now + retry_ms)))
    }

    /// Ends the wait of a step whose tasks are all placed.
    pub(crate) fn end_locality_wait(&mut self) {
        if self.waiting.is_empty() {
            self.locality = LocalityWait::default();
        }
    }
}

impl Scheduler {
    fn has_remote_runs(&self) -> bool {
        self.config.remote_factor > 1.0
    }

    /// Whether a run of the step on this worker would be remote from its data. Only the workers of
    /// all members tell that for a gang.
    pub(crate) fn is_remote(&self, view: &StepView, worker: &WorkerView) -> bool {
        let rack = view.spec().preferred_rack.as_ref();
        self.has_remote_runs()
            && !view.spec().is_gang
            && rack.is_some_and(|rack| !worker.record.has_label(rack))
    }

    /// Whether a gang that should be on one rack is on several if its members are on these workers.
    pub(crate) fn is_spread(&self, view: &StepView, placements: &[(u32, WorkerIndex)]) -> bool {
        if !self.is_rack_gang(view) {
            return false;
        }
        let workers = placements
            .iter()
            .filter_map(|(_, index)| self.workers.get(*index));
        let mut racks = workers.map(|worker| self.locality.rack(worker));
        let first = racks.next().flatten();
        first.is_none() || racks.any(|rack| rack != first)
    }

    /// By how much longer a run takes, as a factor, because it is remote.
    pub(crate) fn remote_factor(&self, is_remote: bool) -> f64 {
        if is_remote {
            self.config.remote_factor
        } else {
            1.0
        }
    }

    /// Counts tasks that start, remotely or not.
    pub(crate) fn count_locality(&mut self, view: &StepView, is_remote: bool, now: Millis) {
        let has_rack = view.spec().preferred_rack.is_some() && !view.spec().is_gang;
        if !self.has_remote_runs() || !(has_rack || self.is_rack_gang(view)) {
            return;
        }
        let counts = &mut self.tally.counts;
        counts.remote_tasks += u64::from(is_remote);
        counts.local_tasks_after_wait += u64::from(!is_remote && view.locality.has_waited(now));
    }

    fn is_rack_gang(&self, view: &StepView) -> bool {
        let spec = view.spec();
        self.has_remote_runs() && spec.is_gang && spec.is_single_rack && spec.count > 1
    }

    /// The labels of a worker that may name its rack.
    pub(crate) fn rack_labels<'a>(&self, worker: &'a WorkerView) -> Vec<&'a Arc<str>> {
        if self.has_remote_runs() {
            self.locality.rack(worker).into_iter().collect()
        } else {
            worker.record.labels.iter().collect()
        }
    }

    /// How many of `tasks` tasks of a step may start remotely now. Records in the step how many
    /// wait for local workers instead.
    pub(crate) fn remote_starts_max(
        &mut self,
        view: &mut StepView,
        candidates: &[Candidate],
        tasks: usize,
        reservations: &Reservations,
        now: Millis,
    ) -> u32 {
        let Some(rack) = view.spec().preferred_rack.clone() else {
            return u32::MAX;
        };
        if !self.has_remote_runs() || view.spec().is_service {
            return u32::MAX;
        }
        let granted = || {
            candidates
                .iter()
                .filter(|c| c.permission == Permission::Granted)
        };
        let local = granted()
            .filter(|c| c.is_preferred)
            .map(|c| c.fits as usize);
        let rest = tasks.saturating_sub(local.sum());
        let remote = granted().filter(|c| !c.is_preferred).map(|c| c.slowdown);
        let fastest_remote = remote.min_by(f64::total_cmp);
        let (Some(slowdown), true) = (fastest_remote, rest > 0) else {
            self.stop_waiting(view);
            return u32::MAX;
        };
        let is_local = |worker: &WorkerView| worker.record.has_label(&rack);
        let mut slots = self.local_slots(view, reservations, tasks, is_local, now);
        // Local room that is free now is taken in this attempt, except with an expired permit.
        let usable_now = tasks - rest;
        slots.sort_unstable_by_key(|slot| slot.at);
        let slots = slots.get(usable_now.min(slots.len())..).unwrap_or(&[]);
        let claimed = self.claimed_slots(view, &rack, now);
        let decision = self.decide_locality(view, slowdown, rest, slots, claimed, now);
        self.record_decision(view, &rack, decision, now);
        (rest - decision.waiting) as u32
    }

    /// Whether a gang that could start on several racks now waits for room on one.
    pub(crate) fn waits_for_rack(
        &mut self,
        view: &mut StepView,
        candidates: &[Candidate],
        reservations: &Reservations,
        now: Millis,
    ) -> bool {
        if !self.is_rack_gang(view) || view.spec().is_service {
            return false;
        }
        self.count_labels(now);
        let members = view.spec().count as usize;
        let granted: Vec<&Candidate> = candidates
            .iter()
            .filter(|c| c.permission == Permission::Granted)
            .collect();
        let spread = assign_members(granted.iter().copied(), members);
        let has_rack = self.choose_rack(&granted, members).is_some();
        let Some(spread) = spread.filter(|_| !has_rack) else {
            self.stop_waiting(view);
            return false;
        };
        let allowed: Vec<&Candidate> = candidates.iter().filter(|c| c.is_allowed()).collect();
        if let Some(chosen) = self.choose_rack(&allowed, members) {
            self.renew_permits(view, chosen, now);
        }
        let placements: Vec<(u32, WorkerIndex)> = spread.into_iter().map(|w| (0, w)).collect();
        let slowdown = self.gang_slowdown(view, &placements).unwrap_or(1.0);
        let Some((rack, slot)) = self.rack_slot(view, reservations, members, now) else {
            self.stop_waiting(view);
            return false;
        };
        let decision = self.decide_locality(view, slowdown, 1, &[slot], 0, now);
        self.record_decision(view, &rack, decision, now);
        if view.locality.is_waiting() {
            view.hold = Hold::default();
        }
        view.locality.is_waiting()
    }

    /// The rack on which a gang is expected to have room first, and when.
    fn rack_slot(
        &self,
        view: &StepView,
        reservations: &Reservations,
        members: usize,
        now: Millis,
    ) -> Option<(Arc<str>, LocalSlot)> {
        let mut by_rack: FxHashMap<Arc<str>, Vec<LocalSlot>> = FxHashMap::default();
        for (index, worker) in self.possible_workers(view) {
            self.count_visits(VisitKind::Locality, 1);
            let Some(rack) = self.locality.rack(worker) else {
                continue;
            };
            let slots = self.worker_slots(view, reservations, (index, worker), members, now);
            by_rack.entry(rack.clone()).or_default().extend(slots);
        }
        let slots = by_rack.into_iter().filter_map(|(rack, mut slots)| {
            slots.sort_unstable_by_key(|slot| slot.at);
            let claimed = self.claimed_slots(view, &rack, now);
            let used = slots.get(claimed..claimed + members)?;
            let at = used.last()?.at;
            let run_ms = used.iter().map(|slot| slot.run_ms).max()?;
            Some((rack, LocalSlot { at, run_ms }))
        });
        slots.min_by(|(a, first), (b, second)| (first.at, a).cmp(&(second.at, b)))
    }

    /// The expected room for tasks of a step on workers near its data.
    fn local_slots(
        &self,
        view: &StepView,
        reservations: &Reservations,
        tasks: usize,
        is_local: impl Fn(&WorkerView) -> bool,
        now: Millis,
    ) -> Vec<LocalSlot> {
        let mut slots = Vec::new();
        for (index, worker) in self.possible_workers(view) {
            self.count_visits(VisitKind::Locality, 1);
            if is_local(worker) {
                slots.extend(self.worker_slots(view, reservations, (index, worker), tasks, now));
            }
        }
        slots
    }

    fn worker_slots(
        &self,
        view: &StepView,
        reservations: &Reservations,
        (index, worker): (WorkerIndex, &WorkerView),
        tasks: usize,
        now: Millis,
    ) -> Vec<LocalSlot> {
        let permission = self.permission(view, index, now);
        let is_allowed = matches!(permission, Permission::Granted | Permission::Expired);
        let is_usable = is_allowed
            && worker.accepts_tasks(now)
            && view.can_run_on(worker)
            && self.may_use(view, index)
            && !view.rejections.is_paused(index, now)
            && !worker.is_closed_to(view.key.job, now);
        if !is_usable {
            return Vec::new();
        }
        let per_worker = view.spec().per_worker_max.map_or(tasks, |max| max as usize);
        let reserved = reservations.total_reserved(index, view.key);
        let run_ms = (view.usual_ms as f64 * self.speed_factor(worker)) as u64;
        let resources = view.spec().resources;
        let times = slot_times(worker, resources, reserved, tasks.min(per_worker), now);
        times
            .into_iter()
            .map(|at| LocalSlot { at, run_ms })
            .collect()
    }

    /// The number of slots for tasks of a step that steps ranked before it wait for on a rack.
    fn claimed_slots(&self, view: &StepView, rack: &Arc<str>, now: Millis) -> usize {
        let Some(steps) = self.locality.by_rack.get(rack) else {
            return 0;
        };
        self.count_visits(VisitKind::Locality, steps.len());
        let rank = Rank::of(view, now);
        let others = steps.iter().filter(|key| **key != view.key);
        let others = others.filter_map(|key| self.steps.get(key));
        let ahead = others.filter(|other| Rank::of(other, now) < rank);
        let claimed = ahead.map(|other| {
            let waiting = other.locality.waiting.min(other.waiting.len());
            waiting as u64 * other.spec().resources.millicores
        });
        let claimed: u64 = claimed.sum();
        claimed.div_ceil(view.spec().resources.millicores.max(1)) as usize
    }

    fn decide_locality(
        &self,
        view: &StepView,
        remote_slowdown: f64,
        tasks: usize,
        slots: &[LocalSlot],
        claimed: usize,
        now: Millis,
    ) -> LocalityDecision {
        let usual_ms = view.usual_ms as f64;
        let factor = self.config.remote_factor;
        let choice = LocalityChoice {
            since: view.locality.since.unwrap_or(now),
            saving_ms: (usual_ms * (factor - 1.0)) as u64,
            remote_ms: (usual_ms * factor * remote_slowdown) as u64,
            rest_ms: view.remaining_path_ms.saturating_sub(view.usual_ms),
            deadline: view.deadline,
            tasks,
            slots,
            claimed,
        };
        choice.decide(now)
    }

    fn record_decision(
        &mut self,
        view: &mut StepView,
        rack: &Arc<str>,
        decision: LocalityDecision,
        now: Millis,
    ) {
        let has_expired =
            view.locality.is_waiting() && decision.waiting == 0 && decision.is_bounded;
        self.tally.counts.expired_locality_waits += u64::from(has_expired);
        let is_gang = view.spec().is_gang;
        let members = if is_gang { view.waiting.len() } else { 1 };
        view.locality.waiting = decision.waiting * members;
        view.locality.until = decision.until;
        if view.locality.is_waiting() {
            view.locality.since.get_or_insert(now);
            self.locality.claim(rack, view.key);
        } else {
            self.locality.release(view.key);
        }
    }

    fn stop_waiting(&mut self, view: &mut StepView) {
        view.locality.waiting = 0;
        self.locality.release(view.key);
    }

    /// Requests permits for the tasks of a step that do not wait for local workers, or fresh
    /// permits on local workers.
    pub(crate) fn request_useful_permits(
        &mut self,
        view: &mut StepView,
        candidates: &[Candidate],
        now: Millis,
    ) {
        if !view.waits_for_local_only() {
            return self.request_permits(view, candidates, now);
        }
        let local = candidates.iter().filter(|c| c.is_preferred);
        let expired = local.filter(|c| c.permission == Permission::Expired);
        let expired: Vec<WorkerIndex> = expired.map(|c| c.index).collect();
        if !expired.is_empty() {
            self.renew_permits(view, expired, now);
        }
    }

    /// Counts the workers with each label, if that is due.
    fn count_labels(&mut self, now: Millis) {
        let counted_at = self.locality.counted_at;
        if counted_at.is_some_and(|at| now.since(at) < COUNT_LABELS_MS) {
            return;
        }
        self.count_visits(VisitKind::Locality, self.workers.len());
        let mut counts: FxHashMap<Arc<str>, usize> = FxHashMap::default();
        for (_, worker) in self.workers.iter() {
            for label in &worker.record.labels {
                *counts.entry(label.clone()).or_default() += 1;
            }
        }
        self.locality.label_counts = counts;
        self.locality.counted_at = Some(now);
    }
}
