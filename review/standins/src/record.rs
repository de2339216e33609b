//! The record of what was sent, answered and run.

use crate::now_ms;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::sync::{Arc, Mutex};

/// Writes lines with the time since the start of the record, in milliseconds. Clones share the file.
#[derive(Clone)]
pub struct Record(Arc<Mutex<BufWriter<File>>>, f64);

impl Record {
    /// Creates the file named by `RECORD`, or `record.txt`.
    pub fn create() -> Record {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
        let file = File::create(path).expect("create the record");
        Record(Arc::new(Mutex::new(BufWriter::new(file))), now_ms())
    }

    pub fn line(&self, text: impl AsRef<str>) {
        self.line_at(now_ms(), text);
    }

    pub fn line_at(&self, at_ms: f64, text: impl AsRef<str>) {
        let mut file = self.0.lock().unwrap();
        let _ = writeln!(file, "{:10.1} {}", at_ms - self.1, text.as_ref());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
        self.flush();
    }

    /// Returns a Unix time in milliseconds relative to the start of the record.
    pub fn relative(&self, at_ms: f64) -> f64 {
        at_ms - self.1
    }

    pub fn flush(&self) {
        let _ = self.0.lock().unwrap().flush();
    }
}
