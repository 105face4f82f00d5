//! Settings that apply to all commands.

use std::net::SocketAddr;
use std::time::Duration;

use sapphirepost_process::SharedKey;
use sapphirepost_process::settings::Number;
use sapphirepost_process::settings::Reader;

use crate::arguments::Arguments;
use crate::failure::Failure;

const TIMEOUT: Number = Number::new(10_000, 100, 120_000, "ms");

/// Settings from the global flags and the environment.
#[derive(Clone, Debug)]
pub(crate) struct Settings {
    /// Operator addresses of the entries, in the order in which they are tried. May be empty.
    pub(crate) entries: Vec<SocketAddr>,
    /// The operator key, absent if no key file is set.
    pub(crate) key: Option<SharedKey>,
    /// The longest time for one request, including attempts at other entries.
    pub(crate) timeout: Duration,
    /// Whether to print JSON instead of text.
    pub(crate) json: bool,
}

impl Settings {
    /// Reads the settings from the flags, and from the environment for flags that are not given.
    ///
    /// Fails with a usage error that lists all invalid settings.
    pub(crate) fn read(arguments: &Arguments) -> Result<Settings, Failure> {
        let mut reader = Reader::from_environment();
        let entries = reader.list("entries", arguments.entries.clone());
        let key = reader.key_file("key-file", arguments.key_file.clone());
        let timeout_ms = reader.number("timeout-ms", arguments.timeout_ms.clone(), TIMEOUT);
        let settings = Settings {
            entries,
            key,
            timeout: Duration::from_millis(timeout_ms),
            json: arguments.json,
        };
        reader
            .finish(|| Some(settings))
            .map_err(|errors| Failure::Usage(errors.to_string()))
    }
}
