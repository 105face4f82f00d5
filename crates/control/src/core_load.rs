//! How busy the core thread is: how long events wait for it, and where its time goes.
//!
//! A leader whose events wait longer than an election timeout sees the replies of the other members
//! too late and loses its leadership, so these figures tell a slow leader from a cut network.

use std::time::Duration;
use std::time::Instant;

use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;

use sapphirepost_process::metrics::Metrics;
use sapphirepost_process::process_metrics;

/// Time between two log lines of a leader.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The name of the threads that carry the calls of other processes.
pub(crate) const CALL_NETWORK_THREAD_NAME: &str = "call network";
/// The name of the threads that carry the messages of the group.
pub(crate) const GROUP_NETWORK_THREAD_NAME: &str = "group network";

/// Processor time of the process by thread, in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
struct ProcessorTime {
    core_ms: u64,
    call_network_ms: u64,
    group_network_ms: u64,
    network_ms: u64,
    storage_ms: u64,
    other_ms: u64,
}

impl ProcessorTime {
    /// Reads the time that the threads have taken since they began.
    fn read() -> ProcessorTime {
        let mut total = ProcessorTime::default();
        for thread in process_metrics::thread_times() {
            let sum_ms = match &*thread.name {
                _ if thread.is_main => &mut total.core_ms,
                CALL_NETWORK_THREAD_NAME => &mut total.call_network_ms,
                GROUP_NETWORK_THREAD_NAME => &mut total.group_network_ms,
                "network" => &mut total.network_ms,
                "storage" => &mut total.storage_ms,
                _ => &mut total.other_ms,
            };
            *sum_ms += thread.processor_ms;
        }
        total
    }

    /// The time since `earlier`. The time of a thread that has ended since then is lost.
    fn since(self, earlier: ProcessorTime) -> ProcessorTime {
        ProcessorTime {
            core_ms: self.core_ms.saturating_sub(earlier.core_ms),
            call_network_ms: self.call_network_ms.saturating_sub(earlier.call_network_ms),
            group_network_ms: self
                .group_network_ms
                .saturating_sub(earlier.group_network_ms),
            network_ms: self.network_ms.saturating_sub(earlier.network_ms),
            storage_ms: self.storage_ms.saturating_sub(earlier.storage_ms),
            other_ms: self.other_ms.saturating_sub(earlier.other_ms),
        }
    }
}

/// Metrics of the core thread's rounds.
#[derive(Clone, Debug)]
pub(crate) struct LoadMetrics {
    /// Seconds that an event waited in the channel.
    event_wait_seconds: Histogram,
    /// Seconds that a round took.
    round_seconds: Histogram,
    /// Seconds that the scheduler took in one call of its tick.
    scheduling_seconds: Histogram,
    /// Events in the channel when the last round ended.
    queued_events: Gauge,
}

/// A histogram of seconds: the first bucket ends at 0.1 ms, the last finite one at 6.5 s.
pub(crate) fn seconds() -> Histogram {
    Histogram::new(exponential_buckets(0.0001, 2.0, 17))
}

impl LoadMetrics {
    pub(crate) fn register(metrics: &Metrics) -> LoadMetrics {
        let histogram = |name: &str, help: &str| metrics.register(name, help, seconds());
        LoadMetrics {
            event_wait_seconds: histogram(
                "control_event_wait_seconds",
                "Time that an event waited for the core thread",
            ),
            round_seconds: histogram(
                "control_round_seconds",
                "Time that a round of the core thread took",
            ),
            scheduling_seconds: histogram(
                "control_scheduling_seconds",
                "Time that a tick of the queue scheduler took",
            ),
            queued_events: metrics.register(
                "control_queued_events",
                "Events that wait for the core thread",
                Gauge::default(),
            ),
        }
    }
}

/// What an event is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EventKind {
    /// The replicated group itself: elections, commits and storage do not work without it.
    Group,
    /// The reply of a worker to a request.
    WorkerReply,
    /// The report of a worker.
    WorkerReport,
    /// The poll of a policy client.
    PolicyPoll,
    /// Any other call.
    Call,
}

impl EventKind {
    const COUNT: usize = 5;
}

/// What a part of a round is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Work {
    /// Handling events.
    Events,
    /// Applying committed entries.
    Apply,
    /// Ticking the queue scheduler.
    Schedule,
    /// Encoding and proposing commands.
    Propose,
}

impl Work {
    const COUNT: usize = 4;
}

/// The figures of one report interval.
#[derive(Clone, Debug)]
struct Interval {
    since: Instant,
    rounds: u64,
    longest_round: Duration,
    busy: Duration,
    events: [u64; EventKind::COUNT],
    oldest_event: Duration,
    oldest_group_event: Duration,
    spent: [Duration; Work::COUNT],
    longest: [Duration; Work::COUNT],
    repeated_submissions: u64,
    /// The processor time of the process when the interval began; `None` unless it led then.
    processor_time: Option<ProcessorTime>,
}

