//! States of earlier versions, which have no count of the runs of a job that workers hold.

mod model;

use std::sync::Arc;

use sapphirepost_queues::EndKind;
use sapphirepost_queues::JobKey;
use sapphirepost_queues::QueueCommand;
use sapphirepost_queues::QueueState;
use sapphirepost_queues::RunEnd;
use sapphirepost_queues::TaskKey;

use crate::model::Model;
use crate::model::load;
use crate::model::load::Kind;
use crate::model::queue;
use crate::model::restart::FIRST_INCARNATION;
use crate::model::worker::ModelWorker;

/// After the retention of all jobs of the test.
const LATER_MS: u64 = 3_600_000;

fn submit(job: JobKey, tasks: u32) -> QueueCommand {
    let mut spec = load::spec(Kind::Tally, 1);
    spec.steps[0].count = tasks;
    QueueCommand::Submit {
        job,
        queue: Arc::new(queue("tally", 2, 4.0, 3_000)),
        spec: Arc::new(spec),
        tenant: None,
    }
}

/// Guards against a panic of each member that applies the end of a run which was already held when
/// the count was introduced: its job is dropped, and one with fewer tasks was submitted under its
/// ID.
#[test]
fn runs_that_a_snapshot_without_counts_holds_keep_their_job() {
    let worker = |id| ModelWorker::new(id, 64, load::need, load::work_ms);
    let queues = vec![queue("tally", 2, 4.0, 3_000)];
    let mut model = Model::new(queues, vec![worker("w0"), worker("w1")], 0);
    model.run(50);
    let key = load::key(Kind::Tally, 1);
    let job = JobKey(key);
    model.submit(key, "tally", load::spec(Kind::Tally, 1));
    model.run(500);
    let mut snapshot = serde_json::to_value(&model.state).unwrap();
    let known = snapshot["jobs"][key.to_string()].as_object_mut().unwrap();
    assert!(known.remove("held_runs").is_some());
    assert!(known.remove("is_past_retention").is_some());
    let mut state: QueueState = serde_json::from_value(snapshot).unwrap();

    let runs = |state: &QueueState| -> Vec<(Arc<str>, TaskKey, u32)> {
        let workers = state.workers();
        let runs = workers.flat_map(|worker| {
            let runs = worker.runs.iter();
            runs.map(|(task, held)| (worker.record.id.clone(), *task, held.run))
        });
        runs.collect()
    };
    let held = runs(&state);
    assert!(held.len() > 1);
    let other = JobKey(load::key(Kind::Tally, 1_000));
    let mut commands = vec![
        (500, QueueCommand::Cancel { job }),
        (LATER_MS, submit(other, 1)),
        (LATER_MS, QueueCommand::Cancel { job: other }),
        (LATER_MS, submit(job, 1)),
    ];
    for (worker, task, run) in held {
        let end = RunEnd {
            task,
            run,
            kind: EndKind::Done,
            checkpoint: None,
        };
        let end = QueueCommand::End {
            worker,
            incarnation: FIRST_INCARNATION,
            upto: 0,
            ends: vec![end],
        };
        commands.push((LATER_MS, end));
    }
    for (index, (at_unix_ms, command)) in (1_000..).zip(&commands) {
        state.apply(index, *at_unix_ms, command, &mut Vec::new());
    }
    assert_eq!(runs(&state), []);
}
