//! A statement with its values, as endpoints are asked.
//!
//! Responsible for taking values from a Bind, reading what the request says of itself, and writing the Bind for
//! an endpoint. Owns a copy of the values, with its share of the bound on them. Independent of the protocol by
//! which the client asked. Must never do I/O.
//!
//! | module | responsible for |
//! | --- | --- |
//! | `simple` | a statement as the text of a simple query |
//! | `literal` | making such a text of a bound statement |
//! | `value_format` | values in text and binary format |

mod literal;
mod simple;
mod value_format;

pub use simple::Simple;
pub use value_format::convert;

use crate::Wrong;
use crate::account::{Accounts, Share};
use crate::admit::Named;
use crate::form::{self, Place};
use crate::template::{Kind, Request, Slot, Template};
use reelrill_pg_protocol::frontend::{self, Bind};
use reelrill_pg_protocol::{Format, oid};
use reelrill_routing::Nanos;
use simple::wait_ms;
use std::borrow::Cow;
use std::ops::Range;
use std::rc::Rc;
use value_format::{decode_word, encode_id, encode_number};

/// What an endpoint is to be asked.
#[derive(Debug)]
pub enum Ask {
    /// A statement in words, as a simple query.
    Simple(Simple),
    /// A prepared statement and its values.
    Bound(Bound),
}

/// A prepared statement and its values.
#[derive(Debug)]
pub struct Bound {
    template: Rc<Template>,
    bytes: Vec<u8>,
    /// Of the parameters that the client brought.
    values: Vec<(Format, Option<Range<usize>>)>,
    result: Format,
    /// The name that the request goes by, where the client brought none.
    drawn: u64,
    _share: Share,
}

