//! Configuration of the placement scheduler.

/// Configuration of a [`Placer`](crate::Placer).
#[derive(Clone, Debug)]
pub struct PlacementConfig {
    /// The number of fitting workers that are scored for one task. The packing ratio with 8, 16,
    /// 24 and 48 differs by less than 0.001, because the search visits workers with the least free
    /// capacity first.
    pub sample_size: usize,
    /// How long a gang or a service waits before it may be given a reservation. An urgent gang need
    /// not wait, and for a batch job the wait depends on its slack.
    pub reserve_after_ms: u64,
    /// The maximum number of times that one task is preempted.
    pub max_preemptions: u8,
    /// How long an urgent task waits for the tasks preempted for it to stop, in addition to the
    /// largest of their checkpoint costs, before it gives up the capacity held for it.
    pub preemption_timeout_ms: u64,
    /// The number of distinct workers on which a task, or the tasks of a job without a success,
    /// must fail before the task or the job is considered faulty.
    pub faulty_task_min_workers: u8,
    /// The number of distinct tasks that must fail on a worker before it is quarantined.
    pub faulty_worker_min_tasks: usize,
    /// The length of the first quarantine of a worker. It doubles with each further quarantine
    /// until the worker recovers.
    pub quarantine_ms: u64,
    /// The upper bound of the length of a quarantine.
    pub quarantine_max_ms: u64,
    /// How long a running task must have run to count as a success of its job, and of a worker on
    /// probation. Services need this, since their tasks do not end by themselves.
    pub trial_run_ms: u64,
    /// How many tasks a worker on probation runs at a time, and how many successes end its
    /// probation.
    pub trial_tasks: u32,
    /// The largest share of all workers, in percent, that may be quarantined or on probation.
    pub max_quarantined_percent: usize,
    /// How long a reported usage is taken into account.
    pub usage_validity_ms: u64,
    /// Mechanisms that tests switch off to prove that their checks detect the failure.
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

/// Switches for single mechanisms; only tests turn them off.
#[doc(hidden)]
#[derive(Clone, Copy, Debug)]
pub struct Mechanisms {
    /// Whether jobs that have waited for long are given reservations.
    pub reservation: bool,
    /// Whether failing workers are quarantined.
    pub quarantine: bool,
    /// Whether team quotas are enforced.
    pub quota: bool,
    /// Whether tasks of a service are spread over failure domains and racks.
    pub spread: bool,
    /// Whether run-time estimates learn from finished tasks.
    pub learning: bool,
    /// Whether urgent tasks preempt other tasks.
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
