//! Which steps take fast workers first, and which workers the members of a gang share.
//!
//! If every step took the fastest free workers, steps with time to spare would leave only slow ones
//! to those that need fast ones. A step prefers fast workers only while that decides whether it
//! meets its deadline, or, once it is late, whether its result is still useful. A gang is as slow
//! as its slowest member, so its members share workers of similar speed: a faster worker beside
//! slow ones would be wasted on it.

use std::cmp::Reverse;

use sapphirepost_types::Millis;

use crate::scheduler::Scheduler;
use crate::scheduler::place::Candidate;
use crate::scheduler::place::SpeedOrder;
use crate::scheduler::speeds::speed_class;
use crate::scheduler::steps::StepView;
use crate::scheduler::workers::WorkerIndex;

/// A step has time to spare on a worker if it could take this percentage of its expected duration
/// there, since estimates are off by half.
const SPARE_PERCENT: f64 = 150.0;

impl StepView {
    /// Whether the job ends by `until` if a task starts now and takes `factor` times as long as
    /// usual.
    pub(crate) fn ends_by(&self, until: Millis, factor: f64, now: Millis) -> bool {
        let run_ms = (self.usual_ms as f64 * factor) as u64;
        let rest_ms = self.remaining_path_ms.saturating_sub(self.usual_ms);
        now + run_ms + rest_ms <= until
    }

    /// Whether the choice between workers with these slowdowns decides if the step is in time.
    fn needs_speed(&self, fastest: f64, slowest: f64, now: Millis) -> bool {
        if self.spec().is_service {
            return false;
        }
        let limits = [self.deadline, self.useful_until];
        let reachable = limits
            .into_iter()
            .find(|until| self.ends_by(*until, fastest, now));
        let spare = slowest * SPARE_PERCENT / 100.0;
        reachable.is_some_and(|until| !self.ends_by(until, spare, now))
    }
}

impl Scheduler {
    /// How much longer than usual the members of a gang take on these workers, as a factor: they
    /// end together with the slowest. `None` for other steps.
    pub(crate) fn gang_slowdown(
        &self,
        view: &StepView,
        placements: &[(u32, WorkerIndex)],
    ) -> Option<f64> {
        let workers = placements
            .iter()
            .filter_map(|(_, index)| self.workers.get(*index));
        let slowdowns = workers.map(|worker| self.speed_factor(worker));
        let slowest = slowdowns.fold(0.0, f64::max);
        view.spec().is_gang.then_some(slowest)
    }
}

/// Records in the candidates of a step whether it takes fast workers first.
pub(crate) fn set_speed_order(view: &StepView, candidates: &mut [Candidate], now: Millis) {
    if candidates
        .iter()
        .any(|c| c.speed_order == SpeedOrder::ByEstimates)
    {
        return;
    }
    let slowdowns = candidates.iter().map(|c| c.slowdown);
    let fastest = slowdowns.clone().fold(f64::INFINITY, f64::min);
    let slowest = slowdowns.fold(0.0, f64::max);
    if speed_class(fastest) == speed_class(slowest) || !view.needs_speed(fastest, slowest, now) {
        return;
    }
    for candidate in candidates {
        candidate.speed_order = SpeedOrder::FastFirst;
    }
}

/// The candidates for the members of a gang, in the order of preference: those of similar speed,
/// and the slowest of them first.
pub(crate) fn similar_speed(mut usable: Vec<&Candidate>, members: usize) -> Vec<&Candidate> {
    if usable
        .iter()
        .any(|c| c.speed_order == SpeedOrder::ByEstimates)
    {
        return usable;
    }
    let fits = usable.iter();
    let fits = fits.map(|c| (speed_class(c.slowdown), c.fits as usize));
    let mut fits: Vec<(i32, usize)> = fits.collect();
    fits.sort_unstable();
    if fits.first().map(|(class, _)| class) == fits.last().map(|(class, _)| class) {
        return usable;
    }
    let is_fast_first = usable
        .iter()
        .any(|c| c.speed_order == SpeedOrder::FastFirst);
    let Some(slowest) = slowest_class(&fits, members, is_fast_first) else {
        return usable;
    };
    usable.retain(|c| speed_class(c.slowdown) <= slowest);
    usable.sort_by_key(|c| (c.preference(), Reverse(speed_class(c.slowdown))));
    usable
}

/// The speed class of the slowest worker that a gang uses, by the number of members that fit on
/// workers of each class, which are sorted. A gang with time to spare takes the slowest two adjacent
/// classes that hold all of it; otherwise, the slowest worker is as fast as possible.
fn slowest_class(fits: &[(i32, usize)], members: usize, is_fast_first: bool) -> Option<i32> {
    let mut by_class: Vec<(i32, usize)> = Vec::new();
    for (class, fits) in fits {
        match by_class.last_mut().filter(|(last, _)| last == class) {
            Some((_, sum)) => *sum += fits,
            None => by_class.push((*class, *fits)),
        }
    }
    // Learned speeds differ a little, so that equal workers may be in two adjacent classes.
    let fits_near = |class: i32| {
        let near = by_class
            .iter()
            .filter(|(other, _)| (class - 1..=class).contains(other));
        near.map(|(_, fits)| fits).sum::<usize>()
    };
    let mut classes = by_class.iter().rev().map(|(class, _)| *class);
    let slowest = classes.find(|class| fits_near(*class) >= members);
    if !is_fast_first && slowest.is_some() {
        return slowest;
    }
    let mut sum = 0;
    let enough = by_class.iter().find(|(_, fits)| {
        sum += fits;
        sum >= members
    });
    enough.map(|(class, _)| *class)
}
