//! The search for a worker with room.
//!
//! A bounded sample of the fitting workers is scored, those with the least free room of the
//! scarcest resource first.

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

/// Failed searches that are remembered.
const MEMO_ENTRIES: usize = 16;

/// Weight of the imbalance of what is left against its amount.
const IMBALANCE_WEIGHT: f64 = 1.0;

/// What is sought.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Request<'a> {
    pub(crate) need: Resources,
    /// When the task has ended by the pessimistic estimate.
    pub(crate) pessimistic_end: Millis,
    /// Workers to leave out.
    pub(crate) avoid: &'a [WorkerId],
    /// The job, whose own reservation is open to it.
    pub(crate) job: JobId,
    /// Whether room that is reserved for another job is left alone.
    pub(crate) respect_reservation: bool,
}

/// The result of a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SearchResult {
    /// The slot of the chosen worker.
    Worker(usize),
    /// There is room, but it is reserved for this job.
    Reserved(JobId),
    /// There is no room.
    NoCapacity,
}

/// Sizes for which no room was found since any worker last gained room.
#[derive(Default)]
pub(crate) struct FailureMemo {
    generation: u64,
    /// Sizes with the end of the task that was sought for.
    entries: SmallVec<[(Resources, Millis); MEMO_ENTRIES]>,
}

impl FailureMemo {
    /// Whether the search must fail because a smaller and shorter task found no room.
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
    /// Finds the eligible worker on which the task leaves the least unusable room.
    pub(crate) fn find(&mut self, request: &Request<'_>) -> SearchResult {
        if request.need.accelerators == 0 {
            // Room beside free accelerators is left to tasks that use them.
            let found = self.find_among(request, &self.workers.without_accelerators);
            if matches!(found.0, SearchResult::Worker(_)) {
                return found.0;
            }
        }
        self.find_among(request, &self.workers.eligible).0
    }

    /// Finds a worker within `mask`, and says whether its bucket walk met any worker.
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

    /// Draws a new start for the bucket walks.
    pub(crate) fn rotate(&mut self) {
        self.rotation = self.rng.random_range(0..1024);
    }
}

/// How much room a worker would have left, and how unevenly; lower is better.
fn packing_score(worker: &SearchData, need: &Resources) -> f64 {
    let processors = (worker.free.millicores - need.millicores) as f64 * worker.per_millicore;
    let memory = (worker.free.memory_mib - need.memory_mib) as f64 * worker.per_mib;
    processors + memory + IMBALANCE_WEIGHT * (processors - memory).abs()
}
