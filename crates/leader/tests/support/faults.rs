//! What breaks in a run, and what brings the cluster back.

use rand::Rng;
use sapphirepost_state::State;
use sapphirepost_types::Intent;

use super::network::Faults;
use super::sim::ENTRIES;
use super::sim::Sim;
use super::sim::WORKERS;

impl Sim {
    pub fn calm(&mut self) {
        self.network.faults = Faults::default();
        for worker in &mut self.workers {
            worker.paused_until = 0;
            worker.cut_until = 0;
            worker.deaf_until = 0;
            worker.is_bad = false;
            worker.is_calm = true;
        }
    }

    pub fn break_something(&mut self) {
        let target = self.rng.random_range(0..WORKERS);
        let until = self.now + self.rng.random_range(200..16_000);
        match self.rng.random_range(0..6_000) {
            0..12 => self.depose(),
            12..22 => self.workers[target].cut_until = until,
            22..30 => self.workers[target].paused_until = until,
            30..34 => self.workers[target].restart_agent(),
            34..37 => {
                let worker = &mut self.workers[target];
                if self.now >= worker.paused_until {
                    worker.reboot(self.now, &mut self.history);
                }
            }
            37..39 => self.lose(target),
            39..44 => {
                let entry = target % usize::from(ENTRIES);
                self.entries[entry].restart(self.now, &mut self.history);
            }
            44..46 => {
                // A part of the cluster is cut off together.
                for worker in &mut self.workers[..WORKERS / 2] {
                    worker.cut_until = until;
                }
            }
            46..50 => self.workers[target].deaf_until = until + 10_000,
            _ => {}
        }
    }

    fn lose(&mut self, target: usize) {
        let lost = self.workers.iter().filter(|worker| worker.is_gone).count();
        let worker = &mut self.workers[target];
        if lost == 0 && !worker.has_unacknowledged() && self.now >= worker.paused_until {
            worker.vanish(self.now, &mut self.history);
        }
    }

    /// The leader is gone; some of its proposals were committed, its calls are not answered.
    fn depose(&mut self) {
        if self.leader.is_none() {
            return;
        }
        let kept = self.rng.random_range(0..=self.proposals.len());
        self.proposals.truncate(kept);
        while let Some((_, command)) = self.proposals.pop_front() {
            self.log.push(command.clone());
            let outcome = self.state.apply(self.log.len() as u64, &command);
            self.note_finishes(&outcome.changes);
        }
        self.leader = None;
        self.tokens.clear();
        self.leader_changes += 1;
        self.leader_at = self.now + self.rng.random_range(300..1_200);
        let mut restored = State::restore(&self.state.snapshot()).unwrap();
        restored.disable(self.options.state);
        assert_eq!(
            restored.digest(),
            self.state.digest(),
            "a snapshot loses nothing"
        );
        self.state = restored;
    }

    /// What brings the cluster back to its full size.
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
