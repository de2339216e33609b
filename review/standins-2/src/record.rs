//! The record of a case: one line per event, with the time since the start of the case.

use std::fs::File;
use std::io::Write as _;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writes lines to the record; clones write to the same file.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    /// Creates `record.txt` in the case's folder.
    ///
    /// # Errors
    /// Fails if the file can't be created.
    pub fn create(folder: &Path) -> std::io::Result<Record> {
        Ok(Record {
            file: Arc::new(Mutex::new(File::create(folder.join("record.txt"))?)),
            started: Instant::now(),
        })
    }

    /// Appends a line.
    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!(
            "{:>9.3} {}\n",
            self.started.elapsed().as_secs_f64(),
            text.as_ref()
        );
        if let Ok(mut file) = self.file.lock() {
            let _ = file.write_all(line.as_bytes());
        }
    }
}
