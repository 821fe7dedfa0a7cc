//! The settings as JSON, field by field. A field that is missing has its default; only what nothing can be
//! decided without is an error.

use plovershelf::api::{BackendConfig, ClassConfig};
use serde_json::Value;

use crate::{words, Names, SettingsError, Startup};

/// Reads settings as text. The seed is that of the backend's random numbers.
pub fn read(text: &str, seed: u64) -> Result<Startup, SettingsError> {
    read_value(&serde_json::from_str(text)?, seed)
}

/// Reads settings that stand inside a larger document.
pub fn read_value(settings: &Value, seed: u64) -> Result<Startup, SettingsError> {
    if !settings.is_object() {
        return Err(SettingsError::NotAnObject);
    }
    let gauges = list(&settings["family_info"], "meters");
    Ok(Startup {
        config: config(settings, seed)?,
        classes: names(settings, "classes"),
        tenants: names(settings, "tenants"),
        gauges: gauges.iter().map(|word| words::gauge(word.as_str())).collect(),
    })
}

/// Whether settings tell of a dependency that all backends share.
pub fn shares_a_dependency(settings: &Value) -> bool {
    words::is_shared_dependency(settings["family_info"]["below"].as_str())
}

fn config(settings: &Value, seed: u64) -> Result<BackendConfig, SettingsError> {
    let own = &settings["family_info"];
    let rules = &settings["rules"];
    let classes = classes(settings)?;
    Ok(BackendConfig {
        seed,
        classes,
        tenant_quotas_per_s: tenant_quotas_per_s(settings),
        cores: positive(own, "cores")?,
        memory_kb: positive(own, "memory_kb")?,
        running_memory_factor: number(own, "run_factor", 1.0),
        deduplication_entry_kb: number(own, "entry_kb", 0.0),
        dependency_share: shares_a_dependency(settings).then(|| number(own, "dep_share", 1.0)),
        abandoned_call_linger_ms: number(own, "linger_ms", 0.0),
        cancellation: words::cancellation(own["halt"].as_str()),
        backpressure: words::backpressure(own["signal"].as_str()),
        discovery_follows_health: flag(own, "readiness"),
        fleet_size: number(settings, "group_size", 1.0).max(1.0),
        client_count: number(own, "senders", 1.0).max(1.0),
        retries_marked: flag(&settings["clients"], "marks_retry"),
        cold_start: flag(own, "just_started"),
        cold_speed_fraction: number(rules, "cold_from", 1.0),
        warm_up_ms: number(rules, "warm_within_ms", 0.0),
        overload_multiple: number(rules, "tip_multiple", 1.0),
        drain_grace_ms: number(rules, "drain_grace_ms", 0.0),
        max_idle_ms: number(own, "keepalive_max_ms", 0.0),
        max_retry_after_ms: max_retry_after_ms(&settings["policy_limits"]),
        shared_response_ms: number(own, "share_for_ms", 0.0),
    })
}

fn classes(settings: &Value) -> Result<Vec<ClassConfig>, SettingsError> {
    let skipped_call_values = list(&settings["family_info"], "class_skip_worth");
    let rows = list(settings, "classes").iter().enumerate();
    let classes: Vec<ClassConfig> = rows
        .map(|(place, row)| ClassConfig {
            latency_objective_ms: number(row, "aim_ms", f64::MAX),
            objective_per_work: number(row, "aim_stretch", 0.0),
            timeout_ms: number(row, "deadline_ms", f64::MAX),
            deduplication_window_ms: number(row, "dedup_window_ms", 0.0),
            idempotency: words::idempotency(row["effect"].as_str()),
            value: number(row, "gain", 1.0),
            late_value_fraction: number(row, "late_worth", 0.0),
            skipped_call_value_fraction: skipped_call_values
                .get(place)
                .and_then(Value::as_f64)
                .unwrap_or(0.0),
        })
        .collect();
    if classes.is_empty() {
        return Err(SettingsError::NoClasses);
    }
    Ok(classes)
}

fn tenant_quotas_per_s(settings: &Value) -> Vec<f64> {
    list(settings, "tenants").iter().map(|tenant| number(tenant, "quota_per_s", f64::MAX)).collect()
}

/// Clients that heed no Retry-After are told none.
fn max_retry_after_ms(limits: &Value) -> f64 {
    if flag(limits, "retry_after") {
        number(limits, "max_retry_after_ms", 0.0)
    } else {
        0.0
    }
}

fn positive(value: &Value, key: &'static str) -> Result<f64, SettingsError> {
    let number = number(value, key, 0.0);
    if number <= 0.0 {
        return Err(SettingsError::NotPositive { key });
    }
    Ok(number)
}

fn number(value: &Value, key: &str, default: f64) -> f64 {
    value[key].as_f64().unwrap_or(default)
}

fn flag(value: &Value, key: &str) -> bool {
    value[key].as_bool().unwrap_or(false)
}

fn list<'a>(value: &'a Value, key: &str) -> &'a [Value] {
    value[key].as_array().map_or(&[], Vec::as_slice)
}

fn names(value: &Value, key: &str) -> Names {
    list(value, key).iter().map(|row| row["name"].as_str().unwrap_or("").to_string()).collect()
}
