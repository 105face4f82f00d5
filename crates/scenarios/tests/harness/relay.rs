//! TCP relays in front of entries and control processes that simulate network partitions.
//!
//! Each failure domain reaches a process through a separate relay, so that the source of a
//! connection is known. A control process also advertises one address to all domains; there, the
//! source is the domain of the process that owns the peer's socket. While a failure domain is
//! isolated, connections between it and the other domains are closed and new ones are refused.
//! Connections within the domain and among the other domains are not affected. All relays of a
//! scenario share one Tokio runtime and stop when it is dropped.

use std::collections::BTreeMap;
use std::collections::HashMap;
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
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tokio::sync::watch;

/// Concurrent connections of one scenario; further ones wait to be accepted.
const CONNECTIONS_MAX: usize = 400;

type Domain = String;

/// Failure domains by process ID, for the processes that connect to advertised addresses.
type Processes = Arc<Mutex<BTreeMap<u32, Domain>>>;

#[derive(Clone)]
struct Shared {
    /// The failure domain that is isolated, if any.
    isolated: watch::Sender<Option<Domain>>,
    look_ups: UnboundedSender<LookUp>,
    connections: Arc<Semaphore>,
}

/// A connection whose source is to be looked up.
struct LookUp {
    peer: SocketAddr,
    relay: SocketAddr,
    /// Receives the failure domain; `None` if the process is unknown.
    reply: oneshot::Sender<Option<Domain>>,
}

/// All relays of a scenario.
pub struct Relays {
    shared: Shared,
    processes: Processes,
    runtime: Runtime,
}

impl Relays {
    pub fn new() -> Relays {
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .unwrap();
        let processes = Processes::default();
        let (look_ups, requests) = mpsc::unbounded_channel();
        runtime.spawn(answer_look_ups(requests, processes.clone()));
        Relays {
            shared: Shared {
                isolated: watch::channel(None).0,
                look_ups,
                connections: Arc::new(Semaphore::new(CONNECTIONS_MAX)),
            },
            processes,
            runtime,
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
        let mut processes = self.processes.lock().unwrap();
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
        let (reply, answer) = oneshot::channel();
        let look_up = LookUp { peer, relay, reply };
        self.look_ups.send(look_up).ok()?;
        answer.await.ok()?
    }
}

/// Answers all look-ups that wait from one reading of the socket table of the whole machine, which
/// takes milliseconds, or tens of them under load. Answered one by one, they would keep connections
/// waiting for longer than the timeout of the processes that open them. The table is read on a
/// blocking thread, so that it does not delay relayed heartbeats.
async fn answer_look_ups(mut requests: UnboundedReceiver<LookUp>, processes: Processes) {
    let mut batch = Vec::new();
    while requests.recv_many(&mut batch, CONNECTIONS_MAX).await > 0 {
        let look_ups = std::mem::take(&mut batch);
        let processes = processes.lock().unwrap().clone();
        let answered = tokio::task::spawn_blocking(move || answer_batch(look_ups, &processes));
        if answered.await.is_err() {
            return;
        }
    }
}

fn answer_batch(look_ups: Vec<LookUp>, processes: &BTreeMap<u32, Domain>) {
    let table = SocketTable::read();
    let owners = socket_owners(processes);
    for look_up in look_ups {
        let inode = table.inode(look_up.peer, look_up.relay);
        let domain = inode.and_then(|inode| owners.get(&format!("socket:[{inode}]")));
        // The connection may have ended meanwhile.
        let _ = look_up.reply.send(domain.cloned());
    }
}

/// The TCP sockets of the machine.
pub struct SocketTable {
    /// Inodes by local and remote address. The local address alone is ambiguous: the kernel gives
    /// one port to several sockets that connect to different addresses.
    inodes: HashMap<[String; 2], String>,
}

impl SocketTable {
    pub fn read() -> SocketTable {
        let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
        let row = |line: &str| {
            let columns: Vec<&str> = line.split_whitespace().collect();
            let addresses = [columns.get(1)?, columns.get(2)?].map(|text| (*text).to_owned());
            Some((addresses, (*columns.get(9)?).to_owned()))
        };
        SocketTable {
            inodes: table.lines().skip(1).filter_map(row).collect(),
        }
    }

    /// Returns the inode of the socket that is connected from `local` to `remote`.
    pub fn inode(&self, local: SocketAddr, remote: SocketAddr) -> Option<&str> {
        let addresses = [table_address(local)?, table_address(remote)?];
        self.inodes.get(&addresses).map(String::as_str)
    }
}

/// Formats an address as `/proc/net/tcp` does.
fn table_address(address: SocketAddr) -> Option<String> {
    let SocketAddr::V4(address) = address else {
        return None;
    };
    let ip = u32::from_le_bytes(address.ip().octets());
    Some(format!("{ip:08X}:{:04X}", address.port()))
}

/// Returns the failure domains of the processes' open sockets, by the targets of the links in
/// `/proc/<process>/fd`.
fn socket_owners(processes: &BTreeMap<u32, Domain>) -> HashMap<String, Domain> {
    let mut owners = HashMap::new();
    for (process, domain) in processes {
        let Ok(files) = fs::read_dir(format!("/proc/{process}/fd")) else {
            continue;
        };
        let targets = files
            .flatten()
            .filter_map(|file| fs::read_link(file.path()).ok());
        for target in targets {
            owners.insert(target.to_string_lossy().into_owned(), domain.clone());
        }
    }
    owners
}
