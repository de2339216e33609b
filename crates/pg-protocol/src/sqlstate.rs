//! Error codes (SQLSTATE) that this project gives or reads.

/// Refused: trying again is harmless.
pub const TOO_MANY_CONNECTIONS: &str = "53300";
/// Bytes that do not follow the protocol, or a parameter that does not fit.
pub const PROTOCOL_VIOLATION: &str = "08P01";
/// A statement that is none.
pub const SYNTAX_ERROR: &str = "42601";
/// A command or a statement that is not supported.
pub const FEATURE_NOT_SUPPORTED: &str = "0A000";
/// Failed, with no assurance about its effect.
pub const SYSTEM_ERROR: &str = "58000";
/// The client called its request off.
pub const QUERY_CANCELED: &str = "57014";
/// No statement of this name.
pub const INVALID_SQL_STATEMENT_NAME: &str = "26000";
/// No portal of this name.
pub const INVALID_CURSOR_NAME: &str = "34000";
/// A statement of this name exists.
pub const DUPLICATE_PREPARED_STATEMENT: &str = "42P05";
/// A portal of this name exists.
pub const DUPLICATE_CURSOR: &str = "42P03";
/// The type of a parameter can't be found out, or does not fit its place.
pub const DATATYPE_MISMATCH: &str = "42804";
/// A parameter that may not be null is.
pub const NULL_VALUE_NOT_ALLOWED: &str = "22004";
/// A parameter whose value makes no sense in its place.
pub const INVALID_PARAMETER_VALUE: &str = "22023";
/// A bound of the router's (commands, statements, portals, bytes) is reached.
pub const PROGRAM_LIMIT_EXCEEDED: &str = "54000";
/// A portal that has run and gives no more.
pub const OBJECT_NOT_IN_PREREQUISITE_STATE: &str = "55000";
/// Not the primary.
pub const READ_ONLY_SQL_TRANSACTION: &str = "25006";
/// Too far behind for this read.
pub const SNAPSHOT_TOO_OLD: &str = "72000";
/// The type of a parameter is told nowhere.
pub const INDETERMINATE_DATATYPE: &str = "42P18";
/// The server is going away, or not there yet.
pub const CANNOT_CONNECT_NOW: &str = "57P03";
