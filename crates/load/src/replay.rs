//! Arrivals replayed on a virtual clock, through the placer and through simple queues.
//!
//! A placement takes effect after a command's delay and a displaced task stops after that delay
//! and its checkpoint. There is no other model of a cluster.

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

/// From a decision to its effect: one commit, a hop and a worker's open poll.
const COMMAND_MS: u64 = 10;

/// The longest time between two calls of `decide` while there is work.
const TICK_MS: u64 = 100;

/// Budget of one call.
const BUDGET: usize = 256;

/// What happened to one job.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// From the submission to the start of the last task that started first.
    pub start_ms: u64,
    /// The time that its tasks waited, summed over tasks and attempts.
    pub waited_ms: u64,
    /// The end of its last task.
    pub end: Millis,
    /// Tasks that have ended.
    ended: usize,
    started: usize,
}

/// One task of the replay.
struct Task {
    job: usize,
    left_ms: u64,
    waits_since: Millis,
    started: Option<Millis>,
    ran: bool,
    /// Raised with each start or stop, so that older events are void.
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

/// Events, tasks and outcomes, whatever places the tasks.
struct Replay<'a> {
    arrivals: &'a [Arrival],
    tasks: Vec<Task>,
    events: BinaryHeap<Reverse<(Millis, Event)>>,
    outcomes: Vec<Outcome>,
    next: usize,
    open: usize,
}

