//! A relay that counts what passes between processes.

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
/// Each segment is acknowledged by one of its own at most.
const SEGMENTS_PER_READ: u64 = 2;
/// Segments that open and close a connection.
const SEGMENTS_PER_CONNECTION: u64 = 7;

/// What has passed, over all connections.
#[derive(Debug, Default)]
pub struct Traffic {
    bytes: AtomicU64,
    reads: AtomicU64,
    connections: AtomicU64,
}

impl Traffic {
    /// Bytes of both directions, with HTTP and WebSocket headers.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// An upper bound of the bytes on the wire: each read counts as a segment with its own
    /// acknowledgement.
    pub fn wire_bytes(&self) -> u64 {
        let segments = SEGMENTS_PER_READ * self.reads.load(Ordering::Relaxed)
            + SEGMENTS_PER_CONNECTION * self.connections.load(Ordering::Relaxed);
        self.bytes() + SEGMENT_HEADER_BYTES * segments
    }
}

/// Relays connections from `from` to `to` for as long as the runtime lives.
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
    while let Ok((near, _)) = listener.accept().await {
        tokio::spawn(connect(near, to, traffic.clone()));
    }
}

async fn connect(near: TcpStream, to: SocketAddr, traffic: Arc<Traffic>) {
    let Ok(far) = TcpStream::connect(to).await else {
        return;
    };
    // Small messages would otherwise wait for acknowledgements that the processes do not wait for.
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    traffic.connections.fetch_add(1, Ordering::Relaxed);
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::spawn(copy(near_read, far_write, traffic.clone()));
    copy(far_read, near_write, traffic).await;
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
