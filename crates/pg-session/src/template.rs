//! Prepared statements, parsed once and shared by all clients that prepare the same text with the same types.
//!
//! Responsible for the kind of a statement (a request, a utility statement or empty) and for its parameters. The text
//! sent to endpoints differs from the client's in two values: the timeout and the request's id are always parameters,
//! so that the text is the same for each Bind and is prepared once. A template is immutable and owns its texts; the
//! store counts their bytes. Must never hold the values of a Bind.
//!
//! | module | responsible for |
//! | --- | --- |
//! | `utility` | statements that have no effect on endpoints |
//! | `parameter_types` | the type of each parameter |
//! | `endpoint_text` | the text sent to endpoints |
//! | `store` | keeping each statement once, within a limit on bytes |

mod endpoint_text;
mod parameter_types;
mod store;
mod utility;

pub use store::TemplateStore;
pub use utility::UtilityStatement;

use crate::SessionError;
use crate::statement::{Field, ParseError, ParsedStatement};
use std::ops::Range;
use store::StoreEntry;

/// The value of a field in a prepared statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TemplateValue {
    /// A value written in the text, the same for each Bind.
    Text(Box<str>),
    /// The index of a parameter, from 0.
    Parameter(usize),
}

/// A prepared statement that is a request to an endpoint.
#[derive(Debug)]
pub struct RequestTemplate {
    /// The text sent to endpoints, with the parameters that the router adds.
    pub text: Box<str>,
    /// The object ids of all parameters' types; those of the added parameters are last.
    pub types: Vec<u32>,
    /// The number of parameters in the client's Bind. The router adds the values of the others.
    pub client_parameter_count: usize,
    /// The fields of the client's text, in text order.
    pub fields: Vec<(Field, TemplateValue)>,
    /// The parameters in `text`, in text order: byte range, field, and index from 0.
    pub parameter_references: Vec<(Range<usize>, Field, usize)>,
    /// Whether the statement writes.
    pub is_write: bool,
    /// The index of the timeout's parameter, from 0. Its value is in milliseconds.
    pub timeout_index: usize,
}

/// The kind of a prepared statement.
#[derive(Debug)]
pub enum StatementKind {
    /// A request, sent to endpoints.
    Request(RequestTemplate),
    /// A statement that the router handles without an endpoint.
    Utility(UtilityStatement),
    /// An empty statement.
    Empty,
}

/// A prepared statement, shared by all clients that have prepared it.
#[derive(Debug)]
pub struct Template {
    /// The statement's id, unique in its store and never reused.
    pub id: u64,
    /// The statement's kind.
    pub kind: StatementKind,
    source: Box<str>,
    declared: Box<[u32]>,
    _entry: StoreEntry,
}

impl Template {
    /// Returns the object ids of the types of the client's parameters.
    pub fn client_parameter_types(&self) -> &[u32] {
        match &self.kind {
            StatementKind::Request(request) => &request.types[..request.client_parameter_count],
            StatementKind::Utility(_) | StatementKind::Empty => &[],
        }
    }

    /// Returns the statement's name on connections to endpoints.
    pub fn statement_name(&self) -> String {
        statement_name(self.id)
    }
}

/// Returns the statement name, on connections to endpoints, of the template with the id `id`.
pub fn statement_name(id: u64) -> String {
    format!("r{id:x}")
}

/// Parses a statement. `declared` holds the object ids of the parameter types in its Parse (0: unspecified),
/// `value_type` is that of the value column's type.
fn parse(text: &str, declared: &[u32], value_type: u32) -> Result<StatementKind, SessionError> {
    if utility::trim_statement(text).is_empty() {
        return Ok(StatementKind::Empty);
    }
    if let Some(utility) = UtilityStatement::parse(text) {
        return utility.map(StatementKind::Utility);
    }
    let parsed = ParsedStatement::parse(text, true)?;
    for required in [Field::Class, Field::ReplicaSet] {
        parsed
            .field(required)
            .ok_or(ParseError::InvalidField(required.name()))?;
    }
    let types = parameter_types::resolve(&parsed, declared, value_type)?;
    endpoint_text::rewrite(text, &parsed, types).map(StatementKind::Request)
}

#[cfg(test)]
mod tests;
