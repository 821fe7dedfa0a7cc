//! Reads the settings from JSON, field by field. A missing field has its default. An invalid field is an error, and all errors
//! are reported together. Fields that the backend does not use are ignored.

use plovershelf::api::{BackendConfig, BackpressureSignal, Cancellation, ClassConfig, Idempotency};
use serde_json::Value;

use crate::document::{Entry, InvalidDocument, Problems, Section};
use crate::keywords::{self, Dependency};
use crate::ranges::{
    CORES, COUNT, DURATION_MS, FACTOR, FACTOR_OR_ZERO, FRACTION, MEMORY_KB, MULTIPLE, POSITIVE_DURATION_MS,
    RATE_PER_S, USED_KB, VALUE,
};
use crate::{unique_keys, Names, SettingsError, Startup};

/// Name of the settings in the document that contains them, used in error paths.
const SETTINGS: &str = "settings";

/// Parses settings from JSON text. `seed` initializes the backend's random numbers.
///
/// # Errors
/// Returns all errors of the settings.
pub fn read(text: &str, seed: u64) -> Result<Startup, SettingsError> {
    Ok(read_value(&unique_keys::parse(text)?, seed)?)
}

/// Parses settings that are part of a larger document.
///
/// # Errors
/// Returns all errors of the settings.
pub fn read_value(settings: &Value, seed: u64) -> Result<Startup, InvalidDocument> {
    let problems = Problems::default();
    let startup = read_section(&Section::named(SETTINGS.to_string(), settings, &problems), seed);
    problems.finish(startup)
}

/// Parses settings together with the rest of their document; errors are recorded in that document's problems.
pub fn read_section(settings: &Section<'_>, seed: u64) -> Startup {
    let family_info = settings.get("family_info").section();
    let mut warnings = Vec::new();
    let gauges = family_info.get("meters").rows();
    Startup {
        config: config(settings, &family_info, seed, &mut warnings),
        classes: names(settings.get("classes"), &mut warnings),
        tenants: names(settings.get("tenants"), &mut warnings),
        gauges: gauges.iter().map(|name| name.text().and_then(keywords::gauge)).collect(),
        warnings,
    }
}

/// Returns whether the settings describe a dependency that is shared by all backends.
pub fn has_shared_dependency(settings: &Value) -> bool {
    let word = settings["family_info"]["below"].as_str();
    keywords::DEPENDENCY.contains(&(word.unwrap_or_default(), Dependency::Shared))
}

fn config(
    settings: &Section<'_>,
    family_info: &Section<'_>,
    seed: u64,
    warnings: &mut Vec<String>,
) -> BackendConfig {
    let rules = settings.get("rules").section();
    let clients = settings.get("clients").section();
    let duration = |section: &Section<'_>, key| section.get(key).number(DURATION_MS).unwrap_or(0.0);
    let flag = |section: &Section<'_>, key| section.get(key).flag().unwrap_or(false);
    let count = |section: &Section<'_>, key| section.get(key).number(COUNT).unwrap_or(1.0).max(1.0);
    BackendConfig {
        seed,
        classes: classes(settings, family_info, warnings),
        tenant_quotas_per_s: tenant_quotas_per_s(settings),
        cores: family_info.get("cores").required_number(CORES).unwrap_or(1.0),
        memory_kb: family_info.get("memory_kb").required_number(MEMORY_KB).unwrap_or(1.0),
        running_memory_factor: family_info.get("run_factor").number(FACTOR).unwrap_or(1.0),
        deduplication_entry_kb: family_info.get("entry_kb").number(USED_KB).unwrap_or(0.0),
        dependency_share: dependency_share(family_info),
        abandoned_call_linger_ms: duration(family_info, "linger_ms"),
        cancellation: family_info
            .get("halt")
            .keyword(&keywords::CANCELLATION)
            .unwrap_or(Cancellation::Unsupported),
        backpressure: family_info
            .get("signal")
            .keyword(&keywords::BACKPRESSURE)
            .unwrap_or(BackpressureSignal::None),
        discovery_follows_health: flag(family_info, "readiness"),
        fleet_size: count(settings, "group_size"),
        client_count: count(family_info, "senders"),
        retries_marked: flag(&clients, "marks_retry"),
        cold_start: flag(family_info, "just_started"),
        cold_speed_fraction: rules.get("cold_from").number(FRACTION).unwrap_or(1.0),
        warm_up_ms: duration(&rules, "warm_within_ms"),
        overload_multiple: rules.get("tip_multiple").number(MULTIPLE).unwrap_or(1.0),
        drain_grace_ms: duration(&rules, "drain_grace_ms"),
        max_idle_ms: duration(family_info, "keepalive_max_ms"),
        max_retry_after_ms: max_retry_after_ms(&settings.get("policy_limits").section()),
        shared_response_ms: duration(family_info, "share_for_ms"),
    }
}

