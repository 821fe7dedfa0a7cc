//! Configuration of the program: the JSON document that `RELAY_CONFIG` names, and the operator's files that other
//! variables name.
//!
//! The document is read again on SIGHUP; then only the addresses of peers can change.

use std::cell::Cell;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::rc::Rc;

use plovershelf::api::BackendConfig;
use plovershelf_bulkhead::BulkheadPlan;
use plovershelf_settings::document::{Entry, InvalidDocument, NumberRange, Problems, Section};
use plovershelf_settings::ranges::{CORES, POSITIVE_DURATION_MS};
use plovershelf_settings::{unique_keys, Startup};
use serde_json::Value;
use thiserror::Error;

use crate::driver::check_bulkheads;
use crate::limits::Limits;

const CONFIG_VARIABLE: &str = "RELAY_CONFIG";
const BULKHEADS_VARIABLE: &str = "PLOVERSHELF_POOLS";
const CLUSTER_VARIABLE: &str = "PLOVERSHELF_GROUP";
const CHANGES_VARIABLE: &str = "PLOVERSHELF_CHANGES";

const ADDRESS: &str = "an ADDRESS:PORT";
const NAME: &str = "one word";
const SEED: &str = "a hexadecimal number of at most 64 bits";
/// Valid range of the memory of the program, in MiB.
const PROGRAM_MEMORY_MB: NumberRange = NumberRange::above(0.0, (1u64 << 24) as f64);
/// Valid range of the descriptors of the process; few systems allow more than 2^20.
const SOCKETS: NumberRange = NumberRange::whole(1.0, (1u64 << 20) as f64);

/// Error of reading the configuration.
#[derive(Debug, Error)]
pub(crate) enum StartupError {
    /// `RELAY_CONFIG` is not set.
    #[error("RELAY_CONFIG is not set")]
    NoConfig,
    /// A file can't be read.
    #[error("{variable} {path}: {source}")]
    Unreadable { variable: &'static str, path: String, source: std::io::Error },
    /// The document is not valid JSON.
    #[error("RELAY_CONFIG {path}: does not parse: {source}")]
    NoJson { path: String, source: serde_json::Error },
    /// The document contains invalid values.
    #[error("RELAY_CONFIG {path}: {source}")]
    Config { path: String, source: InvalidDocument },
    /// An operator's file is invalid.
    #[error("{0}")]
    OperatorFile(String),
}

/// Configuration with which the program starts.
pub(crate) struct Configuration {
    pub(crate) name: String,
    pub(crate) listen: SocketAddr,
    pub(crate) peers: Peers,
    /// Time from the drain notice to the forced kill, in milliseconds.
    pub(crate) stop_ms: f64,
    pub(crate) limits: Limits,
    pub(crate) startup: Startup,
    /// Bulkheads, if the operator has configured any.
    pub(crate) bulkheads: Option<BulkheadPlan>,
    /// Cluster of the backend, if the operator has configured one.
    pub(crate) cluster_setup: Option<plovershelf_config::group::Group>,
    /// Listener for configuration changes, if the operator has configured it.
    pub(crate) config_listener: Option<plovershelf_config::config_distribution::Listener>,
    /// Hashes of the parts that can't change at runtime, for comparison on a reload.
    pub(crate) fixed: FixedParts,
}

/// Addresses of the peers, shared with all tasks that connect to them.
#[derive(Clone, Debug)]
pub(crate) struct Peers {
    pub(crate) agent: Rc<Cell<SocketAddr>>,
    pub(crate) registry: Rc<Cell<SocketAddr>>,
    /// `None` if the settings name no shared dependency.
    pub(crate) dependency: Rc<Cell<Option<SocketAddr>>>,
}

/// Keys of the document that can't change at runtime.
const FIXED_KEYS: [&str; 6] = ["name", "listen", "seed", "stop_ms", "limits", "settings"];

/// Hashes of the document's parts that can't change. The document itself is not stored, because with many tenants it
/// would use more memory than everything else.
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

