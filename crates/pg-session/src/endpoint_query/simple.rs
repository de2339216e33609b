//! A statement as the text of a simple query.
//!
//! Responsible for the timeout in the text, the one value that differs between attempts. Owns the text. Must never
//! change any other byte of it.

use crate::limits::Reservation;
use reelrill_routing::Nanos;
use std::ops::Range;

/// Nanoseconds in a millisecond.
const NANOS_PER_MILLISECOND: Nanos = 1_000_000;

/// Bytes reserved for a timeout with more digits than the one in the text.
const EXTRA_DIGITS_BYTES: usize = 8;

/// A statement as text, in which only the timeout may change.
#[derive(Debug)]
pub struct SimpleQuery {
    text: Vec<u8>,
    timeout_digits: Range<usize>,
    /// The reservation of the text's bytes, if the text was made from bound values.
    _reservation: Option<Reservation>,
}

/// Converts a timeout to the unit of the annotation `d`: whole milliseconds, at least 1.
pub(super) fn timeout_ms(timeout: Nanos) -> u64 {
    (timeout / NANOS_PER_MILLISECOND).max(1)
}

impl SimpleQuery {
    /// Creates a simple query. `timeout_digits` is the byte range of the timeout's digits in `text`.
    pub fn new(text: Vec<u8>, timeout_digits: Range<usize>) -> SimpleQuery {
        SimpleQuery {
            text,
            timeout_digits,
            _reservation: None,
        }
    }

    /// Creates a simple query from a text that was made from bound values, with the reservation of its bytes.
    pub(super) fn from_values(
        text: Vec<u8>,
        timeout_digits: Range<usize>,
        reservation: Reservation,
    ) -> SimpleQuery {
        SimpleQuery {
            text,
            timeout_digits,
            _reservation: Some(reservation),
        }
    }

    /// Returns the text with `timeout`, the time that the router will wait for the response, in nanoseconds.
    pub fn with_timeout(&self, timeout: Nanos) -> Vec<u8> {
        let mut text = Vec::with_capacity(self.text.len() + EXTRA_DIGITS_BYTES);
        text.extend_from_slice(&self.text[..self.timeout_digits.start]);
        text.extend_from_slice(timeout_ms(timeout).to_string().as_bytes());
        text.extend_from_slice(&self.text[self.timeout_digits.end..]);
        text
    }
}
