//! Pulls the configuration from the leader.
//!
//! The watch sends the version that it has applied and gets what is newer. A lower version, which
//! a control process that lags could send, is never applied. The entry is not ready until the
//! current version is known. When the leader has not confirmed it for [`UNCONFIRMED_MAX`], the
//! entry says so and stays ready: all entries of a partitioned failure domain lose the leader at
//! once, and the balancer would otherwise stop the service there.
//!
//! `main` calls [`start`] and reads the configuration from the returned [`ConfigWatch`].

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

/// The longest time for which the leader holds a call.
const HOLD_MS: u64 = 4000;
/// The time for which an applied version counts as current without a confirmation; two holds and
/// an election.
pub const UNCONFIRMED_MAX: Duration = Duration::from_secs(10);
/// The pause after a failed or refused answer.
const RETRY_MS: std::ops::Range<u64> = 100..200;
/// The part of the process that [`Readiness`] names.
const PART: &str = "config";

/// One version of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppliedConfig {
    /// Its version.
    pub version: ConfigVersion,
    /// Its values.
    pub values: Arc<BTreeMap<Name, String>>,
}

/// Who watches.
#[derive(Clone, Copy, Debug)]
pub struct Watcher {
    /// The entry.
    pub entry: EntryId,
    /// The run of the entry.
    pub incarnation: Incarnation,
}

/// The running watch; it ends when dropped.
#[derive(Debug)]
pub struct ConfigWatch {
    applied: Arc<Mutex<Option<AppliedConfig>>>,
    task: JoinHandle<()>,
}

impl ConfigWatch {
    /// The applied configuration; `None` until the first answer.
    pub fn applied(&self) -> Option<AppliedConfig> {
        lock(&self.applied).clone()
    }
}

impl Drop for ConfigWatch {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Starts to watch. `on_change` is called on a network thread with each new version before that
/// version is reported as applied, and must not block.
pub fn start(
    runtime: &Handle,
    control: ControlClient,
    watcher: Watcher,
    readiness: Readiness,
    on_change: impl Fn(&AppliedConfig) + Send + Sync + 'static,
) -> ConfigWatch {
    readiness.block(PART, "the current version is not known");
    let applied = Arc::new(Mutex::new(None));
    let watch = Watch {
        control,
        watcher,
        readiness,
        applied: applied.clone(),
        confirmed_at: None,
    };
    let task = runtime.spawn(watch.run(on_change));
    ConfigWatch { applied, task }
}

struct Watch {
    control: ControlClient,
    watcher: Watcher,
    readiness: Readiness,
    applied: Arc<Mutex<Option<AppliedConfig>>>,
    confirmed_at: Option<Instant>,
}

impl Watch {
    async fn run(mut self, on_change: impl Fn(&AppliedConfig) + Sync) {
        loop {
            if !self.pull(&on_change).await {
                self.report_unconfirmed();
                let pause = rand::rng().random_range(RETRY_MS);
                tokio::time::sleep(Duration::from_millis(pause)).await;
            }
        }
    }

    /// Asks once; whether the answer shows the current version.
    async fn pull(&mut self, on_change: &(impl Fn(&AppliedConfig) + Sync)) -> bool {
        let before = lock(&self.applied).clone();
        let request = WatchConfig {
            entry: self.watcher.entry,
            incarnation: self.watcher.incarnation,
            applied: before.as_ref().map(|applied| applied.version),
            // Without an applied version there is nothing to wait for, and a confirmation that
            // is overdue is asked for at once.
            wait_ms: if self.is_confirmed() { HOLD_MS } else { 0 },
        };
        let options = CallOptions {
            total_timeout: Duration::from_millis(HOLD_MS + 2000),
            attempt_timeout: Duration::from_millis(HOLD_MS + 1000),
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
        let Some(next) = advance(before.as_ref(), reply) else {
            return false;
        };
        if before.as_ref() != Some(&next) {
            log::info!(version = next.version.0; "configuration applied");
            on_change(&next);
            *lock(&self.applied) = Some(next);
        }
        self.confirmed_at = Some(Instant::now());
        self.readiness.clear(PART);
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
        self.readiness.limit(PART, reason);
    }
}

/// The configuration after a reply; `None` if the reply cannot follow the applied version.
pub fn advance(before: Option<&AppliedConfig>, reply: ConfigReply) -> Option<AppliedConfig> {
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
