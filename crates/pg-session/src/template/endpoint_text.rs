//! The text of a prepared statement as endpoints get it.
//!
//! Responsible for rewriting the client's text so that each Bind can bring the waiting time and the request's
//! id: a waiting time in digits becomes a parameter, and an id or a waiting time that is missing is appended to
//! the comment as one. Owns the text only while it is built. Must never change any other byte of the client's
//! text, nor the numbers of the parameters that clients bring.

use super::{Request, Slot};
use crate::Wrong;
use crate::form::{Form, FormError, Place, Word};
use reelrill_pg_protocol::oid;
use std::ops::Range;

/// Room for the parameters that the router appends, in bytes.
const APPENDED_BYTES: usize = 24;

/// Rewrites a statement for endpoints. `types` are those of the parameters that clients bring.
///
/// # Errors
///
/// [`Wrong::Form`] if the statement has no waiting time in the end.
pub(super) fn rewrite(text: &str, form: &Form, types: Vec<u32>) -> Result<Request, Wrong> {
    let given = types.len();
    let mut rewriter = Rewriter::new(text, types);
    for (place, word, range) in &form.words {
        rewriter.add_word(*place, *word, range);
    }
    rewriter.copy_until(form.comment_end);
    for (place, type_oid) in [(Place::Id, oid::TEXT), (Place::Wait, oid::INT4)] {
        if form.word(place).is_none() {
            rewriter.append_pair(place, type_oid);
        }
    }
    rewriter.copy_until(text.len());
    Ok(Request {
        text: rewriter.text.into(),
        types: rewriter.types,
        given,
        slots: rewriter.slots,
        marks: rewriter.marks,
        is_write: form.is_write,
        wait: rewriter.wait.ok_or(FormError::Field(Place::Wait.name()))?,
    })
}

/// A statement's text being copied, with some words replaced by parameters.
struct Rewriter<'a> {
    source: &'a str,
    /// How much of `source` has been copied or replaced, in bytes.
    copied: usize,
    text: String,
    types: Vec<u32>,
    slots: Vec<(Place, Slot)>,
    marks: Vec<(Range<usize>, Place, usize)>,
    wait: Option<usize>,
}

impl<'a> Rewriter<'a> {
    fn new(source: &'a str, types: Vec<u32>) -> Rewriter<'a> {
        Rewriter {
            source,
            copied: 0,
            text: String::with_capacity(source.len() + APPENDED_BYTES),
            types,
            slots: Vec::new(),
            marks: Vec::new(),
            wait: None,
        }
    }

    /// Takes the next word of the client's text, which stands at `range`.
    fn add_word(&mut self, place: Place, word: Word, range: &Range<usize>) {
        match word {
            Word::Param(number) => {
                let index = usize::from(number) - 1;
                self.replace(range, place, index);
                self.slots.push((place, Slot::Param(index)));
            }
            Word::Text(fixed) => {
                if place == Place::Wait {
                    let index = self.add_type(oid::INT4);
                    self.replace(range, place, index);
                }
                self.slots.push((place, Slot::Text(fixed.into())));
            }
        }
    }

    /// Copies the client's text up to this offset, in bytes.
    fn copy_until(&mut self, end: usize) {
        self.text.push_str(&self.source[self.copied..end]);
        self.copied = end;
    }

    /// Puts a parameter in the place of a word of the client's text.
    fn replace(&mut self, range: &Range<usize>, place: Place, index: usize) {
        self.copy_until(range.start);
        self.put_parameter(place, index);
        self.copied = range.end;
    }

    /// Appends a name to the comment with a parameter of its own.
    fn append_pair(&mut self, place: Place, type_oid: u32) {
        let index = self.add_type(type_oid);
        self.text.push(',');
        self.text.push_str(place.name());
        self.text.push('=');
        self.put_parameter(place, index);
    }

    /// Adds a parameter that the router brings, and returns its index.
    fn add_type(&mut self, type_oid: u32) -> usize {
        self.types.push(type_oid);
        self.types.len() - 1
    }

    fn put_parameter(&mut self, place: Place, index: usize) {
        let start = self.text.len();
        self.text.push_str(&format!("${}", index + 1));
        self.marks.push((start..self.text.len(), place, index));
        if place == Place::Wait {
            self.wait = Some(index);
        }
    }
}
