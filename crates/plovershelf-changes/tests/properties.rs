//! The promises on a small net under faults, by many seeds, each the same at each run.

mod net;

use net::Net;
use plovershelf_changes::node::Terms;

#[test]
fn a_change_is_in_force_on_all_of_a_calm_fleet_within_200_ms() {
    let mut net = Net::new(1, 3, 60, 4, Terms::default());
    net.run(3000.0);
    for at in 0..20 {
        let edits = net.random_edits();
        let version = net.propose(at % 3, edits).unwrap();
        let from = net.now;
        net.run(from + 1000.0);
        assert_eq!(net.behind(), Vec::<usize>::new(), "{}", net.show());
        let last = net.in_force[&version].1;
        assert!(last - from < 200.0, "{version} after {}", last - from);
    }
    net.check();
    println!("{}", net.show());
    let sums: Vec<_> = (0..3).map(|at| net.node(at).status(net.now)).collect();
    assert_eq!(sums.iter().map(|sum| sum.under).sum::<u64>(), 60);
    assert_eq!(sums.iter().map(|sum| sum.in_force).sum::<u64>(), 60);
    assert!(sums.iter().all(|sum| sum.missing.is_empty()));
}
