//! TCP relays in front of entries and control processes that simulate network partitions.
//!
//! Each failure domain reaches a process through a separate relay, so that the source of a
//! connection is known. A control process also advertises one address to all domains; there, the
//! source is the domain of the process that owns the peer's socket. While a failure domain is
//! isolated, connections between it and the other domains are closed and new ones are refused.
//! Connections within the domain and among the other domains are not affected. All relays of a
//! scenario share one Tokio runtime and stop when it is dropped.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use tokio::io::copy_bidirectional;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;
use tokio::sync::Semaphore;
use tokio::sync::watch;

/// Concurrent connections of one scenario; further ones wait to be accepted.
const CONNECTIONS_MAX: usize = 400;

/// Allows one look-up of a connecting process at a time, because it reads the socket table of the
/// whole machine, which takes milliseconds. It runs on a blocking thread, so that it does not delay
/// relayed heartbeats.
static LOOKUP_PERMITS: Semaphore = Semaphore::const_new(1);

type Domain = String;

#[derive(Clone)]
struct Shared {
    /// The failure domain that is isolated, if any.
    isolated: watch::Sender<Option<Domain>>,
    /// Failure domains by process ID, for the processes that connect to advertised addresses.
    processes: Arc<Mutex<BTreeMap<u32, Domain>>>,
    connections: Arc<Semaphore>,
}

/// All relays of a scenario.
pub struct Relays {
    shared: Shared,
    runtime: Runtime,
}

impl Relays {
    pub fn new() -> Relays {
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build();
        Relays {
            shared: Shared {
                isolated: watch::channel(None).0,
                processes: Arc::default(),
                connections: Arc::new(Semaphore::new(CONNECTIONS_MAX)),
            },
            runtime: runtime.unwrap(),
        }
    }

    /// Relays connections from `address` to `target`, which is the address of a process in the
    /// failure domain `to`. The connections come from the failure domain `from`; if it is `None`,
    /// the source is looked up for each connection.
    pub fn add(&self, address: SocketAddr, target: SocketAddr, from: Option<&str>, to: &str) {
        let listener = self.runtime.block_on(TcpListener::bind(address)).unwrap();
        let (from, to) = (from.map(str::to_owned), to.to_owned());
        let shared = self.shared.clone();
        self.runtime.spawn(async move {
            while let Ok(permit) = shared.connections.clone().acquire_owned().await {
                let Ok((stream, _)) = listener.accept().await else {
                    return;
                };
                let (shared, from, to) = (shared.clone(), from.clone(), to.clone());
                tokio::spawn(async move {
                    let _permit = permit;
                    shared.connect(stream, target, from, &to).await
                });
            }
        });
    }

    /// Registers the failure domain of a process for its connections to advertised addresses.
    pub fn register(&self, process: u32, domain: &str) {
        let mut processes = self.shared.processes.lock().unwrap();
        processes.insert(process, domain.to_owned());
    }

    /// Isolates a failure domain from all others, instead of the one isolated before.
    pub fn isolate(&self, domain: &str) {
        self.shared.isolated.send_replace(Some(domain.to_owned()));
    }

    /// Ends the partition.
    pub fn heal(&self) {
        self.shared.isolated.send_replace(None);
    }
}

impl Shared {
    async fn connect(
        &self,
        mut inbound: TcpStream,
        target: SocketAddr,
        from: Option<Domain>,
        to: &str,
    ) -> Option<()> {
        let from = match from {
            Some(from) => from,
            None => {
                let (peer, relay) = (inbound.peer_addr().ok()?, inbound.local_addr().ok()?);
                self.look_up_domain(peer, relay).await?
            }
        };
        let crosses = |isolated: &Option<Domain>| {
            let isolated = isolated.as_deref();
            isolated.is_some_and(|isolated| (from == isolated) != (to == isolated))
        };
        let mut isolated = self.isolated.subscribe();
        if crosses(&isolated.borrow_and_update()) {
            return None;
        }
        let mut outbound = TcpStream::connect(target).await.ok()?;
        inbound.set_nodelay(true).ok()?;
        outbound.set_nodelay(true).ok()?;
        tokio::select! {
            _ = copy_bidirectional(&mut inbound, &mut outbound) => {}
            _ = isolated.wait_for(crosses) => {}
        }
        Some(())
    }

    /// Returns the failure domain of the process that connects from `peer` to `relay`. Connections
    /// of unknown processes are refused, so that none crosses a partition.
    async fn look_up_domain(&self, peer: SocketAddr, relay: SocketAddr) -> Option<Domain> {
        let _permit = LOOKUP_PERMITS.acquire().await.ok()?;
        let processes = self.processes.lock().unwrap().clone();
        let look_up = tokio::task::spawn_blocking(move || {
            let socket_link = format!("socket:[{}]", socket_inode(peer, relay)?);
            let owner = processes
                .into_iter()
                .find(|(id, _)| owns_socket(*id, &socket_link));
            owner.map(|(_, domain)| domain)
        });
        look_up.await.ok()?
    }
}

/// Returns the inode of the TCP socket that is connected from `local` to `remote`. The local
/// address alone is ambiguous: the kernel gives one port to several sockets that connect to
/// different addresses.
pub fn socket_inode(local: SocketAddr, remote: SocketAddr) -> Option<String> {
    let addresses = [table_address(local)?, table_address(remote)?];
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    let line = table
        .lines()
        .find(|line| line.split_whitespace().skip(1).take(2).eq(&addresses))?;
    line.split_whitespace().nth(9).map(str::to_owned)
}

/// Formats an address as `/proc/net/tcp` does.
fn table_address(address: SocketAddr) -> Option<String> {
    let SocketAddr::V4(address) = address else {
        return None;
    };
    let ip = u32::from_le_bytes(address.ip().octets());
    Some(format!("{ip:08X}:{:04X}", address.port()))
}

fn owns_socket(process: u32, socket_link: &str) -> bool {
    let Ok(files) = fs::read_dir(format!("/proc/{process}/fd")) else {
        return false;
    };
    files
        .flatten()
        .filter_map(|file| fs::read_link(file.path()).ok())
        .any(|target| target.as_os_str() == socket_link)
}
