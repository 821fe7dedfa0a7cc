use super::*;

const WELL: &str = "[group]\nname = fleet\nlisten = 127.0.0.1:7400\nzone = a\nregion = north\n\
    seeds = 127.0.0.1:7401, 127.0.0.1:7402\ncouncil = n1, n2, n3\nfolder = /var/lib/x\nlease_ms = 800\n\n\
    [ways]\nn2 = 127.0.0.1:9001\n";

#[test]
fn a_file_becomes_what_it_says() {
    let group = read("group.ini", WELL).expect("a good file");
    assert_eq!((group.config.voters, group.council.len(), group.seeds.len()), (3, 3, 2));
    assert_eq!((group.config.lease_duration_ms, group.config.lease_renew_interval_ms), (800.0, 200.0));
    assert_eq!(group.ways.len(), 1);
}

#[test]
fn zones_and_ways_become_a_topology_and_what_does_not_fit_is_told() {
    let zones =
        "[zone a]\nregion = north\n[zone b]\nregion = south\n[way a b]\nms = 12\n[zones]\nvalid_ms = 3000\n";
    let group = read("group.ini", &format!("{WELL}{zones}")).expect("a good file");
    let told = group.zones.expect("zones");
    assert_eq!(
        (told.topology.len(), told.topology.latency_ms(1, 0), told.planner.valid_ms),
        (2, 12.0, 3000.0)
    );
    let wrong = "[zone b]\n[way b q]\nms = many\n[zones]\nfil = 3\nrenew_ms = 5000\n";
    let wrong = read("g.ini", &format!("{WELL}{wrong}")).expect_err("much").0;
    for what in
        ["[zone a]", "[way b q] ms = \"many\"", "names two zones", "fil is no key", "renew_ms is more"]
    {
        assert!(wrong.iter().any(|line| line.contains(what)), "{what}: {wrong:?}");
    }
}

#[test]
fn all_that_is_wrong_is_told_at_once_with_its_key() {
    let text = "[group]\nname = two words\nlisten = 0.0.0.0:1\nseeds = here\ncouncil = n1, n1\nvoters = 2\nlease = 5\n[grop]\n";
    let wrong = read("g.ini", text).expect_err("much").0;
    for what in [
        "name = \"two words\"",
        "listen = \"0.0.0.0:1\"",
        "\"here\"",
        "names one twice",
        "voters = 2",
        "lease is no key",
        "[grop] is no section",
    ] {
        assert!(wrong.iter().any(|line| line.contains(what)), "{what}: {wrong:?}");
    }
    assert!(wrong.iter().all(|line| line.starts_with("g.ini: ")));
}
