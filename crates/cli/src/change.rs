//! Changes: propose an intent, show its plan, and confirm it if asked to.

use rand::Rng;
use sapphirepost_process::SystemClock;
use sapphirepost_protocol::operator::Confirm;
use sapphirepost_protocol::operator::Confirmed;
use sapphirepost_protocol::operator::OperatorReply;
use sapphirepost_protocol::operator::Propose;
use sapphirepost_protocol::operator_http;
use sapphirepost_types::Clock;
use sapphirepost_types::Intent;
use sapphirepost_types::OperationId;
use sapphirepost_types::Plan;
use sapphirepost_types::PlanId;
use serde::Serialize;

use crate::client;
use crate::client::Resend;
use crate::failure::Failure;
use crate::settings::Settings;
use crate::show;

/// Whether and under which operation ID to carry out a change.
pub(crate) struct Options {
    pub(crate) yes: bool,
    pub(crate) operation: Option<OperationId>,
}

#[derive(Serialize)]
struct Output<'a> {
    operation: &'a OperationId,
    plan: &'a Plan,
    confirmed: Option<&'a Confirmed>,
}

/// Proposes an intent, shows the plan, and confirms it with `--yes`.
pub(crate) fn propose(
    settings: &Settings,
    intent: Intent,
    options: Options,
) -> Result<Option<Confirmed>, Failure> {
    let operation = options.operation.unwrap_or_else(new_operation);
    let confirmation = confirmation_of(&operation)?;
    announce(settings, &operation);
    let body = Propose {
        operation: operation.clone(),
        intent,
    };
    let reply = client::post(settings, operator_http::PLANS, &body, Resend::Allowed)?;
    let OperatorReply::Plan(plan) = reply else {
        return Err(unexpected(&reply));
    };
    if !settings.json {
        print!("{}", show::plan(&plan));
    }
    let confirmed = match options.yes {
        true => Some(send_confirmation(settings, plan.id, confirmation)?),
        false => None,
    };
    if settings.json {
        print_json(&Output {
            operation: &operation,
            plan: &plan,
            confirmed: confirmed.as_ref(),
        });
        return Ok(confirmed);
    }
    match &confirmed {
        Some(confirmed) => print!("{}", show::confirmed(confirmed)),
        None => println!("confirm with: sapphirepost confirm {}", plan.id),
    }
    Ok(confirmed)
}

/// Confirms a plan.
pub(crate) fn confirm(
    settings: &Settings,
    plan: PlanId,
    operation: Option<OperationId>,
) -> Result<(), Failure> {
    let operation = operation.unwrap_or_else(new_operation);
    announce(settings, &operation);
    let confirmed = send_confirmation(settings, plan, operation)?;
    if settings.json {
        print_json(&confirmed);
    } else {
        print!("{}", show::confirmed(&confirmed));
    }
    Ok(())
}

fn send_confirmation(
    settings: &Settings,
    plan: PlanId,
    operation: OperationId,
) -> Result<Confirmed, Failure> {
    let path = format!("{}/{plan}/confirm", operator_http::PLANS);
    let body = Confirm { operation, plan };
    match client::post(settings, &path, &body, Resend::Allowed)? {
        OperatorReply::Confirmed(confirmed) => Ok(confirmed),
        reply => Err(unexpected(&reply)),
    }
}

/// Shown before anything is sent, so that it is known even if the program is interrupted.
fn announce(settings: &Settings, operation: &OperationId) {
    if settings.json {
        eprintln!("operation {operation}");
    } else {
        println!("operation {operation}");
    }
}

/// A new operation ID with the current time.
pub(crate) fn new_operation() -> OperationId {
    let random: u64 = rand::rng().random();
    let id = OperationId::new(SystemClock::new().unix_ms(), &format!("{random:016x}"));
    id.unwrap_or_else(|error| unreachable!("hexadecimal digits are allowed: {error}"))
}

/// A proposal and the confirmation that follows it are two operations; the second ID is derived
/// from the first, so that one `--operation` repeats both.
fn confirmation_of(operation: &OperationId) -> Result<OperationId, Failure> {
    format!("{operation}-confirm")
        .parse()
        .map_err(|error| Failure::Usage(format!("--operation: {error}")))
}

/// The failure for a reply of another kind than the request asks for.
pub(crate) fn unexpected(reply: &OperatorReply) -> Failure {
    Failure::Unknown(format!("unexpected answer: {reply:?}"))
}

/// Prints a value as JSON.
pub(crate) fn print_json<T: Serialize>(value: &T) {
    match serde_json::to_string_pretty(value) {
        Ok(text) => println!("{text}"),
        Err(error) => eprintln!("sapphirepost: {error}"),
    }
}
