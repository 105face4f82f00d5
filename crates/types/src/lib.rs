//! Domain types shared by the sapphirepost packages.
//!
//! The package does no I/O. The IDs, names, resource amounts and request classes implement both
//! `Display` and `FromStr`, and parsing the printed text yields the same value, so that logs,
//! scenario files and the command line use one notation.

pub mod clock;
pub mod dense_map;
pub mod ids;
pub mod intent;
pub mod name;
pub mod plan;
pub mod request;
pub mod resources;
pub mod timed_id;

pub use crate::clock::Clock;
pub use crate::clock::Millis;
pub use crate::dense_map::DenseMap;
pub use crate::ids::Attempt;
pub use crate::ids::ConfigVersion;
pub use crate::ids::EntryId;
pub use crate::ids::Incarnation;
pub use crate::ids::JobId;
pub use crate::ids::MemberId;
pub use crate::ids::ObjectVersion;
pub use crate::ids::PlanId;
pub use crate::ids::TaskId;
pub use crate::ids::WorkerId;
pub use crate::intent::Intent;
pub use crate::intent::JobKind;
pub use crate::intent::JobSpec;
pub use crate::intent::OnPartition;
pub use crate::intent::Priority;
pub use crate::name::Name;
pub use crate::plan::Effect;
pub use crate::plan::ObjectKey;
pub use crate::plan::Plan;
pub use crate::plan::VersionedObject;
pub use crate::plan::Warning;
pub use crate::request::RequestClass;
pub use crate::request::RequestOutcome;
pub use crate::resources::Resources;
pub use crate::timed_id::OperationId;
pub use crate::timed_id::RequestId;
