//! Measures how many bytes a sync of a worker takes on the workers listener: heads and bodies of
//! request and response, without TCP and IP headers. A TCP proxy in front of the listener counts
//! them.

use std::error::Error;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;

use sapphirepost_entry::control_client::ControlClient;
use sapphirepost_entry::workers::WorkersConfig;
use sapphirepost_entry::workers::WorkersServer;
use sapphirepost_process::SharedKey;
use sapphirepost_process::byte_budget::ByteBudget;
use sapphirepost_process::rpc::RpcMethods;
use sapphirepost_process::rpc::RpcServer;
use sapphirepost_process::rpc::RpcServerConfig;
use sapphirepost_process::rpc::runtime;
use sapphirepost_protocol::method;
use sapphirepost_protocol::worker::WorkerSync;
use sapphirepost_protocol::worker::WorkerSyncReply;
use sapphirepost_types::Incarnation;
use sapphirepost_types::Name;
use sapphirepost_types::Resources;

const SYNCS: u64 = 100;

fn copy(mut from: TcpStream, mut to: TcpStream, count: Arc<AtomicU64>) {
    let mut buffer = [0; 16 * 1024];
    while let Ok(length @ 1..) = from.read(&mut buffer) {
        if to.write_all(&buffer[..length]).is_err() {
            break;
        }
        count.fetch_add(length as u64, Ordering::SeqCst);
    }
    let _ = to.shutdown(Shutdown::Write);
}

fn proxy(
    target: SocketAddr,
    sent: Arc<AtomicU64>,
    received: Arc<AtomicU64>,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || -> std::io::Result<()> {
        for client in listener.incoming() {
            let client = client?;
            let server = TcpStream::connect(target)?;
            let (to_server, from_server) = (server.try_clone()?, server);
            let (from_client, to_client) = (client.try_clone()?, client);
            let (sent, received) = (sent.clone(), received.clone());
            thread::spawn(move || copy(from_client, to_server, sent));
            thread::spawn(move || copy(from_server, to_client, received));
        }
        Ok(())
    });
    Ok(address)
}

fn main() -> Result<(), Box<dyn Error>> {
    let runtime = runtime(2)?;
    let key = SharedKey::new("0123456789abcdef0123456789abcdef")?;
    let mut methods = RpcMethods::new();
    methods.handle(method::WORKER_SYNC, |sync: WorkerSync| async move {
        Ok(WorkerSyncReply {
            sequence: sync.sequence,
            lease_ms: 6000,
            send_spec: false,
            send_full: false,
            commands: Vec::new(),
            acknowledged: Vec::new(),
        })
    })?;
    let local: SocketAddr = "127.0.0.1:0".parse()?;
    let config = RpcServerConfig::new(local, Some(key.clone()));
    let leader = RpcServer::start(runtime.handle(), config, methods)?;
    let addresses = [leader.address().to_string()];
    let control = ControlClient::new(runtime.handle().clone(), &addresses, Some(key.clone()));
    let config = WorkersConfig {
        address: local,
        key: Some(key.clone()),
        budget: ByteBudget::default(),
    };
    let (announcements, _receiver) = flume::bounded(1);
    let server = WorkersServer::start(runtime.handle(), config, control, announcements)?;
    let (sent, received) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let address = proxy(server.address(), sent.clone(), received.clone())?;
    let sync = WorkerSync {
        worker: Name::new("worker-a-017")?,
        incarnation: Incarnation(1_764_793_000_000),
        sequence: 86_400,
        spec: None,
        full: false,
        tasks: Vec::new(),
        digest: u64::MAX / 3,
        usage: Some(Resources::new(41_250, 190_000, 2)),
        wait_ms: 0,
    };
    for _ in 0..SYNCS {
        attohttpc::post(format!("http://{address}/v1/workers/sync"))
            .header("authorization", key.authorization())
            .json(&sync)?
            .send()?
            .error_for_status()?
            .text()?;
    }
    let sent = sent.load(Ordering::SeqCst) / SYNCS;
    let received = received.load(Ordering::SeqCst) / SYNCS;
    println!("worker sync over HTTP: {sent} bytes sent, {received} bytes received per sync");
    Ok(())
}
