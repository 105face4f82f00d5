//! TCP relays in front of entries and control processes, which cut failure domains off.
//!
//! Each failure domain reaches a process through a relay of its own, so the source of a connection
//! is known. Control processes also advertise one address to all; there the source is learned from
//! the process that owns the socket. While a failure domain is cut off, connections across its
//! border are closed and new ones refused; connections within it and among the others go on.
//! All relays of a scenario share one runtime and end with it.

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

/// Connections of one scenario at a time; further ones wait to be accepted.
const CONNECTIONS_MAX: usize = 400;

/// A look-up reads tables of the whole machine, which takes milliseconds, so only one runs at a
/// time, and none on the thread that relays: heartbeats must not wait for it.
static LOOK_UPS: Semaphore = Semaphore::const_new(1);

type Domain = String;

#[derive(Clone)]
struct Shared {
    /// The failure domain that is cut off.
    cut: watch::Sender<Option<Domain>>,
    /// The failure domain of each process that may connect to an advertised address.
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
                cut: watch::channel(None).0,
                processes: Arc::default(),
                connections: Arc::new(Semaphore::new(CONNECTIONS_MAX)),
            },
            runtime: runtime.unwrap(),
        }
    }

    /// Relays connections that arrive at `address` to `target`, a process in the failure domain
    /// `to`. They come from the failure domain `from`; without it the source is looked up.
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

    /// Registers a process, whose connections to advertised addresses come from `domain`.
    pub fn register(&self, process: u32, domain: &str) {
        let mut processes = self.shared.processes.lock().unwrap();
        processes.insert(process, domain.to_owned());
    }

    /// Cuts a failure domain off.
    pub fn cut(&self, domain: &str) {
        self.shared.cut.send_replace(Some(domain.to_owned()));
    }

    /// Ends the cut.
    pub fn heal(&self) {
        self.shared.cut.send_replace(None);
    }
}

impl Shared {
    async fn connect(
        &self,
        mut inward: TcpStream,
        target: SocketAddr,
        from: Option<Domain>,
        to: &str,
    ) -> Option<()> {
        let from = match from {
            Some(from) => from,
            None => self.look_up(inward.peer_addr().ok()?).await?,
        };
        let crosses = |cut: &Option<Domain>| {
            let cut = cut.as_deref();
            cut.is_some_and(|cut| (from == cut) != (to == cut))
        };
        let mut cut = self.cut.subscribe();
        if crosses(&cut.borrow_and_update()) {
            return None;
        }
        let mut outward = TcpStream::connect(target).await.ok()?;
        inward.set_nodelay(true).ok()?;
        outward.set_nodelay(true).ok()?;
        tokio::select! {
            _ = copy_bidirectional(&mut inward, &mut outward) => {}
            _ = cut.wait_for(crosses) => {}
        }
        Some(())
    }

    /// The failure domain of the process that connects from `peer`; a connection of an unknown
    /// process is refused, so that none evades a cut.
    async fn look_up(&self, peer: SocketAddr) -> Option<Domain> {
        let _one = LOOK_UPS.acquire().await.ok()?;
        let processes = self.processes.lock().unwrap().clone();
        let look_up = tokio::task::spawn_blocking(move || {
            let link = format!("socket:[{}]", socket_inode(peer)?);
            let owner = processes.into_iter().find(|(id, _)| owns(*id, &link));
            owner.map(|(_, domain)| domain)
        });
        look_up.await.ok()?
    }
}

/// The inode of the socket with this local address.
fn socket_inode(address: SocketAddr) -> Option<String> {
    let SocketAddr::V4(address) = address else {
        return None;
    };
    let ip = u32::from_le_bytes(address.ip().octets());
    let local = format!("{ip:08X}:{:04X}", address.port());
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    let line = table
        .lines()
        .find(|line| line.split_whitespace().nth(1) == Some(&local))?;
    line.split_whitespace().nth(9).map(str::to_owned)
}

fn owns(process: u32, link: &str) -> bool {
    let Ok(files) = fs::read_dir(format!("/proc/{process}/fd")) else {
        return false;
    };
    files
        .flatten()
        .filter_map(|file| fs::read_link(file.path()).ok())
        .any(|target| target.as_os_str() == link)
}
