//! The admin listener: `/healthz`, `/readyz`, `/metrics` and `/dump`.
//!
//! `rouille` offers no socket timeouts, so a stalled peer holds one of the library's threads
//! until it disconnects; requests themselves run on a bounded pool. The listener belongs on an
//! inner address.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::Duration;

use rouille::Request;
use rouille::Response;
use rouille::Server;
use serde_json::Value;
use thiserror::Error;

use crate::metrics;
use crate::metrics::Metrics;
use crate::readiness::Readiness;

/// Threads that run requests.
const POOL_SIZE: usize = 4;

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
pub fn dump_from_ring(ring: flume::Sender<DumpRequest>, timeout: Duration) -> DumpSource {
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
pub struct AdminServer {
    address: SocketAddr,
    stop: mpsc::Sender<()>,
    _thread: JoinHandle<()>,
}

impl AdminServer {
    /// Binds `address` and starts to serve.
    pub fn start(address: SocketAddr, parts: AdminParts) -> Result<AdminServer, AdminError> {
        let server = Server::new(address, move |request| handle(request, &parts))
            .map_err(|error| AdminError::Bind(address, error.to_string()))?
            .pool_size(POOL_SIZE);
        let address = server.server_addr();
        let (thread, stop) = server.stoppable();
        Ok(AdminServer {
            address,
            stop,
            _thread: thread,
        })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for AdminServer {
    fn drop(&mut self) {
        let _ = self.stop.send(());
    }
}

/// Why the listener did not start.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum AdminError {
    /// The address could not be bound.
    #[error("cannot listen on {0}: {1}")]
    Bind(SocketAddr, String),
}

fn handle(request: &Request, parts: &AdminParts) -> Response {
    if request.method() != "GET" {
        return Response::text("use GET\n").with_status_code(405);
    }
    match request.url().as_str() {
        "/healthz" => Response::text("ok\n"),
        "/readyz" => ready(&parts.readiness),
        "/metrics" => encode(&parts.metrics),
        "/dump" => dump(&parts.dump),
        _ => Response::text("not found\n").with_status_code(404),
    }
}

fn ready(readiness: &Readiness) -> Response {
    let reasons = readiness.reasons();
    if reasons.is_empty() {
        return Response::text("ready\n");
    }
    let lines: String = reasons
        .iter()
        .map(|(part, reason)| format!("{part}: {reason}\n"))
        .collect();
    Response::text(lines).with_status_code(503)
}

fn encode(metrics: &Metrics) -> Response {
    match metrics.encode() {
        Ok(text) => Response::from_data(metrics::CONTENT_TYPE, text),
        Err(error) => Response::text(format!("{error}\n")).with_status_code(500),
    }
}

fn dump(source: &DumpSource) -> Response {
    match source() {
        Ok(value) => Response::from_data("application/json", value.to_string()),
        Err(error) => Response::text(format!("{error}\n")).with_status_code(503),
    }
}
