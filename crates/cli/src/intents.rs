//! Converts command line arguments to intents, the changes that an operator requests.

use std::time::Duration;

use sapphirepost_types::Intent;
use sapphirepost_types::JobKind;
use sapphirepost_types::JobSpec;
use sapphirepost_types::OnPartition;
use sapphirepost_types::Priority;

use crate::arguments::ConfigSetArguments;
use crate::arguments::QuotaArguments;
use crate::arguments::RunKind;
use crate::change;
use crate::change::ChangeOptions;
use crate::failure::Failure;

macro_rules! job_intent {
    ($arguments:ident, $kind:expr) => {{
        let options = ChangeOptions {
            yes: $arguments.yes,
            operation: $arguments.operation,
        };
        let spec = JobSpec {
            name: $arguments.name,
            team: $arguments.team,
            kind: $kind,
            tasks: $arguments.tasks,
            resources: $arguments.resources,
            priority: priority($arguments.urgent),
            on_partition: parse_on_partition($arguments.on_partition)?,
            checkpoint_cost_ms: parse_duration_ms("checkpoint-cost", $arguments.checkpoint_cost)?,
            payload: $arguments.payload,
        };
        (Intent::Run(spec), options)
    }};
}

/// Converts the arguments of `run`. An invalid duration or `--on-partition` value is a usage error.
pub(crate) fn run(kind: RunKind) -> Result<(Intent, ChangeOptions), Failure> {
    Ok(match kind {
        RunKind::Service(arguments) => job_intent!(arguments, JobKind::Service),
        RunKind::Batch(mut arguments) => {
            // The deadline is relative to the time in the operation ID, so that a repeated command
            // with the same `--operation` sends the same deadline.
            let operation = arguments.operation.unwrap_or_else(change::new_operation_id);
            let deadline_ms = parse_duration_ms("deadline", arguments.deadline)?;
            let kind = JobKind::Batch {
                deadline_unix_ms: deadline_ms.map(|ms| operation.unix_ms() + ms),
                run_time_ms: parse_required_ms("run-time", arguments.run_time)?,
            };
            arguments.operation = Some(operation);
            job_intent!(arguments, kind)
        }
        RunKind::Gang(arguments) => {
            let run_time_ms = parse_required_ms("run-time", arguments.run_time)?;
            job_intent!(arguments, JobKind::Gang { run_time_ms })
        }
    })
}

/// Converts the arguments of `quota`, which needs exactly one of `--limit` and `--unlimited`.
pub(crate) fn quota(arguments: QuotaArguments) -> Result<(Intent, ChangeOptions), Failure> {
    if arguments.limit.is_some() == arguments.unlimited {
        let message = "quota: give either --limit or --unlimited";
        return Err(Failure::Usage(message.to_owned()));
    }
    let intent = Intent::SetQuota {
        team: arguments.team,
        limit: arguments.limit,
    };
    let options = ChangeOptions {
        yes: arguments.yes,
        operation: arguments.operation,
    };
    Ok((intent, options))
}

/// Converts the arguments of `config set`, which needs exactly one of a value and `--remove`.
pub(crate) fn set_config(
    arguments: ConfigSetArguments,
) -> Result<(Intent, ChangeOptions), Failure> {
    if arguments.value.is_some() == arguments.remove {
        let message = "config set: give either a value or --remove";
        return Err(Failure::Usage(message.to_owned()));
    }
    let intent = Intent::SetConfig {
        key: arguments.key,
        value: arguments.value,
        expected: arguments.expected,
    };
    let options = ChangeOptions {
        yes: arguments.yes,
        operation: arguments.operation,
    };
    Ok((intent, options))
}

fn priority(urgent: bool) -> Priority {
    if urgent {
        Priority::Urgent
    } else {
        Priority::Normal
    }
}

fn parse_on_partition(text: Option<String>) -> Result<Option<OnPartition>, Failure> {
    match text.as_deref() {
        None => Ok(None),
        Some("keep") => Ok(Some(OnPartition::Keep)),
        Some("move") => Ok(Some(OnPartition::Move)),
        Some(other) => Err(Failure::Usage(format!(
            "--on-partition: expected `keep` or `move`, got `{other}`"
        ))),
    }
}

fn parse_required_ms(name: &str, text: String) -> Result<u64, Failure> {
    Ok(parse_duration_ms(name, Some(text))?.unwrap_or_default())
}

fn parse_duration_ms(name: &str, text: Option<String>) -> Result<Option<u64>, Failure> {
    let Some(text) = text else {
        return Ok(None);
    };
    let duration: Duration = humantime::parse_duration(&text)
        .map_err(|error| Failure::Usage(format!("--{name}: `{text}`: {error}")))?;
    Ok(Some(duration.as_millis() as u64))
}
