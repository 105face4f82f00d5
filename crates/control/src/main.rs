//! A control process: one member of the replicated group, and the leader's decisions.

use std::process::ExitCode;

use sapphirepost_control::Flags;
use sapphirepost_control::Mode;
use sapphirepost_control::Settings;
use sapphirepost_control::init;
use sapphirepost_control::run;
use sapphirepost_process::logging;
use sapphirepost_process::settings::Reader;

fn main() -> ExitCode {
    let flags: Flags = argh::from_env();
    match start(flags) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("sapphirepost-control: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn start(flags: Flags) -> anyhow::Result<()> {
    let mut reader = Reader::from_environment();
    let settings = Settings::read(flags, &mut reader)?;
    match settings.mode {
        Mode::Check => return Ok(()),
        Mode::Init => {
            println!("{}", init(&settings)?);
            return Ok(());
        }
        Mode::Run => {}
    }
    logging::init(&settings.log_levels)?;
    reader.log_effective();
    run(settings)
}
