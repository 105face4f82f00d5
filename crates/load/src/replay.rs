//! Replays arrivals on a virtual clock, through the placer and through simple queues.
//!
//! A placement takes effect after the delay of a command. A preempted task stops after that delay
//! and the time of its checkpoint, if it makes one. No other property of a cluster is modelled.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;

use sapphirepost_placement::JobPolicy;
use sapphirepost_placement::PlacementConfig;
use sapphirepost_placement::Placer;
use sapphirepost_placement::TaskEnd;
use sapphirepost_types::Millis;
use sapphirepost_types::Resources;
use sapphirepost_types::TaskId;

use crate::arrivals::Arrival;
use crate::clusters::Cluster;
use crate::simple::Rule;
use crate::simple::SimpleCluster;

/// Delay from a decision to its effect: one commit, one network hop, and the reply to the long poll
/// that the worker already holds open.
const COMMAND_DELAY_MS: u64 = 10;

/// Maximum time between two scheduling passes of the placer while there are unfinished jobs.
const PASS_INTERVAL_MAX_MS: u64 = 100;

/// Budget of one scheduling pass, in tasks.
const PASS_BUDGET: usize = 256;

/// Waiting times and end of one job.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Longest time from the submission to the first start of a task, over the tasks of the job.
    pub start_delay_ms: u64,
    /// Time that its tasks waited to start, summed over tasks and attempts.
    pub waited_ms: u64,
    /// When a task of the job last ended, thus the end of the job once all have ended; zero before.
    pub end: Millis,
    ended_tasks: usize,
    started_tasks: usize,
}

/// The replayed state of one task.
struct Task {
    job: usize,
    /// Run time that is left; reduced only by checkpoints.
    remaining_ms: u64,
    waiting_since: Millis,
    /// When the current attempt started; `None` if the task is not running.
    started: Option<Millis>,
    has_run: bool,
    /// Incremented with each start and each end of an attempt. Events that carry an older version
    /// are ignored.
    version: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    End {
        task: TaskId,
        version: u32,
    },
    Stopped {
        task: TaskId,
        version: u32,
        checkpointed: bool,
    },
}

/// Events, tasks and outcomes of a replay, independent of the scheduler under test.
struct Replay<'a> {
    arrivals: &'a [Arrival],
    tasks: Vec<Task>,
    events: BinaryHeap<Reverse<(Millis, Event)>>,
    outcomes: Vec<Outcome>,
    /// Index of the next arrival.
    next_index: usize,
    /// Jobs that have not ended, without services, which never end.
    unfinished_jobs: usize,
}

impl<'a> Replay<'a> {
    fn new(arrivals: &'a [Arrival]) -> Replay<'a> {
        let mut tasks = Vec::new();
        for (job, arrival) in arrivals.iter().enumerate() {
            tasks.extend(arrival.view.tasks.iter().map(|_| Task {
                job,
                remaining_ms: arrival.actual_ms,
                waiting_since: arrival.view.submitted,
                started: None,
                has_run: false,
                version: 0,
            }));
        }
        let services = arrivals
            .iter()
            .filter(|a| a.view.policy == JobPolicy::Service);
        Replay {
            arrivals,
            tasks,
            events: BinaryHeap::new(),
            outcomes: vec![Outcome::default(); arrivals.len()],
            next_index: 0,
            unfinished_jobs: arrivals.len() - services.count(),
        }
    }

    /// Returns the time of the next arrival or event, whichever is earlier.
    fn next_time(&self) -> Option<Millis> {
        let arrival = self
            .arrivals
            .get(self.next_index)
            .map(|arrival| arrival.view.submitted);
        let event = self.events.peek().map(|Reverse((at, _))| *at);
        arrival.into_iter().chain(event).min()
    }

    fn next_arrival(&mut self, now: Millis) -> Option<&'a Arrival> {
        let arrival = self.arrivals.get(self.next_index)?;
        if arrival.view.submitted > now {
            return None;
        }
        self.next_index += 1;
        Some(arrival)
    }

