//! The operators' listener: the HTTP interface of section 8 of the design.
//!
//! Each request becomes one [`OperatorRequest`] to the leader, and the leader's reply becomes the
//! body of the answer. Proposals and confirmations carry an operation ID, so they may be sent
//! again after a lost answer; membership changes carry none and are sent once. Invalid input is
//! answered with a 4xx and an [`ErrorBody`] before anything is sent.
//!
//! `rouille` has no socket timeouts. The key is checked before the body is read, so that only
//! holders of the key can occupy the pool with slow bodies; the pool has [`POOL_SIZE`] threads.
//!
//! `main` calls [`OperatorServer::start`].

mod answer;
mod route;

use std::net::SocketAddr;
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::Duration;

use rouille::Request;
use rouille::Response;
use rouille::Server;
use sapphirepost_process::SharedKey;
use sapphirepost_protocol::method;
use sapphirepost_protocol::operator::OperatorReply;
use sapphirepost_protocol::operator::OperatorRequest;
use thiserror::Error;

use crate::control_client::CallOptions;
use crate::control_client::ControlClient;
use crate::control_client::Repeat;
use crate::operators::answer::Refused;

/// Threads that run requests; a wait for a configuration version holds one of them.
const POOL_SIZE: usize = 32;
/// The longest time for an operator's request over all attempts; several elections fit in.
const TOTAL: Duration = Duration::from_secs(8);
/// The longest time for one attempt; a commit takes some milliseconds.
const ATTEMPT: Duration = Duration::from_millis(1500);
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
pub struct OperatorServer {
    address: SocketAddr,
    stop: mpsc::Sender<()>,
    _thread: JoinHandle<()>,
}

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
    /// Binds the address and starts to serve.
    pub fn start(
        config: OperatorConfig,
        control: ControlClient,
    ) -> Result<OperatorServer, OperatorBindError> {
        let address = config.address;
        let key = config.key;
        let server = Server::new(address, move |request| handle(request, &key, &control))
            .map_err(|error| OperatorBindError {
                address,
                problem: error.to_string(),
            })?
            .pool_size(POOL_SIZE);
        let address = server.server_addr();
        let (thread, stop) = server.stoppable();
        Ok(OperatorServer {
            address,
            stop,
            _thread: thread,
        })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for OperatorServer {
    fn drop(&mut self) {
        let _ = self.stop.send(());
    }
}

fn handle(request: &Request, key: &Option<SharedKey>, control: &ControlClient) -> Response {
    match check_key(request, key).and_then(|()| route::parse(request)) {
        Ok(operator_request) => relay(&operator_request, control),
        Err(refused) => refused.into_response(),
    }
}

fn check_key(request: &Request, key: &Option<SharedKey>) -> Result<(), Refused> {
    match key {
        Some(key) if key.matches(request.header("authorization")) => Ok(()),
        Some(_) => Err(Refused::new(
            401,
            "unauthorized",
            "the operator key is missing or wrong",
        )),
        None if request.method() == "GET" => Ok(()),
        None => Err(Refused::new(
            403,
            "no_key",
            "this entry has no operator key, so it refuses changes",
        )),
    }
}

fn relay(request: &OperatorRequest, control: &ControlClient) -> Response {
    log_change(request);
    let reply =
        control.call_blocking::<_, OperatorReply>(method::OPERATOR, request, limits(request));
    answer::from_reply(reply)
}

fn limits(request: &OperatorRequest) -> CallOptions {
    match request {
        OperatorRequest::AddMember { .. } | OperatorRequest::RemoveMember { .. } => CallOptions {
            total: MEMBERSHIP,
            attempt: MEMBERSHIP,
            repeat: Repeat::Never,
        },
        OperatorRequest::WaitConfig { wait_ms, .. } => CallOptions {
            total: Duration::from_millis(*wait_ms) + TOTAL,
            attempt: Duration::from_millis(*wait_ms) + ATTEMPT,
            repeat: Repeat::Safe,
        },
        _ => CallOptions {
            total: TOTAL,
            attempt: ATTEMPT,
            repeat: Repeat::Safe,
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
