//! The error of settings that can't be read.

/// The error of settings that can't be read; its text begins with the field's path, such as `classes[0].onTime`.
#[derive(Debug, thiserror::Error)]
pub enum SettingsReadError {
    /// A required field is absent or null.
    #[error("{path} is missing")]
    Missing {
        /// The field's path.
        path: String,
    },
    /// A field that takes one of several strings holds another string.
    #[error("{path}: unknown value '{value}'")]
    UnknownValue {
        /// The field's path.
        path: String,
        /// The string that the field holds.
        value: String,
    },
    /// A field has an invalid value.
    #[error("{path}: {source}")]
    InvalidValue {
        /// The field's path.
        path: String,
        /// The deserializer's error, with the value found and the one expected.
        source: serde_json::Error,
    },
}

impl SettingsReadError {
    /// Converts an error of the deserializer, with the path of the field that caused it.
    pub(crate) fn at_path(error: serde_path_to_error::Error<serde_json::Error>) -> Self {
        SettingsReadError::InvalidValue {
            path: error.path().to_string(),
            source: error.into_inner(),
        }
    }
}
