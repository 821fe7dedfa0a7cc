use super::*;
use rand::SeedableRng;

/// A later Retry-After that ends earlier, or a response without one, must not shorten the first. A
/// Retry-After above the bound is reduced to it.
#[test]
fn longest_retry_after_applies_up_to_the_bound() {
    let (mut backpressure, config) = (Backpressure::default(), ClientConfig::default());
    let signals = |retry_after_ms| ServerSignals { retry_after_ms, ..ServerSignals::default() };
    for retry_after_ms in [Some(500.0), Some(100.0), None] {
        backpressure.record(10.0, &signals(retry_after_ms), &config);
        assert_eq!(backpressure.retry_after_until_ms(), 510.0);
    }
    backpressure.record(10.0, &signals(Some(1e9)), &config);
    assert_eq!(backpressure.retry_after_until_ms(), 10.0 + config.max_retry_after_ms);
}

#[test]
fn backpressure_level_expires() {
    let config =
        ClientConfig { backpressure: BackpressureSignal::MinimumPriority, ..ClientConfig::default() };
    let (mut backpressure, mut random) = (Backpressure::default(), Pcg32::seed_from_u64(1));
    let signals = ServerSignals { backpressure: Some(0.6), ..ServerSignals::default() };
    backpressure.record(0.0, &signals, &config);
    let load = AttemptLoad { priority: 0.5, in_flight: 0 };
    let mut excluded_until = |now_ms| backpressure.excludes_until(now_ms, load, &config, &mut random);
    assert_eq!((excluded_until(999.0), excluded_until(1000.0)), (Some(1000.0), None));
}
