//! How many losses the group promises and tolerates, in metrics and in the log.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use prometheus_client::metrics::gauge::Gauge;

use sapphirepost_process::metrics::Metrics;
use sapphirepost_types::MemberId;

use crate::group_size::MemberView;
use crate::group_size::Tolerance;

/// How many machines with a disk may be lost at the same time without the loss of anything
/// acknowledged. The program that sets it and the core thread share it, and it may change at any
/// time.
#[derive(Clone, Debug, Default)]
pub struct FaultTolerance(Arc<AtomicUsize>);

impl FaultTolerance {
    /// Promises that `machines` may be lost.
    pub fn new(machines: usize) -> FaultTolerance {
        FaultTolerance(Arc::new(AtomicUsize::new(machines)))
    }

    /// Changes the promise. A leader adjusts the voters to it in its next round.
    pub fn set(&self, machines: usize) {
        self.0.store(machines, Ordering::Relaxed);
    }

    /// How many machines may be lost.
    pub fn get(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// Metrics of the group, set by the member that leads and 0 on all others.
#[derive(Clone, Debug)]
pub(crate) struct ToleranceMetrics {
    voters: Gauge,
    silent_voters: Gauge,
    disk_losses_promised: Gauge,
    disk_losses_tolerated: Gauge,
    failures_tolerated: Gauge,
}

impl ToleranceMetrics {
    /// Registers all metrics under their exported names.
    pub(crate) fn register(metrics: &Metrics) -> ToleranceMetrics {
        let gauge = |name, help| metrics.register(name, help, Gauge::default());
        ToleranceMetrics {
            voters: gauge("control_voters", "Voters of the group"),
            silent_voters: gauge(
                "control_silent_voters",
                "Voters that the leader does not hear from",
            ),
            disk_losses_promised: gauge(
                "control_disk_losses_promised",
                "Lost disks that the settings promise to tolerate",
            ),
            disk_losses_tolerated: gauge(
                "control_disk_losses_tolerated",
                "Lost disks after which the group still has everything acknowledged",
            ),
            failures_tolerated: gauge(
                "control_failures_tolerated",
                "Further failures of voters that do not interrupt the service",
            ),
        }
    }
}

/// Reports what the group tolerates while this member leads.
pub(crate) struct GroupTolerance {
    metrics: ToleranceMetrics,
    /// The voters that were silent at the last report.
    silent: Vec<MemberId>,
    /// Whether the last report said that the group tolerates less than promised.
    is_below_promise: bool,
}

impl GroupTolerance {
    pub(crate) fn new(metrics: ToleranceMetrics) -> GroupTolerance {
        GroupTolerance {
            metrics,
            silent: Vec::new(),
            is_below_promise: false,
        }
    }

    /// Sets the metrics, and logs which voters are silent and whether the promise is kept, each when
    /// it changes.
    pub(crate) fn update(&mut self, members: &[MemberView], promised: usize) {
        let tolerance = Tolerance::of(members);
        let voters = || members.iter().filter(|member| member.is_voter);
        let silent = || voters().filter(|member| !member.is_live).map(|m| m.id);
        let metrics = &self.metrics;
        metrics.voters.set(voters().count() as i64);
        metrics.silent_voters.set(silent().count() as i64);
        metrics.disk_losses_promised.set(promised as i64);
        metrics
            .disk_losses_tolerated
            .set(tolerance.disk_losses as i64);
        metrics.failures_tolerated.set(tolerance.failures as i64);
        if !silent().eq(self.silent.iter().copied()) {
            self.silent = silent().collect();
            self.log_silent(tolerance);
        }
        let is_below_promise = tolerance.disk_losses < promised;
        if is_below_promise != self.is_below_promise {
            self.is_below_promise = is_below_promise;
            log_promise(tolerance, promised, voters().count());
        }
    }

    /// Clears the metrics when this member stops leading.
    pub(crate) fn clear(&mut self) {
        let metrics = &self.metrics;
        for gauge in [
            &metrics.voters,
            &metrics.silent_voters,
            &metrics.disk_losses_promised,
            &metrics.disk_losses_tolerated,
            &metrics.failures_tolerated,
        ] {
            gauge.set(0);
        }
        self.silent.clear();
        self.is_below_promise = false;
    }

    fn log_silent(&self, tolerance: Tolerance) {
        let names: Vec<String> = self.silent.iter().map(MemberId::to_string).collect();
        log::info!(
            silent = names.join(","),
            failures_tolerated = tolerance.failures,
            disk_losses_tolerated = tolerance.disk_losses;
            "silent voters change"
        );
    }
}

fn log_promise(tolerance: Tolerance, promised: usize, voters: usize) {
    let tolerated = tolerance.disk_losses;
    if tolerated < promised {
        log::warn!(
            tolerated, promised, voters;
            "the group tolerates fewer lost disks than the settings promise"
        );
    } else {
        log::info!(tolerated, promised, voters; "the group tolerates the promised losses");
    }
}
