//! What can be wrong with the simulator's input.

use reelrill_routing::SettingsError;
use reelrill_routing_config::SettingsReadError;
use std::io;

/// What is wrong with a line: the field and why, or that the line is out of place.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    #[error("field {field}: missing")]
    Missing { field: &'static str },
    #[error("field {field}: '{text}' is not a number of its kind")]
    NotANumber { field: &'static str, text: String },
    #[error("field {field}: '{text}' is not 16 hex digits")]
    NotAnId { field: &'static str, text: String },
    #[error("field {field}: '{text}' is neither 0 nor 1")]
    NotAFlag { field: &'static str, text: String },
    #[error("field {field}: unknown word '{word}'")]
    UnknownWord { field: &'static str, word: String },
    #[error("field feedback: '{0}' is not a pair")]
    ReportPair(String),
    #[error("field feedback: '{0}' is not a number")]
    ReportNumber(String),
    #[error("field payload: {0}")]
    Payload(base64::DecodeError),
    #[error("field bootInfo: {0}")]
    SettingsJson(serde_json::Error),
    #[error("field bootInfo: {0}")]
    SettingsRead(SettingsReadError),
    #[error("field bootInfo: {0}")]
    Settings(SettingsError),
    #[error("field proxyId: no instance {0}")]
    UnknownRouter(u64),
    #[error("field sheet: no such CATALOG")]
    UnknownList,
    #[error("out of place: no MARK before it")]
    NoBatch,
    #[error("out of place: the batch before has not ended")]
    BatchNotEnded,
    #[error("out of place: {0} more ROW lines were announced")]
    RowExpected(usize),
}

/// Why the adapter ends early.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    #[error("standard input: {0}")]
    Input(io::Error),
    #[error("standard output: {0}")]
    Output(io::Error),
    #[error("line {0}: not UTF-8")]
    NotUtf8(u64),
    #[error("line {0}: the input ends inside a batch")]
    EndsInsideBatch(u64),
    #[error("line {number}: {message}: {source}")]
    Line {
        number: u64,
        /// The line's first word.
        message: String,
        source: LineError,
    },
}
