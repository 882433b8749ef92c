//! The record of a case: one line for each event, with milliseconds since the start of the case.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).unwrap_or_else(|why| quit(&format!("{}: {why}", path.display())));
        Record { started: Instant::now(), file: Mutex::new(file) }
    }

    /// Milliseconds since the start of the case.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1000.0
    }

    pub fn line(&self, text: &str) {
        let now = self.now();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{now:10.1} {text}");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// Ends the process with 2: the case could not run.
pub fn quit(why: &str) -> ! {
    crate::program::kill_running();
    eprintln!("the case could not run: {why}");
    std::process::exit(2)
}
