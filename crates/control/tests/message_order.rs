//! The order in which the messages of the group reach another member.

use std::net::SocketAddr;
use std::sync::mpsc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use sapphirepost_process::rpc::OrderedRuntime;
use sapphirepost_process::rpc::Responder;
use sapphirepost_process::rpc::RpcClient;
use sapphirepost_process::rpc::RpcClientConfig;
use sapphirepost_process::rpc::RpcMethods;
use sapphirepost_process::rpc::RpcServer;
use sapphirepost_process::rpc::RpcServerConfig;

/// As many calls as one member has in flight to another.
const CALLS: u64 = 64;
const TIMEOUT: Duration = Duration::from_secs(5);

/// Guards against messages that overtake each other on a connection: a member rejects entries whose
/// predecessors it lacks, and the leader then sends them again one message at a time.
#[test]
fn calls_in_flight_are_handled_in_the_order_in_which_they_were_made() {
    let server_runtime = OrderedRuntime::start("server").unwrap();
    let client_runtime = OrderedRuntime::start("client").unwrap();
    let (received, handled) = mpsc::channel();
    let mut methods = RpcMethods::new();
    let receive = move |number: u64, done: Responder<()>| {
        received.send(number).unwrap();
        done.send(Ok(()));
    };
    methods.forward("number", receive).unwrap();
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let config = RpcServerConfig::new(address, None);
    let server = RpcServer::start(server_runtime.handle(), config, methods).unwrap();
    let config = RpcClientConfig::new(server.address().to_string(), None);
    let client = RpcClient::new(client_runtime.handle().clone(), config);
    let call = |number: u64| {
        let client = client.clone();
        async move { client.call::<_, ()>("number", &number, TIMEOUT).await }
    };
    client_runtime.handle().block_on(async {
        call(0).await.unwrap();
        let mut calls: FuturesUnordered<_> = (1..CALLS).map(call).collect();
        while let Some(result) = calls.next().await {
            result.unwrap();
        }
    });
    let handled: Vec<u64> = handled.try_iter().collect();
    let overtaken = handled.windows(2).filter(|pair| pair[0] > pair[1]).count();
    assert!(
        handled.is_sorted(),
        "{overtaken} of {CALLS} calls came before an earlier one: {handled:?}"
    );
}
