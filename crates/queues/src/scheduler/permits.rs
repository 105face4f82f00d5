//! Permits of the placement policy.
//!
//! The policy allows some workers to run a step and answers one question at a time for each
//! caller, so the questions are spread over callers. Questions that take long are kept from
//! taking all callers, since short jobs would wait behind them. What the policy has denied stays
//! denied; what it has allowed needs a fresh permit at the start only.

use std::collections::BTreeMap;
use std::sync::Arc;

use rustc_hash::FxHashMap;
use rustc_hash::FxHashSet;
use sapphirepost_types::Millis;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::StepKey;
use crate::scheduler::Action;
use crate::scheduler::Scheduler;
use crate::scheduler::callers::CALLERS_FOR_SHORT;
use crate::scheduler::callers::Callers;
use crate::scheduler::order::Rank;
use crate::scheduler::steps::StepView;
use crate::scheduler::workers::WorkerIndex;

/// A permit is not used in the last part of its life, since commit and order take time.
const PERMIT_MARGIN_MS: u64 = 350;
/// A question that takes longer than this is long.
const LONG_QUESTION_MS: u64 = 60;
/// Added to the expected time of a question before it is given to another caller.
const QUESTION_SLACK_MS: u64 = 1_500;
/// Workers that a question names at most.
pub(crate) const WORKERS_PER_QUESTION_MAX: usize = 100;
/// The pause after the policy refused a question for load.
const BUSY_PAUSE_MS: u64 = 200;
/// The pause after a question that was refused or not answered.
const RETRY_PAUSE_MS: u64 = 50;
/// A worker about which the policy refuses to answer is not named again for this long.
const REFUSED_WORKER_PAUSE_MS: u64 = 5_000;
/// Questions without a usable answer in a row after which the next one names fewer workers.
const FAILURES_MAX: u32 = 3;

/// A question for the placement policy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PermitRequest {
    /// Identifies the question among those of one leader.
    pub id: u64,
    /// The step.
    pub step: StepKey,
    /// The workers.
    pub workers: Vec<Arc<str>>,
    /// How long the answer may take.
    pub timeout_ms: u64,
}

/// What a caller learned.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PermitAnswer {
    /// The question.
    pub id: u64,
    /// What the policy said.
    pub outcome: PermitOutcome,
}

/// What became of a question.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PermitOutcome {
    /// The allowed workers with their permits; the others are denied.
    Allowed(Vec<(Arc<str>, Arc<str>)>),
    /// The policy has too much to do.
    Busy,
    /// The policy does not accept the question; the same one would be refused again.
    Refused,
    /// There was no answer that could be read.
    Unanswered,
}

/// What is known of the permits of one step.
#[derive(Debug)]
pub struct StepPermits {
    allowed: BTreeMap<WorkerIndex, Permit>,
    denied: FxHashSet<WorkerIndex>,
    /// Workers about which a question was refused, and until when they are not named again.
    refused: FxHashMap<WorkerIndex, Millis>,
    /// Workers that the next question may name.
    question_max: usize,
    /// Questions in a row that the policy neither answered nor refused.
    failures: u32,
    /// The question that is under way.
    question: Option<u64>,
    /// What to ask next.
    wanted: Option<Wanted>,
    /// No question before this time.
    paused_until: Millis,
}

/// What a step wants to ask the policy. The workers of a new question are chosen when a caller
/// takes it, since room changes while it waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Wanted {
    /// Fresh permits on workers that are known to be allowed.
    Renewal(Vec<WorkerIndex>),
    /// Permits on further workers.
    More,
}

#[derive(Debug)]
struct Permit {
    ticket: Arc<str>,
    obtained: Millis,
    is_void: bool,
}

/// Whether a step may start on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permission {
    /// It may.
    Granted,
    /// It may, with a fresh permit.
    Expired,
    /// It may not, or the policy does not answer about the worker at present.
    Denied,
    /// Nobody has asked.
    Unknown,
}

impl Default for StepPermits {
    fn default() -> StepPermits {
        StepPermits {
            allowed: BTreeMap::new(),
            denied: FxHashSet::default(),
            refused: FxHashMap::default(),
            question_max: WORKERS_PER_QUESTION_MAX,
            failures: 0,
            question: None,
            wanted: None,
            paused_until: Millis::ZERO,
        }
    }
}

impl StepPermits {
    /// Whether the step may start on a worker.
    pub fn of(&self, worker: WorkerIndex, valid_ms: u64, now: Millis) -> Permission {
        if let Some(permit) = self.allowed.get(&worker) {
            let usable_ms = valid_ms.saturating_sub(PERMIT_MARGIN_MS);
            let is_fresh = !permit.is_void && now.since(permit.obtained) < usable_ms;
            if is_fresh {
                return Permission::Granted;
            }
        }
        if self.denied.contains(&worker) || !self.may_name(worker, now) {
            return Permission::Denied;
        }
        if self.allowed.contains_key(&worker) {
            return Permission::Expired;
        }
        Permission::Unknown
    }

