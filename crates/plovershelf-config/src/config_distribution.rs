//! Files of configuration distribution: a listener's `changes.ini`, the section `[changes]` of an origin's `group.ini`, the
//! initial list of tenants, and a change to be proposed.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use ini::Properties;
use plovershelf_config_distribution::{DistributionConfig, Edit, QuotaTable, MAX_QUOTA_PER_S, MAX_TENANTS};

use crate::{FileParser, InvalidFile};

/// Contents of a valid listener's file.
#[derive(Clone, Debug, PartialEq)]
pub struct Listener {
    /// Name of the cluster.
    pub cluster: String,
    /// Address at which the listener is reached.
    pub listen: SocketAddr,
    /// Zone in which the listener runs.
    pub zone: String,
    /// Region of the zone.
    pub region: String,
    /// Addresses of the origins.
    pub origins: Vec<SocketAddr>,
    /// Intervals, timeouts and fan-outs.
    pub config: DistributionConfig,
}

/// Contents of a valid section of an origin's file.
#[derive(Clone, Debug, PartialEq)]
pub struct Origin {
    /// Address at which listeners and other origins reach this origin.
    pub listen: SocketAddr,
    /// Addresses of the other origins.
    pub origins: Vec<SocketAddr>,
    /// File with the initial list of tenants, the same at all origins.
    pub tenants: Option<PathBuf>,
    /// Intervals, timeouts and fan-outs.
    pub config: DistributionConfig,
}

