//! Tests that connections with priority do not wait for the thread that serves the others.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use sapphirepost_process::rpc::RpcClient;
use sapphirepost_process::rpc::RpcClientConfig;
use sapphirepost_process::rpc::RpcMethods;
use sapphirepost_process::rpc::RpcServer;
use sapphirepost_process::rpc::RpcServerConfig;
use sapphirepost_process::rpc::named_runtime;
use tokio::runtime::Runtime;

const TIMEOUT: Duration = Duration::from_secs(5);
/// How long one call keeps the thread of the usual connections busy.
const BUSY: Duration = Duration::from_millis(900);

fn serve(usual: &Runtime, priority: &Runtime) -> RpcServer {
    let mut methods = RpcMethods::new();
    methods
        .handle("occupy", |_: u64| async move {
            thread::sleep(BUSY);
            Ok(0u64)
        })
        .unwrap();
    methods
        .handle("double", |n: u64| async move { Ok(n * 2) })
        .unwrap();
    let config = RpcServerConfig::new(SocketAddr::from(([127, 0, 0, 1], 0)), None);
    RpcServer::start_with_priority(usual.handle(), priority.handle(), config, methods).unwrap()
}

fn client(runtime: &Runtime, server: &RpcServer, has_priority: bool) -> RpcClient {
    let mut config = RpcClientConfig::new(server.address().to_string(), None);
    config.has_priority = has_priority;
    RpcClient::new(runtime.handle().clone(), config)
}

/// Guards against commits that wait behind the calls of all entries.
#[test]
fn a_connection_with_priority_does_not_wait_for_a_busy_thread() {
    let (usual, priority) = (
        named_runtime("usual", 1).unwrap(),
        named_runtime("priority", 1).unwrap(),
    );
    let clients = named_runtime("clients", 2).unwrap();
    let server = serve(&usual, &priority);
    let (member, entry) = (
        client(&clients, &server, true),
        client(&clients, &server, false),
    );
    assert_eq!(member.call_blocking("double", &1, TIMEOUT), Ok(2u64));
    assert_eq!(entry.call_blocking("double", &1, TIMEOUT), Ok(2u64));
    let occupying = entry.clone();
    let occupied = thread::spawn(move || occupying.call_blocking::<_, u64>("occupy", &0, TIMEOUT));
    thread::sleep(BUSY / 6);
    let began = Instant::now();
    assert_eq!(member.call_blocking("double", &2, TIMEOUT), Ok(4u64));
    let took = began.elapsed();
    assert!(took < BUSY / 2, "the call with priority took {took:?}");
    assert_eq!(entry.call_blocking("double", &3, TIMEOUT), Ok(6u64));
    assert!(
        began.elapsed() >= BUSY / 2,
        "the thread of the other connections was not busy"
    );
    assert_eq!(occupied.join().unwrap(), Ok(0));
}
