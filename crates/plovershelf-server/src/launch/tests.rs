use super::*;

fn document(agent: &str, port: u16) -> Value {
    serde_json::json!({"agent": agent, "records": format!("127.0.0.1:{port}"), "registry": "127.0.0.1:3"})
}

#[test]
fn a_new_document_moves_all_three_peers_or_none() {
    let before = document("127.0.0.1:1", 2);
    let peers = Peers::read(&before).expect("three addresses");
    assert!(peers.move_to(&before, &document("nowhere", 9)).is_err());
    let ledger = || peers.ledger.get().map(|at| at.port());
    assert_eq!((peers.agent.get().port(), ledger()), (1, Some(2)));
    peers.move_to(&before, &document("127.0.0.1:7", 8)).expect("three addresses");
    assert_eq!((peers.agent.get().port(), ledger(), peers.roster.get().port()), (7, Some(8), 3));
}

/// Another customer's deployment has no dependency that backends share, and names no address for one.
#[test]
fn the_address_of_a_dependency_may_be_left_out_where_there_is_none() {
    let with = |settings: &str, records: Value| {
        let mut top = document("127.0.0.1:1", 2);
        top["records"] = records;
        top["settings"] = serde_json::from_str(settings).expect("settings");
        Peers::read(&top).map(|peers| peers.ledger.get())
    };
    let (shared, none) =
        (r#"{"family_info": {"below": "shared"}}"#, r#"{"family_info": {"below": "silent"}}"#);
    assert_eq!(with(none, Value::Null), Ok(None));
    assert_eq!(with("{}", Value::Null), Ok(None));
    let named = "127.0.0.1:9".parse().expect("an address");
    assert_eq!(with(none, "127.0.0.1:9".into()), Ok(Some(named)));
    for wrong in [with(shared, Value::Null), with(none, "here".into()), with(none, 5.into())] {
        assert!(wrong.is_err_and(|what| what.contains("\"records\"")));
    }
}
