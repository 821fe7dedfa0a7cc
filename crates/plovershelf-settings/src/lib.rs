//! Parses and validates the settings that a backend is started with, for every program that hosts backends.
//!
//! - [`document`]: reads a JSON document key by key and collects its errors.
//! - `error`: errors of settings.
//! - `names`: names of classes and tenants, with hashed lookup.
//! - `parse`: reads the settings from JSON.
//! - [`ranges`]: valid ranges of numbers.
//! - [`unique_keys`]: JSON parser that rejects duplicate keys in an object.
//! - `keywords`: keywords of the settings and the corresponding values of [`plovershelf::api`].

pub mod document;
mod error;
mod keywords;
mod names;
mod parse;
pub mod ranges;
pub mod unique_keys;

pub use error::SettingsError;
pub use names::Names;
pub use parse::{has_shared_dependency, read, read_section, read_value};

use keywords::Gauge;
use plovershelf::api::{BackendConfig, Gauges};

/// Configuration of a backend, and the names of the items that it identifies by index.
pub struct Startup {
    /// Configuration with which the backend is started.
    pub config: BackendConfig,
    /// Names of the classes, in the order of the configuration.
    pub classes: Names,
    /// Names of the tenants, in the order of the configuration.
    pub tenants: Names,
    /// Gauges in the order in which their values arrive; `None` for a gauge that the backend does not use.
    gauges: Vec<Option<Gauge>>,
    /// Messages about missing keys that should be present, and the values used instead.
    pub warnings: Vec<String>,
}

impl Startup {
    /// Returns the gauges that the backend uses, from values in the order of the settings.
    pub fn gauges(&self, values: impl IntoIterator<Item = f64>) -> Gauges {
        let mut gauges = Gauges::default();
        for (gauge, value) in self.gauges.iter().zip(values) {
            match gauge {
                Some(Gauge::CoresBusy) => gauges.cores_busy = Some(value),
                Some(Gauge::Runnable) => gauges.runnable = Some(value),
                None => {}
            }
        }
        gauges
    }
}
