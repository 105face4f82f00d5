//! Runs the commands: sends their requests and prints the replies.

use std::time::Duration;

use sapphirepost_protocol::operator::Confirmed;
use sapphirepost_protocol::operator::OperatorReply;
use sapphirepost_protocol::operator_http;
use sapphirepost_protocol::operator_http::MembershipBody;
use sapphirepost_types::Intent;

use crate::arguments::Arguments;
use crate::arguments::Command;
use crate::arguments::ConfigCommand;
use crate::arguments::ConfigGetArguments;
use crate::arguments::ConfigSetArguments;
use crate::arguments::ControlCommand;
use crate::arguments::PlanCommand;
use crate::change;
use crate::change::ChangeOptions;
use crate::client;
use crate::client::Resend;
use crate::failure::Failure;
use crate::intents;
use crate::settings::Settings;
use crate::show;

/// Reads the settings and runs the command of the command line.
pub(crate) fn run(arguments: Arguments) -> Result<(), Failure> {
    let settings = Settings::read(&arguments)?;
    match arguments.command {
        Command::Plan(plan) => {
            let PlanCommand::Show(plan) = plan.command;
            get_and_print(
                &settings,
                &format!("{}/{}", operator_http::PLANS, plan.plan),
            )
        }
        Command::Confirm(confirm) => change::confirm(&settings, confirm.plan, confirm.operation),
        Command::Status(_) => get_and_print(&settings, operator_http::STATUS),
        Command::Tenants(_) => get_and_print(&settings, operator_http::TENANTS),
        Command::Explain(explain) => get_and_print(
            &settings,
            &format!("{}/{}", operator_http::EXPLAIN, explain.job),
        ),
        Command::Config(config) => match config.command {
            ConfigCommand::Get(get) => get_config(&settings, &get),
            ConfigCommand::Set(set) => set_config(&settings, set),
            ConfigCommand::History(history) => {
                let limit = history.limit;
                let path = format!("{}?limit={limit}", operator_http::CONFIG_HISTORY);
                get_and_print(&settings, &path)
            }
        },
        Command::Control(control) => run_control(&settings, control.command),
        Command::Dump(dump) => {
            print!("{}", show::dump(&client::dump(&settings, dump.address)?));
            Ok(())
        }
        command => {
            let (intent, options) = change_intent(command)?;
            change::propose(&settings, intent, options).map(drop)
        }
    }
}

fn change_intent(command: Command) -> Result<(Intent, ChangeOptions), Failure> {
    macro_rules! options {
        ($arguments:ident) => {
            ChangeOptions {
                yes: $arguments.yes,
                operation: $arguments.operation,
            }
        };
    }
    Ok(match command {
        Command::Run(run) => intents::run(run.kind)?,
        Command::Quota(quota) => intents::quota(quota)?,
        Command::Resize(resize) => {
            let (job, tasks) = (resize.job, resize.tasks);
            (Intent::Resize { job, tasks }, options!(resize))
        }
        Command::Drain(drain) => {
            let intent = Intent::Drain {
                worker: drain.worker,
                allow_interruption: drain.allow_interruption,
            };
            (intent, options!(drain))
        }
        Command::Undrain(undrain) => {
            let worker = undrain.worker;
            (Intent::Undrain { worker }, options!(undrain))
        }
        Command::DeclareLost(lost) => {
            let worker = lost.worker;
            (Intent::DeclareLost { worker }, options!(lost))
        }
        Command::Cancel(cancel) => {
            let job = cancel.job;
            (Intent::Cancel { job }, options!(cancel))
        }
        _ => return Err(Failure::Usage("not a change".to_owned())),
    })
}

fn get_and_print(settings: &Settings, path: &str) -> Result<(), Failure> {
    let reply = client::get(settings, path)?;
    print_reply(settings, &reply);
    Ok(())
}

fn print_reply(settings: &Settings, reply: &OperatorReply) {
    if settings.json {
        change::print_json(reply);
    } else {
        print!("{}", show::reply(reply));
    }
}

fn get_config(settings: &Settings, arguments: &ConfigGetArguments) -> Result<(), Failure> {
    let Some(key) = &arguments.key else {
        return get_and_print(settings, operator_http::CONFIG);
    };
    let path = format!("{}/{key}", operator_http::CONFIG);
    let reply = client::get(settings, &path)?;
    let OperatorReply::Config { values, .. } = &reply else {
        return Err(change::unexpected_reply(&reply));
    };
    let Some(value) = values.get(key) else {
        return Err(Failure::NotFound(format!("configuration key {key}")));
    };
    if settings.json {
        change::print_json(value);
    } else {
        println!("{value}");
    }
    Ok(())
}

fn set_config(settings: &Settings, arguments: ConfigSetArguments) -> Result<(), Failure> {
    let wait = arguments.wait.then_some(arguments.wait_ms);
    if wait.is_some() && !arguments.yes {
        return Err(Failure::Usage("config set: --wait needs --yes".to_owned()));
    }
    let (intent, options) = intents::set_config(arguments)?;
    let confirmed = change::propose(settings, intent, options)?;
    match (wait, confirmed) {
        (Some(wait_ms), Some(confirmed)) => wait_until_applied(settings, &confirmed, wait_ms),
        _ => Ok(()),
    }
}

fn wait_until_applied(
    settings: &Settings,
    confirmed: &Confirmed,
    wait_ms: u64,
) -> Result<(), Failure> {
    let Some(version) = confirmed.config_version else {
        return Ok(());
    };
    let number = version.0;
    let path = format!(
        "{}?version={number}&wait_ms={wait_ms}",
        operator_http::CONFIG_WAIT
    );
    let reply = client::get_with_hold(settings, &path, Duration::from_millis(wait_ms))?;
    let OperatorReply::InForce { lacking, .. } = &reply else {
        return Err(change::unexpected_reply(&reply));
    };
    print_reply(settings, &reply);
    if lacking.is_empty() {
        return Ok(());
    }
    Err(Failure::NotConfirmedByAll(show::names(lacking)))
}

fn run_control(settings: &Settings, command: ControlCommand) -> Result<(), Failure> {
    let (body, yes, description) = match command {
        ControlCommand::List(_) => return get_and_print(settings, operator_http::CONTROL),
        ControlCommand::Add(add) => {
            let description = format!("adds {} at {}", add.member, add.address);
            let (member, address) = (add.member, add.address);
            (
                MembershipBody::Add { member, address },
                add.yes,
                description,
            )
        }
        ControlCommand::Remove(remove) => {
            let member = remove.member;
            let description = format!("removes {member}");
            (MembershipBody::Remove { member }, remove.yes, description)
        }
    };
    if !yes {
        let message = format!("{description}; repeat with --yes to carry it out");
        return Err(Failure::Usage(message));
    }
    let reply = client::post(settings, operator_http::CONTROL, &body, Resend::Never)?;
    print_reply(settings, &reply);
    Ok(())
}
