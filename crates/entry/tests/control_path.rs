//! Tests the calls of an entry to the leader, with fake control processes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use sapphirepost_entry::config_watch;
use sapphirepost_entry::config_watch::AppliedConfig;
use sapphirepost_entry::config_watch::Watcher;
use sapphirepost_entry::config_watch::apply_reply;
use sapphirepost_entry::control_client::CallOptions;
use sapphirepost_entry::control_client::ControlClient;
use sapphirepost_entry::control_client::ControlError;
use sapphirepost_entry::control_client::RetryPolicy;
use sapphirepost_process::Readiness;
use sapphirepost_process::RpcError;
use sapphirepost_process::SharedKey;
use sapphirepost_process::rpc::RpcMethods;
use sapphirepost_process::rpc::RpcServer;
use sapphirepost_process::rpc::RpcServerConfig;
use sapphirepost_process::rpc::runtime;
use sapphirepost_protocol::config::ConfigReply;
use sapphirepost_protocol::config::ConfigUpdate;
use sapphirepost_protocol::config::WatchConfig;
use sapphirepost_protocol::method;
use sapphirepost_types::ConfigVersion;
use sapphirepost_types::EntryId;
use sapphirepost_types::Incarnation;
use tokio::runtime::Runtime;

fn local() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// An address whose port stays free until it is used: outgoing connections start from 127.0.0.1, so
/// they do not take ports of 127.0.2.1.
fn unused_address() -> SocketAddr {
    let other = SocketAddr::from(([127, 0, 2, 1], 0));
    TcpListener::bind(other).unwrap().local_addr().unwrap()
}

fn key() -> Option<SharedKey> {
    Some(SharedKey::new("0123456789abcdef").unwrap())
}

fn start(runtime: &Runtime, address: SocketAddr, methods: RpcMethods) -> RpcServer {
    let config = RpcServerConfig::new(address, key());
    RpcServer::start(runtime.handle(), config, methods).unwrap()
}

fn follower(runtime: &Runtime, leader: Option<String>) -> RpcServer {
    let mut methods = RpcMethods::new();
    methods
        .handle("act", move |_: u64| {
            let hint = leader.clone();
            async move { Err::<u64, _>(RpcError::NotLeader { hint }) }
        })
        .unwrap();
    start(runtime, local(), methods)
}

/// A leader that counts each call in `executed` and answers only if the count is then even.
fn leader_with_lost_replies(runtime: &Runtime, executed: Arc<AtomicU64>) -> RpcServer {
    let mut methods = RpcMethods::new();
    methods
        .handle("act", move |n: u64| {
            let calls = executed.fetch_add(1, Ordering::SeqCst) + 1;
            async move {
                if calls % 2 == 1 {
                    tokio::time::sleep(Duration::from_secs(30)).await;
                }
                Ok(n)
            }
        })
        .unwrap();
    start(runtime, local(), methods)
}

fn options(retry: RetryPolicy) -> CallOptions {
    CallOptions {
        total_timeout: Duration::from_secs(3),
        attempt_timeout: Duration::from_millis(200),
        retry,
    }
}

fn client(runtime: &Runtime, addresses: &[SocketAddr]) -> ControlClient {
    let addresses: Vec<String> = addresses.iter().map(SocketAddr::to_string).collect();
    ControlClient::new(runtime.handle().clone(), &addresses, key())
}

#[test]
fn a_call_follows_leader_hints_and_skips_an_unreachable_process() {
    let runtime = runtime(2).unwrap();
    let leader = leader_with_lost_replies(&runtime, Arc::new(AtomicU64::new(1)));
    let follower = follower(&runtime, Some(leader.address().to_string()));
    let client = client(&runtime, &[unused_address(), follower.address()]);
    let answer = client.call_blocking("act", &7u64, options(RetryPolicy::AtMostOnce));
    assert_eq!(answer, Ok(7u64));
    let found = client.leader_address();
    assert_eq!(found, Some(leader.address().to_string()));
}

/// A membership change has no operation ID, so a resend could take effect twice.
#[test]
fn a_call_without_an_id_is_sent_once_and_ends_as_unknown() {
    let runtime = runtime(2).unwrap();
    for (retry, executions) in [(RetryPolicy::AtMostOnce, 1), (RetryPolicy::Idempotent, 2)] {
        let executed = Arc::new(AtomicU64::new(0));
        let leader = leader_with_lost_replies(&runtime, executed.clone());
        let client = client(&runtime, &[leader.address()]);
        let answer = client.call_blocking::<_, u64>("act", &7u64, options(retry));
        match retry {
            RetryPolicy::AtMostOnce => {
                assert!(matches!(answer, Err(ControlError::OutcomeUnknown(_))))
            }
            RetryPolicy::Idempotent => assert_eq!(answer, Ok(7)),
        }
        assert_eq!(executed.load(Ordering::SeqCst), executions);
    }
}

