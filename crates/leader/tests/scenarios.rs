//! File tests that guard against wrong or unclear plans, confirmations and answers to operators.
//!
//! Each file under `scenarios` names the failure that it guards against. `REWRITE=1` rewrites the
//! expected output; run only one of the tests then (`-- --exact scenarios`), because both write the
//! same files.

mod support;

use datadriven::walk;

use crate::support::scenario_cluster::ScenarioCluster;

fn run(outstanding_max: usize) {
    walk("tests/scenarios", |file| {
        let mut cluster = ScenarioCluster::new(outstanding_max);
        file.run(|case| cluster.run(case));
    });
}

#[test]
fn scenarios() {
    run(3);
}

/// Guards against capacity that is freed only after a sync was held for its full time, because a
/// worker that sends one sync at a time cannot report an end before that sync is answered.
#[test]
fn scenarios_with_one_sync_at_a_time() {
    run(1);
}
