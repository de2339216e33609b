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

pub use simple::Simple;
pub use value_format::convert;

use crate::Wrong;
use crate::account::Accounts;
use crate::form::Place;
use crate::template::{Kind, Request, Template};
use reelrill_pg_protocol::Format;
use reelrill_pg_protocol::frontend::{self, Bind};
use reelrill_routing::Nanos;
use simple::wait_ms;
use std::rc::Rc;
use value_format::{encode_id, encode_number};
use values::Values;

/// What an endpoint is to be asked.
#[derive(Debug)]
pub enum Ask {
    /// A statement as text, sent as a simple query.
    Simple(Simple),
    /// A prepared statement and its values.
    Bound(Bound),
}

/// A prepared statement and its values.
#[derive(Debug)]
pub struct Bound {
    template: Rc<Template>,
    values: Values,
    result: Format,
    /// The request's id where the client brought none.
    drawn: u64,
}

impl Bound {
    /// Takes a statement's values from a Bind. `drawn` is the request's id where the client brings none.
    ///
    /// # Errors
    ///
    /// [`Wrong::Count`] or [`Wrong::Formats`] if the Bind does not fit the statement, [`Wrong::Limit`] if the
    /// bound on values is reached.
    pub fn new(
        template: &Rc<Template>,
        bind: &Bind,
        drawn: u64,
        accounts: &Accounts,
    ) -> Result<Bound, Wrong> {
        values::check_counts(bind, template.types().len())?;
        Ok(Bound {
            template: template.clone(),
            values: Values::copy(bind, &accounts.values)?,
            result: bind.result_format(0),
            drawn,
        })
    }

    /// The statement.
    pub fn template(&self) -> &Template {
        &self.template
    }

    /// The format that the client wants its value in.
    pub fn result(&self) -> Format {
        self.result
    }

    fn request(&self) -> Option<&Request> {
        match &self.template.kind {
            Kind::Request(request) => Some(request),
            Kind::Utility(_) | Kind::Empty => None,
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
        let wait_type = request.types[request.wait];
        let wait_value = encode_number(wait_type, self.format(request.wait), wait_ms(wait));
        let id_index = id_index(request);
        let id_value =
            id_index.map(|index| encode_id(request.types[index], self.format(index), self.drawn));
        let values = (0..request.types.len()).map(|index| {
            let value = match self.value(index) {
                _ if index == request.wait => Some(&wait_value[..]),
                None if Some(index) == id_index => id_value.as_deref(),
                from_client => from_client,
            };
            (self.format(index), value)
        });
        frontend::put_bind(out, "", &self.template.name(), values, self.result);
    }
}

/// The index of the parameter that brings the request's id, counted from 0.
fn id_index(request: &Request) -> Option<usize> {
    request
        .marks
        .iter()
        .find(|(_, place, _)| *place == Place::Id)
        .map(|(_, _, index)| *index)
}

#[cfg(test)]
mod tests;
