//! What was sent, answered and run, with the time since the start of the record.

use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    start: Instant,
    file: Mutex<std::fs::File>,
}

impl Record {
    pub fn new(path: &str) -> Record {
        let file = std::fs::File::create(path).expect("record.txt can be written");
        Record { start: Instant::now(), file: Mutex::new(file) }
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let _ = writeln!(self.file.lock().unwrap(), "{:9.3} {text}", self.now());
    }

    /// Also on standard output.
    pub fn say(&self, text: &str) {
        println!("{:9.3} {text}", self.now());
        self.line(text);
    }
}
