//! The decisions of a leader, until the package `leader` provides them.

use sapphirepost_protocol::claim::ClaimBatch;
use sapphirepost_protocol::config::WatchConfig;
use sapphirepost_protocol::operator::OperatorRequest;
use sapphirepost_protocol::worker::WorkerSync;
use sapphirepost_state::Command;
use sapphirepost_state::Outcome;
use sapphirepost_types::MemberId;

use crate::decisions::Context;
use crate::decisions::Decisions;
use crate::decisions::MakeDecisions;
use crate::decisions::Output;
use crate::decisions::Reply;
use crate::decisions::ReplyToken;

struct None;

pub(crate) fn make(_member: MemberId, _lease_ms: u64) -> MakeDecisions {
    Box::new(|_, _| Box::new(None))
}

impl Decisions for None {
    fn operator(
        &mut self,
        _: &Context<'_>,
        _: OperatorRequest,
        token: ReplyToken,
        out: &mut Output,
    ) {
        out.replies.push((token, Reply::Busy));
    }
    fn worker_sync(&mut self, _: &Context<'_>, _: WorkerSync, token: ReplyToken, out: &mut Output) {
        out.replies.push((token, Reply::Busy));
    }
    fn claims(&mut self, _: &Context<'_>, _: ClaimBatch, token: ReplyToken, out: &mut Output) {
        out.replies.push((token, Reply::Busy));
    }
    fn watch_config(
        &mut self,
        _: &Context<'_>,
        _: WatchConfig,
        token: ReplyToken,
        out: &mut Output,
    ) {
        out.replies.push((token, Reply::Busy));
    }
    fn applied(&mut self, _: &Context<'_>, _: u64, _: &Command, _: &Outcome, _: &mut Output) {}
    fn tick(&mut self, _: &Context<'_>, _: &mut Output) {}
}
