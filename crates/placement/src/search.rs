//! The search for a worker with enough free capacity.
//!
//! The search scores a bounded sample of the fitting workers, beginning with those that have the
//! least free capacity of the scarcest resource, and picks the best score (best fit).

use std::ops::ControlFlow;

use rand::Rng;
use sapphirepost_types::JobId;
use sapphirepost_types::Millis;
use sapphirepost_types::Resources;
use sapphirepost_types::WorkerId;
use smallvec::SmallVec;

use crate::bitset::SlotSet;
use crate::placer::Placer;
use crate::workers::SearchData;

/// The number of failed searches that [`FailureMemo`] keeps.
const MEMO_ENTRIES: usize = 16;

/// The weight of the imbalance between free processors and free memory in the packing score,
/// relative to their amounts.
const IMBALANCE_WEIGHT: f64 = 1.0;

/// The parameters of a search.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Request<'a> {
    pub(crate) need: Resources,
    /// The end of the task by the 90th percentile of its run-time estimate.
    pub(crate) pessimistic_end: Millis,
    /// Workers to exclude.
    pub(crate) avoid: &'a [WorkerId],
    /// The job of the task, which may use its own reservation.
    pub(crate) job: JobId,
    /// Whether capacity that is reserved for other jobs is excluded.
    pub(crate) respect_reservation: bool,
}

/// The result of a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SearchResult {
    /// The slot of the chosen worker.
    Worker(usize),
    /// Only capacity that is reserved for this other job fits.
    Reserved(JobId),
    /// No worker in the search has enough free capacity.
    NoCapacity,
}

/// Failed searches since a worker last gained free capacity.
///
/// A task that needs no less and ends no sooner than one that found no worker cannot find one
/// either, so its search is skipped.
#[derive(Default)]
pub(crate) struct FailureMemo {
    /// The value of `Workers::free_generation` for which `entries` holds.
    generation: u64,
    /// The needs and pessimistic ends of the tasks for which no worker was found.
    entries: SmallVec<[(Resources, Millis); MEMO_ENTRIES]>,
}

impl FailureMemo {
    /// Whether a search must fail because a task that needs no more and ends no later found no
    /// worker.
    pub(crate) fn covers(
        &self,
        generation: u64,
        need: &Resources,
        pessimistic_end: Millis,
    ) -> bool {
        let covered =
            |(size, end): &(Resources, Millis)| size.fits_in(need) && *end <= pessimistic_end;
        self.generation == generation && self.entries.iter().any(covered)
    }

    pub(crate) fn add(&mut self, generation: u64, need: &Resources, pessimistic_end: Millis) {
        if self.generation != generation {
            self.generation = generation;
            self.entries.clear();
        }
        self.entries
            .retain(|(size, end)| !(need.fits_in(size) && pessimistic_end <= *end));
        if self.entries.len() < MEMO_ENTRIES {
            self.entries.push((*need, pessimistic_end));
        }
    }
}

impl Placer {
    /// Finds the eligible worker with the best packing score in the sample.
    pub(crate) fn find(&mut self, request: &Request<'_>) -> SearchResult {
        if request.need.accelerators == 0 {
            // Capacity on workers with free accelerators is left to tasks that need accelerators.
            let found = self.find_among(request, &self.workers.without_accelerators);
            if matches!(found.0, SearchResult::Worker(_)) {
                return found.0;
            }
        }
        self.find_among(request, &self.workers.eligible).0
    }

    /// Finds a worker within `mask`. Also returns the number of workers that were scored.
    pub(crate) fn find_among(
        &self,
        request: &Request<'_>,
        mask: &SlotSet,
    ) -> (SearchResult, usize) {
        let need = &request.need;
        let by = self.workers.scarcest(need);
        let mut best: Option<(f64, usize)> = None;
        let mut reserved = None;
        let mut sampled = 0;
        let rotation = self.rotation;
        self.workers.index.visit(need, by, mask, rotation, |slot| {
            let worker = &self.workers.search_data[slot];
            if !need.fits_in(&worker.free) || self.is_avoided(request, slot) {
                return ControlFlow::Continue(());
            }
            if request.respect_reservation
                && let Some(holder) =
                    self.reserved_against(slot, need, request.pessimistic_end, request.job)
            {
                reserved = Some(holder);
                return ControlFlow::Continue(());
            }
            let score = packing_score(worker, need);
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, slot));
            }
            sampled += 1;
            match sampled < self.config.sample_size {
                true => ControlFlow::Continue(()),
                false => ControlFlow::Break(()),
            }
        });
        let found = match (best, reserved) {
            (Some((_, slot)), _) => SearchResult::Worker(slot),
            (None, Some(holder)) => SearchResult::Reserved(holder),
            (None, None) => SearchResult::NoCapacity,
        };
        (found, sampled)
    }

    fn is_avoided(&self, request: &Request<'_>, slot: usize) -> bool {
        let worker = || self.workers.get(slot).map(|worker| worker.id);
        !request.avoid.is_empty() && worker().is_some_and(|id| request.avoid.contains(&id))
    }

    /// Draws a new start position for the searches, so that equal workers are not always visited
    /// in the same order.
    pub(crate) fn rotate(&mut self) {
        self.rotation = self.rng.random_range(0..1024);
    }
}

/// Scores the capacity that the worker would have left, by its share of the worker and by its
/// imbalance between processors and memory. Lower is better.
fn packing_score(worker: &SearchData, need: &Resources) -> f64 {
    let processors = (worker.free.millicores - need.millicores) as f64 * worker.per_millicore;
    let memory = (worker.free.memory_mib - need.memory_mib) as f64 * worker.per_mib;
    processors + memory + IMBALANCE_WEIGHT * (processors - memory).abs()
}
