//! The settings as JSON, field by field. A field that is missing has its default; one that is there and can't be used is an
//! error, and all errors are told at once. Fields that the backend does not read are not looked at.

use plovershelf::api::{BackendConfig, BackpressureSignal, Cancellation, ClassConfig, Idempotency};
use serde_json::Value;

use crate::document::{Entry, InvalidDocument, Problems, Section};
use crate::ranges::{
    CORES, COUNT, DURATION_MS, FACTOR, FRACTION, MEMORY_KB, MULTIPLE, POSITIVE_DURATION_MS, RATE_PER_S,
    STRETCH, TAKEN_KB, VALUE,
};
use crate::words::{self, Dependency};
use crate::{unique_keys, Names, SettingsError, Startup};

/// What the settings are called in the document that they stand in.
const SETTINGS: &str = "settings";

/// Reads settings as text. The seed is that of the backend's random numbers.
///
/// # Errors
/// All that is wrong with them.
pub fn read(text: &str, seed: u64) -> Result<Startup, SettingsError> {
    Ok(read_value(&unique_keys::parse(text)?, seed)?)
}

/// Reads settings that stand inside a larger document.
///
/// # Errors
/// All that is wrong with them.
pub fn read_value(settings: &Value, seed: u64) -> Result<Startup, InvalidDocument> {
    let problems = Problems::default();
    let startup = read_section(&Section::named(SETTINGS.to_string(), settings, &problems), seed);
    problems.finish(startup)
}

/// Reads settings together with the rest of their document; what is wrong is left with the document.
pub fn read_section(settings: &Section<'_>, seed: u64) -> Startup {
    let own = settings.get("family_info").section();
    let mut warnings = Vec::new();
    let gauges = own.get("meters").rows();
    Startup {
        config: config(settings, &own, seed, &mut warnings),
        classes: names(settings.get("classes"), &mut warnings),
        tenants: names(settings.get("tenants"), &mut warnings),
        gauges: gauges.iter().map(|name| name.text().and_then(words::gauge)).collect(),
        warnings,
    }
}

/// Whether settings tell of a dependency that all backends share.
pub fn shares_a_dependency(settings: &Value) -> bool {
    let word = settings["family_info"]["below"].as_str();
    words::DEPENDENCY.contains(&(word.unwrap_or_default(), Dependency::Shared))
}

fn config(settings: &Section<'_>, own: &Section<'_>, seed: u64, warnings: &mut Vec<String>) -> BackendConfig {
    let rules = settings.get("rules").section();
    let clients = settings.get("clients").section();
    let duration = |section: &Section<'_>, key| section.get(key).number(DURATION_MS).unwrap_or(0.0);
    let flag = |section: &Section<'_>, key| section.get(key).flag().unwrap_or(false);
    let count = |section: &Section<'_>, key| section.get(key).number(COUNT).unwrap_or(1.0).max(1.0);
    BackendConfig {
        seed,
        classes: classes(settings, own, warnings),
        tenant_quotas_per_s: tenant_quotas_per_s(settings),
        cores: own.get("cores").required_number(CORES).unwrap_or(1.0),
        memory_kb: own.get("memory_kb").required_number(MEMORY_KB).unwrap_or(1.0),
        running_memory_factor: own.get("run_factor").number(FACTOR).unwrap_or(1.0),
        deduplication_entry_kb: own.get("entry_kb").number(TAKEN_KB).unwrap_or(0.0),
        dependency_share: dependency_share(own),
        abandoned_call_linger_ms: duration(own, "linger_ms"),
        cancellation: own.get("halt").word(&words::CANCELLATION).unwrap_or(Cancellation::Unsupported),
        backpressure: own.get("signal").word(&words::BACKPRESSURE).unwrap_or(BackpressureSignal::None),
        discovery_follows_health: flag(own, "readiness"),
        fleet_size: count(settings, "group_size"),
        client_count: count(own, "senders"),
        retries_marked: flag(&clients, "marks_retry"),
        cold_start: flag(own, "just_started"),
        cold_speed_fraction: rules.get("cold_from").number(FRACTION).unwrap_or(1.0),
        warm_up_ms: duration(&rules, "warm_within_ms"),
        overload_multiple: rules.get("tip_multiple").number(MULTIPLE).unwrap_or(1.0),
        drain_grace_ms: duration(&rules, "drain_grace_ms"),
        max_idle_ms: duration(own, "keepalive_max_ms"),
        max_retry_after_ms: max_retry_after_ms(&settings.get("policy_limits").section()),
        shared_response_ms: duration(own, "share_for_ms"),
    }
}

/// The share of the dependency, where all backends have one in common.
fn dependency_share(own: &Section<'_>) -> Option<f64> {
    let share = own.get("dep_share").number(COUNT).unwrap_or(1.0);
    let dependency = own.get("below").word(&words::DEPENDENCY).unwrap_or(Dependency::None);
    (dependency == Dependency::Shared).then_some(share)
}

fn classes(settings: &Section<'_>, own: &Section<'_>, warnings: &mut Vec<String>) -> Vec<ClassConfig> {
    let skipped_call_values = own.get("class_skip_worth").rows();
    let rows = settings.get("classes");
    let classes: Vec<ClassConfig> = rows
        .rows()
        .iter()
        .enumerate()
        .map(|(place, row)| class(&row.section(), skipped_call_values.get(place), warnings))
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
        // There is no strict figure to stand in for it: with none a retry runs again, with a long one memory runs out.
        window.reject("where the effect is by_key, the milliseconds within which a request may come again");
    }
    ClassConfig {
        latency_objective_ms: row.get("aim_ms").number(DURATION_MS).unwrap_or(f64::MAX),
        objective_per_work: row.get("aim_stretch").number(STRETCH).unwrap_or(0.0),
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

/// A class that does not say whether its requests may run again is held to the strictest word.
fn idempotency(effect: &Entry<'_>, warnings: &mut Vec<String>) -> Idempotency {
    if !effect.is_present() {
        warnings.push(format!("\"{}\" is missing: its requests count as once", effect.path()));
    }
    effect.word(&words::IDEMPOTENCY).unwrap_or(Idempotency::NonIdempotent)
}

fn tenant_quotas_per_s(settings: &Section<'_>) -> Vec<f64> {
    let quota = |row: &Entry<'_>| row.section().get("quota_per_s").number(RATE_PER_S).unwrap_or(f64::MAX);
    settings.get("tenants").rows().iter().map(quota).collect()
}

/// Clients that heed no Retry-After are told none.
fn max_retry_after_ms(limits: &Section<'_>) -> f64 {
    let is_heeded = limits.get("retry_after").flag().unwrap_or(false);
    let max_ms = limits.get("max_retry_after_ms").number(DURATION_MS).unwrap_or(0.0);
    if is_heeded {
        max_ms
    } else {
        0.0
    }
}

/// The names of a list's rows. Of two that are the same the first has it.
fn names(rows: Entry<'_>, warnings: &mut Vec<String>) -> Names {
    let rows: Vec<Entry<'_>> = rows.rows().iter().map(|row| row.section().get("name")).collect();
    let names: Names = rows.iter().map(|name| name.text().unwrap_or("").to_string()).collect();
    for (place, row) in rows.iter().enumerate() {
        if !row.is_present() {
            warnings.push(format!("\"{}\" is missing: no request can name it", row.path()));
        } else if names.place(&names[place]) != Some(place) && !names[place].is_empty() {
            warnings.push(format!(
                "\"{}\": {:?} stands there before: the first has it",
                row.path(),
                names[place]
            ));
        }
    }
    names
}
