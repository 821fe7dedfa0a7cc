use super::*;

const VALID: &str = "[changes]\nname = fleet\nlisten = 127.0.0.1:7600\nzone = a\nregion = north\n\
    sources = 127.0.0.1:7501, 127.0.0.1:7502, 127.0.0.1:7503\nfan_out = 8\nbeat_ms = 400\n";

#[test]
fn a_listeners_file_is_read() {
    let listener = read("changes.ini", VALID).expect("a valid file");
    assert_eq!((listener.origins.len(), listener.zone.as_str()), (3, "a"));
    assert_eq!((listener.config.fan_out, listener.config.failover_fan_out), (8, 16));
    assert_eq!(listener.config.heartbeat_interval_ms, 400.0);
}

#[test]
fn all_errors_are_reported_together_with_section_and_key() {
    let text = "[changes]\nname = two words\nlisten = 0.0.0.0:5\nzone = a\nsources = here, 127.0.0.1:1, 127.0.0.1:1\n\
        fan_out = 0\nbeat_ms = 900\nsilent = 3\n[other]\n";
    let errors = read("c.ini", text).expect_err("many errors").0;
    for expected in [
        "name = \"two words\"",
        "listen = \"0.0.0.0:5\"",
        "\"here\"",
        "sources names 127.0.0.1:1 twice",
        "fan_out = \"0\"",
        "beat_ms is more than half",
        "silent is no key here",
        "[other] is no section",
    ] {
        assert!(errors.iter().any(|line| line.contains(expected)), "{expected}: {errors:?}");
    }
    assert!(errors.iter().all(|line| line.starts_with("c.ini: [")));
    assert!(read("c.ini", "").is_err_and(|wrong| wrong.0 == ["c.ini: [changes] is missing"]));
}

#[test]
fn an_origin_needs_a_folder_and_a_listen_address_of_its_own() {
    let group = "[group]\nname = fleet\nlisten = 127.0.0.1:7400\ncouncil = c1\n";
    let section = "[changes]\nlisten = 127.0.0.1:7501\nsources = 127.0.0.1:7502\ntenants = t.ini\n";
    let valid = format!("{group}folder = /x\n{section}");
    let read = |text: &str| crate::group::read("g.ini", text);
    let origin = read(&valid).expect("a valid file").config_distribution.expect("an origin");
    assert_eq!((origin.listen.port(), origin.origins.len()), (7501, 1));
    assert!(read(&format!("{group}folder = /x\n")).expect("a valid file").config_distribution.is_none());
    let same_address = valid.replace("7501", "7400");
    let (without_folder, same_address) = (read(&format!("{group}{section}")), read(&same_address));
    assert!(
        without_folder.is_err_and(|errors| errors.0.len() == 1 && errors.0[0].contains("folder is missing"))
    );
    assert!(same_address.is_err_and(|errors| errors.0.len() == 1 && errors.0[0].contains("[group] has it")));
}

#[test]
fn tenants_and_changes_are_read_completely_or_rejected() {
    let table = tenants("t.ini", "[tenants]\nacme = 20\nzeta = 0.5\n").expect("a valid file");
    assert_eq!((table.len(), table.quota_per_s("zeta")), (2, Some(0.5)));
    let errors =
        tenants("t.ini", "[tenants]\nacme = 20\nacme = 3\nzeta = -1\n[more]\n").expect_err("many errors").0;
    assert_eq!(errors.len(), 3, "{errors:?}");
    let change = edits("c.ini", "[set]\nacme = 5\n[add]\nnew = 7\n[remove]\nzeta =\n").expect("a valid file");
    let shown: Vec<String> = change.iter().map(Edit::to_string).collect();
    assert_eq!(shown, ["set \"acme\" to 5", "add \"new\" with 7", "remove \"zeta\""]);
    for (text, expected) in [
        ("[set]\nacme = many\n", "[set] acme = \"many\""),
        ("[set]\nacme = inf\n", "[set] acme = \"inf\""),
        ("[remove]\nacme = 3\n", "[remove] acme = \"3\""),
        ("[sett]\nacme = 3\n", "[sett] is no section"),
        ("acme = 3\n", "acme stands before any section"),
        ("", "nothing is changed"),
    ] {
        let errors = edits("c.ini", text).expect_err(expected).0;
        assert!(errors.len() == 1 && errors[0].contains(expected), "{expected}: {errors:?}");
    }
}
