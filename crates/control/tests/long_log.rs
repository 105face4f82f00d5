//! A group of real processes that start with a long log, as after an outage of the whole site.

mod common;

use std::sync::Arc;

use sapphirepost_consensus::Entry;
use sapphirepost_consensus::Index;
use sapphirepost_consensus::Payload;
use sapphirepost_consensus::Record;
use sapphirepost_queues::JobKey;
use sapphirepost_queues::Queue;
use sapphirepost_queues::QueueCommand;
use sapphirepost_queues::StepSpec;
use sapphirepost_queues::SubmittedSpec;
use sapphirepost_state::Command;
use sapphirepost_state::Request;
use sapphirepost_storage::DiskOptions;
use sapphirepost_storage::DiskStore;
use sapphirepost_storage::LogStore;
use sapphirepost_types::Resources;

use crate::common::Cluster;

/// With the commands of an entry, a log that takes several election timeouts to be applied.
const ENTRIES: u64 = 1_000;
const JOBS_PER_ENTRY: u64 = 50;
/// The index of the last entry; the first one is the membership.
const LAST: Index = ENTRIES + 1;

/// An entry of the first term in which jobs are accepted.
fn entry(index: Index, queue: &Arc<Queue>, spec: &Arc<SubmittedSpec>) -> Entry {
    let jobs = index * JOBS_PER_ENTRY..(index + 1) * JOBS_PER_ENTRY;
    let submit = |job| QueueCommand::Submit {
        job: JobKey(job),
        queue: queue.clone(),
        spec: spec.clone(),
        tenant: None,
    };
    let command = Command {
        at_unix_ms: index,
        request: Request::Queues(jobs.map(submit).collect()),
    };
    Entry {
        index,
        term: 1,
        payload: Payload::Command(serde_json::to_vec(&command).unwrap().into()),
    }
}

/// The records of a log with the first records of a group.
fn records(mut first: Vec<Record>) -> Vec<Record> {
    let queue = Arc::new(Queue {
        name: Arc::from("jobs"),
        host: Arc::from("h"),
        path_prefix: Arc::from("/jobs/"),
        service: Arc::from("s"),
        priority: 0,
        attempts_max: 1,
        deadline_factor: 2.0,
        target_ms: 1_000,
        timeout_ms: 1_000,
        permits: None,
        is_public: false,
    });
    let step = StepSpec {
        count: 1,
        resources: Resources::new(1_000, 100, 0),
        estimate_ms: 1_000,
        ..StepSpec::default()
    };
    let spec = Arc::new(SubmittedSpec {
        payload: Arc::from(""),
        steps: vec![step],
    });
    first.extend((2..=LAST).map(|index| Record::Entry(entry(index, &queue, &spec))));
    first
}

/// The index of the last applied entry, from the metrics, since a dump of a state this large takes
/// the core thread for long.
fn applied(cluster: &Cluster, index: usize) -> Index {
    let text = cluster.metrics(index);
    let mut lines = text.lines();
    let value = lines.find_map(|line| line.strip_prefix("sapphirepost_control_applied_index "));
    value.map_or(0, |value| value.parse().unwrap())
}

/// Guards against leaders that step down one after another, since each applies its whole log in one
/// step and sends no heartbeat meanwhile.
#[test]
fn the_first_leader_after_an_outage_keeps_its_term_with_a_long_log() {
    let mut cluster = Cluster::prepare(3, &["--snapshot-entries", "1000000"]);
    let records = records(cluster.first_records());
    for process in &cluster.processes {
        let mut store = DiskStore::open(&process.data_dir, DiskOptions::default()).unwrap();
        store.append(&records).unwrap();
        store.sync().unwrap();
    }
    cluster.spawn_all();
    cluster.wait_for("the log is not applied", |cluster| {
        (0..3).all(|index| applied(cluster, index) > LAST)
    });
    cluster.set_config_value();
    for index in 0..3 {
        let log = cluster.log_text(index);
        assert!(!log.contains("stopped leading"), "process {index}");
    }
    cluster.wait_until_converged();
}
