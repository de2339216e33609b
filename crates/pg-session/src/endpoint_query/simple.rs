//! A statement as the text of a simple query.
//!
//! Responsible for the waiting time in the text, the one word that changes between attempts. Owns the text. Must
//! never change any other byte of it.

use crate::limits::Reservation;
use reelrill_routing::Nanos;
use std::ops::Range;

const NANOS_PER_MILLISECOND: Nanos = 1_000_000;

/// Room for a longer waiting time than the one in the text, in bytes.
const WAIT_BYTES: usize = 8;

/// A statement as text, in which only the waiting time may change.
#[derive(Debug)]
pub struct SimpleQuery {
    text: Vec<u8>,
    timeout_digits: Range<usize>,
    /// Its share of the bound on values, if the text was made of them.
    _share: Option<Reservation>,
}

/// The waiting time as endpoints are told it: in whole milliseconds, 1 at least.
pub(super) fn timeout_ms(wait: Nanos) -> u64 {
    (wait / NANOS_PER_MILLISECOND).max(1)
}

impl SimpleQuery {
    /// `timeout_digits` are the bytes of `text` where the waiting time stands, in milliseconds.
    pub fn new(text: Vec<u8>, timeout_digits: Range<usize>) -> SimpleQuery {
        SimpleQuery {
            text,
            timeout_digits,
            _share: None,
        }
    }

    /// A text that was made of bound values, and holds their share of the bound.
    pub(super) fn from_values(
        text: Vec<u8>,
        timeout_digits: Range<usize>,
        share: Reservation,
    ) -> SimpleQuery {
        SimpleQuery {
            text,
            timeout_digits,
            _share: Some(share),
        }
    }

    /// The text with the time that the router will wait, in nanoseconds.
    pub fn with_timeout(&self, wait: Nanos) -> Vec<u8> {
        let mut text = Vec::with_capacity(self.text.len() + WAIT_BYTES);
        text.extend_from_slice(&self.text[..self.timeout_digits.start]);
        text.extend_from_slice(timeout_ms(wait).to_string().as_bytes());
        text.extend_from_slice(&self.text[self.timeout_digits.end..]);
        text
    }
}
