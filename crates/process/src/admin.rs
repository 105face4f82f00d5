//! The admin listener: `/healthz`, `/readyz`, `/metrics` and `/dump`.
//!
//! It runs on a thread and a runtime of its own, so that it answers while the other threads are
//! busy. Dumps wait on a bounded number of threads, since the owner of the state may be slow.

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

use crate::http;
use crate::http::HttpError;
use crate::http::HttpHandler;
use crate::http::HttpLimits;
use crate::http::HttpResponse;
use crate::http::HttpServer;
use crate::metrics;
use crate::metrics::Metrics;
use crate::readiness::Readiness;

/// Threads that wait for dumps.
const DUMP_THREADS: usize = 4;

const LIMITS: HttpLimits = HttpLimits {
    connections_max: 64,
    head_max_bytes: 16 * 1024,
    body_max_bytes: 0,
    head_timeout: Duration::from_secs(10),
    body_timeout: Duration::from_secs(1),
};

/// The dump could not be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DumpError {
    /// The owner of the state has too much to do.
    #[error("the owner of the state is busy")]
    Busy,
    /// The owner of the state did not answer in time.
    #[error("the owner of the state did not answer in time")]
    TimedOut,
}

/// Makes a dump of the state of the process.
pub type DumpSource = Arc<dyn Fn() -> Result<Value, DumpError> + Send + Sync>;

/// A dump request to the thread that owns the state, which sends the dump into it.
pub type DumpRequest = flume::Sender<Value>;

/// A dump source that asks the thread at the other end of a ring and waits up to `timeout`.
pub fn dump_from_channel(ring: flume::Sender<DumpRequest>, timeout: Duration) -> DumpSource {
    Arc::new(move || {
        let (sender, receiver) = flume::bounded(1);
        ring.try_send(sender).map_err(|_| DumpError::Busy)?;
        receiver
            .recv_timeout(timeout)
            .map_err(|_| DumpError::TimedOut)
    })
}

/// What the admin listener shows.
#[derive(Clone)]
pub struct AdminParts {
    /// Whether the process is ready, and why not.
    pub readiness: Readiness,
    /// Its metrics.
    pub metrics: Metrics,
    /// Its dump.
    pub dump: DumpSource,
}

/// The running listener; it stops when dropped.
#[derive(Debug)]
pub struct AdminServer {
    address: SocketAddr,
    _stop: oneshot::Sender<()>,
}

impl AdminServer {
    /// Binds `address` and starts to serve.
    pub fn start(address: SocketAddr, parts: AdminParts) -> Result<AdminServer, AdminError> {
        let bind_error = |error: io::Error| AdminError::Bind(address, error.to_string());
        let runtime = Builder::new_current_thread()
            .enable_all()
            .max_blocking_threads(DUMP_THREADS)
            .build()
            .map_err(bind_error)?;
        let handler = Admin {
            parts,
            runtime: runtime.handle().clone(),
        };
        let starting = HttpServer::start(runtime.handle(), address, LIMITS, handler);
        let server = runtime.block_on(starting).map_err(bind_error)?;
        let address = server.address();
        let (stop, stopped) = oneshot::channel();
        thread::Builder::new()
            .name("admin".to_owned())
            .spawn(move || run(runtime, server, stopped))
            .map_err(bind_error)?;
        Ok(AdminServer {
            address,
            _stop: stop,
        })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

fn run(runtime: Runtime, server: HttpServer, stopped: oneshot::Receiver<()>) {
    let _ = runtime.block_on(stopped);
    drop(server);
    // A dump that is still awaited must not delay the end of the process.
    runtime.shutdown_background();
}

/// Why the listener did not start.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum AdminError {
    /// The address could not be bound.
    #[error("cannot listen on {0}: {1}")]
    Bind(SocketAddr, String),
}

struct Admin {
    parts: AdminParts,
    runtime: Handle,
}

impl HttpHandler for Admin {
    fn admit(&self, head: &Parts) -> Result<(), HttpError> {
        if head.method == Method::GET {
            return Ok(());
        }
        let status = StatusCode::METHOD_NOT_ALLOWED;
        Err(HttpError::new(status, "method", "use GET"))
    }

    async fn handle(&self, request: Request<Bytes>) -> HttpResponse {
        match request.uri().path() {
            "/healthz" => http::text(StatusCode::OK, "ok\n"),
            "/readyz" => ready(&self.parts.readiness),
            "/metrics" => encode(&self.parts.metrics),
            "/dump" => self.dump().await,
            _ => HttpError::new(StatusCode::NOT_FOUND, "not_found", "no such path").into_response(),
        }
    }
}

impl Admin {
    async fn dump(&self) -> HttpResponse {
        let source = self.parts.dump.clone();
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

fn ready(readiness: &Readiness) -> HttpResponse {
    let reasons = readiness.reasons();
    if reasons.is_empty() {
        let text = format!("ready\n{}", lines(&readiness.degradations()));
        return http::text(StatusCode::OK, text);
    }
    http::text(StatusCode::SERVICE_UNAVAILABLE, lines(&reasons))
}

fn lines(reports: &BTreeMap<&'static str, String>) -> String {
    reports
        .iter()
        .map(|(part, text)| format!("{part}: {text}\n"))
        .collect()
}

fn encode(metrics: &Metrics) -> HttpResponse {
    match metrics.encode() {
        Ok(text) => http::content(StatusCode::OK, metrics::CONTENT_TYPE, text),
        Err(error) => http::text(StatusCode::INTERNAL_SERVER_ERROR, format!("{error}\n")),
    }
}
