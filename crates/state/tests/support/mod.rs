//! [`Harness`], which applies commands to a state, with short forms for the common commands.

#![allow(dead_code)]

use sapphirepost_protocol::worker::TaskReport;
use sapphirepost_protocol::worker::TaskStatus;
use sapphirepost_protocol::worker::WorkerSpec;
use sapphirepost_state::Command;
use sapphirepost_state::CommandResult;
use sapphirepost_state::Outcome;
use sapphirepost_state::Placement;
use sapphirepost_state::PlacementError;
use sapphirepost_state::PlanDraft;
use sapphirepost_state::Request;
use sapphirepost_state::State;
use sapphirepost_types::Attempt;
use sapphirepost_types::Incarnation;
use sapphirepost_types::Intent;
use sapphirepost_types::JobKind;
use sapphirepost_types::JobSpec;
use sapphirepost_types::Name;
use sapphirepost_types::ObjectKey;
use sapphirepost_types::OperationId;
use sapphirepost_types::PlanId;
use sapphirepost_types::Priority;
use sapphirepost_types::Resources;
use sapphirepost_types::TaskId;
use sapphirepost_types::VersionedObject;
use sapphirepost_types::WorkerId;
use smallvec::smallvec;

pub const START_UNIX_MS: u64 = 1_700_000_000_000;
pub const BATCH: JobKind = JobKind::Batch {
    deadline_unix_ms: None,
    run_time_ms: 1_000,
};
pub const GANG: JobKind = JobKind::Gang { run_time_ms: 1_000 };

pub struct Harness {
    pub state: State,
    /// The time of the next command, in milliseconds after [`START_UNIX_MS`].
    pub at_ms: u64,
    index: u64,
    operations: u64,
}

impl Harness {
    pub fn new() -> Harness {
        Harness {
            state: State::new(),
            at_ms: 0,
            index: 0,
            operations: 0,
        }
    }

    pub fn apply(&mut self, request: Request) -> Outcome {
        self.index += 1;
        let command = Command {
            at_unix_ms: START_UNIX_MS + self.at_ms,
            request,
        };
        self.state.apply(self.index, &command)
    }

    pub fn next_operation(&mut self) -> OperationId {
        self.operations += 1;
        OperationId::new(START_UNIX_MS + self.at_ms, &self.operations.to_string()).unwrap()
    }

    pub fn record_plan(&mut self, intent: Intent) -> PlanId {
        let operation = self.next_operation();
        match self
            .apply(record_plan_request(&self.state, &operation, intent))
            .result
        {
            CommandResult::Planned(plan) => plan,
            other => panic!("{other:?}"),
        }
    }

    pub fn confirm(&mut self, plan: PlanId) -> Outcome {
        let operation = self.next_operation();
        self.apply(Request::ConfirmPlan { operation, plan })
    }

    pub fn plan_and_confirm(&mut self, intent: Intent) -> Outcome {
        let plan = self.record_plan(intent);
        let outcome = self.confirm(plan);
        assert!(
            matches!(outcome.result, CommandResult::Confirmed(_)),
            "{outcome:?}"
        );
        outcome
    }

    pub fn run_job(&mut self, job: &str, kind: JobKind, tasks: u32) {
        self.plan_and_confirm(Intent::Run(spec(job, kind, tasks)));
    }

    /// Registers and connects a worker with capacity for four tasks of [`spec`].
    pub fn add_worker(&mut self, worker: &str) -> WorkerId {
        self.register(worker, 1);
        let id = self.state.workers().id(&name(worker)).unwrap();
        self.report(id, 1, 1, true, &[]);
        id
    }

    pub fn register(&mut self, worker: &str, incarnation: u64) -> Outcome {
        self.apply(Request::RegisterWorker {
            worker: name(worker),
            incarnation: Incarnation(incarnation),
            spec: WorkerSpec {
                failure_domain: name("a"),
                rack: name("r"),
                capacity: Resources::new(4_000, 4_000, 0),
            },
        })
    }

    pub fn report(
        &mut self,
        worker: WorkerId,
        incarnation: u64,
        sequence: u64,
        full: bool,
        tasks: &[(u32, u32, TaskStatus)],
    ) -> Outcome {
        let tasks = tasks.iter().map(|(task, attempt, status)| TaskReport {
            task: TaskId(*task),
            attempt: Attempt(*attempt),
            status: status.clone(),
        });
        self.apply(Request::ReportTasks {
            worker,
            incarnation: Incarnation(incarnation),
            sequence,
            full,
            tasks: tasks.collect(),
        })
    }

    /// Places one group of tasks, given as task, attempt and worker.
    pub fn place(&mut self, group: &[(u32, u32, WorkerId)]) -> Result<(), PlacementError> {
        let group = group.iter().map(|(task, attempt, worker)| Placement {
            task: TaskId(*task),
            attempt: Attempt(*attempt),
            worker: *worker,
        });
        let groups = vec![group.collect()];
        match self.apply(Request::PlaceTasks { groups }).result {
            CommandResult::Placed(results) => results[0],
            other => panic!("{other:?}"),
        }
    }

    pub fn expire_worker(&mut self, worker: WorkerId) {
        let incarnation = self.state.workers().get(worker).unwrap().incarnation;
        self.apply(Request::ExpireWorker {
            worker,
            incarnation,
        });
    }

    pub fn used_resources(&self, worker: WorkerId) -> Resources {
        self.state.workers().get(worker).unwrap().used
    }
}

pub fn record_plan_request(state: &State, operation: &OperationId, intent: Intent) -> Request {
    let object = object_of(&intent);
    let (version, _) = state.version_of(&object);
    Request::RecordPlan {
        operation: Some(operation.clone()),
        draft: Box::new(PlanDraft {
            intent,
            rests_on: smallvec![VersionedObject { object, version }],
            effects: Vec::new(),
            warnings: Vec::new(),
        }),
    }
}

fn object_of(intent: &Intent) -> ObjectKey {
    match intent {
        Intent::Run(spec) => ObjectKey::Job(spec.name.clone()),
        Intent::Resize { job, .. } | Intent::Cancel { job } => ObjectKey::Job(job.clone()),
        Intent::Drain { worker, .. }
        | Intent::Undrain { worker }
        | Intent::DeclareLost { worker } => ObjectKey::Worker(worker.clone()),
        Intent::SetQuota { team, .. } => ObjectKey::Quota(team.clone()),
        Intent::SetConfig { .. } => ObjectKey::Config,
    }
}

pub fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

pub fn spec(job: &str, kind: JobKind, tasks: u32) -> JobSpec {
    JobSpec {
        name: name(job),
        team: name("team"),
        kind,
        tasks,
        resources: Resources::new(1_000, 1_000, 0),
        priority: Priority::Normal,
        on_partition: None,
        checkpoint_cost_ms: None,
        payload: String::new(),
    }
}

pub fn set_config(key: &str, value: &str) -> Intent {
    Intent::SetConfig {
        key: name(key),
        value: Some(value.to_owned()),
        expected: None,
    }
}

pub const RUNNING: TaskStatus = TaskStatus::Running;
pub const FINISHED: TaskStatus = TaskStatus::Finished;
pub const STOPPED: TaskStatus = TaskStatus::Stopped {
    checkpointed: false,
};

pub fn failed() -> TaskStatus {
    TaskStatus::Failed {
        reason: "exit code 1".to_owned(),
    }
}
