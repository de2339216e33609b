//! The parameter values of one Bind.
//!
//! Responsible for checking a Bind's counts and keeping its values. Owns a copy of them in one buffer, with its
//! share of the bound of all clients. Must never interpret a value.

use crate::SessionError;
use crate::limits::{Budget, Reservation};
use reelrill_pg_protocol::Format;
use reelrill_pg_protocol::frontend::Bind;
use std::ops::Range;
use std::rc::Rc;

/// Where a value stands in the buffer, and its format.
#[derive(Debug)]
struct Value {
    format: Format,
    /// `None` for a null.
    range: Option<Range<usize>>,
}

/// The values that a client brought, in parameter order.
#[derive(Debug)]
pub(super) struct Values {
    bytes: Vec<u8>,
    values: Vec<Value>,
    /// Given back on drop.
    _share: Reservation,
}

impl Values {
    /// Copies the values of a Bind.
    ///
    /// # Errors
    ///
    /// [`SessionError::LimitExceeded`] if `budget`, in bytes, has no room for them.
    pub(super) fn copy(bind: &Bind, budget: &Rc<Budget>) -> Result<Values, SessionError> {
        let total_bytes = bind.values.iter().flatten().map(|value| value.len()).sum();
        let share = reserve_value_bytes(budget, total_bytes)?;
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
            _share: share,
        })
    }

    /// A parameter's value; `None` if it is null or the client brings no such parameter.
    pub(super) fn get(&self, index: usize) -> Option<&[u8]> {
        let range = self.values.get(index)?.range.clone()?;
        self.bytes.get(range)
    }

    /// A parameter's format; text for those that the router brings.
    pub(super) fn format(&self, index: usize) -> Format {
        self.values
            .get(index)
            .map_or(Format::Text, |value| value.format)
    }
}

/// Takes a share of the bound on values, in bytes.
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

/// Checks the counts of a Bind against its statement, which takes `takes` parameters and returns one column.
///
/// # Errors
///
/// [`SessionError::ParameterCountMismatch`] for the values, [`SessionError::FormatCountMismatch`] for the formats.
pub(super) fn check_counts(bind: &Bind, takes: usize) -> Result<(), SessionError> {
    if bind.values.len() != takes {
        return Err(SessionError::ParameterCountMismatch {
            brought: bind.values.len(),
            takes,
        });
    }
    if bind.parameter_formats.len() > 1 && bind.parameter_formats.len() != takes {
        return Err(SessionError::FormatCountMismatch(
            bind.parameter_formats.len(),
        ));
    }
    if bind.result_formats.len() > 1 {
        return Err(SessionError::FormatCountMismatch(bind.result_formats.len()));
    }
    Ok(())
}
