//! Permits of the placement policy.
//!
//! The policy allows some workers to run a step and answers one question at a time for each
//! caller, so the questions are spread over callers. Questions that take long are kept from
//! taking all callers, since short jobs would wait behind them. What the policy has denied stays
//! denied; what it has allowed needs a fresh permit at the start only.

use std::sync::Arc;

use rustc_hash::FxHashMap;
use sapphirepost_types::Millis;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::StepKey;
use crate::scheduler::Action;
use crate::scheduler::Scheduler;
use crate::scheduler::order::Rank;
use crate::scheduler::policy_clients::CLIENTS_FOR_SHORT;
use crate::scheduler::policy_clients::PolicyClients;
use crate::scheduler::step_permits::Wanted;
use crate::scheduler::steps::StepView;
use crate::scheduler::workers::WorkerIndex;

/// A question that takes longer than this is long.
const LONG_QUESTION_MS: u64 = 60;
/// Bits for the questions of one leader in their identities; the term is in the others.
const QUESTIONS_BITS: u32 = 32;
/// Added to the expected time of a question before it is given to another caller.
const QUESTION_SLACK_MS: u64 = 1_500;
/// A question for the placement policy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PermitRequest {
    /// Identifies the question among those of all leaders.
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

/// A question under way.
#[derive(Debug)]
struct Asked {
    step: StepKey,
    workers: Vec<WorkerIndex>,
    client: Arc<str>,
    is_long: bool,
    given: Millis,
    /// How long the policy takes.
    expected_ms: u64,
    expires: Millis,
}

/// What an answer of the policy was about, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnsweredPermitRequest {
    /// The step.
    pub step: StepKey,
    /// Who asked.
    pub client: Arc<str>,
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
    clients: PolicyClients,
    asked: FxHashMap<u64, Asked>,
    last_id: u64,
    /// Whether a question may have become possible.
    pub(crate) is_dispatch_due: bool,
}

impl PermitDesk {
    /// No question yet. Questions of different leaders have different identities, since an answer
    /// may reach a later leader than the one that asked.
    pub(crate) fn new(term: u64) -> PermitDesk {
        PermitDesk {
            last_id: term << QUESTIONS_BITS,
            ..PermitDesk::default()
        }
    }

    pub(crate) fn forget(&mut self, step: StepKey) {
        self.asked.retain(|_, asked| asked.step != step);
    }

    fn long_under_way(&self) -> usize {
        self.asked.values().filter(|asked| asked.is_long).count()
    }
}

impl Scheduler {
    /// A caller of the policy waits for a question.
    pub fn policy_client_waits(&mut self, client: &Arc<str>, now: Millis) {
        self.desk.clients.waits(client, now);
        self.desk.is_dispatch_due = true;
    }

    /// A caller no longer waits; its question, if it got one, is answered later.
    pub fn policy_client_gone(&mut self, client: &str) {
        self.desk.clients.gone(client);
    }

    /// A caller brings an answer. Returns the question, unless it was given up before.
    pub fn handle_permit_answer(
        &mut self,
        answer: &PermitAnswer,
        now: Millis,
    ) -> Option<AnsweredPermitRequest> {
        let asked = self.desk.asked.remove(&answer.id)?;
        self.rounds.is_due = true;
        let took_ms = now.since(asked.given);
        let delay_ms = took_ms.saturating_sub(asked.expected_ms);
        self.desk.clients.answered(&asked.client, delay_ms);
        let question = AnsweredPermitRequest {
            step: asked.step,
            client: asked.client.clone(),
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
        view.permits.end();
        let allowed = match &answer.outcome {
            PermitOutcome::Allowed(allowed) => allowed,
            PermitOutcome::Refused => {
                self.counts.refused_permit_requests += 1;
                return view.permits.refused(&asked.workers, now);
            }
            PermitOutcome::Busy => {
                return view.permits.busy(&asked.workers, now);
            }
            PermitOutcome::Unanswered => {
                return view.permits.unanswered(&asked.workers, now);
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
                    view.permits.allow(index, ticket.clone(), now);
                }
                None => {
                    view.permits.deny(index);
                }
            }
        }
    }

    /// The permit of a step on a worker.
    pub(crate) fn permit(&self, step: StepKey, worker: WorkerIndex) -> Option<Arc<str>> {
        self.steps.get(&step)?.permits.ticket(worker)
    }

    /// A worker did not take the permit.
    pub(crate) fn forget_permit(&mut self, step: StepKey, worker: WorkerIndex) {
        if let Some(view) = self.steps.get_mut(&step) {
            view.permits.void(worker);
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
            self.desk.clients.missed(&asked.client, now);
            if let Some(view) = self.steps.get_mut(&asked.step) {
                view.permits.end();
                view.permits.unanswered(&asked.workers, now);
            }
            self.rounds.is_due = true;
        }
        self.desk.clients.forget_silent(now);
    }

    /// Gives wanted questions to callers that wait, in the order of the steps.
    pub(crate) fn dispatch_questions(&mut self, now: Millis) {
        if self.desk.clients.next(false, now).is_none() {
            return;
        }
        let wanting = self
            .steps
            .values()
            .filter(|view| view.permits.next_wanted().is_some());
        let mut wanting: Vec<(bool, Rank)> = wanting
            .map(|view| (self.is_long(view), Rank::of(view, now)))
            .collect();
        wanting.sort_unstable();
        let total = self.desk.clients.len();
        let long_max = total.saturating_sub(CLIENTS_FOR_SHORT).max(1);
        for (is_long, rank) in wanting {
            if is_long && self.desk.long_under_way() >= long_max {
                return;
            }
            let Some(client) = self.desk.clients.next(is_long, now) else {
                return;
            };
            self.ask(rank.key, client, is_long, now);
        }
    }

    fn is_long(&self, view: &StepView) -> bool {
        let workers = match view.permits.next_wanted() {
            Some(Wanted::Renewal(workers)) => workers.len().min(view.permits.question_max()),
            _ => self.question_size(view),
        };
        let cost = view.queue.permits;
        cost.is_some_and(|cost| cost.total_ms(workers) > LONG_QUESTION_MS)
    }

    /// Takes the workers to ask about for a step.
    fn take_wanted(&mut self, step: StepKey, now: Millis) -> Option<Vec<WorkerIndex>> {
        let wanted = self.steps.get_mut(&step)?.permits.take_wanted()?;
        let view = self.steps.get(&step)?;
        let mut workers = match wanted {
            Wanted::Renewal(workers) => workers,
            Wanted::More => self.question(view, now),
        };
        workers.retain(|worker| view.permits.may_name(*worker, now));
        workers.truncate(view.permits.question_max());
        (!workers.is_empty()).then_some(workers)
    }

    fn ask(&mut self, step: StepKey, client: Arc<str>, is_long: bool, now: Millis) {
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
        view.permits.begin(id);
        let known = workers.iter().filter_map(|index| self.workers.get(*index));
        let request = PermitRequest {
            id,
            step,
            workers: known.map(|worker| worker.record.id.clone()).collect(),
            timeout_ms,
        };
        self.desk.clients.given(&client, now + timeout_ms);
        let asked = Asked {
            step,
            workers,
            client: client.clone(),
            is_long,
            given: now,
            expected_ms,
            expires: now + timeout_ms + QUESTION_SLACK_MS,
        };
        self.desk.asked.insert(id, asked);
        self.counts.permit_requests += 1;
        self.actions
            .push(Action::RequestPermits { client, request });
    }
}
