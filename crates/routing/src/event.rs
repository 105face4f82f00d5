//! Inputs and outputs of the router.
//!
//! Bodies do not pass through the router: the owner of the sockets keeps them under the keys that
//! stand here.

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

/// A caller's request within this run of the entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestKey(pub u64);

/// A connection to an upstream; the router numbers them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionKey(pub u64);

/// One try of a request on one connection; never reused, so that a late event of an earlier try
/// is recognised.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SendKey(pub u64);

/// One claim call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallKey(pub u64);

/// Names the peer call that waits for a gossip reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplyToken(pub u64);

/// What the router needs to know of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewRequest {
    /// The request.
    pub key: RequestKey,
    /// The service that it is for.
    pub service: Name,
    /// Its class.
    pub class: RequestClass,
    /// When the caller stops waiting.
    pub deadline: Millis,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// The caller's ID; a non-idempotent request with an ID needs a claim.
    pub id: Option<RequestId>,
    /// Digest of method, path and body, for the claim.
    pub digest: u64,
    /// A hash that names the caller, for fairness.
    pub caller: u64,
    /// Size of the body in bytes.
    pub body_bytes: u32,
}

/// The end of a complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseSummary {
    /// The status code.
    pub status: u16,
    /// Whether the upstream stated explicitly that the request was not run.
    pub not_run: bool,
    /// Whether the connection can carry another request.
    pub reusable: bool,
    /// The content type; needed only where [`Action::Send`] asked to keep the answer.
    pub content_type: Option<String>,
    /// The body as text, within the limit of a claim outcome; as for `content_type`.
    pub body: Option<String>,
}

/// Why a claim call has no verdicts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimFailure {
    /// The call did not take effect, for instance because no leader or quorum is reachable.
    NotReached,
    /// The call may have taken effect.
    Unknown,
}

/// An input.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A caller's request has arrived in full.
    Arrived(NewRequest),
    /// The caller has closed its connection.
    Abandoned(RequestKey),
    /// A connection is ready.
    Opened(ConnectionKey),
    /// A connection could not be opened; nothing was sent on it.
    OpenFailed(ConnectionKey),
    /// A connection is closed.
    Closed(ConnectionKey),
    /// It is certain that no byte of the request was sent, for instance because its time was over
    /// when the sender read the clock.
    NotSent {
        /// The connection, which is no longer usable.
        connection: ConnectionKey,
        /// The try.
        send: SendKey,
    },
    /// The first byte was handed to the network.
    BytesSent {
        /// The connection.
        connection: ConnectionKey,
        /// The try.
        send: SendKey,
    },
    /// The head of the response has arrived.
    ResponseHead {
        /// The connection.
        connection: ConnectionKey,
        /// The try.
        send: SendKey,
    },
    /// The response has arrived in full.
    ResponseEnd {
        /// The connection.
        connection: ConnectionKey,
        /// The try.
        send: SendKey,
        /// What it says.
        summary: ResponseSummary,
    },
    /// The response broke off, or was malformed or too long.
    ResponseTruncated {
        /// The connection, which is no longer usable.
        connection: ConnectionKey,
        /// The try.
        send: SendKey,
    },
    /// Time has passed.
    Timer,
    /// An upstream has announced itself to this entry.
    Announced(Announcement),
    /// A peer has sent its differences.
    Gossip {
        /// The differences.
        gossip: Gossip,
        /// Where the reply goes.
        token: ReplyToken,
    },
    /// A peer has answered.
    GossipReply {
        /// The peer.
        peer: EntryId,
        /// The answer.
        reply: GossipReply,
    },
    /// A peer could not be reached.
    GossipFailed {
        /// The peer.
        peer: EntryId,
    },
    /// A claim call has ended.
    ClaimAnswered {
        /// The call.
        call: CallKey,
        /// The verdicts, in the order of the claims.
        result: Result<Vec<ClaimVerdict>, ClaimFailure>,
    },
    /// The membership of entries has changed.
    RosterChanged(RosterChange),
    /// The entry stops: no request is admitted any more.
    Stopping,
}

/// Why a request was refused. It was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// The wait would be too long, or the queue is full.
    Overload,
    /// The deadline cannot be met, or passed while the request waited.
    Deadline,
    /// No upstream of the service is known.
    NoUpstream,
    /// The upstream table has not been learnt yet.
    TableUnknown,
    /// Upstreams are known, and none could be reached.
    Unreachable,
    /// The upstream confirmed that it did not run the request.
    UpstreamRefused,
    /// The group that grants claims is out of reach.
    ClaimUnavailable,
    /// The ID is older than the record of claims.
    IdTooOld,
    /// The ID lies too far in the future.
    IdTooNew,
    /// The ID was used for another request.
    IdMismatch,
    /// The entry is stopping.
    Stopping,
}

/// Why it is not known whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum UnknownReason {
    /// The deadline passed while an upstream had the request.
    Deadline,
    /// The connection broke or the response was cut off.
    Broken,
    /// The same ID is in progress or ended without a known outcome.
    EarlierRun,
}

/// The answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Pass on the complete response of this try.
    Forward(SendKey),
    /// Repeat the recorded answer of an earlier run of the same ID.
    Recorded {
        /// The status code.
        status: u16,
        /// The content type.
        content_type: Option<String>,
        /// The body; `None` if it was too long to be kept.
        body: Option<String>,
    },
    /// The request was not run.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// When to try again, in seconds; `None` where a resend cannot succeed.
        retry_after_s: Option<u32>,
    },
    /// The request may have run.
    Unknown {
        /// Why.
        reason: UnknownReason,
    },
}

/// An output.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Open a connection; answered by `Opened` or `OpenFailed`.
    Open {
        /// The number of the new connection.
        connection: ConnectionKey,
        /// Where to, as `ip:port`.
        address: String,
    },
    /// Send a request on an open connection.
    Send {
        /// The connection.
        connection: ConnectionKey,
        /// The try.
        send: SendKey,
        /// The request.
        request: RequestKey,
        /// The sender reads the clock right before the first byte and answers with `NotSent` if
        /// this time has come.
        not_after: Millis,
        /// Whether the end of the response needs content type and body, for the claim.
        keep: bool,
    },
    /// Close a connection; answered by `Closed`.
    Close(ConnectionKey),
    /// Answer a caller. Nothing follows for this request.
    Respond {
        /// The request.
        request: RequestKey,
        /// The answer.
        answer: Answer,
    },
    /// Ask for claims and report outcomes; answered by `ClaimAnswered`.
    Claim {
        /// The call.
        call: CallKey,
        /// Claims to be granted.
        claims: Vec<Claim>,
        /// Outcomes of claims granted earlier.
        outcomes: Vec<ClaimDone>,
    },
    /// Send differences of the upstream table to a peer.
    Gossip {
        /// The peer.
        peer: EntryId,
        /// The differences.
        gossip: Gossip,
    },
    /// Answer a peer.
    GossipReply {
        /// The peer's call.
        token: ReplyToken,
        /// The answer.
        reply: GossipReply,
    },
}
