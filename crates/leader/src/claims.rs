//! Claims of entries: proposed as they arrive, answered when applied.

use std::collections::VecDeque;

use sapphirepost_protocol::claim::ClaimBatch;
use sapphirepost_protocol::claim::ClaimReply;
use sapphirepost_state::Request;
use sapphirepost_state::Verdict;
use sapphirepost_types::Millis;

use crate::leader::Leader;
use crate::message::Context;
use crate::message::Output;
use crate::message::Reply;
use crate::message::ReplyToken;

/// The most claims and outcomes in one call.
const BATCH_MAX: usize = 4_096;

struct Waiting {
    batch: ClaimBatch,
    token: ReplyToken,
    since: Millis,
}

/// Calls whose claims were proposed.
#[derive(Default)]
pub(crate) struct ClaimCalls {
    waiting: VecDeque<Waiting>,
}

impl Leader {
    /// Takes a group of claims and outcomes.
    pub fn claims(
        &mut self,
        ctx: &Context<'_>,
        batch: ClaimBatch,
        token: ReplyToken,
        out: &mut Output,
    ) {
        let size = batch.claims.len() + batch.outcomes.len();
        if size > BATCH_MAX || self.claims.waiting.len() >= self.config.waiting_calls_max {
            out.reply(token, Reply::Busy);
            return;
        }
        out.propose(ctx, Request::Claims(batch.clone()));
        self.claims.waiting.push_back(Waiting {
            batch,
            token,
            since: ctx.now,
        });
    }

    /// Equal batches get equal verdicts, so the first call with an equal batch is answered.
    pub(crate) fn claims_applied(
        &mut self,
        batch: &ClaimBatch,
        verdict: &Verdict,
        out: &mut Output,
    ) {
        let Verdict::Claimed(verdicts) = verdict else {
            return;
        };
        let mut waiting = self.claims.waiting.iter();
        let Some(position) = waiting.position(|waiting| waiting.batch == *batch) else {
            return;
        };
        if let Some(waiting) = self.claims.waiting.remove(position) {
            let reply = ClaimReply {
                verdicts: verdicts.clone(),
            };
            out.reply(waiting.token, Reply::Claims(reply));
        }
    }

    pub(crate) fn expire_claims(&mut self, ctx: &Context<'_>, out: &mut Output) {
        let timeout_ms = self.config.proposal_timeout_ms;
        while let Some(oldest) = self.claims.waiting.front() {
            if ctx.now.since(oldest.since) < timeout_ms {
                return;
            }
            out.reply(oldest.token, Reply::OutcomeUnknown);
            self.claims.waiting.pop_front();
        }
    }
}
