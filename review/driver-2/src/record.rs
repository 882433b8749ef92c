//! The record of a case: what was sent, answered and run, with times since its start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// Writes lines to the record file and to standard output.
pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Creates `record.txt` in a folder.
    pub fn create(folder: &Path) -> std::io::Result<Self> {
        Ok(Record { started: Instant::now(), file: Mutex::new(File::create(folder.join("record.txt"))?) })
    }

    /// Returns the milliseconds since the start of the case.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1000.0
    }

    /// Writes a line to the record.
    pub fn line(&self, text: &str) {
        let at = self.now();
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{at:9.1} ms  {text}");
        }
    }

    /// Writes a line to the record and to standard output.
    pub fn tell(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}
