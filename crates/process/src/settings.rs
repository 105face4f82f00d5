//! Settings from flags and environment variables.
//!
//! A program parses its flags with `argh` into `Option<String>` fields and hands each to a
//! [`Reader`] under the name of its flag. The reader falls back to the environment variable
//! `SAPPHIREPOST_<NAME>`, checks value and range, and collects all errors, so that an operator
//! sees every wrong setting at once.
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

/// One setting that was refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingError {
    /// The name of the flag, without dashes in front.
    pub setting: String,
    /// What is wrong.
    pub problem: String,
}

impl fmt::Display for SettingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let variable = environment_name(&self.setting);
        write!(f, "--{} ({variable}): {}", self.setting, self.problem)
    }
}

/// All settings that were refused.
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

/// The default, range and unit of a whole number.
#[derive(Clone, Copy, Debug)]
pub struct Number {
    default: u64,
    min: u64,
    max: u64,
    unit: &'static str,
}

impl Number {
    /// A number with default, least and greatest value and unit (`ms`, `bytes`, `requests`).
    pub const fn new(default: u64, min: u64, max: u64, unit: &'static str) -> Number {
        Number {
            default,
            min,
            max,
            unit,
        }
    }
}

/// The environment variable of a setting.
pub fn environment_name(setting: &str) -> String {
    let upper = setting.replace('-', "_").to_ascii_uppercase();
    format!("{ENVIRONMENT_PREFIX}{upper}")
}

type Environment = Box<dyn Fn(&str) -> Option<String>>;

/// Reads settings, collecting errors and effective values.
pub struct Reader {
    environment: Environment,
    errors: Vec<SettingError>,
    effective: Vec<(String, String)>,
}

impl Reader {
    /// A reader that looks environment variables up with `environment`.
    pub fn new(environment: impl Fn(&str) -> Option<String> + 'static) -> Reader {
        Reader {
            environment: Box::new(environment),
            errors: Vec::new(),
            effective: Vec::new(),
        }
    }

    /// A reader of the variables of this process.
    pub fn from_environment() -> Reader {
        Reader::new(|name| env::var(name).ok())
    }

    /// A setting with a default.
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

    /// A whole number; the default on an error, which is reported by [`Reader::finish`].
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

    /// A setting without a default. `None` after an error, which [`Reader::finish`] reports.
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

    /// A setting that may be absent.
    pub fn optional<T>(&mut self, setting: &str, flag: Option<String>) -> Option<T>
    where
        T: FromStr + Display,
        T::Err: Display,
    {
        let text = self.text(setting, flag)?;
        self.parse(setting, &text)
    }

    /// A comma-separated list; empty if absent.
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

    /// A path.
    pub fn path(&mut self, setting: &str, flag: Option<String>) -> Option<PathBuf> {
        let Some(text) = self.text(setting, flag) else {
            self.error(setting, "must be given".to_owned());
            return None;
        };
        self.record(setting, &text);
        Some(PathBuf::from(text))
    }

    /// A shared key, given as the path of its file; the effective settings show only the path.
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

    /// Reports a problem that concerns more than one setting, under the name of one of them.
    pub fn error(&mut self, setting: &str, problem: String) {
        self.errors.push(SettingError {
            setting: setting.to_owned(),
            problem,
        });
    }

    /// The effective settings, in the order in which they were read, without secrets.
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

    /// Builds the settings, or returns all errors. `build` may return `None` only after an error.
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
