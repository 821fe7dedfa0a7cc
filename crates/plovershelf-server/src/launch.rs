//! What the program is told at its start: one JSON document that `RELAY_CONFIG` points to. It is read anew when
//! the program is told that it was replaced; then only the addresses of its peers change.

use std::cell::Cell;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::rc::Rc;

use plovershelf_bulkhead::Plan;
use plovershelf_settings::Startup;
use serde_json::Value;

use crate::limits::Limits;

pub struct Launch {
    pub name: String,
    pub listen: SocketAddr,
    pub peers: Peers,
    /// From the notice to leave to the kill.
    pub stop_ms: f64,
    pub limits: Limits,
    pub startup: Startup,
    /// Pools of offerings, where the operator has set any.
    pub pools: Option<Plan>,
    /// The group that it belongs to, where the operator has set one.
    pub group: Option<plovershelf_config::group::Group>,
    /// From whom it hears of changes, where the operator has set it up.
    pub changes: Option<plovershelf_config::config_distribution::Listener>,
    /// What can't change while it runs, to tell later whether it did.
    pub fixed: Fixed,
}

/// Where the peers are. All parts that talk to one look here.
#[derive(Clone, Debug)]
pub struct Peers {
    pub agent: Rc<Cell<SocketAddr>>,
    pub roster: Rc<Cell<SocketAddr>>,
    /// There is none where the settings tell of no dependency that backends share.
    pub ledger: Rc<Cell<Option<SocketAddr>>>,
}

/// What can't change in a running program.
const FIXED: [&str; 6] = ["name", "listen", "seed", "stop_ms", "limits", "settings"];

/// A hash of each such part of a document. Guards against keeping the document, which with many tenants takes
/// more memory than all else.
#[derive(Clone, Debug, PartialEq)]
pub struct Fixed([u64; FIXED.len()]);

impl Fixed {
    pub fn of(top: &Value) -> Self {
        Fixed(FIXED.map(|key| {
            let mut hasher = DefaultHasher::new();
            top[key].hash(&mut hasher);
            hasher.finish()
        }))
    }

    /// The parts that another document has otherwise.
    fn changed(&self, other: &Fixed) -> Vec<&'static str> {
        let parts = FIXED.into_iter().zip(self.0.iter().zip(&other.0));
        parts.filter(|(_, (own, other))| own != other).map(|(key, _)| key).collect()
    }
}

/// What is wrong with the document, with the file that it stands in.
pub fn named(wrong: String) -> String {
    let path = std::env::var_os("RELAY_CONFIG").unwrap_or_default();
    format!("RELAY_CONFIG {}: {wrong}", path.to_string_lossy())
}

pub fn from_environment() -> Result<Launch, String> {
    let top = read_file().map_err(|e| format!("RELAY_CONFIG {e}"))?;
    let mut launch = read(&top).map_err(named)?;
    launch.pools = pools(&launch.startup.classes)?;
    launch.group = group()?;
    launch.changes = changes()?;
    Ok(launch)
}

fn read_file() -> Result<Value, String> {
    let path = std::env::var_os("RELAY_CONFIG").ok_or("is not set")?;
    let shown = path.to_string_lossy();
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{shown}: {e}"))?;
    serde_json::from_str(&text).map_err(|e| format!("{shown}: does not parse: {e}"))
}

/// The file of pools that `PLOVERSHELF_POOLS` names, where it names one; no pools without.
///
/// Errors: all that is wrong with the file.
pub fn pools(offerings: &[String]) -> Result<Option<Plan>, String> {
    let Some(path) = std::env::var_os("PLOVERSHELF_POOLS") else { return Ok(None) };
    let shown = path.to_string_lossy();
    let text = std::fs::read_to_string(&path).map_err(|e| format!("PLOVERSHELF_POOLS {shown}: {e}"))?;
    plovershelf_config::pools::read(&shown, &text, offerings).map(Some).map_err(|wrong| wrong.to_string())
}

