//! Inputs ([`Event`]) and outputs ([`Action`]) of the router.
//!
//! Bodies do not pass through the router. The code that owns the sockets stores them under the keys
//! defined here.

use sapphirepost_protocol::claim::Claim;
use sapphirepost_protocol::claim::ClaimDone;
use sapphirepost_protocol::claim::ClaimVerdict;
use sapphirepost_protocol::gossip::Announcement;
use sapphirepost_protocol::gossip::Gossip;
use sapphirepost_protocol::gossip::GossipReply;
use sapphirepost_types::EntryId;
use sapphirepost_types::Millis;
use sapphirepost_types::Name;
use sapphirepost_types::RequestClass;
use sapphirepost_types::RequestId;

use crate::roster::RosterChange;

/// Identifies a caller's request within one incarnation of the entry; assigned by the sender of
/// [`Event::Arrived`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestKey(pub u64);

/// Identifies a connection to an upstream; assigned by the router in [`Action::Open`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionKey(pub u64);

/// Identifies one attempt to send a request on one connection. Keys are never reused, so that a
/// late event of an earlier attempt is recognised.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SendKey(pub u64);

/// Identifies a call to the control processes that carries claims and outcomes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallKey(pub u64);

/// Identifies the call of a peer entry that waits for a gossip reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplyToken(pub u64);

/// The properties of a caller's request that the router needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewRequest {
    /// Identifies the request in later events and actions.
    pub key: RequestKey,
    /// The service whose upstreams can run the request.
    pub service: Name,
    /// Selects the queue, its limits and the slots that the request may use.
    pub class: RequestClass,
    /// The time by which the request must be answered.
    pub deadline: Millis,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The ID set by the caller. A non-idempotent request with an ID needs a claim before it is
    /// sent to an upstream.
    pub id: Option<RequestId>,
    /// A digest of method, path and body; detects an ID that is reused for another request.
    pub digest: u64,
    /// A hash that identifies the caller; callers share a queue fairly.
    pub caller: u64,
    /// Size of the body in bytes; a request with a large body counts more in the fair queue.
    pub body_bytes: u32,
}

/// Properties of a response that has arrived in full.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseSummary {
    /// The HTTP status code; 500 and above count as a failure of the upstream.
    pub status: u16,
    /// Whether the upstream stated explicitly that the request was not run.
    pub not_run: bool,
    /// Whether the connection can carry another request.
    pub reusable: bool,
    /// The content type; needed only if `keep` was set in [`Action::Send`].
    pub content_type: Option<String>,
    /// The body as text; needed only if `keep` was set in [`Action::Send`], and absent if it is too
    /// long for a claim outcome.
    pub body: Option<String>,
}

/// Why a claim call returned no verdicts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimFailure {
    /// The call did not take effect, for instance because no leader or quorum is reachable.
    NotReached,
    /// The call may have taken effect.
    Unknown,
}

/// An input of the router.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A caller's request has arrived in full.
    Arrived(NewRequest),
    /// The caller has closed its connection before the answer.
    Abandoned(RequestKey),
    /// A connection that was asked for with [`Action::Open`] is established.
    Opened(ConnectionKey),
    /// A connection could not be established; nothing was sent on it.
    OpenFailed(ConnectionKey),
    /// A connection was closed, by the upstream or after [`Action::Close`].
    Closed(ConnectionKey),
    /// It is certain that no byte of the request was sent, for instance because the sender found
    /// that `not_after` of [`Action::Send`] had passed.
    NotSent {
        /// The connection of the attempt; it is no longer usable.
        connection: ConnectionKey,
        /// The attempt.
        send: SendKey,
    },
    /// The first byte of the request was handed to the network.
    BytesSent {
        /// The connection of the attempt.
        connection: ConnectionKey,
        /// The attempt.
        send: SendKey,
    },
    /// Status line and headers of the response have arrived.
    ResponseHead {
        /// The connection of the attempt.
        connection: ConnectionKey,
        /// The attempt.
        send: SendKey,
    },
    /// The response has arrived in full.
    ResponseEnd {
        /// The connection of the attempt.
        connection: ConnectionKey,
        /// The attempt.
        send: SendKey,
        /// What the router needs to know of the response.
        summary: ResponseSummary,
    },
    /// The response was cut off, malformed or too long.
    ResponseTruncated {
        /// The connection of the attempt; it is no longer usable.
        connection: ConnectionKey,
        /// The attempt.
        send: SendKey,
    },
    /// The time returned by [`Router::next_timer`](crate::Router::next_timer) has come.
    Timer,
    /// This entry received an announcement from an upstream.
    Announced(Announcement),
    /// A peer entry has sent changes of its upstream table.
    Gossip {
        /// The changes since the last message, or the whole table.
        gossip: Gossip,
        /// Identifies the call in [`Action::GossipReply`].
        token: ReplyToken,
    },
    /// A peer entry has replied to [`Action::Gossip`].
    GossipReply {
        /// The entry that replied.
        peer: EntryId,
        /// Its table, if it was asked for.
        reply: GossipReply,
    },
    /// A gossip message may not have reached its peer.
    GossipFailed {
        /// The receiver of the message.
        peer: EntryId,
    },
    /// A claim call has ended.
    ClaimAnswered {
        /// The call of [`Action::Claim`].
        call: CallKey,
        /// The verdicts, in the order of the claims.
        result: Result<Vec<ClaimVerdict>, ClaimFailure>,
    },
    /// The roster of entries, and with it this entry's share of each upstream, has changed.
    RosterChanged(RosterChange),
    /// The entry is stopping: requests that arrive later are refused.
    Stopping,
}

