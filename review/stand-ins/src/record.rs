//! Record of a run: what was sent, answered and run, one line an event.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self { started: Instant::now(), file: Arc::new(Mutex::new(File::create(path)?)) })
    }

    /// Returns the seconds from the start of the run to `time`.
    pub fn seconds(&self, time: Instant) -> f64 {
        time.saturating_duration_since(self.started).as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let seconds = self.seconds(Instant::now());
        let mut file = self.file.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let _ = writeln!(file, "{seconds:9.4} {text}");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}
