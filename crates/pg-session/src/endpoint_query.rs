//! A statement with its values, as endpoints are asked.
//!
//! Responsible for a statement's values between the client's Bind and the endpoint's, which it writes with the
//! router's own waiting time. Independent of the protocol by which the client asked. Owns the values. Must never
//! do I/O.
//!
//! | module | responsible for |
//! | --- | --- |
//! | `values` | keeping the values of a Bind |
//! | `annotations` | what a request says of itself |
//! | `simple` | a statement as the text of a simple query |
//! | `literal` | making such a text of a bound statement |
//! | `value_format` | values in text and binary format |

mod annotations;
mod literal;
mod simple;
mod value_format;
mod values;

pub use simple::SimpleQuery;
pub use value_format::convert_format;

use crate::SessionError;
use crate::limits::SharedBudgets;
use crate::statement::Field;
use crate::template::{RequestTemplate, StatementKind, Template};
use reelrill_pg_protocol::Format;
use reelrill_pg_protocol::frontend::{self, Bind};
use reelrill_routing::Nanos;
use simple::timeout_ms;
use std::rc::Rc;
use value_format::{encode_id, encode_number};
use values::Values;

/// What an endpoint is to be asked.
#[derive(Debug)]
pub enum EndpointQuery {
    /// A statement as text, sent as a simple query.
    Simple(SimpleQuery),
    /// A prepared statement and its values.
    Bound(BoundStatement),
}

/// A prepared statement and its values.
#[derive(Debug)]
pub struct BoundStatement {
    template: Rc<Template>,
    values: Values,
    result: Format,
    /// The request's id where the client brought none.
    generated_id: u64,
}

impl BoundStatement {
    /// Takes a statement's values from a Bind. `generated_id` is the request's id where the client brings none.
    ///
    /// # Errors
    ///
    /// [`SessionError::ParameterCountMismatch`] or [`SessionError::FormatCountMismatch`] if the Bind does not fit the statement, [`SessionError::LimitExceeded`] if the
    /// bound on values is reached.
    pub fn new(
        template: &Rc<Template>,
        bind: &Bind,
        generated_id: u64,
        budgets: &SharedBudgets,
    ) -> Result<BoundStatement, SessionError> {
        values::check_counts(bind, template.client_parameter_types().len())?;
        Ok(BoundStatement {
            template: template.clone(),
            values: Values::copy(bind, &budgets.value_bytes)?,
            result: bind.result_format(0),
            generated_id,
        })
    }

    /// The statement.
    pub fn template(&self) -> &Template {
        &self.template
    }

    /// The format that the client wants its value in.
    pub fn result_format(&self) -> Format {
        self.result
    }

    fn request(&self) -> Option<&RequestTemplate> {
        match &self.template.kind {
            StatementKind::Request(request) => Some(request),
            StatementKind::Utility(_) | StatementKind::Empty => None,
        }
    }

    fn value(&self, index: usize) -> Option<&[u8]> {
        self.values.get(index)
    }

    fn format(&self, index: usize) -> Format {
        self.values.format(index)
    }

    /// Appends the Bind of the unnamed portal, with the time that the router will wait, in nanoseconds. Appends
    /// nothing if the statement is no request.
    pub fn put_bind(&self, out: &mut Vec<u8>, wait: Nanos) {
        let Some(request) = self.request() else {
            return;
        };
        let wait_type = request.types[request.timeout_index];
        let wait_value = encode_number(
            wait_type,
            self.format(request.timeout_index),
            timeout_ms(wait),
        );
        let id_index = id_index(request);
        let id_value = id_index
            .map(|index| encode_id(request.types[index], self.format(index), self.generated_id));
        let values = (0..request.types.len()).map(|index| {
            let value = match self.value(index) {
                _ if index == request.timeout_index => Some(&wait_value[..]),
                None if Some(index) == id_index => id_value.as_deref(),
                from_client => from_client,
            };
            (self.format(index), value)
        });
        frontend::put_bind(
            out,
            "",
            &self.template.statement_name(),
            values,
            self.result,
        );
    }
}

/// The index of the parameter that brings the request's id, counted from 0.
fn id_index(request: &RequestTemplate) -> Option<usize> {
    request
        .parameter_references
        .iter()
        .find(|(_, place, _)| *place == Field::Id)
        .map(|(_, _, index)| *index)
}

#[cfg(test)]
mod tests;
