//! Replicated log of one group, as in Raft: elections, replication, membership, snapshots and reads.
//!
//! The crate does no I/O. [`Node`] is given messages and the time; [`Node::ready`] returns the
//! messages to send, the records to persist and the entries to apply. Random numbers come from
//! the seed in [`Config`], so a run can be replayed.

mod base64_bytes;
mod config;
mod election;
mod entry;
mod log;
mod membership;
mod message;
mod node;
mod outbox;
mod progress;
mod reads;
mod ready;
mod replication;
mod snapshot;
mod status;

pub use crate::config::Config;
pub use crate::config::Faults;
pub use crate::entry::Entry;
pub use crate::entry::GroupId;
pub use crate::entry::HardState;
pub use crate::entry::Index;
pub use crate::entry::Payload;
pub use crate::entry::PersistentState;
pub use crate::entry::Record;
pub use crate::entry::Snapshot;
pub use crate::entry::SnapshotMeta;
pub use crate::entry::Term;
pub use crate::membership::Member;
pub use crate::membership::MemberRole;
pub use crate::membership::Membership;
pub use crate::membership::MembershipChange;
pub use crate::membership::MembershipError;
pub use crate::message::Body;
pub use crate::message::Message;
pub use crate::message::OutgoingMessage;
pub use crate::node::Node;
pub use crate::node::ProposeError;
pub use crate::node::Role;
pub use crate::ready::ConfirmedRead;
pub use crate::ready::Persisted;
pub use crate::ready::Ready;
pub use crate::ready::RoleChange;
pub use crate::ready::StepDown;
pub use crate::status::MemberProgress;
