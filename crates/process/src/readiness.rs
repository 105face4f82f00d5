//! Whether a process is ready, why not, and what is degraded while it is ready.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

/// The reason why a part of the process is not ready or is degraded.
#[derive(Clone, Debug)]
struct Report {
    text: String,
    /// Whether the process is not ready because of this report.
    is_blocking: bool,
}

/// The readiness of a process, with at most one report per part; clones share the reports.
///
/// The process is ready if no part is blocked.
#[derive(Clone, Debug, Default)]
pub struct Readiness {
    reports: Arc<Mutex<BTreeMap<&'static str, Report>>>,
}

impl Readiness {
    /// Creates the readiness of a process without reports, which is ready.
    pub fn new() -> Readiness {
        Readiness::default()
    }

    /// Records that `part` is not ready, with the reason. Replaces an earlier report of the part.
    pub fn block(&self, part: &'static str, reason: impl Into<String>) {
        self.report(part, reason.into(), true);
    }

    /// Records that `part` is ready but degraded, with the reason. Replaces an earlier report of
    /// the part.
    pub fn degrade(&self, part: &'static str, reason: impl Into<String>) {
        self.report(part, reason.into(), false);
    }

    /// Records that `part` is ready and not degraded.
    pub fn clear(&self, part: &'static str) {
        self.lock().remove(part);
    }

    /// Returns whether all parts are ready; degraded parts count as ready.
    pub fn is_ready(&self) -> bool {
        self.reasons().is_empty()
    }

    /// Returns the parts that are not ready, with their reasons.
    pub fn reasons(&self) -> BTreeMap<&'static str, String> {
        self.texts(true)
    }

    /// Returns the parts that are ready but degraded, with their reasons.
    pub fn degradations(&self) -> BTreeMap<&'static str, String> {
        self.texts(false)
    }

    fn report(&self, part: &'static str, text: String, is_blocking: bool) {
        self.lock().insert(part, Report { text, is_blocking });
    }

    fn texts(&self, is_blocking: bool) -> BTreeMap<&'static str, String> {
        self.lock()
            .iter()
            .filter(|(_, report)| report.is_blocking == is_blocking)
            .map(|(part, report)| (*part, report.text.clone()))
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<&'static str, Report>> {
        self.reports.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
