//! `pools.ini`, the plan of bulkheads: a section `[pool NAME]` for each bulkhead, and `[reserve]`.

use ini::{Ini, Properties};
use plovershelf_bulkhead::{BulkheadConfig, BulkheadPlan, Reserve};

use crate::{suggestion, FileParser, InvalidFile};

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

/// Reserve as written in the file, with its owner by name.
struct NamedReserve {
    bulkhead: String,
    fraction: f64,
}

/// Parses the text of the file of bulkheads. `classes` are the names of the backend's request classes in order.
///
/// # Errors
/// Returns all errors of the file.
pub fn read(file: &str, text: &str, classes: &[String]) -> Result<BulkheadPlan, InvalidFile> {
    let (mut parser, ini) = FileParser::new(file, text)?;
    let (bulkheads, reserve) = read_sections(&mut parser, &ini, classes);
    if bulkheads.is_empty() {
        parser.report("pool NAME", "is missing: one pool at least is needed");
    }
    let reserve = reserve.and_then(|reserve| find_owner(&mut parser, &bulkheads, &reserve));
    parser.finish(BulkheadPlan { bulkheads, reserve })
}

fn read_sections(
    parser: &mut FileParser<'_>,
    ini: &Ini,
    classes: &[String],
) -> (Vec<BulkheadConfig>, Option<NamedReserve>) {
    let mut bulkheads: Vec<BulkheadConfig> = Vec::new();
    let mut reserve = None;
    for (section, properties) in ini.iter() {
        let Some(section) = section else {
            parser.report_keys_outside_sections(properties, "[pool NAME] or [reserve]");
            continue;
        };
        match section.split_once(' ') {
            Some(("pool", name)) if !name.trim().is_empty() => {
                if bulkheads.iter().any(|bulkhead| bulkhead.name == name) {
                    parser.report(section, "stands there twice");
                } else {
                    bulkheads.push(read_bulkhead(parser, section, name, properties, classes));
                }
            }
            _ if section == "reserve" && reserve.is_none() => {
                reserve = Some(read_reserve(parser, section, properties));
            }
            _ if section == "reserve" => parser.report(section, "stands there twice"),
            _ => parser.report(section, "is no section here; [pool NAME] and [reserve] are"),
        }
    }
    (bulkheads, reserve)
}

fn read_bulkhead(
    parser: &mut FileParser<'_>,
    section: &str,
    name: &str,
    properties: &Properties,
    classes: &[String],
) -> BulkheadConfig {
    parser.check_keys(section, properties, &BULKHEAD_KEYS);
    BulkheadConfig {
        name: name.to_string(),
        classes: read_classes(parser, section, properties, classes),
        reserved_runs: parser.count(section, properties, "least_runs", DEFAULT_RESERVED_RUNS),
        max_runs: parser.count(section, properties, "most_runs", DEFAULT_MAX),
        reserved_calls: parser.count(section, properties, "least_calls", DEFAULT_RESERVED_CALLS),
        max_calls: parser.count(section, properties, "most_calls", DEFAULT_MAX),
        weight: parser.number(section, properties, "weight", WEIGHT_RANGE, DEFAULT_WEIGHT),
    }
}

/// Returns the indices of the request classes that a bulkhead names.
fn read_classes(
    parser: &mut FileParser<'_>,
    section: &str,
    properties: &Properties,
    classes: &[String],
) -> Vec<usize> {
    let mut indices = Vec::new();
    for name in properties.get("offerings").unwrap_or("").split(',').map(str::trim) {
        match classes.iter().position(|known| known == name) {
            Some(class) => indices.push(class),
            None if name.is_empty() => {
                parser.report(section, "offerings = \"\": names, with commas between");
            }
            None => {
                let hint = suggestion(name, classes.iter().map(String::as_str));
                parser.report(section, &format!("offerings: there is no {name:?}{hint}"));
            }
        }
    }
    indices
}

fn read_reserve(parser: &mut FileParser<'_>, section: &str, properties: &Properties) -> NamedReserve {
    parser.check_keys(section, properties, &RESERVE_KEYS);
    let fraction =
        parser.number(section, properties, "share", RESERVE_FRACTION_RANGE, DEFAULT_RESERVE_FRACTION);
    NamedReserve { bulkhead: properties.get("pool").unwrap_or("").to_string(), fraction }
}

fn find_owner(
    parser: &mut FileParser<'_>,
    bulkheads: &[BulkheadConfig],
    reserve: &NamedReserve,
) -> Option<Reserve> {
    let NamedReserve { bulkhead: name, fraction } = reserve;
    let owner = bulkheads.iter().position(|bulkhead| bulkhead.name == *name);
    if owner.is_none() {
        let hint = suggestion(name, bulkheads.iter().map(|bulkhead| bulkhead.name.as_str()));
        parser.report("reserve", &format!("pool = {name:?}: there is no such pool{hint}"));
    }
    owner.map(|bulkhead| Reserve { bulkhead, fraction: *fraction })
}

#[cfg(test)]
mod tests;
