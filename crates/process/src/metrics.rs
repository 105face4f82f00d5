//! The metrics registry of a process.

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

/// A registry that is shared between threads; metric names start with `sapphirepost_`.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Arc<Mutex<Registry>>,
}

impl Metrics {
    /// A registry with the processor time and memory of this process.
    pub fn new() -> Metrics {
        let mut registry = Registry::with_prefix("sapphirepost");
        registry.register_collector(Box::new(ProcessCollector));
        Metrics {
            registry: Arc::new(Mutex::new(registry)),
        }
    }

    /// Registers a metric and returns it; its clones share the value.
    pub fn register<M: Metric + Clone>(&self, name: &str, help: &str, metric: M) -> M {
        self.registry
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .register(name, help, metric.clone());
        metric
    }

    /// The OpenMetrics text of all metrics.
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
