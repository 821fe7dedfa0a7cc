use super::*;

const OWN: NodeId = NodeId(1);
const FOLLOWER: NodeId = NodeId(2);
const RESEND_MS: f64 = 200.0;

fn voters() -> BTreeSet<NodeId> {
    [OWN, FOLLOWER, NodeId(3)].into()
}

fn tracker() -> ProgressTracker {
    let mut tracker = ProgressTracker::default();
    assert_eq!(tracker.track(OWN, &voters(), 5), [FOLLOWER, NodeId(3)]);
    tracker
}

fn next(tracker: &mut ProgressTracker, now_ms: f64, mode: SendMode) -> Option<Batch> {
    let log = LogRange { last_index: 5, first_known_index: 2 };
    tracker.next_batch(FOLLOWER, now_ms, RESEND_MS, mode, &log)
}

/// Unacknowledged entries are not sent again with each heartbeat, only after the resend interval.
#[test]
fn unacknowledged_entries_are_sent_again_only_after_the_resend_interval() {
    let mut tracker = tracker();
    let entries = Some(Batch::Entries { previous_index: 4, until: 5 });
    assert_eq!(next(&mut tracker, 0.0, SendMode::OnlyEntries), entries);
    assert_eq!(next(&mut tracker, 100.0, SendMode::OnlyEntries), None);
    let heartbeat = Some(Batch::Entries { previous_index: 5, until: 5 });
    assert_eq!(next(&mut tracker, 100.0, SendMode::Heartbeat), heartbeat);
    assert_eq!(next(&mut tracker, 201.0, SendMode::OnlyEntries), entries);
}

/// A follower lags behind the start of the leader's log. It receives a snapshot, because it lacks the entry that the
/// first retained one follows.
#[test]
fn a_follower_behind_the_log_gets_a_snapshot() {
    let mut tracker = tracker();
    tracker.reject(FOLLOWER, 1);
    assert_eq!(next(&mut tracker, 0.0, SendMode::OnlyEntries), Some(Batch::Snapshot));
    tracker.acknowledge(FOLLOWER, 4);
    let rest = Some(Batch::Entries { previous_index: 4, until: 5 });
    assert_eq!(next(&mut tracker, 1.0, SendMode::OnlyEntries), rest);
}

/// A follower acknowledges an entry and then restarts with an older disk. The acknowledgement must not count towards a
/// majority.
#[test]
fn an_acknowledgement_is_void_after_a_restart() {
    let mut tracker = tracker();
    tracker.acknowledge(FOLLOWER, 5);
    assert_eq!(tracker.quorum_index(OWN, 5, &voters()), Some(5));
    tracker.reset_progress(FOLLOWER);
    assert_eq!(tracker.quorum_index(OWN, 5, &voters()), Some(0));
}

/// The lease starts at the sending of the latest message that a majority has answered. The leader counts itself towards
/// the majority if it is a voter.
#[test]
fn the_time_of_contact_with_a_majority_is_that_of_its_slowest_member() {
    let mut tracker = tracker();
    assert_eq!(tracker.quorum_contact_ms(OWN, 50.0, &voters()), 0.0);
    tracker.record_contact(FOLLOWER, 30_000);
    tracker.record_contact(FOLLOWER, 20_000);
    assert_eq!(tracker.quorum_contact_ms(OWN, 50.0, &voters()), 30.0);
    let without_own: BTreeSet<NodeId> = [FOLLOWER, NodeId(3), NodeId(4)].into();
    assert_eq!(tracker.quorum_contact_ms(OWN, 50.0, &without_own), 0.0);
    assert_eq!(tracker.quorum_contact_ms(OWN, 50.0, &[OWN].into()), 50.0);
}
