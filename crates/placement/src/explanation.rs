//! The explanation of the state of a job, for operators.

use std::fmt;

use sapphirepost_types::JobId;

/// Why a job waits or cannot run, and where its tasks run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Explanation {
    /// The job that is explained; it need not be known.
    pub job: JobId,
    /// The statements, one for each line of output.
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
