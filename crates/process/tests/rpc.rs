//! Tests RPC calls over real connections: an unreachable process, a wrong key or a busy receiver
//! must be distinguished from a call that may have had an effect.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use sapphirepost_process::RpcError;
use sapphirepost_process::SharedKey;
use sapphirepost_process::rpc::Responder;
use sapphirepost_process::rpc::RpcClient;
use sapphirepost_process::rpc::RpcClientConfig;
use sapphirepost_process::rpc::RpcMethods;
use sapphirepost_process::rpc::RpcServer;
use sapphirepost_process::rpc::RpcServerConfig;
use sapphirepost_process::rpc::runtime;
use tokio::runtime::Runtime;

const SECOND: Duration = Duration::from_secs(1);

fn key() -> SharedKey {
    SharedKey::new("0123456789abcdef").unwrap()
}

fn local(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn serve(runtime: &Runtime, address: SocketAddr) -> RpcServer {
    let mut methods = RpcMethods::new();
    methods
        .handle("double", |n: u64| async move { Ok(n * 2) })
        .unwrap();
    methods
        .handle("hold", |ms: u64| async move {
            tokio::time::sleep(Duration::from_millis(ms)).await;
            Ok(ms)
        })
        .unwrap();
    methods
        .handle("leader", |hint: Option<String>| async move {
            Err::<u64, _>(RpcError::NotLeader { hint })
        })
        .unwrap();
    methods
        .forward("drop", |_: u64, responder: Responder<u64>| drop(responder))
        .unwrap();
    let config = RpcServerConfig::new(address, Some(key()));
    RpcServer::start(runtime.handle(), config, methods).unwrap()
}

fn client(runtime: &Runtime, address: SocketAddr, key: Option<SharedKey>) -> RpcClient {
    let config = RpcClientConfig::new(address.to_string(), key);
    RpcClient::new(runtime.handle().clone(), config)
}

#[test]
fn replies_and_error_kinds_reach_the_client() {
    let runtime = runtime(2).unwrap();
    let server = serve(&runtime, local(0));
    let client = client(&runtime, server.address(), Some(key()));
    assert_eq!(client.call_blocking("double", &21, SECOND), Ok(42u64));
    let hint = Some("127.0.0.2:7000".to_owned());
    assert_eq!(
        client.call_blocking::<_, u64>("leader", &hint, SECOND),
        Err(RpcError::NotLeader { hint })
    );
    let dropped = client.call_blocking::<_, u64>("drop", &1, SECOND);
    assert!(matches!(dropped, Err(RpcError::OutcomeUnknown(_))));
    let bad_params = client.call_blocking::<_, u64>("double", &"text", SECOND);
    assert!(matches!(bad_params, Err(RpcError::Invalid(_))));
    let unknown_method = client.call_blocking::<_, u64>("absent", &1, SECOND);
    assert!(matches!(unknown_method, Err(RpcError::Invalid(_))));
}

/// Without the check of the key in the handshake, both calls would succeed.
#[test]
fn a_missing_or_wrong_key_is_refused() {
    let runtime = runtime(2).unwrap();
    let server = serve(&runtime, local(0));
    let wrong = SharedKey::new("fedcba9876543210").unwrap();
    for key in [None, Some(wrong)] {
        let client = client(&runtime, server.address(), key);
        let result = client.call_blocking::<_, u64>("double", &1, SECOND);
        assert_eq!(result, Err(RpcError::Unauthorized));
    }
}

/// An entry process has the long-polling sync calls of up to 800 workers in progress; a client that
/// allowed fewer calls would reject some of them.
#[test]
fn a_thousand_pending_calls_do_not_delay_another_call() {
    let runtime = runtime(2).unwrap();
    let server = serve(&runtime, local(0));
    let client = client(&runtime, server.address(), Some(key()));
    let (sender, receiver) = flume::unbounded();
    for _ in 0..1000 {
        let sender = sender.clone();
        client.call_then("hold", 900u64, SECOND * 10, move |reply| {
            sender.send(reply).unwrap();
        });
    }
    thread::sleep(Duration::from_millis(300));
    let start = Instant::now();
    assert_eq!(client.call_blocking("double", &2, SECOND), Ok(4u64));
    assert!(start.elapsed() < Duration::from_millis(400));
    for _ in 0..1000 {
        assert_eq!(receiver.recv_timeout(SECOND * 10).unwrap(), Ok(900u64));
    }
}

/// A call to an absent process must be reported as not sent, since it cannot have had an effect.
#[test]
fn calls_to_an_unreachable_process_are_not_sent_and_the_client_reconnects() {
    let runtime = runtime(2).unwrap();
    let address = TcpListener::bind(local(0)).unwrap().local_addr().unwrap();
    let client = client(&runtime, address, Some(key()));
    let result = client.call_blocking::<_, u64>("double", &1, SECOND);
    assert!(matches!(result, Err(RpcError::NotSent(_))), "{result:?}");
    let _server = serve(&runtime, address);
    let deadline = Instant::now() + 5 * SECOND;
    while client.call_blocking("double", &1, SECOND) != Ok(2u64) {
        assert!(Instant::now() < deadline, "no reconnection within 5 s");
        thread::sleep(Duration::from_millis(20));
    }
}

/// Copies bytes until `stalled` is set, then keeps the connection open and discards all bytes.
fn copy_until_stalled(mut from: TcpStream, mut to: TcpStream, stalled: Arc<AtomicBool>) {
    let mut buffer = [0; 4096];
    while let Ok(length @ 1..) = from.read(&mut buffer) {
        if !stalled.load(Ordering::SeqCst) {
            to.write_all(&buffer[..length]).unwrap();
        }
    }
}

/// Starts a TCP proxy whose first connection stalls once the returned flag is set; later
/// connections keep working.
fn start_proxy(target: SocketAddr) -> (SocketAddr, Arc<AtomicBool>) {
    let listener = TcpListener::bind(local(0)).unwrap();
    let address = listener.local_addr().unwrap();
    let stalled = Arc::new(AtomicBool::new(false));
    let mut flag = stalled.clone();
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let server = TcpStream::connect(target).unwrap();
            let (client_copy, server_copy) =
                (client.try_clone().unwrap(), server.try_clone().unwrap());
            let (request_flag, reply_flag) = (flag.clone(), flag.clone());
            thread::spawn(move || copy_until_stalled(client_copy, server, request_flag));
            thread::spawn(move || copy_until_stalled(server_copy, client, reply_flag));
            flag = Arc::new(AtomicBool::new(false));
        }
    });
    (address, stalled)
}

