//! The `sapphirepost-entry` program.

use std::process::ExitCode;

use sapphirepost_entry::daemon;
use sapphirepost_entry::settings::Flags;
use sapphirepost_entry::settings::Settings;
use sapphirepost_process::logging;
use sapphirepost_process::settings::Reader;

/// The exit code for invalid settings, which is the same in all programs of the system.
const EXIT_INVALID_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let flags: Flags = argh::from_env();
    let check = flags.check;
    let mut reader = Reader::from_environment();
    let settings = match Settings::read(flags, &mut reader) {
        Ok(settings) => settings,
        Err(errors) => {
            eprintln!("sapphirepost-entry: {errors}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if check {
        println!("settings are valid");
        return ExitCode::SUCCESS;
    }
    if let Err(error) = logging::init(&settings.log_levels) {
        eprintln!("cannot initialize logging: {error}");
        return ExitCode::FAILURE;
    }
    reader.log_effective();
    match daemon::run(&settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("entry failed: {error:#}");
            ExitCode::FAILURE
        }
    }
}
