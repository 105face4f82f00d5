//! Finds the leader among the control processes and calls it.
//!
//! A call goes to the process that led last. A process that is not the leader names the leader or
//! is passed over; a process that cannot be reached is passed over. What may have had an effect
//! is sent again only when [`RetryPolicy::Idempotent`] says that the receiver recognises a resend; operator
//! changes do so by their operation ID.
//!
//! `main` makes one with [`ControlClient::new`]; clones share the connections.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use sapphirepost_process::RpcError;
use sapphirepost_process::SharedKey;
use sapphirepost_process::rpc::RpcClient;
use sapphirepost_process::rpc::RpcClientConfig;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;
use tokio::runtime::Handle;

/// The most processes that are known at a time: seven voters and as many under replacement.
const TARGETS_MAX: usize = 16;
/// The pause after all known processes were tried, while an election may be under way.
const ROUND_PAUSE_MS: std::ops::Range<u64> = 30..60;

/// Whether a call may be sent again after it may have had an effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// The call has no effect, or carries an ID by which the receiver recognises a resend.
    Idempotent,
    /// A resend could act twice.
    AtMostOnce,
}

/// How long to try.
#[derive(Clone, Copy, Debug)]
pub struct CallOptions {
    /// The longest time for the whole call, over all attempts.
    pub total_timeout: Duration,
    /// The longest time for the answer to one attempt.
    pub attempt_timeout: Duration,
    /// Whether the call may be sent again after it may have had an effect.
    pub retry: RetryPolicy,
}

/// Why a call to the leader has no result.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ControlError {
    /// No control process could decide; nothing was done.
    #[error("no control process can decide: {0}")]
    Unavailable(String),
    /// The call may have had an effect.
    #[error("outcome unknown: {0}")]
    OutcomeUnknown(String),
    /// The receiver could not read the call; nothing was done.
    #[error("{0}")]
    Invalid(String),
}

/// A handle to the replicated group.
#[derive(Clone, Debug)]
pub struct ControlClient {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    runtime: Handle,
    key: Option<SharedKey>,
    targets: Mutex<Targets>,
}

#[derive(Debug)]
struct Targets {
    clients: Vec<RpcClient>,
    /// The position of the process that led last.
    leader: usize,
}

/// What the next attempt does after a failed one.
enum Next {
    Hinted,
    Other,
}

impl ControlClient {
    /// A client of the control processes at `addresses` (`ip:port`, at least one).
    pub fn new(runtime: Handle, addresses: &[String], key: Option<SharedKey>) -> ControlClient {
        let clients = addresses
            .iter()
            .map(|address| connect_lazily(&runtime, address, &key))
            .collect();
        let targets = Targets { clients, leader: 0 };
        ControlClient {
            inner: Arc::new(Inner {
                runtime,
                key,
                targets: Mutex::new(targets),
            }),
        }
    }

    /// Adds processes that a call may go to.
    pub fn add_addresses(&self, addresses: &[String]) {
        let mut targets = self.inner.lock();
        for address in addresses {
            self.inner.position(&mut targets, address);
        }
    }

    /// Sends further calls to the process at `address` first.
    pub fn prefer(&self, address: &str) {
        let mut targets = self.inner.lock();
        targets.leader = self.inner.position(&mut targets, address);
    }

    /// The runtime that the calls run on.
    pub fn runtime(&self) -> &Handle {
        &self.inner.runtime
    }

    /// The address of the process that led last.
    pub fn leader_address(&self) -> Option<String> {
        let targets = self.inner.lock();
        let client = targets.clients.get(targets.leader)?;
        Some(client.address().to_owned())
    }

    /// Calls the leader and waits for its answer.
    pub async fn call<P, R>(
        &self,
        method: &str,
        params: &P,
        options: CallOptions,
    ) -> Result<R, ControlError>
    where
        P: Serialize + Sync,
        R: DeserializeOwned,
    {
        let deadline = Instant::now() + options.total_timeout;
        let mut may_have_acted = None;
        let mut last = "no control process is known".to_owned();
        let mut misses = 0;
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            let Some(client) = self.inner.target() else {
                break;
            };
            if left.is_zero() {
                break;
            }
            let answer = client
                .call(method, params, left.min(options.attempt_timeout))
                .await;
            let error = match answer {
                Ok(answer) => return Ok(answer),
                Err(error) => error,
            };
            last = format!("{}: {error}", client.address());
            if let RpcError::Invalid(problem) = error {
                return Err(ControlError::Invalid(problem));
            }
            // Also before a call that is not repeated ends, so that the next one goes elsewhere.
            let next = self.inner.next(&client, &error);
            if !error.is_certain() {
                if options.retry == RetryPolicy::AtMostOnce {
                    return Err(ControlError::OutcomeUnknown(last));
                }
                may_have_acted = Some(last.clone());
            }
            match next {
                Next::Hinted => {}
                Next::Other => misses += 1,
            }
            if misses >= self.inner.count() {
                misses = 0;
                pause(deadline).await;
            }
        }
        match may_have_acted {
            Some(detail) => Err(ControlError::OutcomeUnknown(detail)),
            None => Err(ControlError::Unavailable(last)),
        }
    }

    /// Calls the leader from a thread outside the runtime.
    pub fn call_blocking<P, R>(
        &self,
        method: &str,
        params: &P,
        options: CallOptions,
    ) -> Result<R, ControlError>
    where
        P: Serialize + Sync,
        R: DeserializeOwned,
    {
        self.inner
            .runtime
            .block_on(self.call(method, params, options))
    }
}

impl Inner {
    fn lock(&self) -> std::sync::MutexGuard<'_, Targets> {
        self.targets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn target(&self) -> Option<RpcClient> {
        let targets = self.lock();
        targets.clients.get(targets.leader).cloned()
    }

    fn count(&self) -> usize {
        self.lock().clients.len()
    }

    /// Chooses the next process, unless another call has done so since `failed` was tried.
    fn next(&self, failed: &RpcClient, error: &RpcError) -> Next {
        let mut targets = self.lock();
        if let RpcError::NotLeader { hint: Some(hint) } = error
            && hint != failed.address()
        {
            targets.leader = self.position(&mut targets, hint);
            return Next::Hinted;
        }
        let current = targets.leader;
        if targets.clients[current].address() == failed.address() {
            targets.leader = (current + 1) % targets.clients.len();
        }
        Next::Other
    }

    fn position(&self, targets: &mut Targets, address: &str) -> usize {
        let known = targets
            .clients
            .iter()
            .position(|client| client.address() == address);
        if let Some(position) = known {
            return position;
        }
        let client = connect_lazily(&self.runtime, address, &self.key);
        if targets.clients.len() < TARGETS_MAX {
            targets.clients.push(client);
        } else {
            targets.clients[TARGETS_MAX - 1] = client;
        }
        targets.clients.len() - 1
    }
}

fn connect_lazily(runtime: &Handle, address: &str, key: &Option<SharedKey>) -> RpcClient {
    RpcClient::new(runtime.clone(), RpcClientConfig::new(address, key.clone()))
}

async fn pause(deadline: Instant) {
    let pause = Duration::from_millis(rand::rng().random_range(ROUND_PAUSE_MS));
    let left = deadline.saturating_duration_since(Instant::now());
    tokio::time::sleep(pause.min(left)).await;
}
