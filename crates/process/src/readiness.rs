//! Why a process is not ready, if it is not.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

/// The set of reasons for which a process is not ready; it is ready when the set is empty.
#[derive(Clone, Debug, Default)]
pub struct Readiness {
    reasons: Arc<Mutex<BTreeMap<&'static str, String>>>,
}

impl Readiness {
    /// A process without reasons, which is ready.
    pub fn new() -> Readiness {
        Readiness::default()
    }

    /// Records that `part` is not ready, with the reason.
    pub fn block(&self, part: &'static str, reason: impl Into<String>) {
        self.lock().insert(part, reason.into());
    }

    /// Records that `part` is ready.
    pub fn clear(&self, part: &'static str) {
        self.lock().remove(part);
    }

    /// Whether no part objects.
    pub fn is_ready(&self) -> bool {
        self.lock().is_empty()
    }

    /// The parts that are not ready, with their reasons.
    pub fn reasons(&self) -> BTreeMap<&'static str, String> {
        self.lock().clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<&'static str, String>> {
        self.reasons.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
