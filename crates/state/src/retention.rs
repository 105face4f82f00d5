//! Removal of records that are past their retention.

use crate::outcome::Change;
use crate::plans::PLAN_RETENTION_MS;
use crate::state::State;
use crate::workers::Contact;
use crate::workers::WORKER_RETENTION_MS;

/// Minimum time between two passes, in milliseconds. Claims and operations past their window are
/// refused in between as well; the other records last up to this much longer.
const PRUNE_INTERVAL_MS: u64 = 1_000;
/// Maximum number of ended jobs that one pass drops, so that a burst of ended jobs does not delay a
/// command.
const JOBS_PER_PASS: usize = 200;

impl State {
    pub(crate) fn prune_if_due(&mut self) {
        let now_unix_ms = self.clock_unix_ms;
        if now_unix_ms < self.last_prune_unix_ms + PRUNE_INTERVAL_MS {
            return;
        }
        self.last_prune_unix_ms = now_unix_ms;
        self.claims.prune(now_unix_ms);
        self.operations.prune(now_unix_ms);
        self.plans.prune(now_unix_ms);
        self.entry_contacts.prune(now_unix_ms);
        self.prune_jobs();
        self.prune_workers();
    }

    fn prune_jobs(&mut self) {
        let mut dropped = 0;
        while dropped < JOBS_PER_PASS {
            let Some((id, job)) = self.jobs.take_expired(self.clock_unix_ms) else {
                break;
            };
            for task in job.tasks {
                self.tasks.remove(task);
            }
            self.record_change(Change::Job(id));
            dropped += 1;
        }
        if dropped > 0 {
            self.jobs
                .prune_name_versions(self.clock_unix_ms, PLAN_RETENTION_MS);
        }
    }

    fn prune_workers(&mut self) {
        let now_unix_ms = self.clock_unix_ms;
        let expired: Vec<_> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.held.is_empty())
            .filter(|(_, worker)| match worker.contact {
                // The drain of a worker that may return must not end with its record.
                Contact::Expired { lost: false, .. } if worker.draining => false,
                Contact::Expired { since_unix_ms, .. } => {
                    since_unix_ms.saturating_add(WORKER_RETENTION_MS) < now_unix_ms
                }
                _ => false,
            })
            .map(|(id, _)| id)
            .collect();
        for id in expired {
            self.workers.remove(id);
            self.record_change(Change::Worker(id));
        }
    }
}
