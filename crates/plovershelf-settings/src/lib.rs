//! Parses and validates the settings that a backend is started with, for every program that hosts backends.
//!
//! - [`document`]: a JSON document read key by key, with all that is wrong with it.
//! - `error`: why settings can't be used.
//! - `names`: names of classes and tenants, each found without a walk.
//! - `parse`: the settings as JSON, field by field.
//! - [`ranges`]: the numbers that settings may have.
//! - [`unique_keys`]: JSON in which no object has a key twice.
//! - `words`: the words of the settings, mapped once to the types of [`plovershelf::api`].

pub mod document;
mod error;
mod names;
mod parse;
pub mod ranges;
pub mod unique_keys;
mod words;

pub use error::SettingsError;
pub use names::Names;
pub use parse::{read, read_section, read_value, shares_a_dependency};

use plovershelf::api::{BackendConfig, Gauges};
use words::Gauge;

/// A backend's configuration, and the names by which the outside knows what it refers to by place.
pub struct Startup {
    /// What the backend is started with.
    pub config: BackendConfig,
    /// Names of the classes, in the order of the configuration.
    pub classes: Names,
    /// Names of the tenants, in the order of the configuration.
    pub tenants: Names,
    /// The gauges in the order in which their values come; none for one that the backend does not read.
    gauges: Vec<Option<Gauge>>,
    /// Keys that are missing and should not be, and what stands in for them.
    pub warnings: Vec<String>,
}

impl Startup {
    /// The gauges that the backend reads, out of values in the order of the settings.
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
