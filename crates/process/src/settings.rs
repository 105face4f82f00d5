//! Settings from command-line flags and environment variables.
//!
//! A program parses its flags with `argh` into `Option<String>` fields and passes each of them to a
//! [`Reader`] with the name of the flag. If the flag is absent, the reader uses the environment
//! variable `SAPPHIREPOST_<NAME>`. It checks the value and its range and collects all errors, so
//! that an operator sees every invalid setting at once.
//!
//! ```
//! use sapphirepost_process::settings::Number;
//! use sapphirepost_process::settings::Reader;
//!
//! let mut reader = Reader::new(|_| None);
//! let lease_ms = reader.number("lease-ms", Some("6000".to_owned()), Number::new(6000, 1000, 60_000, "ms"));
//! let address: Option<std::net::SocketAddr> = reader.required("inner-address", Some("127.0.0.1:7000".to_owned()));
//! let settings = reader.finish(|| Some((lease_ms, address?))).unwrap();
//! assert_eq!(settings.0, 6000);
//! ```

use std::env;
use std::fmt;
use std::fmt::Display;
use std::path::PathBuf;
use std::str::FromStr;

use thiserror::Error;

use crate::shared_key::SharedKey;

const ENVIRONMENT_PREFIX: &str = "SAPPHIREPOST_";

/// One setting that is missing or invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingError {
    /// The name of the flag, without the leading dashes.
    pub setting: String,
    /// Why the value is invalid or that it is missing, for the operator.
    pub problem: String,
}

impl fmt::Display for SettingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let variable = environment_name(&self.setting);
        write!(f, "--{} ({variable}): {}", self.setting, self.problem)
    }
}

/// All settings that are missing or invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub struct SettingsErrors(pub Vec<SettingError>);

impl fmt::Display for SettingsErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} settings are wrong:", self.0.len())?;
        for error in &self.0 {
            write!(f, "\n  {error}")?;
        }
        Ok(())
    }
}

/// The default, range and unit of an integer setting.
#[derive(Clone, Copy, Debug)]
pub struct Number {
    default: u64,
    min: u64,
    max: u64,
    unit: &'static str,
}

impl Number {
    /// Creates the description of a setting with the given default, minimum and maximum (inclusive)
    /// and unit, such as `ms`, `bytes` or `requests`.
    pub const fn new(default: u64, min: u64, max: u64, unit: &'static str) -> Number {
        Number {
            default,
            min,
            max,
            unit,
        }
    }
}

/// Returns the name of the environment variable of a setting.
pub fn environment_name(setting: &str) -> String {
    let upper = setting.replace('-', "_").to_ascii_uppercase();
    format!("{ENVIRONMENT_PREFIX}{upper}")
}

type Environment = Box<dyn Fn(&str) -> Option<String>>;

/// Reads settings and collects their errors and effective values.
pub struct Reader {
    environment: Environment,
    errors: Vec<SettingError>,
    effective: Vec<(String, String)>,
}

impl Reader {
    /// Creates a reader that looks up environment variables with `environment`.
    pub fn new(environment: impl Fn(&str) -> Option<String> + 'static) -> Reader {
        Reader {
            environment: Box::new(environment),
            errors: Vec::new(),
            effective: Vec::new(),
        }
    }

    /// Creates a reader that looks up the environment variables of this process. A variable whose
    /// value is not valid UTF-8 counts as absent.
    pub fn from_environment() -> Reader {
        Reader::new(|name| env::var(name).ok())
    }

    /// Reads a setting with a default. Also returns the default for an invalid value, which
    /// [`Reader::finish`] reports.
    pub fn value<T>(&mut self, setting: &str, flag: Option<String>, default: T) -> T
    where
        T: FromStr + Display,
        T::Err: Display,
    {
        self.optional(setting, flag).unwrap_or_else(|| {
            self.record(setting, &default);
            default
        })
    }

    /// Reads an integer setting. Also returns the default for an invalid value, which
    /// [`Reader::finish`] reports.
    pub fn number(&mut self, setting: &str, flag: Option<String>, number: Number) -> u64 {
        let Some(text) = self.text(setting, flag) else {
            self.record(setting, &number.default);
            return number.default;
        };
        let range = || format!("{} to {} {}", number.min, number.max, number.unit);
        match text.parse::<u64>() {
            Ok(value) if (number.min..=number.max).contains(&value) => {
                self.record(setting, &value);
                value
            }
            Ok(value) => {
                let problem = format!("{value} is out of range, expected {}", range());
                self.error(setting, problem);
                number.default
            }
            Err(_) => {
                let problem = format!("`{text}` is no whole number, expected {}", range());
                self.error(setting, problem);
                number.default
            }
        }
    }

