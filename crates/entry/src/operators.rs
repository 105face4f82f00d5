//! The HTTP listener for operators.
//!
//! Each request becomes one [`OperatorRequest`] to the leader, and the leader's reply becomes the
//! body of the response. Proposals and confirmations carry an operation ID, so they can be sent
//! again after a lost reply; membership changes carry none and are not sent again. Invalid input is
//! answered with a 4xx status and an `ErrorBody`, and nothing is sent to the leader.
//!
//! The key is checked before the body is read.
//!
//! [`crate::daemon::run`] starts the listener if the settings name control processes.

mod response;
mod route;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::http::request::Parts;
use sapphirepost_process::SharedKey;
use sapphirepost_process::byte_budget::ByteBudget;
use sapphirepost_process::http;
use sapphirepost_process::http::HttpError;
use sapphirepost_process::http::HttpHandler;
use sapphirepost_process::http::HttpLimits;
use sapphirepost_process::http::HttpResponse;
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
    // Job payloads are the only long texts.
    body_max_bytes: 256 * 1024,
    head_timeout: Duration::from_secs(10),
    body_timeout: Duration::from_secs(5),
};
/// The time limit for an operator's request over all attempts; it allows for several elections.
const TOTAL_TIMEOUT: Duration = Duration::from_secs(8);
/// The time limit for one attempt, which also is the delay that a paused leader causes. A commit
/// takes a few milliseconds and an election half a second.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(800);
/// The time limit for a membership change, which is committed in several steps.
const MEMBERSHIP_TIMEOUT: Duration = Duration::from_secs(15);

/// The address and the key of the listener.
#[derive(Clone, Debug)]
pub struct OperatorConfig {
    /// The address to listen on.
    pub address: SocketAddr,
    /// The key that requests must carry. With `None`, changes are refused and requests that only
    /// read are answered without a key.
    pub key: Option<SharedKey>,
    /// Counts the requests.
    pub budget: ByteBudget,
}

/// The running listener; it stops accepting when dropped.
#[derive(Debug)]
pub struct OperatorServer(HttpServer);

/// The listener could not bind its address.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("cannot listen on {address}: {problem}")]
pub struct OperatorBindError {
    /// The address from [`OperatorConfig`].
    pub address: SocketAddr,
    /// The text of the system's error.
    pub problem: String,
}

impl OperatorServer {
    /// Binds the address and starts to serve. Blocks the calling thread meanwhile, so it must not
    /// be called from a task of a runtime.
    pub fn start(
        config: OperatorConfig,
        control: ControlClient,
    ) -> Result<OperatorServer, OperatorBindError> {
        let address = config.address;
        let runtime = control.runtime().clone();
        let handler = OperatorHandler {
            key: config.key,
            control,
        };
        let starting = HttpServer::start(&runtime, address, LIMITS, &config.budget, handler);
        let bound = runtime.block_on(starting).map(OperatorServer);
        bound.map_err(|error| OperatorBindError {
            address,
            problem: error.to_string(),
        })
    }

    /// The bound address, with the actual port.
    pub fn address(&self) -> SocketAddr {
        self.0.address()
    }

    /// Stops accepting and waits up to `limit` for open connections to close; returns how many
    /// remain open.
    pub async fn stop(&self, limit: Duration) -> usize {
        self.0.stop(limit).await
    }
}

/// Handles the requests of operators.
struct OperatorHandler {
    key: Option<SharedKey>,
    control: ControlClient,
}

impl HttpHandler for OperatorHandler {
    fn check_head(&self, head: &Parts) -> Result<(), HttpError> {
        match &self.key {
            Some(key) => http::check_key(key, head),
            None if head.method == Method::GET => Ok(()),
            None => {
                let message = "this entry has no operator key, so it refuses changes";
                Err(HttpError::new(StatusCode::FORBIDDEN, "no_key", message))
            }
        }
    }

    async fn handle(&self, request: Request<Bytes>) -> HttpResponse {
        match route::parse(&request) {
            Ok(request) => self.forward(&request).await,
            Err(error) => error.into_response(),
        }
    }
}

impl OperatorHandler {
    async fn forward(&self, request: &OperatorRequest) -> HttpResponse {
        log_change(request);
        let reply = self
            .control
            .call::<_, OperatorReply>(method::OPERATOR, request, call_options(request))
            .await;
        response::from_reply(reply)
    }
}

fn call_options(request: &OperatorRequest) -> CallOptions {
    match request {
        OperatorRequest::AddMember { .. } | OperatorRequest::RemoveMember { .. } => CallOptions {
            total_timeout: MEMBERSHIP_TIMEOUT,
            attempt_timeout: MEMBERSHIP_TIMEOUT,
            retry: RetryPolicy::AtMostOnce,
        },
        OperatorRequest::WaitConfig { wait_ms, .. } => CallOptions {
            total_timeout: Duration::from_millis(*wait_ms) + TOTAL_TIMEOUT,
            attempt_timeout: Duration::from_millis(*wait_ms) + ATTEMPT_TIMEOUT,
            retry: RetryPolicy::Idempotent,
        },
        _ => CallOptions {
            total_timeout: TOTAL_TIMEOUT,
            attempt_timeout: ATTEMPT_TIMEOUT,
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
