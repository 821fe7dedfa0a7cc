use super::*;
use crate::test_support::held;

/// The parent's heartbeats go on, but the parent hears no origin. A process that heard from one more recently must become the
/// parent; one that did not must not.
#[test]
fn parent_without_an_origin_is_left_for_a_fresher_process() {
    let config = DistributionConfig::default();
    let mut freshness = Freshness::new(0.0);
    assert!(freshness.is_stale(0.0, &config));
    freshness.handle_parent_held(1000.0, held(5, 0));
    freshness.handle_parent_held(3000.0, held(5, 2000));
    assert_eq!(freshness.origin_contact_age_ms(3000.0), Some(2000.0));
    assert!(!freshness.is_stale(3000.0, &config) && freshness.is_stale(3600.0, &config));
    let own = held(5, 2600);
    let mut verdict = |theirs| freshness.handle_probe_reply(3600.0, theirs, own, FetchState::Idle, &config);
    assert_eq!(verdict(held(5, 2400)), ProbeVerdict::KeepParent);
    assert_eq!(verdict(held(5, 100)), ProbeVerdict::SwitchParent);
}

/// The backup holds a newer version while the parent hears an origin. Once it may be on its way here; the second time the
/// parent is stuck and must be left, unless the version is being fetched.
#[test]
fn parent_is_left_when_another_is_ahead_twice_and_nothing_is_under_way() {
    let config = DistributionConfig::default();
    let mut freshness = Freshness::new(60_000.0);
    freshness.handle_parent_held(0.0, held(5, 0));
    let own = held(5, 10);
    let mut verdict = |theirs, fetch| freshness.handle_probe_reply(10.0, theirs, own, fetch, &config);
    assert_eq!(verdict(held(6, 10), FetchState::Idle), ProbeVerdict::KeepParent);
    assert_eq!(verdict(held(6, 10), FetchState::UnderWay), ProbeVerdict::KeepParent);
    assert_eq!(verdict(held(6, 10), FetchState::Idle), ProbeVerdict::SwitchParent);
    assert_eq!(freshness.poll_timeout(), 10.0 + URGENT_PROBE_MS);
    freshness.handle_detached();
    let verdict = freshness.handle_probe_reply(20.0, held(6, 10), own, FetchState::Idle, &config);
    assert_eq!(verdict, ProbeVerdict::KeepParent);
}
