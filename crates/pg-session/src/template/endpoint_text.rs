//! The text of a prepared statement as sent to endpoints.
//!
//! Responsible for rewriting the client's text so that each Bind can set the timeout and the request's id: a timeout
//! written in digits is replaced by a parameter, and an id or a timeout that is missing is appended to the comment
//! with a parameter as its value. Owns the text only while it is built. Must never change any other byte of the
//! client's text, nor the numbers of the client's parameters.

use super::{RequestTemplate, TemplateValue};
use crate::SessionError;
use crate::statement::{Field, FieldValue, ParseError, ParsedStatement};
use reelrill_pg_protocol::oid;
use std::ops::Range;

/// Bytes reserved for the parameters that the router appends.
const APPENDED_BYTES: usize = 24;

/// Rewrites a statement for endpoints. `types` holds the object ids of the types of the client's parameters.
///
/// # Errors
///
/// [`SessionError::Parse`] if the rewritten statement has no timeout.
pub(super) fn rewrite(
    text: &str,
    parsed: &ParsedStatement,
    types: Vec<u32>,
) -> Result<RequestTemplate, SessionError> {
    let client_parameter_count = types.len();
    let mut rewriter = Rewriter::new(text, types);
    for (field, value, range) in &parsed.fields {
        rewriter.add_field(*field, *value, range);
    }
    rewriter.copy_until(parsed.comment_end);
    for (field, type_oid) in [(Field::Id, oid::TEXT), (Field::Timeout, oid::INT4)] {
        if parsed.field(field).is_none() {
            rewriter.append_pair(field, type_oid);
        }
    }
    rewriter.copy_until(text.len());
    Ok(RequestTemplate {
        text: rewriter.text.into(),
        types: rewriter.types,
        client_parameter_count,
        fields: rewriter.fields,
        parameter_references: rewriter.parameter_references,
        is_write: parsed.is_write,
        timeout_index: rewriter
            .timeout_index
            .ok_or(ParseError::InvalidField(Field::Timeout.name()))?,
    })
}

/// Copies a statement's text and replaces some values by parameters.
struct Rewriter<'a> {
    source: &'a str,
    /// The number of bytes of `source` that have been copied or replaced.
    copied: usize,
    text: String,
    types: Vec<u32>,
    fields: Vec<(Field, TemplateValue)>,
    parameter_references: Vec<(Range<usize>, Field, usize)>,
    timeout_index: Option<usize>,
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
            timeout_index: None,
        }
    }

    /// Processes the next field of the client's text, whose value is at `range`.
    fn add_field(&mut self, field: Field, value: FieldValue, range: &Range<usize>) {
        match value {
            FieldValue::Parameter(number) => {
                let index = usize::from(number) - 1;
                self.replace(range, field, index);
                self.fields.push((field, TemplateValue::Parameter(index)));
            }
            FieldValue::Text(fixed) => {
                if field == Field::Timeout {
                    let index = self.add_parameter(oid::INT4);
                    self.replace(range, field, index);
                }
                self.fields.push((field, TemplateValue::Text(fixed.into())));
            }
        }
    }

    /// Copies the client's text up to the byte offset `end`.
    fn copy_until(&mut self, end: usize) {
        self.text.push_str(&self.source[self.copied..end]);
        self.copied = end;
    }

    /// Replaces a value in the client's text by a parameter.
    fn replace(&mut self, range: &Range<usize>, field: Field, index: usize) {
        self.copy_until(range.start);
        self.put_parameter(field, index);
        self.copied = range.end;
    }

    /// Appends an annotation to the comment, with a new parameter as its value.
    fn append_pair(&mut self, field: Field, type_oid: u32) {
        let index = self.add_parameter(type_oid);
        self.text.push(',');
        self.text.push_str(field.name());
        self.text.push('=');
        self.put_parameter(field, index);
    }

    /// Adds a parameter whose value the router sets, and returns its index.
    fn add_parameter(&mut self, type_oid: u32) -> usize {
        self.types.push(type_oid);
        self.types.len() - 1
    }

    /// Appends a parameter to the text and records its byte range.
    fn put_parameter(&mut self, field: Field, index: usize) {
        let start = self.text.len();
        self.text.push_str(&format!("${}", index + 1));
        self.parameter_references
            .push((start..self.text.len(), field, index));
        if field == Field::Timeout {
            self.timeout_index = Some(index);
        }
    }
}
