//! Readable reasons for the state of a job.

use std::fmt;

use sapphirepost_types::JobId;

/// Why a job waits, runs where it runs, or was refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Explanation {
    /// The job.
    pub job: JobId,
    /// One sentence each.
    pub lines: Vec<String>,
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, line) in self.lines.iter().enumerate() {
            if position > 0 {
                writeln!(f)?;
            }
            f.write_str(line)?;
        }
        Ok(())
    }
}
