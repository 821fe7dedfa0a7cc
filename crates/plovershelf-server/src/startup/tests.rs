use super::*;

fn document(agent: &str, port: u16) -> Value {
    serde_json::json!({"agent": agent, "records": format!("127.0.0.1:{port}"), "registry": "127.0.0.1:3"})
}

#[test]
fn reload_changes_all_peer_addresses_or_none() {
    let before = document("127.0.0.1:1", 2);
    let peers = Peers::read(&before).expect("three addresses");
    let fixed = FixedParts::of(&before);
    assert!(peers.adopt_addresses(&fixed, &document("nowhere", 9)).is_err());
    let dependency_port = || peers.dependency.get().map(|address| address.port());
    assert_eq!((peers.agent.get().port(), dependency_port()), (1, Some(2)));
    peers.adopt_addresses(&fixed, &document("127.0.0.1:7", 8)).expect("three addresses");
    assert_eq!((peers.agent.get().port(), dependency_port(), peers.registry.get().port()), (7, Some(8), 3));
}

/// Deployments without a shared dependency don't configure its address.
#[test]
fn dependency_address_is_optional_without_a_shared_dependency() {
    let dependency_with = |settings: &str, records: Value| {
        let mut document = document("127.0.0.1:1", 2);
        document["records"] = records;
        document["settings"] = serde_json::from_str(settings).expect("settings");
        Peers::read(&document).map(|peers| peers.dependency.get())
    };
    let (shared, none) =
        (r#"{"family_info": {"below": "shared"}}"#, r#"{"family_info": {"below": "silent"}}"#);
    assert_eq!(dependency_with(none, Value::Null), Ok(None));
    assert_eq!(dependency_with("{}", Value::Null), Ok(None));
    let named = "127.0.0.1:9".parse().expect("an address");
    assert_eq!(dependency_with(none, "127.0.0.1:9".into()), Ok(Some(named)));
    for invalid in [
        dependency_with(shared, Value::Null),
        dependency_with(none, "here".into()),
        dependency_with(none, 5.into()),
    ] {
        assert!(invalid.is_err_and(|error| error.to_string().contains("\"records\"")));
    }
}

#[test]
fn changed_keys_names_parts_that_need_a_restart() {
    let with = |key: &str, value: Value| {
        let mut document = document("127.0.0.1:1", 2);
        document["settings"] =
            serde_json::json!({"tenants": [{"name": "a", "quota_per_s": 1}, {"name": "b"}]});
        document["limits"] = serde_json::json!({"memory_mb": 64, "sockets": 512});
        document[key] = value;
        FixedParts::of(&document)
    };
    let before = with("agent", "127.0.0.1:1".into());
    for key in FIXED_KEYS {
        assert_eq!(before.changed_keys(&with(key, "other".into())), [key]);
    }
    let tenants = |rows: Value| with("settings", serde_json::json!({ "tenants": rows }));
    let same = tenants(serde_json::json!([{"quota_per_s": 1, "name": "a"}, {"name": "b"}]));
    assert!(before.changed_keys(&same).is_empty());
    for rows in [
        serde_json::json!([{"name": "a", "quota_per_s": 2}, {"name": "b"}]),
        serde_json::json!([{"name": "a", "quota_per_s": 1.5}, {"name": "b"}]),
        serde_json::json!([{"name": "b"}, {"name": "a", "quota_per_s": 1}]),
        serde_json::json!([{"name": "a", "quota_per_s": 1}]),
    ] {
        assert_eq!(before.changed_keys(&tenants(rows)), ["settings"]);
    }
    assert!(before.changed_keys(&with("agent", "127.0.0.1:9".into())).is_empty());
}

/// The document is reloaded with an error in its settings. The addresses must not change, because the next start
/// would fail on it.
#[test]
fn reload_rejects_a_document_with_invalid_settings() {
    let whole: Value =
        serde_json::from_str(include_str!("../../tests/fixtures/settings/whole.json")).expect("JSON");
    let configuration = read_configuration(&whole).expect("a valid document");
    let agent = || configuration.peers.agent.get().port();
    let mut moved = whole.clone();
    moved["agent"] = "127.0.0.1:7".into();
    let mut wrong = moved.clone();
    wrong["settings"]["classes"][1]["effect"] = "by_kye".into();
    let error =
        configuration.peers.replace(&configuration.fixed, &wrong).expect_err("an invalid value").to_string();
    assert_eq!(error, "\"settings.classes[1].effect\": \"by_kye\": repeatable, by_key or once");
    assert_eq!(agent(), 1);
    configuration.peers.replace(&configuration.fixed, &moved).expect("a valid document");
    assert_eq!(agent(), 7);
}
