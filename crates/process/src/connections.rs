//! The connections of a listener: how many there are, and which one closes for a new one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

use crate::byte_budget::Account;
use crate::byte_budget::ByteBudget;
use crate::byte_budget::ListenerId;

/// The delay after a failed `accept`, for instance when file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// The time after which a further connection is told to close if none has closed.
const CLOSE_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The time between two checks for slow heads.
const HEAD_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Accepts the connections of a listener, up to a maximum. Beyond it, idle connections and slow
/// requests are closed for new ones, since a crowd of them must not lock out ordinary clients.
#[derive(Clone, Debug)]
pub(crate) struct Connections {
    budget: ByteBudget,
    listener: ListenerId,
    permits: Arc<Semaphore>,
    max: usize,
}

/// Allows one open connection, and holds its account; both are released on drop.
#[derive(Debug)]
pub(crate) struct ConnectionPermit {
    pub(crate) account: Arc<Account>,
    _semaphore_permit: OwnedSemaphorePermit,
}

impl Connections {
    pub(crate) fn new(budget: &ByteBudget, max: usize) -> Connections {
        Connections {
            listener: budget.listener(),
            budget: budget.clone(),
            permits: Arc::new(Semaphore::new(max)),
            max,
        }
    }

    /// The number of open connections.
    pub(crate) fn open(&self) -> usize {
        self.max - self.permits.available_permits()
    }

    /// Waits until all connections are closed.
    pub(crate) async fn all_closed(&self) {
        let _ = self.permits.acquire_many(self.max as u32).await;
    }

    /// Accepts the next connection. May be cancelled, but a connection that waits for its permit is
    /// then closed.
    pub(crate) async fn accept(
        &self,
        listener: &TcpListener,
    ) -> (TcpStream, SocketAddr, ConnectionPermit) {
        loop {
            match listener.accept().await {
                Ok((stream, peer)) => return (stream, peer, self.permit().await),
                Err(error) => {
                    log::warn!("cannot accept a connection: {error}");
                    // An idle connection that closes gives back its descriptor.
                    self.budget.free_connection(self.listener);
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Waits for a permit, and closes connections for it if there is none.
    async fn permit(&self) -> ConnectionPermit {
        loop {
            if self.permits.available_permits() == 0 {
                self.budget.free_connection(self.listener);
            }
            let acquiring = self.permits.clone().acquire_owned();
            if let Ok(Ok(permit)) = tokio::time::timeout(CLOSE_RETRY_DELAY, acquiring).await {
                return ConnectionPermit {
                    account: Arc::new(self.budget.open(self.listener)),
                    _semaphore_permit: permit,
                };
            }
        }
    }

    /// Closes connections whose heads take longer than `timeout`, until cancelled.
    pub(crate) async fn close_slow_heads(&self, timeout: Duration) {
        loop {
            tokio::time::sleep(HEAD_CHECK_INTERVAL).await;
            self.budget.close_slow_heads(self.listener, timeout);
        }
    }
}
