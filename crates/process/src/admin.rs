//! The admin listener: `/healthz`, `/readyz`, `/metrics` and `/dump`.
//!
//! The listener has its own thread and runtime, so that it responds while the other threads are
//! busy. A dump waits for the thread that owns the state, which may be slow; a bounded number of
//! blocking threads does this waiting, so that the other paths stay available.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::http::request::Parts;
use serde_json::Value;
use thiserror::Error;
use tokio::runtime::Builder;
use tokio::runtime::Handle;
use tokio::runtime::Runtime;
use tokio::sync::oneshot;

use crate::byte_budget::ByteBudget;
use crate::http;
use crate::http::HttpError;
use crate::http::HttpHandler;
use crate::http::HttpLimits;
use crate::http::HttpResponse;
use crate::http::HttpServer;
use crate::metrics;
use crate::metrics::Metrics;
use crate::readiness::Readiness;

/// Maximum number of threads that wait for dumps.
const DUMP_THREADS: usize = 4;

const LIMITS: HttpLimits = HttpLimits {
    connections_max: 64,
    head_max_bytes: 16 * 1024,
    body_max_bytes: 0,
    head_timeout: Duration::from_secs(10),
    body_timeout: Duration::from_secs(1),
};

/// Why no dump of the state was produced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DumpError {
    /// The request channel of the thread that owns the state is full or closed.
    #[error("the thread that owns the state is busy")]
    Busy,
    /// The thread that owns the state did not reply within the timeout, or dropped the request.
    #[error("the thread that owns the state did not reply in time")]
    TimedOut,
}

/// Produces a dump of the process state; may block its thread.
pub type DumpSource = Arc<dyn Fn() -> Result<Value, DumpError> + Send + Sync>;

/// A dump request to the thread that owns the state: the channel on which it returns the dump.
pub type DumpRequest = flume::Sender<Value>;

/// Returns a dump source that sends a request over a channel and waits up to `timeout` for the
/// dump.
pub fn dump_from_channel(requests: flume::Sender<DumpRequest>, timeout: Duration) -> DumpSource {
    Arc::new(move || {
        let (sender, receiver) = flume::bounded(1);
        requests.try_send(sender).map_err(|_| DumpError::Busy)?;
        receiver
            .recv_timeout(timeout)
            .map_err(|_| DumpError::TimedOut)
    })
}

/// The sources of the data that the admin listener serves.
#[derive(Clone)]
pub struct AdminSources {
    /// Whether the process is ready, and why not; served under `/readyz`.
    pub readiness: Readiness,
    /// Served under `/metrics`.
    pub metrics: Metrics,
    /// Served under `/dump`.
    pub dump: DumpSource,
    /// Counts the requests; its metrics are served as well.
    pub budget: ByteBudget,
}

/// The running admin listener; it stops when dropped.
#[derive(Debug)]
pub struct AdminServer {
    address: SocketAddr,
    _stop: oneshot::Sender<()>,
}

impl AdminServer {
    /// Binds `address` and starts serving on a new thread.
    pub fn start(address: SocketAddr, sources: AdminSources) -> Result<AdminServer, AdminError> {
        let bind_error = |error: io::Error| AdminError::Bind(address, error.to_string());
        let runtime = Builder::new_current_thread()
            .enable_all()
            .max_blocking_threads(DUMP_THREADS)
            .build()
            .map_err(bind_error)?;
        let budget = sources.budget.clone();
        budget.register(&sources.metrics);
        let handler = AdminHandler {
            sources,
            runtime: runtime.handle().clone(),
        };
        let starting = HttpServer::start(runtime.handle(), address, LIMITS, &budget, handler);
        let server = runtime.block_on(starting).map_err(bind_error)?;
        let address = server.address();
        let (stop, stopped) = oneshot::channel();
        thread::Builder::new()
            .name("admin".to_owned())
            .spawn(move || run_until_stopped(runtime, server, stopped))
            .map_err(bind_error)?;
        Ok(AdminServer {
            address,
            _stop: stop,
        })
    }

    /// The bound address, with the actual port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

fn run_until_stopped(runtime: Runtime, server: HttpServer, stopped: oneshot::Receiver<()>) {
    let _ = runtime.block_on(stopped);
    drop(server);
    // A thread that still waits for a dump must not delay the exit of the process.
    runtime.shutdown_background();
}

/// Why the admin listener did not start.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum AdminError {
    /// The address could not be bound, or the runtime or thread could not be created.
    #[error("cannot listen on {0}: {1}")]
    Bind(SocketAddr, String),
}

struct AdminHandler {
    sources: AdminSources,
    runtime: Handle,
}

impl HttpHandler for AdminHandler {
    fn check_head(&self, head: &Parts) -> Result<(), HttpError> {
        if head.method == Method::GET {
            return Ok(());
        }
        let status = StatusCode::METHOD_NOT_ALLOWED;
        Err(HttpError::new(status, "method", "use GET"))
    }

    async fn handle(&self, request: Request<Bytes>) -> HttpResponse {
        match request.uri().path() {
            "/healthz" => http::text(StatusCode::OK, "ok\n"),
            "/readyz" => readiness_response(&self.sources.readiness),
            "/metrics" => metrics_response(&self.sources.metrics),
            "/dump" => self.dump().await,
            _ => HttpError::new(StatusCode::NOT_FOUND, "not_found", "no such path").into_response(),
        }
    }
}

impl AdminHandler {
    async fn dump(&self) -> HttpResponse {
        let source = self.sources.dump.clone();
        match self.runtime.spawn_blocking(move || source()).await {
            Ok(Ok(value)) => http::json(StatusCode::OK, &value),
            Ok(Err(error)) => dump_error(&error),
            Err(error) => dump_error(&error),
        }
    }
}

fn dump_error(error: &dyn std::error::Error) -> HttpResponse {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    HttpError::new(status, "unavailable", error.to_string()).into_response()
}

fn readiness_response(readiness: &Readiness) -> HttpResponse {
    let reasons = readiness.reasons();
    if reasons.is_empty() {
        let text = format!("ready\n{}", format_reports(&readiness.degradations()));
        return http::text(StatusCode::OK, text);
    }
    http::text(StatusCode::SERVICE_UNAVAILABLE, format_reports(&reasons))
}

fn format_reports(reports: &BTreeMap<&'static str, String>) -> String {
    reports
        .iter()
        .map(|(part, text)| format!("{part}: {text}\n"))
        .collect()
}

fn metrics_response(metrics: &Metrics) -> HttpResponse {
    match metrics.encode() {
        Ok(text) => http::content(StatusCode::OK, metrics::CONTENT_TYPE, text),
        Err(error) => http::text(StatusCode::INTERNAL_SERVER_ERROR, format!("{error}\n")),
    }
}