    /// Asks the policy, unless a question is under way.
    pub fn want(&mut self, wanted: Wanted, now: Millis) {
        if self.question.is_none() && now >= self.paused_until {
            self.wanted = Some(wanted);
        }
    }

    /// The workers on which the step may start, in order.
    pub fn allowed(&self) -> impl Iterator<Item = WorkerIndex> {
        self.allowed.keys().copied()
    }

    /// Whether a question is under way.
    pub fn is_asking(&self) -> bool {
        self.question.is_some()
    }

    /// How many workers a question may name.
    pub fn question_max(&self) -> usize {
        self.question_max
    }

    /// Whether a question may name a worker.
    fn may_name(&self, worker: WorkerIndex, now: Millis) -> bool {
        let refused_until = self.refused.get(&worker);
        refused_until.is_none_or(|until| *until <= now)
    }

    /// The policy refused a question about these workers. The next one names half as many, since a
    /// repeated question would be refused for ever; a worker that is refused alone is left out.
    fn refused(&mut self, workers: &[WorkerIndex], now: Millis) {
        self.paused_until = now + RETRY_PAUSE_MS;
        if let [worker] = workers {
            self.refused.insert(*worker, now + REFUSED_WORKER_PAUSE_MS);
            return;
        }
        self.question_max = (workers.len() / 2).max(1);
    }

    /// A question about these workers has no answer for a reason that may pass. One that fails each
    /// time is taken for refused.
    fn failed(&mut self, workers: &[WorkerIndex], pause_ms: u64, now: Millis) {
        self.failures += 1;
        if self.failures >= FAILURES_MAX {
            self.failures = 0;
            self.refused(workers, now);
        }
        self.paused_until = now + pause_ms;
    }

    /// A question was answered, so the next one may name more workers.
    fn answered(&mut self) {
        self.failures = 0;
        self.question_max = (2 * self.question_max).min(WORKERS_PER_QUESTION_MAX);
    }

    /// Whether nothing was ever asked.
    pub fn is_unasked(&self) -> bool {
        self.allowed.is_empty() && self.denied.is_empty() && self.question.is_none()
    }
}

/// A question under way.
#[derive(Debug)]
struct Asked {
    step: StepKey,
    workers: Vec<WorkerIndex>,
    caller: Arc<str>,
    is_long: bool,
    given: Millis,
    /// How long the policy takes.
    expected_ms: u64,
    expires: Millis,
}

/// What an answer of the policy was about, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnsweredQuestion {
    /// The step.
    pub step: StepKey,
    /// Who asked.
    pub caller: Arc<str>,
    /// How many workers it named.
    pub workers: usize,
    /// How long it took.
    pub took_ms: u64,
    /// How long the policy says that it takes.
    pub expected_ms: u64,
}

/// The callers of the policy and the questions under way.
#[derive(Debug, Default)]
pub struct PermitDesk {
    callers: Callers,
    asked: FxHashMap<u64, Asked>,
    last_id: u64,
    /// Whether a question may have become possible.
    pub(crate) is_dispatch_due: bool,
}

impl PermitDesk {
    pub(crate) fn forget(&mut self, step: StepKey) {
        self.asked.retain(|_, asked| asked.step != step);
    }

    fn long_under_way(&self) -> usize {
        self.asked.values().filter(|asked| asked.is_long).count()
    }
}

impl Scheduler {
    /// A caller of the policy waits for a question.
    pub fn caller_waits(&mut self, caller: &Arc<str>, now: Millis) {
        self.desk.callers.waits(caller, now);
        self.desk.is_dispatch_due = true;
    }

    /// A caller no longer waits; its question, if it got one, is answered later.
    pub fn caller_gone(&mut self, caller: &str) {
        self.desk.callers.gone(caller);
    }

    /// A caller brings an answer. Returns the question, unless it was given up before.
    pub fn permits_answered(
        &mut self,
        answer: &PermitAnswer,
        now: Millis,
    ) -> Option<AnsweredQuestion> {
        let asked = self.desk.asked.remove(&answer.id)?;
        self.rounds.is_due = true;
        let took_ms = now.since(asked.given);
        let delay_ms = took_ms.saturating_sub(asked.expected_ms);
        self.desk.callers.answered(&asked.caller, delay_ms);
        let question = AnsweredQuestion {
            step: asked.step,
            caller: asked.caller.clone(),
            workers: asked.workers.len(),
            took_ms,
            expected_ms: asked.expected_ms,
        };
        self.answered_steps.push(asked.step);
        self.note_permits(asked, answer, now);
        Some(question)
    }

