use super::*;

const ALGORITHMS: [LimitAlgorithm; 3] =
    [LimitAlgorithm::Aimd, LimitAlgorithm::Gradient, LimitAlgorithm::DelayTarget];
const WIDE_BOUNDS: LimitBounds = LimitBounds { min: 2.0, max: 100.0 };

fn end(limit: &mut ConcurrencyLimit, now_ms: f64, duration_ms: f64, in_flight: usize) {
    limit.record(WorkSample { now_ms, duration_ms, in_flight, outcome: WorkOutcome::Succeeded });
}

/// Simulates as much work as the limit allows, on servers that take `work_ms` per unit and queue the excess. Returns the time
/// of the last end.
fn run_at_limit(limit: &mut ConcurrencyLimit, start_ms: f64, servers: f64, work_ms: f64, ends: u32) -> f64 {
    let mut now_ms = start_ms;
    for _ in 0..ends {
        let in_flight = limit.limit().floor().max(1.0);
        let duration_ms = work_ms * (in_flight / servers).max(1.0);
        now_ms += duration_ms / in_flight;
        end(limit, now_ms, duration_ms, in_flight as usize);
    }
    now_ms
}

#[test]
fn limit_settles_near_the_capacity_of_the_servers() {
    for algorithm in ALGORITHMS {
        let mut limit = ConcurrencyLimit::new(algorithm, WIDE_BOUNDS, 4.0);
        let mut now_ms = run_at_limit(&mut limit, 0.0, 20.0, 10.0, 20_000);
        let mut limits = Vec::new();
        for _ in 0..200 {
            now_ms = run_at_limit(&mut limit, now_ms, 20.0, 10.0, 50);
            limits.push(limit.limit());
        }
        let mean = limits.iter().sum::<f64>() / limits.len() as f64;
        assert!((12.0..60.0).contains(&mean), "{algorithm:?}: mean limit {mean}");
    }
}

#[test]
fn unused_limit_does_not_grow() {
    for algorithm in ALGORITHMS {
        let mut limit = ConcurrencyLimit::new(algorithm, WIDE_BOUNDS, 10.0);
        for n in 0..5000 {
            end(&mut limit, f64::from(n) * 10.0, 10.0, 2);
        }
        assert!(limit.limit() <= 10.0, "{algorithm:?} {}", limit.limit());
    }
}

/// Guards against cuts down to the minimum: a dependency becomes six times as slow regardless of the load, which looks like
/// queueing. The limit must return to near its previous value.
#[test]
fn limit_recovers_if_the_dependency_is_slow_regardless_of_load() {
    for algorithm in ALGORITHMS {
        let mut limit = ConcurrencyLimit::new(algorithm, WIDE_BOUNDS, 20.0);
        let mut now_ms = run_at_limit(&mut limit, 0.0, 1e9, 10.0, 5000);
        let before = limit.limit();
        now_ms = run_at_limit(&mut limit, now_ms, 1e9, 60.0, 30_000);
        assert!(limit.limit() >= 0.8 * before, "{algorithm:?} {} of {before} at {now_ms}", limit.limit());
    }
}

#[test]
fn limit_stays_within_bounds_for_any_samples() {
    for algorithm in ALGORITHMS {
        let mut limit = ConcurrencyLimit::new(algorithm, LimitBounds { min: 3.0, max: 9.0 }, 100.0);
        let durations_ms = [f64::NAN, -1.0, 0.0, 1e12, f64::INFINITY, 5.0];
        for n in 0..3000usize {
            let outcome = if n % 5 != 0 { WorkOutcome::Succeeded } else { WorkOutcome::Failed };
            let duration_ms = durations_ms[n % durations_ms.len()];
            limit.record(WorkSample { now_ms: n as f64, duration_ms, in_flight: n % 17, outcome });
            assert!((3.0..=9.0).contains(&limit.limit()), "{algorithm:?}");
        }
        limit.set_bounds(LimitBounds { min: 1.0, max: 2.0 });
        assert!(limit.limit() <= 2.0);
    }
}
