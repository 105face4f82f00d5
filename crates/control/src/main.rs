//! A control process: one member of the replicated group, which schedules while it leads.

use std::process::ExitCode;

use sapphirepost_control::Flags;
use sapphirepost_control::Mode;
use sapphirepost_control::Settings;
use sapphirepost_control::init;
use sapphirepost_control::run;
use sapphirepost_process::logging;
use sapphirepost_process::settings::Reader;

/// The exit code for invalid settings, the same in all programs.
const INVALID_SETTINGS_EXIT_CODE: u8 = 2;

fn main() -> ExitCode {
    let flags: Flags = argh::from_env();
    let mut reader = Reader::from_environment();
    let settings = match Settings::read(flags, &mut reader) {
        Ok(settings) => settings,
        Err(errors) => {
            eprintln!("sapphirepost-control: {errors}");
            return ExitCode::from(INVALID_SETTINGS_EXIT_CODE);
        }
    };
    match start(settings, &reader) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("sapphirepost-control: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn start(settings: Settings, reader: &Reader) -> anyhow::Result<()> {
    match settings.mode {
        Mode::Check => {
            println!("settings are valid");
            return Ok(());
        }
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
