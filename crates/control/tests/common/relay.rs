//! A TCP relay in front of a process that can cut or silence its incoming connections.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;

#[derive(Default)]
struct RelayState {
    is_cut: AtomicBool,
    /// Connections of an earlier generation discard all data.
    generation: AtomicU64,
    open: Mutex<Vec<TcpStream>>,
}

pub struct Relay {
    pub address: SocketAddr,
    state: Arc<RelayState>,
}

impl Relay {
    pub fn start(target: SocketAddr) -> Relay {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(RelayState::default());
        let shared = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if !shared.is_cut.load(Ordering::SeqCst) {
                    let _ = connect(stream, target, &shared);
                }
            }
        });
        Relay { address, state }
    }

    /// Closes all connections, and each new one as soon as it is accepted.
    pub fn cut(&self) {
        self.state.is_cut.store(true, Ordering::SeqCst);
        for stream in self.state.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    pub fn heal(&self) {
        self.state.is_cut.store(false, Ordering::SeqCst);
    }

    /// Makes all open connections discard data without closing them; new connections work.
    pub fn silence_open(&self) {
        self.state.generation.fetch_add(1, Ordering::SeqCst);
    }
}

fn connect(inward: TcpStream, target: SocketAddr, state: &Arc<RelayState>) -> std::io::Result<()> {
    let outward = TcpStream::connect(target)?;
    let generation = state.generation.load(Ordering::SeqCst);
    for stream in [&inward, &outward] {
        stream.set_nodelay(true)?;
        state.open.lock().unwrap().push(stream.try_clone()?);
    }
    let pairs = [
        (inward.try_clone()?, outward.try_clone()?),
        (outward, inward),
    ];
    for (from, to) in pairs {
        let state = state.clone();
        thread::spawn(move || copy(from, to, generation, &state));
    }
    Ok(())
}

fn copy(mut from: TcpStream, mut to: TcpStream, generation: u64, state: &RelayState) {
    let mut buffer = [0; 16 * 1024];
    while let Ok(length @ 1..) = from.read(&mut buffer) {
        let is_silent = state.generation.load(Ordering::SeqCst) != generation;
        if !is_silent && to.write_all(&buffer[..length]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
}
