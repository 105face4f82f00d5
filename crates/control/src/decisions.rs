//! The boundary to the leader's decisions.

use sapphirepost_consensus::Term;
use sapphirepost_protocol::claim::ClaimBatch;
use sapphirepost_protocol::claim::ClaimReply;
use sapphirepost_protocol::config::ConfigReply;
use sapphirepost_protocol::config::WatchConfig;
use sapphirepost_protocol::operator::OperatorReply;
use sapphirepost_protocol::operator::OperatorRequest;
use sapphirepost_protocol::worker::WorkerSync;
use sapphirepost_protocol::worker::WorkerSyncReply;
use sapphirepost_state::Command;
use sapphirepost_state::Outcome;
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

/// Names a call that waits for its reply.
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

/// The decisions of one term.
pub trait Decisions {
    /// Takes an operator's request.
    fn operator(
        &mut self,
        ctx: &Context<'_>,
        request: OperatorRequest,
        token: ReplyToken,
        out: &mut Output,
    );
    /// Takes a worker's sync.
    fn worker_sync(
        &mut self,
        ctx: &Context<'_>,
        sync: WorkerSync,
        token: ReplyToken,
        out: &mut Output,
    );
    /// Takes claims of an entry.
    fn claims(&mut self, ctx: &Context<'_>, batch: ClaimBatch, token: ReplyToken, out: &mut Output);
    /// Takes an entry's call for a newer configuration.
    fn watch_config(
        &mut self,
        ctx: &Context<'_>,
        watch: WatchConfig,
        token: ReplyToken,
        out: &mut Output,
    );
    /// Follows an applied command.
    fn applied(
        &mut self,
        ctx: &Context<'_>,
        index: u64,
        command: &Command,
        outcome: &Outcome,
        out: &mut Output,
    );
    /// Does what is due.
    fn tick(&mut self, ctx: &Context<'_>, out: &mut Output);
}

/// Makes the decisions of a term that this member leads.
pub type MakeDecisions = Box<dyn Fn(Term, &Context<'_>) -> Box<dyn Decisions> + Send>;
