//! Workers that start again under the same ID, their reports, and the check that no task runs again
//! after its end was acknowledged.

use std::collections::BTreeMap;
use std::sync::Arc;

use sapphirepost_queues::TaskKey;
use sapphirepost_queues::WorkerRecord;
use sapphirepost_queues::scheduler::WorkerReport;
use sapphirepost_queues::scheduler::WorkerRequestError;
use sapphirepost_types::Incarnation;
use sapphirepost_types::Millis;

use super::Event;
use super::Model;
use super::worker::ModelWorker;

/// The interval of the reports of a worker that has started again.
const REPORT_MS: u64 = 1_500;
/// The first incarnation with an ID.
pub const FIRST_INCARNATION: Incarnation = Incarnation(1);

/// When tasks last began, and when those whose end as done is acknowledged had ended.
#[derive(Debug, Default)]
pub struct EndedTasks {
    began: BTreeMap<TaskKey, Millis>,
    ended: BTreeMap<TaskKey, Millis>,
}

impl ModelWorker {
    /// Starts again under the same ID. It knows nothing of before, and its counts and its clock
    /// begin anew. Delayed starts that were meant for the former incarnation are carried out by
    /// this one.
    pub(super) fn start_again(&mut self, now: Millis) {
        let name = self.record.id.to_string();
        let cores = self.record.capacity.millicores / 1_000;
        let mut next = ModelWorker::new(&name, cores, self.need, self.work_ms);
        next.record = self.next_record();
        next.born = now;
        next.crashes_worker = self.crashes_worker;
        next.crashes_at_start = self.crashes_at_start;
        next.down_ms = self.down_ms;
        next.keeps_id = true;
        next.is_unreachable = self.is_unreachable;
        next.loses_reports = self.loses_reports;
        next.checkpoint_ms = self.checkpoint_ms;
        next.poll_delay_ms = self.poll_delay_ms;
        next.take_requests(self);
        next.advance(now);
        *self = next;
    }

    fn next_record(&self) -> WorkerRecord {
        WorkerRecord {
            incarnation: self.record.incarnation.next(),
            sequence: 0,
            ..self.record.clone()
        }
    }

    fn is_report_due(&self, now: Millis) -> bool {
        let has_started_again = self.record.incarnation > FIRST_INCARNATION;
        let is_up = !self.is_unreachable && !self.is_crashed && !self.loses_reports;
        has_started_again && is_up && now.since(self.born).is_multiple_of(REPORT_MS)
    }
}

impl Model {
    /// Crashes a worker, which starts again under its ID after `down_ms`.
    pub fn restart_worker(&mut self, id: &str, down_ms: u64) {
        let worker = self.workers.get_mut(id).unwrap();
        worker.keeps_id = true;
        worker.down_ms = down_ms;
        self.crash_worker(id);
    }

    /// Cuts a worker off.
    pub fn cut_off(&mut self, id: &str) {
        self.workers.get_mut(id).unwrap().is_unreachable = true;
    }

    /// Reconnects a worker. The connections on which requests to a process that has ended meanwhile
    /// are unanswered break.
    pub fn reconnect(&mut self, id: &str) {
        let worker = self.workers.get_mut(id).unwrap();
        worker.is_unreachable = false;
        let (born, is_down) = (worker.born, worker.is_crashed);
        let is_broken = |event: &Event| match event {
            Event::RequestAnswered(request, Err(WorkerRequestError::NoAnswer)) => {
                *request.worker == *id && (is_down || request.sent < born)
            }
            _ => false,
        };
        let broken: Vec<Event> = self
            .events
            .extract_if(.., |_, event| is_broken(event))
            .map(|(_, event)| event)
            .collect();
        for event in broken {
            if let Event::RequestAnswered(request, _) = event {
                let error = Err(WorkerRequestError::Broken);
                self.schedule(1, Event::RequestAnswered(request, error));
            }
        }
    }

    /// Hands a report to the leader, which commits it if needed.
    pub fn report(&mut self, record: &WorkerRecord) {
        let report = WorkerReport { remaining_ms: None };
        let command = self.scheduler.handle_report(record, report, self.now);
        if let Some(command) = command {
            self.propose(command);
        }
    }

    /// Sends the reports of workers that have started again.
    pub(super) fn send_reports(&mut self) {
        let due = self.workers.values_mut();
        let due = due.filter(|worker| worker.is_report_due(self.now));
        let records: Vec<WorkerRecord> = due
            .map(|worker| {
                worker.record.sequence += 1;
                worker.record.clone()
            })
            .collect();
        for record in records {
            self.report(&record);
        }
    }

    /// Checks that no run of a task begins after another one has ended as done and that end is
    /// acknowledged, then or later.
    pub(super) fn check_ended_tasks(&mut self) {
        let tasks = &mut self.ended_tasks;
        let mut changed = Vec::new();
        for worker in self.workers.values_mut() {
            for task in worker.started.drain(..) {
                tasks.began.insert(task, self.now);
                changed.push(task);
            }
            for (task, at) in worker.acknowledged.drain(..) {
                tasks.ended.insert(task, at);
                changed.push(task);
            }
        }
        for task in changed {
            let (began, ended) = (tasks.began.get(&task), tasks.ended.get(&task));
            let is_doubled = began.zip(ended).is_some_and(|(began, ended)| began > ended);
            assert!(
                !is_doubled,
                "{task} began at {began:?}, and its end at {ended:?} is acknowledged"
            );
        }
    }

    /// The IDs of all workers.
    pub fn worker_ids(&self) -> Vec<Arc<str>> {
        self.workers.keys().cloned().collect()
    }
}
