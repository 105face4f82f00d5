//! Inputs and outputs of the leader.

use sapphirepost_protocol::claim::ClaimReply;
use sapphirepost_protocol::config::ConfigReply;
use sapphirepost_protocol::operator::OperatorReply;
use sapphirepost_protocol::worker::WorkerSyncReply;
use sapphirepost_state::Command;
use sapphirepost_state::Request;
use sapphirepost_state::State;
use sapphirepost_types::Millis;

/// The state and the clocks, passed to every call.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// The replicated state after the last applied command.
    pub state: &'a State,
    /// The monotonic clock of the process.
    pub now: Millis,
    /// The wall clock, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
}

impl Context<'_> {
    /// The wall clock, or the clock of the state if that is later.
    pub(crate) fn wall_ms(&self) -> u64 {
        self.unix_ms.max(self.state.clock_unix_ms())
    }
}

/// Identifies a call until its reply. Chosen by the process that owns the leader, and unique among
/// the calls without a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplyToken(pub u64);

/// The reply to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The reply to the sync of a worker.
    Worker(WorkerSyncReply),
    /// The reply to an operator request.
    Operator(OperatorReply),
    /// The reply to a batch of claims.
    Claims(ClaimReply),
    /// The reply to a configuration poll of an entry.
    Config(ConfigReply),
    /// Too many calls are pending, or the batch is too large; the call had no effect.
    Busy,
    /// The proposal was not applied in time and may still take effect.
    OutcomeUnknown,
}

/// Proposals and replies that the process which owns the leader has to send.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Output {
    /// Commands to propose, in this order.
    pub proposals: Vec<Command>,
    /// Replies to send, each with the token of the call that it answers.
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

    pub(crate) fn reply_operator(&mut self, token: ReplyToken, reply: OperatorReply) {
        self.reply(token, Reply::Operator(reply));
    }
}
