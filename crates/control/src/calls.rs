//! Calls that wait for an answer.

use rustc_hash::FxHashMap;

use sapphirepost_consensus::Index;
use sapphirepost_consensus::Term;
use sapphirepost_leader::Reply;
use sapphirepost_leader::ReplyToken;
use sapphirepost_process::RpcError;
use sapphirepost_process::rpc::Responder;
use sapphirepost_protocol::claim::ClaimReply;
use sapphirepost_protocol::config::ConfigReply;
use sapphirepost_protocol::config::WatchConfig;
use sapphirepost_protocol::operator::OperatorReply;
use sapphirepost_protocol::operator::OperatorRequest;
use sapphirepost_protocol::queue::QueueCall;
use sapphirepost_protocol::queue::QueueReply;
use sapphirepost_protocol::worker::WorkerSyncReply;

/// A call that was handed to the leader's decisions.
pub(crate) enum Waiting {
    /// An operator's call; `changes` if it may have an effect.
    Operator {
        done: Responder<OperatorReply>,
        changes: bool,
    },
    Worker(Responder<WorkerSyncReply>),
    Claims(Responder<ClaimReply>),
    Config(Responder<ConfigReply>),
}

/// A call that waits until a quorum has confirmed this leader.
pub(crate) enum Reading {
    Operator(Box<OperatorRequest>, Responder<OperatorReply>),
    Config(WatchConfig, Responder<ConfigReply>),
    Queue(Box<QueueCall>, Responder<QueueReply>),
}

/// A membership change that waits for its commit.
pub(crate) struct Changing {
    pub(crate) index: Index,
    pub(crate) term: Term,
    pub(crate) done: Responder<OperatorReply>,
    pub(crate) detail: String,
}

/// All calls that wait.
#[derive(Default)]
pub(crate) struct Calls {
    last_token: u64,
    waiting: FxHashMap<u64, Waiting>,
    reading: FxHashMap<u64, Reading>,
    changing: Vec<Changing>,
}

impl Calls {
    pub(crate) fn wait(&mut self, call: Waiting) -> ReplyToken {
        self.last_token += 1;
        self.waiting.insert(self.last_token, call);
        ReplyToken(self.last_token)
    }

    pub(crate) fn read(&mut self, call: Reading) -> u64 {
        self.last_token += 1;
        self.reading.insert(self.last_token, call);
        self.last_token
    }

    pub(crate) fn take_read(&mut self, token: u64) -> Option<Reading> {
        self.reading.remove(&token)
    }

    pub(crate) fn change(&mut self, call: Changing) {
        self.changing.push(call);
    }

    /// Answers the membership change that was committed at `index`.
    pub(crate) fn changed(&mut self, index: Index, term: Term) {
        let is_done = |call: &mut Changing| call.index == index && call.term == term;
        for call in self.changing.extract_if(.., is_done) {
            call.done.send(Ok(OperatorReply::MembershipChanged {
                detail: call.detail,
            }));
        }
    }

    /// Sends the reply to a call.
    pub(crate) fn reply(&mut self, token: ReplyToken, reply: Reply) {
        let Some(call) = self.waiting.remove(&token.0) else {
            return;
        };
        let error = match reply {
            Reply::Busy => RpcError::Busy,
            _ => RpcError::OutcomeUnknown("the proposal was not applied in time".to_owned()),
        };
        match (call, reply) {
            (Waiting::Operator { done, .. }, Reply::Operator(reply)) => done.send(Ok(reply)),
            (Waiting::Worker(done), Reply::Worker(reply)) => done.send(Ok(reply)),
            (Waiting::Claims(done), Reply::Claims(reply)) => done.send(Ok(reply)),
            (Waiting::Config(done), Reply::Config(reply)) => done.send(Ok(reply)),
            (call, _) => call.fail(error),
        }
    }

    /// Ends all calls after this member has stopped leading. What may take effect later ends as
    /// unknown; `error` says that the rest had none.
    pub(crate) fn abandon(&mut self, error: &RpcError) {
        let unknown = RpcError::OutcomeUnknown("the leader changed".to_owned());
        for call in std::mem::take(&mut self.waiting).into_values() {
            let is_certain = !call.may_take_effect();
            call.fail(if is_certain {
                error.clone()
            } else {
                unknown.clone()
            });
        }
        for call in std::mem::take(&mut self.reading).into_values() {
            call.fail(error.clone());
        }
        for call in std::mem::take(&mut self.changing) {
            call.done.send(Err(unknown.clone()));
        }
    }
}

impl Waiting {
    fn may_take_effect(&self) -> bool {
        match self {
            Waiting::Operator { changes, .. } => *changes,
            Waiting::Claims(_) => true,
            // A report is repeated until it is acknowledged, so another leader can take it.
            Waiting::Worker(_) | Waiting::Config(_) => false,
        }
    }

    fn fail(self, error: RpcError) {
        match self {
            Waiting::Operator { done, .. } => done.send(Err(error)),
            Waiting::Worker(done) => done.send(Err(error)),
            Waiting::Claims(done) => done.send(Err(error)),
            Waiting::Config(done) => done.send(Err(error)),
        }
    }
}

impl Reading {
    pub(crate) fn fail(self, error: RpcError) {
        match self {
            Reading::Operator(_, done) => done.send(Err(error)),
            Reading::Config(_, done) => done.send(Err(error)),
            Reading::Queue(_, done) => done.send(Err(error)),
        }
    }
}
