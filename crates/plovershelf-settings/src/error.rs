//! Why settings can't be used.

use thiserror::Error;

/// Why settings can't be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The text is not JSON.
    #[error("settings don't parse: {0}")]
    Syntax(#[from] serde_json::Error),
    /// The settings are not a JSON object.
    #[error("\"settings\" are not an object")]
    NotAnObject,
    /// No request class is named.
    #[error("\"settings\": \"classes\" names none")]
    NoClasses,
    /// A measure that must be above 0 is missing or is not.
    #[error("\"settings\": \"family_info\": {key:?} is missing or not above 0")]
    NotPositive {
        /// The key of the measure.
        key: &'static str,
    },
}
