//! Claims of entries: proposed when they arrive, answered once applied.

use std::collections::VecDeque;

use sapphirepost_protocol::claim::ClaimBatch;
use sapphirepost_protocol::claim::ClaimReply;
use sapphirepost_state::CommandResult;
use sapphirepost_state::Request;
use sapphirepost_types::Millis;

use crate::leader::Leader;
use crate::message::Context;
use crate::message::Output;
use crate::message::Reply;
use crate::message::ReplyToken;

/// Maximum number of claims and outcomes in one call; a larger call gets [`Reply::Busy`].
const BATCH_MAX: usize = 4_096;

struct PendingCall {
    batch: ClaimBatch,
    token: ReplyToken,
    since: Millis,
}

/// Calls whose claims are proposed and not applied yet, oldest first.
#[derive(Default)]
pub(crate) struct ClaimCalls {
    pending: VecDeque<PendingCall>,
}

impl Leader {
    /// Proposes a batch of claims and outcomes. The call is answered once the command is applied, or
    /// with [`Reply::OutcomeUnknown`] after the proposal timeout.
    pub fn claims(
        &mut self,
        ctx: &Context<'_>,
        batch: ClaimBatch,
        token: ReplyToken,
        out: &mut Output,
    ) {
        let size = batch.claims.len() + batch.outcomes.len();
        if size > BATCH_MAX || self.claims.pending.len() >= self.config.waiting_calls_max {
            out.reply(token, Reply::Busy);
            return;
        }
        out.propose(ctx, Request::Claims(batch.clone()));
        self.claims.pending.push_back(PendingCall {
            batch,
            token,
            since: ctx.now,
        });
    }

    /// Answers the oldest call with an equal batch. Which of several is answered does not matter,
    /// because equal batches have the same claims, of the same incarnation and with the same tokens.
    pub(crate) fn claims_applied(
        &mut self,
        batch: &ClaimBatch,
        result: &CommandResult,
        out: &mut Output,
    ) {
        let CommandResult::Claimed(verdicts) = result else {
            return;
        };
        let mut pending = self.claims.pending.iter();
        let Some(position) = pending.position(|pending| pending.batch == *batch) else {
            return;
        };
        if let Some(pending) = self.claims.pending.remove(position) {
            let reply = ClaimReply {
                verdicts: verdicts.clone(),
            };
            out.reply(pending.token, Reply::Claims(reply));
        }
    }

    /// Answers the calls whose proposals have timed out.
    pub(crate) fn expire_claim_calls(&mut self, ctx: &Context<'_>, out: &mut Output) {
        let timeout_ms = self.config.proposal_timeout_ms;
        while let Some(oldest) = self.claims.pending.front() {
            if ctx.now.since(oldest.since) < timeout_ms {
                return;
            }
            out.reply(oldest.token, Reply::OutcomeUnknown);
            self.claims.pending.pop_front();
        }
    }
}
