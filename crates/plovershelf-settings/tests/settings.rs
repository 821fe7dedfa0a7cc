//! Settings as passed by the host: keywords, defaults, and error messages of invalid settings.

use plovershelf::api::{BackpressureSignal, Cancellation, Idempotency};
use plovershelf_settings::{has_shared_dependency, read};

fn error_text(settings: &str) -> String {
    read(settings, 7).err().expect("invalid settings").to_string()
}

fn settings_with(family_info: &str) -> String {
    format!(
        r#"{{"classes": [{{"name": "x"}}], "family_info": {{"cores": 1, "memory_kb": 1, {family_info}}}}}"#
    )
}

#[test]
fn invalid_settings_are_reported_by_key() {
    assert!(error_text("{").starts_with("settings don't parse: EOF while parsing"));
    assert_eq!(error_text("[]"), "\"settings\": []: an object");
    assert_eq!(
        error_text("{}"),
        "\"settings.classes\": missing: a list of one class at least; \
         \"settings.family_info.cores\": missing: a number above 0, at most 4096; \
         \"settings.family_info.memory_kb\": missing: a number above 0, at most 1099511627776"
    );
    let memory = r#"{"classes": [{}], "family_info": {"cores": 2, "memory_kb": -1}}"#;
    assert_eq!(
        error_text(memory),
        "\"settings.family_info.memory_kb\": -1: a number above 0, at most 1099511627776"
    );
}

#[test]
fn each_keyword_has_its_meaning_and_an_unknown_one_is_rejected() {
    let cancellation = |word: &str| {
        let startup = read(&settings_with(&format!(r#""halt": "{word}""#)), 7).ok()?;
        Some(startup.config.cancellation)
    };
    assert_eq!(
        ["abort", "suspend", "silent", "new"].map(cancellation),
        [Some(Cancellation::Abort), Some(Cancellation::Pause), Some(Cancellation::Unsupported), None]
    );
    let backpressure = |word: &str| {
        let startup = read(&settings_with(&format!(r#""signal": "{word}""#)), 7).ok()?;
        Some(startup.config.backpressure)
    };
    assert_eq!(
        ["threshold", "window", "share_of", "silent", "new"].map(backpressure),
        [
            Some(BackpressureSignal::MinimumPriority),
            Some(BackpressureSignal::ConcurrencyPerClient),
            Some(BackpressureSignal::RateFraction),
            Some(BackpressureSignal::None),
            None,
        ]
    );
    let text = r#"{"classes": [{"effect": "by_key", "dedup_window_ms": 9000}, {"effect": "once"}, {"effect": "repeatable"}, {}],
        "family_info": {"cores": 1, "memory_kb": 1}}"#;
    let startup = read(text, 7).expect("settings");
    let classes = startup.config.classes;
    assert!(startup.warnings[0].starts_with("\"settings.classes[3].effect\" is missing"));
    assert_eq!(
        classes.iter().map(|class| class.idempotency).collect::<Vec<_>>(),
        [Idempotency::Keyed, Idempotency::NonIdempotent, Idempotency::Idempotent, Idempotency::NonIdempotent]
    );
}

#[test]
fn the_share_of_the_dependency_is_read_only_if_it_is_shared() {
    let share = |below: &str| {
        let text = settings_with(&format!(r#""below": "{below}", "dep_share": 2.5"#));
        let shared = has_shared_dependency(&serde_json::from_str(&text).expect("JSON"));
        (shared, read(&text, 7).expect("settings").config.dependency_share)
    };
    assert_eq!((share("shared"), share("tier")), ((true, Some(2.5)), (false, None)));
}

#[test]
fn gauges_are_read_in_the_order_of_the_settings() {
    let startup =
        read(&settings_with(r#""meters": ["mem_used", "runnable", "cpu_busy"]"#), 7).expect("settings");
    let gauges = startup.gauges([0.1, 3.0, 0.7]);
    assert_eq!((gauges.cores_busy, gauges.runnable), (Some(0.7), Some(3.0)));
    let partial = startup.gauges([0.1]);
    assert_eq!((partial.cores_busy, partial.runnable), (None, None));
}
