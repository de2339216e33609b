//! The types of a prepared statement's parameters.
//!
//! Responsible for giving each parameter that clients bring one type, declared or inferred from its place, and
//! for refusing types that do not fit. Owns no state. Must never leave a type unspecified: endpoints get every
//! type in the Parse.

use crate::Wrong;
use crate::form::{Form, Place, Word};
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
/// [`Wrong::Limit`] for too many parameters, [`Wrong::NoType`], [`Wrong::Type`] and [`Wrong::Shared`] for one
/// parameter.
pub(super) fn resolve(form: &Form, declared: &[u32], value_type: u32) -> Result<Vec<u32>, Wrong> {
    let count = count_parameters(form).max(declared.len());
    let max_count = MOST_PARAMETERS - MAX_ADDED_PARAMETERS;
    if count > max_count {
        return Err(Wrong::Limit {
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
fn count_parameters(form: &Form) -> usize {
    let numbers = form.words.iter().map(|(_, word, _)| match word {
        Word::Param(number) => usize::from(*number),
        Word::Text(_) => 0,
    });
    numbers.max().unwrap_or(0)
}

/// The type of one parameter, counted from 1.
fn resolve_one(
    form: &Form,
    number: u16,
    declared: Option<u32>,
    value_type: u32,
) -> Result<u32, Wrong> {
    let places = places_of(form, number);
    let specified = declared.filter(|oid| *oid != oid::UNSPECIFIED);
    let inferred = || {
        places
            .iter()
            .find_map(|place| default_type(*place, value_type))
    };
    let resolved = specified.or_else(inferred).ok_or(Wrong::NoType(number))?;
    if let Some(place) = places.iter().find(|place| !accepts(**place, resolved)) {
        return Err(Wrong::Type {
            param: number,
            oid: resolved,
            place: place.name(),
        });
    }
    if places.len() > 1 && places.contains(&Place::Wait) {
        return Err(Wrong::Shared(number));
    }
    Ok(resolved)
}

/// All places that a parameter stands in.
fn places_of(form: &Form, number: u16) -> Vec<Place> {
    form.words
        .iter()
        .filter(|(_, word, _)| *word == Word::Param(number))
        .map(|(place, ..)| *place)
        .collect()
}

/// The type of a parameter whose type is unspecified; `None` if its place tells none.
fn default_type(place: Place, value_type: u32) -> Option<u32> {
    match place {
        Place::Value => Some(value_type),
        Place::Key | Place::Id | Place::Class | Place::Idempotency | Place::Retry => {
            Some(oid::TEXT)
        }
        Place::ReplicaSet | Place::Wait => Some(oid::INT4),
        Place::After => Some(oid::INT8),
        Place::Other => None,
    }
}

/// Whether a parameter of this type may stand in a place.
fn accepts(place: Place, type_oid: u32) -> bool {
    if oid::is_text(type_oid) {
        return true;
    }
    let is_integer = oid::integer_width(type_oid).is_some();
    match place {
        Place::Key | Place::Class => false,
        Place::Value => type_oid == oid::BYTEA,
        Place::Id | Place::Idempotency => type_oid == oid::INT8,
        Place::ReplicaSet | Place::Wait | Place::After => is_integer,
        Place::Retry => is_integer || type_oid == oid::BOOL,
        Place::Other => true,
    }
}
