//! Fields whose value is one of some words.

use std::fmt;

/// A word that a field can't have.
#[derive(Debug)]
pub struct UnknownWord {
    pub word: String,
    /// The words that the field can have.
    pub expected: &'static [&'static str],
}

impl fmt::Display for UnknownWord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let expected = self.expected.join(", ");
        write!(
            f,
            "unknown value '{}', expected one of {expected}",
            self.word
        )
    }
}

/// Declares an enum whose variants are words, deserialized from a string.
macro_rules! words {
    (pub enum $name:ident { $($variant:ident = $word:literal,)+ }) => {
        #[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Deserialize)]
        #[serde(try_from = "String")]
        pub enum $name {
            $($variant,)+
        }

        impl TryFrom<String> for $name {
            type Error = crate::word::UnknownWord;

            fn try_from(word: String) -> Result<Self, Self::Error> {
                match &*word {
                    $($word => Ok($name::$variant),)+
                    _ => Err(crate::word::UnknownWord { word, expected: &[$($word),+] }),
                }
            }
        }
    };
}

pub(crate) use words;
