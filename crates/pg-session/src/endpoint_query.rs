//! The query that an endpoint receives for a request: a statement with its values.
//!
//! Responsible for turning the values of the client's Bind into those for the endpoint, which have the router's own
//! timeout. Independent of the protocol in which the client sent the request. Owns the values. Must never do I/O.
//!
//! | module | responsible for |
//! | --- | --- |
//! | `values` | keeping the values of a Bind |
//! | `annotations` | reading the fields of a request |
//! | `simple` | a statement as the text of a simple query |
//! | `literal` | converting a bound statement to such a text |
//! | `value_format` | converting values between text and binary format |

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

/// The query that endpoints receive for a request.
#[derive(Debug)]
pub enum EndpointQuery {
    /// A statement as text, sent as a simple query.
    Simple(SimpleQuery),
    /// A prepared statement and its values, sent as an extended query.
    Bound(BoundStatement),
}

/// A prepared statement with the values of a Bind.
#[derive(Debug)]
pub struct BoundStatement {
    template: Rc<Template>,
    values: Values,
    result_format: Format,
    /// The request's id if the client sent none.
    generated_id: u64,
}

impl BoundStatement {
    /// Copies a statement's values from a Bind. `generated_id` is the request's id if the client sent none.
    ///
    /// # Errors
    ///
    /// [`SessionError::ParameterCountMismatch`] or [`SessionError::FormatCountMismatch`] if the Bind doesn't fit the
    /// statement, [`SessionError::LimitExceeded`] if the limit on the bytes of values is reached.
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
            result_format: bind.result_format(0),
            generated_id,
        })
    }

    /// Returns the statement's template.
    pub fn template(&self) -> &Template {
        &self.template
    }

    /// Returns the format of the result column that the client requested.
    pub fn result_format(&self) -> Format {
        self.result_format
    }

    /// Returns the statement, if it is a request.
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

    /// Appends the Bind of the unnamed portal. `timeout` is the time that the router will wait for the response, in
    /// nanoseconds. Appends nothing if the statement is not a request.
    pub fn put_bind(&self, out: &mut Vec<u8>, timeout: Nanos) {
        let Some(request) = self.request() else {
            return;
        };
        let timeout_type = request.types[request.timeout_index];
        let timeout_value = encode_number(
            timeout_type,
            self.format(request.timeout_index),
            timeout_ms(timeout),
        );
        let id_index = id_index(request);
        let id_value = id_index
            .map(|index| encode_id(request.types[index], self.format(index), self.generated_id));
        let values = (0..request.types.len()).map(|index| {
            let value = match self.value(index) {
                _ if index == request.timeout_index => Some(&timeout_value[..]),
                None if Some(index) == id_index => id_value.as_deref(),
                value_from_client => value_from_client,
            };
            (self.format(index), value)
        });
        frontend::put_bind(
            out,
            "",
            &self.template.statement_name(),
            values,
            self.result_format,
        );
    }
}

/// Returns the index of the parameter of the request's id, from 0.
fn id_index(request: &RequestTemplate) -> Option<usize> {
    request
        .parameter_references
        .iter()
        .find(|(_, field, _)| *field == Field::Id)
        .map(|(_, _, index)| *index)
}

#[cfg(test)]
mod tests;
