//! `pools.ini`, the operator's plan of bulkheads: a section `[pool NAME]` for each bulkhead, and `[reserve]`.

use ini::{Ini, Properties};
use plovershelf_bulkhead::{BulkheadConfig, BulkheadPlan, Reserve};

use crate::{nearest, Reading, Wrong};

const BULKHEAD_KEYS: [&str; 6] =
    ["offerings", "least_runs", "most_runs", "least_calls", "most_calls", "weight"];
const RESERVE_KEYS: [&str; 2] = ["pool", "share"];

const DEFAULT_RESERVED_RUNS: usize = 1;
const DEFAULT_RESERVED_CALLS: usize = 0;
const DEFAULT_MAX: usize = 10_000;
const DEFAULT_WEIGHT: f64 = 1.0;
const WEIGHT_RANGE: [f64; 2] = [0.01, 10_000.0];
const DEFAULT_RESERVE_FRACTION: f64 = 0.05;
const RESERVE_FRACTION_RANGE: [f64; 2] = [0.0, 0.5];

/// The reserve as the file has it: its owner by name.
struct NamedReserve {
    bulkhead: String,
    fraction: f64,
}

/// Reads the file's text. `classes` are the names of the backend's request classes, in their order.
///
/// # Errors
/// All that is wrong with the file.
pub fn read(file: &str, text: &str, classes: &[String]) -> Result<BulkheadPlan, Wrong> {
    let (mut reading, ini) = Reading::of(file, text)?;
    let (bulkheads, reserve) = read_sections(&mut reading, &ini, classes);
    if bulkheads.is_empty() {
        reading.say("pool NAME", "is missing: one pool at least is needed");
    }
    let reserve = reserve.and_then(|reserve| find_owner(&mut reading, &bulkheads, &reserve));
    reading.done(BulkheadPlan { bulkheads, reserve })
}

fn read_sections(
    reading: &mut Reading<'_>,
    ini: &Ini,
    classes: &[String],
) -> (Vec<BulkheadConfig>, Option<NamedReserve>) {
    let mut bulkheads: Vec<BulkheadConfig> = Vec::new();
    let mut reserve = None;
    for (section, properties) in ini.iter() {
        let Some(section) = section else {
            reading.outside(properties, "[pool NAME] or [reserve]");
            continue;
        };
        match section.split_once(' ') {
            Some(("pool", name)) if !name.trim().is_empty() => {
                if bulkheads.iter().any(|bulkhead| bulkhead.name == name) {
                    reading.say(section, "stands there twice");
                } else {
                    bulkheads.push(read_bulkhead(reading, section, name, properties, classes));
                }
            }
            _ if section == "reserve" && reserve.is_none() => {
                reserve = Some(read_reserve(reading, section, properties));
            }
            _ if section == "reserve" => reading.say(section, "stands there twice"),
            _ => reading.say(section, "is no section here; [pool NAME] and [reserve] are"),
        }
    }
    (bulkheads, reserve)
}

fn read_bulkhead(
    reading: &mut Reading<'_>,
    section: &str,
    name: &str,
    properties: &Properties,
    classes: &[String],
) -> BulkheadConfig {
    reading.check_keys(section, properties, &BULKHEAD_KEYS);
    BulkheadConfig {
        name: name.to_string(),
        classes: read_classes(reading, section, properties, classes),
        reserved_runs: reading.count(section, properties, "least_runs", DEFAULT_RESERVED_RUNS),
        max_runs: reading.count(section, properties, "most_runs", DEFAULT_MAX),
        reserved_calls: reading.count(section, properties, "least_calls", DEFAULT_RESERVED_CALLS),
        max_calls: reading.count(section, properties, "most_calls", DEFAULT_MAX),
        weight: reading.number(section, properties, "weight", WEIGHT_RANGE, DEFAULT_WEIGHT),
    }
}

/// The indices of the request classes that a bulkhead names.
fn read_classes(
    reading: &mut Reading<'_>,
    section: &str,
    properties: &Properties,
    classes: &[String],
) -> Vec<usize> {
    let mut own = Vec::new();
    for name in properties.get("offerings").unwrap_or("").split(',').map(str::trim) {
        match classes.iter().position(|known| known == name) {
            Some(class) => own.push(class),
            None if name.is_empty() => {
                reading.say(section, "offerings = \"\": names, with commas between");
            }
            None => {
                let near = nearest(name, classes.iter().map(String::as_str));
                reading.say(section, &format!("offerings: there is no {name:?}{near}"));
            }
        }
    }
    own
}

fn read_reserve(reading: &mut Reading<'_>, section: &str, properties: &Properties) -> NamedReserve {
    reading.check_keys(section, properties, &RESERVE_KEYS);
    let fraction =
        reading.number(section, properties, "share", RESERVE_FRACTION_RANGE, DEFAULT_RESERVE_FRACTION);
    NamedReserve { bulkhead: properties.get("pool").unwrap_or("").to_string(), fraction }
}

fn find_owner(
    reading: &mut Reading<'_>,
    bulkheads: &[BulkheadConfig],
    reserve: &NamedReserve,
) -> Option<Reserve> {
    let NamedReserve { bulkhead: name, fraction } = reserve;
    let owner = bulkheads.iter().position(|bulkhead| bulkhead.name == *name);
    if owner.is_none() {
        let near = nearest(name, bulkheads.iter().map(|bulkhead| bulkhead.name.as_str()));
        reading.say("reserve", &format!("pool = {name:?}: there is no such pool{near}"));
    }
    owner.map(|bulkhead| Reserve { bulkhead, fraction: *fraction })
}

#[cfg(test)]
mod tests;
