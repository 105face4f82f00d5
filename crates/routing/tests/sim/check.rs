//! Checks of a simulation. Violations are found from what callers and runners see, without the
//! state of the routers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use sapphirepost_routing::Answer;
use sapphirepost_routing::RequestKey;
use sapphirepost_routing::SendKey;
use sapphirepost_types::RequestClass;

use super::Simulation;

/// The slots of a runner, `LOOKUP_SLOTS` of which only lookups may use.
const SLOTS: usize = 8;
const LOOKUP_SLOTS: usize = 2;
const CONNECTIONS: usize = 64;
/// The time by which an answer may miss the deadline, because timers have a resolution of 1 ms.
const ANSWER_SLACK_MS: u64 = 5;
/// The time after which no new request may reach a leaving runner.
const LEAVING_MS: u64 = 3_000;

/// Results of a simulation and the violations found in it.
#[derive(Default)]
pub struct Checker {
    pub violations: BTreeSet<String>,
    /// The response to each attempt: the request that it answers, and whether it is complete.
    pub responses: BTreeMap<(usize, SendKey), (RequestKey, bool)>,
    /// Attempts whose response is an error of the runner.
    pub errors: BTreeSet<(usize, SendKey)>,
    /// The number of requests answered with an error of a runner or as unknown.
    pub failed: usize,
    /// Whether an entry has suspected a fault of its own at any time.
    pub local_fault_suspected: bool,
    pub retries: u64,
    pub timeouts: u64,
    runs: BTreeMap<(usize, RequestKey), u32>,
    runs_by_id: BTreeMap<String, u32>,
    pub answers: BTreeMap<(usize, RequestKey), (Answer, u64)>,
    pub started: usize,
    pub done_ms: [Vec<u64>; 3],
    /// The number of answered requests by class: done (errors that were passed on included),
    /// refused, unknown.
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

pub fn run_started(sim: &mut Simulation, runner: usize, entry: usize, request: RequestKey) {
    let submitted = &sim.submitted[&(entry, request)];
    let params = submitted.params.clone();
    let now = sim.now;
    sim.check.started += 1;
    let runs = sim.check.runs.entry((entry, request)).or_default();
    *runs += 1;
    let runs = *runs;
    if !params.idempotent && runs > 1 {
        let detail = format!("{request:?} at entry {entry}, {now}");
        sim.check.violation("duplicate", detail);
    }
    if let Some(id) = params.id.filter(|_| !params.idempotent) {
        let runs = sim.check.runs_by_id.entry(id.to_string()).or_default();
        *runs += 1;
        if *runs > 1 {
            sim.check.violation("duplicate", format!("{id} at {now}"));
        }
    }
    if now > params.deadline.0 + super::NET_MS {
        let detail = format!("{request:?} at {now}, deadline {}", params.deadline);
        sim.check.violation("started late", detail);
    }
    let leaving_since = sim.runners[runner].leaving_since;
    if let Some(since) = leaving_since
        && now > since + LEAVING_MS
        && since > sim.partition_end.saturating_add(1_000)
    {
        let detail = format!("runner {runner} at {now}, leaving since {since}");
        sim.check.violation("leaving", detail);
    }
}

pub fn slots(sim: &mut Simulation, runner: usize) {
    let (lookups, others) = sim.runners[runner].load();
    if lookups + others > SLOTS || others > SLOTS - LOOKUP_SLOTS {
        let detail = format!("runner {runner} has {lookups} + {others} at {}", sim.now);
        sim.check.violation("slots", detail);
    }
}

pub fn connections(sim: &mut Simulation, runner: usize) {
    let works = |(_, silent): &(_, &bool)| !**silent;
    let count = sim.runners[runner].connections.iter().filter(works).count();
    if count > CONNECTIONS {
        sim.check
            .violation("connections", format!("runner {runner} has {count}"));
    }
}

pub fn answer(
    sim: &mut Simulation,
    entry: usize,
    request: RequestKey,
    answer: &Answer,
    paused: bool,
) {
    let submitted = sim.submitted[&(entry, request)].clone();
    let now = sim.now;
    let earlier = sim
        .check
        .answers
        .insert((entry, request), (answer.clone(), now));
    if earlier.is_some() {
        sim.check
            .violation("answered twice", format!("{request:?}"));
    }
    if now > submitted.params.deadline.0 + ANSWER_SLACK_MS && !paused {
        let detail = format!(
            "{request:?} at {now}, deadline {}",
            submitted.params.deadline
        );
        sim.check.violation("answered late", detail);
    }
    if let Answer::Forward(send) = answer {
        match sim.check.responses.get(&(entry, *send)) {
            Some((answered, true)) if *answered == request => {}
            other => {
                let detail = format!("{request:?} got {other:?}");
                sim.check.violation("mixed response", detail);
            }
        }
    }
    let failed = match answer {
        Answer::Forward(send) => sim.check.errors.contains(&(entry, *send)),
        Answer::Unknown { .. } => true,
        _ => false,
    };
    sim.check.failed += usize::from(failed);
    record_ending(sim, &submitted, answer, now);
}

fn record_ending(
    sim: &mut Simulation,
    submitted: &super::SubmittedRequest,
    answer: &Answer,
    now: u64,
) {
    let class = submitted.params.class as usize;
    let ending = match answer {
        Answer::Forward(_) | Answer::Recorded { .. } => 0,
        Answer::Refused { .. } => 1,
        Answer::Unknown { .. } => 2,
    };
    sim.check.ended[class][ending] += 1;
    let by_caller = sim
        .check
        .refused_by_caller
        .entry(submitted.params.caller)
        .or_default();
    by_caller.0 += 1;
    by_caller.1 += usize::from(ending == 1);
    if ending == 0 {
        sim.check.done_ms[class].push(now - submitted.at);
    }
}

/// Makes the checks that need the whole run: every request was answered, no refused request ran,
/// and no claim is left open.
pub fn finish(sim: &mut Simulation) {
    for entry in &sim.entries {
        let stats = entry.router.stats();
        sim.check.retries += stats.retries;
        sim.check.timeouts += stats.timeouts;
    }
    let keys: Vec<_> = sim.submitted.keys().copied().collect();
    for key in keys {
        match sim.check.answers.get(&key).map(|(answer, _)| answer) {
            None => sim.check.violation("no answer", format!("{key:?}")),
            Some(Answer::Refused { reason, .. }) if sim.check.runs.contains_key(&key) => {
                let detail = format!("{key:?} was refused for {reason:?}");
                sim.check.violation("not run, but ran", detail);
            }
            Some(_) => {}
        }
    }
    let open: Vec<String> = sim
        .claims
        .iter()
        .filter(|(_, (_, _, outcome))| outcome.is_none())
        .map(|(id, _)| id.to_string())
        .collect();
    for id in open {
        sim.check.violation("claim left open", id);
    }
}

/// The fraction of requests that were refused, of the callers with a number of at least `from`.
pub fn refused_fraction(checker: &Checker, from: u64) -> f64 {
    let (all, refused) = checker
        .refused_by_caller
        .range(from..)
        .fold((0, 0), |sum, (_, totals)| {
            (sum.0 + totals.0, sum.1 + totals.1)
        });
    refused as f64 / all.max(1) as f64
}

/// The given quantile of the times until requests of a class were answered as done.
pub fn quantile_ms(checker: &Checker, class: RequestClass, quantile: f64) -> u64 {
    let mut times = checker.done_ms[class as usize].clone();
    times.sort_unstable();
    let index = ((times.len() as f64 * quantile) as usize).min(times.len().saturating_sub(1));
    times.get(index).copied().unwrap_or(0)
}
