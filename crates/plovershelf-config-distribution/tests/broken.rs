//! Verifies that the checks of the guarantees detect injected faults. The faults are tested one after the other in a
//! single test, since a fault applies to the whole process. The same runs find no violation without a fault.

mod net;

use net::Net;
use plovershelf_config_distribution::broken::{set, Broken};
use plovershelf_config_distribution::{DistributionConfig, Edit, Message};
use rand::RngExt;
use rand_pcg::Pcg32;

type Corruption = Option<fn(&mut Message, &mut Pcg32)>;

fn change_quota(message: &mut Message, rng: &mut Pcg32) {
    let Message::Delta(changes) = message else { return };
    let change = changes.last_mut().filter(|_| rng.random_bool(0.1));
    if let Some(Edit::Set { quota_per_s, .. } | Edit::Add { quota_per_s, .. }) =
        change.and_then(|change| change.edits.last_mut())
    {
        *quota_per_s += 1.0;
    }
}

fn add_invalid_edit(message: &mut Message, rng: &mut Pcg32) {
    let Message::Delta(changes) = message else { return };
    if let Some(change) = changes.last_mut().filter(|_| rng.random_bool(0.1)) {
        change.edits.push(Edit::Set { tenant: "nobody".to_string(), quota_per_s: -1.0 });
    }
}

/// Returns the violations of a run with changes, relay failures, and duplicated and corrupted messages, including
/// nodes that are behind at the end.
fn find_violations(corrupt: Corruption) -> Vec<String> {
    let mut net = Net::new(7, 3, 30, 4, DistributionConfig::default());
    net.corrupt = corrupt;
    net.duplicate_rate = 0.05;
    net.run(2000.0);
    for index in 0..20 {
        let edits = net.random_edits();
        net.propose(index % 3, edits).unwrap();
        if index % 5 == 0 {
            let relay = (3..net.slots.len()).find(|index| {
                net.slots[*index].node.as_ref().is_some_and(|node| node.status(0.0).children > 0)
            });
            net.kill(relay.unwrap(), false);
        }
        net.run(net.now + 400.0);
    }
    net.run(net.now + 4000.0);
    let mut violations = net.violations.clone();
    if !net.behind().is_empty() {
        violations.push(format!("AGREED_IS_IN_FORCE: {:?} are behind after 4 s", net.behind()));
    }
    violations
}

/// Breaks one guarantee at a time by fault injection. The check must report that guarantee, and nothing without the
/// fault.
#[test]
fn each_broken_guarantee_is_caught() {
    let cases: [(&str, Broken, Corruption); 5] = [
        ("ONE_CONTENT_A_NUMBER", Broken::DigestNotChecked, Some(change_quota)),
        ("NEVER_BACKWARDS", Broken::VersionNotCompared, None),
        ("AGREED_IS_IN_FORCE", Broken::SpareNeverUsed, None),
        ("CUT_OFF_SERVES_ON", Broken::CutOffForgets, None),
        ("BAD_CHANGES_NOTHING", Broken::EditsNotChecked, Some(add_invalid_edit)),
    ];
    for (guarantee, fault, corrupt) in cases {
        set(None);
        assert_eq!(find_violations(corrupt), Vec::<String>::new(), "without a fault, before {guarantee}");
        set(Some(fault));
        let violations = find_violations(corrupt);
        set(None);
        assert!(
            violations.iter().any(|violation| violation.starts_with(guarantee)),
            "{fault:?} must violate {guarantee}: {violations:?}"
        );
    }
}
