//! Room for gangs by displacing tasks that lose little.
//!
//! Answers the load pattern in which long tasks of a less urgent queue fill the few workers that
//! the policy allows for a gang. Tasks with checkpoints go on elsewhere from where they were
//! stopped, so a gang that has waited takes their place. A task is displaced a bounded number of
//! times.

use sapphirepost_types::Millis;
use sapphirepost_types::Resources;
use smallvec::SmallVec;

use crate::ids::TaskKey;
use crate::scheduler::Scheduler;
use crate::scheduler::messages::StopReason;
use crate::scheduler::order::Lateness;
use crate::scheduler::order::Rank;
use crate::scheduler::permits::Permission;
use crate::scheduler::reserve::Reservations;
use crate::scheduler::steps::StepView;
use crate::scheduler::workers::RunStage;
use crate::scheduler::workers::WorkerIndex;
use crate::scheduler::workers::WorkerView;

/// A gang waits this long before it displaces others.
const PATIENCE_MS: u64 = 1_200;
/// Room that was freed is kept for the gang this long.
const KEEP_MS: u64 = 1_500;
/// The pause after no room was found.
const RETRY_MS: u64 = 100;
/// How often one task may be displaced.
const DISPLACED_MAX: u32 = 2;
/// A task that is expected to end within this time is not displaced.
const ENDS_SOON_MS: u64 = 500;

/// Workers on which room was made for a gang.
#[derive(Clone, Debug, Default)]
pub struct MadeRoom {
    /// One worker for each member.
    pub workers: Vec<WorkerIndex>,
    /// Until when the room is kept.
    pub until: Millis,
    /// Before this time no room is looked for.
    pub retry: Millis,
}

/// What displacing the least tasks on a worker would give to a gang.
struct Offer {
    index: WorkerIndex,
    /// The members that fit.
    members: usize,
    /// The tasks to stop for them.
    displaced: Vec<(TaskKey, u32)>,
    /// What they take.
    cost_millicores: u64,
}

impl Scheduler {
    /// Makes room for a gang that has waited. Returns whether it did.
    pub(crate) fn preempt(
        &mut self,
        view: &mut StepView,
        reservations: &Reservations,
        now: Millis,
    ) -> bool {
        let waits_since = *view.waits_since.get_or_insert(now);
        let is_in_time = Rank::of(view, now).lateness == Lateness::InTime;
        if now.since(waits_since) < PATIENCE_MS || !is_in_time || now < view.made_room.until {
            return false;
        }
        if now < view.made_room.retry {
            return false;
        }
        view.made_room.retry = now + RETRY_MS;
        let members = view.spec().count as usize;
        let mut offers = self.offers(view, reservations, members, now);
        offers.sort_unstable_by_key(|offer| {
            (offer.cost_millicores / offer.members as u64, offer.index)
        });
        let mut workers = Vec::with_capacity(members);
        let mut displaced = Vec::new();
        for offer in offers {
            let take = offer.members.min(members - workers.len());
            workers.extend(std::iter::repeat_n(offer.index, take));
            displaced.extend(offer.displaced.into_iter().map(|run| (offer.index, run)));
            if workers.len() == members {
                break;
            }
        }
        if workers.len() < members {
            return false;
        }
        for (index, run) in displaced {
            if let Some(step) = self.steps.get_mut(&run.0.step) {
                *step.displaced.entry(run.0.index).or_default() += 1;
            }
            self.give_up(index, run, StopReason::Displaced, now);
        }
        view.made_room = MadeRoom {
            workers,
            until: now + KEEP_MS,
            retry: now + KEEP_MS,
        };
        true
    }

    /// What each allowed worker could give.
    fn offers(
        &self,
        view: &StepView,
        reservations: &Reservations,
        members: usize,
        now: Millis,
    ) -> Vec<Offer> {
        let allowed = self.workers.iter().filter(|(index, worker)| {
            let permission = self.permission(view, *index, now);
            let is_allowed = matches!(permission, Permission::Granted | Permission::Expired);
            is_allowed && worker.is_open(now) && view.suits(worker)
        });
        let offers = allowed.filter_map(|(index, worker)| {
            let room = reservations.room(index, worker, view.key, view.spec().estimate_ms, now);
            self.offer(view, index, worker, room, members, now)
        });
        offers.collect()
    }

    fn offer(
        &self,
        view: &StepView,
        index: WorkerIndex,
        worker: &WorkerView,
        room: Resources,
        members: usize,
        now: Millis,
    ) -> Option<Offer> {
        let need = view.spec().resources;
        let mut victims: SmallVec<[(TaskKey, u32, Resources); 8]> = worker
            .runs
            .iter()
            .filter(|(task, run)| {
                run.stage == RunStage::Running
                    && run.expected_end(now) > now + ENDS_SOON_MS
                    && self.may_displace(view, task)
            })
            .map(|(task, run)| (*task, run.run, run.resources))
            .collect();
        victims.sort_unstable_by_key(|(task, _, room)| (room.millicores, *task));
        let mut offer = Offer {
            index,
            members: 0,
            displaced: Vec::new(),
            cost_millicores: 0,
        };
        let most = view
            .spec()
            .per_worker_max
            .map_or(members, |most| most as usize);
        let (mut room, mut needed) = (room, need);
        let mut pending = Vec::new();
        let mut pending_cost = 0;
        let mut victims = victims.into_iter();
        while offer.members < most.min(members) {
            if needed.fits_in(&room) {
                offer.members += 1;
                offer.displaced.append(&mut pending);
                offer.cost_millicores += std::mem::take(&mut pending_cost);
                needed = needed.saturating_add(&need);
                continue;
            }
            let Some((task, run, freed)) = victims.next() else {
                break;
            };
            room = room.saturating_add(&freed);
            pending.push((task, run));
            pending_cost += freed.millicores;
        }
        (offer.members > 0).then_some(offer)
    }

    /// Whether a task may give its place to a step.
    fn may_displace(&self, view: &StepView, task: &TaskKey) -> bool {
        let Some(step) = self.steps.get(&task.step) else {
            return false;
        };
        let displaced = step.displaced.get(&task.index).copied().unwrap_or(0);
        step.spec().has_checkpoints
            && !step.spec().is_gang
            && step.queue.priority > view.queue.priority
            && displaced < DISPLACED_MAX
    }
}