impl Bound {
    /// Takes a statement's values from a Bind. `drawn` names the request where the client does not.
    pub fn new(
        template: &Rc<Template>,
        bind: &Bind,
        drawn: u64,
        accounts: &Accounts,
    ) -> Result<Bound, Wrong> {
        let takes = template.types().len();
        if bind.values.len() != takes {
            return Err(Wrong::Count {
                brought: bind.values.len(),
                takes,
            });
        }
        if bind.formats.len() > 1 && bind.formats.len() != takes {
            return Err(Wrong::Formats(bind.formats.len()));
        }
        if bind.results.len() > 1 {
            return Err(Wrong::Formats(bind.results.len()));
        }
        let len = bind.values.iter().flatten().map(|v| v.len()).sum();
        let most = accounts.values.most();
        let share = accounts.values.take(len).ok_or(Wrong::Limit {
            what: "bytes of values",
            most,
        })?;
        let mut bytes = Vec::with_capacity(len);
        let mut keep = |(i, value): (usize, &Option<&[u8]>)| {
            let range = value.map(|v| {
                bytes.extend_from_slice(v);
                bytes.len() - v.len()..bytes.len()
            });
            (bind.format(i), range)
        };
        let values = bind.values.iter().enumerate().map(&mut keep).collect();
        Ok(Bound {
            template: template.clone(),
            bytes,
            values,
            result: bind.result(0),
            drawn,
            _share: share,
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
        if let Kind::Request(r) = &self.template.kind {
            Some(r)
        } else {
            None
        }
    }

    fn value(&self, index: usize) -> Option<&[u8]> {
        self.values
            .get(index)?
            .1
            .clone()
            .and_then(|range| self.bytes.get(range))
    }

    fn format(&self, index: usize) -> Format {
        self.values.get(index).map_or(Format::Text, |v| v.0)
    }

    /// The word at a place: none if it is not there or null.
    fn word<'a>(&'a self, r: &'a Request, place: Place) -> Result<Option<Cow<'a, str>>, Wrong> {
        match r.slots.iter().find(|(p, _)| *p == place) {
            None => Ok(None),
            Some((_, Slot::Text(text))) => Ok(Some(Cow::Borrowed(text))),
            Some((_, Slot::Param(index))) => match self.value(*index) {
                None => Ok(None),
                Some(value) => decode_word(r.types[*index], self.format(*index), value)
                    .map(Some)
                    .ok_or(Wrong::Value(place.name())),
            },
        }
    }

    fn number<T: std::str::FromStr>(&self, r: &Request, place: Place) -> Result<Option<T>, Wrong> {
        let Some(word) = self.word(r, place)? else {
            return Ok(None);
        };
        form::number(&word)
            .map(Some)
            .ok_or(Wrong::Value(place.name()))
    }

    /// The request's name as the client brought it.
    fn id(&self, r: &Request) -> Result<Option<u64>, Wrong> {
        let Some(word) = self.word(r, Place::Id)? else {
            return Ok(None);
        };
        let is_integer = r.slots.iter().any(
            |(place, slot)| matches!(slot, Slot::Param(i) if *place == Place::Id && r.types[*i] == oid::INT8),
        );
        let id = if is_integer {
            word.parse::<i64>().ok().map(|i| i as u64)
        } else {
            form::id(&word)
        };
        id.map(Some).ok_or(Wrong::Value("id"))
    }

    /// Reads what the request says of itself and has `use_it` judge it.
    pub fn named<T>(&self, use_it: impl FnOnce(&Named) -> Result<T, Wrong>) -> Result<T, Wrong> {
        let Some(r) = self.request() else {
            return Err(Wrong::Value("statement"));
        };
        let needed = |place: Place| self.word(r, place)?.ok_or(Wrong::Null(place.name()));
        let (class, key) = (needed(Place::Class)?, needed(Place::Key)?);
        if r.is_write {
            let value = r.slots.iter().find(|(p, _)| *p == Place::Value);
            if let Some((_, Slot::Param(index))) = value {
                self.check_value(r, *index)?;
            }
        }
        let retry = self.word(r, Place::Retry)?;
        let named = Named {
            id: Some(self.id(r)?.unwrap_or(self.drawn)),
            class: &class,
            replica_set: self
                .number(r, Place::ReplicaSet)?
                .ok_or(Wrong::Null("cluster"))?,
            wait_ms: self.number(r, Place::Wait)?.or(self.fixed_wait(r)?),
            after_ms: self.number(r, Place::After)?,
            is_retry: retry.is_some_and(|r| ["1", "t", "true"].contains(&&*r)),
            has_key: self
                .word(r, Place::Idempotency)?
                .is_some_and(|k| !k.is_empty()),
            is_write: r.is_write,
            key: &key,
        };
        use_it(&named)
    }

    /// The waiting time that stands in the text itself; its parameter is the router's own.
    fn fixed_wait(&self, r: &Request) -> Result<Option<u64>, Wrong> {
        match r.slots.iter().find(|(p, _)| *p == Place::Wait) {
            Some((_, Slot::Text(t))) => form::number(t).map(Some).ok_or(Wrong::Value("d")),
            _ => Ok(None),
        }
    }

    fn check_value(&self, r: &Request, index: usize) -> Result<(), Wrong> {
        let value = self.value(index).ok_or(Wrong::Null("data"))?;
        let is_good = if r.types[index] == oid::BYTEA && self.format(index) == Format::Binary {
            value.len() <= form::LARGEST_VALUE
        } else {
            std::str::from_utf8(value).is_ok_and(form::is_value)
        };
        if is_good {
            Ok(())
        } else {
            Err(Wrong::Value("data"))
        }
    }

    /// Appends the Bind of the unnamed portal, with the time that the router will wait.
    pub fn put_bind(&self, out: &mut Vec<u8>, wait: Nanos) {
        let Some(r) = self.request() else { return };
        let wait = encode_number(r.types[r.wait], self.format(r.wait), wait_ms(wait));
        let id_at = r
            .marks
            .iter()
            .find(|(_, place, _)| *place == Place::Id)
            .map(|m| m.2);
        let id = id_at.map_or(Vec::new(), |i| {
            encode_id(r.types[i], self.format(i), self.drawn)
        });
        let value = |i: usize| {
            let brought = self.value(i);
            let value = match brought {
                _ if i == r.wait => Some(&wait[..]),
                None if Some(i) == id_at => Some(&id[..]),
                other => other,
            };
            (self.format(i), value)
        };
        let values = (0..r.types.len()).map(value);
        frontend::put_bind(out, "", &self.template.name(), values, self.result);
    }
}

#[cfg(test)]
mod tests;
