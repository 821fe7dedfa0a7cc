//! Invalid settings: each key that is read and has an invalid value is reported, and a backend can serve with all settings
//! that are accepted.

use plovershelf::api::Request;
use plovershelf::Backend;
use plovershelf_settings::{read, read_value};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use serde_json::{json, Value};

const SEED: u64 = 0x5e77_1265;
const DOCUMENTS: usize = 3000;

fn valid_settings() -> Value {
    json!({
        "classes": [
            {"name": "quote", "aim_ms": 1800.0, "aim_stretch": 1.0, "deadline_ms": 4500.0, "dedup_window_ms": 5000.0,
             "effect": "repeatable", "gain": 1.0, "late_worth": 0.5},
            {"name": "book", "aim_ms": 1800.0, "deadline_ms": 4500.0, "dedup_window_ms": 5000.0, "effect": "by_key"},
        ],
        "clients": {"marks_retry": true},
        "family_info": {
            "below": "shared", "class_skip_worth": [0.5, 0.0], "cores": 6, "dep_share": 6.36, "entry_kb": 126.0,
            "halt": "abort", "just_started": false, "keepalive_max_ms": 30000.0, "linger_ms": 200.0,
            "memory_kb": 26832.0, "meters": ["cpu_busy", "runnable", "other"], "readiness": false, "run_factor": 8.0,
            "senders": 3, "share_for_ms": 10.0, "signal": "threshold",
        },
        "group_size": 11,
        "policy_limits": {"max_retry_after_ms": 1000.0, "retry_after": true},
        "rules": {"cold_from": 0.2, "drain_grace_ms": 2000.0, "tip_multiple": 8.0, "warm_within_ms": 18000.0},
        "tenants": [{"name": "a", "quota_per_s": 49.0}, {"name": "b", "quota_per_s": 4.0}],
    })
}

/// Returns values that are invalid for nearly all keys.
fn invalid_values() -> Vec<Value> {
    let mut values = vec![json!(null), json!({}), json!([[]]), json!(""), json!(-1), json!(1e308)];
    values.extend([json!("x"), json!(u64::MAX), json!(9_223_372_036_854_775_808u64), json!([{"a": "b"}])]);
    values
}

/// Collects the JSON pointers to all values of a document, including objects and lists.
fn pointers(value: &Value, at: &str, found: &mut Vec<String>) {
    if !at.is_empty() {
        found.push(at.to_string());
    }
    match value {
        Value::Object(fields) => {
            fields.iter().for_each(|(key, value)| pointers(value, &format!("{at}/{key}"), found));
        }
        Value::Array(rows) => {
            let row = |(index, value)| pointers(value, &format!("{at}/{index}"), found);
            rows.iter().enumerate().for_each(row);
        }
        _ => {}
    }
}

fn all_pointers(document: &Value) -> Vec<String> {
    let mut found = Vec::new();
    pointers(document, "", &mut found);
    found
}

/// Converts a pointer such as `/classes/1/effect` to the path in errors: `settings.classes[1].effect`.
fn path(pointer: &str) -> String {
    let steps = pointer.split('/').skip(1).map(|step| match step.parse::<usize>() {
        Ok(index) => format!("[{index}]"),
        Err(_) => format!(".{step}"),
    });
    format!("settings{}", steps.collect::<String>())
}

/// Returns whether a value is valid after all: names and gauges may be any text, and some objects may be empty.
fn is_allowed(pointer: &str, value: &Value) -> bool {
    let takes_any_text = pointer.ends_with("/name") || pointer.starts_with("/family_info/meters/");
    let takes_no_keys = ["/clients", "/policy_limits", "/rules"].contains(&pointer)
        || pointer.starts_with("/classes/") && pointer.matches('/').count() == 2
        || pointer.starts_with("/tenants/") && pointer.matches('/').count() == 2;
    takes_any_text && value.as_str().is_some_and(|text| !text.is_empty())
        || takes_no_keys && value.as_object().is_some_and(|fields| fields.is_empty())
        || pointer == "/tenants" && *value == json!([{"a": "b"}])
        || pointer == "/classes" && *value == json!([{"a": "b"}])
}

