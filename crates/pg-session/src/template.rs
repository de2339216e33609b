//! PreparedStatements statements, parsed once and shared by all clients that prepare the same text with the same types.
//!
//! Responsible for what a statement is (a request, a utility statement or nothing) and for its parameters.
//! The text that endpoints get differs from the client's in two words alone: the waiting time and the request's
//! id are always parameters, so that the text stays the same for each Bind and is prepared once. A template is
//! immutable and owns its texts; its bytes are counted by the store. Must never hold the values of a Bind.
//!
//! | module | responsible for |
//! | --- | --- |
//! | `utility` | statements that have no effect on endpoints |
//! | `parameter_types` | the type of each parameter |
//! | `endpoint_text` | the text that endpoints get |
//! | `store` | keeping each statement once, within a bound of bytes |

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

/// A word of a prepared statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TemplateValue {
    /// Stands in the text: the same for each Bind.
    Text(Box<str>),
    /// The index of a parameter, counted from 0.
    Parameter(usize),
}

/// A prepared statement that is a request to an endpoint.
#[derive(Debug)]
pub struct RequestTemplate {
    /// The text for endpoints, with the parameters that the router adds.
    pub text: Box<str>,
    /// The object ids of all parameters' types, the added ones last.
    pub types: Vec<u32>,
    /// How many parameters the client's Bind brings; the router brings the others.
    pub client_parameter_count: usize,
    /// The words that the router reads, in their order.
    pub fields: Vec<(Field, TemplateValue)>,
    /// Each parameter in `text`: the bytes where it stands, what it stands for, and its index from 0.
    pub parameter_references: Vec<(Range<usize>, Field, usize)>,
    /// Whether the statement writes.
    pub is_write: bool,
    /// The index of the parameter that brings the waiting time (milliseconds), counted from 0.
    pub timeout_index: usize,
}

/// What a prepared statement is.
#[derive(Debug)]
pub enum StatementKind {
    /// A request, which endpoints run.
    Request(RequestTemplate),
    /// A statement that the router handles alone.
    Utility(UtilityStatement),
    /// An empty statement.
    Empty,
}

/// A prepared statement.
#[derive(Debug)]
pub struct Template {
    /// Unique in its store, never used again.
    pub id: u64,
    /// What the statement is.
    pub kind: StatementKind,
    source: Box<str>,
    declared: Box<[u32]>,
    _entry: StoreEntry,
}

impl Template {
    /// The object ids of the types of the parameters that clients bring.
    pub fn client_parameter_types(&self) -> &[u32] {
        match &self.kind {
            StatementKind::Request(request) => &request.types[..request.client_parameter_count],
            StatementKind::Utility(_) | StatementKind::Empty => &[],
        }
    }

    /// Its name on connections to endpoints.
    pub fn statement_name(&self) -> String {
        statement_name(self.id)
    }
}

/// The name on connections to endpoints of the template with this id.
pub fn statement_name(id: u64) -> String {
    format!("r{id:x}")
}

/// Parses a statement. `declared` are the parameter types of its Parse (0: unspecified), `value_type` is the
/// type of the value column.
fn parse(text: &str, declared: &[u32], value_type: u32) -> Result<StatementKind, SessionError> {
    if utility::trim_statement(text).is_empty() {
        return Ok(StatementKind::Empty);
    }
    if let Some(utility) = UtilityStatement::parse(text) {
        return utility.map(StatementKind::Utility);
    }
    let form = ParsedStatement::parse(text, true)?;
    for required in [Field::Class, Field::ReplicaSet] {
        form.field(required)
            .ok_or(ParseError::InvalidField(required.name()))?;
    }
    let types = parameter_types::resolve(&form, declared, value_type)?;
    endpoint_text::rewrite(text, &form, types).map(StatementKind::Request)
}

#[cfg(test)]
mod tests;
