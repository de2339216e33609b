//! Error codes (SQLSTATE) that this project gives or reads.

/// Refused: trying again is harmless.
pub const TOO_MANY: &str = "53300";
/// Bytes that do not follow the protocol, or a parameter that does not fit.
pub const PROTOCOL_VIOLATION: &str = "08P01";
/// A statement that is none.
pub const SYNTAX: &str = "42601";
/// A command or a statement that is not supported.
pub const UNSUPPORTED: &str = "0A000";
/// Failed, with no assurance about its effect.
pub const FAILED: &str = "58000";
/// The client called its request off.
pub const CANCELED: &str = "57014";
/// No statement of this name.
pub const NO_STATEMENT: &str = "26000";
/// No portal of this name.
pub const NO_PORTAL: &str = "34000";
/// A statement of this name exists.
pub const STATEMENT_EXISTS: &str = "42P05";
/// A portal of this name exists.
pub const PORTAL_EXISTS: &str = "42P03";
/// The type of a parameter can't be found out, or does not fit its place.
pub const WRONG_TYPE: &str = "42804";
/// A parameter that may not be null is.
pub const NULL: &str = "22004";
/// A parameter whose value makes no sense in its place.
pub const WRONG_VALUE: &str = "22023";
/// A bound of the router's (commands, statements, portals, bytes) is reached.
pub const LIMIT: &str = "54000";
/// A portal that has run and gives no more.
pub const PORTAL_DONE: &str = "55000";
/// Not the primary.
pub const READ_ONLY: &str = "25006";
/// Too far behind for this read.
pub const BEHIND: &str = "72000";
/// The type of a parameter is told nowhere.
pub const NO_TYPE: &str = "42P18";
/// The server is going away, or not there yet.
pub const LEAVING: &str = "57P03";
