//! Configuration of the program: one JSON document that `RELAY_CONFIG` points to, and the operators' files that other
//! variables point to.
//!
//! The document is read again when the program is told that it was replaced; then only the addresses of its peers change.

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
/// Memory of the program, in MiB; descriptors of a process are fewer than 2^20 unless its system is tuned for more.
const PROGRAM_MEMORY_MB: NumberRange = NumberRange::above(0.0, (1u64 << 24) as f64);
const SOCKETS: NumberRange = NumberRange::whole(1.0, (1u64 << 20) as f64);

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
    Config { path: String, source: InvalidDocument },
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
    launch.bulkheads = read_bulkheads(&launch.startup.classes, &launch.startup.config)?;
    launch.group = read_operator_file(CLUSTER_VARIABLE, plovershelf_config::group::read)?;
    launch.changes = read_operator_file(CHANGES_VARIABLE, plovershelf_config::config_distribution::read)?;
    Ok(launch)
}

fn read_document() -> Result<Value, StartupError> {
    let (path, text) = read_file(CONFIG_VARIABLE)?.ok_or(StartupError::NoConfig)?;
    unique_keys::parse(&text).map_err(|source| StartupError::NoJson { path, source })
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

/// The bulkheads of the operator's file, where there is one, checked against the backend that they are for.
///
/// # Errors
/// All that is wrong with the file.
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

/// Stands for an address of a document that is refused.
fn no_address() -> SocketAddr {
    SocketAddr::from(([0, 0, 0, 0], 0))
}

impl Peers {
    /// Reads the document again; where it can't be used, everything stays as it is.
    pub(crate) fn reload(&self, fixed: &FixedParts) {
        match self.try_reload(fixed) {
            Ok(()) => {
                tracing::info!(event = "configuration_reloaded", "the configuration was read again")
            }
            Err(error) => {
                tracing::warn!(event = "configuration_rejected", "the new configuration is not used: {error}")
            }
        }
    }

    fn read(document: &Value) -> Result<Self, InvalidDocument> {
        let problems = Problems::default();
        let peers = Peers::read_section(document, &Section::document(document, &problems));
        problems.finish(peers)
    }

    fn read_section(document: &Value, section: &Section<'_>) -> Self {
        let cell = |key| Rc::new(Cell::new(address(&section.get(key)).unwrap_or_else(no_address)));
        let is_shared = plovershelf_settings::shares_a_dependency(&document["settings"]);
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
    /// All that is wrong with the document, also with parts that can't change while the program runs: the next start would
    /// fail on them.
    fn replace(&self, fixed: &FixedParts, document: &Value) -> Result<(), InvalidDocument> {
        read_launch(document)?;
        self.move_to(fixed, document)
    }

    /// Takes over the addresses of a document, all of them or none. What else differs is logged and ignored.
    fn move_to(&self, fixed: &FixedParts, document: &Value) -> Result<(), InvalidDocument> {
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

/// # Errors
/// All that is wrong with the document.
fn read_launch(document: &Value) -> Result<Launch, InvalidDocument> {
    let problems = Problems::default();
    let top = Section::document(document, &problems);
    let seed = read_seed(&top.get("seed"));
    let settings = top.get("settings");
    if !settings.is_present() {
        settings.reject("an object");
    }
    let launch = Launch {
        name: read_name(&top.get("name")),
        listen: address(&top.get("listen")).unwrap_or_else(no_address),
        peers: Peers::read_section(document, &top),
        stop_ms: top.get("stop_ms").required_number(POSITIVE_DURATION_MS).unwrap_or(1.0),
        limits: read_limits(&top.get("limits").section()),
        startup: plovershelf_settings::read_section(&settings.section(), seed),
        bulkheads: None,
        group: None,
        changes: None,
        fixed: FixedParts::of(document),
    };
    problems.finish(launch)
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

/// The program keeps to memory and descriptors; the platform alone holds it to its cores.
fn read_limits(limits: &Section<'_>) -> Limits {
    limits.get("cores").number(CORES);
    let memory_mb = limits.get("memory_mb").required_number(PROGRAM_MEMORY_MB);
    let sockets = limits.get("sockets").required_number(SOCKETS);
    Limits::new(memory_mb.unwrap_or(1.0), sockets.unwrap_or(1.0) as usize)
}

#[cfg(test)]
mod tests;
