//! Intents from arguments.

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
use crate::change::Options;
use crate::failure::Failure;

macro_rules! job {
    ($arguments:ident, $kind:expr) => {{
        let options = Options {
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
            on_partition: on_partition($arguments.on_partition)?,
            checkpoint_cost_ms: duration_ms("checkpoint-cost", $arguments.checkpoint_cost)?,
            payload: $arguments.payload,
        };
        (Intent::Run(spec), options)
    }};
}

/// The intent of `run`.
pub(crate) fn run(kind: RunKind) -> Result<(Intent, Options), Failure> {
    Ok(match kind {
        RunKind::Service(arguments) => job!(arguments, JobKind::Service),
        RunKind::Batch(mut arguments) => {
            // The deadline counts from the time in the operation ID, so that a repeated command
            // states the same deadline.
            let operation = arguments.operation.unwrap_or_else(change::new_operation);
            let deadline_ms = duration_ms("deadline", arguments.deadline)?;
            let kind = JobKind::Batch {
                deadline_unix_ms: deadline_ms.map(|ms| operation.unix_ms() + ms),
                run_time_ms: required_ms("run-time", arguments.run_time)?,
            };
            arguments.operation = Some(operation);
            job!(arguments, kind)
        }
        RunKind::Gang(arguments) => {
            let run_time_ms = required_ms("run-time", arguments.run_time)?;
            job!(arguments, JobKind::Gang { run_time_ms })
        }
    })
}

/// The intent of `quota`.
pub(crate) fn quota(arguments: QuotaArguments) -> Result<(Intent, Options), Failure> {
    if arguments.limit.is_some() == arguments.unlimited {
        let message = "quota: give either --limit or --unlimited";
        return Err(Failure::Usage(message.to_owned()));
    }
    let intent = Intent::SetQuota {
        team: arguments.team,
        limit: arguments.limit,
    };
    let options = Options {
        yes: arguments.yes,
        operation: arguments.operation,
    };
    Ok((intent, options))
}

/// The intent of `config set`.
pub(crate) fn set_config(arguments: ConfigSetArguments) -> Result<(Intent, Options), Failure> {
    if arguments.value.is_some() == arguments.remove {
        let message = "config set: give either a value or --remove";
        return Err(Failure::Usage(message.to_owned()));
    }
    let intent = Intent::SetConfig {
        key: arguments.key,
        value: arguments.value,
        expected: arguments.expected,
    };
    let options = Options {
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

fn on_partition(text: Option<String>) -> Result<Option<OnPartition>, Failure> {
    match text.as_deref() {
        None => Ok(None),
        Some("keep") => Ok(Some(OnPartition::Keep)),
        Some("move") => Ok(Some(OnPartition::Move)),
        Some(other) => Err(Failure::Usage(format!(
            "--on-partition: expected `keep` or `move`, got `{other}`"
        ))),
    }
}

fn required_ms(name: &str, text: String) -> Result<u64, Failure> {
    Ok(duration_ms(name, Some(text))?.unwrap_or_default())
}

fn duration_ms(name: &str, text: Option<String>) -> Result<Option<u64>, Failure> {
    let Some(text) = text else {
        return Ok(None);
    };
    let duration: Duration = humantime::parse_duration(&text)
        .map_err(|error| Failure::Usage(format!("--{name}: `{text}`: {error}")))?;
    Ok(Some(duration.as_millis() as u64))
}
