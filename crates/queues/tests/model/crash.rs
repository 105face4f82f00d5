//! Crashes of workers: by a task that runs on them, or by a test.

use std::sync::Arc;

use sapphirepost_queues::QueueCommand;
use sapphirepost_queues::scheduler::WorkerRequest;
use sapphirepost_queues::scheduler::WorkerRequestKind;
use sapphirepost_types::Millis;

use super::Model;
use super::worker::ModelWorker;

/// A task that crashes its worker does so after it has worked for this long.
pub const CRASH_DELAY_MS: u64 = 10;
/// The time from a crash to the return of the worker as another incarnation, unless a test changes
/// it.
pub const RETURN_MS: u64 = 3_000;

/// How far a crashed worker has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Crash {
    /// Its process has ended.
    Down {
        /// When the next incarnation starts.
        returns_at: Millis,
    },
    /// Another incarnation answers at its address.
    Replaced,
}

impl ModelWorker {
    /// Ends the process: nothing runs any more, and connections are refused.
    pub fn crash(&mut self, now: Millis) {
        let returns_at = now + self.down_ms;
        self.crash = Some(Crash::Down { returns_at });
        self.is_crashed = true;
        self.refuses_connections = true;
        self.running.clear();
    }

    /// Whether a task that crashes the worker has run for long enough.
    pub fn has_crashing_run(&self) -> bool {
        self.running
            .iter()
            .any(|(task, run)| run.elapsed_ms() >= CRASH_DELAY_MS && (self.crashes_worker)(*task))
    }

    /// Whether the start that it has just carried out ends the process before it is answered.
    pub fn is_crashed_by(&self, start: &WorkerRequest) -> bool {
        let WorkerRequestKind::Start { task, .. } = start.kind else {
            return false;
        };
        self.crashes_at_start && (self.crashes_worker)(task)
    }

    /// The next incarnation at the same address.
    fn next_incarnation(&self, number: usize) -> ModelWorker {
        let name = self.record.id.split('+').next().unwrap_or_default();
        let cores = self.record.capacity.millicores / 1_000;
        let mut next = ModelWorker::new(name, cores, self.need, self.work_ms);
        next.record = self.record.clone();
        next.record.id = Arc::from(format!("{name}+{number}"));
        next.crashes_worker = self.crashes_worker;
        next.crashes_at_start = self.crashes_at_start;
        next.is_unreachable = self.is_unreachable;
        next.down_ms = self.down_ms;
        next.checkpoint_ms = self.checkpoint_ms;
        next
    }
}

impl Model {
    /// Crashes the worker with this ID.
    pub fn crash_worker(&mut self, id: &str) {
        let worker = self.workers.get_mut(id).unwrap();
        for task in worker.running.keys() {
            *self.crashes.entry(*task).or_default() += 1;
        }
        worker.crash(self.now);
        self.crash_count += 1;
    }

    /// Crashes the workers of crashing tasks, and lets crashed workers return.
    pub(super) fn advance_crashes(&mut self) {
        let mut returning = Vec::new();
        let mut crashing = Vec::new();
        for worker in self.workers.values_mut() {
            match worker.crash {
                None if worker.has_crashing_run() => crashing.push(worker.record.id.clone()),
                Some(Crash::Down { returns_at }) if returns_at <= self.now => {
                    if worker.keeps_id {
                        worker.start_again(self.now);
                    } else {
                        worker.crash = Some(Crash::Replaced);
                        returning.push(worker.record.id.clone());
                    }
                }
                _ => {}
            }
        }
        for id in crashing {
            self.crash_worker(&id);
        }
        for id in returning {
            self.incarnations += 1;
            let next = self.workers[&id].next_incarnation(self.incarnations);
            self.propose(QueueCommand::PutWorker(Box::new(next.record.clone())));
            self.workers.insert(next.record.id.clone(), next);
        }
    }
}
