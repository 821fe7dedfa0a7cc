use super::*;
use crate::consensus::{Entry, Term};
use crate::view::ViewMember;

fn member(id: u64) -> ViewMember {
    ViewMember {
        name: format!("n{id}"),
        zone: format!("z{}", id % 3),
        region: "r".into(),
        address: ([127, 0, 0, id as u8], 7400).into(),
        draining: false,
        boot_id: id,
    }
}

/// Returns a view of five members, of which the first three are voters.
fn view() -> View {
    View { number: 4, members: (1..=5).map(|id| (NodeId(id), member(id))).collect() }
}

fn voters() -> BTreeSet<NodeId> {
    (1..=3).map(NodeId).collect()
}

fn membership(lost: &[&str]) -> Result<RecoveryMembership, RecoverError> {
    let lost: Vec<String> = lost.iter().map(|name| name.to_string()).collect();
    RecoveryMembership::of(&lost, &view(), &voters())
}

/// Returns the state of a node that has `extra` entries beyond those common to all.
fn persistent(extra: u8) -> PersistentState<ClusterState> {
    let mut persistent = PersistentState::empty(ClusterState { view: view(), ..ClusterState::default() });
    persistent.log = (0..extra)
        .map(|version| Entry {
            term: Term(2),
            payload: Payload::Command(Command::SetValue {
                key: "key".into(),
                version: u64::from(version) + 1,
                bytes: vec![version],
            }),
        })
        .collect();
    persistent
}

/// An operator mistypes a name. No recovery starts, and the error lists the members of the view.
#[test]
fn a_name_that_is_not_in_the_view_is_refused() {
    let why = membership(&["n1", "n9"]).expect_err("no such member").to_string();
    assert_eq!(why, "\"n9\" is not in view 4; in it are n1, n2, n3, n4, n5");
}

/// Two operators start recoveries with different lost nodes at once. The epochs have equal numbers but different tags.
#[test]
fn concurrent_recoveries_have_different_epochs_with_equal_numbers() {
    let [first, second] = [&["n1", "n2"][..], &["n2", "n3"][..]]
        .map(|lost| membership(lost).expect("members").next_epoch(Epoch::new(6, 1)));
    assert_eq!((first.number(), second.number()), (7, 7));
    assert_ne!(first, second);
}

/// Two of three voters are lost. All survivors must consent. The entries of the survivor with the most recent log are
/// treated as committed, because they may have been, and the new voters are an odd number spread over zones.
#[test]
fn the_new_epoch_starts_from_the_survivor_with_the_most_recent_log() {
    let membership = membership(&["n1", "n2"]).expect("members");
    let epoch = membership.next_epoch(Epoch::new(1, 1));
    let mut recovery = EpochRecovery::new(0.0, epoch, membership, NodeId(3), persistent(1));
    assert_eq!(recovery.next_step(0.0, 200.0), RecoveryStep::RequestConsent(vec![NodeId(4), NodeId(5)]));
    assert_eq!(recovery.next_step(1.0, 200.0), RecoveryStep::Wait);
    recovery.record_consent(NodeId(4), persistent(2));
    recovery.record_consent(NodeId(5), persistent(0));
    assert_eq!(recovery.next_step(2.0, 200.0), RecoveryStep::Complete);
    let snapshot = recovery.outcome(3).expect("consents");
    assert_eq!(snapshot.last, LogPosition { term: Term(3), index: 3 });
    assert_eq!(snapshot.state.values["key"].version, 2);
    let members: Vec<NodeId> = snapshot.state.view.members.keys().copied().collect();
    assert_eq!((snapshot.state.view.number, members), (5, vec![NodeId(3), NodeId(4), NodeId(5)]));
    assert_eq!(snapshot.voters.len(), 3);
}

/// A survivor does not answer. The recovery ends with an error that names it, so that an operator can declare it lost
/// too.
#[test]
fn a_recovery_without_all_consents_expires() {
    let membership = membership(&["n1", "n2"]).expect("members");
    let epoch = membership.next_epoch(Epoch::new(1, 1));
    let mut recovery = EpochRecovery::new(0.0, epoch, membership, NodeId(3), persistent(0));
    recovery.record_consent(NodeId(4), persistent(0));
    let expired = RecoveryStep::Expired(vec![NodeId(5)]);
    assert_eq!(recovery.next_step(CONSENT_TIMEOUT_MS, 200.0), expired);
}
