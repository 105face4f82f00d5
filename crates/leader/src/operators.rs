//! Operator requests.
//!
//! A request for a plan or a confirmation is answered once its command is applied. Before a command
//! is proposed, the operation is looked up among the recorded ones, so that a resend gets the
//! recorded answer and has no further effect. The resend of a confirmation that was refused as stale
//! still gets a new plan with the refusal.

use sapphirepost_protocol::operator::Confirm;
use sapphirepost_protocol::operator::OperatorReply;
use sapphirepost_protocol::operator::OperatorRequest;
use sapphirepost_protocol::operator::Propose;
use sapphirepost_protocol::operator::Refusal;
use sapphirepost_state::CommandResult;
use sapphirepost_state::PlanDraft;
use sapphirepost_state::Request;
use sapphirepost_state::operations::Answer;
use sapphirepost_state::operations::Lookup;
use sapphirepost_types::Intent;
use sapphirepost_types::Millis;
use sapphirepost_types::Name;
use sapphirepost_types::OperationId;
use sapphirepost_types::Plan;
use sapphirepost_types::PlanId;

use crate::leader::Leader;
use crate::message::Context;
use crate::message::Output;
use crate::message::Reply;
use crate::message::ReplyToken;
use crate::planning;
use crate::status;

/// The command whose application an operator's call waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Awaited {
    Plan {
        operation: OperationId,
        intent: Intent,
    },
    Confirmation {
        operation: OperationId,
        plan: PlanId,
    },
    /// A new plan, to be returned with the refusal to confirm a stale one.
    FreshPlan {
        draft: Box<PlanDraft>,
        refusal: Refusal,
    },
}

/// An operator's call that waits for a command.
struct PendingCall {
    awaited: Awaited,
    token: ReplyToken,
    since: Millis,
}

/// Operator calls whose commands are proposed and not applied yet.
#[derive(Default)]
pub(crate) struct OperatorCalls {
    calls: Vec<PendingCall>,
}

impl Leader {
    /// Processes an operator request.
    ///
    /// The control process must have confirmed its leadership with a quorum before, so that the
    /// answer is current. It handles requests about members and tenants itself; they are refused
    /// here.
    pub fn operator_request(
        &mut self,
        ctx: &Context<'_>,
        request: OperatorRequest,
        token: ReplyToken,
        out: &mut Output,
    ) {
        if self.operators.calls.len() >= self.config.waiting_calls_max {
            out.reply(token, Reply::Busy);
            return;
        }
        match request {
            OperatorRequest::Propose(propose) => self.propose_plan(ctx, propose, token, out),
            OperatorRequest::Confirm(confirm) => self.confirm_plan(ctx, confirm, token, out),
            OperatorRequest::ShowPlan { plan } => out.reply_operator(token, plan_reply(ctx, plan)),
            OperatorRequest::Status => {
                let cluster =
                    status::cluster(ctx, &self.config, &self.pending_decisions.quarantined);
                out.reply_operator(token, OperatorReply::Status(Box::new(cluster)));
            }
            OperatorRequest::Explain { job } => {
                let reply = self.explain(ctx, &job);
                out.reply_operator(token, reply);
            }
            OperatorRequest::GetConfig => out.reply_operator(token, config_reply(ctx)),
            OperatorRequest::ConfigHistory { limit } => {
                let records = ctx.state.config().history().take(limit as usize);
                out.reply_operator(token, OperatorReply::History(records.cloned().collect()));
            }
            OperatorRequest::WaitConfig { version, wait_ms } => {
                self.wait_config(ctx, version, wait_ms, token, out);
            }
            OperatorRequest::ListTenants
            | OperatorRequest::ListMembers
            | OperatorRequest::AddMember { .. }
            | OperatorRequest::RemoveMember { .. } => {
                let refusal = Refusal::Invalid {
                    reason: "requests about members and tenants are handled by the control process"
                        .to_owned(),
                };
                out.reply_operator(token, OperatorReply::Refused(refusal));
            }
        }
    }