/// The file of the group that `PLOVERSHELF_GROUP` names, where it names one; no group without.
///
/// Errors: all that is wrong with the file.
fn group() -> Result<Option<plovershelf_config::group::Group>, String> {
    let Some(path) = std::env::var_os("PLOVERSHELF_GROUP") else { return Ok(None) };
    let shown = path.to_string_lossy();
    let text = std::fs::read_to_string(&path).map_err(|e| format!("PLOVERSHELF_GROUP {shown}: {e}"))?;
    plovershelf_config::group::read(&shown, &text).map(Some).map_err(|wrong| wrong.to_string())
}

/// The file that `PLOVERSHELF_CHANGES` names, where it names one; quotas stay as the settings have them without.
///
/// Errors: all that is wrong with the file.
fn changes() -> Result<Option<plovershelf_config::config_distribution::Listener>, String> {
    let Some(path) = std::env::var_os("PLOVERSHELF_CHANGES") else { return Ok(None) };
    let shown = path.to_string_lossy();
    let text = std::fs::read_to_string(&path).map_err(|e| format!("PLOVERSHELF_CHANGES {shown}: {e}"))?;
    plovershelf_config::config_distribution::read(&shown, &text).map(Some).map_err(|wrong| wrong.to_string())
}

fn word<'a>(top: &'a Value, key: &str) -> Result<&'a str, String> {
    top[key].as_str().ok_or_else(|| format!("{key:?} is missing or no text"))
}

fn address(top: &Value, key: &str) -> Result<SocketAddr, String> {
    word(top, key)?.parse().map_err(|e| format!("{key:?}: {e}"))
}

impl Peers {
    /// Reads the file again; where it can't be used, all stays as it is.
    pub fn read_again(&self, before: &Fixed) {
        match read_file().and_then(|top| self.move_to(before, &top)) {
            Ok(()) => tracing::info!("the configuration was read again"),
            Err(error) => tracing::warn!("the new configuration is not used: {error}"),
        }
    }

    fn read(top: &Value) -> Result<Self, String> {
        let at = |key| Ok::<_, String>(Rc::new(Cell::new(address(top, key)?)));
        let shared = plovershelf_settings::shares_a_dependency(&top["settings"]);
        let ledger = match top["records"] {
            Value::Null if !shared => None,
            _ => Some(address(top, "records")?),
        };
        Ok(Peers { agent: at("agent")?, roster: at("registry")?, ledger: Rc::new(Cell::new(ledger)) })
    }

    /// Takes the addresses of a document that replaced `before`, all of them or none. What else has changed
    /// is named in the log and left.
    fn move_to(&self, before: &Fixed, top: &Value) -> Result<(), String> {
        let new = Peers::read(top)?;
        for key in before.changed(&Fixed::of(top)) {
            tracing::warn!("the new configuration changes {key:?}, which needs a restart");
        }
        self.agent.set(new.agent.get());
        self.roster.set(new.roster.get());
        self.ledger.set(new.ledger.get());
        Ok(())
    }
}

pub fn read(top: &Value) -> Result<Launch, String> {
    let measure = |within: &Value, key: &str| {
        within[key].as_f64().filter(|v| *v > 0.0).ok_or_else(|| format!("{key:?} is missing or not above 0"))
    };
    let name = word(top, "name")?;
    if name.is_empty() || name.contains(|c: char| c.is_whitespace() || c.is_control()) {
        return Err("\"name\" is not one word".into());
    }
    let seed = u64::from_str_radix(word(top, "seed")?, 16).map_err(|e| format!("\"seed\": {e}"))?;
    let limits = &top["limits"];
    Ok(Launch {
        name: name.to_string(),
        listen: address(top, "listen")?,
        peers: Peers::read(top)?,
        stop_ms: measure(top, "stop_ms")?,
        limits: Limits::of(measure(limits, "memory_mb")?, measure(limits, "sockets")? as usize),
        startup: plovershelf_settings::read_value(&top["settings"], seed)
            .map_err(|error| error.to_string())?,
        pools: None,
        group: None,
        changes: None,
        fixed: Fixed::of(top),
    })
}

#[cfg(test)]
mod tests;
