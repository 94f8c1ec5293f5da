//! Record of what was sent, answered and run, with times since the start of the case.

use std::{
    fs,
    path::PathBuf,
    sync::{Arc, Mutex},
    time::Instant,
};

/// Lines of a case; clones share them.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<(f64, String)>>>,
}

impl Record {
    /// Returns an empty record that starts now.
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            lines: Arc::default(),
        }
    }

    /// Returns the time since the start in seconds.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Adds a line.
    pub fn add(&self, line: impl Into<String>) {
        let at = self.now();
        self.lines.lock().unwrap().push((at, line.into()));
    }

    /// Adds a line that is also shown.
    pub fn say(&self, line: impl Into<String>) {
        let line = line.into();
        println!("{:8.3} {line}", self.now());
        self.add(line);
    }

    /// Writes all lines to a file in the order of their times.
    pub fn write(&self, path: &PathBuf) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by(|first, second| first.0.total_cmp(&second.0));
        let text: String = lines
            .iter()
            .map(|(at, line)| format!("{at:8.3} {line}\n"))
            .collect();
        fs::write(path, text).expect("the record is written");
    }
}
