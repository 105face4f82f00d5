//! Inputs and outputs of the leader.

use sapphirepost_protocol::claim::ClaimReply;
use sapphirepost_protocol::config::ConfigReply;
use sapphirepost_protocol::operator::OperatorReply;
use sapphirepost_protocol::worker::WorkerSyncReply;
use sapphirepost_state::Command;
use sapphirepost_state::Request;
use sapphirepost_state::State;
use sapphirepost_types::Millis;

/// What every call gets.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// The state as applied so far.
    pub state: &'a State,
    /// The monotonic clock of the process.
    pub now: Millis,
    /// The wall clock, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
}

impl Context<'_> {
    /// The wall clock, never before the clock of the state.
    pub(crate) fn wall_ms(&self) -> u64 {
        self.unix_ms.max(self.state.clock_unix_ms())
    }
}

/// Names a call that waits for its reply; chosen by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplyToken(pub u64);

/// The reply to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// To a worker's sync.
    Worker(WorkerSyncReply),
    /// To an operator.
    Operator(OperatorReply),
    /// To a group of claims.
    Claims(ClaimReply),
    /// To a configuration call.
    Config(ConfigReply),
    /// Too many calls wait; nothing was done.
    Busy,
    /// The proposal was not applied in time and may still take effect.
    OutcomeUnknown,
}

/// What a call asks its caller to do.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Output {
    /// Commands to propose, in this order.
    pub proposals: Vec<Command>,
    /// Replies to send.
    pub replies: Vec<(ReplyToken, Reply)>,
}

impl Output {
    pub(crate) fn propose(&mut self, ctx: &Context<'_>, request: Request) {
        self.proposals.push(Command {
            at_unix_ms: ctx.wall_ms(),
            request,
        });
    }

    pub(crate) fn reply(&mut self, token: ReplyToken, reply: Reply) {
        self.replies.push((token, reply));
    }

    pub(crate) fn operator(&mut self, token: ReplyToken, reply: OperatorReply) {
        self.reply(token, Reply::Operator(reply));
    }
}
