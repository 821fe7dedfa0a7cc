use rand::SeedableRng;

use super::*;
use crate::test_support::address;

fn selector(rng: &mut Pcg32) -> ParentSelector {
    let origins = vec![address(1), address(2), address(3)];
    let mut selector = ParentSelector::new(origins, 0.0, &DistributionConfig::default(), rng);
    let action = selector.handle_timeout(selector.poll_timeout(), rng);
    assert!(matches!(action, Some(ParentAction::Find(FindRequest { redirected: false, .. }))), "{action:?}");
    selector
}

fn attached(rng: &mut Pcg32, parent: u8) -> ParentSelector {
    let mut selector = selector(rng);
    selector.attach(300.0, vec![address(parent)], FanOutLimit::Normal, rng);
    selector.handle_attached(301.0, address(parent));
    selector
}

fn attach_to(last: u8, limit: FanOutLimit) -> Option<ParentAction> {
    Some(ParentAction::Attach { to: address(last), limit })
}

/// A leaf's parent times out. The leaf must try its alternate parents with the failover limit, and ask an origin when
/// two in a row do not answer, since the whole zone may have failed.
#[test]
fn leaf_whose_parent_times_out_tries_two_alternates_and_then_asks_an_origin() {
    let rng = &mut Pcg32::seed_from_u64(1);
    let mut selector = attached(rng, 10);
    selector.handle_alternates([11, 12, 13].map(address).to_vec(), &[], address(99));
    assert_eq!(selector.timed_out_parent(900.0), None);
    let timeout_ms = selector.poll_timeout();
    assert_eq!(selector.timed_out_parent(timeout_ms), Some(address(10)));
    let action = selector.handle_failure(timeout_ms, address(10), Failure::Unreachable, rng);
    assert_eq!(action, attach_to(11, FanOutLimit::Failover));
    let action = selector.handle_timeout(selector.poll_timeout(), rng);
    assert_eq!(action, attach_to(12, FanOutLimit::Failover));
    let action = selector.handle_timeout(selector.poll_timeout(), rng);
    assert!(matches!(action, Some(ParentAction::Find(_))), "{action:?}");
}

/// All origins are at capacity. A relay that each of them has rejected twice can't serve its children, so it must
/// detach them.
#[test]
fn relay_that_each_origin_rejects_twice_detaches_its_children() {
    let rng = &mut Pcg32::seed_from_u64(2);
    let mut selector = selector(rng);
    let mut action = selector.become_relay(300.0, address(1), rng);
    let mut rejections = 0;
    while action != Some(ParentAction::DetachChildren) {
        assert!(rejections < 6 && selector.is_relay());
        if let Some(ParentAction::Attach { to, .. }) = action {
            rejections += 1;
            action = selector.handle_failure(300.0, to, Failure::Rejected, rng);
        } else {
            action = selector.handle_timeout(selector.poll_timeout(), rng);
        }
    }
    assert_eq!(rejections, 6);
}

/// A process is paused twice without reading its connections in between. The parent's timeout must be extended once
/// only, so that a parent that has failed is eventually replaced.
#[test]
fn parent_timeout_is_extended_after_one_pause_only() {
    let rng = &mut Pcg32::seed_from_u64(3);
    let mut selector = attached(rng, 10);
    selector.handle_pause(5000.0);
    assert_eq!(selector.timed_out_parent(5000.0), None);
    selector.handle_pause(10_000.0);
    assert_eq!(selector.timed_out_parent(10_000.0), Some(address(10)));
    selector.handle_message_from(10_000.0, address(11));
    assert_eq!(selector.timed_out_parent(10_000.0), Some(address(10)));
    selector.handle_message_from(10_000.0, address(10));
    selector.handle_pause(15_000.0);
    assert_eq!(selector.timed_out_parent(15_000.0), None);
}

/// No origin answers. The backoff must grow up to its limit, so that listeners do not flood the network.
#[test]
fn backoff_doubles_up_to_its_bound() {
    let rng = &mut Pcg32::seed_from_u64(4);
    let mut selector = selector(rng);
    let config = DistributionConfig::default();
    let mut longest_ms = 0.0;
    for attempt in 0..12 {
        let failed_at_ms = selector.poll_timeout();
        assert_eq!(selector.handle_timeout(failed_at_ms, rng), None);
        let backoff_ms = selector.poll_timeout() - failed_at_ms;
        let bound_ms = (FIRST_BACKOFF_MS * f64::from(1 << attempt)).min(config.max_backoff_ms);
        assert!(backoff_ms >= bound_ms / 4.0 && backoff_ms <= bound_ms, "{attempt}: {backoff_ms}");
        longest_ms = f64::max(longest_ms, backoff_ms);
        let action = selector.handle_timeout(selector.poll_timeout(), rng);
        assert!(matches!(action, Some(ParentAction::Find(_))), "{action:?}");
    }
    assert!(longest_ms > config.max_backoff_ms / 4.0);
}
