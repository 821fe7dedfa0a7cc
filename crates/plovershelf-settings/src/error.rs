//! Why settings can't be used.

use thiserror::Error;

use crate::document::InvalidDocument;

/// Why settings can't be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The text is not JSON.
    #[error("settings don't parse: {0}")]
    Syntax(#[from] serde_json::Error),
    /// Keys that can't be used, all of them.
    #[error("{0}")]
    Invalid(#[from] InvalidDocument),
}
