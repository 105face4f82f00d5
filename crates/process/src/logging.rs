//! Structured logs: one line an event, with time, level, module, message and key=value pairs.
//!
//! Lines go to standard error. Values with white space, quotes or control characters are quoted,
//! so that outside input cannot forge a line.

use std::fmt;
use std::fmt::Write;
use std::io;
use std::str::FromStr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::time::Instant;
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
    dispatch(levels).chain(io::stderr()).apply()
}

/// Starts logging to standard output through a bounded ring.
///
/// A line for which the ring or the volume limit has no room is left out and counted; the count
/// follows in a line of its own. Logging never waits for the reader of the output.
pub fn init_bounded(levels: &LogLevels) -> Result<(), log::SetLoggerError> {
    let (ring, lines) = flume::bounded(RING_LINES);
    let writer = move || write_lines(&lines, &mut io::stdout().lock());
    let started = thread::Builder::new().name("log".to_owned()).spawn(writer);
    if let Err(error) = started {
        eprintln!("cannot start the log thread: {error}");
    }
    let limit = Mutex::new(VolumeLimit::default());
    let output = fern::Output::call(move |record| {
        let mut limit = limit.lock().unwrap_or_else(PoisonError::into_inner);
        if !limit.admits(Instant::now()) {
            return;
        }
        let mut line = format!("{}\n", record.args());
        if limit.left_out > 0 {
            line.insert_str(0, &format!("log lines left out: {}\n", limit.left_out));
        }
        match ring.try_send(line) {
            Ok(()) => limit.left_out = 0,
            Err(_) => limit.left_out += 1,
        }
    });
    dispatch(levels).chain(output).apply()
}

/// The format and the levels that both outputs share.
fn dispatch(levels: &LogLevels) -> fern::Dispatch {
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
    dispatch
}

/// Lines that wait for the writer.
const RING_LINES: usize = 4_096;
/// Lines in a second, over which further ones are left out.
const LINES_PER_SECOND_MAX: u32 = 1_000;

/// Limits the lines of each second.
#[derive(Debug, Default)]
struct VolumeLimit {
    second: Option<Instant>,
    lines: u32,
    left_out: u64,
}

impl VolumeLimit {
    /// Whether a line may be written now; one that may not is counted.
    fn admits(&mut self, now: Instant) -> bool {
        let is_new = self
            .second
            .is_none_or(|second| now.duration_since(second).as_secs() >= 1);
        if is_new {
            self.second = Some(now);
            self.lines = 0;
        }
        if self.lines >= LINES_PER_SECOND_MAX {
            self.left_out += 1;
            return false;
        }
        self.lines += 1;
        true
    }
}

/// Writes the lines that wait together.
fn write_lines(lines: &flume::Receiver<String>, output: &mut impl io::Write) {
    while let Ok(first) = lines.recv() {
        let mut text = first;
        for line in lines.try_iter() {
            text.push_str(&line);
        }
        // Nobody can be told that the output is closed.
        let _ = output.write_all(text.as_bytes());
        let _ = output.flush();
    }
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
