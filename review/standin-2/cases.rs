//! The cases.

mod drain;
mod suspect;
mod two_disks;

use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::record::Record;

/// Plays a case; returns how the rule was broken, or why the case could not run.
pub fn run(case: &str, trouble: bool, record: &Record) -> Result<Vec<String>, String> {
    match case {
        "drain" => drain::run(trouble, record),
        "suspect" => suspect::run(trouble, record),
        "two-disks" => two_disks::run(trouble, record),
        other => Err(format!("no case {other}")),
    }
}

/// Asks again and again for at most `limit`; `None` if that was too short.
pub fn wait(limit: Duration, mut is_done: impl FnMut() -> bool) -> Option<()> {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if is_done() {
            return Some(());
        }
        thread::sleep(Duration::from_millis(200));
    }
    None
}
