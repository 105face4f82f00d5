//! Starts on workers that have announced that they leave.

mod model;

use std::sync::Arc;

use sapphirepost_queues::JobKey;
use sapphirepost_queues::JobPhase;
use sapphirepost_queues::Queue;
use sapphirepost_queues::QueueCommand;

use crate::model::COMMIT_MS;
use crate::model::Model;
use crate::model::STEP_MS;
use crate::model::load;
use crate::model::load::Kind;
use crate::model::queue;
use crate::model::worker::ModelWorker;

const WORKERS: usize = 6;
/// The workers that drain; the others have room for each job.
const DRAINING: usize = 3;
/// How long the disk takes for the commit of a start.
const SLOW_COMMIT_MS: u64 = 3_000;

fn queues() -> Vec<Queue> {
    vec![queue("gang", 1, 2.2, 1_000), queue("tally", 2, 4.0, 3_000)]
}

fn model() -> Model {
    let worker = |number| ModelWorker::new(&format!("w{number}"), 64, load::need, load::work_ms);
    let mut model = Model::new(queues(), (0..WORKERS).map(worker).collect(), 0);
    model.run(50);
    model
}

/// Proposes that the first workers drain, and returns their IDs.
fn propose_drain(model: &mut Model) -> Vec<Arc<str>> {
    let draining: Vec<Arc<str>> = model.workers.keys().take(DRAINING).cloned().collect();
    for id in &draining {
        let worker = model.workers.get_mut(id).unwrap();
        worker.record.is_draining = true;
        let record = Box::new(worker.record.clone());
        model.propose(QueueCommand::PutWorker(record));
    }
    draining
}

/// Guards against a start that is committed and sent seconds after the drain of its worker was
/// acknowledged, since the disk was slow in between.
#[test]
fn a_start_that_is_committed_after_the_drain_of_its_worker_is_not_sent() {
    for kind in [Kind::Tally, Kind::Gang] {
        for number in 1..6 {
            let case = format!("{kind:?} {number}");
            let mut model = model();
            let name = if kind == Kind::Gang { "gang" } else { "tally" };
            let job = JobKey(load::key(kind, number));
            model.submit(job.0, name, load::spec(kind, number));
            // The drain precedes the start in the log, and the start is proposed before the drain
            // is applied.
            model.commit_ms = COMMIT_MS + 3 * STEP_MS;
            let draining = propose_drain(&mut model);
            model.commit_ms = SLOW_COMMIT_MS;
            for _ in 0..2 * SLOW_COMMIT_MS / STEP_MS {
                model.run(STEP_MS);
                for id in &draining {
                    let running = &model.workers[id].running;
                    assert!(running.is_empty(), "{case}: {id} at {}", model.now);
                }
            }
            model.commit_ms = COMMIT_MS;
            model.run_until_done(60_000);
            let phase = model.jobs[&job].ended.map(|(_, phase)| phase);
            assert_eq!(phase, Some(JobPhase::Completed), "{case}");
        }
    }
}
