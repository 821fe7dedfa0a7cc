use super::*;

const TIMING: LeaseTiming = LeaseTiming { duration_ms: 1000.0, clock_drift_fraction: 0.02 };
const EPOCH: Epoch = Epoch(1 << 40);

fn grant(requested_at_ms: f64, view: u64) -> Grant {
    Grant { requested_at_ms, epoch: EPOCH, view, duration_ms: TIMING.duration_ms }
}

/// The process is paused between the request for a lease and the receipt of the grant. The lease counts from the
/// request, so it is expired when the process resumes, although the grant was just received.
#[test]
fn a_lease_counts_from_its_request() {
    let mut lease = MemberLease::default();
    assert!(lease.accept(5000.0, grant(100.0, 7), &TIMING));
    assert_eq!(lease.valid_view(1079.0, EPOCH), Some(7));
    assert_eq!(lease.valid_view(5000.0, EPOCH), None);
}

/// The member's clock runs slow and the leader's clock fast, each by the largest drift. The lease must expire for the
/// member before it expires for the leader.
#[test]
fn a_lease_ends_for_the_member_before_it_ends_for_the_leader() {
    let (mut lease, mut grants, member) = (MemberLease::default(), LeaseGrants::default(), NodeId(2));
    lease.accept(0.0, grant(0.0, 1), &TIMING);
    grants.record(member, 0.0, &TIMING);
    for true_ms in 0..1100u32 {
        let (slow_ms, fast_ms) = (f64::from(true_ms) * 0.98, f64::from(true_ms) * 1.02);
        let acts = lease.valid_view(slow_ms, EPOCH).is_some();
        assert!(
            !acts || !grants.has_expired(member, fast_ms),
            "acts after {true_ms} ms although the leader considers the lease expired"
        );
    }
    assert!(grants.has_expired(member, 1041.0));
}

/// Grants arrive twice and out of order. An older grant does not shorten the current lease, a grant with a request time
/// in the future is refused, and a lease of one epoch is not valid in another.
#[test]
fn a_lease_is_never_shortened_nor_accepted_from_the_future_or_another_epoch() {
    let mut lease = MemberLease::default();
    assert!(lease.accept(600.0, grant(500.0, 7), &TIMING));
    assert!(!lease.accept(600.0, grant(100.0, 8), &TIMING));
    assert!(!lease.accept(600.0, grant(601.0, 9), &TIMING));
    assert_eq!(lease.valid_view(700.0, EPOCH), Some(7));
    assert_eq!(lease.valid_view(700.0, Epoch(2 << 40)), None);
}

/// A new leader does not know which leases the previous one granted. It waits until the longest possible lease has
/// expired.
#[test]
fn a_new_leader_waits_for_the_leases_of_the_previous_one() {
    assert!(!earlier_leases_expired(1040.0, 0.0, 400.0, &TIMING));
    assert!(earlier_leases_expired(1041.0, 0.0, 400.0, &TIMING));
    assert!(!earlier_leases_expired(1041.0, 0.0, 2000.0, &TIMING));
}
