//! Why settings can't be read.

/// Why settings can't be read; the text begins with the field's path, such as `classes[0].onTime`.
#[derive(Debug, thiserror::Error)]
pub enum SettingsReadError {
    /// A field that is needed is absent or null.
    #[error("{path} is missing")]
    Missing {
        /// The field's path.
        path: String,
    },
    /// A field has a word that it can't have.
    #[error("{path}: unknown value '{word}'")]
    UnknownWord {
        /// The field's path.
        path: String,
        /// The word that was found.
        word: String,
    },
    /// A field has a value that it can't have.
    #[error("{path}: {source}")]
    Field {
        /// The field's path.
        path: String,
        /// What was found, and what is expected.
        source: serde_json::Error,
    },
}

impl SettingsReadError {
    /// An error of the deserializer, with the path that it kept.
    pub(crate) fn at_path(error: serde_path_to_error::Error<serde_json::Error>) -> Self {
        SettingsReadError::Field {
            path: error.path().to_string(),
            source: error.into_inner(),
        }
    }
}