    /// Returns the keys whose values differ from those of another document.
    fn changed_keys(&self, other: &FixedParts) -> Vec<&'static str> {
        let parts = FIXED_KEYS.into_iter().zip(self.0.iter().zip(&other.0));
        parts.filter(|(_, (old, other))| old != other).map(|(key, _)| key).collect()
    }
}

/// Adds the path of the configuration file to an error.
pub(crate) fn with_config_path(source: impl std::fmt::Display) -> String {
    format!("{CONFIG_VARIABLE} {}: {source}", config_path())
}

fn config_path() -> String {
    std::env::var_os(CONFIG_VARIABLE).unwrap_or_default().to_string_lossy().into_owned()
}

/// Reads the configuration that the environment variables name.
///
/// # Errors
/// Returns an error of one line if the configuration is invalid.
pub(crate) fn from_environment() -> Result<Configuration, StartupError> {
    let document = read_document()?;
    let in_file = |source| StartupError::Config { path: config_path(), source };
    let mut configuration = read_configuration(&document).map_err(in_file)?;
    configuration.bulkheads = read_bulkheads(&configuration.startup.classes, &configuration.startup.config)?;
    configuration.cluster_setup = read_operator_file(CLUSTER_VARIABLE, plovershelf_config::group::read)?;
    configuration.config_listener =
        read_operator_file(CHANGES_VARIABLE, plovershelf_config::config_distribution::read)?;
    Ok(configuration)
}

fn read_document() -> Result<Value, StartupError> {
    let (path, text) = read_file(CONFIG_VARIABLE)?.ok_or(StartupError::NoConfig)?;
    unique_keys::parse(&text).map_err(|source| StartupError::NoJson { path, source })
}

/// Returns path and content of the file that a variable names, or `None` if the variable is not set.
fn read_file(variable: &'static str) -> Result<Option<(String, String)>, StartupError> {
    let Some(path) = std::env::var_os(variable) else { return Ok(None) };
    let display_path = path.to_string_lossy().into_owned();
    match std::fs::read_to_string(&path) {
        Ok(text) => Ok(Some((display_path, text))),
        Err(source) => Err(StartupError::Unreadable { variable, path: display_path, source }),
    }
}

/// Parses the file that a variable names. Returns `None` if the variable is not set.
fn read_operator_file<T, E: std::fmt::Display>(
    variable: &'static str,
    parse: impl FnOnce(&str, &str) -> Result<T, E>,
) -> Result<Option<T>, StartupError> {
    let Some((path, text)) = read_file(variable)? else { return Ok(None) };
    parse(&path, &text).map(Some).map_err(|error| StartupError::OperatorFile(error.to_string()))
}

/// Reads the operator's bulkhead plan, if there is one, and checks it against the backend's configuration.
///
/// # Errors
/// Returns all problems of the file.
pub(crate) fn read_bulkheads(
    classes: &[String],
    config: &BackendConfig,
) -> Result<Option<BulkheadPlan>, StartupError> {
    read_operator_file(BULKHEADS_VARIABLE, |path, text| {
        let plan = plovershelf_config::pools::read(path, text, classes).map_err(|error| error.to_string())?;
        match check_bulkheads(&plan, config) {
            Ok(()) => Ok(plan),
            Err(error) => Err(format!("{path}: {error}")),
        }
    })
}

fn address(entry: &Entry<'_>) -> Option<SocketAddr> {
    if !entry.is_present() {
        entry.reject(ADDRESS);
    }
    entry.convert(ADDRESS, |value| value.as_str()?.parse().ok())
}

/// Placeholder for an address in a document that is rejected.
fn placeholder_address() -> SocketAddr {
    SocketAddr::from(([0, 0, 0, 0], 0))
}

impl Peers {
    /// Reloads the document. An invalid document changes nothing.
    pub(crate) fn reload(&self, fixed: &FixedParts) {
        match self.try_reload(fixed) {
            Ok(()) => {
                tracing::info!(event = "configuration_reloaded", "the configuration was reloaded")
            }
            Err(error) => {
                tracing::warn!(event = "configuration_rejected", "the new configuration is rejected: {error}")
            }
        }
    }

