//! Limits on the number of log lines in each second.
//!
//! Each log target has a limit of its own beside that of the whole process, so that frequent lines
//! of one kind do not crowd out rare ones of another. Part of the limit of the process is kept for the
//! first lines of each target in a window: lines that a target writes once a second are needed most
//! when all others are frequent.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;
use std::time::Instant;

/// The maximum number of lines of the process in a window.
const LINES_MAX: u32 = 2_400;
/// The maximum number of lines of one log target in a window.
const TARGET_LINES_MAX: u32 = 600;
/// The part of them that only the first lines of a target may use.
const RESERVED_LINES: u32 = 160;
/// The number of lines of a target in a window that may use this part.
const FIRST_LINES: u32 = 8;
/// The length of a window.
const WINDOW: Duration = Duration::from_secs(1);

/// The lines of one target.
#[derive(Debug, Default)]
struct TargetLines {
    /// Lines of the current window.
    lines: u32,
    /// Lines that were dropped and not reported yet.
    dropped: u64,
}

/// Counts lines by target. Targets are names in the source code, so there are few.
#[derive(Debug, Default)]
pub struct LineLimits {
    window_start: Option<Instant>,
    lines: u32,
    targets: BTreeMap<String, TargetLines>,
}

impl LineLimits {
    /// Returns whether a line of this target may be written now; counts it as dropped if not.
    pub fn allow(&mut self, target: &str, now: Instant) -> bool {
        let is_new_window = self
            .window_start
            .is_none_or(|start| now.duration_since(start) >= WINDOW);
        if is_new_window {
            self.window_start = Some(now);
            self.lines = 0;
            self.targets
                .values_mut()
                .for_each(|target| target.lines = 0);
        }
        if !self.targets.contains_key(target) {
            self.targets
                .insert(target.to_owned(), TargetLines::default());
        }
        let Some(counts) = self.targets.get_mut(target) else {
            return false;
        };
        let lines_max = match counts.lines < FIRST_LINES {
            true => LINES_MAX,
            false => LINES_MAX - RESERVED_LINES,
        };
        if self.lines >= lines_max || counts.lines >= TARGET_LINES_MAX {
            counts.dropped += 1;
            return false;
        }
        self.lines += 1;
        counts.lines += 1;
        true
    }

    /// Whether the last allowed line of a target is among its first ones in the window.
    pub fn is_first(&self, target: &str) -> bool {
        let counts = self.targets.get(target);
        counts.is_none_or(|counts| counts.lines <= FIRST_LINES)
    }

    /// Counts an allowed line that could not be written.
    pub fn drop_line(&mut self, target: &str) {
        if let Some(counts) = self.targets.get_mut(target) {
            counts.dropped += 1;
        }
    }

    /// One line for each target of which lines were dropped.
    pub fn describe_dropped(&self) -> String {
        let mut text = String::new();
        for (target, counts) in &self.targets {
            if counts.dropped > 0 {
                let dropped = counts.dropped;
                let _ = writeln!(text, "log lines left out: {dropped} target={target}");
            }
        }
        text
    }

    /// Forgets the dropped lines, since they were reported.
    pub fn forget_dropped(&mut self) {
        self.targets
            .values_mut()
            .for_each(|target| target.dropped = 0);
    }
}