/// After a timeout the connection may be dead, so the next call must not use it.
#[test]
fn a_timeout_has_an_unknown_effect_and_the_next_call_reconnects() {
    let runtime = runtime(2).unwrap();
    let server = serve(&runtime, local(0));
    let (address, stalled) = start_proxy(server.address());
    let client = client(&runtime, address, Some(key()));
    assert_eq!(client.call_blocking("double", &3, SECOND), Ok(6u64));
    stalled.store(true, Ordering::SeqCst);
    let timed_out = client.call_blocking::<_, u64>("double", &3, Duration::from_millis(100));
    assert!(matches!(timed_out, Err(RpcError::NoAnswer(_))));
    assert!(!timed_out.unwrap_err().had_no_effect());
    assert_eq!(client.call_blocking("double", &4, SECOND), Ok(8u64));
}

#[test]
fn calls_above_the_limit_fail_as_busy() {
    let runtime = runtime(2).unwrap();
    let server = serve(&runtime, local(0));
    let mut config = RpcClientConfig::new(server.address().to_string(), Some(key()));
    config.calls_max = 1;
    let client = RpcClient::new(runtime.handle().clone(), config);
    client.call_then("hold", 500u64, SECOND, |_: Result<u64, RpcError>| {});
    thread::sleep(Duration::from_millis(100));
    let busy = client.call_blocking::<_, u64>("double", &1, SECOND);
    assert_eq!(busy, Err(RpcError::Busy));
}

/// Clients without the shared key must not be able to block or crash the RPC listener.
#[test]
fn requests_without_a_handshake_neither_block_nor_crash_the_listener() {
    let runtime = runtime(2).unwrap();
    let server = serve(&runtime, local(0));
    let heads = [
        "POST / HTTP/1.1\r\ncontent-length: 99999999999999\r\n\r\n",
        "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nfffffffffffffff0\r\n",
        "GET / HTTP/1.1\r\nconnection: upgrade\r\n\r\n",
        "GET / HTTP/1.1\r\n",
    ];
    let _open_streams = heads.map(|head| {
        let mut stream = TcpStream::connect(server.address()).unwrap();
        stream.write_all(head.as_bytes()).unwrap();
        stream
    });
    thread::sleep(Duration::from_millis(100));
    let client = client(&runtime, server.address(), Some(key()));
    assert_eq!(client.call_blocking("double", &21, SECOND), Ok(42u64));
}

/// Guards against a call that waits longer than its timeout for a connection that is never
/// established.
#[test]
fn the_timeout_of_a_call_includes_connecting() {
    let runtime = runtime(1).unwrap();
    let unresponsive = TcpListener::bind(local(0)).unwrap();
    let address = unresponsive.local_addr().unwrap().to_string();
    let mut config = RpcClientConfig::new(address, Some(key()));
    config.connect_timeout = 10 * SECOND;
    let client = RpcClient::new(runtime.handle().clone(), config);
    let start = Instant::now();
    let result = client.call_blocking::<u64, u64>("double", &1, SECOND / 10);
    assert!(matches!(result, Err(RpcError::NotSent(_))), "{result:?}");
    assert!(start.elapsed() < SECOND, "{:?}", start.elapsed());
}

/// Guards against the timer thread of the library, which wakes up twice for each call.
#[test]
fn calls_start_no_timer_thread() {
    let runtime = runtime(1).unwrap();
    let server = serve(&runtime, local(0));
    let client = client(&runtime, server.address(), Some(key()));
    let reply = client.call_blocking("hold", &100, SECOND);
    assert_eq!(reply, Ok(100u64));
    let threads = std::fs::read_dir("/proc/self/task").unwrap();
    let names = threads.filter_map(|thread| {
        // Threads of other tests may exit while the directory is read.
        std::fs::read_to_string(thread.ok()?.path().join("comm")).ok()
    });
    let names: Vec<String> = names.collect();
    assert!(
        !names.iter().any(|name| name.starts_with("futures-timer")),
        "{names:?}"
    );
}