/// A paused leader accepts connections and calls but does not answer. Calls that are not retried,
/// such as the syncs of workers, must not all fail there: after a timeout the client has to try
/// another process.
#[test]
fn after_a_timeout_the_next_call_goes_to_another_process() {
    let runtime = runtime(2).unwrap();
    let paused = leader_with_lost_replies(&runtime, Arc::new(AtomicU64::new(0)));
    let leader = leader_with_lost_replies(&runtime, Arc::new(AtomicU64::new(1)));
    let client = client(&runtime, &[paused.address(), leader.address()]);
    let first = client.call_blocking::<_, u64>("act", &7u64, options(RetryPolicy::AtMostOnce));
    assert!(matches!(first, Err(ControlError::OutcomeUnknown(_))));
    assert_eq!(client.leader_address(), Some(leader.address().to_string()));
    let second = client.call_blocking::<_, u64>("act", &7u64, options(RetryPolicy::AtMostOnce));
    assert_eq!(second, Ok(7));
}

/// The parameter of a call that takes [`LONG_CALL`].
const LONG: u64 = 1_000;
/// Several times the timeout of an attempt in [`options`].
const LONG_CALL: Duration = Duration::from_millis(700);

/// A leader that answers calls at once, except [`LONG`] ones, until `is_paused`. It counts the long
/// calls that reach it.
fn busy_leader(
    runtime: &Runtime,
    long_calls: Arc<AtomicU64>,
    is_paused: Arc<AtomicBool>,
) -> RpcServer {
    let mut methods = RpcMethods::new();
    methods
        .handle("act", move |n: u64| {
            let is_paused = is_paused.clone();
            if n == LONG {
                long_calls.fetch_add(1, Ordering::SeqCst);
            }
            async move {
                if n == LONG {
                    tokio::time::sleep(LONG_CALL).await;
                }
                if is_paused.load(Ordering::SeqCst) {
                    tokio::time::sleep(Duration::from_secs(30)).await;
                }
                Ok(n)
            }
        })
        .unwrap();
    start(runtime, local(), methods)
}

/// Makes short calls, one after another, until `is_over`.
fn keep_calling(client: &ControlClient, is_over: Arc<AtomicBool>) -> thread::JoinHandle<()> {
    let client = client.clone();
    thread::spawn(move || {
        while !is_over.load(Ordering::SeqCst) {
            let _ = client.call_blocking::<_, u64>("act", &1u64, options(RetryPolicy::Idempotent));
            thread::sleep(Duration::from_millis(10));
        }
    })
}

/// Guards against an overloaded leader that gets each call several times: an entry repeated a call
/// after the timeout of an attempt, although the leader had it and answered other calls.
#[test]
fn a_call_is_not_repeated_while_the_leader_answers_others() {
    let runtime = runtime(2).unwrap();
    let (long_calls, is_over) = (
        Arc::new(AtomicU64::new(0)),
        Arc::new(AtomicBool::new(false)),
    );
    let leader = busy_leader(&runtime, long_calls.clone(), Arc::default());
    let follower = follower(&runtime, Some(leader.address().to_string()));
    let client = client(&runtime, &[leader.address(), follower.address()]);
    let other_calls = keep_calling(&client, is_over.clone());
    thread::sleep(Duration::from_millis(50));
    let answer = client.call_blocking("act", &LONG, options(RetryPolicy::Idempotent));
    is_over.store(true, Ordering::SeqCst);
    other_calls.join().unwrap();
    assert_eq!(answer, Ok(LONG));
    assert_eq!(long_calls.load(Ordering::SeqCst), 1);
}

/// Guards against an entry that leaves a slow leader, together with all its other calls, because the
/// time of one call is over.
#[test]
fn a_late_call_does_not_move_other_calls_away_from_the_leader() {
    let runtime = runtime(2).unwrap();
    let is_over = Arc::new(AtomicBool::new(false));
    let leader = busy_leader(&runtime, Arc::default(), Arc::default());
    let follower = follower(&runtime, None);
    let client = client(&runtime, &[leader.address(), follower.address()]);
    let other_calls = keep_calling(&client, is_over.clone());
    thread::sleep(Duration::from_millis(50));
    let mut short = options(RetryPolicy::Idempotent);
    short.total_timeout = Duration::from_millis(100);
    let answer = client.call_blocking::<_, u64>("act", &LONG, short);
    let preferred = client.leader_address();
    is_over.store(true, Ordering::SeqCst);
    other_calls.join().unwrap();
    assert!(matches!(answer, Err(ControlError::OutcomeUnknown(_))));
    assert_eq!(preferred, Some(leader.address().to_string()));
}

