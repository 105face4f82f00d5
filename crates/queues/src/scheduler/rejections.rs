//! Backoff between starts of a step on a worker that rejects them.

use rustc_hash::FxHashMap;
use sapphirepost_types::Millis;

use crate::scheduler::workers::WorkerIndex;

/// The pause after the first rejection; each further rejection doubles it.
const PAUSE_MIN_MS: u64 = 50;
/// The longest pause.
const PAUSE_MAX_MS: u64 = 3_200;

#[derive(Clone, Copy, Debug)]
struct Rejection {
    until: Millis,
    pause_ms: u64,
}

/// The workers that rejected the last start of a step.
#[derive(Debug, Default)]
pub struct Rejections(FxHashMap<WorkerIndex, Rejection>);

impl Rejections {
    /// Records a rejected start and pauses further starts on the worker.
    pub fn record(&mut self, worker: WorkerIndex, now: Millis) {
        let last = self.0.get(&worker);
        let pause_ms = last.map_or(PAUSE_MIN_MS, |last| (2 * last.pause_ms).min(PAUSE_MAX_MS));
        let until = now + pause_ms;
        self.0.insert(worker, Rejection { until, pause_ms });
    }

    /// Forgets the rejections of a worker that accepted a start.
    pub fn forget(&mut self, worker: WorkerIndex) {
        self.0.remove(&worker);
    }

    /// Whether starts on a worker are paused.
    pub fn is_paused(&self, worker: WorkerIndex, now: Millis) -> bool {
        self.0
            .get(&worker)
            .is_some_and(|rejection| now < rejection.until)
    }
}
