//! The errors of the simulator's input and of the adapter.

use reelrill_routing::SettingsError;
use reelrill_routing_config::SettingsReadError;
use std::io;

/// The error of a line: an invalid field, or a message that is not allowed at this place.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    /// The line ends before the field.
    #[error("field {field}: missing, the line ends before it")]
    Missing { field: &'static str },
    /// The field is not a number, or is outside the range of its type.
    #[error("field {field}: expected a number of the field's type and range, found '{text}'")]
    InvalidNumber { field: &'static str, text: String },
    /// The field is not a request id.
    #[error("field {field}: expected 16 hexadecimal digits, found '{text}'")]
    InvalidRequestId { field: &'static str, text: String },
    /// The field is not a boolean.
    #[error("field {field}: expected 0 or 1, found '{text}'")]
    InvalidFlag { field: &'static str, text: String },
    /// The field takes one of several texts and holds another one.
    #[error("field {field}: unknown value '{value}'")]
    UnknownValue { field: &'static str, value: String },
    /// An item of a load report is not a pair of name and value.
    #[error("field feedback: expected a pair name:value, found '{0}'")]
    InvalidReportPair(String),
    /// The value of an item of a load report is not a number.
    #[error("field feedback: expected a number as value, found '{0}'")]
    InvalidReportValue(String),
    /// The message of another router is not Base64.
    #[error("field payload: expected Base64: {0}")]
    InvalidPayload(base64::DecodeError),
    /// The settings are not JSON.
    #[error("field bootInfo: expected JSON: {0}")]
    SettingsJson(serde_json::Error),
    /// A field of the settings is missing or invalid.
    #[error("field bootInfo: {0}")]
    SettingsRead(SettingsReadError),
    /// The balancer rejects the settings.
    #[error("field bootInfo: {0}")]
    InvalidSettings(SettingsError),
    /// The message names a router that has not been started, or was removed.
    #[error("field proxyId: unknown router {0}, expected one that UP has started")]
    UnknownRouter(u64),
    /// The message names no endpoint list, or one that has not been defined.
    #[error("field sheet: expected the number of an endpoint list that CATALOG has defined")]
    UnknownList,
    /// A message other than `MARK` came outside a batch.
    #[error("outside a batch, expected MARK first")]
    OutsideBatch,
    /// A batch begins before the previous one has ended.
    #[error("inside a batch, expected END first")]
    BatchNotEnded,
    /// Another message came before all rows of an endpoint list.
    #[error("inside an endpoint list, expected ROW first; rows still missing: {0}")]
    RowExpected(usize),
}

/// The error that ends the adapter.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    /// Standard input can't be read.
    #[error("can't read standard input: {0}")]
    Input(io::Error),
    /// Standard output can't be written.
    #[error("can't write standard output: {0}")]
    Output(io::Error),
    /// A line is not valid UTF-8.
    #[error("line {0}: expected UTF-8 text")]
    NotUtf8(u64),
    /// The input ends before the end of a batch.
    #[error("line {0}: the input ends inside a batch, expected END")]
    EndsInsideBatch(u64),
    /// A line is invalid.
    #[error("line {line_number}: {message}: {source}")]
    Line {
        line_number: u64,
        /// The line's first field.
        message: String,
        source: LineError,
    },
}
