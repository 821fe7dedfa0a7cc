use super::*;
use plovershelf_config_distribution::NodeStatus;

fn report(name: &str, is_origin: bool, number: u64, up_to_date: u64, nodes: u64) -> StatusReport {
    let version = Version { epoch: 1, number };
    let node = NodeStatus {
        name: name.into(),
        version,
        digest: number.into(),
        tenants: 1,
        age_ms: Some(0.0),
        parent: None,
        backup_parent: None,
        children: 0,
        nodes,
        up_to_date,
        oldest: version,
        missing: Vec::new(),
    };
    StatusReport { node, is_origin, consensus: None }
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
