//! Files of configuration distribution: a listener's `changes.ini`, the section `[changes]` of an origin's `group.ini`, the list
//! of tenants that all start from, and a change that is to be proposed.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use ini::Properties;
use plovershelf_config_distribution::{DistributionConfig, Edit, QuotaTable, MAX_QUOTA_PER_S, MAX_TENANTS};

use crate::{Reading, Wrong};

/// All of a listener's file, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct Listener {
    /// The cluster's name.
    pub cluster: String,
    /// Where it is reached.
    pub listen: SocketAddr,
    /// The zone it runs in.
    pub zone: String,
    /// The region of the zone.
    pub region: String,
    /// Where origins are reached.
    pub origins: Vec<SocketAddr>,
    /// Intervals, timeouts and fan-outs.
    pub config: DistributionConfig,
}

/// The section of an origin's file, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct Origin {
    /// Where it is reached by listeners and other origins.
    pub listen: SocketAddr,
    /// Where the other origins are.
    pub origins: Vec<SocketAddr>,
    /// The file with the list of tenants that all start from.
    pub tenants: Option<PathBuf>,
    /// Intervals, timeouts and fan-outs.
    pub config: DistributionConfig,
}

/// Why the list of tenants can't be used.
#[derive(Debug, thiserror::Error)]
pub enum InitialTableError {
    /// The file can't be read.
    #[error("{path}: {source}")]
    Read {
        /// The file.
        path: String,
        /// What the system says.
        source: std::io::Error,
    },
    /// All that is wrong with it.
    #[error("{0}")]
    Invalid(Wrong),
}

impl Origin {
    /// What is in force before any change.
    ///
    /// # Errors
    ///
    /// All that is wrong with the file that `tenants` names.
    pub fn initial_table(&self) -> Result<QuotaTable, InitialTableError> {
        let Some(path) = &self.tenants else { return Ok(QuotaTable::default()) };
        let shown = path.to_string_lossy();
        let text = std::fs::read_to_string(path)
            .map_err(|source| InitialTableError::Read { path: shown.to_string(), source })?;
        tenants(&shown, &text).map_err(InitialTableError::Invalid)
    }
}

const LISTENER_KEYS: [&str; 11] = [
    "name",
    "listen",
    "zone",
    "region",
    "sources",
    "fan_out",
    "source_fan_out",
    "beat_ms",
    "silent_ms",
    "sum_ms",
    "spare_check_ms",
];
const ORIGIN_KEYS: [&str; 9] = [
    "listen",
    "sources",
    "tenants",
    "fan_out",
    "source_fan_out",
    "beat_ms",
    "silent_ms",
    "sum_ms",
    "spare_check_ms",
];
pub(crate) const SECTION: &str = "changes";
/// Origins in a file, at most.
const MAX_ORIGINS: usize = 7;
/// Bytes of a list of tenants, at most.
const MAX_LIST_BYTES: usize = 16 << 20;

/// Reads the text of a listener's file.
///
/// Errors: all that is wrong with the file.
pub fn read(file: &str, text: &str) -> Result<Listener, Wrong> {
    let (mut reading, ini) = Reading::of(file, text)?;
    let mut listener = None;
    for (section, told) in ini.iter() {
        match section {
            None => reading.outside(told, "[changes]"),
            Some(SECTION) if listener.is_none() => {
                reading.check_keys(SECTION, told, &LISTENER_KEYS);
                let mut word =
                    |key: &str, otherwise: Option<&str>| reading.word(SECTION, told, key, otherwise);
                let (cluster, zone) = (word("name", None), word("zone", None));
                let region = word("region", Some("region"));
                let (listen, origins) = addresses(&mut reading, told);
                if origins.is_empty() {
                    reading
                        .say(SECTION, "sources is missing: ADDRESS:PORT of each source, with commas between");
                }
                let config = distribution_config(&mut reading, told);
                listener = Some(Listener { cluster, listen, zone, region, origins, config });
            }
            Some(SECTION) => reading.say(SECTION, "stands there twice"),
            Some(section) => reading.say(section, "is no section here; [changes] is"),
        }
    }
    match listener {
        Some(listener) => reading.done(listener),
        None => {
            reading.say(SECTION, "is missing");
            Err(Wrong(reading.wrong))
        }
    }
}

/// Reads the section of an origin.
pub(crate) fn origin(reading: &mut Reading<'_>, told: &Properties) -> Origin {
    reading.check_keys(SECTION, told, &ORIGIN_KEYS);
    let (listen, origins) = addresses(reading, told);
    let tenants = reading.path(SECTION, told, "tenants");
    Origin { listen, origins, tenants, config: distribution_config(reading, told) }
}

fn addresses(reading: &mut Reading<'_>, told: &Properties) -> (SocketAddr, Vec<SocketAddr>) {
    let listen = reading.reached_at(SECTION, told, "listen");
    let mut origins: Vec<SocketAddr> = Vec::new();
    for word in told.get("sources").unwrap_or("").split(',').map(str::trim).filter(|word| !word.is_empty()) {
        match word.parse() {
            Ok(at) if origins.contains(&at) => reading.say(SECTION, &format!("sources names {word} twice")),
            Ok(at) => origins.push(at),
            Err(_) => {
                reading.say(SECTION, &format!("sources: {word:?}: ADDRESS:PORT, with commas between"));
            }
        }
    }
    if origins.len() > MAX_ORIGINS {
        reading.say(SECTION, &format!("sources names {}: {MAX_ORIGINS} at most", origins.len()));
    }
    (listen, origins)
}