    fn propose_plan(
        &mut self,
        ctx: &Context<'_>,
        propose: Propose,
        token: ReplyToken,
        out: &mut Output,
    ) {
        let Propose { operation, intent } = propose;
        match ctx.state.lookup_propose(&operation, &intent, ctx.wall_ms()) {
            Lookup::Answered(answer) => return out.reply_operator(token, to_reply(ctx, answer)),
            Lookup::Refused(refusal) => {
                return out.reply_operator(token, OperatorReply::Refused(refusal));
            }
            Lookup::New => {}
        }
        let draft = match planning::plan(ctx, &intent) {
            Ok(draft) => draft,
            Err(refusal) => return out.reply_operator(token, OperatorReply::Refused(refusal)),
        };
        let awaited = Awaited::Plan {
            operation: operation.clone(),
            intent,
        };
        let request = Request::RecordPlan {
            operation: Some(operation),
            draft: Box::new(draft),
        };
        self.await_command(ctx, awaited, token, request, out);
    }

    fn confirm_plan(
        &mut self,
        ctx: &Context<'_>,
        confirm: Confirm,
        token: ReplyToken,
        out: &mut Output,
    ) {
        let Confirm { operation, plan } = confirm;
        match ctx.state.lookup_confirm(&operation, plan, ctx.wall_ms()) {
            Lookup::Answered(Answer::Refused(refusal)) => {
                return self.refuse(ctx, plan, refusal, token, out);
            }
            Lookup::Answered(answer) => return out.reply_operator(token, to_reply(ctx, answer)),
            Lookup::Refused(refusal) => {
                return out.reply_operator(token, OperatorReply::Refused(refusal));
            }
            Lookup::New => {}
        }
        let awaited = Awaited::Confirmation {
            operation: operation.clone(),
            plan,
        };
        let request = Request::ConfirmPlan { operation, plan };
        self.await_command(ctx, awaited, token, request, out);
    }

    /// Registers a call that waits for a command, and proposes the command unless another call
    /// already waits for the same one.
    fn await_command(
        &mut self,
        ctx: &Context<'_>,
        awaited: Awaited,
        token: ReplyToken,
        request: Request,
        out: &mut Output,
    ) {
        let is_proposed = self
            .operators
            .calls
            .iter()
            .any(|call| call.awaited == awaited);
        if !is_proposed {
            out.propose(ctx, request);
        }
        self.operators.calls.push(PendingCall {
            awaited,
            token,
            since: ctx.now,
        });
    }

    fn take_calls(&mut self, is_answered: impl Fn(&Awaited) -> bool) -> Vec<PendingCall> {
        let calls = std::mem::take(&mut self.operators.calls);
        let (answered, waiting) = calls
            .into_iter()
            .partition(|call| is_answered(&call.awaited));
        self.operators.calls = waiting;
        answered
    }

    pub(crate) fn plan_recorded(
        &mut self,
        ctx: &Context<'_>,
        operation: Option<&OperationId>,
        draft: &PlanDraft,
        result: &CommandResult,
        out: &mut Output,
    ) {
        let calls = self.take_calls(|awaited| match (awaited, operation) {
            (Awaited::Plan { operation, intent }, Some(applied)) => {
                operation == applied && *intent == draft.intent
            }
            (Awaited::FreshPlan { draft: awaited, .. }, None) => **awaited == *draft,
            _ => false,
        });
        for call in calls {
            let reply = match (result, call.awaited) {
                (CommandResult::Planned(id), Awaited::FreshPlan { refusal, .. }) => {
                    OperatorReply::Refused(with_fresh_plan(ctx, refusal, *id))
                }
                (CommandResult::Planned(id), _) => plan_reply(ctx, *id),
                (CommandResult::Refused(refusal), _) => OperatorReply::Refused(refusal.clone()),
                _ => continue,
            };
            out.reply_operator(call.token, reply);
        }
    }

