//! The parameter values of one Bind.
//!
//! Responsible for checking a Bind's counts and keeping its values. Owns a copy of them in one buffer, with the
//! reservation of its bytes from the limit of all clients. Must never interpret a value.

use crate::SessionError;
use crate::limits::{Budget, Reservation};
use reelrill_pg_protocol::Format;
use reelrill_pg_protocol::frontend::Bind;
use std::ops::Range;
use std::rc::Rc;

/// A value's format and byte range in the buffer.
#[derive(Debug)]
struct Value {
    format: Format,
    /// `None` if the value is null.
    range: Option<Range<usize>>,
}

/// The values of a client's Bind, in parameter order.
#[derive(Debug)]
pub(super) struct Values {
    bytes: Vec<u8>,
    values: Vec<Value>,
    /// Released on drop.
    _reservation: Reservation,
}

impl Values {
    /// Copies the values of a Bind.
    ///
    /// # Errors
    ///
    /// [`SessionError::LimitExceeded`] if fewer bytes are left in `budget`.
    pub(super) fn copy(bind: &Bind, budget: &Rc<Budget>) -> Result<Values, SessionError> {
        let total_bytes = bind.values.iter().flatten().map(|value| value.len()).sum();
        let reservation = reserve_value_bytes(budget, total_bytes)?;
        let mut bytes = Vec::with_capacity(total_bytes);
        let mut values = Vec::with_capacity(bind.values.len());
        for (index, value) in bind.values.iter().enumerate() {
            let range = value.map(|value| {
                let start = bytes.len();
                bytes.extend_from_slice(value);
                start..bytes.len()
            });
            values.push(Value {
                format: bind.parameter_format(index),
                range,
            });
        }
        Ok(Values {
            bytes,
            values,
            _reservation: reservation,
        })
    }

    /// Returns a parameter's value; `None` if it is null or the Bind has no such parameter.
    pub(super) fn get(&self, index: usize) -> Option<&[u8]> {
        let range = self.values.get(index)?.range.clone()?;
        self.bytes.get(range)
    }

    /// Returns a parameter's format; text for the parameters that the router adds.
    pub(super) fn format(&self, index: usize) -> Format {
        self.values
            .get(index)
            .map_or(Format::Text, |value| value.format)
    }
}

/// Reserves bytes from the limit on the bytes of values.
pub(super) fn reserve_value_bytes(
    budget: &Rc<Budget>,
    bytes: usize,
) -> Result<Reservation, SessionError> {
    budget
        .reserve(bytes)
        .ok_or_else(|| SessionError::LimitExceeded {
            what: "bytes of values",
            most: budget.limit(),
        })
}

/// Checks the counts of a Bind against its statement, which has `parameter_count` parameters and returns one column.
///
/// # Errors
///
/// [`SessionError::ParameterCountMismatch`] for the values, [`SessionError::FormatCountMismatch`] for the formats.
pub(super) fn check_counts(bind: &Bind, parameter_count: usize) -> Result<(), SessionError> {
    if bind.values.len() != parameter_count {
        return Err(SessionError::ParameterCountMismatch {
            brought: bind.values.len(),
            takes: parameter_count,
        });
    }
    if bind.parameter_formats.len() > 1 && bind.parameter_formats.len() != parameter_count {
        return Err(SessionError::FormatCountMismatch(
            bind.parameter_formats.len(),
        ));
    }
    if bind.result_formats.len() > 1 {
        return Err(SessionError::FormatCountMismatch(bind.result_formats.len()));
    }
    Ok(())
}
