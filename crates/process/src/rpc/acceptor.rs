//! Accepts connections and passes each one to the runtime that serves it.

use std::time::Duration;

use jsonrpsee::server::Methods;
use jsonrpsee::server::StopHandle;
use jsonrpsee::server::TowerServiceBuilder;
use jsonrpsee::server::serve_with_graceful_shutdown;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::runtime::Handle;
use tower::layer::util::Identity;
use tower::layer::util::Stack;

use crate::byte_budget::Phase;
use crate::connections::ConnectionPermit;
use crate::connections::Connections;
use crate::rpc::PRIORITY_PATH;
use crate::rpc::auth::AuthLayer;
use crate::rpc::counted_stream::CountedStream;

/// A connection that has not completed its handshake within this time is closed, so that idle
/// connections cannot use up the descriptors of the process.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
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
    pub(crate) connections: Connections,
}

impl Acceptor {
    /// Accepts connections until the server is stopped.
    pub(crate) async fn run(self, listener: TcpListener) {
        let stopped = self.stop_handle.clone().shutdown();
        let mut stopped = std::pin::pin!(stopped);
        let closing = self.connections.close_slow_heads(HANDSHAKE_TIMEOUT);
        let mut closing = std::pin::pin!(closing);
        loop {
            let (stream, _, permit) = tokio::select! {
                accepted = self.connections.accept(&listener) => accepted,
                () = &mut stopped => return,
                () = &mut closing => return,
            };
            tokio::spawn(self.clone().dispatch(stream, permit));
        }
    }

    /// Reads the path of the handshake and serves the connection on the runtime that it belongs to.
    async fn dispatch(self, mut stream: TcpStream, permit: ConnectionPermit) {
        let account = permit.account.clone();
        account.enter(Phase::Head);
        let mut head = [0; HEAD_BYTES];
        let read = tokio::select! {
            read = stream.read_exact(&mut head) => read,
            () = account.closed() => return,
        };
        if read.is_err() || stream.set_nodelay(true).is_err() {
            return;
        }
        if &head[METHOD_BYTES..] == PRIORITY_PATH.as_bytes() {
            return self.serve(&head, stream, permit).await;
        }
        // A stream belongs to the runtime in which it was created.
        let Ok(stream) = stream.into_std() else {
            return;
        };
        let runtime = self.runtimes.usual.clone();
        runtime.spawn(async move {
            if let Ok(stream) = TcpStream::from_std(stream) {
                self.serve(&head, stream, permit).await;
            }
        });
    }

    async fn serve(self, head: &[u8], stream: TcpStream, permit: ConnectionPermit) {
        let stream = CountedStream::new(head, stream, permit);
        let service = self.services.build(self.methods, self.stop_handle.clone());
        let stopped = self.stop_handle.shutdown();
        let served = serve_with_graceful_shutdown(stream, service, stopped).await;
        if let Err(error) = served {
            log::debug!(error:%; "a connection ended");
        }
    }
}
