//! A client's session without I/O: parses statements and their annotations, keeps prepared statements and portals,
//! and decides the order in which pipelined requests run.
//!
//! | module | responsible for |
//! | --- | --- |
//! | [`statement`] | parsing a statement and the annotations in its comment |
//! | [`template`] | prepared statements, shared by all clients: parameter types and the text sent to endpoints |
//! | [`endpoint_query`] | a statement with its values, sent to an endpoint as a Bind or as a simple query |
//! | [`request`] | checking a request's fields against its class |
//! | [`extended`] | a client's extended queries: prepared statements, portals and the pipeline |
//! | [`queue`] | a client's simple queries: which may start, and the order of responses |
//! | [`prepared`] | the statements prepared on one connection to an endpoint |
//! | [`limits`] | limits on the statements, portals, values and commands that clients may hold |
#![forbid(unsafe_code)]

pub mod endpoint_query;
pub mod extended;
pub mod limits;
pub mod prepared;
pub mod queue;
pub mod request;
pub mod statement;
pub mod template;

use reelrill_pg_protocol::sqlstate;

/// An error in a client's command. Its text is the message of the ErrorResponse that the client receives, and
/// [`SessionError::sqlstate`] is the code.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SessionError {
    /// The text is not a supported statement, or an annotation is missing or malformed.
    #[error(transparent)]
    Parse(#[from] statement::ParseError),
    /// A known command that the router doesn't support; holds the command's name.
    #[error("{0} is not supported here: each statement stands for itself")]
    Unsupported(String),
    /// Neither the Parse nor the parameter's field determines its type; holds the parameter's number.
    #[error("parameter ${0}: neither its place nor the Parse tells its type")]
    UnknownParameterType(u16),
    /// The declared type of a parameter doesn't fit a field that it is used for.
    #[error("parameter ${param}: type {oid} does not go with '{place}'")]
    ParameterTypeMismatch {
        /// The parameter's number, from 1.
        param: u16,
        /// The object id of the declared type.
        oid: u32,
        /// The name of the annotation or column.
        place: &'static str,
    },
    /// The timeout's parameter is used for another field, too. The timeout is rewritten for each attempt, so its
    /// parameter can't be shared; holds the parameter's number.
    #[error("parameter ${0}: the one of 'd' may stand for nothing else")]
    SharedTimeoutParameter(u16),
    /// A Bind with another number of parameters than its statement has.
    #[error("the Bind brings {brought} parameters, the statement takes {takes}")]
    ParameterCountMismatch {
        /// The number of parameters in the Bind.
        brought: usize,
        /// The number of parameters in the statement.
        takes: usize,
    },
    /// A Bind whose format codes match neither its parameters nor the one column; holds their number.
    #[error("the Bind brings {0} formats, which fit neither its parameters nor its one column")]
    FormatCountMismatch(usize),
    /// A required value is null; holds the name of the annotation or column.
    #[error("'{0}' is null")]
    NullValue(&'static str),
    /// A value is missing or invalid; holds the name of the annotation or column.
    #[error("'{0}': missing or wrong")]
    InvalidValue(&'static str),
    /// A value can't be written as a literal that every endpoint parses the same way; holds the name of the
    /// annotation or column.
    #[error("'{0}': this value can't be written safely as a literal")]
    UnsafeLiteral(&'static str),
    /// The settings don't define the class; holds its name.
    #[error("unknown class '{0}'")]
    UnknownClass(String),
    /// The statement writes and the class reads, or the reverse; holds the class's name.
    #[error("class '{0}' does not go with this statement")]
    ClassMismatch(String),
    /// No prepared statement has this name.
    #[error("prepared statement \"{0}\" does not exist")]
    UnknownStatement(String),
    /// No portal has this name.
    #[error("portal \"{0}\" does not exist")]
    UnknownPortal(String),
    /// A prepared statement with this name exists already.
    #[error("prepared statement \"{0}\" already exists")]
    DuplicateStatement(String),
    /// A portal with this name exists already.
    #[error("portal \"{0}\" already exists")]
    DuplicatePortal(String),
    /// The portal's write has run; it is never run twice.
    #[error("portal \"{0}\" has run; a Bind makes a new one")]
    PortalAlreadyRun(String),
    /// A limit is reached.
    #[error("too many {what}: {most} at most")]
    LimitExceeded {
        /// The limited items, as a plural noun.
        what: &'static str,
        /// The limit, in the units of `what`.
        most: usize,
    },
}

impl SessionError {
    /// Returns the number of bytes of client text that the error holds.
    pub fn text_bytes(&self) -> usize {
        match self {
            SessionError::Unsupported(text)
            | SessionError::UnknownClass(text)
            | SessionError::ClassMismatch(text)
            | SessionError::UnknownStatement(text)
            | SessionError::UnknownPortal(text)
            | SessionError::DuplicateStatement(text)
            | SessionError::DuplicatePortal(text)
            | SessionError::PortalAlreadyRun(text) => text.len(),
            _ => 0,
        }
    }

    /// Returns the SQLSTATE code of the error.
    pub fn sqlstate(&self) -> &'static str {
        match self {
            SessionError::Parse(_)
            | SessionError::UnknownClass(_)
            | SessionError::ClassMismatch(_) => sqlstate::SYNTAX_ERROR,
            SessionError::Unsupported(_) => sqlstate::FEATURE_NOT_SUPPORTED,
            SessionError::UnknownParameterType(_) => sqlstate::INDETERMINATE_DATATYPE,
            SessionError::ParameterTypeMismatch { .. }
            | SessionError::SharedTimeoutParameter(_) => sqlstate::DATATYPE_MISMATCH,
            SessionError::ParameterCountMismatch { .. } | SessionError::FormatCountMismatch(_) => {
                sqlstate::PROTOCOL_VIOLATION
            }
            SessionError::NullValue(_) => sqlstate::NULL_VALUE_NOT_ALLOWED,
            SessionError::InvalidValue(_) => sqlstate::INVALID_PARAMETER_VALUE,
            SessionError::UnsafeLiteral(_) => sqlstate::FEATURE_NOT_SUPPORTED,
            SessionError::UnknownStatement(_) => sqlstate::INVALID_SQL_STATEMENT_NAME,
            SessionError::UnknownPortal(_) => sqlstate::INVALID_CURSOR_NAME,
            SessionError::DuplicateStatement(_) => sqlstate::DUPLICATE_PREPARED_STATEMENT,
            SessionError::DuplicatePortal(_) => sqlstate::DUPLICATE_CURSOR,
            SessionError::PortalAlreadyRun(_) => sqlstate::OBJECT_NOT_IN_PREREQUISITE_STATE,
            SessionError::LimitExceeded { .. } => sqlstate::PROGRAM_LIMIT_EXCEEDED,
        }
    }
}
