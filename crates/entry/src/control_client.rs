//! Finds the leader among the control processes and calls it.
//!
//! A call goes first to the last known leader. If a process that is not the leader names another
//! one, the call goes there next; otherwise, and after any other failure, it goes to the next known
//! process. A process that answers other calls is not left because one of them takes long: that call
//! waits there until its time is over, and is neither repeated nor sent elsewhere. An invalid call is not sent again. A call that may have had an effect is sent again
//! only with [`RetryPolicy::Idempotent`], which states that a resend is harmless: the call changes
//! nothing, or the receiver recognizes the resend, for example an operator's change by its
//! operation ID.
//!
//! A process creates one client with [`ControlClient::new`]; clones share the connections.

use std::hash::Hasher;
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
use siphasher::sip::SipHasher13;
use thiserror::Error;
use tokio::runtime::Handle;

/// The most addresses of control processes that are kept; with that many, a new one replaces the
/// last. Seven voters and as many that replace them fit.
const TARGETS_MAX: usize = 16;
/// The range of the random delay after a failed attempt at every known process. During an election
/// all of them refuse calls at once, so without the delay a call would be repeated continuously.
const ROUND_DELAY_MS: std::ops::Range<u64> = 30..60;

/// Whether a call may be sent again after an attempt that may have had an effect. After an attempt
/// that certainly had none, it is sent again until the time is over, unless the receiver rejected
/// it as invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// The call may be sent again: it has no effect, or carries an ID by which the receiver
    /// recognizes a resend.
    Idempotent,
    /// The call is not sent again, because a resend could take effect twice.
    AtMostOnce,
}

/// The time limits and the retry policy of a call.
#[derive(Clone, Copy, Debug)]
pub struct CallOptions {
    /// The time limit for the call over all attempts.
    pub total_timeout: Duration,
    /// The time limit for the answer to one attempt, unless the process answers other calls
    /// meanwhile.
    pub attempt_timeout: Duration,
    /// Whether the call may be sent again after an attempt that may have had an effect.
    pub retry: RetryPolicy,
}

/// Why a call to the leader has no result. The text describes the failure.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ControlError {
    /// No control process could decide; nothing was done.
    #[error("no control process can decide: {0}")]
    Unavailable(String),
    /// The call may have had an effect.
    #[error("outcome unknown: {0}")]
    OutcomeUnknown(String),
    /// The receiver rejected the call before it ran, for example because of invalid parameters.
    #[error("{0}")]
    Invalid(String),
}

/// A client of the replicated group of control processes.
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
    /// The index of the client that calls go to first: the last known leader, or after a failure
    /// the process to try next.
    preferred: usize,
}

/// Where the next attempt goes after a failed one.
enum NextTarget {
    /// To the leader that the failed attempt named.
    Hinted,
    /// To another known process.
    Other,
}

impl ControlClient {
    /// Creates a client of the control processes at `addresses` (`ip:port`). Without addresses,
    /// every call ends as [`ControlError::Unavailable`]. Connections are opened by the first call.
    pub fn new(runtime: Handle, addresses: &[String], key: Option<SharedKey>) -> ControlClient {
        let clients = addresses
            .iter()
            .map(|address| connect_lazily(&runtime, address, &key))
            .collect();
        let targets = Targets {
            clients,
            preferred: 0,
        };
        ControlClient {
            inner: Arc::new(Inner {
                runtime,
                key,
                targets: Mutex::new(targets),
            }),
        }
    }

    /// Adds addresses (`ip:port`) of control processes to which calls may go.
    pub fn add_addresses(&self, addresses: &[String]) {
        let mut targets = self.inner.lock();
        for address in addresses {
            self.inner.find_or_add(&mut targets, address);
        }
    }

    /// Makes further calls go first to the process at `address` (`ip:port`), which is added if it
    /// is not known.
    pub fn prefer(&self, address: &str) {
        let mut targets = self.inner.lock();
        targets.preferred = self.inner.find_or_add(&mut targets, address);
    }

    /// The runtime on which the calls run.
    pub fn runtime(&self) -> &Handle {
        &self.inner.runtime
    }

    /// The address of the process to which the next call goes first, usually the leader; `None` if
    /// no process is known.
    pub fn leader_address(&self) -> Option<String> {
        let targets = self.inner.lock();
        let client = targets.clients.get(targets.preferred)?;
        Some(client.address().to_owned())
    }

