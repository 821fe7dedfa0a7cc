use super::*;

fn document(agent: &str, port: u16) -> Value {
    serde_json::json!({"agent": agent, "records": format!("127.0.0.1:{port}"), "registry": "127.0.0.1:3"})
}

#[test]
fn a_new_document_moves_all_three_peers_or_none() {
    let before = document("127.0.0.1:1", 2);
    let peers = Peers::read(&before).expect("three addresses");
    let fixed = FixedParts::of(&before);
    assert!(peers.move_to(&fixed, &document("nowhere", 9)).is_err());
    let ledger = || peers.dependency.get().map(|at| at.port());
    assert_eq!((peers.agent.get().port(), ledger()), (1, Some(2)));
    peers.move_to(&fixed, &document("127.0.0.1:7", 8)).expect("three addresses");
    assert_eq!((peers.agent.get().port(), ledger(), peers.registry.get().port()), (7, Some(8), 3));
}

/// Another customer's deployment has no dependency that backends share, and names no address for one.
#[test]
fn the_address_of_a_dependency_may_be_left_out_where_there_is_none() {
    let with = |settings: &str, records: Value| {
        let mut top = document("127.0.0.1:1", 2);
        top["records"] = records;
        top["settings"] = serde_json::from_str(settings).expect("settings");
        Peers::read(&top).map(|peers| peers.dependency.get())
    };
    let (shared, none) =
        (r#"{"family_info": {"below": "shared"}}"#, r#"{"family_info": {"below": "silent"}}"#);
    assert_eq!(with(none, Value::Null), Ok(None));
    assert_eq!(with("{}", Value::Null), Ok(None));
    let named = "127.0.0.1:9".parse().expect("an address");
    assert_eq!(with(none, "127.0.0.1:9".into()), Ok(Some(named)));
    for wrong in [with(shared, Value::Null), with(none, "here".into()), with(none, 5.into())] {
        assert!(wrong.is_err_and(|what| what.to_string().contains("\"records\"")));
    }
}

#[test]
fn what_can_not_change_while_it_runs_is_named_when_it_does() {
    let with = |key: &str, value: Value| {
        let mut top = document("127.0.0.1:1", 2);
        top["settings"] = serde_json::json!({"tenants": [{"name": "a", "quota_per_s": 1}, {"name": "b"}]});
        top["limits"] = serde_json::json!({"memory_mb": 64, "sockets": 512});
        top[key] = value;
        FixedParts::of(&top)
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

/// The document is read again with a slip in the settings: the addresses must stay, as the next start would fail on it.
#[test]
fn document_with_wrong_settings_is_refused_whole_when_read_again() {
    let whole: Value =
        serde_json::from_str(include_str!("../../tests/fixtures/settings/whole.json")).expect("JSON");
    let launch = read_launch(&whole).expect("a whole document");
    let agent = || launch.peers.agent.get().port();
    let mut moved = whole.clone();
    moved["agent"] = "127.0.0.1:7".into();
    let mut wrong = moved.clone();
    wrong["settings"]["classes"][1]["effect"] = "by_kye".into();
    let error = launch.peers.replace(&launch.fixed, &wrong).expect_err("a wrong word").to_string();
    assert_eq!(error, "\"settings.classes[1].effect\": \"by_kye\": repeatable, by_key or once");
    assert_eq!(agent(), 1);
    launch.peers.replace(&launch.fixed, &moved).expect("a whole document");
    assert_eq!(agent(), 7);
}
