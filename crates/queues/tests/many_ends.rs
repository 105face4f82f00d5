//! Workers with more ends than one reply to a poll lists.

mod model;

use std::sync::Arc;

use sapphirepost_queues::JobKey;
use sapphirepost_queues::JobPhase;
use sapphirepost_queues::StepSpec;
use sapphirepost_queues::SubmittedSpec;
use sapphirepost_queues::TaskKey;
use sapphirepost_types::Resources;

use crate::model::Model;
use crate::model::queue;
use crate::model::worker::ModelWorker;

const JOB: JobKey = JobKey(1);
/// More than a reply to a poll lists as ended.
const TASKS: u32 = 600;
const WORK_MS: u64 = 3_000;
/// Shorter than a lease, so that no run is written off.
const CUT_MS: u64 = 2_500;

fn need(_: TaskKey) -> Resources {
    Resources::new(100, 100, 0)
}

fn work_ms(_: TaskKey) -> u64 {
    WORK_MS
}

/// Guards against tasks that start again although they are done: a new leader that polls their
/// worker for the first time takes runs for never started whose ends the next reply lists.
#[test]
fn runs_whose_ends_the_next_reply_lists_are_not_started_again() {
    for changes_leader in [false, true] {
        let worker = |name| ModelWorker::new(name, 64, need, work_ms);
        let mut model = Model::new(
            vec![queue("q", 0, 4.0, 3_000)],
            vec![worker("w0"), worker("w1")],
            0,
        );
        model.cut_off("w1");
        model.run(1_000);
        let step = StepSpec {
            count: TASKS,
            resources: Resources::new(100, 100, 0),
            estimate_ms: WORK_MS,
            ..StepSpec::default()
        };
        let spec = SubmittedSpec {
            payload: Arc::from("payload"),
            steps: vec![step],
        };
        model.submit(JOB.0, "q", spec);
        model.run(WORK_MS - 1_000);
        assert_eq!(model.workers["w0"].running.len(), TASKS as usize);
        model.reconnect("w1");
        model.run(300);
        model.cut_off("w0");
        model.run(CUT_MS);
        assert!(model.workers["w0"].running.is_empty());
        if changes_leader {
            model.change_leader();
            model.run(100);
        }
        model.reconnect("w0");
        model.run_until_done(20_000);
        let phase = model.jobs[&JOB].ended.map(|(_, phase)| phase);
        assert_eq!(phase, Some(JobPhase::Completed));
        assert_eq!(
            model.starts,
            u64::from(TASKS),
            "new leader: {changes_leader}"
        );
    }
}