/// Why a request was refused. A refused request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// The expected wait is too long for the class or the deadline, or the queue or the record of
    /// claims is full.
    Overload,
    /// The deadline passed, or cannot be met, before the request ran.
    Deadline,
    /// No upstream is known that takes new requests of the service.
    NoUpstream,
    /// As [`RefusalReason::NoUpstream`], but the table of upstreams may be incomplete because the
    /// entry has just started.
    TableUnknown,
    /// Upstreams are known, but none has a slot for this entry or could be reached.
    Unreachable,
    /// The upstream confirmed that it did not run the request.
    UpstreamRefused,
    /// The claim could not be obtained in time, or an earlier claim of the same ID is still being
    /// released.
    ClaimUnavailable,
    /// The ID is older than the record of claims, so an earlier run cannot be ruled out.
    IdTooOld,
    /// The time in the ID lies further in the future than clocks may differ.
    IdTooNew,
    /// The ID was used for another request.
    IdMismatch,
    /// The entry is stopping.
    Stopping,
}

/// Why it is not known whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum UnknownReason {
    /// The deadline passed while an upstream had the request, or after an attempt that may have
    /// run.
    Deadline,
    /// The connection was lost or the response was cut off, or the last attempt did not run after
    /// an earlier one that may have run.
    Broken,
    /// A request with the same ID is in progress or ended without a known outcome.
    EarlierRun,
}

/// The answer to a caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Pass on the complete response to this attempt.
    Forward(SendKey),
    /// Repeat the recorded response to an earlier request with the same ID.
    Recorded {
        /// The HTTP status code of the recorded response.
        status: u16,
        /// The content type of the recorded response, if it had one.
        content_type: Option<String>,
        /// The body; `None` if it was too long to be recorded.
        body: Option<String>,
    },
    /// The request was not run.
    Refused {
        /// The cause of the refusal.
        reason: RefusalReason,
        /// The value of `Retry-After` in seconds; `None` if a resend cannot succeed.
        retry_after_s: Option<u32>,
    },
    /// The request may have run.
    Unknown {
        /// The cause of the uncertainty.
        reason: UnknownReason,
    },
}

/// An output of the router, to be carried out by its owner.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Open a connection; answered by [`Event::Opened`] or [`Event::OpenFailed`].
    Open {
        /// Identifies the new connection.
        connection: ConnectionKey,
        /// The address of the upstream, as `ip:port`.
        address: String,
    },
    /// Send a request on an open connection.
    Send {
        /// The connection to use.
        connection: ConnectionKey,
        /// Identifies the attempt in later events.
        send: SendKey,
        /// The request to send.
        request: RequestKey,
        /// The sender reads the clock right before the first byte and answers with
        /// [`Event::NotSent`] if this time has come.
        not_after: Millis,
        /// Whether [`Event::ResponseEnd`] needs content type and body, to be recorded with the
        /// claim.
        keep: bool,
    },
    /// Close a connection; answered by [`Event::Closed`], or by [`Event::OpenFailed`] if it is not
    /// open yet.
    Close(ConnectionKey),
    /// Answer a caller. No later action refers to this request.
    Respond {
        /// The request that ends.
        request: RequestKey,
        /// The answer to pass to the caller.
        answer: Answer,
    },
    /// Ask for claims and report outcomes; answered by [`Event::ClaimAnswered`].
    Claim {
        /// Identifies the call.
        call: CallKey,
        /// Claims to be granted; the verdicts come in the same order.
        claims: Vec<Claim>,
        /// Outcomes of claims granted earlier.
        outcomes: Vec<ClaimDone>,
    },
    /// Send changes of the upstream table to a peer entry; answered by [`Event::GossipReply`] or
    /// [`Event::GossipFailed`].
    Gossip {
        /// The receiver.
        peer: EntryId,
        /// The changes since the last message, or the whole table.
        gossip: Gossip,
    },
    /// Reply to the gossip message of a peer entry.
    GossipReply {
        /// The call that waits for the reply.
        token: ReplyToken,
        /// The reply, with this entry's table if the peer asked for it.
        reply: GossipReply,
    },
}
