//! Connects the balancer to the simulator: reads events from standard input and writes the balancers' actions to
//! standard output, with one balancer for each simulated router.
//!
//! Lines are read in batches, and each batch gets one reply. An invalid line ends the program with an error that states
//! the line's number and the field.
#![forbid(unsafe_code)]

mod actions;
mod adapter;
mod endpoint_lists;
mod error;
mod events;
mod fields;
mod replication;

use adapter::Adapter;
use error::AdapterError;
use std::io::{BufRead, Write};
use std::process::ExitCode;

/// Processes lines until the end of the input, and writes the replies.
fn run(mut input: impl BufRead, mut output: impl Write) -> Result<(), AdapterError> {
    let mut adapter = Adapter::default();
    let mut bytes = Vec::new();
    for line_number in 1u64.. {
        bytes.clear();
        let length = input
            .read_until(b'\n', &mut bytes)
            .map_err(AdapterError::Input)?;
        if length == 0 && adapter.is_in_batch() {
            return Err(AdapterError::EndsInsideBatch(line_number));
        }
        if length == 0 {
            return Ok(());
        }
        let text = std::str::from_utf8(&bytes).map_err(|_| AdapterError::NotUtf8(line_number))?;
        let line = text.trim_end_matches(['\n', '\r']);
        if line.is_empty() {
            continue;
        }
        let reply = adapter
            .process_line(line)
            .map_err(|source| AdapterError::Line {
                line_number,
                message: line.split('\t').next().unwrap_or_default().to_owned(),
                source,
            })?;
        if let Some(reply) = reply {
            output
                .write_all(reply.as_bytes())
                .and_then(|()| output.flush())
                .map_err(AdapterError::Output)?;
        }
    }
    Ok(())
}

fn main() -> ExitCode {
    match run(std::io::stdin().lock(), std::io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("reelrill-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
