//! The record of a run: what was sent, answered and run, with the time of each.

use std::fmt::Write as _;
use std::sync::Mutex;
use std::time::Instant;

/// Collects the lines of `record.txt`.
pub struct Record {
    start: Instant,
    lines: Mutex<String>,
}

impl Record {
    /// An empty record; times count from now.
    pub fn new() -> Record {
        Record { start: Instant::now(), lines: Mutex::new(String::new()) }
    }

    /// Seconds since the start of the record.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Adds a line with the current time.
    pub fn add(&self, line: &str) {
        let now = self.now();
        let mut lines = self.lines.lock().expect("no thread panics while it adds a line");
        let _ = writeln!(lines, "{now:8.3}  {line}");
    }

    /// Writes all lines to a file.
    pub fn save(&self, path: &str) -> std::io::Result<()> {
        std::fs::write(path, &*self.lines.lock().expect("no thread panics while it adds a line"))
    }
}
