//! `changes.ini`: from whom a backend hears of changes; the section `[changes]` of a source's `group.ini`; the list of
//! tenants that all begin from, and a change that is to be proposed.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use ini::Properties;
use plovershelf_config_distribution::{DistributionConfig, Edit, QuotaTable, MAX_QUOTA_PER_S, MAX_TENANTS};

use crate::{Reading, Wrong};

/// All of a listener's file, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct Listener {
    /// The group's name.
    pub name: String,
    pub listen: SocketAddr,
    pub zone: String,
    pub region: String,
    pub sources: Vec<SocketAddr>,
    pub terms: DistributionConfig,
}

/// What a source's `group.ini` says of changes.
#[derive(Clone, Debug, PartialEq)]
pub struct Source {
    pub listen: SocketAddr,
    /// The other sources' such addresses.
    pub sources: Vec<SocketAddr>,
    /// The file with what all begin from.
    pub tenants: Option<PathBuf>,
    pub terms: DistributionConfig,
}

impl Source {
    /// What is in force before any change.
    ///
    /// Errors: all that is wrong with the file that `tenants` names.
    pub fn first_content(&self) -> Result<QuotaTable, String> {
        let Some(path) = &self.tenants else { return Ok(QuotaTable::default()) };
        let shown = path.to_string_lossy();
        let text = std::fs::read_to_string(path).map_err(|error| format!("{shown}: {error}"))?;
        tenants(&shown, &text).map_err(|wrong| wrong.to_string())
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
const SOURCE_KEYS: [&str; 9] = [
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
const SOURCES_MOST: usize = 7;
/// The longest list of tenants that is read.
const LIST_LONGEST: usize = 16 << 20;

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
                let (name, zone) = (word("name", None), word("zone", None));
                let region = word("region", Some("region"));
                let (listen, sources) = addresses(&mut reading, told);
                if sources.is_empty() {
                    reading
                        .say(SECTION, "sources is missing: ADDRESS:PORT of each source, with commas between");
                }
                let terms = terms(&mut reading, told);
                listener = Some(Listener { name, listen, zone, region, sources, terms });
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

/// The section of a source.
pub(crate) fn source(reading: &mut Reading<'_>, told: &Properties) -> Source {
    reading.check_keys(SECTION, told, &SOURCE_KEYS);
    let (listen, sources) = addresses(reading, told);
    let tenants = told.get("tenants").map(|path| PathBuf::from(path.trim()));
    Source { listen, sources, tenants, terms: terms(reading, told) }
}

fn addresses(reading: &mut Reading<'_>, told: &Properties) -> (SocketAddr, Vec<SocketAddr>) {
    let listen = reading.reached_at(SECTION, told, "listen");
    let mut sources: Vec<SocketAddr> = Vec::new();
    for word in told.get("sources").unwrap_or("").split(',').map(str::trim).filter(|word| !word.is_empty()) {
        match word.parse() {
            Ok(at) if sources.contains(&at) => reading.say(SECTION, &format!("sources names {word} twice")),
            Ok(at) => sources.push(at),
            Err(_) => {
                reading.say(SECTION, &format!("sources: {word:?}: ADDRESS:PORT, with commas between"));
            }
        }
    }
    if sources.len() > SOURCES_MOST {
        reading.say(SECTION, &format!("sources names {}: {SOURCES_MOST} at most", sources.len()));
    }
    (listen, sources)
}

fn terms(reading: &mut Reading<'_>, told: &Properties) -> DistributionConfig {
    let mut terms = DistributionConfig::default();
    let mut number =
        |key: &str, range: [f64; 2], otherwise: f64| reading.number(SECTION, told, key, range, otherwise);
    let hands = |number: f64| (number as usize, 2 * number as usize);
    (terms.fan_out, terms.failover_fan_out) = hands(number("fan_out", [1.0, 64.0], terms.fan_out as f64));
    (terms.origin_fan_out, terms.origin_failover_fan_out) =
        hands(number("source_fan_out", [1.0, 128.0], terms.origin_fan_out as f64));
    terms.heartbeat_interval_ms = number("beat_ms", [50.0, 10_000.0], terms.heartbeat_interval_ms);
    let silent_ms = number("silent_ms", [100.0, 60_000.0], terms.min_parent_timeout_ms);
    (terms.min_parent_timeout_ms, terms.max_parent_timeout_ms) = (silent_ms, silent_ms * 1.25);
    terms.aggregate_interval_ms = number("sum_ms", [100.0, 60_000.0], terms.aggregate_interval_ms);
    terms.leaf_probe_interval_ms = number("spare_check_ms", [500.0, 600_000.0], terms.leaf_probe_interval_ms);
    terms.child_timeout_ms = terms.child_timeout_ms.max(terms.aggregate_interval_ms * 2.5);
    terms.stale_after_ms = terms.stale_after_ms.max(terms.heartbeat_interval_ms * 5.0);
    if terms.heartbeat_interval_ms * 2.0 > silent_ms {
        reading
            .say(SECTION, "beat_ms is more than half of silent_ms: one beat lost would have a parent left");
    }
    terms
}

/// A list NAME = quota a second, as what all begin from.
///
/// Errors: all that is wrong with the file.
pub fn tenants(file: &str, text: &str) -> Result<QuotaTable, Wrong> {
    let (mut reading, ini) = Reading::up_to(file, text, LIST_LONGEST)?;
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
        if reading.wrong.len() > TELL_MOST {
            break;
        }
    }
    if list.len() > MAX_TENANTS {
        reading.say("tenants", &format!("names {}: {MAX_TENANTS} at most", list.len()));
        return Err(Wrong(reading.wrong));
    }
    let content = match QuotaTable::initial(list) {
        Ok(content) => content,
        Err(why) => {
            reading.say("tenants", &why.to_string());
            QuotaTable::default()
        }
    };
    reading.done(content)
}

/// Of a long list that is all wrong.
const TELL_MOST: usize = 64;

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
