use super::*;
use crate::test_support::version_info;

/// A parent still sends heartbeats but has lost its origin contact. The listener must switch to a process with a more
/// recent origin contact, and to no other.
#[test]
fn parent_without_origin_contact_is_replaced_by_a_more_recent_process() {
    let config = DistributionConfig::default();
    let mut freshness = Freshness::new(0.0);
    assert!(freshness.is_stale(0.0, &config));
    freshness.handle_parent_version_info(1000.0, version_info(5, 0));
    freshness.handle_parent_version_info(3000.0, version_info(5, 2000));
    assert_eq!(freshness.origin_contact_age_ms(3000.0), Some(2000.0));
    assert!(!freshness.is_stale(3000.0, &config) && freshness.is_stale(3600.0, &config));
    let own = version_info(5, 2600);
    let mut verdict = |theirs| freshness.handle_probe_reply(3600.0, theirs, own, FetchState::Idle, &config);
    assert_eq!(verdict(version_info(5, 2400)), ProbeVerdict::KeepParent);
    assert_eq!(verdict(version_info(5, 100)), ProbeVerdict::SwitchParent);
}

/// The backup parent has a newer version although the parent has origin contact. After the first probe, the version
/// may still be in transit. After the second one, the parent is stuck and must be replaced, unless a fetch is pending.
#[test]
fn parent_is_replaced_when_another_process_is_ahead_twice_and_no_fetch_is_pending() {
    let config = DistributionConfig::default();
    let mut freshness = Freshness::new(60_000.0);
    freshness.handle_parent_version_info(0.0, version_info(5, 0));
    let own = version_info(5, 10);
    let mut verdict = |theirs, fetch| freshness.handle_probe_reply(10.0, theirs, own, fetch, &config);
    assert_eq!(verdict(version_info(6, 10), FetchState::Idle), ProbeVerdict::KeepParent);
    assert_eq!(verdict(version_info(6, 10), FetchState::Pending), ProbeVerdict::KeepParent);
    assert_eq!(verdict(version_info(6, 10), FetchState::Idle), ProbeVerdict::SwitchParent);
    assert_eq!(freshness.poll_timeout(), 10.0 + URGENT_PROBE_MS);
    freshness.handle_detached();
    let verdict = freshness.handle_probe_reply(20.0, version_info(6, 10), own, FetchState::Idle, &config);
    assert_eq!(verdict, ProbeVerdict::KeepParent);
}
