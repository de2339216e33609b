//! A client's session without I/O: statements and their annotations, prepared statements, portals, and the order
//! in which pipelined requests may run.
//!
//! | module | responsible for |
//! | --- | --- |
//! | [`form`] | parsing a statement and the annotations in its comment |
//! | [`template`] | a prepared statement, its parameters' types and the text that endpoints get; one for all clients |
//! | [`bound`] | a statement with its values, as a Bind or as a simple query with literals |
//! | [`admit`] | checking a request against its class, and the typed request that the dispatcher gets |
//! | [`plan`] | a client's extended queries: names, portals and the pipeline |
//! | [`queue`] | a client's simple queries: which may start, and the order of answers |
//! | [`prepared`] | the statements that a connection to an endpoint has prepared |
//! | [`account`] | the bounds on what clients may hold |
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

/// Why a command is refused. The text names the thing at fault; [`SessionError::sqlstate`] is what the client gets with it.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SessionError {
    /// The text is no statement of ours.
    #[error(transparent)]
    Parse(#[from] statement::ParseError),
    /// A statement that is known and not supported.
    #[error("{0} is not supported here: each statement stands for itself")]
    Unsupported(String),
    /// Nothing tells the type of a parameter.
    #[error("parameter ${0}: neither its place nor the Parse tells its type")]
    UnknownParameterType(u16),
    /// A declared type that does not go with the parameter's place.
    #[error("parameter ${param}: type {oid} does not go with '{place}'")]
    ParameterTypeMismatch {
        /// Counted from 1.
        param: u16,
        /// The type as declared.
        oid: u32,
        /// The name in the comment, or the column.
        place: &'static str,
    },
    /// The waiting time is rewritten for each attempt, so nothing else may read its parameter.
    #[error("parameter ${0}: the one of 'd' may stand for nothing else")]
    SharedTimeoutParameter(u16),
    /// A Bind with another number of parameters than its statement has.
    #[error("the Bind brings {brought} parameters, the statement takes {takes}")]
    ParameterCountMismatch {
        /// In the Bind.
        brought: usize,
        /// In the statement.
        takes: usize,
    },
    /// More formats than values.
    #[error("the Bind brings {0} formats, which fit neither its parameters nor its one column")]
    FormatCountMismatch(usize),
    /// A value that must be there is null.
    #[error("'{0}' is null")]
    NullValue(&'static str),
    /// A value that makes no sense in its place.
    #[error("'{0}': missing or wrong")]
    InvalidValue(&'static str),
    /// A value that can't be written as a literal without doubt.
    #[error("'{0}': this value can't be written safely as a literal")]
    UnsafeLiteral(&'static str),
    /// A class that the settings do not name.
    #[error("unknown class '{0}'")]
    UnknownClass(String),
    /// A class that reads where the statement writes, or the other way round.
    #[error("class '{0}' does not go with this statement")]
    ClassMismatch(String),
    /// No statement of this name.
    #[error("prepared statement \"{0}\" does not exist")]
    UnknownStatement(String),
    /// No portal of this name.
    #[error("portal \"{0}\" does not exist")]
    UnknownPortal(String),
    /// The name is in use.
    #[error("prepared statement \"{0}\" already exists")]
    DuplicateStatement(String),
    /// The name is in use.
    #[error("portal \"{0}\" already exists")]
    DuplicatePortal(String),
    /// A write that has run is not run again.
    #[error("portal \"{0}\" has run; a Bind makes a new one")]
    PortalAlreadyRun(String),
    /// A bound is reached.
    #[error("too many {what}: {most} at most")]
    LimitExceeded {
        /// What there is too much of.
        what: &'static str,
        /// The bound.
        most: usize,
    },
}

impl SessionError {
    /// The error code that goes with it.
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
