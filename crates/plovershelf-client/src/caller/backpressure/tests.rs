use super::*;
use rand::SeedableRng;

/// A later Retry-After that ends earlier, or an answer without one, does not cut the first short; one that is too long is cut.
#[test]
fn longest_retry_after_holds_up_to_the_bound() {
    let (mut state, config) = (Backpressure::default(), ClientConfig::default());
    let of = |retry_after_ms| ServerSignals { retry_after_ms, ..ServerSignals::default() };
    for retry_after_ms in [Some(500.0), Some(100.0), None] {
        state.record(10.0, &of(retry_after_ms), &config);
        assert_eq!(state.retry_after_until_ms(), 510.0);
    }
    state.record(10.0, &of(Some(1e9)), &config);
    assert_eq!(state.retry_after_until_ms(), 10.0 + config.max_retry_after_ms);
}

#[test]
fn advised_value_holds_for_its_time_only() {
    let config =
        ClientConfig { backpressure: BackpressureSignal::MinimumPriority, ..ClientConfig::default() };
    let (mut state, mut random) = (Backpressure::default(), Pcg32::seed_from_u64(1));
    let signals = ServerSignals { backpressure: Some(0.6), ..ServerSignals::default() };
    state.record(0.0, &signals, &config);
    let load = AddedLoad { priority: 0.5, in_flight: 0 };
    let mut until = |now_ms| state.advises_against_until(now_ms, load, &config, &mut random);
    assert_eq!((until(999.0), until(1000.0)), (Some(1000.0), None));
}
