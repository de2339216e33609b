//! SQLSTATE error codes that the router sends or reads, named after PostgreSQL's condition names.

/// `too_many_connections`: rejected without effect; the client may retry.
pub const TOO_MANY_CONNECTIONS: &str = "53300";
/// `protocol_violation`: a malformed message, or a Bind that doesn't fit its statement.
pub const PROTOCOL_VIOLATION: &str = "08P01";
/// `syntax_error`: the text is not a supported statement.
pub const SYNTAX_ERROR: &str = "42601";
/// `feature_not_supported`: a message, command or value that is not supported.
pub const FEATURE_NOT_SUPPORTED: &str = "0A000";
/// `system_error`: failed; the request may have been executed.
pub const SYSTEM_ERROR: &str = "58000";
/// `query_canceled`: cancelled by the client.
pub const QUERY_CANCELED: &str = "57014";
/// `invalid_sql_statement_name`: no prepared statement has this name.
pub const INVALID_SQL_STATEMENT_NAME: &str = "26000";
/// `invalid_cursor_name`: no portal has this name.
pub const INVALID_CURSOR_NAME: &str = "34000";
/// `duplicate_prepared_statement`: a prepared statement with this name exists.
pub const DUPLICATE_PREPARED_STATEMENT: &str = "42P05";
/// `duplicate_cursor`: a portal with this name exists.
pub const DUPLICATE_CURSOR: &str = "42P03";
/// `datatype_mismatch`: the type of a parameter doesn't fit its use.
pub const DATATYPE_MISMATCH: &str = "42804";
/// `null_value_not_allowed`: a required parameter is null.
pub const NULL_VALUE_NOT_ALLOWED: &str = "22004";
/// `invalid_parameter_value`: a parameter's value is invalid.
pub const INVALID_PARAMETER_VALUE: &str = "22023";
/// `program_limit_exceeded`: a limit of the router (commands, statements, portals, bytes) is reached.
pub const PROGRAM_LIMIT_EXCEEDED: &str = "54000";
/// `object_not_in_prerequisite_state`: the portal has run and returns no more rows.
pub const OBJECT_NOT_IN_PREREQUISITE_STATE: &str = "55000";
/// `read_only_sql_transaction`: the endpoint is not the primary.
pub const READ_ONLY_SQL_TRANSACTION: &str = "25006";
/// `snapshot_too_old`: the endpoint's applied position is too old for the read.
pub const SNAPSHOT_TOO_OLD: &str = "72000";
/// `indeterminate_datatype`: the type of a parameter can't be determined.
pub const INDETERMINATE_DATATYPE: &str = "42P18";
/// `cannot_connect_now`: the server is shutting down or starting up.
pub const CANNOT_CONNECT_NOW: &str = "57P03";
