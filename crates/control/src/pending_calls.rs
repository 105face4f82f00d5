//! Calls that the core thread has not answered yet.

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

/// A call that was passed to the `Leader` and waits for its reply.
pub(crate) enum PendingCall {
    /// An operator's call; `changes` tells whether it may have an effect.
    Operator {
        done: Responder<OperatorReply>,
        changes: bool,
    },
    Worker(Responder<WorkerSyncReply>),
    Claims(Responder<ClaimReply>),
    Config(Responder<ConfigReply>),
}

/// A call that reads the current state and waits until a quorum has confirmed this leader.
pub(crate) enum PendingRead {
    Operator(Box<OperatorRequest>, Responder<OperatorReply>),
    Config(WatchConfig, Responder<ConfigReply>),
    Queue(Box<QueueCall>, Responder<QueueReply>),
}

/// A call that waits for the commit of its membership change.
pub(crate) struct PendingMembershipChange {
    pub(crate) index: Index,
    pub(crate) term: Term,
    pub(crate) done: Responder<OperatorReply>,
    pub(crate) detail: String,
}

/// All calls that wait for an answer. A token identifies a call or read.
#[derive(Default)]
pub(crate) struct PendingCalls {
    last_token: u64,
    calls: FxHashMap<u64, PendingCall>,
    reads: FxHashMap<u64, PendingRead>,
    membership_changes: Vec<PendingMembershipChange>,
}

impl PendingCalls {
    pub(crate) fn add_call(&mut self, call: PendingCall) -> ReplyToken {
        self.last_token += 1;
        self.calls.insert(self.last_token, call);
        ReplyToken(self.last_token)
    }

    pub(crate) fn add_read(&mut self, call: PendingRead) -> u64 {
        self.last_token += 1;
        self.reads.insert(self.last_token, call);
        self.last_token
    }

    pub(crate) fn take_read(&mut self, token: u64) -> Option<PendingRead> {
        self.reads.remove(&token)
    }

    pub(crate) fn add_membership_change(&mut self, call: PendingMembershipChange) {
        self.membership_changes.push(call);
    }

    /// Answers the call whose membership change was committed at `index` and `term`.
    pub(crate) fn complete_membership_change(&mut self, index: Index, term: Term) {
        let is_done = |call: &mut PendingMembershipChange| call.index == index && call.term == term;
        for call in self.membership_changes.extract_if(.., is_done) {
            call.done.send(Ok(OperatorReply::MembershipChanged {
                detail: call.detail,
            }));
        }
    }

    /// Sends the reply to a call, or fails the call if the `Leader` could not answer it.
    pub(crate) fn reply(&mut self, token: ReplyToken, reply: Reply) {
        let Some(call) = self.calls.remove(&token.0) else {
            return;
        };
        let error = match reply {
            Reply::Busy => RpcError::Busy,
            _ => RpcError::OutcomeUnknown("the proposal was not applied in time".to_owned()),
        };
        match (call, reply) {
            (PendingCall::Operator { done, .. }, Reply::Operator(reply)) => done.send(Ok(reply)),
            (PendingCall::Worker(done), Reply::Worker(reply)) => done.send(Ok(reply)),
            (PendingCall::Claims(done), Reply::Claims(reply)) => done.send(Ok(reply)),
            (PendingCall::Config(done), Reply::Config(reply)) => done.send(Ok(reply)),
            (call, _) => call.fail(error),
        }
    }

    /// Fails all calls after this member has stopped leading. Calls that may still take effect fail
    /// with an unknown outcome, all others with `error`, which says that they had no effect.
    pub(crate) fn fail_all(&mut self, error: &RpcError) {
        let unknown = RpcError::OutcomeUnknown("the leader changed".to_owned());
        for call in std::mem::take(&mut self.calls).into_values() {
            let had_no_effect = !call.may_take_effect();
            call.fail(if had_no_effect {
                error.clone()
            } else {
                unknown.clone()
            });
        }
        for call in std::mem::take(&mut self.reads).into_values() {
            call.fail(error.clone());
        }
        for call in std::mem::take(&mut self.membership_changes) {
            call.done.send(Err(unknown.clone()));
        }
    }
}

impl PendingCall {
    fn may_take_effect(&self) -> bool {
        match self {
            PendingCall::Operator { changes, .. } => *changes,
            PendingCall::Claims(_) => true,
            // A worker repeats its report until it is acknowledged, so the next leader gets it.
            PendingCall::Worker(_) | PendingCall::Config(_) => false,
        }
    }

    fn fail(self, error: RpcError) {
        match self {
            PendingCall::Operator { done, .. } => done.send(Err(error)),
            PendingCall::Worker(done) => done.send(Err(error)),
            PendingCall::Claims(done) => done.send(Err(error)),
            PendingCall::Config(done) => done.send(Err(error)),
        }
    }
}

impl PendingRead {
    pub(crate) fn fail(self, error: RpcError) {
        match self {
            PendingRead::Operator(_, done) => done.send(Err(error)),
            PendingRead::Config(_, done) => done.send(Err(error)),
            PendingRead::Queue(_, done) => done.send(Err(error)),
        }
    }
}
