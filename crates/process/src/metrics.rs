//! The metrics registry of a process, encoded as OpenMetrics text.

use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use prometheus_client::encoding::text;
use prometheus_client::registry::Metric;
use prometheus_client::registry::Registry;

use crate::process_metrics::ProcessCollector;

/// The content type of the text that [`Metrics::encode`] returns.
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// A metrics registry; clones share it. All metric names get the prefix `sapphirepost_`.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Arc<Mutex<Registry>>,
}

impl Metrics {
    /// Creates a registry that already reports the processor time and memory of this process.
    pub fn new() -> Metrics {
        let mut registry = Registry::with_prefix("sapphirepost");
        registry.register_collector(Box::new(ProcessCollector));
        Metrics {
            registry: Arc::new(Mutex::new(registry)),
        }
    }

    /// Registers a metric and returns it; all clones of the metric share its value.
    pub fn register<M: Metric + Clone>(&self, name: &str, help: &str, metric: M) -> M {
        self.registry
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .register(name, help, metric.clone());
        metric
    }

    /// Encodes all metrics as OpenMetrics text.
    pub fn encode(&self) -> Result<String, fmt::Error> {
        let registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        let mut text = String::new();
        text::encode(&mut text, &registry)?;
        Ok(text)
    }
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics::new()
    }
}
