//! Structured logs: one line an event, with time, level, module, message and key=value pairs.
//!
//! Lines go to standard error. Values with white space, quotes or control characters are quoted,
//! so that outside input cannot forge a line.

use std::fmt;
use std::fmt::Write;
use std::io;
use std::str::FromStr;
use std::time::SystemTime;

use log::LevelFilter;
use log::Record;
use log::kv::Error;
use log::kv::Key;
use log::kv::Value;
use log::kv::VisitSource;
use thiserror::Error as ThisError;

/// The level of everything, and of single modules.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLevels {
    /// The level of modules that are not named.
    pub default: LevelFilter,
    /// The levels of named modules and those below them.
    pub modules: Vec<(String, LevelFilter)>,
}

/// A text that is no list of levels.
#[derive(Clone, Debug, PartialEq, Eq, ThisError)]
#[error(
    "expected `<level>[,<module>=<level>]...` with off, error, warn, info, debug or trace, got `{0}`"
)]
pub struct ParseLevelsError(pub String);

impl Default for LogLevels {
    fn default() -> LogLevels {
        LogLevels {
            default: LevelFilter::Info,
            modules: Vec::new(),
        }
    }
}

impl FromStr for LogLevels {
    type Err = ParseLevelsError;

    fn from_str(text: &str) -> Result<LogLevels, ParseLevelsError> {
        let error = || ParseLevelsError(text.to_owned());
        let mut levels = LogLevels::default();
        for part in text.split(',') {
            match part.split_once('=') {
                Some((module, level)) => {
                    let level = level.parse().map_err(|_| error())?;
                    levels.modules.push((module.to_owned(), level));
                }
                None => levels.default = part.parse().map_err(|_| error())?,
            }
        }
        Ok(levels)
    }
}

impl fmt::Display for LogLevels {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.default.as_str().to_lowercase())?;
        for (module, level) in &self.modules {
            write!(f, ",{module}={}", level.as_str().to_lowercase())?;
        }
        Ok(())
    }
}

/// Starts logging to standard error. Fails when a log was started before.
pub fn init(levels: &LogLevels) -> Result<(), log::SetLoggerError> {
    let mut dispatch = fern::Dispatch::new()
        .format(|out, message, record| {
            let line = format_line(SystemTime::now(), message, record);
            out.finish(format_args!("{line}"));
        })
        .level(levels.default)
        // The JSON-RPC library logs each call; only its warnings matter here.
        .level_for("jsonrpsee", levels.default.min(LevelFilter::Warn));
    for (module, level) in &levels.modules {
        dispatch = dispatch.level_for(module.clone(), *level);
    }
    dispatch.chain(io::stderr()).apply()
}

/// The text of one event without the line end.
pub fn format_line(at: SystemTime, message: &fmt::Arguments<'_>, record: &Record<'_>) -> String {
    let mut line = Line(String::with_capacity(160));
    let time = humantime::format_rfc3339_millis(at);
    let level = record.level();
    let _ = write!(line.0, "{time} {level} {} ", record.target());
    let _ = write!(line.0, "{}", escape(&message.to_string()));
    let _ = record.key_values().visit(&mut line);
    line.0
}

struct Line(String);

impl<'kvs> VisitSource<'kvs> for Line {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let text = value.to_string();
        if text.is_empty() || text.chars().any(needs_quotes) {
            write!(self.0, " {key}={text:?}")?;
        } else {
            write!(self.0, " {key}={text}")?;
        }
        Ok(())
    }
}

fn needs_quotes(c: char) -> bool {
    c.is_whitespace() || c.is_control() || matches!(c, '"' | '=')
}

fn escape(message: &str) -> String {
    if message.chars().any(char::is_control) {
        return message.escape_debug().to_string();
    }
    message.to_owned()
}
