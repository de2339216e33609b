//! Enums that are deserialized from a fixed set of strings.

use std::fmt;

/// The error of a string that names no variant of the enum.
#[derive(Debug)]
pub struct UnknownValue {
    /// The string.
    pub value: String,
    /// The strings that name a variant.
    pub expected: &'static [&'static str],
}

impl fmt::Display for UnknownValue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let expected = self.expected.join(", ");
        write!(
            f,
            "unknown value '{}', expected one of {expected}",
            self.value
        )
    }
}

/// Declares an enum that is deserialized from a string, with the string of each variant.
macro_rules! string_enum {
    (pub enum $name:ident { $($variant:ident = $text:literal,)+ }) => {
        #[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Deserialize)]
        #[serde(try_from = "String")]
        pub enum $name {
            $($variant,)+
        }

        impl TryFrom<String> for $name {
            type Error = crate::word::UnknownValue;

            fn try_from(value: String) -> Result<Self, Self::Error> {
                match &*value {
                    $($text => Ok($name::$variant),)+
                    _ => Err(crate::word::UnknownValue { value, expected: &[$($text),+] }),
                }
            }
        }
    };
}

pub(crate) use string_enum;
