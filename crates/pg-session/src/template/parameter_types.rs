//! The types of a prepared statement's parameters.
//!
//! Responsible for giving each parameter that clients bring one type, declared or inferred from its place, and
//! for refusing types that do not fit. Owns no state. Must never leave a type unspecified: endpoints get every
//! type in the Parse.

use crate::SessionError;
use crate::statement::{Field, FieldValue, ParsedStatement};
use reelrill_pg_protocol::frontend::MOST_PARAMETERS;
use reelrill_pg_protocol::oid;

/// The most parameters that the router adds to a statement: the request's id and the waiting time.
pub(super) const MAX_ADDED_PARAMETERS: usize = 2;

/// The types of the parameters that clients bring, as object ids in parameter order.
///
/// `declared` are the types of the Parse (0: unspecified), `value_type` that of the value column.
///
/// # Errors
///
/// [`SessionError::LimitExceeded`] for too many parameters, [`SessionError::UnknownParameterType`], [`SessionError::ParameterTypeMismatch`] and [`SessionError::SharedTimeoutParameter`] for one
/// parameter.
pub(super) fn resolve(
    form: &ParsedStatement,
    declared: &[u32],
    value_type: u32,
) -> Result<Vec<u32>, SessionError> {
    let count = count_parameters(form).max(declared.len());
    let max_count = MOST_PARAMETERS - MAX_ADDED_PARAMETERS;
    if count > max_count {
        return Err(SessionError::LimitExceeded {
            what: "parameters",
            most: max_count,
        });
    }
    let mut types = Vec::with_capacity(count + MAX_ADDED_PARAMETERS);
    for index in 0..count {
        let number = (index + 1) as u16;
        let declared = declared.get(index).copied();
        types.push(resolve_one(form, number, declared, value_type)?);
    }
    Ok(types)
}

/// The highest parameter number in a statement.
fn count_parameters(form: &ParsedStatement) -> usize {
    let numbers = form.fields.iter().map(|(_, word, _)| match word {
        FieldValue::Parameter(number) => usize::from(*number),
        FieldValue::Text(_) => 0,
    });
    numbers.max().unwrap_or(0)
}

/// The type of one parameter, counted from 1.
fn resolve_one(
    form: &ParsedStatement,
    number: u16,
    declared: Option<u32>,
    value_type: u32,
) -> Result<u32, SessionError> {
    let places = places_of(form, number);
    let specified = declared.filter(|oid| *oid != oid::UNSPECIFIED);
    let inferred = || {
        places
            .iter()
            .find_map(|place| default_type(*place, value_type))
    };
    let resolved = specified
        .or_else(inferred)
        .ok_or(SessionError::UnknownParameterType(number))?;
    if let Some(place) = places.iter().find(|place| !accepts(**place, resolved)) {
        return Err(SessionError::ParameterTypeMismatch {
            param: number,
            oid: resolved,
            place: place.name(),
        });
    }
    if places.len() > 1 && places.contains(&Field::Timeout) {
        return Err(SessionError::SharedTimeoutParameter(number));
    }
    Ok(resolved)
}

/// All places that a parameter stands in.
fn places_of(form: &ParsedStatement, number: u16) -> Vec<Field> {
    form.fields
        .iter()
        .filter(|(_, word, _)| *word == FieldValue::Parameter(number))
        .map(|(place, ..)| *place)
        .collect()
}

/// The type of a parameter whose type is unspecified; `None` if its place tells none.
fn default_type(place: Field, value_type: u32) -> Option<u32> {
    match place {
        Field::Value => Some(value_type),
        Field::Key | Field::Id | Field::Class | Field::IdempotencyKey | Field::Retry => {
            Some(oid::TEXT)
        }
        Field::ReplicaSet | Field::Timeout => Some(oid::INT4),
        Field::LastWrite => Some(oid::INT8),
        Field::Other => None,
    }
}

/// Whether a parameter of this type may stand in a place.
fn accepts(place: Field, type_oid: u32) -> bool {
    if oid::is_text(type_oid) {
        return true;
    }
    let is_integer = oid::integer_width(type_oid).is_some();
    match place {
        Field::Key | Field::Class => false,
        Field::Value => type_oid == oid::BYTEA,
        Field::Id | Field::IdempotencyKey => type_oid == oid::INT8,
        Field::ReplicaSet | Field::Timeout | Field::LastWrite => is_integer,
        Field::Retry => is_integer || type_oid == oid::BOOL,
        Field::Other => true,
    }
}
