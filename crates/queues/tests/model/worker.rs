//! A worker of the model: it runs tasks under a lease and lists their ends.

use std::collections::BTreeMap;
use std::sync::Arc;

use sapphirepost_queues::EndKind;
use sapphirepost_queues::RunEnd;
use sapphirepost_queues::TaskKey;
use sapphirepost_queues::WorkerRecord;
use sapphirepost_queues::scheduler::PollReply;
use sapphirepost_queues::scheduler::RejectReason;
use sapphirepost_queues::scheduler::RunningTask;
use sapphirepost_queues::scheduler::WorkerReply;
use sapphirepost_queues::scheduler::WorkerRequest;
use sapphirepost_queues::scheduler::WorkerRequestError;
use sapphirepost_queues::scheduler::WorkerRequestKind;
use sapphirepost_types::Millis;
use sapphirepost_types::Resources;

use super::SERVICE;

pub const ORDER_TIMEOUT_MS: u64 = 500;

/// A run on the worker.
#[derive(Clone, Debug)]
pub struct ModelRun {
    pub run: u32,
    pub resources: Resources,
    pub work_ms: u64,
    pub done_ms: u64,
    /// Whether it waits for other members of its gang.
    pub is_incomplete: bool,
    /// Whether it ends only together with the other members of its gang.
    pub is_member: bool,
    pub started: Millis,
    pub stops_at: Option<Millis>,
}

/// A worker.
pub struct ModelWorker {
    pub record: WorkerRecord,
    pub running: BTreeMap<TaskKey, ModelRun>,
    ends: Vec<(u64, RunEnd)>,
    last_end: u64,
    barred: BTreeMap<TaskKey, u32>,
    token: u64,
    until: Millis,
    look: Option<(WorkerRequest, Millis)>,
    now: Millis,
    /// Answers nothing; with `is_crashed`, runs nothing either.
    pub is_dark: bool,
    pub is_crashed: bool,
    /// Fails all that it starts.
    pub fails_all: bool,
    /// Refuses all starts for this reason.
    pub rejects_starts: Option<RejectReason>,
    /// Makes no progress.
    pub hangs: bool,
    /// Starts are carried out after this time, without an answer.
    pub delays_starts_ms: u64,
    delayed: Vec<(Millis, WorkerRequest)>,
    /// The work and room of each task, by the payload of its job.
    pub work_ms: fn(TaskKey) -> u64,
    pub room: fn(TaskKey) -> Resources,
}

pub fn is_start(order: &WorkerRequest) -> bool {
    matches!(order.kind, WorkerRequestKind::Start { .. })
}

pub fn timeout_ms(order: &WorkerRequest) -> u64 {
    match order.kind {
        WorkerRequestKind::Poll { wait_ms, .. } => wait_ms + ORDER_TIMEOUT_MS,
        _ => ORDER_TIMEOUT_MS,
    }
}

impl ModelWorker {
    pub fn new(
        name: &str,
        cores: u64,
        room: fn(TaskKey) -> Resources,
        work_ms: fn(TaskKey) -> u64,
    ) -> ModelWorker {
        ModelWorker {
            record: WorkerRecord {
                id: Arc::from(name),
                address: Arc::from(format!("{name}:1")),
                service: Arc::from(SERVICE),
                failure_domain: Arc::from("a"),
                capacity: Resources::new(cores * 1_000, cores * 4_096, 0),
                labels: Vec::new(),
                is_draining: false,
            },
            running: BTreeMap::new(),
            ends: Vec::new(),
            last_end: 0,
            barred: BTreeMap::new(),
            token: 0,
            until: Millis::ZERO,
            look: None,
            now: Millis::ZERO,
            is_dark: false,
            is_crashed: false,
            fails_all: false,
            rejects_starts: None,
            hangs: false,
            delays_starts_ms: 0,
            delayed: Vec::new(),
            work_ms,
            room,
        }
    }

    pub fn now(&self) -> Millis {
        self.now
    }

    pub fn used(&self) -> Resources {
        let runs = self.running.values();
        runs.fold(Resources::ZERO, |sum, run| Resources {
            millicores: sum.millicores + run.resources.millicores,
            memory_mib: sum.memory_mib + run.resources.memory_mib,
            accelerators: sum.accelerators + run.resources.accelerators,
        })
    }

    fn end(&mut self, task: TaskKey, kind: EndKind) {
        let Some(run) = self.running.remove(&task) else {
            return;
        };
        let checkpoint = (kind == EndKind::Stopped).then(|| Arc::from(run.done_ms.to_string()));
        self.barred.insert(task, run.run);
        self.last_end += 1;
        let end = RunEnd {
            task,
            run: run.run,
            kind,
            checkpoint,
        };
        self.ends.push((self.last_end, end));
    }

