//! Whole numbers, which the platform may also write as floats without a fraction, such as `3.0` or `1e9`.

use serde::de::{Deserialize, Deserializer, Error, Unexpected, Visitor};
use std::fmt;

/// The lower bound of the floats that are rejected as too large for 64 bits; 2^64 is about 1.845e19.
const MIN_REJECTED_FLOAT: f64 = 1.8e19;

/// A non-negative whole number of 64 bits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WholeNumber64(pub u64);

/// A non-negative whole number of 32 bits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WholeNumber32(pub u32);

struct WholeNumberVisitor;

impl Visitor<'_> for WholeNumberVisitor {
    type Value = WholeNumber64;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a non-negative whole number")
    }

    fn visit_u64<E: Error>(self, number: u64) -> Result<WholeNumber64, E> {
        Ok(WholeNumber64(number))
    }

    fn visit_i64<E: Error>(self, number: i64) -> Result<WholeNumber64, E> {
        match u64::try_from(number) {
            Ok(number) => Ok(WholeNumber64(number)),
            Err(_) => Err(E::invalid_value(Unexpected::Signed(number), &self)),
        }
    }

    fn visit_f64<E: Error>(self, number: f64) -> Result<WholeNumber64, E> {
        let is_whole = number.fract() == 0.0;
        if is_whole && (0.0..MIN_REJECTED_FLOAT).contains(&number) {
            Ok(WholeNumber64(number as u64))
        } else {
            Err(E::invalid_value(Unexpected::Float(number), &self))
        }
    }
}

impl<'de> Deserialize<'de> for WholeNumber64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(WholeNumberVisitor)
    }
}

impl<'de> Deserialize<'de> for WholeNumber32 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let WholeNumber64(number) = WholeNumber64::deserialize(deserializer)?;
        let too_large = |_| D::Error::custom(format!("{number} exceeds the maximum 4294967295"));
        u32::try_from(number).map(WholeNumber32).map_err(too_large)
    }
}