/// Error of the initial list of tenants.
#[derive(Debug, thiserror::Error)]
pub enum InitialTableError {
    /// The file could not be read.
    #[error("{path}: {source}")]
    Read {
        /// Path of the file.
        path: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The file is invalid; the error lists all of its errors.
    #[error("{0}")]
    Invalid(InvalidFile),
}

impl Origin {
    /// Reads the table of quotas that applies before any change.
    ///
    /// # Errors
    ///
    /// Fails if the file named by `tenants` cannot be read, and returns all errors of an invalid file.
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
/// Maximum number of origins in a file.
const MAX_ORIGINS: usize = 7;
/// Maximum length of a list of tenants in bytes.
const MAX_LIST_BYTES: usize = 16 << 20;

/// Parses the text of a listener's file. `file` is the file's name in error messages.
///
/// # Errors
/// Returns all errors of the file.
pub fn read(file: &str, text: &str) -> Result<Listener, InvalidFile> {
    let (mut parser, ini) = FileParser::new(file, text)?;
    let mut listener = None;
    for (section, properties) in ini.iter() {
        match section {
            None => parser.report_keys_outside_sections(properties, "[changes]"),
            Some(SECTION) if listener.is_none() => {
                parser.check_keys(SECTION, properties, &LISTENER_KEYS);
                let mut word =
                    |key: &str, default: Option<&str>| parser.word(SECTION, properties, key, default);
                let (cluster, zone) = (word("name", None), word("zone", None));
                let region = word("region", Some("region"));
                let (listen, origins) = addresses(&mut parser, properties);
                if origins.is_empty() {
                    parser.report(
                        SECTION,
                        "sources is missing: ADDRESS:PORT of each source, with commas between",
                    );
                }
                let config = distribution_config(&mut parser, properties);
                listener = Some(Listener { cluster, listen, zone, region, origins, config });
            }
            Some(SECTION) => parser.report(SECTION, "stands there twice"),
            Some(section) => parser.report(section, "is no section here; [changes] is"),
        }
    }
    match listener {
        Some(listener) => parser.finish(listener),
        None => {
            parser.report(SECTION, "is missing");
            Err(InvalidFile(parser.errors))
        }
    }
}

/// Parses the section `[changes]` of an origin.
pub(crate) fn origin(parser: &mut FileParser<'_>, properties: &Properties) -> Origin {
    parser.check_keys(SECTION, properties, &ORIGIN_KEYS);
    let (listen, origins) = addresses(parser, properties);
    let tenants = parser.path(SECTION, properties, "tenants");
    Origin { listen, origins, tenants, config: distribution_config(parser, properties) }
}

fn addresses(parser: &mut FileParser<'_>, properties: &Properties) -> (SocketAddr, Vec<SocketAddr>) {
    let listen = parser.advertised_address(SECTION, properties, "listen");
    let mut origins: Vec<SocketAddr> = Vec::new();
    for word in
        properties.get("sources").unwrap_or("").split(',').map(str::trim).filter(|word| !word.is_empty())
    {
        match word.parse() {
            Ok(address) if origins.contains(&address) => {
                parser.report(SECTION, &format!("sources names {word} twice"))
            }
            Ok(address) => origins.push(address),
            Err(_) => {
                parser.report(SECTION, &format!("sources: {word:?}: ADDRESS:PORT, with commas between"));
            }
        }
    }
    if origins.len() > MAX_ORIGINS {
        parser.report(SECTION, &format!("sources names {}: {MAX_ORIGINS} at most", origins.len()));
    }
    (listen, origins)
}

fn distribution_config(parser: &mut FileParser<'_>, properties: &Properties) -> DistributionConfig {
    let mut config = DistributionConfig::default();
    let mut number =
        |key: &str, range: [f64; 2], default: f64| parser.number(SECTION, properties, key, range, default);
    // The fan-out may double after failures, to adopt listeners that lost their parent.
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
        parser.report(
            SECTION,
            "beat_ms is more than half of silent_ms: one beat lost would have a parent left",
        );
    }
    config
}

/// Parses the initial list of tenants, lines of NAME = requests per second.
///
/// # Errors
/// Returns all errors of the file, or the first of them if there are very many.
pub fn tenants(file: &str, text: &str) -> Result<QuotaTable, InvalidFile> {
    let (mut parser, ini) = FileParser::with_max_bytes(file, text, MAX_LIST_BYTES)?;
    let mut list: BTreeMap<Box<str>, f64> = BTreeMap::new();
    for (section, properties) in ini.iter() {
        match section {
            None => parser.report_keys_outside_sections(properties, "[tenants]"),
            Some("tenants") => {
                for (name, value) in properties.iter() {
                    let quota = parser.quota("tenants", name, value);
                    if list.insert(name.into(), quota.unwrap_or(0.0)).is_some() {
                        parser.report("tenants", &format!("{name} stands there twice"));
                    }
                }
            }
            Some(section) => parser.report(section, "is no section here; [tenants] is"),
        }
        if parser.errors.len() > MAX_REPORTED_ERRORS {
            break;
        }
    }
    if list.len() > MAX_TENANTS {
        parser.report("tenants", &format!("names {}: {MAX_TENANTS} at most", list.len()));
        return Err(InvalidFile(parser.errors));
    }
    let table = match QuotaTable::initial(list) {
        Ok(table) => table,
        Err(error) => {
            parser.report("tenants", &error.to_string());
            QuotaTable::default()
        }
    };
    parser.finish(table)
}

/// Number of errors after which no further section of a list is read.
const MAX_REPORTED_ERRORS: usize = 64;

/// Parses a change from the text of a file: `[set]` and `[add]` with NAME = requests per second, `[remove]` with
/// NAME =.
///
/// # Errors
/// Returns all errors of the file. Whether the tenants exist is checked when the change is proposed.
pub fn edits(file: &str, text: &str) -> Result<Vec<Edit>, InvalidFile> {
    let (mut parser, ini) = FileParser::new(file, text)?;
    let mut edits: Vec<Edit> = Vec::new();
    for (section, properties) in ini.iter() {
        let Some(section) = section else {
            parser.report_keys_outside_sections(properties, "[set], [add] or [remove]");
            continue;
        };
        for (name, value) in properties.iter() {
            let tenant = name.to_string();
            let edit = match section {
                "set" => {
                    parser.quota(section, name, value).map(|quota_per_s| Edit::Set { tenant, quota_per_s })
                }
                "add" => {
                    parser.quota(section, name, value).map(|quota_per_s| Edit::Add { tenant, quota_per_s })
                }
                "remove" if value.trim().is_empty() => Some(Edit::Remove { tenant }),
                "remove" => {
                    parser.report(section, &format!("{name} = {value:?}: NAME = and nothing after it"));
                    None
                }
                _ => None,
            };
            edits.extend(edit);
        }
        if !["set", "add", "remove"].contains(&section) {
            parser.report(section, "is no section here; [set], [add] and [remove] are");
        }
    }
    if edits.is_empty() && parser.errors.is_empty() {
        parser.report("set", "nothing is changed: [set], [add] or [remove] name tenants");
    }
    parser.finish(edits)
}

impl FileParser<'_> {
    fn quota(&mut self, section: &str, name: &str, value: &str) -> Option<f64> {
        let max = MAX_QUOTA_PER_S;
        match value.trim().parse::<f64>() {
            Ok(quota) if (0.0..=max).contains(&quota) => Some(quota),
            _ => {
                self.report(section, &format!("{name} = {value:?}: requests a second, from 0 to {max}"));
                None
            }
        }
    }
}

#[cfg(test)]
mod tests;
