//! Fetches the configuration from the leader by long polling.
//!
//! The watch sends the version that it has applied and receives a newer one, if any. A lower
//! version, which a lagging control process could send, is never applied. The entry is not ready
//! until it knows the current version. If the leader then does not confirm the version for
//! [`UNCONFIRMED_MAX`], the readiness report says so but the entry stays ready: all entries of a
//! partitioned failure domain lose the leader at the same time, and the load balancer would
//! otherwise take the service down there.
//!
//! [`crate::daemon::run`] calls [`start`]; changes reach the entry through its callback.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use sapphirepost_process::Readiness;
use sapphirepost_protocol::config::ConfigReply;
use sapphirepost_protocol::config::ConfigUpdate;
use sapphirepost_protocol::config::WatchConfig;
use sapphirepost_protocol::method;
use sapphirepost_types::ConfigVersion;
use sapphirepost_types::EntryId;
use sapphirepost_types::Incarnation;
use sapphirepost_types::Name;
use tokio::runtime::Handle;
use tokio::task::JoinHandle;

use crate::control_client::CallOptions;
use crate::control_client::ControlClient;
use crate::control_client::RetryPolicy;

/// The longest time for which the leader holds a poll.
const POLL_HOLD_MS: u64 = 4000;
/// How long an applied version counts as current without a confirmation. The time allows for two
/// held polls and an election.
pub const UNCONFIRMED_MAX: Duration = Duration::from_secs(10);
/// The range of the random delay after a poll that failed or whose reply was refused.
const RETRY_DELAY_MS: std::ops::Range<u64> = 100..200;
/// The name of the configuration in the readiness report.
const READINESS_PART: &str = "config";

/// The configuration at one version, as it results from the replies of the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppliedConfig {
    /// The version of the configuration as a whole; each change increases it.
    pub version: ConfigVersion,
    /// The values of all keys that are set.
    pub values: Arc<BTreeMap<Name, String>>,
}

/// Identifies the watching process to the leader.
#[derive(Clone, Copy, Debug)]
pub struct Watcher {
    /// The ID of the entry.
    pub entry: EntryId,
    /// Distinguishes the process from earlier ones with the same ID.
    pub incarnation: Incarnation,
}

/// Handle to the running watch, which stops when the handle is dropped.
#[derive(Debug)]
pub struct ConfigWatch {
    applied: Arc<Mutex<Option<AppliedConfig>>>,
    task: JoinHandle<()>,
}

impl ConfigWatch {
    /// The applied configuration; `None` until the first one is received.
    pub fn applied(&self) -> Option<AppliedConfig> {
        lock(&self.applied).clone()
    }
}

impl Drop for ConfigWatch {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Starts the watch. `on_change` is called on a network thread with each new version before that
/// version is reported as applied, and must not block.
pub fn start(
    runtime: &Handle,
    control: ControlClient,
    watcher: Watcher,
    readiness: Readiness,
    on_change: impl Fn(&AppliedConfig) + Send + Sync + 'static,
) -> ConfigWatch {
    readiness.block(READINESS_PART, "the current version is not known");
    let applied = Arc::new(Mutex::new(None));
    let watch = WatchTask {
        control,
        watcher,
        readiness,
        applied: applied.clone(),
        confirmed_at: None,
    };
    let task = runtime.spawn(watch.run(on_change));
    ConfigWatch { applied, task }
}

/// The state of the task that polls the leader.
struct WatchTask {
    control: ControlClient,
    watcher: Watcher,
    readiness: Readiness,
    applied: Arc<Mutex<Option<AppliedConfig>>>,
    confirmed_at: Option<Instant>,
}

impl WatchTask {
    async fn run(mut self, on_change: impl Fn(&AppliedConfig) + Sync) {
        loop {
            if !self.poll(&on_change).await {
                self.report_unconfirmed();
                let delay_ms = rand::rng().random_range(RETRY_DELAY_MS);
                tokio::time::sleep(Duration::from_millis(delay_ms)).await;
            }
        }
    }

    /// Polls once. Returns whether the current version is now applied.
    async fn poll(&mut self, on_change: &(impl Fn(&AppliedConfig) + Sync)) -> bool {
        let before = lock(&self.applied).clone();
        let request = WatchConfig {
            entry: self.watcher.entry,
            incarnation: self.watcher.incarnation,
            applied: before.as_ref().map(|applied| applied.version),
            // With a wait of 0 the leader answers at once: without an applied version there is
            // nothing to wait for, and an overdue confirmation must not be delayed.
            wait_ms: if self.is_confirmed() { POLL_HOLD_MS } else { 0 },
        };
        let options = CallOptions {
            total_timeout: Duration::from_millis(POLL_HOLD_MS + 2000),
            attempt_timeout: Duration::from_millis(POLL_HOLD_MS + 1000),
            retry: RetryPolicy::Idempotent,
        };
        let answer = self
            .control
            .call::<_, ConfigReply>(method::WATCH_CONFIG, &request, options)
            .await;
        let reply = match answer {
            Ok(reply) => reply,
            Err(error) => {
                log::debug!("configuration not confirmed: {error}");
                return false;
            }
        };
        let Some(next) = apply_reply(before.as_ref(), reply) else {
            return false;
        };
        if before.as_ref() != Some(&next) {
            log::info!(version = next.version.0; "configuration applied");
            on_change(&next);
            *lock(&self.applied) = Some(next);
        }
        self.confirmed_at = Some(Instant::now());
        self.readiness.clear(READINESS_PART);
        true
    }

    fn is_confirmed(&self) -> bool {
        self.confirmed_at
            .is_some_and(|at| at.elapsed() < UNCONFIRMED_MAX)
    }

    fn report_unconfirmed(&self) {
        if self.is_confirmed() {
            return;
        }
        let Some(applied) = lock(&self.applied).clone() else {
            return;
        };
        let seconds = UNCONFIRMED_MAX.as_secs();
        let version = applied.version;
        let reason = format!("{version} was not confirmed as current for {seconds} s");
        self.readiness.degrade(READINESS_PART, reason);
    }
}

/// Returns the configuration that results from a reply. `None` if the reply is refused: it has a
/// lower version than the applied one, confirms a version that is not applied, or contains only
/// changes although no version is applied.
pub fn apply_reply(before: Option<&AppliedConfig>, reply: ConfigReply) -> Option<AppliedConfig> {
    let version = reply.version;
    if let Some(before) = before
        && version < before.version
    {
        let applied = before.version.0;
        log::warn!(offered = version.0, applied = applied; "lower configuration version refused");
        return None;
    }
    let values = match reply.update {
        ConfigUpdate::Whole(values) => values,
        ConfigUpdate::Current => {
            return before.filter(|before| before.version == version).cloned();
        }
        ConfigUpdate::Changes(changes) => {
            let mut values = before?.values.as_ref().clone();
            for change in changes {
                match change.value {
                    Some(value) => values.insert(change.key, value),
                    None => values.remove(&change.key),
                };
            }
            values
        }
    };
    Some(AppliedConfig {
        version,
        values: Arc::new(values),
    })
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
