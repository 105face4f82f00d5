//! Guards against plans, confirmations and answers that are wrong or unclear to operators. Each
//! file under `scenarios` says which failure it guards against; `REWRITE=1` renews the
//! results; run only one of the tests then (`-- --exact scenarios`), because both write the same
//! files.

mod support;

use datadriven::walk;

use crate::support::bench::Bench;

fn run(outstanding_max: usize) {
    walk("tests/scenarios", |file| {
        let mut bench = Bench::new(outstanding_max);
        file.run(|case| bench.run(case));
    });
}

#[test]
fn scenarios() {
    run(3);
}

/// Guards against room that stays taken for the length of a held sync, because a worker that
/// sends one sync at a time cannot report before it is answered.
#[test]
fn scenarios_with_one_sync_at_a_time() {
    run(1);
}
