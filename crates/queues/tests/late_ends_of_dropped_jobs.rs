//! Late ends of a job that was dropped, after another job was submitted under its ID.

mod model;

use std::sync::Arc;

use sapphirepost_queues::EndKind;
use sapphirepost_queues::JobKey;
use sapphirepost_queues::LostRuns;
use sapphirepost_queues::Placement;
use sapphirepost_queues::QueueCommand;
use sapphirepost_queues::QueueState;
use sapphirepost_queues::RunEnd;
use sapphirepost_queues::StepKey;
use sapphirepost_queues::TaskKey;
use sapphirepost_queues::job::TaskPhase;

use crate::model::Model;
use crate::model::load;
use crate::model::load::Kind;
use crate::model::queue;
use crate::model::restart::FIRST_INCARNATION;
use crate::model::worker::ModelWorker;

const JOB: JobKey = JobKey(1);
const OTHER_JOB: JobKey = JobKey(2);
const CUT_OFF: &str = "w0";
const OTHER: &str = "w1";
/// After the retention of all jobs of the test.
const LATER_MS: u64 = 3_600_000;
const TASK: TaskKey = TaskKey {
    step: StepKey { job: JOB, step: 0 },
    index: 0,
};

fn submit(job: JobKey) -> QueueCommand {
    QueueCommand::Submit {
        job,
        queue: Arc::new(queue("tally", 2, 4.0, 3_000)),
        spec: Arc::new(load::spec(Kind::Tally, 1)),
        tenant: None,
    }
}

fn start(worker: &str) -> QueueCommand {
    let placement = Placement {
        index: 0,
        run: 1,
        worker: Arc::from(worker),
        incarnation: FIRST_INCARNATION,
    };
    QueueCommand::Start {
        step: TASK.step,
        placements: vec![placement],
    }
}

/// A state in which run 1 of a task was written off with its worker, the job was cancelled and
/// dropped, another job was submitted under its ID, and its run 1 was released by another worker,
/// since it had not begun there.
fn state_with_job_under_a_used_id() -> QueueState {
    let worker = |id| ModelWorker::new(id, 64, load::need, load::work_ms);
    let model = Model::new(
        vec![queue("tally", 2, 4.0, 3_000)],
        vec![worker(CUT_OFF), worker(OTHER)],
        0,
    );
    let mut state = model.state.clone();
    let expire = QueueCommand::Expire {
        worker: Arc::from(CUT_OFF),
        incarnation: FIRST_INCARNATION,
        checkpoints: Vec::new(),
        lost: LostRuns::default(),
        kept: Vec::new(),
    };
    let release = QueueCommand::Release {
        worker: Arc::from(OTHER),
        incarnation: FIRST_INCARNATION,
        task: TASK,
        run: 1,
    };
    let commands = [
        (0, submit(JOB)),
        (0, start(CUT_OFF)),
        (0, expire),
        (0, QueueCommand::Cancel { job: JOB }),
        (LATER_MS, submit(OTHER_JOB)),
        (LATER_MS, QueueCommand::Cancel { job: OTHER_JOB }),
        (LATER_MS, submit(JOB)),
        (LATER_MS, start(OTHER)),
        (LATER_MS, release),
    ];
    for (index, (at_unix_ms, command)) in (100..).zip(&commands) {
        state.apply(index, *at_unix_ms, command, &mut Vec::new());
    }
    let task = state.job(JOB).unwrap().task(TASK).unwrap();
    assert_eq!((task.phase, task.run), (TaskPhase::Waiting, 1));
    state
}

fn report_end(state: &mut QueueState, kind: EndKind) {
    let end = RunEnd {
        task: TASK,
        run: 1,
        kind,
        checkpoint: Some(Arc::from("of the dropped job")),
    };
    let end = QueueCommand::End {
        worker: Arc::from(CUT_OFF),
        incarnation: FIRST_INCARNATION,
        upto: 1,
        ends: vec![end],
    };
    state.apply(200, LATER_MS, &end, &mut Vec::new());
}

/// Guards against a task that counts as done without having run: the run of a dropped job with the
/// same ID had been written off, and its end is learnt late.
#[test]
fn a_late_done_end_of_a_dropped_job_does_not_count_for_a_job_under_its_id() {
    let mut state = state_with_job_under_a_used_id();
    report_end(&mut state, EndKind::Done);
    let task = state.job(JOB).unwrap().task(TASK).unwrap();
    assert_eq!(task.phase, TaskPhase::Waiting);
}

/// Guards against a task that resumes from the checkpoint of a dropped job with the same ID.
#[test]
fn a_late_checkpoint_of_a_dropped_job_is_not_taken_over_by_a_job_under_its_id() {
    let mut state = state_with_job_under_a_used_id();
    report_end(&mut state, EndKind::Expired);
    let task = state.job(JOB).unwrap().task(TASK).unwrap();
    assert_eq!(task.checkpoint, None);
}
