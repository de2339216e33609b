//! The errors of the simulator's input and of the adapter.

use reelrill_routing::SettingsError;
use reelrill_routing_config::SettingsReadError;
use std::io;

/// The error of a line: an invalid field, or a message that is not allowed at this place.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    #[error("field {field}: missing, the line ends before it")]
    Missing { field: &'static str },
    #[error("field {field}: expected a number of the field's type and range, found '{text}'")]
    InvalidNumber { field: &'static str, text: String },
    #[error("field {field}: expected 16 hexadecimal digits, found '{text}'")]
    InvalidRequestId { field: &'static str, text: String },
    #[error("field {field}: expected 0 or 1, found '{text}'")]
    InvalidFlag { field: &'static str, text: String },
    #[error("field {field}: unknown value '{value}'")]
    UnknownValue { field: &'static str, value: String },
    #[error("field feedback: expected a pair name:value, found '{0}'")]
    InvalidReportPair(String),
    #[error("field feedback: expected a number as value, found '{0}'")]
    InvalidReportValue(String),
    #[error("field payload: expected Base64: {0}")]
    InvalidPayload(base64::DecodeError),
    #[error("field bootInfo: expected JSON: {0}")]
    SettingsJson(serde_json::Error),
    #[error("field bootInfo: {0}")]
    SettingsRead(SettingsReadError),
    #[error("field bootInfo: {0}")]
    InvalidSettings(SettingsError),
    #[error("field proxyId: unknown router {0}, expected one that UP has started")]
    UnknownRouter(u64),
    #[error("field sheet: expected the number of an endpoint list that CATALOG has defined")]
    UnknownList,
    #[error("outside a batch, expected MARK first")]
    OutsideBatch,
    #[error("inside a batch, expected END first")]
    BatchNotEnded,
    #[error("inside an endpoint list, expected ROW first; rows still missing: {0}")]
    RowExpected(usize),
}

/// The error that ends the adapter.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    #[error("can't read standard input: {0}")]
    Input(io::Error),
    #[error("can't write standard output: {0}")]
    Output(io::Error),
    #[error("line {0}: expected UTF-8 text")]
    NotUtf8(u64),
    #[error("line {0}: the input ends inside a batch, expected END")]
    EndsInsideBatch(u64),
    #[error("line {line_number}: {message}: {source}")]
    Line {
        line_number: u64,
        /// The line's first field.
        message: String,
        source: LineError,
    },
}
