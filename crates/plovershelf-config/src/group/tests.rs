use super::*;

const VALID: &str = "[group]\nname = fleet\nlisten = 127.0.0.1:7400\nzone = a\nregion = north\n\
    seeds = 127.0.0.1:7401, 127.0.0.1:7402\ncouncil = n1, n2, n3\nfolder = /var/lib/x\nlease_ms = 800\n\n\
    [ways]\nn2 = 127.0.0.1:9001\n";

#[test]
fn a_valid_file_is_read() {
    let group = read("group.ini", VALID).expect("a valid file");
    assert_eq!((group.config.voters, group.initial_voters.len(), group.seeds.len()), (3, 3, 2));
    assert_eq!((group.config.lease_duration_ms, group.config.lease_renew_interval_ms), (800.0, 200.0));
    assert_eq!(group.address_overrides.len(), 1);
}

#[test]
fn zones_and_latencies_become_a_topology_and_errors_are_reported() {
    let zones =
        "[zone a]\nregion = north\n[zone b]\nregion = south\n[way a b]\nms = 12\n[zones]\nvalid_ms = 3000\n";
    let group = read("group.ini", &format!("{VALID}{zones}")).expect("a valid file");
    let zones = group.failover.expect("zones");
    assert_eq!(
        (zones.topology.len(), zones.topology.latency_ms(1, 0), zones.planner.valid_ms),
        (2, 12.0, 3000.0)
    );
    let invalid = "[zone b]\n[way b q]\nms = many\n[zones]\nfil = 3\nrenew_ms = 5000\n";
    let errors = read("g.ini", &format!("{VALID}{invalid}")).expect_err("many errors").0;
    for expected in
        ["[zone a]", "[way b q] ms = \"many\"", "names two zones", "fil is no key", "renew_ms is more"]
    {
        assert!(errors.iter().any(|line| line.contains(expected)), "{expected}: {errors:?}");
    }
}

#[test]
fn all_errors_are_reported_together_with_their_keys() {
    let text = "[group]\nname = two words\nlisten = 0.0.0.0:1\nseeds = here\ncouncil = n1, n1\nvoters = 2\nlease = 5\n[grop]\n";
    let errors = read("g.ini", text).expect_err("many errors").0;
    for expected in [
        "name = \"two words\"",
        "listen = \"0.0.0.0:1\"",
        "\"here\"",
        "names one twice",
        "voters = 2",
        "lease is no key",
        "[grop] is no section",
    ] {
        assert!(errors.iter().any(|line| line.contains(expected)), "{expected}: {errors:?}");
    }
    assert!(errors.iter().all(|line| line.starts_with("g.ini: ")));
}
