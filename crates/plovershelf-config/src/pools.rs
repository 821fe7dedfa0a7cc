//! `pools.ini`: a section `[pool NAME]` for each pool, and `[reserve]`.

use plovershelf_bulkhead::{Plan, Reserve, Terms};

use crate::{nearest, Reading, Wrong};

const POOL_KEYS: [&str; 6] = ["offerings", "least_runs", "most_runs", "least_calls", "most_calls", "weight"];
const RESERVE_KEYS: [&str; 2] = ["pool", "share"];

/// Reads the file's text. `offerings` are the names that the backend knows, in their order.
///
/// Errors: all that is wrong with the file.
pub fn read(file: &str, text: &str, offerings: &[String]) -> Result<Plan, Wrong> {
    let (mut reading, ini) = Reading::of(file, text)?;
    let mut plan = Plan { pools: Vec::new(), reserve: None };
    let mut reserve = None;
    for (section, told) in ini.iter() {
        let Some(section) = section else {
            for (key, _) in told.iter() {
                reading.say(
                    "",
                    &format!("{key} stands before any section; [pool NAME] or [reserve] begins one"),
                );
            }
            continue;
        };
        match section.split_once(' ') {
            Some(("pool", name)) if !name.trim().is_empty() => {
                if plan.pools.iter().any(|pool| pool.name == name) {
                    reading.say(section, "stands there twice");
                    continue;
                }
                reading.check_keys(section, told, &POOL_KEYS);
                let mut own = Vec::new();
                for word in told.get("offerings").unwrap_or("").split(',').map(str::trim) {
                    match offerings.iter().position(|known| known == word) {
                        Some(place) => own.push(place),
                        None if word.is_empty() => {
                            reading.say(section, "offerings = \"\": names, with commas between")
                        }
                        None => {
                            let near = nearest(word, offerings.iter().map(String::as_str));
                            reading.say(section, &format!("offerings: there is no {word:?}{near}"));
                        }
                    }
                }
                plan.pools.push(Terms {
                    name: name.to_string(),
                    offerings: own,
                    least_runs: reading.count(section, told, "least_runs", 1),
                    most_runs: reading.count(section, told, "most_runs", 10_000),
                    least_calls: reading.count(section, told, "least_calls", 0),
                    most_calls: reading.count(section, told, "most_calls", 10_000),
                    weight: reading.number(section, told, "weight", [0.01, 10_000.0], 1.0),
                });
            }
            _ if section == "reserve" && reserve.is_none() => {
                reading.check_keys(section, told, &RESERVE_KEYS);
                let share = reading.number(section, told, "share", [0.0, 0.5], 0.05);
                reserve = Some((told.get("pool").unwrap_or("").to_string(), share));
            }
            _ if section == "reserve" => reading.say(section, "stands there twice"),
            _ => reading.say(section, "is no section here; [pool NAME] and [reserve] are"),
        }
    }
    if plan.pools.is_empty() {
        reading.say("pool NAME", "is missing: one pool at least is needed");
    }
    if let Some((name, share)) = reserve {
        match plan.pools.iter().position(|pool| pool.name == name) {
            Some(pool) => plan.reserve = Some(Reserve { pool, share }),
            None => {
                let near = nearest(&name, plan.pools.iter().map(|pool| pool.name.as_str()));
                reading.say("reserve", &format!("pool = {name:?}: there is no such pool{near}"));
            }
        }
    }
    reading.done(plan)
}

#[cfg(test)]
mod tests;
