//! What the program is told at its start: one JSON document that `RELAY_CONFIG` points to.

use std::net::SocketAddr;

use plovershelf_facts::Start;
use serde_json::Value;

use crate::limits::Limits;

pub struct Launch {
    pub name: String,
    pub listen: SocketAddr,
    pub agent: SocketAddr,
    pub roster: SocketAddr,
    pub ledger: SocketAddr,
    /// From the notice to leave to the kill.
    pub stop_ms: f64,
    pub limits: Limits,
    pub start: Start,
}

pub fn from_environment() -> Result<Launch, String> {
    let path = std::env::var_os("RELAY_CONFIG").ok_or("RELAY_CONFIG is not set")?;
    let text = std::fs::read_to_string(&path)
        .map_err(|e| format!("RELAY_CONFIG {}: {e}", path.to_string_lossy()))?;
    read(&text).map_err(|e| format!("RELAY_CONFIG {}: {e}", path.to_string_lossy()))
}

pub fn read(text: &str) -> Result<Launch, String> {
    let top: Value = serde_json::from_str(text).map_err(|e| format!("does not parse: {e}"))?;
    let word = |key: &str| top[key].as_str().ok_or_else(|| format!("{key:?} is missing or no text"));
    let address = |key: &str| word(key)?.parse().map_err(|e| format!("{key:?}: {e}"));
    let measure = |within: &Value, key: &str| {
        within[key].as_f64().filter(|v| *v > 0.0).ok_or_else(|| format!("{key:?} is missing or not above 0"))
    };
    let name = word("name")?;
    if name.is_empty() || name.contains(|c: char| c.is_whitespace() || c.is_control()) {
        return Err("\"name\" is not one word".into());
    }
    let seed = u64::from_str_radix(word("seed")?, 16).map_err(|e| format!("\"seed\": {e}"))?;
    let limits = &top["limits"];
    Ok(Launch {
        name: name.to_string(),
        listen: address("listen")?,
        agent: address("agent")?,
        roster: address("registry")?,
        ledger: address("records")?,
        stop_ms: measure(&top, "stop_ms")?,
        limits: Limits::of(measure(limits, "memory_mb")?, measure(limits, "sockets")? as usize),
        start: plovershelf_facts::read_value(&top["settings"], seed)?,
    })
}
