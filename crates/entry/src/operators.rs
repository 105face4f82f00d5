//! The operators' listener: the HTTP interface of section 8 of the design.
//!
//! Each request becomes one [`OperatorRequest`] to the leader, and the leader's reply becomes the
//! body of the answer. Proposals and confirmations carry an operation ID, so they may be sent
//! again after a lost answer; membership changes carry none and are sent once. Invalid input is
//! answered with a 4xx and an [`ErrorBody`] before anything is sent.
//!
//! The key is checked before the body is read.
//!
//! `main` calls [`OperatorServer::start`].

mod answer;
mod route;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::http::request::Parts;
use sapphirepost_process::SharedKey;
use sapphirepost_process::http;
use sapphirepost_process::http::HttpAnswer;
use sapphirepost_process::http::HttpError;
use sapphirepost_process::http::HttpHandler;
use sapphirepost_process::http::HttpLimits;
use sapphirepost_process::http::HttpServer;
use sapphirepost_protocol::method;
use sapphirepost_protocol::operator::OperatorReply;
use sapphirepost_protocol::operator::OperatorRequest;
use thiserror::Error;

use crate::control_client::CallOptions;
use crate::control_client::ControlClient;
use crate::control_client::RetryPolicy;

const LIMITS: HttpLimits = HttpLimits {
    connections_max: 128,
    head_max_bytes: 16 * 1024,
    // The payload of a job is the only long text.
    body_max_bytes: 256 * 1024,
    head_timeout: Duration::from_secs(10),
    body_timeout: Duration::from_secs(5),
};
/// The longest time for an operator's request over all attempts; several elections fit in.
const TOTAL: Duration = Duration::from_secs(8);
/// The longest time for one attempt. A commit takes some milliseconds and an election half a
/// second; a leader that is paused costs an operator no more than this.
const ATTEMPT: Duration = Duration::from_millis(800);
/// The longest time for a membership change, which is committed in several steps.
const MEMBERSHIP: Duration = Duration::from_secs(15);

/// What the listener needs.
#[derive(Clone, Debug)]
pub struct OperatorConfig {
    /// Where to listen.
    pub address: SocketAddr,
    /// The key that operators present. Without one, requests that only read are answered and
    /// changes are refused.
    pub key: Option<SharedKey>,
}

/// The running listener; it stops when dropped.
#[derive(Debug)]
pub struct OperatorServer(HttpServer);

/// The address could not be bound.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("cannot listen on {address}: {problem}")]
pub struct OperatorBindError {
    /// The address.
    pub address: SocketAddr,
    /// Why not.
    pub problem: String,
}

impl OperatorServer {
    /// Binds the address and starts to serve. Must not be called on the runtime.
    pub fn start(
        config: OperatorConfig,
        control: ControlClient,
    ) -> Result<OperatorServer, OperatorBindError> {
        let address = config.address;
        let runtime = control.runtime().clone();
        let operators = Operators {
            key: config.key,
            control,
        };
        let starting = HttpServer::start(&runtime, address, LIMITS, operators);
        let bound = runtime.block_on(starting).map(OperatorServer);
        bound.map_err(|error| OperatorBindError {
            address,
            problem: error.to_string(),
        })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.0.address()
    }

    /// Stops accepting, and waits up to `limit` for requests in progress; the number still open.
    pub async fn stop(&self, limit: Duration) -> usize {
        self.0.stop(limit).await
    }
}

struct Operators {
    key: Option<SharedKey>,
    control: ControlClient,
}

impl HttpHandler for Operators {
    fn admit(&self, head: &Parts) -> Result<(), HttpError> {
        match &self.key {
            Some(key) => http::check_key(key, head),
            None if head.method == Method::GET => Ok(()),
            None => {
                let message = "this entry has no operator key, so it refuses changes";
                Err(HttpError::new(StatusCode::FORBIDDEN, "no_key", message))
            }
        }
    }

    async fn handle(&self, request: Request<Bytes>) -> HttpAnswer {
        match route::parse(&request) {
            Ok(request) => self.relay(&request).await,
            Err(error) => error.into_answer(),
        }
    }
}

impl Operators {
    async fn relay(&self, request: &OperatorRequest) -> HttpAnswer {
        log_change(request);
        let reply = self
            .control
            .call::<_, OperatorReply>(method::OPERATOR, request, limits(request))
            .await;
        answer::from_reply(reply)
    }
}

fn limits(request: &OperatorRequest) -> CallOptions {
    match request {
        OperatorRequest::AddMember { .. } | OperatorRequest::RemoveMember { .. } => CallOptions {
            total_timeout: MEMBERSHIP,
            attempt_timeout: MEMBERSHIP,
            retry: RetryPolicy::AtMostOnce,
        },
        OperatorRequest::WaitConfig { wait_ms, .. } => CallOptions {
            total_timeout: Duration::from_millis(*wait_ms) + TOTAL,
            attempt_timeout: Duration::from_millis(*wait_ms) + ATTEMPT,
            retry: RetryPolicy::Idempotent,
        },
        _ => CallOptions {
            total_timeout: TOTAL,
            attempt_timeout: ATTEMPT,
            retry: RetryPolicy::Idempotent,
        },
    }
}

fn log_change(request: &OperatorRequest) {
    match request {
        OperatorRequest::Propose(propose) => {
            log::info!(operation:% = propose.operation; "intent received");
        }
        OperatorRequest::Confirm(confirm) => {
            log::info!(operation:% = confirm.operation, plan:% = confirm.plan; "confirmation received");
        }
        OperatorRequest::AddMember { member, .. } => {
            log::info!(member:% = member; "member addition received");
        }
        OperatorRequest::RemoveMember { member } => {
            log::info!(member:% = member; "member removal received");
        }
        _ => {}
    }
}
