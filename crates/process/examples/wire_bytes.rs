//! Measures the bytes that an RPC call transfers: JSON, WebSocket frames and the handshake, without
//! TCP and IP headers. A TCP proxy between client and server counts them.

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
use std::time::Duration;

use sapphirepost_process::RpcError;
use sapphirepost_process::SharedKey;
use sapphirepost_process::rpc::RpcClient;
use sapphirepost_process::rpc::RpcClientConfig;
use sapphirepost_process::rpc::RpcMethods;
use sapphirepost_process::rpc::RpcServer;
use sapphirepost_process::rpc::RpcServerConfig;
use sapphirepost_process::rpc::runtime;
use sapphirepost_protocol::consensus::Step;
use sapphirepost_protocol::method;
use sapphirepost_protocol::worker::TaskReport;
use sapphirepost_protocol::worker::TaskStatus;
use sapphirepost_protocol::worker::WorkerSync;
use sapphirepost_protocol::worker::WorkerSyncReply;
use sapphirepost_types::Attempt;
use sapphirepost_types::Incarnation;
use sapphirepost_types::MemberId;
use sapphirepost_types::Name;
use sapphirepost_types::Resources;
use sapphirepost_types::TaskId;
use serde_json::Value;
use serde_json::json;

const CALLS: u64 = 100;
const TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Clone, Default)]
struct ByteCounts {
    sent: Arc<AtomicU64>,
    received: Arc<AtomicU64>,
}

impl ByteCounts {
    fn get(&self) -> (u64, u64) {
        let sent = self.sent.load(Ordering::SeqCst);
        (sent, self.received.load(Ordering::SeqCst))
    }
}

fn copy_and_count(mut from: TcpStream, mut to: TcpStream, count: Arc<AtomicU64>) {
    let mut buffer = [0; 16 * 1024];
    while let Ok(length) = from.read(&mut buffer) {
        if length == 0 || to.write_all(&buffer[..length]).is_err() {
            break;
        }
        count.fetch_add(length as u64, Ordering::SeqCst);
    }
    let _ = to.shutdown(Shutdown::Both);
}

fn start_proxy(target: SocketAddr, counts: ByteCounts) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || -> std::io::Result<()> {
        for client in listener.incoming() {
            let client = client?;
            let server = TcpStream::connect(target)?;
            let (to_server, from_server) = (server.try_clone()?, server);
            let (from_client, to_client) = (client.try_clone()?, client);
            let (sent, received) = (counts.sent.clone(), counts.received.clone());
            thread::spawn(move || copy_and_count(from_client, to_server, sent));
            thread::spawn(move || copy_and_count(from_server, to_client, received));
        }
        Ok(())
    });
    Ok(address)
}

fn worker_sync(tasks: Vec<TaskReport>) -> Result<WorkerSync, Box<dyn std::error::Error>> {
    Ok(WorkerSync {
        worker: Name::new("worker-a-017")?,
        incarnation: Incarnation(1_764_793_000_000),
        sequence: 86_400,
        spec: None,
        full: false,
        tasks,
        digest: u64::MAX / 3,
        usage: Some(Resources::new(41_250, 190_000, 2)),
        wait_ms: 1000,
    })
}

fn append_message() -> Step<Value> {
    Step {
        from: MemberId(0x7ab3_1c55_90d2_e411),
        to: MemberId(0x1ab3_1c55_90d2_e412),
        from_address: "10.1.0.4:7100".to_owned(),
        message: json!({"append": {"term": 12, "previous_index": 104_233, "previous_term": 12,
            "commit": 104_230, "round": 991, "entries": []}}),
    }
}

fn methods() -> Result<RpcMethods, Box<dyn std::error::Error>> {
    let mut methods = RpcMethods::new();
    methods.handle(method::CONSENSUS_STEP, |_: Step<Value>| async { Ok(()) })?;
    methods.handle(method::WORKER_SYNC, |sync: WorkerSync| async move {
        let reply = WorkerSyncReply {
            sequence: sync.sequence,
            lease_ms: 6000,
            send_spec: false,
            send_full: false,
            commands: Vec::new(),
            acknowledged: Vec::new(),
        };
        Ok::<_, RpcError>(reply)
    })?;
    Ok(methods)
}

fn measure(
    counts: &ByteCounts,
    name: &str,
    call: impl Fn() -> Result<(), RpcError>,
) -> Result<(), RpcError> {
    let before = counts.get();
    for _ in 0..CALLS {
        call()?;
    }
    let after = counts.get();
    let sent = (after.0 - before.0) as f64 / CALLS as f64;
    let received = (after.1 - before.1) as f64 / CALLS as f64;
    println!("{name}: {sent:.1} bytes sent, {received:.1} bytes received per call");
    Ok(())
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let runtime = runtime(2)?;
    let key = SharedKey::new("0123456789abcdef0123456789abcdef")?;
    let config = RpcServerConfig::new("127.0.0.1:0".parse()?, Some(key.clone()));
    let server = RpcServer::start(runtime.handle(), config, methods()?)?;
    let counts = ByteCounts::default();
    let address = start_proxy(server.address(), counts.clone())?;
    let config = RpcClientConfig::new(address.to_string(), Some(key));
    let client = RpcClient::new(runtime.handle().clone(), config);
    let step = append_message();
    let idle = worker_sync(Vec::new())?;
    let finished = TaskReport {
        task: TaskId(120_345),
        attempt: Attempt(1),
        status: TaskStatus::Finished,
    };
    let changed = worker_sync(vec![finished])?;
    client.call_blocking::<_, ()>(method::CONSENSUS_STEP, &step, TIMEOUT)?;
    let (sent, received) = counts.get();
    println!("handshake and first call: {sent} bytes sent, {received} bytes received");
    measure(&counts, "consensus message without entries", || {
        client.call_blocking(method::CONSENSUS_STEP, &step, TIMEOUT)
    })?;
    measure(&counts, "worker sync without changes", || {
        client
            .call_blocking::<_, WorkerSyncReply>(method::WORKER_SYNC, &idle, TIMEOUT)
            .map(drop)
    })?;
    measure(&counts, "worker sync with one ended task", || {
        client
            .call_blocking::<_, WorkerSyncReply>(method::WORKER_SYNC, &changed, TIMEOUT)
            .map(drop)
    })?;
    Ok(())
}
