//! The `sapphirepost` program: the command line for operators of a cluster.

mod arguments;
mod change;
mod client;
mod commands;
mod failure;
mod intents;
mod settings;
mod show;
mod table;

use std::env;
use std::process::ExitCode;

use argh::FromArgs;

use crate::arguments::Arguments;
use crate::failure::Failure;

fn main() -> ExitCode {
    let command_line: Vec<String> = env::args().skip(1).collect();
    let command_line: Vec<&str> = command_line.iter().map(String::as_str).collect();
    let arguments = match Arguments::from_args(&["sapphirepost"], &command_line) {
        Ok(arguments) => arguments,
        Err(exit) => return early_exit(&exit),
    };
    match commands::run(arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("sapphirepost: {failure}");
            ExitCode::from(failure.exit_code())
        }
    }
}

fn early_exit(exit: &argh::EarlyExit) -> ExitCode {
    if exit.status.is_ok() {
        println!("{}", exit.output);
        return ExitCode::SUCCESS;
    }
    eprintln!("{}", exit.output);
    ExitCode::from(Failure::Usage(String::new()).exit_code())
}