/// Returns the backend's share of the dependency if all backends share one.
fn dependency_share(family_info: &Section<'_>) -> Option<f64> {
    let share = family_info.get("dep_share").number(COUNT).unwrap_or(1.0);
    let dependency = family_info.get("below").keyword(&keywords::DEPENDENCY).unwrap_or(Dependency::None);
    (dependency == Dependency::Shared).then_some(share)
}

fn classes(
    settings: &Section<'_>,
    family_info: &Section<'_>,
    warnings: &mut Vec<String>,
) -> Vec<ClassConfig> {
    let skipped_call_values = family_info.get("class_skip_worth").rows();
    let rows = settings.get("classes");
    let classes: Vec<ClassConfig> = rows
        .rows()
        .iter()
        .enumerate()
        .map(|(index, row)| class(&row.section(), skipped_call_values.get(index), warnings))
        .collect();
    if classes.is_empty() {
        rows.reject("a list of one class at least");
    }
    classes
}

fn class(
    row: &Section<'_>,
    skipped_call_value: Option<&Entry<'_>>,
    warnings: &mut Vec<String>,
) -> ClassConfig {
    let idempotency = idempotency(&row.get("effect"), warnings);
    let window = row.get("dedup_window_ms");
    if idempotency == Idempotency::Keyed && !window.is_present() {
        // No default is safe: without a window a retry runs again, with a long window memory runs out.
        window.reject("where the effect is by_key, the milliseconds within which a request may come again");
    }
    ClassConfig {
        latency_objective_ms: row.get("aim_ms").number(DURATION_MS).unwrap_or(f64::MAX),
        objective_per_work: row.get("aim_stretch").number(FACTOR_OR_ZERO).unwrap_or(0.0),
        timeout_ms: row.get("deadline_ms").number(POSITIVE_DURATION_MS).unwrap_or(f64::MAX),
        deduplication_window_ms: window.number(DURATION_MS).unwrap_or(0.0),
        idempotency,
        value: row.get("gain").number(VALUE).unwrap_or(1.0),
        late_value_fraction: row.get("late_worth").number(FRACTION).unwrap_or(0.0),
        skipped_call_value_fraction: skipped_call_value
            .and_then(|value| value.number(FRACTION))
            .unwrap_or(0.0),
    }
}

/// Returns the idempotency of a class; the strictest one if the class does not specify it.
fn idempotency(effect: &Entry<'_>, warnings: &mut Vec<String>) -> Idempotency {
    if !effect.is_present() {
        warnings.push(format!("\"{}\" is missing: its requests count as once", effect.path()));
    }
    effect.keyword(&keywords::IDEMPOTENCY).unwrap_or(Idempotency::NonIdempotent)
}

fn tenant_quotas_per_s(settings: &Section<'_>) -> Vec<f64> {
    let quota = |row: &Entry<'_>| row.section().get("quota_per_s").number(RATE_PER_S).unwrap_or(f64::MAX);
    settings.get("tenants").rows().iter().map(quota).collect()
}

/// Returns the longest Retry-After, or 0 if clients ignore Retry-After.
fn max_retry_after_ms(limits: &Section<'_>) -> f64 {
    let is_followed = limits.get("retry_after").flag().unwrap_or(false);
    let max_ms = limits.get("max_retry_after_ms").number(DURATION_MS).unwrap_or(0.0);
    if is_followed {
        max_ms
    } else {
        0.0
    }
}

/// Returns the names of a list's elements. If a name occurs twice, it refers to the first element.
fn names(rows: Entry<'_>, warnings: &mut Vec<String>) -> Names {
    let rows: Vec<Entry<'_>> = rows.rows().iter().map(|row| row.section().get("name")).collect();
    let names: Names = rows.iter().map(|name| name.text().unwrap_or("").to_string()).collect();
    for (index, row) in rows.iter().enumerate() {
        if !row.is_present() {
            warnings.push(format!("\"{}\" is missing: no request can name it", row.path()));
        } else if names.place(&names[index]) != Some(index) && !names[index].is_empty() {
            warnings.push(format!(
                "\"{}\": {:?} stands there before: the first has it",
                row.path(),
                names[index]
            ));
        }
    }
    names
}