    fn next_event(&mut self, now: Millis) -> Option<Event> {
        if self.events.peek()?.0.0 > now {
            return None;
        }
        self.events.pop().map(|Reverse((_, event))| event)
    }

    fn start(&mut self, id: TaskId, now: Millis) {
        let at = now + COMMAND_DELAY_MS;
        let task = &mut self.tasks[id.0 as usize];
        task.started = Some(at);
        task.version += 1;
        let waited_ms = at.since(task.waiting_since);
        let outcome = &mut self.outcomes[task.job];
        outcome.waited_ms += waited_ms;
        if !task.has_run {
            task.has_run = true;
            outcome.started_tasks += 1;
            outcome.start_delay_ms = outcome.start_delay_ms.max(waited_ms);
        }
        let arrival = &self.arrivals[task.job];
        if arrival.view.policy != JobPolicy::Service {
            let event = Event::End {
                task: id,
                version: task.version,
            };
            self.events.push(Reverse((at + task.remaining_ms, event)));
        }
    }

    fn stop(&mut self, id: TaskId, checkpoint: bool, now: Millis) {
        let task = &mut self.tasks[id.0 as usize];
        let cost_ms = self.arrivals[task.job].view.checkpoint_cost_ms;
        let cost_ms = cost_ms.filter(|_| checkpoint).unwrap_or(0);
        let event = Event::Stopped {
            task: id,
            version: task.version,
            checkpointed: checkpoint,
        };
        self.events
            .push(Reverse((now + COMMAND_DELAY_MS + cost_ms, event)));
    }

    /// Applies an event and returns the task with the way its attempt ended. Returns `None` if the
    /// event is outdated.
    fn apply(&mut self, event: Event, now: Millis) -> Option<(TaskId, TaskEnd)> {
        let (id, version) = match event {
            Event::End { task, version } | Event::Stopped { task, version, .. } => (task, version),
        };
        let task = &mut self.tasks[id.0 as usize];
        if task.version != version {
            return None;
        }
        task.version += 1;
        let ran_ms = task.started.take().map_or(0, |started| now.since(started));
        task.waiting_since = now;
        match event {
            Event::End { .. } => {
                let outcome = &mut self.outcomes[task.job];
                outcome.ended_tasks += 1;
                outcome.end = now;
                if outcome.ended_tasks == self.arrivals[task.job].view.tasks.len() {
                    self.unfinished_jobs -= 1;
                }
                Some((id, TaskEnd::Finished))
            }
            Event::Stopped { checkpointed, .. } => {
                if checkpointed {
                    task.remaining_ms = task.remaining_ms.saturating_sub(ran_ms).max(1);
                }
                Some((id, TaskEnd::Stopped))
            }
        }
    }
}

/// Replays the arrivals through the placer; the outcomes are in the order of the arrivals.
pub fn replay_placer(cluster: &Cluster, arrivals: &[Arrival], seed: u64) -> Vec<Outcome> {
    let mut placer = Placer::new(PlacementConfig::default(), seed);
    for view in cluster.views() {
        placer.upsert_worker(view);
    }
    let mut replay = Replay::new(arrivals);
    let mut now = Millis::ZERO;
    while replay.unfinished_jobs > 0 {
        while let Some(arrival) = replay.next_arrival(now) {
            placer.submit(now, arrival.view.clone());
        }
        while let Some(event) = replay.next_event(now) {
            if let Some((task, end)) = replay.apply(event, now) {
                placer.release(now, task, end);
            }
        }
        loop {
            let decisions = placer.decide(now, PASS_BUDGET);
            for placement in &decisions.placements {
                replay.start(placement.task, now);
            }
            for stop in &decisions.stops {
                replay.stop(stop.task, stop.checkpoint, now);
            }
            if !decisions.more {
                break;
            }
        }
        let tick = now + PASS_INTERVAL_MAX_MS;
        now = replay
            .next_time()
            .map_or(tick, |at| at.min(tick))
            .max(now + 1);
    }
    replay.outcomes
}

