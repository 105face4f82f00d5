//! Placement of gangs.
//!
//! Answers the load pattern in which a gang needs room on several nearly full workers at once. A
//! gang takes all or nothing. One that does not fit waits for fresh permits with its room held,
//! displaces checkpointed tasks, or is given a reservation.

use std::sync::Arc;

use sapphirepost_types::Millis;

use crate::scheduler::Scheduler;
use crate::scheduler::place::Candidate;
use crate::scheduler::reserve::Reservations;
use crate::scheduler::reserve::slot_times;
use crate::scheduler::step_permits::Permission;
use crate::scheduler::step_permits::Wanted;
use crate::scheduler::steps::StepView;
use crate::scheduler::workers::WorkerIndex;
use crate::state::QueueState;

impl Scheduler {
    /// The reservations of gangs for which room is being made.
    pub(crate) fn made_room(&self, now: Millis) -> Reservations {
        let mut reservations = Reservations::default();
        let made = self
            .steps
            .values()
            .filter(|view| now < view.made_room.until);
        for view in made {
            self.hold_now(view, &view.made_room.workers, &mut reservations, now);
        }
        reservations
    }

    /// Places a gang, or keeps room for it. Returns whether it holds a reservation.
    pub(crate) fn place_gang(
        &mut self,
        state: &QueueState,
        view: &mut StepView,
        reservations: &mut Reservations,
        may_reserve: bool,
        now: Millis,
    ) -> bool {
        let members = view.spec().count as usize;
        // A gang starts anew only when all members of the last run are gone.
        if view.waiting.len() < members {
            return false;
        }
        reservations.release(view.key);
        let candidates = self.candidates(view, reservations, now);
        let job = state.job(view.key.job).filter(|_| view.is_committed);
        let granted = self.choose(view, &candidates, &[Permission::Granted], members);
        if let (Some(job), Some(chosen)) = (job, &granted) {
            let indexes = view.waiting.iter().copied().collect::<Vec<_>>();
            let placements: Vec<_> = indexes.into_iter().zip(chosen.iter().copied()).collect();
            self.start(job, view, &placements, now);
            return false;
        }
        let allowed = [Permission::Granted, Permission::Expired];
        if let Some(chosen) = self.choose(view, &candidates, &allowed, members) {
            self.hold_now(view, &chosen, reservations, now);
            self.renew_permits(view, chosen, now);
            return true;
        }
        if !view.permits.is_asking() {
            view.permits.want(Wanted::More, now);
        }
        if now < view.made_room.until || self.preempt(view, reservations, now) {
            self.hold_now(view, &view.made_room.workers, reservations, now);
            return true;
        }
        may_reserve && self.reserve(view, reservations, now)
    }

    /// Asks for fresh permits on workers, if some have expired there. Those that expire before the
    /// answer comes are renewed too, since the gang needs all of them at one time.
    fn renew_permits(&self, view: &mut StepView, mut workers: Vec<WorkerIndex>, now: Millis) {
        let Some(cost) = view.queue.permits else {
            return;
        };
        workers.sort_unstable();
        workers.dedup();
        let is_expired = |view: &StepView, index: &WorkerIndex, at: Millis| {
            self.permission(view, *index, at) == Permission::Expired
        };
        if !workers.iter().any(|index| is_expired(view, index, now)) {
            return;
        }
        let answered = now + cost.total_ms(workers.len());
        workers.retain(|index| is_expired(view, index, answered));
        // A question may not name all of them.
        workers.sort_by_key(|index| !is_expired(view, index, now));
        view.permits.want(Wanted::Renewal(workers), now);
    }

    /// Workers for all members of a gang, one for each.
    fn choose(
        &self,
        view: &StepView,
        candidates: &[Candidate],
        permissions: &[Permission],
        members: usize,
    ) -> Option<Vec<WorkerIndex>> {
        let mut usable: Vec<&Candidate> = candidates
            .iter()
            .filter(|c| permissions.contains(&c.permission))
            .collect();
        let is_granted = |c: &Candidate| c.permission == Permission::Granted;
        usable.sort_unstable_by_key(|c| {
            (
                c.is_avoided,
                !is_granted(c),
                c.pace_percent / 50,
                c.left_millicores,
                c.index,
            )
        });
        if view.spec().is_single_rack
            && let Some(chosen) = self.choose_rack(&usable, members)
        {
            return Some(chosen);
        }
        take_slots(usable.into_iter(), members)
    }

    /// Workers of one rack for all members.
    fn choose_rack(&self, usable: &[&Candidate], members: usize) -> Option<Vec<WorkerIndex>> {
        let mut racks: Vec<Arc<str>> = Vec::new();
        for candidate in usable {
            let worker = self.workers.get(candidate.index)?;
            for label in &worker.record.labels {
                if !racks.contains(label) {
                    racks.push(label.clone());
                }
            }
        }
        // Labels name kinds and racks; the narrowest one that holds the gang is the best.
        let holding = racks.into_iter().filter_map(|rack| {
            let there = usable.iter().copied().filter(|c| {
                let worker = self.workers.get(c.index);
                worker.is_some_and(|worker| worker.record.has_label(&rack))
            });
            let there: Vec<&Candidate> = there.collect();
            let size = there.len();
            take_slots(there.into_iter(), members).map(|chosen| (size, chosen))
        });
        holding
            .min_by_key(|(size, _)| *size)
            .map(|(_, chosen)| chosen)
    }

    fn hold_now(
        &self,
        view: &StepView,
        chosen: &[WorkerIndex],
        reservations: &mut Reservations,
        now: Millis,
    ) {
        for index in chosen {
            reservations.keep(*index, view.key, now, view.spec().resources);
        }
    }

    /// Keeps the room that is expected to be free earliest for all members.
    fn reserve(&self, view: &StepView, reservations: &mut Reservations, now: Millis) -> bool {
        let (spec, members) = (view.spec(), view.spec().count as usize);
        let mut slots: Vec<(Millis, WorkerIndex)> = Vec::new();
        for (index, worker) in self.workers.iter() {
            let permission = self.permission(view, index, now);
            let is_allowed = matches!(permission, Permission::Granted | Permission::Expired);
            if !is_allowed || !worker.is_open(now) || !view.suits(worker) {
                continue;
            }
            let most = spec
                .per_worker_max
                .map_or(members, |most| members.min(most as usize));
            let kept = reservations.total(index, view.key);
            let times = slot_times(worker, spec.resources, kept, most, now);
            slots.extend(times.into_iter().map(|at| (at, index)));
        }
        slots.sort_unstable();
        let Some(last) = slots.get(members - 1).map(|(at, _)| *at) else {
            return false;
        };
        for (_, index) in &slots[..members] {
            reservations.keep(*index, view.key, last, spec.resources);
        }
        true
    }
}

/// One worker for each member, in the order of the candidates.
fn take_slots<'a>(
    candidates: impl Iterator<Item = &'a Candidate>,
    members: usize,
) -> Option<Vec<WorkerIndex>> {
    let mut chosen = Vec::with_capacity(members);
    for candidate in candidates {
        let left = members - chosen.len();
        let take = left.min(candidate.fits as usize);
        chosen.extend(std::iter::repeat_n(candidate.index, take));
        if chosen.len() == members {
            return Some(chosen);
        }
    }
    None
}