impl<'a> Replay<'a> {
    fn new(arrivals: &'a [Arrival]) -> Replay<'a> {
        let mut tasks = Vec::new();
        for (job, arrival) in arrivals.iter().enumerate() {
            tasks.extend(arrival.view.tasks.iter().map(|_| Task {
                job,
                left_ms: arrival.actual_ms,
                waits_since: arrival.view.submitted,
                started: None,
                ran: false,
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
            next: 0,
            open: arrivals.len() - services.count(),
        }
    }

    /// The time of the next arrival or event.
    fn next_time(&self) -> Option<Millis> {
        let arrival = self
            .arrivals
            .get(self.next)
            .map(|arrival| arrival.view.submitted);
        let event = self.events.peek().map(|Reverse((at, _))| *at);
        arrival.into_iter().chain(event).min()
    }

    fn next_arrival(&mut self, now: Millis) -> Option<&'a Arrival> {
        let arrival = self.arrivals.get(self.next)?;
        if arrival.view.submitted > now {
            return None;
        }
        self.next += 1;
        Some(arrival)
    }

    fn next_event(&mut self, now: Millis) -> Option<Event> {
        if self.events.peek()?.0.0 > now {
            return None;
        }
        self.events.pop().map(|Reverse((_, event))| event)
    }

    fn start(&mut self, id: TaskId, now: Millis) {
        let at = now + COMMAND_MS;
        let task = &mut self.tasks[id.0 as usize];
        task.started = Some(at);
        task.version += 1;
        let waited_ms = at.since(task.waits_since);
        let outcome = &mut self.outcomes[task.job];
        outcome.waited_ms += waited_ms;
        if !task.ran {
            task.ran = true;
            outcome.started += 1;
            outcome.start_ms = outcome.start_ms.max(waited_ms);
        }
        let arrival = &self.arrivals[task.job];
        if arrival.view.policy != JobPolicy::Service {
            let event = Event::End {
                task: id,
                version: task.version,
            };
            self.events.push(Reverse((at + task.left_ms, event)));
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
            .push(Reverse((now + COMMAND_MS + cost_ms, event)));
    }

    /// Applies an event; returns the task and how it ended, unless the event is void.
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
        task.waits_since = now;
        match event {
            Event::End { .. } => {
                let outcome = &mut self.outcomes[task.job];
                outcome.ended += 1;
                outcome.end = now;
                if outcome.ended == self.arrivals[task.job].view.tasks.len() {
                    self.open -= 1;
                }
                Some((id, TaskEnd::Finished))
            }
            Event::Stopped { checkpointed, .. } => {
                if checkpointed {
                    task.left_ms = task.left_ms.saturating_sub(ran_ms).max(1);
                }
                Some((id, TaskEnd::Stopped))
            }
        }
    }
}

/// Replays the arrivals through the placer.
pub fn through_placer(cluster: &Cluster, arrivals: &[Arrival], seed: u64) -> Vec<Outcome> {
    let mut placer = Placer::new(PlacementConfig::default(), seed);
    for view in cluster.views() {
        placer.upsert_worker(view);
    }
    let mut replay = Replay::new(arrivals);
    let mut now = Millis::ZERO;
    while replay.open > 0 {
        while let Some(arrival) = replay.next_arrival(now) {
            placer.submit(now, arrival.view.clone());
        }
        while let Some(event) = replay.next_event(now) {
            if let Some((task, end)) = replay.apply(event, now) {
                placer.release(now, task, end);
            }
        }
        loop {
            let decisions = placer.decide(now, BUDGET);
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
        let tick = now + TICK_MS;
        now = replay
            .next_time()
            .map_or(tick, |at| at.min(tick))
            .max(now + 1);
    }
    replay.outcomes
}

/// The order of a simple queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// By arrival.
    FirstCome,
    /// By deadline, urgent jobs first and jobs without a deadline last.
    EarliestDeadline,
}

/// A simple queue in front of a best-fit placement.
#[derive(Clone, Copy, Debug)]
pub struct SimpleQueue {
    /// Its order.
    pub order: Order,
    /// Whether jobs behind one that must wait may start.
    pub passing: bool,
}

type Key = (u64, usize);

/// Replays the arrivals through a simple queue.
pub fn through_queue(cluster: &Cluster, arrivals: &[Arrival], queue: SimpleQueue) -> Vec<Outcome> {
    let mut simple = SimpleCluster::new(cluster, Rule::BestFit, 0);
    let mut replay = Replay::new(arrivals);
    let mut waiting: BTreeMap<Key, Vec<TaskId>> = BTreeMap::new();
    let mut placed: BTreeMap<TaskId, (usize, Resources)> = BTreeMap::new();
    let mut now = Millis::ZERO;
    while replay.open > 0 {
        while let Some(arrival) = replay.next_arrival(now) {
            let position = arrival.view.id.0 as usize;
            let tasks = arrival.view.tasks.iter().map(|task| task.id).collect();
            waiting.insert((queue.key(arrival), position), tasks);
        }
        while let Some(event) = replay.next_event(now) {
            if let Some((task, _)) = replay.apply(event, now)
                && let Some((worker, need)) = placed.remove(&task)
            {
                simple.free(worker, &need);
            }
        }
        let mut done = Vec::new();
        for (&key, tasks) in &mut waiting {
            let arrival = &arrivals[key.1];
            let starts = start_tasks(arrival, tasks, &mut simple);
            for (task, worker) in starts {
                placed.insert(task, (worker, arrival.view.resources));
                replay.start(task, now);
            }
            if tasks.is_empty() {
                done.push(key);
            } else if !queue.passing {
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

/// Starts the tasks of a job that fit; a gang starts whole or not at all.
fn start_tasks(
    arrival: &Arrival,
    tasks: &mut Vec<TaskId>,
    simple: &mut SimpleCluster,
) -> Vec<(TaskId, usize)> {
    let need = &arrival.view.resources;
    let mut starts = Vec::new();
    while let Some(&task) = tasks.last() {
        let Some(worker) = simple.place(need) else {
            break;
        };
        tasks.pop();
        starts.push((task, worker));
    }
    let is_gang = matches!(arrival.view.policy, JobPolicy::Gang { .. });
    if is_gang && !tasks.is_empty() {
        for (task, worker) in starts.drain(..).rev() {
            simple.free(worker, need);
            tasks.push(task);
        }
    }
    starts
}
