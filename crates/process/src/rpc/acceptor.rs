//! Accepts connections and passes each one to the runtime that serves it.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use jsonrpsee::server::Methods;
use jsonrpsee::server::StopHandle;
use jsonrpsee::server::TowerServiceBuilder;
use jsonrpsee::server::serve_with_graceful_shutdown;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::runtime::Handle;
use tower::layer::util::Identity;
use tower::layer::util::Stack;

use crate::rpc::PRIORITY_PATH;
use crate::rpc::auth::AuthLayer;

/// A connection that has not begun its handshake within this time is closed, so that idle
/// connections cannot use up the descriptors of the process. The library closes one that does not
/// complete it.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
/// The pause after a connection could not be accepted, usually for a lack of descriptors.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);
/// The method and the space before the path in the first line of a handshake.
const METHOD_BYTES: usize = "GET ".len();
/// How much of a handshake has to be read to tell its path.
const HEAD_BYTES: usize = METHOD_BYTES + PRIORITY_PATH.len();

/// The service of a connection, with the check of the shared key.
type Services = TowerServiceBuilder<Identity, Stack<AuthLayer, Identity>>;

/// The runtimes that serve connections.
#[derive(Clone, Debug)]
pub(crate) struct Runtimes {
    /// Serves the connections without priority.
    pub(crate) usual: Handle,
    /// Accepts connections and serves those with priority.
    pub(crate) priority: Handle,
}

/// Accepts the connections of a listener.
#[derive(Clone)]
pub(crate) struct Acceptor {
    pub(crate) runtimes: Runtimes,
    pub(crate) services: Services,
    pub(crate) methods: Methods,
    pub(crate) stop_handle: StopHandle,
}

impl Acceptor {
    /// Accepts connections until the server is stopped.
    pub(crate) async fn run(self, listener: TcpListener) {
        let stopped = self.stop_handle.clone().shutdown();
        let mut stopped = std::pin::pin!(stopped);
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = &mut stopped => return,
            };
            match accepted {
                Ok((stream, _)) => drop(tokio::spawn(self.clone().dispatch(stream))),
                Err(error) => {
                    log::debug!(error:%; "cannot accept a connection");
                    tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Reads the path of the handshake and serves the connection on the runtime that it belongs to.
    async fn dispatch(self, mut stream: TcpStream) {
        let mut head = [0; HEAD_BYTES];
        let reading = tokio::time::timeout(HANDSHAKE_TIMEOUT, stream.read_exact(&mut head));
        if !matches!(reading.await, Ok(Ok(_))) || stream.set_nodelay(true).is_err() {
            return;
        }
        if &head[METHOD_BYTES..] == PRIORITY_PATH.as_bytes() {
            return self.serve(Rewound::new(head, stream)).await;
        }
        // A stream belongs to the runtime in which it was created.
        let Ok(stream) = stream.into_std() else {
            return;
        };
        let runtime = self.runtimes.usual.clone();
        runtime.spawn(async move {
            if let Ok(stream) = TcpStream::from_std(stream) {
                self.serve(Rewound::new(head, stream)).await;
            }
        });
    }

    async fn serve(self, stream: Rewound) {
        let service = self.services.build(self.methods, self.stop_handle.clone());
        let stopped = self.stop_handle.shutdown();
        let served = serve_with_graceful_shutdown(stream, service, stopped).await;
        if let Err(error) = served {
            log::debug!(error:%; "a connection ended");
        }
    }
}

/// A stream of which the first bytes have been read already; readers get them first.
struct Rewound {
    head: [u8; HEAD_BYTES],
    /// How many bytes of the head have been read again.
    taken: usize,
    stream: TcpStream,
}

impl Rewound {
    fn new(head: [u8; HEAD_BYTES], stream: TcpStream) -> Rewound {
        Rewound {
            head,
            taken: 0,
            stream,
        }
    }
}

impl AsyncRead for Rewound {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let left = &self.head[self.taken..];
        if left.is_empty() {
            return Pin::new(&mut self.stream).poll_read(context, buffer);
        }
        let count = left.len().min(buffer.remaining());
        buffer.put_slice(&left[..count]);
        self.taken += count;
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Rewound {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