fn distribution_config(reading: &mut Reading<'_>, told: &Properties) -> DistributionConfig {
    let mut config = DistributionConfig::default();
    let mut number =
        |key: &str, range: [f64; 2], otherwise: f64| reading.number(SECTION, told, key, range, otherwise);
    // Those that lost their parent may double it.
    let fan_outs = |number: f64| (number as usize, 2 * number as usize);
    (config.fan_out, config.failover_fan_out) =
        fan_outs(number("fan_out", [1.0, 64.0], config.fan_out as f64));
    (config.origin_fan_out, config.origin_failover_fan_out) =
        fan_outs(number("source_fan_out", [1.0, 128.0], config.origin_fan_out as f64));
    config.heartbeat_interval_ms = number("beat_ms", [50.0, 10_000.0], config.heartbeat_interval_ms);
    let silent_ms = number("silent_ms", [100.0, 60_000.0], config.min_parent_timeout_ms);
    (config.min_parent_timeout_ms, config.max_parent_timeout_ms) = (silent_ms, silent_ms * 1.25);
    config.aggregate_interval_ms = number("sum_ms", [100.0, 60_000.0], config.aggregate_interval_ms);
    config.leaf_probe_interval_ms =
        number("spare_check_ms", [500.0, 600_000.0], config.leaf_probe_interval_ms);
    config.child_timeout_ms = config.child_timeout_ms.max(config.aggregate_interval_ms * 2.5);
    config.stale_after_ms = config.stale_after_ms.max(config.heartbeat_interval_ms * 5.0);
    if config.heartbeat_interval_ms * 2.0 > silent_ms {
        reading
            .say(SECTION, "beat_ms is more than half of silent_ms: one beat lost would have a parent left");
    }
    config
}

/// A list NAME = quota a second, as what all begin from.
///
/// Errors: all that is wrong with the file.
pub fn tenants(file: &str, text: &str) -> Result<QuotaTable, Wrong> {
    let (mut reading, ini) = Reading::up_to(file, text, MAX_LIST_BYTES)?;
    let mut list: BTreeMap<Box<str>, f64> = BTreeMap::new();
    for (section, told) in ini.iter() {
        match section {
            None => reading.outside(told, "[tenants]"),
            Some("tenants") => {
                for (name, value) in told.iter() {
                    let quota = reading.quota("tenants", name, value);
                    if list.insert(name.into(), quota.unwrap_or(0.0)).is_some() {
                        reading.say("tenants", &format!("{name} stands there twice"));
                    }
                }
            }
            Some(section) => reading.say(section, "is no section here; [tenants] is"),
        }
        if reading.wrong.len() > MAX_ERRORS_TOLD {
            break;
        }
    }
    if list.len() > MAX_TENANTS {
        reading.say("tenants", &format!("names {}: {MAX_TENANTS} at most", list.len()));
        return Err(Wrong(reading.wrong));
    }
    let table = match QuotaTable::initial(list) {
        Ok(table) => table,
        Err(why) => {
            reading.say("tenants", &why.to_string());
            QuotaTable::default()
        }
    };
    reading.done(table)
}

/// Errors that are told of a list that is all wrong, at most.
const MAX_ERRORS_TOLD: usize = 64;

/// A change as a file tells it: `[set]` and `[add]` with NAME = quota a second, `[remove]` with NAME =.
///
/// Errors: all that is wrong with the file. Whether tenants are known is found where it is proposed.
pub fn edits(file: &str, text: &str) -> Result<Vec<Edit>, Wrong> {
    let (mut reading, ini) = Reading::of(file, text)?;
    let mut edits: Vec<Edit> = Vec::new();
    for (section, told) in ini.iter() {
        let Some(section) = section else {
            reading.outside(told, "[set], [add] or [remove]");
            continue;
        };
        for (name, value) in told.iter() {
            let tenant = name.to_string();
            let edit = match section {
                "set" => {
                    reading.quota(section, name, value).map(|quota_per_s| Edit::Set { tenant, quota_per_s })
                }
                "add" => {
                    reading.quota(section, name, value).map(|quota_per_s| Edit::Add { tenant, quota_per_s })
                }
                "remove" if value.trim().is_empty() => Some(Edit::Remove { tenant }),
                "remove" => {
                    reading.say(section, &format!("{name} = {value:?}: NAME = and nothing after it"));
                    None
                }
                _ => None,
            };
            edits.extend(edit);
        }
        if !["set", "add", "remove"].contains(&section) {
            reading.say(section, "is no section here; [set], [add] and [remove] are");
        }
    }
    if edits.is_empty() && reading.wrong.is_empty() {
        reading.say("set", "nothing is changed: [set], [add] or [remove] name tenants");
    }
    reading.done(edits)
}

impl Reading<'_> {
    fn quota(&mut self, section: &str, name: &str, value: &str) -> Option<f64> {
        let most = MAX_QUOTA_PER_S;
        match value.trim().parse::<f64>() {
            Ok(quota) if (0.0..=most).contains(&quota) => Some(quota),
            _ => {
                self.say(section, &format!("{name} = {value:?}: requests a second, from 0 to {most}"));
                None
            }
        }
    }
}

#[cfg(test)]
mod tests;
