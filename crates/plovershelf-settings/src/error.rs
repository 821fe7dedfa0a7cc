//! Errors of settings.

use thiserror::Error;

use crate::document::InvalidDocument;

/// Error of settings that cannot be parsed or are invalid.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The text is not JSON.
    #[error("settings don't parse: {0}")]
    Syntax(#[from] serde_json::Error),
    /// One or more keys are invalid; the error lists all of them.
    #[error("{0}")]
    Invalid(#[from] InvalidDocument),
}