/// Guards against a start with an invalid value: the start must fail with a line that names the key.
#[test]
fn each_key_with_an_invalid_value_is_reported() {
    let valid = valid_settings();
    assert!(read_value(&valid, 1).is_ok_and(|startup| startup.warnings.is_empty()));
    let mut rejected = 0;
    for pointer in all_pointers(&valid) {
        for value in invalid_values().into_iter().filter(|value| !is_allowed(&pointer, value)) {
            let mut document = valid.clone();
            *document.pointer_mut(&pointer).expect("a value") = value.clone();
            let error = read_value(&document, 1).err().map(|error| error.to_string());
            let error = error.unwrap_or_else(|| panic!("{pointer} = {value} was accepted"));
            assert!(error.contains(&format!("\"{}", path(&pointer))), "{pointer} = {value}: {error}");
            assert!(!error.contains('\n'), "{error}");
            rejected += 1;
        }
    }
    assert!(rejected > 300, "{rejected} rejected");
}

/// Guards against errors that are reported one at a time: two errors in a document must be reported together.
#[test]
fn all_errors_of_a_document_are_reported_together() {
    let mut document = valid_settings();
    document["classes"][1]["effect"] = json!("by_kye");
    document["rules"]["drain_grace_ms"] = json!("x");
    let error = read_value(&document, 1).err().expect("two errors").to_string();
    assert_eq!(
        error,
        "\"settings.classes[1].effect\": \"by_kye\": repeatable, by_key or once; \
         \"settings.rules.drain_grace_ms\": \"x\": a number from 0 to 31622400000"
    );
}

/// Guards against repeated execution: without a window, a keyed class would execute each retry again.
#[test]
fn keyed_class_without_a_window_is_rejected() {
    let mut document = valid_settings();
    document["classes"][1].as_object_mut().expect("a class").remove("dedup_window_ms");
    let error = read_value(&document, 1).err().expect("a missing window").to_string();
    assert!(error.starts_with("\"settings.classes[1].dedup_window_ms\": missing:"), "{error}");
}

/// Guards against a duplicate key, for example after a faulty merge: the intended value cannot be known.
#[test]
fn duplicate_key_is_reported() {
    let text = valid_settings().to_string().replacen(
        "\"effect\":\"by_key\"",
        "\"effect\":\"by_key\",\"effect\":\"repeatable\"",
        1,
    );
    let error = read(&text, 1).err().expect("a duplicate key").to_string();
    assert!(error.contains("key \"effect\" stands there twice at line 1 column"), "{error}");
    assert!(read(&valid_settings().to_string(), 1).is_ok());
}

fn request(id: u32, class: usize) -> Request {
    Request {
        id,
        class,
        tenant: 0,
        key: 0,
        deadline_ms: None,
        work_hint_ms: None,
        memory_kb: 1.0,
        marked_retry: false,
        writes: false,
        unread_ms: 0.0,
        duplicate_of: None,
    }
}

/// Guards against panics: documents with several errors, duplicated values and missing parts are rejected or can be served.
#[test]
fn random_documents_are_rejected_or_served() {
    let mut random = Pcg64::seed_from_u64(SEED);
    let mut served = 0;
    for _ in 0..DOCUMENTS {
        let mut document = valid_settings();
        for _ in 0..random.random_range(1..4) {
            mutate(&mut document, &mut random);
        }
        let Ok(startup) = read(&document.to_string(), 1) else { continue };
        let (mut backend, _) = Backend::start(0.0, startup.config.clone());
        for class in 0..startup.classes.len() {
            backend.handle_request(class as f64, request(class as u32 + 1, class));
        }
        served += 1;
    }
    assert!(served > DOCUMENTS / 20, "{served} served");
}

fn mutate(document: &mut Value, random: &mut Pcg64) {
    let pointers = all_pointers(document);
    let Some(pointer) = pointers.choose(random) else { return };
    let (parent, key) = pointer.rsplit_once('/').expect("a pointer");
    let value = document.pointer(pointer).cloned().expect("a value");
    let mutated = match random.random_range(0..4) {
        0 => {
            match document.pointer_mut(parent) {
                Some(Value::Object(fields)) => drop(fields.remove(key)),
                Some(Value::Array(rows)) => drop(rows.remove(key.parse().expect("an index"))),
                _ => {}
            }
            return;
        }
        1 => {
            if let Some(Value::Array(rows)) = document.pointer_mut(parent) {
                rows.push(value);
            }
            return;
        }
        2 => value.as_f64().map_or(value, |number| json!(number * 2.0)),
        _ => invalid_values().choose(random).cloned().expect("a value"),
    };
    *document.pointer_mut(pointer).expect("a value") = mutated;
}
