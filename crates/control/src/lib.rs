//! The control process: one member of the replicated group, which schedules while it leads.
//!
//! The core thread owns the consensus node, the replicated state and, while this member leads, the
//! scheduling decisions. The storage thread writes the log and the snapshots, which the snapshot
//! thread encodes; the network threads run the listener and one client per peer. All input reaches
//! the core thread through one bounded channel.

mod byte_count;
mod cluster_clock;
mod cluster_metrics;
mod commit_path;
mod core;
mod core_load;
mod event;
mod follower_reads;
pub mod group_size;
mod group_tolerance;
mod incarnation_log;
mod initial_voters;
pub mod join_step;
mod joining;
mod leader_settings;
mod leadership;
mod members;
mod methods;
mod metrics;
mod peers;
mod pending_calls;
mod placement_load;
mod queue_calls;
mod queue_log;
mod queue_metrics;
mod queues;
mod rejection_log;
mod relayed_reports;
mod requests;
mod settings;
mod snapshots;
mod start;
mod storage_thread;
mod tenant_metrics;
mod tenant_requests;

pub use crate::event::Event;
pub use crate::event::EventReceiver;
pub use crate::event::EventSender;
pub use crate::group_tolerance::FaultTolerance;
pub use crate::initial_voters::InitialVoter;
pub use crate::initial_voters::InitialVoters;
pub use crate::metrics::CoreMetrics;
pub use crate::queues::QueueParts;
pub use crate::queues::QueueTiming;
pub use crate::queues::WorkerGateway;
pub use crate::queues::WorkerReplyCallback;
pub use crate::settings::Flags;
pub use crate::settings::Mode;
pub use crate::settings::Settings;
pub use crate::start::Embedding;
pub use crate::start::LocalControl;
pub use crate::start::init;
pub use crate::start::run;
pub use crate::start::run_embedded;
pub use crate::storage_thread::StorageEnded;
pub use crate::storage_thread::StorageRequest;
pub use crate::storage_thread::StorageSender;
pub use crate::storage_thread::StorageThread;
