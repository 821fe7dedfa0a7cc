use super::*;
use crate::test_support::address;

fn known(origins: &[u8], alternates: &[u8]) -> KnownParents {
    let mut known = KnownParents::new(origins.iter().copied().map(address).collect());
    known.update(alternates.iter().copied().map(address).collect(), &[], address(99));
    known
}

/// The parent of a leaf, which is a relay, and the backup parent have both lost their origin contact. The probes must
/// go to two alternate parents, the first of which is the backup parent, and then reach an origin. They must never go
/// to the parent.
#[test]
fn probes_of_a_leaf_go_to_two_alternates_and_then_to_origins() {
    let known = known(&[1, 2], &[10, 11, 12, 13]);
    let target =
        |probe| known.probe_target(ListenerKind::Leaf, Some(address(10)), probe).expect("there is a target");
    assert_eq!([0, 1, 2, 3, 4].map(target), [11, 12, 1, 2, 11].map(address));
    let relay = known.probe_target(ListenerKind::Relay, Some(address(1)), 0);
    assert_eq!(relay, Some(address(2)));
}

/// An origin does not answer. It must be asked again only after the others, or when all have failed.
#[test]
fn origins_that_failed_are_asked_after_the_others() {
    let mut known = known(&[1, 2, 3], &[]);
    known.record_failure(address(1));
    assert_eq!(known.next_origin(), Some(address(2)));
    assert_eq!(known.origins_in_rotation(), [2, 3, 1].map(address));
    known.record_failure(address(2));
    known.record_failure(address(3));
    assert_eq!(known.next_origin(), Some(address(1)));
    known.advance_rotation();
    assert_eq!(known.next_origin(), Some(address(2)));
}

/// An origin has data that a leaf's parent lacks, so the nearby relays are as far behind as the parent. None of them
/// must be the next candidate.
#[test]
fn alternates_count_as_failed_when_an_origin_is_ahead_of_them() {
    let mut known = known(&[1, 2], &[10, 11]);
    known.prefer(address(11));
    assert_eq!(known.alternates(), [11, 10].map(address));
    known.prefer(address(1));
    assert!(known.alternates().is_empty());
    assert_eq!(known.failed(), [11, 10].map(address));
    known.handle_attached(address(10));
    assert_eq!(known.failed(), [11].map(address));
}
