//! Why a process is not ready, if it is not, and what limits it while it is ready.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

/// What a part reports about itself.
#[derive(Clone, Debug)]
struct Report {
    text: String,
    is_blocking: bool,
}

/// The reports of the parts of a process; it is ready when none is blocking.
#[derive(Clone, Debug, Default)]
pub struct Readiness {
    reports: Arc<Mutex<BTreeMap<&'static str, Report>>>,
}

impl Readiness {
    /// A process without reasons, which is ready.
    pub fn new() -> Readiness {
        Readiness::default()
    }

    /// Records that `part` is not ready, with the reason.
    pub fn block(&self, part: &'static str, reason: impl Into<String>) {
        self.report(part, reason.into(), true);
    }

    /// Records that `part` is ready within a limit.
    pub fn degrade(&self, part: &'static str, reason: impl Into<String>) {
        self.report(part, reason.into(), false);
    }

    /// Records that `part` is ready.
    pub fn clear(&self, part: &'static str) {
        self.lock().remove(part);
    }

    /// Whether no part objects.
    pub fn is_ready(&self) -> bool {
        self.reasons().is_empty()
    }

    /// The parts that are not ready, with their reasons.
    pub fn reasons(&self) -> BTreeMap<&'static str, String> {
        self.texts(true)
    }

    /// The parts that are ready within a limit.
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