/// Order in which a simple queue is served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// By time of submission (FCFS).
    FirstCome,
    /// By deadline (EDF). Urgent jobs sort by their time of submission instead, and jobs without a
    /// deadline come last.
    EarliestDeadline,
}

/// A simple queue whose tasks are placed by best fit.
#[derive(Clone, Copy, Debug)]
pub struct SimpleQueue {
    /// Order in which waiting jobs are considered.
    pub order: Order,
    /// Whether jobs behind one that does not fit may start (backfilling).
    pub backfill: bool,
}

/// Sort key and index of an arrival; the index breaks ties.
type QueueKey = (u64, usize);

/// Replays the arrivals through a simple queue; the outcomes are in the order of the arrivals.
pub fn replay_queue(cluster: &Cluster, arrivals: &[Arrival], queue: SimpleQueue) -> Vec<Outcome> {
    let mut cluster_model = SimpleCluster::new(cluster, Rule::BestFit, 0);
    let mut replay = Replay::new(arrivals);
    let mut waiting: BTreeMap<QueueKey, Vec<TaskId>> = BTreeMap::new();
    let mut placed: BTreeMap<TaskId, (usize, Resources)> = BTreeMap::new();
    let mut now = Millis::ZERO;
    while replay.unfinished_jobs > 0 {
        while let Some(arrival) = replay.next_arrival(now) {
            let position = arrival.view.id.0 as usize;
            let tasks = arrival.view.tasks.iter().map(|task| task.id).collect();
            waiting.insert((queue.key(arrival), position), tasks);
        }
        while let Some(event) = replay.next_event(now) {
            if let Some((task, _)) = replay.apply(event, now)
                && let Some((worker, need)) = placed.remove(&task)
            {
                cluster_model.release(worker, &need);
            }
        }
        let mut done = Vec::new();
        for (&key, tasks) in &mut waiting {
            let arrival = &arrivals[key.1];
            let starts = start_tasks(arrival, tasks, &mut cluster_model);
            for (task, worker) in starts {
                placed.insert(task, (worker, arrival.view.resources));
                replay.start(task, now);
            }
            if tasks.is_empty() {
                done.push(key);
            } else if !queue.backfill {
                break;
            }
        }
        for key in done {
            waiting.remove(&key);
        }
        now = replay.next_time().unwrap_or(now).max(now + 1);
    }
    replay.outcomes
}

impl SimpleQueue {
    fn key(&self, arrival: &Arrival) -> u64 {
        match self.order {
            Order::FirstCome => arrival.view.submitted.0,
            Order::EarliestDeadline if arrival.is_urgent() => arrival.view.submitted.0,
            Order::EarliestDeadline => arrival.deadline().map_or(u64::MAX, |deadline| deadline.0),
        }
    }
}

/// Starts the tasks of a job that fit, and removes them from `tasks`. Returns them with the indexes
/// of their workers. A gang starts as a whole or not at all.
fn start_tasks(
    arrival: &Arrival,
    tasks: &mut Vec<TaskId>,
    cluster_model: &mut SimpleCluster,
) -> Vec<(TaskId, usize)> {
    let need = &arrival.view.resources;
    let mut starts = Vec::new();
    while let Some(&task) = tasks.last() {
        let Some(worker) = cluster_model.place(need) else {
            break;
        };
        tasks.pop();
        starts.push((task, worker));
    }
    let is_gang = matches!(arrival.view.policy, JobPolicy::Gang { .. });
    if is_gang && !tasks.is_empty() {
        for (task, worker) in starts.drain(..).rev() {
            cluster_model.release(worker, need);
            tasks.push(task);
        }
    }
    starts
}
