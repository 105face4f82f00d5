//! Guards against plans, confirmations and answers that are wrong or unclear to operators. Each
//! file under `scenarios` says which failure it guards against; `REWRITE=1` renews the results.

mod support;

use datadriven::walk;

use crate::support::bench::Bench;

#[test]
fn scenarios() {
    walk("tests/scenarios", |file| {
        let mut bench = Bench::new();
        file.run(|case| bench.run(case));
    });
}