impl Interval {
    fn new(since: Instant) -> Interval {
        Interval {
            since,
            rounds: 0,
            longest_round: Duration::ZERO,
            busy: Duration::ZERO,
            events: [0; EventKind::COUNT],
            oldest_event: Duration::ZERO,
            oldest_group_event: Duration::ZERO,
            spent: [Duration::ZERO; Work::COUNT],
            longest: [Duration::ZERO; Work::COUNT],
            repeated_submissions: 0,
            processor_time: None,
        }
    }
}

/// Measures the rounds of the core thread.
#[derive(Debug)]
pub(crate) struct CoreLoad {
    metrics: LoadMetrics,
    interval: Interval,
    round_began: Instant,
}

impl CoreLoad {
    pub(crate) fn new(metrics: LoadMetrics) -> CoreLoad {
        let now = Instant::now();
        CoreLoad {
            metrics,
            interval: Interval::new(now),
            round_began: now,
        }
    }

    pub(crate) fn begin_round(&mut self) {
        self.round_began = Instant::now();
    }

    /// Records an event that is about to be handled.
    pub(crate) fn record_event(&mut self, queued_at: Instant, kind: EventKind) {
        let waited = queued_at.elapsed();
        self.metrics
            .event_wait_seconds
            .observe(waited.as_secs_f64());
        let interval = &mut self.interval;
        interval.events[kind as usize] += 1;
        interval.oldest_event = interval.oldest_event.max(waited);
        if kind == EventKind::Group {
            interval.oldest_group_event = interval.oldest_group_event.max(waited);
        }
    }

    /// Records that a part of the round began at `since` and ends now.
    pub(crate) fn record_work(&mut self, work: Work, since: Instant) {
        let took = since.elapsed();
        let position = work as usize;
        self.interval.spent[position] += took;
        self.interval.longest[position] = self.interval.longest[position].max(took);
        if work == Work::Schedule {
            self.metrics.scheduling_seconds.observe(took.as_secs_f64());
        }
    }

    /// Records a submission of a job whose earlier submission is being committed.
    pub(crate) fn record_repeated_submission(&mut self) {
        self.interval.repeated_submissions += 1;
    }

    /// Ends a round, with `queued` events still in the channel. A leader logs the figures at
    /// intervals.
    pub(crate) fn end_round(&mut self, queued: usize, is_leading: bool) {
        let now = Instant::now();
        let took = now - self.round_began;
        self.metrics.round_seconds.observe(took.as_secs_f64());
        self.metrics.queued_events.set(queued as i64);
        self.interval.rounds += 1;
        self.interval.busy += took;
        self.interval.longest_round = self.interval.longest_round.max(took);
        if now - self.interval.since < REPORT_INTERVAL {
            return;
        }
        let mut next = Interval::new(now);
        if is_leading {
            self.interval.log(now, queued);
            next.processor_time = Some(ProcessorTime::read());
        }
        self.interval = next;
    }

    /// Logs the figures of the interval so far, because the member stops leading.
    pub(crate) fn log_now(&self, queued: usize) {
        self.interval.log(Instant::now(), queued);
    }
}

impl Interval {
    fn log(&self, now: Instant, queued: usize) {
        let ms = |duration: Duration| duration.as_millis() as u64;
        let [handling, apply, schedule, propose] = self.spent.map(ms);
        let [group, workers, reports, policy, other] = self.events;
        let [_, longest_apply, longest_schedule, _] = self.longest.map(ms);
        let began_with = self.processor_time;
        let processor = began_with.map(|began| ProcessorTime::read().since(began));
        let processor = processor.unwrap_or_default();
        log::info!(
            interval_ms = ms(now - self.since), rounds = self.rounds,
            busy_ms = ms(self.busy), longest_round_ms = ms(self.longest_round),
            group_events = group, worker_replies = workers, worker_reports = reports,
            policy_polls = policy, other_calls = other, queued,
            oldest_event_ms = ms(self.oldest_event),
            oldest_group_event_ms = ms(self.oldest_group_event),
            handling_ms = handling, applying_ms = apply, longest_applying_ms = longest_apply,
            scheduling_ms = schedule,
            longest_scheduling_ms = longest_schedule, proposing_ms = propose,
            repeated_submissions = self.repeated_submissions,
            core_processor_ms = processor.core_ms, storage_processor_ms = processor.storage_ms,
            call_network_processor_ms = processor.call_network_ms,
            group_network_processor_ms = processor.group_network_ms,
            network_processor_ms = processor.network_ms,
            other_processor_ms = processor.other_ms; "leader load"
        );
    }
}
