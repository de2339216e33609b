//! Whole numbers as the platform writes them: also as floats without a fraction, such as `3.0` or `1e9`.

use serde::de::{Deserialize, Deserializer, Error, Unexpected, Visitor};
use std::fmt;

/// Floats from here on do not fit 64 bits.
const FLOAT_LIMIT: f64 = 1.8e19;

/// A whole number of 64 bits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WholeNumber(pub u64);

/// A whole number of 32 bits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SmallNumber(pub u32);

struct WholeNumberVisitor;

impl Visitor<'_> for WholeNumberVisitor {
    type Value = WholeNumber;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a whole number")
    }

    fn visit_u64<E: Error>(self, number: u64) -> Result<WholeNumber, E> {
        Ok(WholeNumber(number))
    }

    fn visit_i64<E: Error>(self, number: i64) -> Result<WholeNumber, E> {
        match u64::try_from(number) {
            Ok(number) => Ok(WholeNumber(number)),
            Err(_) => Err(E::invalid_value(Unexpected::Signed(number), &self)),
        }
    }

    fn visit_f64<E: Error>(self, number: f64) -> Result<WholeNumber, E> {
        let is_whole = number.fract() == 0.0;
        if is_whole && (0.0..FLOAT_LIMIT).contains(&number) {
            Ok(WholeNumber(number as u64))
        } else {
            Err(E::invalid_value(Unexpected::Float(number), &self))
        }
    }
}

impl<'de> Deserialize<'de> for WholeNumber {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(WholeNumberVisitor)
    }
}

impl<'de> Deserialize<'de> for SmallNumber {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let WholeNumber(number) = WholeNumber::deserialize(deserializer)?;
        let too_large = |_| D::Error::custom(format!("{number} is too large"));
        u32::try_from(number).map(SmallNumber).map_err(too_large)
    }
}
