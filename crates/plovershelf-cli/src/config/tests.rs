use super::*;
use plovershelf_config_distribution::node::Status;

fn report(name: &str, source: bool, number: u64, in_force: u64, under: u64) -> Report {
    let version = Version { era: 1, number };
    let node = Status {
        name: name.into(),
        version,
        digest: number.into(),
        tenants: 1,
        age_ms: Some(0.0),
        parent: None,
        spare: None,
        children: 0,
        under,
        in_force,
        oldest: version,
        missing: Vec::new(),
    };
    Report { node, source, council: None }
}

#[test]
fn what_is_in_force_under_a_source_that_lags_does_not_count_and_it_is_named() {
    let mut late = report("c2", true, 6, 300, 300);
    late.node.missing = vec!["n9".into()];
    let all = summed(&[report("c1", true, 7, 310, 310), late.clone(), report("n1", false, 7, 1, 1)]);
    assert_eq!((all.newest.number, all.in_force, all.of), (7, 310, 610));
    assert_eq!((all.missing, all.two_contents), (vec!["c2".to_string(), "n9".into()], false));
    let alone = summed(&[report("n1", false, 7, 1, 1)]);
    assert_eq!((alone.in_force, alone.of), (1, 1));
    let mut other = report("c3", true, 7, 1, 1);
    other.node.digest = 1;
    assert!(summed(&[report("c1", true, 7, 1, 1), other]).two_contents);
    assert!(told(&[late.clone()], &summed(&[late])).contains("MISSING: n9"));
}
