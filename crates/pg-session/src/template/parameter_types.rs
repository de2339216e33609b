//! The types of a prepared statement's parameters.
//!
//! Responsible for determining the type of each of the client's parameters, declared or inferred from its field, and
//! for rejecting types that don't fit. Owns no state. Must never leave a type unspecified: the Parse sent to endpoints
//! declares every type.

use crate::SessionError;
use crate::statement::{Field, FieldValue, ParsedStatement};
use reelrill_pg_protocol::frontend::MOST_PARAMETERS;
use reelrill_pg_protocol::oid;

/// The maximum number of parameters that the router adds to a statement: the request's id and the timeout.
pub(super) const MAX_ADDED_PARAMETERS: usize = 2;

/// Returns the object ids of the types of the client's parameters, in parameter order.
///
/// `declared` holds the object ids of the types in the Parse (0: unspecified), `value_type` is that of the value
/// column's type.
///
/// # Errors
///
/// [`SessionError::LimitExceeded`] for too many parameters; [`SessionError::UnknownParameterType`],
/// [`SessionError::ParameterTypeMismatch`] and [`SessionError::SharedTimeoutParameter`] for a single parameter.
pub(super) fn resolve(
    parsed: &ParsedStatement,
    declared: &[u32],
    value_type: u32,
) -> Result<Vec<u32>, SessionError> {
    let count = count_parameters(parsed).max(declared.len());
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
        types.push(resolve_parameter(parsed, number, declared, value_type)?);
    }
    Ok(types)
}

/// Returns the highest parameter number in a statement.
fn count_parameters(parsed: &ParsedStatement) -> usize {
    let numbers = parsed.fields.iter().map(|(_, value, _)| match value {
        FieldValue::Parameter(number) => usize::from(*number),
        FieldValue::Text(_) => 0,
    });
    numbers.max().unwrap_or(0)
}

/// Returns the type of the parameter with the number `number`, from 1.
fn resolve_parameter(
    parsed: &ParsedStatement,
    number: u16,
    declared: Option<u32>,
    value_type: u32,
) -> Result<u32, SessionError> {
    let fields = fields_of(parsed, number);
    let specified = declared.filter(|oid| *oid != oid::UNSPECIFIED);
    let inferred = || {
        fields
            .iter()
            .find_map(|field| default_type(*field, value_type))
    };
    let resolved = specified
        .or_else(inferred)
        .ok_or(SessionError::UnknownParameterType(number))?;
    if let Some(field) = fields.iter().find(|field| !allows_type(**field, resolved)) {
        return Err(SessionError::ParameterTypeMismatch {
            param: number,
            oid: resolved,
            place: field.name(),
        });
    }
    if fields.len() > 1 && fields.contains(&Field::Timeout) {
        return Err(SessionError::SharedTimeoutParameter(number));
    }
    Ok(resolved)
}

/// Returns all fields whose value is the parameter with the number `number`.
fn fields_of(parsed: &ParsedStatement, number: u16) -> Vec<Field> {
    parsed
        .fields
        .iter()
        .filter(|(_, value, _)| *value == FieldValue::Parameter(number))
        .map(|(field, ..)| *field)
        .collect()
}

/// Returns the type of a parameter without a declared type; `None` if the field doesn't determine one.
fn default_type(field: Field, value_type: u32) -> Option<u32> {
    match field {
        Field::Value => Some(value_type),
        Field::Key | Field::Id | Field::Class | Field::IdempotencyKey | Field::Retry => {
            Some(oid::TEXT)
        }
        Field::ReplicaSet | Field::Timeout => Some(oid::INT4),
        Field::LastWrite => Some(oid::INT8),
        Field::Other => None,
    }
}

/// Returns whether a parameter of this type may be the value of a field.
fn allows_type(field: Field, type_oid: u32) -> bool {
    if oid::is_text(type_oid) {
        return true;
    }
    let is_integer = oid::integer_width(type_oid).is_some();
    match field {
        Field::Key | Field::Class => false,
        Field::Value => type_oid == oid::BYTEA,
        Field::Id | Field::IdempotencyKey => type_oid == oid::INT8,
        Field::ReplicaSet | Field::Timeout | Field::LastWrite => is_integer,
        Field::Retry => is_integer || type_oid == oid::BOOL,
        Field::Other => true,
    }
}
