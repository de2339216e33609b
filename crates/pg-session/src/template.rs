//! Prepared statements, parsed once and shared by all clients that prepare the same text with the same types.
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

pub use store::Templates;
pub use utility::Utility;

use crate::Wrong;
use crate::form::{Form, FormError, Place};
use std::ops::Range;
use store::StoreEntry;

/// A word of a prepared statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Slot {
    /// Stands in the text: the same for each Bind.
    Text(Box<str>),
    /// The index of a parameter, counted from 0.
    Param(usize),
}

/// A prepared statement that is a request to an endpoint.
#[derive(Debug)]
pub struct Request {
    /// The text for endpoints, with the parameters that the router adds.
    pub text: Box<str>,
    /// The object ids of all parameters' types, the added ones last.
    pub types: Vec<u32>,
    /// How many parameters the client's Bind brings; the router brings the others.
    pub given: usize,
    /// The words that the router reads, in their order.
    pub slots: Vec<(Place, Slot)>,
    /// Each parameter in `text`: the bytes where it stands, what it stands for, and its index from 0.
    pub marks: Vec<(Range<usize>, Place, usize)>,
    /// Whether the statement writes.
    pub is_write: bool,
    /// The index of the parameter that brings the waiting time (milliseconds), counted from 0.
    pub wait: usize,
}

/// What a prepared statement is.
#[derive(Debug)]
pub enum Kind {
    /// A request, which endpoints run.
    Request(Request),
    /// A statement that the router handles alone.
    Utility(Utility),
    /// An empty statement.
    Empty,
}

/// A prepared statement.
#[derive(Debug)]
pub struct Template {
    /// Unique in its store, never used again.
    pub id: u64,
    /// What the statement is.
    pub kind: Kind,
    source: Box<str>,
    declared: Box<[u32]>,
    _entry: StoreEntry,
}

impl Template {
    /// The object ids of the types of the parameters that clients bring.
    pub fn types(&self) -> &[u32] {
        match &self.kind {
            Kind::Request(request) => &request.types[..request.given],
            Kind::Utility(_) | Kind::Empty => &[],
        }
    }

    /// Its name on connections to endpoints.
    pub fn name(&self) -> String {
        name(self.id)
    }
}

/// The name on connections to endpoints of the template with this id.
pub fn name(id: u64) -> String {
    format!("r{id:x}")
}

/// Parses a statement. `declared` are the parameter types of its Parse (0: unspecified), `value_type` is the
/// type of the value column.
fn parse(text: &str, declared: &[u32], value_type: u32) -> Result<Kind, Wrong> {
    if utility::trim_statement(text).is_empty() {
        return Ok(Kind::Empty);
    }
    if let Some(utility) = Utility::read(text) {
        return utility.map(Kind::Utility);
    }
    let form = Form::read(text, true)?;
    for required in [Place::Class, Place::ReplicaSet] {
        form.word(required)
            .ok_or(FormError::Field(required.name()))?;
    }
    let types = parameter_types::resolve(&form, declared, value_type)?;
    endpoint_text::rewrite(text, &form, types).map(Kind::Request)
}

#[cfg(test)]
mod tests;
