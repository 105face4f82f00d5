//! Simulated workers, operators, entries and a network, for tests of `State` and `Leader`.

#![allow(dead_code)]

pub mod describe;
pub mod entries;
pub mod faults;
pub mod network;
pub mod operators;
pub mod scenario_cluster;
pub mod sim;
pub mod worker;

use sapphirepost_types::JobKind;
use sapphirepost_types::JobSpec;
use sapphirepost_types::Name;
use sapphirepost_types::Priority;
use sapphirepost_types::Resources;

pub fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

pub fn job(job_name: &str, kind: JobKind, tasks: u32, resources: Resources) -> JobSpec {
    JobSpec {
        name: name(job_name),
        team: name("team"),
        kind,
        tasks,
        resources,
        priority: Priority::Normal,
        on_partition: None,
        checkpoint_cost_ms: Some(100),
        payload: String::new(),
    }
}
