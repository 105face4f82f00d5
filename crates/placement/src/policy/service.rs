//! Services: tasks are spread over failure domains and racks.
//!
//! Failure domains are tried in ascending order of the number of the service's tasks in them.
//! Within a failure domain, racks without a task of the service are tried first.

use sapphirepost_types::TaskId;
use smallvec::SmallVec;

use crate::bitset::SlotSet;
use crate::placer::Placer;
use crate::policy::JobSnapshot;
use crate::search::Request;
use crate::search::SearchResult;

impl Placer {
    /// Finds a worker for a task of a service.
    pub(crate) fn find_spread(&mut self, job: &JobSnapshot, task: TaskId) -> SearchResult {
        if !self.config.mechanisms.spread {
            return self.find_batch(job, task);
        }
        let domains = self.domains_by_count(job);
        let racks = self.racks_of(job);
        let mut mask = std::mem::take(&mut self.scratch_mask);
        let found = self.find_avoiding_failed(job, task, |placer, request| {
            placer.find_in_domains(request, &domains, &racks, &mut mask)
        });
        self.scratch_mask = mask;
        found
    }

    /// Returns the failure domains, those with the fewest tasks of the job first.
    fn domains_by_count(&mut self, job: &JobSnapshot) -> SmallVec<[usize; 16]> {
        let mut domains: SmallVec<[usize; 16]> = (0..self.workers.domains.len()).collect();
        // The order of equal failure domains is rotated, so that many small services do not all
        // start in the same one.
        let turn = self.rotation % domains.len().max(1);
        domains.rotate_left(turn);
        if let Some(job) = self.jobs.get(&job.id) {
            domains.sort_by_key(|domain| job.tasks_by_domain.get(domain).copied().unwrap_or(0));
        }
        domains
    }

    /// Returns the racks that have tasks of the job, with the number of these tasks.
    fn racks_of(&self, job: &JobSnapshot) -> Vec<(usize, u32)> {
        let racks = self.jobs.get(&job.id).map(|job| &job.tasks_by_rack);
        let racks = racks.into_iter().flatten();
        racks.map(|(&rack, &count)| (rack, count)).collect()
    }

    fn find_in_domains(
        &self,
        request: &Request<'_>,
        domains: &[usize],
        racks: &[(usize, u32)],
        mask: &mut SlotSet,
    ) -> SearchResult {
        let mut last = SearchResult::NoCapacity;
        for &domain in domains {
            match self.find_in_domain(request, domain, racks, mask) {
                SearchResult::Worker(slot) => return SearchResult::Worker(slot),
                SearchResult::Reserved(holder) => last = SearchResult::Reserved(holder),
                SearchResult::NoCapacity => {}
            }
        }
        last
    }

    /// Searches racks without a task of the service, then those with the fewest, then all, until a
    /// worker is found.
    fn find_in_domain(
        &self,
        request: &Request<'_>,
        domain: usize,
        racks: &[(usize, u32)],
        mask: &mut SlotSet,
    ) -> SearchResult {
        let members = &self.workers.domains[domain].members;
        let least = racks.iter().map(|&(_, count)| count).min().unwrap_or(0);
        for most in [0, least, u32::MAX] {
            mask.assign_intersection(&self.workers.eligible, members);
            for &(rack, _) in racks.iter().filter(|&&(_, count)| count > most) {
                mask.subtract(&self.workers.racks[rack].members);
            }
            let (found, _) = self.find_among(request, mask);
            if matches!(found, SearchResult::Worker(_)) || most == u32::MAX || racks.is_empty() {
                return found;
            }
        }
        SearchResult::NoCapacity
    }
}
