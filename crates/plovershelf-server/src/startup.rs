//! Configuration of the program: one JSON document that `RELAY_CONFIG` points to, and the operators' files that other
//! variables point to.
//!
//! The document is read again when the program is told that it was replaced; then only the addresses of its peers change.

use std::cell::Cell;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::rc::Rc;

use plovershelf_bulkhead::BulkheadPlan;
use plovershelf_settings::Startup;
use serde_json::Value;
use thiserror::Error;

use crate::limits::Limits;

const CONFIG_VARIABLE: &str = "RELAY_CONFIG";
const BULKHEADS_VARIABLE: &str = "PLOVERSHELF_POOLS";
const CLUSTER_VARIABLE: &str = "PLOVERSHELF_GROUP";
const CHANGES_VARIABLE: &str = "PLOVERSHELF_CHANGES";

/// What is wrong with the document itself.
#[derive(Debug, PartialEq, Eq, Error)]
pub(crate) enum ConfigError {
    /// A key is missing, or its value is no text.
    #[error("{0:?} is missing or no text")]
    NoText(&'static str),
    /// A key is missing, or its value is no number above 0.
    #[error("{0:?} is missing or not above 0")]
    NotPositive(&'static str),
    /// A value is no address.
    #[error("{key:?}: {source}")]
    BadAddress { key: &'static str, source: std::net::AddrParseError },
    /// The name is empty or several words.
    #[error("\"name\" is not one word")]
    BadName,
    /// The seed is not hexadecimal.
    #[error("\"seed\": {0}")]
    BadSeed(std::num::ParseIntError),
    /// What the settings say is wrong.
    #[error("{0}")]
    Settings(String),
}

/// Why the program's configuration can't be used.
#[derive(Debug, Error)]
pub(crate) enum StartupError {
    /// The variable is not set.
    #[error("RELAY_CONFIG is not set")]
    NoConfig,
    /// A file can't be read.
    #[error("{variable} {path}: {source}")]
    Unreadable { variable: &'static str, path: String, source: std::io::Error },
    /// The document is no JSON.
    #[error("RELAY_CONFIG {path}: does not parse: {source}")]
    NoJson { path: String, source: serde_json::Error },
    /// The document says something that can't be.
    #[error("RELAY_CONFIG {path}: {source}")]
    Config { path: String, source: ConfigError },
    /// An operator's file says something that can't be.
    #[error("{0}")]
    OperatorFile(String),
}

/// Everything the program starts with.
pub(crate) struct Launch {
    pub(crate) name: String,
    pub(crate) listen: SocketAddr,
    pub(crate) peers: Peers,
    /// From the drain notice to the kill.
    pub(crate) stop_ms: f64,
    pub(crate) limits: Limits,
    pub(crate) startup: Startup,
    /// Bulkheads, where the operator has set any.
    pub(crate) bulkheads: Option<BulkheadPlan>,
    /// The cluster that the backend belongs to, where the operator has set one.
    pub(crate) group: Option<plovershelf_config::group::Group>,
    /// Where configuration changes come from, where the operator has set it up.
    pub(crate) changes: Option<plovershelf_config::config_distribution::Listener>,
    /// What can't change while the program runs, to tell later whether it did.
    pub(crate) fixed: FixedParts,
}

/// Where the peers are. All parts that talk to one look here.
#[derive(Clone, Debug)]
pub(crate) struct Peers {
    pub(crate) agent: Rc<Cell<SocketAddr>>,
    pub(crate) registry: Rc<Cell<SocketAddr>>,
    /// None where the settings name no dependency that backends share.
    pub(crate) dependency: Rc<Cell<Option<SocketAddr>>>,
}

/// Keys of the document that can't change in a running program.
const FIXED_KEYS: [&str; 6] = ["name", "listen", "seed", "stop_ms", "limits", "settings"];

/// A hash of each part of a document that can't change. Guards against keeping the document, which with many tenants
/// takes more memory than everything else.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct FixedParts([u64; FIXED_KEYS.len()]);

impl FixedParts {
    pub(crate) fn of(document: &Value) -> Self {
        FixedParts(FIXED_KEYS.map(|key| {
            let mut hasher = DefaultHasher::new();
            document[key].hash(&mut hasher);
            hasher.finish()
        }))
    }

    /// The keys whose values differ in another document.
    fn changed_keys(&self, other: &FixedParts) -> Vec<&'static str> {
        let parts = FIXED_KEYS.into_iter().zip(self.0.iter().zip(&other.0));
        parts.filter(|(_, (own, other))| own != other).map(|(key, _)| key).collect()
    }
}

/// An error about the document, with the file that it stands in.
pub(crate) fn name_file(source: impl std::fmt::Display) -> String {
    format!("{CONFIG_VARIABLE} {}: {source}", config_path())
}

fn config_path() -> String {
    std::env::var_os(CONFIG_VARIABLE).unwrap_or_default().to_string_lossy().into_owned()
}

/// The configuration that the environment points to.
///
/// # Errors
/// What is wrong with it, in one line.
pub(crate) fn from_environment() -> Result<Launch, StartupError> {
    let document = read_document()?;
    let in_file = |source| StartupError::Config { path: config_path(), source };
    let mut launch = read_launch(&document).map_err(in_file)?;
    launch.bulkheads = read_bulkheads(&launch.startup.classes)?;
    launch.group = read_operator_file(CLUSTER_VARIABLE, plovershelf_config::group::read)?;
    launch.changes = read_operator_file(CHANGES_VARIABLE, plovershelf_config::config_distribution::read)?;
    Ok(launch)
}

fn read_document() -> Result<Value, StartupError> {
    let (path, text) = read_file(CONFIG_VARIABLE)?.ok_or(StartupError::NoConfig)?;
    serde_json::from_str(&text).map_err(|source| StartupError::NoJson { path, source })
}

/// Path and text of the file that a variable names, where it names one.
fn read_file(variable: &'static str) -> Result<Option<(String, String)>, StartupError> {
    let Some(path) = std::env::var_os(variable) else { return Ok(None) };
    let shown = path.to_string_lossy().into_owned();
    match std::fs::read_to_string(&path) {
        Ok(text) => Ok(Some((shown, text))),
        Err(source) => Err(StartupError::Unreadable { variable, path: shown, source }),
    }
}

/// What the file says that a variable names, where it names one.
fn read_operator_file<T, E: std::fmt::Display>(
    variable: &'static str,
    parse: impl FnOnce(&str, &str) -> Result<T, E>,
) -> Result<Option<T>, StartupError> {
    let Some((path, text)) = read_file(variable)? else { return Ok(None) };
    parse(&path, &text).map(Some).map_err(|error| StartupError::OperatorFile(error.to_string()))
}

/// The bulkheads of the operator's file, where there is one.
///
/// # Errors
/// All that is wrong with the file.
pub(crate) fn read_bulkheads(classes: &[String]) -> Result<Option<BulkheadPlan>, StartupError> {
    read_operator_file(BULKHEADS_VARIABLE, |path, text| plovershelf_config::pools::read(path, text, classes))
}

fn text<'a>(document: &'a Value, key: &'static str) -> Result<&'a str, ConfigError> {
    document[key].as_str().ok_or(ConfigError::NoText(key))
}

fn positive(document: &Value, key: &'static str) -> Result<f64, ConfigError> {
    document[key].as_f64().filter(|number| *number > 0.0).ok_or(ConfigError::NotPositive(key))
}

fn address(document: &Value, key: &'static str) -> Result<SocketAddr, ConfigError> {
    text(document, key)?.parse().map_err(|source| ConfigError::BadAddress { key, source })
}

impl Peers {
    /// Reads the document again; where it can't be used, everything stays as it is.
    pub(crate) fn reload(&self, fixed: &FixedParts) {
        let reloaded = read_document().map_err(|error| error.to_string());
        let moved =
            reloaded.and_then(|document| self.move_to(fixed, &document).map_err(|error| error.to_string()));
        match moved {
            Ok(()) => {
                tracing::info!(event = "configuration_reloaded", "the configuration was read again")
            }
            Err(error) => {
                tracing::warn!(event = "configuration_rejected", "the new configuration is not used: {error}")
            }
        }
    }

    fn read(document: &Value) -> Result<Self, ConfigError> {
        let cell = |key| Ok(Rc::new(Cell::new(address(document, key)?)));
        let is_shared = plovershelf_settings::shares_a_dependency(&document["settings"]);
        let dependency = match document["records"] {
            Value::Null if !is_shared => None,
            _ => Some(address(document, "records")?),
        };
        let (agent, registry) = (cell("agent")?, cell("registry")?);
        Ok(Peers { agent, registry, dependency: Rc::new(Cell::new(dependency)) })
    }

    /// Takes over the addresses of a document, all of them or none. What else differs is logged and ignored.
    fn move_to(&self, fixed: &FixedParts, document: &Value) -> Result<(), ConfigError> {
        let new = Peers::read(document)?;
        for key in fixed.changed_keys(&FixedParts::of(document)) {
            tracing::warn!(
                event = "restart_needed",
                key,
                "the new configuration changes {key:?}, which needs a restart"
            );
        }
        self.agent.set(new.agent.get());
        self.registry.set(new.registry.get());
        self.dependency.set(new.dependency.get());
        Ok(())
    }
}

fn read_launch(document: &Value) -> Result<Launch, ConfigError> {
    let name = text(document, "name")?;
    if name.is_empty() || name.contains(|c: char| c.is_whitespace() || c.is_control()) {
        return Err(ConfigError::BadName);
    }
    let seed = u64::from_str_radix(text(document, "seed")?, 16).map_err(ConfigError::BadSeed)?;
    let limits = &document["limits"];
    Ok(Launch {
        name: name.to_string(),
        listen: address(document, "listen")?,
        peers: Peers::read(document)?,
        stop_ms: positive(document, "stop_ms")?,
        limits: Limits::new(positive(limits, "memory_mb")?, positive(limits, "sockets")? as usize),
        startup: plovershelf_settings::read_value(&document["settings"], seed)
            .map_err(|error| ConfigError::Settings(error.to_string()))?,
        bulkheads: None,
        group: None,
        changes: None,
        fixed: FixedParts::of(document),
    })
}

#[cfg(test)]
mod tests;