    fn note_permits(&mut self, asked: Asked, answer: &PermitAnswer, now: Millis) {
        let Some(view) = self.steps.get_mut(&asked.step) else {
            return;
        };
        view.permits.question = None;
        let allowed = match &answer.outcome {
            PermitOutcome::Allowed(allowed) => allowed,
            PermitOutcome::Refused => {
                self.counts.refused_asks += 1;
                return view.permits.refused(&asked.workers, now);
            }
            PermitOutcome::Busy => {
                return view.permits.failed(&asked.workers, BUSY_PAUSE_MS, now);
            }
            PermitOutcome::Unanswered => {
                return view.permits.failed(&asked.workers, RETRY_PAUSE_MS, now);
            }
        };
        view.permits.answered();
        for index in asked.workers {
            let Some(worker) = self.workers.get(index) else {
                continue;
            };
            let found = allowed.iter().find(|(id, _)| *id == worker.record.id);
            match found {
                Some((_, ticket)) => {
                    let permit = Permit {
                        ticket: ticket.clone(),
                        obtained: now,
                        is_void: false,
                    };
                    view.permits.allowed.insert(index, permit);
                }
                None => {
                    view.permits.allowed.remove(&index);
                    view.permits.denied.insert(index);
                }
            }
        }
    }

    /// The permit of a step on a worker.
    pub(crate) fn permit(&self, step: StepKey, worker: WorkerIndex) -> Option<Arc<str>> {
        let permits = &self.steps.get(&step)?.permits;
        Some(permits.allowed.get(&worker)?.ticket.clone())
    }

    /// A worker did not take the permit.
    pub(crate) fn forget_permit(&mut self, step: StepKey, worker: WorkerIndex) {
        let view = self.steps.get_mut(&step);
        if let Some(permit) = view.and_then(|view| view.permits.allowed.get_mut(&worker)) {
            permit.is_void = true;
        }
    }

    /// Gives up questions that were not answered, and forgets callers that are gone.
    pub(crate) fn tick_permits(&mut self, now: Millis) {
        let late: Vec<u64> = self
            .desk
            .asked
            .iter()
            .filter(|(_, asked)| asked.expires <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            let Some(asked) = self.desk.asked.remove(&id) else {
                continue;
            };
            self.desk.callers.missed(&asked.caller, now);
            if let Some(view) = self.steps.get_mut(&asked.step) {
                view.permits.question = None;
                view.permits.failed(&asked.workers, 0, now);
            }
            self.rounds.is_due = true;
        }
        self.desk.callers.forget_silent(now);
    }

    /// Gives wanted questions to callers that wait, in the order of the steps.
    pub(crate) fn dispatch_questions(&mut self, now: Millis) {
        if self.desk.callers.next(false, now).is_none() {
            return;
        }
        let wanting = self
            .steps
            .values()
            .filter(|view| view.permits.wanted.is_some() && view.permits.question.is_none());
        let mut wanting: Vec<(bool, Rank)> = wanting
            .map(|view| (self.is_long(view), Rank::of(view, now)))
            .collect();
        wanting.sort_unstable();
        let total = self.desk.callers.len();
        let long_max = total.saturating_sub(CALLERS_FOR_SHORT).max(1);
        for (is_long, rank) in wanting {
            if is_long && self.desk.long_under_way() >= long_max {
                return;
            }
            let Some(caller) = self.desk.callers.next(is_long, now) else {
                return;
            };
            self.ask(rank.key, caller, is_long, now);
        }
    }

    fn is_long(&self, view: &StepView) -> bool {
        let workers = match &view.permits.wanted {
            Some(Wanted::Renewal(workers)) => workers.len().min(view.permits.question_max),
            _ => self.question_size(view),
        };
        let cost = view.queue.permits;
        cost.is_some_and(|cost| cost.total_ms(workers) > LONG_QUESTION_MS)
    }

    /// Takes the workers to ask about for a step.
    fn take_wanted(&mut self, step: StepKey, now: Millis) -> Option<Vec<WorkerIndex>> {
        let wanted = self.steps.get_mut(&step)?.permits.wanted.take()?;
        let view = self.steps.get(&step)?;
        let mut workers = match wanted {
            Wanted::Renewal(workers) => workers,
            Wanted::More => self.question(view, now),
        };
        workers.retain(|worker| view.permits.may_name(*worker, now));
        workers.truncate(view.permits.question_max);
        (!workers.is_empty()).then_some(workers)
    }

    fn ask(&mut self, step: StepKey, caller: Arc<str>, is_long: bool, now: Millis) {
        let Some(workers) = self.take_wanted(step, now) else {
            return;
        };
        let Some(view) = self.steps.get_mut(&step) else {
            return;
        };
        let Some(cost) = view.queue.permits else {
            return;
        };
        let expected_ms = cost.total_ms(workers.len());
        let timeout_ms = expected_ms + QUESTION_SLACK_MS;
        self.desk.last_id += 1;
        let id = self.desk.last_id;
        view.permits.question = Some(id);
        let known = workers.iter().filter_map(|index| self.workers.get(*index));
        let request = PermitRequest {
            id,
            step,
            workers: known.map(|worker| worker.record.id.clone()).collect(),
            timeout_ms,
        };
        self.desk.callers.given(&caller, now + timeout_ms);
        let asked = Asked {
            step,
            workers,
            caller: caller.clone(),
            is_long,
            given: now,
            expected_ms,
            expires: now + timeout_ms + QUESTION_SLACK_MS,
        };
        self.desk.asked.insert(id, asked);
        self.counts.asks += 1;
        self.actions.push(Action::Ask { caller, request });
    }
}
