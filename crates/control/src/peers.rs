//! Connections to the other members: one client and one queue each.
//!
//! Messages may get lost; consensus repeats what matters. Several calls are under way at a time,
//! so that replication does not wait for a round trip per message.

use std::collections::HashMap;
use std::time::Duration;

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

/// Messages that wait for one member.
const QUEUE_MAX: usize = 512;
/// Calls under way to one member.
const CALLS_MAX: usize = 64;
/// A call is answered when the message is queued, so a later answer means a silent connection.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Short, so that a member that returns is heard within an election timeout.
const BACKOFF_MAX: Duration = Duration::from_millis(200);

struct Link {
    address: String,
    queue: flume::Sender<Step<Message>>,
}

/// The connections to the other members.
pub(crate) struct Peers {
    runtime: Handle,
    key: Option<SharedKey>,
    member: MemberId,
    /// Where the others reach this member.
    own_address: String,
    links: HashMap<MemberId, Link>,
    /// Where members were last heard from; a sender need not be in the membership known here.
    heard_from: HashMap<MemberId, String>,
}

impl Peers {
    pub(crate) fn new(
        runtime: Handle,
        key: Option<SharedKey>,
        member: MemberId,
        own_address: String,
    ) -> Peers {
        let (links, heard_from) = (HashMap::new(), HashMap::new());
        Peers {
            runtime,
            key,
            member,
            own_address,
            links,
            heard_from,
        }
    }

    /// This member.
    pub(crate) fn member(&self) -> MemberId {
        self.member
    }

    pub(crate) fn heard(&mut self, member: MemberId, address: &str) {
        if self
            .heard_from
            .get(&member)
            .is_none_or(|known| known != address)
        {
            self.heard_from.insert(member, address.to_owned());
        }
    }

    /// The address of a member.
    pub(crate) fn address(&self, member: MemberId, membership: &Membership) -> Option<String> {
        if member == self.member {
            return Some(self.own_address.clone());
        }
        let listed = membership
            .members
            .get(&member)
            .map(|found| found.address.clone());
        listed.or_else(|| self.heard_from.get(&member).cloned())
    }

    pub(crate) fn send(&mut self, outgoing: Vec<OutgoingMessage>, membership: &Membership) {
        for OutgoingMessage { to, message } in outgoing {
            let Some(address) = self.address(to, membership) else {
                continue;
            };
            let from_address = self.own_address.clone();
            let step = Step {
                from: self.member,
                to,
                from_address,
                message,
            };
            // A full queue means that the member does not answer; what is dropped is sent again.
            let _ = self.link(to, address).queue.try_send(step);
        }
    }

    /// Drops the connections to former members.
    pub(crate) fn retain(&mut self, membership: &Membership) {
        self.links
            .retain(|member, _| membership.members.contains_key(member));
        self.heard_from
            .retain(|member, _| membership.members.contains_key(member));
    }

    fn link(&mut self, member: MemberId, address: String) -> &Link {
        if self
            .links
            .get(&member)
            .is_some_and(|link| link.address != address)
        {
            self.links.remove(&member);
        }
        let (runtime, key) = (&self.runtime, &self.key);
        self.links.entry(member).or_insert_with(|| {
            let (queue, steps) = flume::bounded(QUEUE_MAX);
            let mut config = RpcClientConfig::new(address.clone(), key.clone());
            config.connect_timeout = CONNECT_TIMEOUT;
            config.backoff_max = BACKOFF_MAX;
            let client = RpcClient::new(runtime.clone(), config);
            runtime.spawn(send_all(client, steps));
            Link { address, queue }
        })
    }
}

/// Sends messages in order until the queue is closed. Logs when the member cannot be reached any
/// more and when it can be again.
async fn send_all(client: RpcClient, steps: flume::Receiver<Step<Message>>) {
    let mut calls = FuturesUnordered::new();
    let mut is_reachable = true;
    let call = async |step: Step<Message>| {
        let result = client
            .call::<_, ()>(method::CONSENSUS_STEP, &step, CALL_TIMEOUT)
            .await;
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