    /// Reads a setting without a default. Returns `None` if it is missing or invalid, which
    /// [`Reader::finish`] reports.
    pub fn required<T>(&mut self, setting: &str, flag: Option<String>) -> Option<T>
    where
        T: FromStr + Display,
        T::Err: Display,
    {
        let Some(text) = self.text(setting, flag) else {
            self.error(setting, "must be given".to_owned());
            return None;
        };
        self.parse(setting, &text)
    }

    /// Reads a setting that may be absent. Also returns `None` for an invalid value, which
    /// [`Reader::finish`] reports.
    pub fn optional<T>(&mut self, setting: &str, flag: Option<String>) -> Option<T>
    where
        T: FromStr + Display,
        T::Err: Display,
    {
        let text = self.text(setting, flag)?;
        self.parse(setting, &text)
    }

    /// Reads a comma-separated list, which is empty if the setting is absent. Leaves out invalid
    /// elements, which [`Reader::finish`] reports.
    pub fn list<T>(&mut self, setting: &str, flag: Option<String>) -> Vec<T>
    where
        T: FromStr + Display,
        T::Err: Display,
    {
        let Some(text) = self.text(setting, flag) else {
            self.record(setting, &"");
            return Vec::new();
        };
        let mut values = Vec::new();
        for part in text.split(',') {
            match part.trim().parse() {
                Ok(value) => values.push(value),
                Err(error) => self.error(setting, format!("`{part}`: {error}")),
            }
        }
        self.record(setting, &text);
        values
    }

    /// Reads a required path. Returns `None` if it is missing, which [`Reader::finish`] reports.
    pub fn path(&mut self, setting: &str, flag: Option<String>) -> Option<PathBuf> {
        let Some(text) = self.text(setting, flag) else {
            self.error(setting, "must be given".to_owned());
            return None;
        };
        self.record(setting, &text);
        Some(PathBuf::from(text))
    }

    /// Reads a shared key from the file whose path the setting contains. Returns `None` if the
    /// setting is absent or the file is invalid; [`Reader::finish`] reports an invalid file. The
    /// effective settings contain only the path.
    pub fn key_file(&mut self, setting: &str, flag: Option<String>) -> Option<SharedKey> {
        let text = self.text(setting, flag)?;
        self.record(setting, &text);
        match SharedKey::from_file(&PathBuf::from(&text)) {
            Ok(key) => Some(key),
            Err(error) => {
                self.error(setting, format!("`{text}`: {error}"));
                None
            }
        }
    }

    /// Adds an error to a setting, for checks that the caller makes, such as those across several
    /// settings.
    pub fn error(&mut self, setting: &str, problem: String) {
        self.errors.push(SettingError {
            setting: setting.to_owned(),
            problem,
        });
    }

    /// Returns names and values of the effective settings in the order in which they were read,
    /// without secrets.
    pub fn effective(&self) -> &[(String, String)] {
        &self.effective
    }

    /// Logs the effective settings as one event.
    pub fn log_effective(&self) {
        let pairs: Vec<String> = self
            .effective
            .iter()
            .map(|(setting, value)| format!("{setting}={value}"))
            .collect();
        log::info!("effective settings: {}", pairs.join(" "));
    }

    /// Builds the settings, or returns all errors. `build` is called only if there are no errors
    /// and must then return `Some`; `None` gives an error without any settings.
    pub fn finish<T>(&self, build: impl FnOnce() -> Option<T>) -> Result<T, SettingsErrors> {
        if !self.errors.is_empty() {
            return Err(SettingsErrors(self.errors.clone()));
        }
        build().ok_or_else(|| SettingsErrors(Vec::new()))
    }

    fn text(&self, setting: &str, flag: Option<String>) -> Option<String> {
        flag.or_else(|| (self.environment)(&environment_name(setting)))
    }

    fn parse<T>(&mut self, setting: &str, text: &str) -> Option<T>
    where
        T: FromStr + Display,
        T::Err: Display,
    {
        match text.parse::<T>() {
            Ok(value) => {
                self.record(setting, &value);
                Some(value)
            }
            Err(error) => {
                self.error(setting, format!("`{text}`: {error}"));
                None
            }
        }
    }

    fn record(&mut self, setting: &str, value: &dyn Display) {
        self.effective.push((setting.to_owned(), value.to_string()));
    }
}
