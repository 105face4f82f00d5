//! The room that a gang lacks for all its members.
//!
//! A worker with new room is enough for one member or two, so a gang that lacks room for many would
//! be tried in vain for each of them. It is tried again when room for all the missing members may
//! have appeared. Room that was already counted may be counted again, so the estimate is never too
//! low because of that.

use crate::scheduler::Scheduler;
use crate::scheduler::place::count_fitting;
use crate::scheduler::placement_counts::VisitKind;
use crate::scheduler::steps::StepView;
use crate::scheduler::workers::WorkerIndex;

/// The number of freed workers that are compared with a gang. Of the others it is assumed to have as
/// much use as of these.
const COMPARED_MAX: usize = 16;

/// What a gang lacked when it was last tried, and what has appeared since.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shortfall {
    /// The members without room on the allowed workers, also if nothing there were withheld.
    missing: u64,
    /// The members that freed workers could take since then.
    appeared: u64,
}

impl Shortfall {
    /// The shortfall of a gang with room for only `room` of its members; `None` if that is enough.
    pub fn new(members: u64, room: u64) -> Option<Shortfall> {
        let missing = members.checked_sub(room).filter(|missing| *missing > 0)?;
        Some(Shortfall {
            missing,
            appeared: 0,
        })
    }

    /// Adds room for some members.
    pub fn add_room(&mut self, members: u64) {
        self.appeared = self.appeared.saturating_add(members);
    }

    /// Whether room for all missing members may have appeared.
    pub fn may_be_met(&self) -> bool {
        self.appeared >= self.missing
    }
}

impl Scheduler {
    /// The members of a gang that these freed workers could take, those with the most free
    /// processor capacity first.
    pub(crate) fn room_on_freed(&self, view: &StepView, freed: &[(u64, WorkerIndex)]) -> u64 {
        let spec = view.spec();
        let each = spec.resources.millicores;
        let with_room = freed.partition_point(|(millicores, _)| *millicores >= each);
        let compared = with_room.min(COMPARED_MAX);
        let limit = spec.per_worker_max.unwrap_or(u32::MAX);
        let room = freed[..compared].iter().map(|(_, index)| {
            self.count_visits(VisitKind::Freed, 1);
            let worker = self.workers.get(*index);
            let usable = worker.filter(|worker| self.has_use_for_worker(view, *index, worker));
            usable.map_or(0, |worker| {
                u64::from(count_fitting(spec.resources, worker.free()).min(limit))
            })
        });
        let room: u64 = room.sum();
        match compared {
            0 => 0,
            compared => (room * with_room as u64).div_ceil(compared as u64),
        }
    }
}
