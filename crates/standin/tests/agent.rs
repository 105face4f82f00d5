//! Tests the lease and attempt rules of the simulated worker. A worker that broke them would cause
//! violations that the system under test is not responsible for, or hide violations of its own.

use datadriven::TestCase;
use sapphirepost_protocol::worker::AttemptKey;
use sapphirepost_protocol::worker::TaskStatus;
use sapphirepost_protocol::worker::WorkerCommand;
use sapphirepost_protocol::worker::WorkerSpec;
use sapphirepost_protocol::worker::WorkerSync;
use sapphirepost_protocol::worker::WorkerSyncReply;
use sapphirepost_standin::agent::Agent;
use sapphirepost_standin::agent::AgentConfig;
use sapphirepost_standin::journal::JournalEvent;
use sapphirepost_types::Incarnation;
use sapphirepost_types::Millis;
use sapphirepost_types::Name;
use sapphirepost_types::OnPartition;
use sapphirepost_types::Resources;

fn new_agent(case: &TestCase) -> Agent {
    Agent::new(AgentConfig {
        worker: Name::new("w").unwrap(),
        incarnation: Incarnation(1),
        spec: WorkerSpec {
            failure_domain: Name::new("a").unwrap(),
            rack: Name::new("r").unwrap(),
            capacity: Resources::new(64_000, 1000, 0),
        },
        usage_percent: 50,
        stop_ms: 10,
        checkpoint_ms: 100,
        fail_all: case.args.contains_key("fail_all"),
        ignore_stops: case.args.contains_key("ignore_stops"),
    })
}

fn number_argument(case: &TestCase, name: &str) -> u64 {
    case.args[name][0].parse().unwrap()
}

/// Parses a command: `start <task> <attempt> keep|move [payload]`, `stop <task> <attempt> [checkpoint]`,
/// `throttle <task> <attempt> <percent>`.
fn parse_command(line: &str) -> WorkerCommand {
    let mut words = line.split(' ');
    let verb = words.next().unwrap();
    let task = words.next().unwrap().parse().unwrap();
    let attempt = words.next().unwrap().parse().unwrap();
    match verb {
        "start" => WorkerCommand::Start {
            task,
            attempt,
            job: Name::new("job").unwrap(),
            resources: Resources::new(1000, 10, 0),
            on_partition: match words.next().unwrap() {
                "keep" => OnPartition::Keep,
                _ => OnPartition::Move,
            },
            payload: words.collect::<Vec<_>>().join(" "),
            run_time_ms: None,
        },
        "stop" => WorkerCommand::Stop {
            task,
            attempt,
            checkpoint: words.next() == Some("checkpoint"),
        },
        _ => WorkerCommand::Throttle {
            task,
            attempt,
            percent: words.next().unwrap().parse().unwrap(),
        },
    }
}

fn parse_reply(case: &TestCase) -> WorkerSyncReply {
    let acknowledged = case.args.get("ack").map_or(&[][..], Vec::as_slice);
    WorkerSyncReply {
        sequence: number_argument(case, "seq"),
        lease_ms: number_argument(case, "lease"),
        send_spec: false,
        send_full: case.args.contains_key("send_full"),
        commands: case.input.lines().map(parse_command).collect(),
        acknowledged: acknowledged
            .iter()
            .map(|key| {
                let (task, attempt) = key.split_once('.').unwrap();
                AttemptKey {
                    task: task.parse().unwrap(),
                    attempt: attempt.parse().unwrap(),
                }
            })
            .collect(),
    }
}

fn format_sync(sync: &WorkerSync) -> String {
    let spec = if sync.spec.is_some() { " spec" } else { "" };
    let full = if sync.full { " full" } else { "" };
    let mut text = format!("sync {}{spec}{full}\n", sync.sequence);
    for report in &sync.tasks {
        let status = match &report.status {
            TaskStatus::Running => "running".to_owned(),
            TaskStatus::Finished => "finished".to_owned(),
            TaskStatus::Failed { .. } => "failed".to_owned(),
            TaskStatus::Stopped { checkpointed } => format!("stopped checkpointed={checkpointed}"),
        };
        text += &format!("  {} {} {status}\n", report.task, report.attempt);
    }
    text
}

fn format_journal(agent: &mut Agent) -> String {
    let format_event = |event: JournalEvent| match event {
        JournalEvent::TaskStarted { task, attempt, .. } => format!("started {task} {attempt}\n"),
        JournalEvent::TaskStopped {
            task,
            attempt,
            reason,
            ..
        } => {
            format!("ended {task} {attempt} {reason}\n")
        }
        _ => String::new(),
    };
    agent.take_journal().into_iter().map(format_event).collect()
}

#[test]
fn scenarios() {
    datadriven::walk("tests/agent", |file| {
        let mut worker: Option<Agent> = None;
        file.run(|case| {
            if case.directive == "new" {
                worker = Some(new_agent(case));
                return String::new();
            }
            let agent = worker.as_mut().unwrap();
            let now = Millis(number_argument(case, "at"));
            let output = match case.directive.as_str() {
                "sync" => format_sync(&agent.next_sync(now, 1000)),
                "reply" => {
                    agent.handle_reply(now, parse_reply(case));
                    String::new()
                }
                _ => {
                    agent.tick(now);
                    String::new()
                }
            };
            format_journal(agent) + &output
        });
    });
}
