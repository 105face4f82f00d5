//! Placeholder.
use crate::report::Report;

/// Waiting times.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "waiting")]
pub struct Arguments {}

/// Runs the experiment.
pub fn run(_: &Arguments) -> Report {
    Report::new("waiting", 0)
}
