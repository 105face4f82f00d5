//! The stand-ins of the review's scripts, and the scripts themselves. `review/build.sh` builds it
//! with the compiler alone.
//!
//! `standin NAME RECORD` plays a script from the root of the repository, and ends with 1 if the rule
//! was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the environment it
//! plays the same without the disruption.

mod cases;
mod cluster;
mod http;
mod json;
mod runner;

use std::path::PathBuf;
use std::process::ExitCode;

/// What a script has found.
pub enum Verdict {
    Held,
    Broken(String),
    NotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let word = |position: usize| arguments.get(position).cloned().unwrap_or_default();
    if word(0) == "runner" {
        runner::run(runner::Setup {
            id: word(1),
            address: word(2),
            service: word(3),
            zone: word(4),
            rack: word(5),
            controls: word(6).split(',').map(str::to_owned).collect(),
            hold_max_ms: word(7).parse().unwrap(),
            stop_ms: word(8).parse().unwrap(),
            heartbeat_ms: word(9).parse().unwrap(),
        });
        return ExitCode::SUCCESS;
    }
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    match cases::play(&word(0), PathBuf::from(word(1)), has_trouble) {
        Verdict::Held => {
            println!("{}: the rule held", word(0));
            ExitCode::SUCCESS
        }
        Verdict::Broken(what) => {
            println!("{}: the rule was broken: {what}", word(0));
            ExitCode::from(1)
        }
        Verdict::NotRun(why) => {
            println!("{}: not run: {why}", word(0));
            ExitCode::from(2)
        }
    }
}
