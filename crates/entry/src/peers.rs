//! Calls from the router to other entries (gossip) and to the control processes (claims).

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use sapphirepost_process::RpcError;
use sapphirepost_process::SharedKey;
use sapphirepost_process::rpc::Responder;
use sapphirepost_process::rpc::RpcClient;
use sapphirepost_process::rpc::RpcClientConfig;
use sapphirepost_process::rpc::RpcMethods;
use sapphirepost_process::rpc::RpcServerError;
use sapphirepost_protocol::claim::Claim;
use sapphirepost_protocol::claim::ClaimBatch;
use sapphirepost_protocol::claim::ClaimDone;
use sapphirepost_protocol::claim::ClaimReply;
use sapphirepost_protocol::gossip::Gossip;
use sapphirepost_protocol::gossip::GossipReply;
use sapphirepost_protocol::method;
use sapphirepost_routing::CallKey;
use sapphirepost_routing::ClaimFailure;
use sapphirepost_routing::Event;
use sapphirepost_types::EntryId;
use sapphirepost_types::Incarnation;
use tokio::runtime::Handle;

use crate::control_client::CallOptions;
use crate::control_client::ControlClient;
use crate::control_client::ControlError;
use crate::control_client::RetryPolicy;
use crate::roster::Members;
use crate::router_thread::Input;
use crate::router_thread::Inputs;

/// The time limit for a gossip call; gossip rounds are 200 ms apart.
const GOSSIP_TIMEOUT: Duration = Duration::from_millis(500);
/// The time limit for a claim call, over all attempts.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(900);

struct Peer {
    client: RpcClient,
    /// Whether a call is in progress; until it ends, the peer gets no further calls.
    busy: Arc<AtomicBool>,
}

struct Shared {
    runtime: Handle,
    inputs: Inputs,
    entry: EntryId,
    incarnation: Incarnation,
    control: Option<ControlClient>,
    key: Option<SharedKey>,
    peers: Mutex<BTreeMap<EntryId, Peer>>,
}

/// Clients for the peer entries and the control processes; clones share the connections.
#[derive(Clone)]
pub struct Peers(Arc<Shared>);

impl Peers {
    /// Creates the clients of an entry incarnation, without peers. Without `control`, every claim
    /// fails as [`ClaimFailure::NotReached`].
    pub fn new(
        runtime: Handle,
        inputs: Inputs,
        entry: EntryId,
        incarnation: Incarnation,
        control: Option<ControlClient>,
        key: Option<SharedKey>,
    ) -> Peers {
        Peers(Arc::new(Shared {
            runtime,
            inputs,
            entry,
            incarnation,
            control,
            key,
            peers: Mutex::new(BTreeMap::new()),
        }))
    }

    /// Sets the entries with which gossip is exchanged; this entry itself is left out.
    pub fn set_members(&self, members: &Members) {
        let mut peers = self.lock();
        peers.retain(|id, peer| {
            members.0.iter().any(|member| {
                member.id == *id && member.address.to_string() == peer.client.address()
            })
        });
        for member in &members.0 {
            if member.id == self.0.entry {
                continue;
            }
            peers.entry(member.id).or_insert_with(|| {
                let config = RpcClientConfig::new(member.address.to_string(), self.0.key.clone());
                Peer {
                    client: RpcClient::new(self.0.runtime.clone(), config),
                    busy: Arc::new(AtomicBool::new(false)),
                }
            });
        }
    }

    /// Sends changes of the upstream table to a peer. The reply or the failure becomes an input of
    /// the router, unless its input channel is full. The call fails at once if the peer is not
    /// known or an earlier call to it is in progress.
    pub fn gossip(&self, peer: EntryId, gossip: Gossip) {
        let target = self
            .lock()
            .get(&peer)
            .filter(|target| !target.busy.swap(true, Ordering::AcqRel))
            .map(|target| (target.client.clone(), target.busy.clone()));
        let Some((client, busy)) = target else {
            let event = Event::GossipFailed { peer };
            self.0.inputs.try_send(Input::Event(event));
            return;
        };
        let inputs = self.0.inputs.clone();
        let done = move |answer: Result<GossipReply, RpcError>| {
            busy.store(false, Ordering::Release);
            let event = match answer {
                Ok(reply) => Event::GossipReply { peer, reply },
                Err(_) => Event::GossipFailed { peer },
            };
            inputs.try_send(Input::Event(event));
        };
        client.call_then(method::GOSSIP, gossip, GOSSIP_TIMEOUT, done);
    }

    /// Sends claims and outcomes of earlier claims to the leader. The result becomes an input of
    /// the router.
    pub fn claim(&self, call: CallKey, claims: Vec<Claim>, outcomes: Vec<ClaimDone>) {
        let batch = ClaimBatch {
            entry: self.0.entry,
            incarnation: self.0.incarnation,
            claims,
            outcomes,
        };
        let shared = self.0.clone();
        self.0.runtime.spawn(async move {
            let result = shared.claim(&batch).await;
            let event = Event::ClaimAnswered { call, result };
            shared.inputs.send(Input::Event(event)).await;
        });
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<EntryId, Peer>> {
        self.0.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Shared {
    async fn claim(
        &self,
        batch: &ClaimBatch,
    ) -> Result<Vec<sapphirepost_protocol::claim::ClaimVerdict>, ClaimFailure> {
        let Some(control) = &self.control else {
            return Err(ClaimFailure::NotReached);
        };
        let options = CallOptions {
            total_timeout: CLAIM_TIMEOUT,
            attempt_timeout: CLAIM_TIMEOUT,
            // After an attempt that may have taken effect, the router does not use the claims. It
            // reports `NotRun` for them, so that their IDs can be claimed again.
            retry: RetryPolicy::AtMostOnce,
        };
        let answer = control
            .call::<_, ClaimReply>(method::CLAIM, batch, options)
            .await;
        match answer {
            Ok(reply) => Ok(reply.verdicts),
            Err(ControlError::OutcomeUnknown(_)) => Err(ClaimFailure::Unknown),
            Err(ControlError::Unavailable(_) | ControlError::Invalid(_)) => {
                Err(ClaimFailure::NotReached)
            }
        }
    }
}

/// Adds the RPC method that receives gossip from peers.
pub fn add_gossip_method(methods: &mut RpcMethods, inputs: Inputs) -> Result<(), RpcServerError> {
    methods.forward(
        method::GOSSIP,
        move |gossip: Gossip, responder: Responder<GossipReply>| {
            // If the input channel is full, the responder is dropped and the peer's call fails.
            inputs.try_send(Input::Gossip(gossip, responder));
        },
    )
}
