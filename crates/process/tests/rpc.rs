//! Guards the call wrappers: a lost connection, a wrong key or a full ring must be told apart
//! from a call that may have had an effect.

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
fn a_call_is_answered_and_errors_keep_their_meaning() {
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
    let unread = client.call_blocking::<_, u64>("double", &"text", SECOND);
    assert!(matches!(unread, Err(RpcError::Invalid(_))));
    let missing = client.call_blocking::<_, u64>("absent", &1, SECOND);
    assert!(matches!(missing, Err(RpcError::Invalid(_))));
}

/// Without the check of the key in the handshake both of these calls would be answered.
#[test]
fn a_missing_or_wrong_key_is_refused() {
    let runtime = runtime(2).unwrap();
    let server = serve(&runtime, local(0));
    let wrong = SharedKey::new("fedcba9876543210").unwrap();
    for key in [None, Some(wrong)] {
        let client = client(&runtime, server.address(), key);
        let refused = client.call_blocking::<_, u64>("double", &1, SECOND);
        assert_eq!(refused, Err(RpcError::Unauthorized));
    }
}

/// An entry holds the syncs of up to 800 workers; a limit below that would refuse some of them.
#[test]
fn a_thousand_held_calls_do_not_delay_a_short_one() {
    let runtime = runtime(2).unwrap();
    let server = serve(&runtime, local(0));
    let client = client(&runtime, server.address(), Some(key()));
    let (sender, receiver) = flume::unbounded();
    for _ in 0..1000 {
        let sender = sender.clone();
        client.call_then("hold", 900u64, SECOND * 10, move |answer| {
            sender.send(answer).unwrap();
        });
    }
    thread::sleep(Duration::from_millis(300));
    let before = Instant::now();
    assert_eq!(client.call_blocking("double", &2, SECOND), Ok(4u64));
    assert!(before.elapsed() < Duration::from_millis(400));
    for _ in 0..1000 {
        assert_eq!(receiver.recv_timeout(SECOND * 10).unwrap(), Ok(900u64));
    }
}

/// A process that is not there must not look like one that may have acted.
#[test]
fn an_unreachable_process_is_not_sent_to_and_is_reached_after_its_restart() {
    let runtime = runtime(2).unwrap();
    let port = TcpListener::bind(local(0)).unwrap().local_addr().unwrap();
    let client = client(&runtime, port, Some(key()));
    let absent = client.call_blocking::<_, u64>("double", &1, SECOND);
    assert!(matches!(absent, Err(RpcError::NotSent(_))), "{absent:?}");
    let _server = serve(&runtime, port);
    let until = Instant::now() + 5 * SECOND;
    while client.call_blocking("double", &1, SECOND) != Ok(2u64) {
        assert!(Instant::now() < until, "no reconnection within 5 s");
        thread::sleep(Duration::from_millis(20));
    }
}

/// Copies bytes until `silent` is set; then it keeps the connection open and copies nothing.
fn copy(mut from: TcpStream, mut to: TcpStream, silent: Arc<AtomicBool>) {
    let mut buffer = [0; 4096];
    while let Ok(length @ 1..) = from.read(&mut buffer) {
        if !silent.load(Ordering::SeqCst) {
            to.write_all(&buffer[..length]).unwrap();
        }
    }
}

/// A relay whose first connection goes silent once the flag is set; later ones work.
fn relay(target: SocketAddr) -> (SocketAddr, Arc<AtomicBool>) {
    let listener = TcpListener::bind(local(0)).unwrap();
    let address = listener.local_addr().unwrap();
    let silent = Arc::new(AtomicBool::new(false));
    let mut flag = silent.clone();
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let server = TcpStream::connect(target).unwrap();
            let (client_copy, server_copy) =
                (client.try_clone().unwrap(), server.try_clone().unwrap());
            let (there, back) = (flag.clone(), flag.clone());
            thread::spawn(move || copy(client_copy, server, there));
            thread::spawn(move || copy(server_copy, client, back));
            flag = Arc::new(AtomicBool::new(false));
        }
    });
    (address, silent)
}

/// A connection whose peer has gone silent must not be used for the next call.
#[test]
fn a_timed_out_call_may_have_acted_and_the_next_one_uses_a_new_connection() {
    let runtime = runtime(2).unwrap();
    let server = serve(&runtime, local(0));
    let (address, silent) = relay(server.address());
    let client = client(&runtime, address, Some(key()));
    assert_eq!(client.call_blocking("double", &3, SECOND), Ok(6u64));
    silent.store(true, Ordering::SeqCst);
    let late = client.call_blocking::<_, u64>("double", &3, Duration::from_millis(100));
    assert!(matches!(late, Err(RpcError::NoAnswer(_))));
    assert!(!late.unwrap_err().had_no_effect());
    assert_eq!(client.call_blocking("double", &4, SECOND), Ok(8u64));
}

#[test]
fn more_calls_than_the_limit_are_refused_as_not_sent() {
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

/// Whoever can reach the inner listener without the key must not be able to stop it.
#[test]
fn requests_without_a_handshake_neither_block_nor_end_the_listener() {
    let runtime = runtime(2).unwrap();
    let server = serve(&runtime, local(0));
    let heads = [
        "POST / HTTP/1.1\r\ncontent-length: 99999999999999\r\n\r\n",
        "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nfffffffffffffff0\r\n",
        "GET / HTTP/1.1\r\nconnection: upgrade\r\n\r\n",
        "GET / HTTP/1.1\r\n",
    ];
    let _held = heads.map(|head| {
        let mut stream = TcpStream::connect(server.address()).unwrap();
        stream.write_all(head.as_bytes()).unwrap();
        stream
    });
    thread::sleep(Duration::from_millis(100));
    let client = client(&runtime, server.address(), Some(key()));
    assert_eq!(client.call_blocking("double", &21, SECOND), Ok(42u64));
}

/// Guards against a call with little time that waits for a connection which is never made.
#[test]
fn a_call_waits_for_a_connection_no_longer_than_for_its_answer() {
    let runtime = runtime(1).unwrap();
    let silent = TcpListener::bind(local(0)).unwrap();
    let address = silent.local_addr().unwrap().to_string();
    let mut config = RpcClientConfig::new(address, Some(key()));
    config.connect_timeout = 10 * SECOND;
    let client = RpcClient::new(runtime.handle().clone(), config);
    let since = Instant::now();
    let result = client.call_blocking::<u64, u64>("double", &1, SECOND / 10);
    assert!(matches!(result, Err(RpcError::NotSent(_))), "{result:?}");
    assert!(since.elapsed() < SECOND, "{:?}", since.elapsed());
}

/// Guards against two wake-ups of a timer thread of the library for each call.
#[test]
fn calls_start_no_timer_thread() {
    let runtime = runtime(1).unwrap();
    let server = serve(&runtime, local(0));
    let client = client(&runtime, server.address(), Some(key()));
    let answer = client.call_blocking("hold", &100, SECOND);
    assert_eq!(answer, Ok(100u64));
    let threads = std::fs::read_dir("/proc/self/task").unwrap();
    let names = threads.filter_map(|thread| {
        // Threads of other tests may end meanwhile.
        std::fs::read_to_string(thread.ok()?.path().join("comm")).ok()
    });
    let names: Vec<String> = names.collect();
    assert!(
        !names.iter().any(|name| name.starts_with("futures-timer")),
        "{names:?}"
    );
}
