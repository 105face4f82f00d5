//! Settings of the placement.

/// Settings of a [`Placer`](crate::Placer).
#[derive(Clone, Debug)]
pub struct PlacementConfig {
    /// How many fitting workers are scored for one task. With 8, 16, 24 and 48 the packing differs
    /// by less than 0.001, since the tightest workers come first.
    pub sample_size: usize,
    /// How long a gang or a service waits before it obtains a reservation.
    pub reserve_after_ms: u64,
    /// How often one task is displaced at most.
    pub max_preemptions: u8,
    /// How long an urgent task waits for a displaced task to stop, beyond its checkpoint cost,
    /// before it looks elsewhere.
    pub preemption_timeout_ms: u64,
    /// On how many distinct workers a task fails before it is held to be faulty.
    pub faulty_task_min_workers: u8,
    /// How many distinct tasks fail on a worker before it is quarantined.
    pub faulty_worker_min_tasks: usize,
    /// The first quarantine of a worker; each one that follows is twice as long.
    pub quarantine_ms: u64,
    /// The longest quarantine of a worker.
    pub quarantine_max_ms: u64,
    /// How long a task of a service must run to count as a success.
    pub trial_run_ms: u64,
    /// How many trial tasks a worker on probation takes at a time, and how many successes end it.
    pub trial_tasks: u32,
    /// The largest share of the workers that is quarantined, in percent.
    pub max_quarantined_percent: usize,
    /// How long an observed usage counts.
    pub usage_validity_ms: u64,
    /// Mechanisms that tests switch off to show that their checks notice.
    #[doc(hidden)]
    pub mechanisms: Mechanisms,
}

impl Default for PlacementConfig {
    fn default() -> PlacementConfig {
        PlacementConfig {
            sample_size: 8,
            reserve_after_ms: 10_000,
            max_preemptions: 3,
            preemption_timeout_ms: 5_000,
            faulty_task_min_workers: 3,
            faulty_worker_min_tasks: 3,
            quarantine_ms: 60_000,
            quarantine_max_ms: 3_600_000,
            trial_run_ms: 30_000,
            trial_tasks: 2,
            max_quarantined_percent: 20,
            usage_validity_ms: 30_000,
            mechanisms: Mechanisms::default(),
        }
    }
}

/// Mechanisms that tests switch off.
#[doc(hidden)]
#[derive(Clone, Copy, Debug)]
pub struct Mechanisms {
    /// Jobs that have waited long obtain a reservation.
    pub reservation: bool,
    /// Failing workers are set aside.
    pub quarantine: bool,
    /// The quota of a team is checked.
    pub quota: bool,
    /// Services are spread over failure domains and racks.
    pub spread: bool,
    /// Run times are learned from ended tasks.
    pub learning: bool,
    /// Urgent work displaces other tasks.
    pub preemption: bool,
}

impl Default for Mechanisms {
    fn default() -> Mechanisms {
        Mechanisms {
            reservation: true,
            quarantine: true,
            quota: true,
            spread: true,
            learning: true,
            preemption: true,
        }
    }
}
