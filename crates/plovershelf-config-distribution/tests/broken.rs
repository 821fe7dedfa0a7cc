//! Verifies that the checks of the guarantees detect injected faults. The faults are tested one after the other in a
//! single test, since a fault applies to the whole process. The same runs find no violation without a fault.

mod net;

use net::Net;
use plovershelf_config_distribution::broken::{set, Broken};
use plovershelf_config_distribution::{DistributionConfig, Edit, Message};
use rand::RngExt;
use rand_pcg::Pcg32;

type Mangle = Option<fn(&mut Message, &mut Pcg32)>;

fn another_quota(message: &mut Message, rng: &mut Pcg32) {
    let Message::Delta(changes) = message else { return };
    let change = changes.last_mut().filter(|_| rng.random_bool(0.1));
    if let Some(Edit::Set { quota_per_s, .. } | Edit::Add { quota_per_s, .. }) =
        change.and_then(|change| change.edits.last_mut())
    {
        *quota_per_s += 1.0;
    }
}

fn an_edit_that_does_not_fit(message: &mut Message, rng: &mut Pcg32) {
    let Message::Delta(changes) = message else { return };
    if let Some(change) = changes.last_mut().filter(|_| rng.random_bool(0.1)) {
        change.edits.push(Edit::Set { tenant: "nobody".to_string(), quota_per_s: -1.0 });
    }
}

/// Returns the violations of a run with changes, relay failures, and duplicated and corrupted messages, including
/// nodes that are behind at the end.
fn found(mangle: Mangle) -> Vec<String> {
    let mut net = Net::new(7, 3, 30, 4, DistributionConfig::default());
    net.mangle = mangle;
    net.doubled = 0.05;
    net.run(2000.0);
    for at in 0..20 {
        let edits = net.random_edits();
        net.propose(at % 3, edits).unwrap();
        if at % 5 == 0 {
            let relay = (3..net.slots.len())
                .find(|at| net.slots[*at].node.as_ref().is_some_and(|node| node.status(0.0).children > 0));
            net.kill(relay.unwrap(), false);
        }
        net.run(net.now + 400.0);
    }
    net.run(net.now + 4000.0);
    let mut found = net.violations.clone();
    if !net.behind().is_empty() {
        found.push(format!("AGREED_IS_IN_FORCE: {:?} are behind after 4 s", net.behind()));
    }
    found
}

/// Breaks one guarantee at a time by fault injection. The check must report that guarantee, and nothing without the
/// fault.
#[test]
fn each_broken_guarantee_is_caught() {
    let cases: [(&str, Broken, Mangle); 5] = [
        ("ONE_CONTENT_A_NUMBER", Broken::DigestNotChecked, Some(another_quota)),
        ("NEVER_BACKWARDS", Broken::VersionNotCompared, None),
        ("AGREED_IS_IN_FORCE", Broken::SpareNeverUsed, None),
        ("CUT_OFF_SERVES_ON", Broken::CutOffForgets, None),
        ("BAD_CHANGES_NOTHING", Broken::EditsNotChecked, Some(an_edit_that_does_not_fit)),
    ];
    for (promise, what, mangle) in cases {
        set(None);
        assert_eq!(found(mangle), Vec::<String>::new(), "whole, against {promise}");
        set(Some(what));
        let found = found(mangle);
        set(None);
        assert!(found.iter().any(|found| found.starts_with(promise)), "{what:?} breaks {promise}: {found:?}");
    }
}
