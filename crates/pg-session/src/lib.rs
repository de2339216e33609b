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

pub mod account;
pub mod admit;
pub mod bound;
pub mod form;
pub mod plan;
pub mod prepared;
pub mod queue;
pub mod template;

use reelrill_pg_protocol::sqlstate;

/// Why a command is refused. The text names the thing at fault; [`Wrong::sqlstate`] is what the client gets with it.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Wrong {
    /// The text is no statement of ours.
    #[error(transparent)]
    Form(#[from] form::FormError),
    /// A statement that is known and not supported.
    #[error("{0} is not supported here: each statement stands for itself")]
    Unsupported(String),
    /// Nothing tells the type of a parameter.
    #[error("parameter ${0}: neither its place nor the Parse tells its type")]
    NoType(u16),
    /// A declared type that does not go with the parameter's place.
    #[error("parameter ${param}: type {oid} does not go with '{place}'")]
    Type {
        /// Counted from 1.
        param: u16,
        /// The type as declared.
        oid: u32,
        /// The name in the comment, or the column.
        place: &'static str,
    },
    /// The waiting time is rewritten for each attempt, so nothing else may read its parameter.
    #[error("parameter ${0}: the one of 'd' may stand for nothing else")]
    Shared(u16),
    /// A Bind with another number of parameters than its statement has.
    #[error("the Bind brings {brought} parameters, the statement takes {takes}")]
    Count {
        /// In the Bind.
        brought: usize,
        /// In the statement.
        takes: usize,
    },
    /// More formats than values.
    #[error("the Bind brings {0} formats, which fit neither its parameters nor its one column")]
    Formats(usize),
    /// A value that must be there is null.
    #[error("'{0}' is null")]
    Null(&'static str),
    /// A value that makes no sense in its place.
    #[error("'{0}': missing or wrong")]
    Value(&'static str),
    /// A value that can't be written as a literal without doubt.
    #[error("'{0}': this value can't be written safely as a literal")]
    Literal(&'static str),
    /// A class that the settings do not name.
    #[error("unknown class '{0}'")]
    Class(String),
    /// A class that reads where the statement writes, or the other way round.
    #[error("class '{0}' does not go with this statement")]
    Kind(String),
    /// No statement of this name.
    #[error("prepared statement \"{0}\" does not exist")]
    NoStatement(String),
    /// No portal of this name.
    #[error("portal \"{0}\" does not exist")]
    NoPortal(String),
    /// The name is in use.
    #[error("prepared statement \"{0}\" already exists")]
    StatementExists(String),
    /// The name is in use.
    #[error("portal \"{0}\" already exists")]
    PortalExists(String),
    /// A write that has run is not run again.
    #[error("portal \"{0}\" has run; a Bind makes a new one")]
    PortalDone(String),
    /// A bound is reached.
    #[error("too many {what}: {most} at most")]
    Limit {
        /// What there is too much of.
        what: &'static str,
        /// The bound.
        most: usize,
    },
}

impl Wrong {
    /// The error code that goes with it.
    pub fn sqlstate(&self) -> &'static str {
        match self {
            Wrong::Form(_) | Wrong::Class(_) | Wrong::Kind(_) => sqlstate::SYNTAX_ERROR,
            Wrong::Unsupported(_) => sqlstate::FEATURE_NOT_SUPPORTED,
            Wrong::NoType(_) => sqlstate::INDETERMINATE_DATATYPE,
            Wrong::Type { .. } | Wrong::Shared(_) => sqlstate::DATATYPE_MISMATCH,
            Wrong::Count { .. } | Wrong::Formats(_) => sqlstate::PROTOCOL_VIOLATION,
            Wrong::Null(_) => sqlstate::NULL_VALUE_NOT_ALLOWED,
            Wrong::Value(_) => sqlstate::INVALID_PARAMETER_VALUE,
            Wrong::Literal(_) => sqlstate::FEATURE_NOT_SUPPORTED,
            Wrong::NoStatement(_) => sqlstate::INVALID_SQL_STATEMENT_NAME,
            Wrong::NoPortal(_) => sqlstate::INVALID_CURSOR_NAME,
            Wrong::StatementExists(_) => sqlstate::DUPLICATE_PREPARED_STATEMENT,
            Wrong::PortalExists(_) => sqlstate::DUPLICATE_CURSOR,
            Wrong::PortalDone(_) => sqlstate::OBJECT_NOT_IN_PREREQUISITE_STATE,
            Wrong::Limit { .. } => sqlstate::PROGRAM_LIMIT_EXCEEDED,
        }
    }
}