    pub(crate) fn plan_confirmed(
        &mut self,
        ctx: &Context<'_>,
        operation: &OperationId,
        plan: PlanId,
        result: &CommandResult,
        out: &mut Output,
    ) {
        match result {
            CommandResult::Confirmed(_) => self.events.confirmed_plans += 1,
            CommandResult::Refused(_) => self.events.refused_plans += 1,
            _ => {}
        }
        let applied = Awaited::Confirmation {
            operation: operation.clone(),
            plan,
        };
        for call in self.take_calls(|awaited| *awaited == applied) {
            match result {
                CommandResult::Confirmed(confirmed) => {
                    out.reply_operator(call.token, OperatorReply::Confirmed(confirmed.clone()));
                }
                CommandResult::Refused(refusal) => {
                    self.refuse(ctx, plan, refusal.clone(), call.token, out);
                }
                _ => {}
            }
        }
    }

    /// Refuses a confirmation. If the plan was stale and its intent can still be planned, the
    /// refusal is sent with a new plan once that is recorded.
    fn refuse(
        &mut self,
        ctx: &Context<'_>,
        plan: PlanId,
        refusal: Refusal,
        token: ReplyToken,
        out: &mut Output,
    ) {
        let is_stale = matches!(refusal, Refusal::Stale { .. });
        let intent = ctx
            .state
            .plans()
            .get(plan)
            .filter(|_| is_stale)
            .map(|record| &record.plan.intent);
        let draft = intent.and_then(|intent| planning::plan(ctx, intent).ok());
        let Some(draft) = draft else {
            out.reply_operator(token, OperatorReply::Refused(refusal));
            return;
        };
        let draft = Box::new(draft);
        let request = Request::RecordPlan {
            operation: None,
            draft: draft.clone(),
        };
        let awaited = Awaited::FreshPlan { draft, refusal };
        self.await_command(ctx, awaited, token, request, out);
    }

    pub(crate) fn expire_calls(&mut self, ctx: &Context<'_>, out: &mut Output) {
        self.expire_claim_calls(ctx, out);
        let timeout_ms = self.config.proposal_timeout_ms;
        self.operators.calls.retain(|call| {
            let is_timed_out = ctx.now.since(call.since) >= timeout_ms;
            if is_timed_out {
                out.reply(call.token, Reply::OutcomeUnknown);
            }
            !is_timed_out
        });
    }

    fn explain(&self, ctx: &Context<'_>, name: &Name) -> OperatorReply {
        let Some((id, job)) = ctx.state.jobs().by_name(name) else {
            return OperatorReply::Refused(Refusal::NotFound {
                what: format!("job {name}"),
            });
        };
        let mut lines = status::explain(ctx, id, job);
        if job.is_active() {
            // The placer's lines on placed tasks name workers by their IDs. They are left out,
            // because `lines` already describes these tasks with the names of their workers.
            let placer_lines = self.placer.explain(id).lines;
            lines.extend(
                placer_lines
                    .into_iter()
                    .filter(|line| !line.starts_with("task")),
            );
            let late = self.pending_decisions.late_jobs.get(&id);
            lines.extend(late.map(|late| status::late_line(ctx, late)));
        }
        OperatorReply::Explanation { lines }
    }
}

fn to_reply(ctx: &Context<'_>, answer: Answer) -> OperatorReply {
    match answer {
        Answer::Planned(plan) => plan_reply(ctx, plan),
        Answer::Confirmed(confirmed) => OperatorReply::Confirmed(confirmed),
        Answer::Refused(refusal) => OperatorReply::Refused(refusal),
    }
}

fn plan_of(ctx: &Context<'_>, id: PlanId) -> Option<Box<Plan>> {
    let record = ctx.state.plans().get(id)?;
    Some(Box::new(record.plan.clone()))
}

fn plan_reply(ctx: &Context<'_>, id: PlanId) -> OperatorReply {
    match plan_of(ctx, id) {
        Some(plan) => OperatorReply::Plan(plan),
        None => OperatorReply::Refused(Refusal::NotFound {
            what: id.to_string(),
        }),
    }
}

fn with_fresh_plan(ctx: &Context<'_>, refusal: Refusal, id: PlanId) -> Refusal {
    match refusal {
        Refusal::Stale { changed, won, .. } => Refusal::Stale {
            changed,
            won,
            fresh: plan_of(ctx, id),
        },
        other => other,
    }
}

fn config_reply(ctx: &Context<'_>) -> OperatorReply {
    let config = ctx.state.config();
    OperatorReply::Config {
        version: config.version(),
        values: config.values().clone(),
    }
}