    pub fn advance(&mut self, now: Millis) {
        let passed_ms = now.since(self.now);
        self.now = now;
        if self.is_crashed {
            self.running.clear();
            return;
        }
        if now > self.until {
            let tasks: Vec<TaskKey> = self.running.keys().copied().collect();
            for task in tasks {
                self.end(task, EndKind::Expired);
            }
        }
        let mut over = Vec::new();
        for (task, run) in &mut self.running {
            if run.stops_at.is_some_and(|at| at <= now) {
                over.push((*task, EndKind::Stopped));
                continue;
            }
            if !run.is_incomplete && !self.hangs {
                run.done_ms += passed_ms;
            }
            if run.done_ms >= run.work_ms && !run.is_member {
                let kind = if self.fails_all {
                    EndKind::Failed
                } else {
                    EndKind::Done
                };
                over.push((*task, kind));
            }
        }
        for (task, kind) in over {
            self.end(task, kind);
        }
        let due: Vec<WorkerRequest> = self
            .delayed
            .extract_if(.., |(at, _)| *at <= now)
            .map(|(_, order)| order)
            .collect();
        for order in due {
            let _ = self.carry_out(&order, now);
        }
    }

    pub fn set_gang(&mut self, task: TaskKey, is_whole: bool, is_done: bool, now: Millis) {
        let Some(run) = self.running.get_mut(&task) else {
            return;
        };
        run.is_member = true;
        if is_whole && is_done {
            return self.end(task, EndKind::Done);
        }
        let was_whole = !run.is_incomplete && run.done_ms > 0;
        if is_whole {
            run.is_incomplete = false;
        } else if was_whole {
            self.end(task, EndKind::GangBroken);
        } else if now.since(run.started) > super::GANG_MS {
            self.end(task, EndKind::GangIncomplete);
        } else {
            run.is_incomplete = true;
        }
    }

    /// Carries out an order; `None` if there is no answer yet, or never.
    pub fn take(
        &mut self,
        order: &WorkerRequest,
        now: Millis,
    ) -> Option<Result<WorkerReply, WorkerRequestError>> {
        if is_start(order) && self.delays_starts_ms > 0 {
            self.delayed
                .push((now + self.delays_starts_ms, order.clone()));
            return None;
        }
        if let WorkerRequestKind::Poll {
            until_ms,
            acknowledged,
            wait_ms,
        } = order.kind
        {
            if order.term < self.token {
                return Some(Err(WorkerRequestError::Rejected(RejectReason::Fenced)));
            }
            self.token = order.term;
            self.until = self.until.max(Millis(until_ms.unwrap_or(0)));
            self.ends.retain(|(number, _)| *number > acknowledged);
            self.look = Some((order.clone(), now + wait_ms));
            return None;
        }
        Some(self.carry_out(order, now))
    }

    fn carry_out(
        &mut self,
        order: &WorkerRequest,
        now: Millis,
    ) -> Result<WorkerReply, WorkerRequestError> {
        let reject = |reason| Err(WorkerRequestError::Rejected(reason));
        if order.term < self.token {
            return reject(RejectReason::Fenced);
        }
        self.token = order.term;
        match &order.kind {
            WorkerRequestKind::Start {
                task,
                run,
                until_ms,
                checkpoint,
                ..
            } => {
                if let Some(reason) = self.rejects_starts {
                    return reject(reason);
                }
                if *until_ms <= now.0 {
                    return reject(RejectReason::LeaseOver);
                }
                if self
                    .running
                    .get(task)
                    .is_some_and(|known| known.run == *run)
                {
                    return Ok(WorkerReply::Accepted { clock_ms: now.0 });
                }
                if self.barred.get(task).is_some_and(|barred| barred >= run) {
                    return reject(RejectReason::Superseded);
                }
                self.until = self.until.max(Millis(*until_ms));
                let new = ModelRun {
                    run: *run,
                    resources: (self.room)(*task),
                    work_ms: (self.work_ms)(*task),
                    done_ms: checkpoint.as_ref().map_or(0, |text| text.parse().unwrap()),
                    is_incomplete: false,
                    is_member: false,
                    started: now,
                    stops_at: None,
                };
                self.running.insert(*task, new);
            }
            WorkerRequestKind::Stop { task, run, .. } => {
                let barred = self.barred.entry(*task).or_default();
                *barred = (*barred).max(*run);
                if let Some(known) = self.running.get_mut(task)
                    && known.run <= *run
                {
                    known.stops_at = Some(now + super::STOP_MS / 2);
                }
            }
            WorkerRequestKind::Poll { .. } => {}
        }
        Ok(WorkerReply::Accepted { clock_ms: now.0 })
    }

    /// The answer to a look that was held open.
    pub fn due_look(
        &mut self,
        now: Millis,
    ) -> Option<(WorkerRequest, Result<WorkerReply, WorkerRequestError>)> {
        let (order, due) = self.look.take()?;
        if self.is_dark {
            return Some((order, Err(WorkerRequestError::NoAnswer)));
        }
        let WorkerRequestKind::Poll { acknowledged, .. } = order.kind else {
            return None;
        };
        let has_news = self.ends.iter().any(|(number, _)| *number > acknowledged);
        if !has_news && now < due {
            self.look = Some((order, due));
            return None;
        }
        let row = |(task, run): (&TaskKey, &ModelRun)| RunningTask {
            task: *task,
            run: run.run,
            checkpoint: None,
            progress_percent: (run.done_ms * 100 / run.work_ms.max(1)) as u32,
        };
        let reply = PollReply {
            clock_ms: now.0,
            running: self.running.iter().map(row).collect(),
            ends: self.ends.clone(),
        };
        Some((order, Ok(WorkerReply::Polled(reply))))
    }
}
