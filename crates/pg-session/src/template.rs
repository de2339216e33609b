//! A prepared statement, read once and shared by all that have prepared the same text with the same types.
//!
//! The text that endpoints get is the client's, but for two words. A `d` that stands there as digits becomes a
//! parameter, and an `id` or a `d` that is missing is added as one: each Bind can then say how long the router
//! waits, and under which name the request runs, while the text stays the same and is prepared once.

mod store;
mod utility;

pub use store::Templates;
pub use utility::Utility;

use crate::Wrong;
use crate::form::{Form, FormError, Place, Word};
use reelrill_pg_protocol::frontend::MOST_PARAMETERS;
use reelrill_pg_protocol::oid;
use std::ops::Range;
use store::StoreEntry;

/// A word of a prepared statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Slot {
    /// The same in each run.
    Text(Box<str>),
    /// Brought by each Bind; counted from 0.
    Param(usize),
}

/// A prepared statement that is a request.
#[derive(Debug)]
pub struct Request {
    /// What endpoints get, with the parameters that the router adds.
    pub text: Box<str>,
    /// The types of all parameters, the added ones last.
    pub types: Vec<u32>,
    /// How many of them clients bring.
    pub given: usize,
    /// The words that the router reads.
    pub slots: Vec<(Place, Slot)>,
    /// Where parameters stand in `text`.
    pub marks: Vec<(Range<usize>, Place, usize)>,
    /// It writes.
    pub is_write: bool,
    /// The parameter that brings the waiting time.
    pub wait: usize,
}

/// What a prepared statement is.
#[derive(Debug)]
pub enum Kind {
    /// A request: goes to endpoints.
    Request(Request),
    /// Handled by the router alone.
    Utility(Utility),
    /// An empty statement.
    Empty,
}

/// A prepared statement.
#[derive(Debug)]
pub struct Template {
    /// Never given to another one.
    pub id: u64,
    /// What it is.
    pub kind: Kind,
    source: Box<str>,
    declared: Box<[u32]>,
    _entry: StoreEntry,
}

impl Template {
    /// The types of the parameters that clients bring.
    pub fn types(&self) -> &[u32] {
        match &self.kind {
            Kind::Request(r) => &r.types[..r.given],
            _ => &[],
        }
    }

    /// Its name on connections to endpoints.
    pub fn name(&self) -> String {
        name(self.id)
    }
}

/// The name of a template on connections to endpoints.
pub fn name(id: u64) -> String {
    format!("r{id:x}")
}

/// The type of a parameter that is left open.
fn usual_type(place: Place, data: u32) -> Option<u32> {
    match place {
        Place::Value => Some(data),
        Place::Key | Place::Id | Place::Class | Place::Idempotency | Place::Retry => {
            Some(oid::TEXT)
        }
        Place::ReplicaSet | Place::Wait => Some(oid::INT4),
        Place::After => Some(oid::INT8),
        Place::Other => None,
    }
}

fn fits(place: Place, declared: u32) -> bool {
    let is_integer = oid::integer_len(declared).is_some();
    oid::is_text(declared)
        || match place {
            Place::Key | Place::Class => false,
            Place::Value => declared == oid::BYTEA,
            Place::Id | Place::Idempotency => declared == oid::INT8,
            Place::ReplicaSet | Place::Wait | Place::After => is_integer,
            Place::Retry => is_integer || declared == oid::BOOL,
            Place::Other => true,
        }
}

fn read(text: &str, declared: &[u32], data: u32) -> Result<Kind, Wrong> {
    if utility::trim_statement(text).is_empty() {
        return Ok(Kind::Empty);
    }
    if let Some(utility) = Utility::read(text) {
        return utility.map(Kind::Utility);
    }
    let form = Form::read(text, true)?;
    for needed in [Place::Class, Place::ReplicaSet] {
        form.word(needed).ok_or(FormError::Field(needed.name()))?;
    }
    let number = |w: &(Place, Word, _)| {
        if let Word::Param(n) = w.1 {
            n as usize
        } else {
            0
        }
    };
    let given = form
        .words
        .iter()
        .map(number)
        .max()
        .unwrap_or(0)
        .max(declared.len());
    if given + 2 > MOST_PARAMETERS {
        return Err(Wrong::Limit {
            what: "parameters",
            most: MOST_PARAMETERS - 2,
        });
    }
    let mut types = Vec::with_capacity(given + 2);
    for n in 1..=given {
        let places = form
            .words
            .iter()
            .filter(|w| w.1 == Word::Param(n as u16))
            .map(|w| w.0);
        let told = declared.get(n - 1).copied().filter(|t| *t != oid::UNKNOWN);
        let usual = places.clone().find_map(|place| usual_type(place, data));
        let found = told.or(usual).ok_or(Wrong::NoType(n as u16))?;
        if let Some(place) = places.clone().find(|place| !fits(*place, found)) {
            return Err(Wrong::Type {
                param: n as u16,
                oid: found,
                place: place.name(),
            });
        }
        if places.clone().any(|p| p == Place::Wait) && places.count() > 1 {
            return Err(Wrong::Shared(n as u16));
        }
        types.push(found);
    }
    // The text for endpoints, piece by piece.
    let (mut out, mut from) = (String::with_capacity(text.len() + 24), 0);
    let (mut slots, mut marks) = (Vec::new(), Vec::new());
    let mut wait = None;
    for (place, word, range) in &form.words {
        let index = match word {
            Word::Param(n) => *n as usize - 1,
            Word::Text(_) if *place == Place::Wait => {
                types.push(oid::INT4);
                types.len() - 1
            }
            Word::Text(fixed) => {
                slots.push((*place, Slot::Text((*fixed).into())));
                continue;
            }
        };
        out.push_str(&text[from..range.start]);
        let start = out.len();
        out.push_str(&format!("${}", index + 1));
        marks.push((start..out.len(), *place, index));
        from = range.end;
        if *place == Place::Wait {
            wait = Some(index);
        }
        slots.push((
            *place,
            if let Word::Text(t) = word {
                Slot::Text((*t).into())
            } else {
                Slot::Param(index)
            },
        ));
    }
    out.push_str(&text[from..form.comment_end]);
    for (place, usual) in [(Place::Id, oid::TEXT), (Place::Wait, oid::INT4)] {
        if form.word(place).is_some() {
            continue;
        }
        types.push(usual);
        out.push_str(&format!(",{}=", place.name()));
        let start = out.len();
        out.push_str(&format!("${}", types.len()));
        marks.push((start..out.len(), place, types.len() - 1));
        if place == Place::Wait {
            wait = Some(types.len() - 1);
        }
    }
    out.push_str(&text[form.comment_end..]);
    let wait = wait.ok_or(FormError::Field("d"))?;
    let (text, is_write) = (out.into(), form.is_write);
    Ok(Kind::Request(Request {
        text,
        types,
        given,
        slots,
        marks,
        is_write,
        wait,
    }))
}

#[cfg(test)]
mod tests;