    /// Calls the leader and waits for its answer, for at most `options.total_timeout`.
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
        let mut uncertain_failure = None;
        let mut last_failure = "no control process is known".to_owned();
        let mut failed_in_round = 0;
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            let Some(client) = self.inner.preferred_client() else {
                break;
            };
            if left.is_zero() {
                break;
            }
            let answer = client
                .call_patiently(method, params, options.attempt_timeout, left)
                .await;
            let error = match answer {
                Ok(answer) => return Ok(answer),
                Err(error) => error,
            };
            last_failure = format!("{}: {error}", client.address());
            if let RpcError::Invalid(problem) = error {
                return Err(ControlError::Invalid(problem));
            }
            // The process answers other calls, so they stay with it. The time for this one is over.
            if let RpcError::Late(_) = error {
                return Err(ControlError::OutcomeUnknown(last_failure));
            }
            // Chosen even if this call is not retried, so that the next call goes to another
            // process.
            let next = self.inner.choose_next(&client, &error);
            if !error.had_no_effect() {
                if options.retry == RetryPolicy::AtMostOnce {
                    return Err(ControlError::OutcomeUnknown(last_failure));
                }
                uncertain_failure = Some(last_failure.clone());
            }
            match next {
                NextTarget::Hinted => {}
                NextTarget::Other => failed_in_round += 1,
            }
            if failed_in_round >= self.inner.client_count() {
                failed_in_round = 0;
                delay_round(deadline).await;
            }
        }
        match uncertain_failure {
            Some(detail) => Err(ControlError::OutcomeUnknown(detail)),
            None => Err(ControlError::Unavailable(last_failure)),
        }
    }

    /// Calls one process other than the last known leader, without a retry. While the same
    /// processes are known, it is the same one for the same `key`, and different keys are spread
    /// over the processes.
    pub async fn call_follower<P, R>(
        &self,
        key: u64,
        method: &str,
        params: &P,
        timeout: Duration,
    ) -> Result<R, RpcError>
    where
        P: Serialize + Sync,
        R: DeserializeOwned,
    {
        let Some(client) = self.inner.follower(key) else {
            return Err(RpcError::NotSent("no other process is known".to_owned()));
        };
        // A late reply to one call is no reason to close the connection, which other calls use.
        client
            .call_patiently(method, params, timeout, timeout)
            .await
    }

    /// Like [`ControlClient::call`], for threads outside the runtime.
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

    fn preferred_client(&self) -> Option<RpcClient> {
        let targets = self.lock();
        targets.clients.get(targets.preferred).cloned()
    }

    /// The process with the highest hash for the key, apart from the last known leader: most keys
    /// keep theirs when another process becomes known.
    fn follower(&self, key: u64) -> Option<RpcClient> {
        let targets = self.lock();
        let others = targets.clients.iter().enumerate();
        let others = others.filter(|(position, _)| *position != targets.preferred);
        let chosen = others.max_by_key(|(_, client)| {
            let mut hasher = SipHasher13::new_with_keys(key, 0);
            hasher.write(client.address().as_bytes());
            hasher.finish()
        });
        chosen.map(|(_, client)| client.clone())
    }

    fn client_count(&self) -> usize {
        self.lock().clients.len()
    }

    /// Chooses the process for the next attempt: the leader that `error` names, otherwise the one
    /// after `failed` unless a concurrent call has already changed the preferred process.
    fn choose_next(&self, failed: &RpcClient, error: &RpcError) -> NextTarget {
        let mut targets = self.lock();
        if let RpcError::NotLeader { hint: Some(hint) } = error
            && hint != failed.address()
        {
            targets.preferred = self.find_or_add(&mut targets, hint);
            return NextTarget::Hinted;
        }
        let current = targets.preferred;
        if targets.clients[current].address() == failed.address() {
            targets.preferred = (current + 1) % targets.clients.len();
        }
        NextTarget::Other
    }

    /// Returns the index of the client for `address`. If the list is full, a new address replaces
    /// the last one.
    fn find_or_add(&self, targets: &mut Targets, address: &str) -> usize {
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

async fn delay_round(deadline: Instant) {
    let delay = Duration::from_millis(rand::rng().random_range(ROUND_DELAY_MS));
    let left = deadline.saturating_duration_since(Instant::now());
    tokio::time::sleep(delay.min(left)).await;
}
