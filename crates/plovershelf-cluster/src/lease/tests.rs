use super::*;

const TIMING: LeaseTiming = LeaseTiming { duration_ms: 1000.0, clock_drift_fraction: 0.02 };
const EPOCH: Epoch = Epoch(1 << 40);

fn grant(requested_at_ms: f64, view: u64) -> Grant {
    Grant { requested_at_ms, epoch: EPOCH, view, duration_ms: TIMING.duration_ms }
}

/// The process is paused between asking for a lease and hearing of it. The lease runs from the asking, so it is over when
/// the process wakes, although the grant came just now.
#[test]
fn a_lease_runs_from_when_it_was_asked_for() {
    let mut holder = LeaseHolder::default();
    assert!(holder.accept(5000.0, grant(100.0, 7), &TIMING));
    assert_eq!(holder.valid_view(1079.0, EPOCH), Some(7));
    assert_eq!(holder.valid_view(5000.0, EPOCH), None);
}

/// The member's clock runs slow and the leader's fast, each by as much as clocks may drift. The member must stop acting
/// before the leader takes its lease for expired.
#[test]
fn a_lease_ends_for_the_member_before_it_ends_for_the_leader() {
    let (mut holder, mut grants, member) = (LeaseHolder::default(), LeaseGrants::default(), NodeId(2));
    holder.accept(0.0, grant(0.0, 1), &TIMING);
    grants.record(member, 0.0, &TIMING);
    for true_ms in 0..1100u32 {
        let (slow_ms, fast_ms) = (f64::from(true_ms) * 0.98, f64::from(true_ms) * 1.02);
        let acts = holder.valid_view(slow_ms, EPOCH).is_some();
        assert!(!acts || !grants.has_expired(member, fast_ms), "both after {true_ms} ms");
    }
    assert!(grants.has_expired(member, 1041.0));
}

/// Messages come twice and out of order. An older lease does not shorten the one there is, one from the future was never
/// asked for, and one of another epoch is not valid in this one.
#[test]
fn a_lease_is_never_shortened_nor_taken_from_the_future_or_another_epoch() {
    let mut holder = LeaseHolder::default();
    assert!(holder.accept(600.0, grant(500.0, 7), &TIMING));
    assert!(!holder.accept(600.0, grant(100.0, 8), &TIMING));
    assert!(!holder.accept(600.0, grant(601.0, 9), &TIMING));
    assert_eq!(holder.valid_view(700.0, EPOCH), Some(7));
    assert_eq!(holder.valid_view(700.0, Epoch(2 << 40)), None);
}

/// A new leader does not know which leases the one before it granted: it removes nobody before the longest of them is over.
#[test]
fn a_new_leader_waits_for_the_leases_of_the_one_before() {
    assert!(!earlier_leases_expired(1040.0, 0.0, 400.0, &TIMING));
    assert!(earlier_leases_expired(1041.0, 0.0, 400.0, &TIMING));
    assert!(!earlier_leases_expired(1041.0, 0.0, 2000.0, &TIMING));
}
