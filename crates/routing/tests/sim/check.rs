//! The check of a simulated run, independent of the router's own state.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use sapphirepost_routing::Answer;
use sapphirepost_routing::RequestKey;
use sapphirepost_routing::SendKey;
use sapphirepost_types::RequestClass;

use super::World;

/// Slots of a runner, and those of them that only lookups may use.
const SLOTS: usize = 8;
const LOOKUP_SLOTS: usize = 2;
const CONNECTIONS: usize = 64;
/// An answer may come this much later than the deadline, because timers count milliseconds.
const ANSWER_SLACK_MS: u64 = 5;
/// No new request reaches a leaving runner after this time.
const LEAVING_MS: u64 = 3_000;

/// What happened, and what should not have.
#[derive(Default)]
pub struct Checker {
    pub violations: BTreeSet<String>,
    /// The response of each try: for which request it is, and whether it is complete.
    pub responses: BTreeMap<(usize, SendKey), (RequestKey, bool)>,
    /// Tries whose response is an error of the runner.
    pub errors: BTreeSet<(usize, SendKey)>,
    /// Errors of runners that were passed on, and unknown endings.
    pub failed: usize,
    /// Whether an entry has taken the fault for its own.
    pub own_fault: bool,
    pub retries: u64,
    pub timeouts: u64,
    runs: BTreeMap<(usize, RequestKey), u32>,
    runs_by_id: BTreeMap<String, u32>,
    pub answers: BTreeMap<(usize, RequestKey), (Answer, u64)>,
    pub started: usize,
    pub done_ms: [Vec<u64>; 3],
    /// Answered requests by class: done with a status below 500, refused, unknown or failed.
    pub ended: [[usize; 3]; 3],
    pub refused_by_caller: BTreeMap<u64, (usize, usize)>,
}

impl Checker {
    fn violation(&mut self, kind: &str, detail: String) {
        if self.violations.len() < 20 {
            self.violations.insert(format!("{kind}: {detail}"));
        }
    }

    pub fn has(&self, kind: &str) -> bool {
        self.violations.iter().any(|text| text.starts_with(kind))
    }
}

pub fn run_started(world: &mut World, runner: usize, entry: usize, request: RequestKey) {
    let asked = &world.asked[&(entry, request)];
    let new = asked.new.clone();
    let now = world.now;
    world.check.started += 1;
    let runs = world.check.runs.entry((entry, request)).or_default();
    *runs += 1;
    let runs = *runs;
    if !new.idempotent && runs > 1 {
        let detail = format!("{request:?} at entry {entry}, {now}");
        world.check.violation("duplicate", detail);
    }
    if let Some(id) = new.id.filter(|_| !new.idempotent) {
        let runs = world.check.runs_by_id.entry(id.to_string()).or_default();
        *runs += 1;
        if *runs > 1 {
            world.check.violation("duplicate", format!("{id} at {now}"));
        }
    }
    if now > new.deadline.0 + super::NET_MS {
        let detail = format!("{request:?} at {now}, deadline {}", new.deadline);
        world.check.violation("started late", detail);
    }
    let left = world.runners[runner].leaving_since;
    if let Some(since) = left
        && now > since + LEAVING_MS
        && since > world.last_cut.saturating_add(1_000)
    {
        let detail = format!("runner {runner} at {now}, leaving since {since}");
        world.check.violation("leaving", detail);
    }
}

pub fn slots(world: &mut World, runner: usize) {
    let (lookups, others) = world.runners[runner].load();
    if lookups + others > SLOTS || others > SLOTS - LOOKUP_SLOTS {
        let detail = format!("runner {runner} has {lookups} + {others} at {}", world.now);
        world.check.violation("slots", detail);
    }
}

pub fn connections(world: &mut World, runner: usize) {
    let silent = |(_, silent): &(_, &bool)| !**silent;
    let count = world.runners[runner]
        .connections
        .iter()
        .filter(silent)
        .count();
    if count > CONNECTIONS {
        world
            .check
            .violation("connections", format!("runner {runner} has {count}"));
    }
}

pub fn answer(world: &mut World, entry: usize, request: RequestKey, answer: &Answer, paused: bool) {
    let asked = world.asked[&(entry, request)].clone();
    let now = world.now;
    let earlier = world
        .check
        .answers
        .insert((entry, request), (answer.clone(), now));
    if earlier.is_some() {
        world
            .check
            .violation("answered twice", format!("{request:?}"));
    }
    if now > asked.new.deadline.0 + ANSWER_SLACK_MS && !paused {
        let detail = format!("{request:?} at {now}, deadline {}", asked.new.deadline);
        world.check.violation("answered late", detail);
    }
    if let Answer::Forward(send) = answer {
        match world.check.responses.get(&(entry, *send)) {
            Some((of, true)) if *of == request => {}
            other => {
                let detail = format!("{request:?} got {other:?}");
                world.check.violation("mixed response", detail);
            }
        }
    }
    let failed = match answer {
        Answer::Forward(send) => world.check.errors.contains(&(entry, *send)),
        Answer::Unknown { .. } => true,
        _ => false,
    };
    world.check.failed += usize::from(failed);
    note_ending(world, &asked, answer, now);
}

fn note_ending(world: &mut World, asked: &super::Asked, answer: &Answer, now: u64) {
    let class = asked.new.class as usize;
    let ending = match answer {
        Answer::Forward(_) | Answer::Recorded { .. } => 0,
        Answer::Refused { .. } => 1,
        Answer::Unknown { .. } => 2,
    };
    world.check.ended[class][ending] += 1;
    let by_caller = world
        .check
        .refused_by_caller
        .entry(asked.new.caller)
        .or_default();
    by_caller.0 += 1;
    by_caller.1 += usize::from(ending == 1);
    if ending == 0 {
        world.check.done_ms[class].push(now - asked.at);
    }
}

/// What can be judged only at the end of the run.
pub fn finish(world: &mut World) {
    for entry in &world.entries {
        let stats = entry.router.stats();
        world.check.retries += stats.retries;
        world.check.timeouts += stats.timeouts;
    }
    let keys: Vec<_> = world.asked.keys().copied().collect();
    for key in keys {
        match world.check.answers.get(&key).map(|(answer, _)| answer) {
            None => world.check.violation("no answer", format!("{key:?}")),
            Some(Answer::Refused { reason, .. }) if world.check.runs.contains_key(&key) => {
                let detail = format!("{key:?} was refused for {reason:?}");
                world.check.violation("not run, but ran", detail);
            }
            Some(_) => {}
        }
    }
    let open: Vec<String> = world
        .claims
        .iter()
        .filter(|(_, (_, _, outcome))| outcome.is_none())
        .map(|(id, _)| id.to_string())
        .collect();
    for id in open {
        world.check.violation("claim left open", id);
    }
}

/// The share of refused requests of the callers with a number from `from` on.
pub fn refused_share(checker: &Checker, from: u64) -> f64 {
    let (all, refused) = checker
        .refused_by_caller
        .range(from..)
        .fold((0, 0), |sum, (_, of)| (sum.0 + of.0, sum.1 + of.1));
    refused as f64 / all.max(1) as f64
}

/// The given quantile of the times to a done answer.
pub fn quantile_ms(checker: &Checker, class: RequestClass, quantile: f64) -> u64 {
    let mut times = checker.done_ms[class as usize].clone();
    times.sort_unstable();
    let index = ((times.len() as f64 * quantile) as usize).min(times.len().saturating_sub(1));
    times.get(index).copied().unwrap_or(0)
}
