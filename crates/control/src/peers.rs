//! Connections to the other members, each with its own client and queue.
//!
//! Messages may get lost; consensus resends what the member still needs. Several calls to a member
//! are in flight at a time, so that replication does not wait for a round trip per message. What
//! they carry together is bounded in bytes, queued or in flight.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::runtime::Handle;

use sapphirepost_consensus::Membership;
use sapphirepost_consensus::Message;
use sapphirepost_consensus::OutgoingMessage;
use sapphirepost_process::SharedKey;
use sapphirepost_process::rpc::RpcClient;
use sapphirepost_process::rpc::RpcClientConfig;
use sapphirepost_protocol::consensus::Step;
use sapphirepost_protocol::method;
use sapphirepost_types::MemberId;

use crate::byte_count::ByteCount;
use crate::byte_count::CountedBytes;
use crate::commit_path::Hop;
use crate::commit_path::Hops;

/// The most that messages to one member carry, queued or in flight. Each byte is held several times
/// while a call encodes it.
const HELD_MAX_BYTES: usize = 4 << 20;
/// The most messages queued for one member.
const QUEUE_MAX: usize = 512;
/// The most calls in flight to one member.
const CALLS_MAX: usize = 64;
/// The receiver answers a call as soon as it has queued or dropped the message, so a call without
/// an answer after this time means that the connection is dead.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Short, so that a member that returns is reached again within an election timeout.
const BACKOFF_MAX: Duration = Duration::from_millis(200);

/// A message that waits for its call.
struct QueuedStep {
    step: Step<Message>,
    queued_at: Instant,
    held: CountedBytes,
}

struct Connection {
    address: String,
    /// What messages carry that are queued or in flight.
    held: ByteCount,
    queue: flume::Sender<QueuedStep>,
}

/// The connections to the other members.
pub(crate) struct Peers {
    runtime: Handle,
    key: Option<SharedKey>,
    member: MemberId,
    /// The address at which the other members reach this one.
    own_address: String,
    hops: Hops,
    connections: HashMap<MemberId, Connection>,
    /// The address in the last message of each sender; a sender may be missing from the membership
    /// known here.
    sender_addresses: HashMap<MemberId, String>,
}

impl Peers {
    pub(crate) fn new(
        runtime: Handle,
        key: Option<SharedKey>,
        member: MemberId,
        own_address: String,
        hops: Hops,
    ) -> Peers {
        let (connections, sender_addresses) = (HashMap::new(), HashMap::new());
        Peers {
            runtime,
            key,
            member,
            own_address,
            hops,
            connections,
            sender_addresses,
        }
    }

    /// The identity of this member.
    pub(crate) fn member(&self) -> MemberId {
        self.member
    }

    pub(crate) fn note_address(&mut self, member: MemberId, address: &str) {
        if self
            .sender_addresses
            .get(&member)
            .is_none_or(|known| known != address)
        {
            self.sender_addresses.insert(member, address.to_owned());
        }
    }

    /// The address of a member according to the membership or, if it is not listed, to its own last
    /// message.
    pub(crate) fn address(&self, member: MemberId, membership: &Membership) -> Option<String> {
        if member == self.member {
            return Some(self.own_address.clone());
        }
        let listed = membership
            .members
            .get(&member)
            .map(|found| found.address.clone());
        listed.or_else(|| self.sender_addresses.get(&member).cloned())
    }

    pub(crate) fn send(&mut self, outgoing: Vec<OutgoingMessage>, membership: &Membership) {
        for OutgoingMessage { to, message } in outgoing {
            let Some(address) = self.address(to, membership) else {
                continue;
            };
            let size_bytes = message.size_bytes();
            let from_address = self.own_address.clone();
            let step = Step {
                from: self.member,
                to,
                from_address,
                message,
            };
            // Without room the member does not answer, or not in time. Consensus resends what is
            // lost.
            let connection = self.connection(to, address);
            if has_room(connection.held.bytes(), size_bytes) {
                let _ = connection.queue.try_send(QueuedStep {
                    step,
                    queued_at: Instant::now(),
                    held: connection.held.add(size_bytes),
                });
            }
        }
    }

    /// Drops the connections to former members and forgets their addresses.
    pub(crate) fn retain(&mut self, membership: &Membership) {
        self.connections
            .retain(|member, _| membership.members.contains_key(member));
        self.sender_addresses
            .retain(|member, _| membership.members.contains_key(member));
    }

    fn connection(&mut self, member: MemberId, address: String) -> &Connection {
        if self
            .connections
            .get(&member)
            .is_some_and(|connection| connection.address != address)
        {
            self.connections.remove(&member);
        }
        let (runtime, key, hops) = (&self.runtime, &self.key, &self.hops);
        self.connections.entry(member).or_insert_with(|| {
            let (queue, steps) = flume::bounded(QUEUE_MAX);
            let mut config = RpcClientConfig::new(address.clone(), key.clone());
            config.connect_timeout = CONNECT_TIMEOUT;
            config.backoff_max = BACKOFF_MAX;
            config.has_priority = true;
            let client = RpcClient::new(runtime.clone(), config);
            runtime.spawn(send_messages(client, steps, hops.clone()));
            Connection {
                address,
                held: ByteCount::default(),
                queue,
            }
        })
    }
}

/// Whether messages to a member that carry this much leave room for another one. One that carries
/// nothing always has room, and so has a large one alone.
fn has_room(held_bytes: usize, size_bytes: usize) -> bool {
    size_bytes == 0 || held_bytes == 0 || held_bytes + size_bytes <= HELD_MAX_BYTES
}

/// Returns the share of a call that was given up once its connection has ended as well. The
/// connection holds what it has not sent as long as another call waits on it.
fn release_later(held: CountedBytes) {
    tokio::spawn(async move {
        tokio::time::sleep(CALL_TIMEOUT).await;
        drop(held);
    });
}

/// Sends queued messages until the queue is closed, with up to [`CALLS_MAX`] calls in flight. Logs
/// when the member becomes unreachable and when it is reachable again.
async fn send_messages(client: RpcClient, steps: flume::Receiver<QueuedStep>, hops: Hops) {
    let mut calls = FuturesUnordered::new();
    let mut is_reachable = true;
    let call = async |queued: QueuedStep| {
        let step = queued.step;
        hops.record(Hop::PeerQueue, queued.queued_at.elapsed());
        let called_at = Instant::now();
        let result = client
            .call::<_, ()>(method::CONSENSUS_STEP, &step, CALL_TIMEOUT)
            .await;
        hops.record(Hop::PeerCall, called_at.elapsed());
        if result.is_err() {
            release_later(queued.held);
        }
        (step.to, result)
    };
    loop {
        tokio::select! {
            step = steps.recv_async(), if calls.len() < CALLS_MAX => match step {
                Ok(step) => calls.push(call(step)),
                Err(_) => return,
            },
            Some((member, result)) = calls.next(), if !calls.is_empty() => match result {
                Ok(()) if !is_reachable => {
                    is_reachable = true;
                    log::info!(member:%, address = client.address(); "member reachable again");
                }
                Err(error) if is_reachable => {
                    is_reachable = false;
                    log::warn!(member:%, address = client.address(), error:%; "member not reachable");
                }
                _ => {}
            }
        }
    }
}
