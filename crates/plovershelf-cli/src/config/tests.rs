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
fn listeners_of_a_lagging_origin_do_not_count_and_the_origin_is_listed_as_missing() {
    let mut lagging = report("c2", true, 6, 300, 300);
    lagging.node.missing = vec!["n9".into()];
    let all = sum_reports(&[report("c1", true, 7, 310, 310), lagging.clone(), report("n1", false, 7, 1, 1)]);
    assert_eq!((all.newest.number, all.in_force, all.listeners), (7, 310, 610));
    assert_eq!((all.missing, all.has_conflict), (vec!["c2".to_string(), "n9".into()], false));
    let without_origin = sum_reports(&[report("n1", false, 7, 1, 1)]);
    assert_eq!((without_origin.in_force, without_origin.listeners), (1, 1));
    let mut conflicting = report("c3", true, 7, 1, 1);
    conflicting.node.digest = 1;
    assert!(sum_reports(&[report("c1", true, 7, 1, 1), conflicting]).has_conflict);
    assert!(status_text(&[lagging.clone()], &sum_reports(&[lagging])).contains("MISSING: n9"));
}
