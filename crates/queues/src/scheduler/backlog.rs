//! The waiting work of each queue and the capacity of each service, as of the last placement round.
//!
//! Each new job is compared with these. They are summed up once a round, since a pass over all steps
//! and workers for each job costs more than the rounds do when many jobs arrive.

use std::sync::Arc;

use crate::scheduler::ranking::Lateness;
use crate::scheduler::ranking::Rank;
use crate::scheduler::steps::StepView;

/// The waiting work of one queue.
#[derive(Clone, Debug)]
pub struct QueueBacklog {
    /// The name of the queue.
    pub queue: Arc<str>,
    /// The name of its service.
    pub service: Arc<str>,
    /// Its priority; 0 is the most urgent.
    pub priority: u32,
    /// Processor time of the steps that can meet the deadline of their job.
    pub in_time_core_ms: u64,
    /// Processor time of all its waiting steps.
    pub all_core_ms: u64,
}

/// The processor capacity of the workers of one service.
#[derive(Clone, Debug)]
pub struct ServiceCapacity {
    /// The name of the service.
    pub service: Arc<str>,
    /// The capacity of its workers that are in no quarantine.
    pub millicores: u64,
}

/// The sums of the last round.
#[derive(Clone, Debug, Default)]
pub struct Backlog {
    queues: Vec<QueueBacklog>,
    capacities: Vec<ServiceCapacity>,
}

impl Backlog {
    /// Adds a waiting step.
    pub fn add_step(&mut self, view: &StepView, rank: &Rank) {
        let core_ms = view.waiting_core_ms();
        let is_in_time = rank.lateness == Lateness::InTime;
        let position = self.queues.iter().position(|known| {
            known.queue == view.queue_name
                && known.priority == view.queue.priority
                && known.service == view.queue.service
        });
        let position = position.unwrap_or_else(|| {
            self.queues.push(QueueBacklog {
                queue: view.queue_name.clone(),
                service: view.queue.service.clone(),
                priority: view.queue.priority,
                in_time_core_ms: 0,
                all_core_ms: 0,
            });
            self.queues.len() - 1
        });
        let queue = &mut self.queues[position];
        queue.all_core_ms += core_ms;
        queue.in_time_core_ms += if is_in_time { core_ms } else { 0 };
    }

    /// Sets the capacity of the workers of a service.
    pub fn set_capacity(&mut self, service: &Arc<str>, millicores: u64) {
        self.capacities.push(ServiceCapacity {
            service: service.clone(),
            millicores,
        });
    }

    /// Leaves out a worker of a service.
    pub fn leave_out(&mut self, service: &str, millicores: u64) {
        let mut known = self.capacities.iter_mut();
        if let Some(known) = known.find(|known| *known.service == *service) {
            known.millicores = known.millicores.saturating_sub(millicores);
        }
    }

    /// The waiting work of all queues.
    pub fn queues(&self) -> impl Iterator<Item = &QueueBacklog> {
        self.queues.iter()
    }

    /// The capacity of a service in millicores.
    pub fn millicores(&self, service: &str) -> u64 {
        let mut known = self.capacities.iter();
        let known = known.find(|known| *known.service == *service);
        known.map_or(0, |known| known.millicores)
    }
}
