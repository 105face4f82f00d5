//! The division of the descriptors of a control process.

use sapphirepost_process::descriptors;
use sapphirepost_process::descriptors::DescriptorShares;
use sapphirepost_process::descriptors::TooFewDescriptors;

/// Descriptors that the log, its snapshots, the listeners and the admin API need beside the shares.
const OTHER_USES: usize = 256;
/// Workers of the largest cluster.
const LARGEST_CLUSTER: usize = 1_100;

/// Guards against shares that add up to the whole limit, so that the log cannot create a file.
#[test]
fn the_shares_leave_descriptors_for_the_log() {
    for limit in [768, 1_024, 4_096, 4_324, 20_000, u64::from(u32::MAX)] {
        let shares = DescriptorShares::of(limit).unwrap();
        let used = shares.inner + shares.api + shares.workers;
        assert!(used + OTHER_USES <= limit as usize, "{limit}: {shares:?}");
    }
}

/// Guards against a leader that has fewer connections than a cluster of the largest size needs.
#[test]
fn the_usual_limit_serves_the_largest_cluster() {
    let shares = DescriptorShares::of(4_324).unwrap();
    assert!(shares.inner >= 2 * 152, "{shares:?}");
    // Half of the workers report to each of the two members that are left of three, with a quarter
    // more on one of them by chance.
    assert!(4 * shares.api >= 5 * LARGEST_CLUSTER / 2, "{shares:?}");
    assert!(shares.workers >= 2 * LARGEST_CLUSTER, "{shares:?}");
}

/// Guards against a start with a limit that does not serve any group, and against an error that
/// does not say which limit does.
#[test]
fn a_limit_that_is_too_low_is_refused() {
    let error = DescriptorShares::of(500).unwrap_err();
    assert_eq!(
        error,
        TooFewDescriptors {
            limit: 500,
            needed: 768
        }
    );
    assert_eq!(
        error.to_string(),
        "the limit of 500 open files is too low: a control process needs 768"
    );
}

/// Guards against a limit that is not the one of this process.
#[test]
fn the_limit_of_the_process_is_read() {
    assert!(descriptors::limit() >= 256);
}
