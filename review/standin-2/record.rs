//! The record of what was sent, answered and run.

use std::fs;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    began: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Record {
        Record {
            began: Instant::now(),
            lines: Arc::default(),
        }
    }

    /// Seconds since the start of the case.
    pub fn seconds(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    pub fn note(&self, text: &str) {
        let line = format!("{:8.3} s  {text}", self.seconds());
        println!("{line}");
        self.lines.lock().unwrap().push(line);
    }

    pub fn write(&self, path: &Path) -> io::Result<()> {
        let lines = self.lines.lock().unwrap();
        fs::write(path, lines.join("\n") + "\n")
    }
}
