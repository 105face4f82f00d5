//! Fault injection, and the operator intents that restore the cluster afterwards.

use rand::Rng;
use sapphirepost_state::State;
use sapphirepost_types::Intent;

use super::network::Faults;
use super::sim::ENTRIES;
use super::sim::Sim;
use super::sim::WORKERS;

impl Sim {
    pub fn end_faults(&mut self) {
        self.network.faults = Faults::default();
        for worker in &mut self.workers {
            worker.paused_until_ms = 0;
            worker.partitioned_until_ms = 0;
            worker.replies_lost_until_ms = 0;
            worker.fails_all_tasks = false;
            worker.no_random_failures = true;
        }
    }

    pub fn inject_random_fault(&mut self) {
        let target = self.rng.random_range(0..WORKERS);
        let until_ms = self.now_ms + self.rng.random_range(200..16_000);
        match self.rng.random_range(0..6_000) {
            0..12 => self.crash_leader(),
            12..22 => self.workers[target].partitioned_until_ms = until_ms,
            22..30 => self.workers[target].paused_until_ms = until_ms,
            30..34 => self.workers[target].restart_agent(),
            34..37 => {
                let worker = &mut self.workers[target];
                if self.now_ms >= worker.paused_until_ms {
                    worker.restart_vm(self.now_ms, &mut self.history);
                }
            }
            37..39 => self.lose_worker(target),
            39..44 => {
                let entry = target % usize::from(ENTRIES);
                self.entries[entry].restart(self.now_ms, &mut self.history);
            }
            44..46 => {
                // Half of the workers are partitioned at the same time.
                for worker in &mut self.workers[..WORKERS / 2] {
                    worker.partitioned_until_ms = until_ms;
                }
            }
            46..50 => self.workers[target].replies_lost_until_ms = until_ms + 10_000,
            _ => {}
        }
    }

    fn lose_worker(&mut self, target: usize) {
        let lost = self.workers.iter().filter(|worker| worker.is_lost).count();
        let worker = &mut self.workers[target];
        if lost == 0 && !worker.has_unacknowledged() && self.now_ms >= worker.paused_until_ms {
            worker.lose_vm(self.now_ms, &mut self.history);
        }
    }

    /// Removes the leader. A prefix of its proposals is committed; its pending calls get no reply.
    /// Also checks that a snapshot preserves the state.
    fn crash_leader(&mut self) {
        if self.leader.is_none() {
            return;
        }
        let kept = self.rng.random_range(0..=self.proposals.len());
        self.proposals.truncate(kept);
        while let Some((_, command)) = self.proposals.pop_front() {
            self.log.push(command.clone());
            let outcome = self.state.apply(self.log.len() as u64, &command);
            self.record_finished(&outcome.changes);
        }
        self.leader = None;
        self.tokens.clear();
        self.leader_changes += 1;
        self.next_leader_at_ms = self.now_ms + self.rng.random_range(300..1_200);
        let mut restored = State::restore(&self.state.snapshot()).unwrap();
        restored.disable(self.options.state);
        assert_eq!(
            restored.digest(),
            self.state.digest(),
            "a snapshot loses nothing"
        );
        self.state = restored;
    }

    /// Intents that undrain workers, declare lost workers as lost, cancel jobs that always fail and
    /// remove quotas.
    pub fn repairs(&self, lost: &[String]) -> Vec<Intent> {
        let mut repairs = Vec::new();
        for (_, worker) in self.state.workers().iter() {
            let worker_name = worker.name.clone();
            if worker.draining {
                repairs.push(Intent::Undrain {
                    worker: worker_name,
                });
            } else if lost.contains(&worker.name.to_string()) && !worker.held.is_empty() {
                repairs.push(Intent::DeclareLost {
                    worker: worker_name,
                });
            }
        }
        for (_, job) in self.state.jobs().iter() {
            if job.is_active() && job.spec.payload == "fail" {
                repairs.push(Intent::Cancel {
                    job: job.spec.name.clone(),
                });
            }
        }
        for (team, quota) in self.state.quotas().iter() {
            if quota.limit.is_some() {
                repairs.push(Intent::SetQuota {
                    team: team.clone(),
                    limit: None,
                });
            }
        }
        repairs
    }
}
