//! A TCP relay that counts the traffic between processes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::runtime::Handle;

const BUFFER_BYTES: usize = 16 * 1024;
/// Ethernet, IP and TCP headers of one segment.
const SEGMENT_HEADER_BYTES: u64 = 66;
/// A data segment and at most one segment that acknowledges it.
const SEGMENTS_PER_READ: u64 = 2;
/// Segments that open and close a connection.
const SEGMENTS_PER_CONNECTION: u64 = 7;

/// Traffic through one or more relays, over all connections.
#[derive(Debug, Default)]
pub struct Traffic {
    bytes: AtomicU64,
    reads: AtomicU64,
    connections: AtomicU64,
}

impl Traffic {
    /// Returns the TCP payload bytes of both directions; HTTP and WebSocket headers are included.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Estimates the bytes on the wire, headers included. Each read counts as one segment with its
    /// own acknowledgement, however many segments it combines.
    pub fn wire_bytes(&self) -> u64 {
        let segments = SEGMENTS_PER_READ * self.reads.load(Ordering::Relaxed)
            + SEGMENTS_PER_CONNECTION * self.connections.load(Ordering::Relaxed);
        self.bytes() + SEGMENT_HEADER_BYTES * segments
    }
}

/// Listens on `from` and relays each connection to `to`, until the runtime is dropped.
pub fn start(
    runtime: &Handle,
    from: SocketAddr,
    to: SocketAddr,
    traffic: Arc<Traffic>,
) -> anyhow::Result<()> {
    let listener = runtime.block_on(TcpListener::bind(from))?;
    runtime.spawn(accept(listener, to, traffic));
    Ok(())
}

async fn accept(listener: TcpListener, to: SocketAddr, traffic: Arc<Traffic>) {
    while let Ok((client, _)) = listener.accept().await {
        tokio::spawn(relay_connection(client, to, traffic.clone()));
    }
}

async fn relay_connection(client: TcpStream, to: SocketAddr, traffic: Arc<Traffic>) {
    let Ok(server) = TcpStream::connect(to).await else {
        return;
    };
    // Nagle's algorithm would hold small messages back until an acknowledgement arrives, so the
    // relay would delay them.
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    traffic.connections.fetch_add(1, Ordering::Relaxed);
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    tokio::spawn(copy(client_read, server_write, traffic.clone()));
    copy(server_read, client_write, traffic).await;
}

async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, traffic: Arc<Traffic>) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(count) = from.read(&mut buffer).await {
        if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
            break;
        }
        traffic.bytes.fetch_add(count as u64, Ordering::Relaxed);
        traffic.reads.fetch_add(1, Ordering::Relaxed);
    }
    let _ = to.shutdown().await;
}
