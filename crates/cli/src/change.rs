//! Changes in two steps: a proposal of an intent, which returns a plan, and its confirmation.

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

/// Options that all changes have.
pub(crate) struct ChangeOptions {
    /// Whether to confirm the plan at once.
    pub(crate) yes: bool,
    /// Operation ID of the proposal; a new one is generated if it is absent.
    pub(crate) operation: Option<OperationId>,
}

/// The JSON output of a change.
#[derive(Serialize)]
struct Output<'a> {
    operation: &'a OperationId,
    plan: &'a Plan,
    confirmed: Option<&'a Confirmed>,
}

/// Proposes an intent and prints its plan. With `--yes` it also confirms the plan and returns the
/// confirmation.
pub(crate) fn propose(
    settings: &Settings,
    intent: Intent,
    options: ChangeOptions,
) -> Result<Option<Confirmed>, Failure> {
    let operation = options.operation.unwrap_or_else(new_operation_id);
    let confirmation_id = confirmation_id(&operation)?;
    print_operation_id(settings, &operation);
    let body = Propose {
        operation: operation.clone(),
        intent,
    };
    let reply = client::post(settings, operator_http::PLANS, &body, Resend::Allowed)?;
    let OperatorReply::Plan(plan) = reply else {
        return Err(unexpected_reply(&reply));
    };
    if !settings.json {
        print!("{}", show::plan(&plan));
    }
    let confirmed = match options.yes {
        true => Some(send_confirmation(settings, plan.id, confirmation_id)?),
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

/// Confirms a plan and prints the result.
pub(crate) fn confirm(
    settings: &Settings,
    plan: PlanId,
    operation: Option<OperationId>,
) -> Result<(), Failure> {
    let operation = operation.unwrap_or_else(new_operation_id);
    print_operation_id(settings, &operation);
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
        reply => Err(unexpected_reply(&reply)),
    }
}

/// Prints the operation ID. This happens before the first request, so that the operator can repeat
/// the command even if the program is interrupted.
fn print_operation_id(settings: &Settings, operation: &OperationId) {
    if settings.json {
        eprintln!("operation {operation}");
    } else {
        println!("operation {operation}");
    }
}

/// Generates an operation ID from the current time and a random number.
pub(crate) fn new_operation_id() -> OperationId {
    let random: u64 = rand::rng().random();
    let id = OperationId::new(SystemClock::new().unix_ms(), &format!("{random:016x}"));
    id.unwrap_or_else(|error| unreachable!("hexadecimal digits are allowed: {error}"))
}

/// Derives the operation ID of a confirmation from the ID of its proposal. They are two operations,
/// and the derived ID allows one `--operation` to repeat both.
fn confirmation_id(operation: &OperationId) -> Result<OperationId, Failure> {
    format!("{operation}-confirm")
        .parse()
        .map_err(|error| Failure::Usage(format!("--operation: {error}")))
}

/// The failure for a reply whose kind does not match the request.
pub(crate) fn unexpected_reply(reply: &OperatorReply) -> Failure {
    Failure::OutcomeUnknown(format!("unexpected answer: {reply:?}"))
}

/// Prints a value as formatted JSON.
pub(crate) fn print_json<T: Serialize>(value: &T) {
    match serde_json::to_string_pretty(value) {
        Ok(text) => println!("{text}"),
        Err(error) => eprintln!("sapphirepost: {error}"),
    }
}
