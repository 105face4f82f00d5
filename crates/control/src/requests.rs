//! Handles requests of operators, workers and entry processes, and builds errors and dumps.
//!
//! Operator and configuration requests wait until a quorum has confirmed this leader, since their
//! answers must be current. Worker syncs and claims go to the `Leader` at once: leases are safe
//! because of their own time bounds, and a claim is granted only by a commit.

use serde_json::Value;
use serde_json::json;

use sapphirepost_consensus::ProposeError;
use sapphirepost_leader::Reply;
use sapphirepost_process::RpcError;
use sapphirepost_process::rpc::Responder;
use sapphirepost_protocol::claim::ClaimBatch;
use sapphirepost_protocol::claim::ClaimReply;
use sapphirepost_protocol::config::ConfigReply;
use sapphirepost_protocol::config::WatchConfig;
use sapphirepost_protocol::operator::OperatorReply;
use sapphirepost_protocol::operator::OperatorRequest;
use sapphirepost_protocol::worker::WorkerSync;
use sapphirepost_protocol::worker::WorkerSyncReply;
use sapphirepost_types::Millis;

use crate::core::Core;
use crate::pending_calls::PendingCall;
use crate::pending_calls::PendingRead;

impl Core {
    pub(crate) fn handle_operator_request(
        &mut self,
        now: Millis,
        request: Box<OperatorRequest>,
        done: Responder<OperatorReply>,
    ) {
        let token = self.calls.add_read(PendingRead::Operator(request, done));
        self.start_read(now, token);
    }

    pub(crate) fn handle_watch_config(
        &mut self,
        now: Millis,
        watch: WatchConfig,
        done: Responder<ConfigReply>,
    ) {
        let token = self.calls.add_read(PendingRead::Config(watch, done));
        self.start_read(now, token);
    }

    pub(crate) fn start_read(&mut self, now: Millis, token: u64) {
        let Err(error) = self.node.read_index(now, token) else {
            return;
        };
        if let Some(read) = self.calls.take_read(token) {
            read.fail(self.rpc_error(error));
        }
    }

    /// Handles a read after a quorum has confirmed this leader.
    pub(crate) fn handle_confirmed_read(&mut self, token: u64) {
        if !self.is_leading() {
            return self.defer_read(token);
        }
        match self.calls.take_read(token) {
            Some(PendingRead::Operator(request, done)) => {
                self.answer_operator_request(*request, done)
            }
            Some(PendingRead::Config(watch, done)) => {
                let token = self.calls.add_call(PendingCall::Config(done));
                self.with_leader(|leader, ctx, out| leader.watch_config(ctx, watch, token, out));
            }
            Some(PendingRead::Queue(call, done)) => self.answer_queue_read(*call, done),
            None => {}
        }
    }

    fn answer_operator_request(
        &mut self,
        request: OperatorRequest,
        done: Responder<OperatorReply>,
    ) {
        if request == OperatorRequest::ListTenants {
            return done.send(Ok(self.list_tenants()));
        }
        let Some((request, done)) = self.membership_request(request, done) else {
            return;
        };
        let changes = matches!(
            request,
            OperatorRequest::Propose(_) | OperatorRequest::Confirm(_)
        );
        let token = self.calls.add_call(PendingCall::Operator { done, changes });
        self.with_leader(|leader, ctx, out| leader.operator_request(ctx, request, token, out));
    }

    pub(crate) fn handle_worker_sync(
        &mut self,
        now: Millis,
        sync: WorkerSync,
        done: Responder<WorkerSyncReply>,
    ) {
        if let Err(error) = self.node.ensure_leading(now) {
            return done.send(Err(self.rpc_error(error)));
        }
        let token = self.calls.add_call(PendingCall::Worker(done));
        if !self.with_leader(|leader, ctx, out| leader.worker_sync(ctx, sync, token, out)) {
            self.calls.reply(token, Reply::Busy);
        }
    }

    pub(crate) fn handle_claims(
        &mut self,
        now: Millis,
        batch: ClaimBatch,
        done: Responder<ClaimReply>,
    ) {
        if let Err(error) = self.node.ensure_leading(now) {
            return done.send(Err(self.rpc_error(error)));
        }
        let token = self.calls.add_call(PendingCall::Claims(done));
        if !self.with_leader(|leader, ctx, out| leader.claims(ctx, batch, token, out)) {
            self.calls.reply(token, Reply::Busy);
        }
    }

    /// The error for a call that failed without an effect.
    pub(crate) fn rpc_error(&self, error: ProposeError) -> RpcError {
        match error {
            ProposeError::NotLeader { hint } => {
                let membership = self.node.membership();
                let hint = hint.and_then(|leader| self.peers.address(leader, membership));
                RpcError::NotLeader { hint }
            }
            ProposeError::QuorumLost => RpcError::NoQuorum,
            ProposeError::Busy => RpcError::Busy,
            error @ (ProposeError::Membership(_) | ProposeError::TooLarge(_)) => {
                RpcError::Invalid(error.to_string())
            }
        }
    }

    pub(crate) fn not_leading(&self) -> RpcError {
        self.rpc_error(ProposeError::NotLeader {
            hint: self.node.leader(),
        })
    }

    pub(crate) fn dump(&self) -> Value {
        let node = &self.node;
        let members: Vec<Value> = node
            .membership()
            .members
            .iter()
            .map(|(id, member)| {
                let progress = node.member_progress(*id);
                json!({
                    "member": id.to_string(),
                    "address": member.address,
                    "role": member.role,
                    "matched": progress.map(|progress| progress.matched),
                    "silent_ms": progress.and_then(|progress| progress.silent_ms),
                })
            })
            .collect();
        json!({
            "member": node.id().to_string(),
            "group": node.group().map(|group| group.to_string()),
            "role": format!("{:?}", node.role()),
            "term": node.term(),
            "leader": node.leader().map(|leader| leader.to_string()),
            "commit": node.commit_index(),
            "applied": self.applied,
            "last_index": node.last_index(),
            "members": members,
            "state_digest": self.state.digest(),
            "config_version": self.state.config().version().to_string(),
        })
    }
}
