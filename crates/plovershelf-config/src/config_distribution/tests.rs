use super::*;

const WELL: &str = "[changes]\nname = fleet\nlisten = 127.0.0.1:7600\nzone = a\nregion = north\n\
    sources = 127.0.0.1:7501, 127.0.0.1:7502, 127.0.0.1:7503\nfan_out = 8\nbeat_ms = 400\n";

#[test]
fn a_listeners_file_becomes_what_it_says() {
    let listener = read("changes.ini", WELL).expect("a good file");
    assert_eq!((listener.origins.len(), listener.zone.as_str()), (3, "a"));
    assert_eq!((listener.config.fan_out, listener.config.failover_fan_out), (8, 16));
    assert_eq!(listener.config.heartbeat_interval_ms, 400.0);
}

#[test]
fn all_that_is_wrong_is_told_at_once_with_its_section_and_key() {
    let text = "[changes]\nname = two words\nlisten = 0.0.0.0:5\nzone = a\nsources = here, 127.0.0.1:1, 127.0.0.1:1\n\
        fan_out = 0\nbeat_ms = 900\nsilent = 3\n[other]\n";
    let wrong = read("c.ini", text).expect_err("much").0;
    for what in [
        "name = \"two words\"",
        "listen = \"0.0.0.0:5\"",
        "\"here\"",
        "sources names 127.0.0.1:1 twice",
        "fan_out = \"0\"",
        "beat_ms is more than half",
        "silent is no key here",
        "[other] is no section",
    ] {
        assert!(wrong.iter().any(|line| line.contains(what)), "{what}: {wrong:?}");
    }
    assert!(wrong.iter().all(|line| line.starts_with("c.ini: [")));
    assert!(read("c.ini", "").is_err_and(|wrong| wrong.0 == ["c.ini: [changes] is missing"]));
}

#[test]
fn a_source_is_a_member_with_a_folder_and_a_listener_of_its_own() {
    let group = "[group]\nname = fleet\nlisten = 127.0.0.1:7400\ncouncil = c1\n";
    let section = "[changes]\nlisten = 127.0.0.1:7501\nsources = 127.0.0.1:7502\ntenants = t.ini\n";
    let with = format!("{group}folder = /x\n{section}");
    let read = |text: &str| crate::group::read("g.ini", text);
    let origin = read(&with).expect("a good file").changes.expect("an origin");
    assert_eq!((origin.listen.port(), origin.origins.len()), (7501, 1));
    assert!(read(&format!("{group}folder = /x\n")).expect("a good file").changes.is_none());
    let same = with.replace("7501", "7400");
    let (bare, same) = (read(&format!("{group}{section}")), read(&same));
    assert!(bare.is_err_and(|wrong| wrong.0.len() == 1 && wrong.0[0].contains("folder is missing")));
    assert!(same.is_err_and(|wrong| wrong.0.len() == 1 && wrong.0[0].contains("[group] has it")));
}

#[test]
fn tenants_and_changes_are_read_whole_or_not_at_all() {
    let table = tenants("t.ini", "[tenants]\nacme = 20\nzeta = 0.5\n").expect("a good file");
    assert_eq!((table.len(), table.quota_per_s("zeta")), (2, Some(0.5)));
    let wrong = tenants("t.ini", "[tenants]\nacme = 20\nacme = 3\nzeta = -1\n[more]\n").expect_err("much").0;
    assert_eq!(wrong.len(), 3, "{wrong:?}");
    let change = edits("c.ini", "[set]\nacme = 5\n[add]\nnew = 7\n[remove]\nzeta =\n").expect("a good file");
    let shown: Vec<String> = change.iter().map(Edit::to_string).collect();
    assert_eq!(shown, ["set \"acme\" to 5", "add \"new\" with 7", "remove \"zeta\""]);
    for (text, what) in [
        ("[set]\nacme = many\n", "[set] acme = \"many\""),
        ("[set]\nacme = inf\n", "[set] acme = \"inf\""),
        ("[remove]\nacme = 3\n", "[remove] acme = \"3\""),
        ("[sett]\nacme = 3\n", "[sett] is no section"),
        ("acme = 3\n", "acme stands before any section"),
        ("", "nothing is changed"),
    ] {
        let wrong = edits("c.ini", text).expect_err(what).0;
        assert!(wrong.len() == 1 && wrong[0].contains(what), "{what}: {wrong:?}");
    }
}
