//! The text of a prepared statement as endpoints get it.
//!
//! Responsible for rewriting the client's text so that each Bind can bring the waiting time and the request's
//! id: a waiting time in digits becomes a parameter, and an id or a waiting time that is missing is appended to
//! the comment as one. Owns the text only while it is built. Must never change any other byte of the client's
//! text, nor the numbers of the parameters that clients bring.

use super::{RequestTemplate, TemplateValue};
use crate::SessionError;
use crate::statement::{Field, FieldValue, ParseError, ParsedStatement};
use reelrill_pg_protocol::oid;
use std::ops::Range;

/// Room for the parameters that the router appends, in bytes.
const APPENDED_BYTES: usize = 24;

/// Rewrites a statement for endpoints. `types` are those of the parameters that clients bring.
///
/// # Errors
///
/// [`SessionError::Parse`] if the statement has no waiting time in the end.
pub(super) fn rewrite(
    text: &str,
    form: &ParsedStatement,
    types: Vec<u32>,
) -> Result<RequestTemplate, SessionError> {
    let client_parameter_count = types.len();
    let mut rewriter = Rewriter::new(text, types);
    for (place, word, range) in &form.fields {
        rewriter.add_word(*place, *word, range);
    }
    rewriter.copy_until(form.comment_end);
    for (place, type_oid) in [(Field::Id, oid::TEXT), (Field::Timeout, oid::INT4)] {
        if form.field(place).is_none() {
            rewriter.append_pair(place, type_oid);
        }
    }
    rewriter.copy_until(text.len());
    Ok(RequestTemplate {
        text: rewriter.text.into(),
        types: rewriter.types,
        client_parameter_count,
        fields: rewriter.fields,
        parameter_references: rewriter.parameter_references,
        is_write: form.is_write,
        timeout_index: rewriter
            .wait
            .ok_or(ParseError::InvalidField(Field::Timeout.name()))?,
    })
}

/// A statement's text being copied, with some words replaced by parameters.
struct Rewriter<'a> {
    source: &'a str,
    /// How much of `source` has been copied or replaced, in bytes.
    copied: usize,
    text: String,
    types: Vec<u32>,
    fields: Vec<(Field, TemplateValue)>,
    parameter_references: Vec<(Range<usize>, Field, usize)>,
    wait: Option<usize>,
}

impl<'a> Rewriter<'a> {
    fn new(source: &'a str, types: Vec<u32>) -> Rewriter<'a> {
        Rewriter {
            source,
            copied: 0,
            text: String::with_capacity(source.len() + APPENDED_BYTES),
            types,
            fields: Vec::new(),
            parameter_references: Vec::new(),
            wait: None,
        }
    }

    /// Takes the next word of the client's text, which stands at `range`.
    fn add_word(&mut self, place: Field, word: FieldValue, range: &Range<usize>) {
        match word {
            FieldValue::Parameter(number) => {
                let index = usize::from(number) - 1;
                self.replace(range, place, index);
                self.fields.push((place, TemplateValue::Parameter(index)));
            }
            FieldValue::Text(fixed) => {
                if place == Field::Timeout {
                    let index = self.add_type(oid::INT4);
                    self.replace(range, place, index);
                }
                self.fields.push((place, TemplateValue::Text(fixed.into())));
            }
        }
    }

    /// Copies the client's text up to this offset, in bytes.
    fn copy_until(&mut self, end: usize) {
        self.text.push_str(&self.source[self.copied..end]);
        self.copied = end;
    }

    /// Puts a parameter in the place of a word of the client's text.
    fn replace(&mut self, range: &Range<usize>, place: Field, index: usize) {
        self.copy_until(range.start);
        self.put_parameter(place, index);
        self.copied = range.end;
    }

    /// Appends a name to the comment with a parameter of its own.
    fn append_pair(&mut self, place: Field, type_oid: u32) {
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

    fn put_parameter(&mut self, place: Field, index: usize) {
        let start = self.text.len();
        self.text.push_str(&format!("${}", index + 1));
        self.parameter_references
            .push((start..self.text.len(), place, index));
        if place == Field::Timeout {
            self.wait = Some(index);
        }
    }
}