    fn read(document: &Value) -> Result<Self, InvalidDocument> {
        let problems = Problems::default();
        let peers = Peers::read_section(document, &Section::document(document, &problems));
        problems.finish(peers)
    }

    fn read_section(document: &Value, section: &Section<'_>) -> Self {
        let cell = |key| Rc::new(Cell::new(address(&section.get(key)).unwrap_or_else(placeholder_address)));
        let is_shared = plovershelf_settings::has_shared_dependency(&document["settings"]);
        let dependency = match document["records"] {
            Value::Null if !is_shared => None,
            _ => address(&section.get("records")),
        };
        let (agent, registry) = (cell("agent"), cell("registry"));
        Peers { agent, registry, dependency: Rc::new(Cell::new(dependency)) }
    }

    fn try_reload(&self, fixed: &FixedParts) -> Result<(), StartupError> {
        let document = read_document()?;
        let in_file = |source| StartupError::Config { path: config_path(), source };
        self.replace(fixed, &document).map_err(in_file)
    }

    /// # Errors
    /// Returns all problems of the document, including those in parts that can't change at runtime, because the next
    /// start would fail on them.
    fn replace(&self, fixed: &FixedParts, document: &Value) -> Result<(), InvalidDocument> {
        read_configuration(document)?;
        self.adopt_addresses(fixed, document)
    }

    /// Adopts all peer addresses of a document, or none. Other differences are logged and ignored.
    fn adopt_addresses(&self, fixed: &FixedParts, document: &Value) -> Result<(), InvalidDocument> {
        let new = Peers::read(document)?;
        for key in fixed.changed_keys(&FixedParts::of(document)) {
            tracing::warn!(
                event = "restart_needed",
                key,
                "the new configuration changes {key:?}; that takes effect after a restart"
            );
        }
        self.agent.set(new.agent.get());
        self.registry.set(new.registry.get());
        self.dependency.set(new.dependency.get());
        Ok(())
    }
}

/// # Errors
/// Returns all problems of the document.
fn read_configuration(document: &Value) -> Result<Configuration, InvalidDocument> {
    let problems = Problems::default();
    let top = Section::document(document, &problems);
    let seed = read_seed(&top.get("seed"));
    let settings = top.get("settings");
    if !settings.is_present() {
        settings.reject("an object");
    }
    let configuration = Configuration {
        name: read_name(&top.get("name")),
        listen: address(&top.get("listen")).unwrap_or_else(placeholder_address),
        peers: Peers::read_section(document, &top),
        stop_ms: top.get("stop_ms").required_number(POSITIVE_DURATION_MS).unwrap_or(1.0),
        limits: read_limits(&top.get("limits").section()),
        startup: plovershelf_settings::read_section(&settings.section(), seed),
        bulkheads: None,
        cluster_setup: None,
        config_listener: None,
        fixed: FixedParts::of(document),
    };
    problems.finish(configuration)
}

fn read_name(entry: &Entry<'_>) -> String {
    let is_word =
        |name: &&str| !name.is_empty() && !name.contains(|c: char| c.is_whitespace() || c.is_control());
    if !entry.is_present() {
        entry.reject(NAME);
    }
    entry.convert(NAME, |value| value.as_str().filter(is_word)).unwrap_or_default().to_string()
}

fn read_seed(entry: &Entry<'_>) -> u64 {
    if !entry.is_present() {
        entry.reject(SEED);
    }
    entry.convert(SEED, |value| u64::from_str_radix(value.as_str()?, 16).ok()).unwrap_or_default()
}

/// The program itself enforces memory and descriptors; only the platform limits its cores.
fn read_limits(limits: &Section<'_>) -> Limits {
    limits.get("cores").number(CORES);
    let memory_mb = limits.get("memory_mb").required_number(PROGRAM_MEMORY_MB);
    let sockets = limits.get("sockets").required_number(SOCKETS);
    Limits::new(memory_mb.unwrap_or(1.0), sockets.unwrap_or(1.0) as usize)
}

#[cfg(test)]
mod tests;
