//! Structured logging: one line per event, with time, level, module, message and key=value pairs.
//!
//! Lines go to standard error ([`init`]) or standard output ([`init_bounded`]). Empty values and
//! values with white space, quotes, `=` or control characters are quoted, and control characters in
//! messages are escaped, so that untrusted input cannot forge a line.
//!
//! Lines of a bounded log are written by a thread of their own. A process that exits calls
//! [`flush`] before, since the exit ends that thread and the reason for the exit is usually the
//! last line.

use std::fmt;
use std::fmt::Write;
use std::io;
use std::iter;
use std::str::FromStr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use log::LevelFilter;
use log::Record;
use log::kv::Error;
use log::kv::Key;
use log::kv::Value;
use log::kv::VisitSource;
use thiserror::Error as ThisError;

use crate::line_limits::LineLimits;

/// The default log level and the levels of individual modules.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLevels {
    /// The level of all modules that are not listed.
    pub default: LevelFilter,
    /// Levels by module path; each also applies to the submodules.
    pub modules: Vec<(String, LevelFilter)>,
}

/// The error for a text that is not a valid list of levels; it contains the text.
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

/// Starts logging to standard error. Fails if a logger is already installed.
pub fn init(levels: &LogLevels) -> Result<(), log::SetLoggerError> {
    dispatch(levels).chain(io::stderr()).apply()
}

/// Starts logging to standard output through a bounded channel.
///
/// A line is dropped and counted when the channel is full or a rate limit is exceeded; the counts
/// are written as separate lines before the next line that is written. Logging never waits for the
/// reader of the output, and a line over the limit is not formatted.
pub fn init_bounded(levels: &LogLevels) -> Result<(), log::SetLoggerError> {
    let (sender, queue) = flume::bounded(QUEUED_LINES_MAX + RESERVED_QUEUE_LINES);
    let queue_sender = sender.clone();
    let writer = move || write_queue(&queue, &mut io::stdout().lock());
    let started = thread::Builder::new().name("log".to_owned()).spawn(writer);
    if let Err(error) = started {
        eprintln!("cannot start the log thread: {error}");
    }
    let limits = Arc::new(Mutex::new(LineLimits::default()));
    let filter_limits = limits.clone();
    let filter = move |metadata: &log::Metadata<'_>| {
        let mut limits = filter_limits.lock().unwrap_or_else(PoisonError::into_inner);
        limits.allow(metadata.target(), Instant::now())
    };
    let output = fern::Output::call(move |record| {
        let mut limits = limits.lock().unwrap_or_else(PoisonError::into_inner);
        if sender.len() >= QUEUED_LINES_MAX && !limits.is_first(record.target()) {
            return limits.drop_line(record.target());
        }
        let line = format!("{}{}\n", limits.describe_dropped(), record.args());
        match sender.try_send(Queued::Line(line)) {
            Ok(()) => limits.forget_dropped(),
            Err(_) => limits.drop_line(record.target()),
        }
    });
    dispatch(levels).filter(filter).chain(output).apply()?;
    let _ = QUEUE.set(queue_sender);
    Ok(())
}

/// Waits until all lines logged so far are written, but at most for `timeout`, because the reader
/// of the output may have stopped reading. Returns whether they are written. Lines that are not
/// sent through the channel of [`init_bounded`] are written at once.
pub fn flush(timeout: Duration) -> bool {
    let Some(queue) = QUEUE.get() else {
        return true;
    };
    let deadline = Instant::now() + timeout;
    let (sender, written) = flume::bounded(1);
    let is_queued = queue.send_deadline(Queued::Flush(sender), deadline).is_ok();
    is_queued && written.recv_deadline(deadline).is_ok()
}

/// Returns a dispatcher with the format and levels that both outputs use.
fn dispatch(levels: &LogLevels) -> fern::Dispatch {
    let mut dispatch = fern::Dispatch::new()
        .format(|out, message, record| {
            let line = format_line(SystemTime::now(), message, record);
            out.finish(format_args!("{line}"));
        })
        .level(levels.default)
        // The JSON-RPC library logs every call, so only its warnings and errors are kept.
        .level_for("jsonrpsee", levels.default.min(LevelFilter::Warn));
    for (module, level) in &levels.modules {
        dispatch = dispatch.level_for(module.clone(), *level);
    }
    dispatch
}

/// How long an exit waits for the log to be written.
pub const EXIT_FLUSH_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of lines that wait for the writer thread.
const QUEUED_LINES_MAX: usize = 4_096;
/// Further lines that may wait for it, if they are among the first ones of their target.
const RESERVED_QUEUE_LINES: usize = 1_024;

/// The channel to the writer thread; empty without a bounded log.
static QUEUE: OnceLock<flume::Sender<Queued>> = OnceLock::new();

/// What the writer thread receives.
enum Queued {
    /// A line, with its line break.
    Line(String),
    /// A request for a message once all earlier lines are written.
    Flush(flume::Sender<()>),
}

/// Pause after a batch of lines. The lines of a busy process share a write, and a thread that logs
/// need not wake the writer for each of them.
const WRITE_PAUSE: Duration = Duration::from_millis(20);

/// Writes queued lines until the channel is closed, in batches of all lines that are available.
fn write_queue(queue: &flume::Receiver<Queued>, output: &mut impl io::Write) {
    while let Ok(first) = queue.recv() {
        let mut text = String::new();
        let mut flushes = Vec::new();
        for queued in iter::once(first).chain(queue.try_iter()) {
            match queued {
                Queued::Line(line) => text.push_str(&line),
                Queued::Flush(written) => flushes.push(written),
            }
        }
        // If the output is closed, there is nowhere to report the error.
        let _ = output.write_all(text.as_bytes());
        let _ = output.flush();
        for written in flushes {
            let _ = written.send(());
        }
        thread::sleep(WRITE_PAUSE);
    }
}

/// Formats one event as a line, without the trailing line break.
pub fn format_line(at: SystemTime, message: &fmt::Arguments<'_>, record: &Record<'_>) -> String {
    let mut line = LineBuilder(String::with_capacity(160));
    let time = humantime::format_rfc3339_millis(at);
    let level = record.level();
    let _ = write!(line.0, "{time} {level} {} ", record.target());
    let _ = write!(line.0, "{}", escape(&message.to_string()));
    let _ = record.key_values().visit(&mut line);
    line.0
}

struct LineBuilder(String);

impl<'kvs> VisitSource<'kvs> for LineBuilder {
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
