//! The `sapphirepost-load` program: experiments that measure sapphirepost against its targets.
//!
//! Each experiment prints one JSON object on one line and exits with 0, whether or not its targets
//! were met. It exits with 1 if it could not be run. The baselines are measured in the same run.

use argh::FromArgs;

mod arrivals;
mod clusters;
mod control;
mod group;
mod loopback;
mod packing;
mod placement;
mod replay;
mod report;
mod requests;
mod simple;
mod waiting;

/// Measures sapphirepost against its targets.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    experiment: Experiment,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Experiment {
    Placement(placement::Arguments),
    Packing(packing::Arguments),
    Waiting(waiting::Arguments),
    Claims(group::claims::Arguments),
    Commits(group::commits::Arguments),
    Recovery(group::recovery::Arguments),
    Cost(group::cost::Arguments),
    Control(control::Arguments),
    Requests(requests::latency::Arguments),
    Overload(requests::overload::Arguments),
    Faults(requests::faults::Arguments),
    Leaving(requests::leaving::Arguments),
    Connections(requests::connections::Arguments),
}

fn main() -> anyhow::Result<()> {
    let arguments: Arguments = argh::from_env();
    let report = match arguments.experiment {
        Experiment::Placement(arguments) => placement::run(&arguments),
        Experiment::Packing(arguments) => packing::run(&arguments),
        Experiment::Waiting(arguments) => waiting::run(&arguments),
        Experiment::Claims(arguments) => group::claims::run(&arguments)?,
        Experiment::Commits(arguments) => group::commits::run(&arguments)?,
        Experiment::Cost(arguments) => group::cost::run(&arguments)?,
        Experiment::Recovery(arguments) => group::recovery::run(&arguments)?,
        Experiment::Control(arguments) => control::run(&arguments)?,
        Experiment::Requests(arguments) => requests::latency::run(&arguments)?,
        Experiment::Overload(arguments) => requests::overload::run(&arguments)?,
        Experiment::Faults(arguments) => requests::faults::run(&arguments)?,
        Experiment::Leaving(arguments) => requests::leaving::run(&arguments)?,
        Experiment::Connections(arguments) => requests::connections::run(&arguments)?,
    };
    println!("{}", serde_json::to_string(&report)?);
    Ok(())
}