/// A leader that stops answering every call is left after the timeout of an attempt, although it
/// answered others shortly before.
#[test]
fn a_leader_that_stops_answering_is_left_after_one_attempt() {
    let runtime = runtime(2).unwrap();
    let (is_paused, is_over) = (Arc::new(AtomicBool::new(false)), Arc::default());
    let paused = busy_leader(&runtime, Arc::default(), is_paused.clone());
    let leader = busy_leader(&runtime, Arc::default(), Arc::default());
    let client = client(&runtime, &[paused.address(), leader.address()]);
    let other_calls = keep_calling(&client, Arc::clone(&is_over));
    thread::sleep(Duration::from_millis(100));
    is_paused.store(true, Ordering::SeqCst);
    let since = Instant::now();
    let answer = client.call_blocking("act", &7u64, options(RetryPolicy::Idempotent));
    let took = since.elapsed();
    is_over.store(true, Ordering::SeqCst);
    other_calls.join().unwrap();
    assert_eq!(answer, Ok(7));
    assert!(took < Duration::from_secs(1), "{took:?}");
}

#[test]
fn a_group_without_a_leader_is_unavailable_not_unknown() {
    let runtime = runtime(2).unwrap();
    let follower = follower(&runtime, None);
    let client = client(&runtime, &[follower.address()]);
    let mut options = options(RetryPolicy::Idempotent);
    options.total_timeout = Duration::from_millis(300);
    let answer = client.call_blocking::<_, u64>("act", &7u64, options);
    assert!(
        matches!(answer, Err(ControlError::Unavailable(_))),
        "{answer:?}"
    );
}

fn config(version: u64, value: &str) -> AppliedConfig {
    AppliedConfig {
        version: ConfigVersion(version),
        values: Arc::new(BTreeMap::from([("a".parse().unwrap(), value.to_owned())])),
    }
}

/// A lagging control process must not make an entry return to an older configuration.
#[test]
fn a_lower_version_is_never_applied() {
    let offered = |version, value: &str| ConfigReply {
        version: ConfigVersion(version),
        update: ConfigUpdate::Whole(config(0, value).values.as_ref().clone()),
    };
    let applied = config(7, "new");
    assert_eq!(apply_reply(Some(&applied), offered(6, "old")), None);
    let newer = apply_reply(Some(&applied), offered(8, "newer"));
    assert_eq!(newer, Some(config(8, "newer")));
    assert_eq!(apply_reply(None, offered(6, "old")), Some(config(6, "old")));
    let current = ConfigReply {
        version: ConfigVersion(8),
        update: ConfigUpdate::Current,
    };
    assert_eq!(apply_reply(Some(&applied), current), None);
}

/// An entry that has not received the current configuration must not report that it is ready.
#[test]
fn an_entry_is_ready_only_once_it_knows_the_current_version() {
    let runtime = runtime(2).unwrap();
    let port = unused_address();
    let readiness = Readiness::new();
    let watcher = Watcher {
        entry: EntryId(1),
        incarnation: Incarnation(1),
    };
    let control = client(&runtime, &[port]);
    let watch = config_watch::start(
        runtime.handle(),
        control,
        watcher,
        readiness.clone(),
        |_| {},
    );
    thread::sleep(Duration::from_millis(300));
    assert!(!readiness.is_ready());
    let mut methods = RpcMethods::new();
    methods
        .handle(method::WATCH_CONFIG, |watch: WatchConfig| async move {
            let update = match watch.applied {
                Some(_) => ConfigUpdate::Current,
                None => ConfigUpdate::Whole(BTreeMap::new()),
            };
            tokio::time::sleep(Duration::from_millis(watch.wait_ms)).await;
            let version = ConfigVersion(3);
            Ok(ConfigReply { version, update })
        })
        .unwrap();
    let _server = start(&runtime, port, methods);
    let until = Instant::now() + Duration::from_secs(5);
    while !readiness.is_ready() {
        assert!(Instant::now() < until, "not ready within 5 s");
        thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(watch.applied().unwrap().version, ConfigVersion(3));
}
