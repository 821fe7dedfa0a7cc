//! Startup facts out of the settings, for every program that hosts backends.

mod names;

pub use names::Names;
use plovershelf::api::{BackendConfig, BackpressureSignal, Cancellation, ClassConfig, Gauges, Idempotency};
use serde_json::Value;

/// The facts, and the names by which the outside knows what they tell.
pub struct Startup {
    pub config: BackendConfig,
    /// In the order of the facts' offerings and tenants.
    pub classes: Names,
    pub tenants: Names,
    /// The gauges in the order in which their values come.
    pub gauge_names: Vec<String>,
}

impl Startup {
    /// The gauges that the module knows, out of values in the order of the settings.
    pub fn gauges(&self, values: impl IntoIterator<Item = f64>) -> Gauges {
        let mut read = Gauges::default();
        for (name, value) in self.gauge_names.iter().zip(values) {
            match name.as_str() {
                "cpu_busy" => read.cores_busy = Some(value),
                "runnable" => read.runnable = Some(value),
                _ => {}
            }
        }
        read
    }
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

/// Whether settings tell of a dependency that all backends share.
pub fn shares_a_dependency(settings: &Value) -> bool {
    settings["family_info"]["below"].as_str() == Some("shared")
}

pub fn read(text: &str, seed: u64) -> Result<Startup, String> {
    read_value(&serde_json::from_str(text).map_err(|e| format!("settings don't parse: {e}"))?, seed)
}

/// The same from settings that stand inside a larger document.
pub fn read_value(top: &Value, seed: u64) -> Result<Startup, String> {
    if !top.is_object() {
        return Err("\"settings\" are not an object".to_string());
    }
    let own = &top["family_info"];
    let rules = &top["rules"];
    let limits = &top["policy_limits"];
    let of = |key: &str, place: usize| list(own, key).get(place);
    let classes: Vec<ClassConfig> = list(top, "classes")
        .iter()
        .enumerate()
        .map(|(place, class)| ClassConfig {
            latency_objective_ms: number(class, "aim_ms", f64::MAX),
            objective_per_work: number(class, "aim_stretch", 0.0),
            timeout_ms: number(class, "deadline_ms", f64::MAX),
            deduplication_window_ms: number(class, "dedup_window_ms", 0.0),
            idempotency: match class["effect"].as_str() {
                Some("by_key") => Idempotency::Keyed,
                Some("once") => Idempotency::NonIdempotent,
                _ => Idempotency::Idempotent,
            },
            value: number(class, "gain", 1.0),
            late_value_fraction: number(class, "late_worth", 0.0),
            skipped_call_value_fraction: of("class_skip_worth", place).and_then(Value::as_f64).unwrap_or(0.0),
        })
        .collect();
    if classes.is_empty() {
        return Err("\"settings\": \"classes\" names none".to_string());
    }
    let cores = number(own, "cores", 0.0);
    let memory_kb = number(own, "memory_kb", 0.0);
    for (key, value) in [("cores", cores), ("memory_kb", memory_kb)] {
        if value <= 0.0 {
            return Err(format!("\"settings\": \"family_info\": {key:?} is missing or not above 0"));
        }
    }
    let config = BackendConfig {
        seed,
        classes,
        tenant_quotas_per_s: list(top, "tenants")
            .iter()
            .map(|t| number(t, "quota_per_s", f64::MAX))
            .collect(),
        cores,
        memory_kb,
        running_memory_factor: number(own, "run_factor", 1.0),
        deduplication_entry_kb: number(own, "entry_kb", 0.0),
        dependency_share: shares_a_dependency(top).then(|| number(own, "dep_share", 1.0)),
        abandoned_call_linger_ms: number(own, "linger_ms", 0.0),
        cancellation: match own["halt"].as_str() {
            Some("abort") => Cancellation::Abort,
            Some("suspend") => Cancellation::Pause,
            _ => Cancellation::Unsupported,
        },
        backpressure: match own["signal"].as_str() {
            Some("threshold") => BackpressureSignal::MinimumPriority,
            Some("window") => BackpressureSignal::ConcurrencyPerClient,
            Some("share_of") => BackpressureSignal::RateFraction,
            _ => BackpressureSignal::None,
        },
        discovery_follows_health: flag(own, "readiness"),
        fleet_size: number(top, "group_size", 1.0).max(1.0),
        client_count: number(own, "senders", 1.0).max(1.0),
        retries_marked: flag(&top["clients"], "marks_retry"),
        cold_start: flag(own, "just_started"),
        cold_speed_fraction: number(rules, "cold_from", 1.0),
        warm_up_ms: number(rules, "warm_within_ms", 0.0),
        overload_multiple: number(rules, "tip_multiple", 1.0),
        drain_grace_ms: number(rules, "drain_grace_ms", 0.0),
        max_idle_ms: number(own, "keepalive_max_ms", 0.0),
        max_retry_after_ms: if flag(limits, "retry_after") {
            number(limits, "max_retry_after_ms", 0.0)
        } else {
            0.0
        },
        shared_response_ms: number(own, "share_for_ms", 0.0),
    };
    let gauge_names = list(own, "meters").iter().map(|m| m.as_str().unwrap_or("").to_string()).collect();
    Ok(Startup { config, classes: names(top, "classes"), tenants: names(top, "tenants"), gauge_names })
}
