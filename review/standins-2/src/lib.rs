//! Stand-ins for clients, endpoints and discovery, and the router as a process, for the cases of the second review.
//!
//! They speak the operators' protocol on loopback sockets with blocking threads, and write all that is sent, answered
//! and run into the record of the case.

pub mod client;
pub mod discovery;
pub mod endpoint;
pub mod record;
pub mod router;
pub mod settings;
pub mod socket;
pub mod wire;

use std::process::ExitCode;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The result of a case.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
    /// The case could not run.
    NotRun,
}

impl Verdict {
    /// Returns the exit code of the case's script.
    pub fn exit_code(self) -> ExitCode {
        ExitCode::from(match self {
            Verdict::Held => 0,
            Verdict::Broken => 1,
            Verdict::NotRun => 2,
        })
    }
}

/// Returns the Unix time in milliseconds.
pub fn now_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.unwrap_or_default().as_millis() as u64
}

/// Sleeps for this many milliseconds.
pub fn sleep_ms(milliseconds: u64) {
    std::thread::sleep(Duration::from_millis(milliseconds));
}

/// Returns whether the case's disruption is switched off (`TROUBLE=0`).
pub fn is_calm() -> bool {
    std::env::var("TROUBLE").is_ok_and(|value| value == "0")
}

/// Runs a case in the folder that its script names, and returns the exit code of its verdict.
pub fn run_case(
    case: impl FnOnce(&std::path::Path, &record::Record) -> std::io::Result<Verdict>,
) -> ExitCode {
    let folder =
        std::path::PathBuf::from(std::env::var("REVIEW_CASE").unwrap_or_else(|_| ".".to_owned()));
    let temporary = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    router::end_after(std::time::Duration::from_secs(110));
    let run = || {
        std::fs::create_dir_all(&temporary)?;
        let record = record::Record::create(&folder)?;
        record.line(if is_calm() {
            "without the disruption"
        } else {
            "with the disruption"
        });
        let verdict = case(&temporary, &record)?;
        record.line(format!("verdict: {verdict:?}"));
        println!("{verdict:?}");
        Ok::<Verdict, std::io::Error>(verdict)
    };
    let verdict = run().unwrap_or_else(|error| {
        eprintln!("the case can't run: {error}");
        Verdict::NotRun
    });
    if std::env::var("REVIEW_KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    verdict.exit_code()
}
