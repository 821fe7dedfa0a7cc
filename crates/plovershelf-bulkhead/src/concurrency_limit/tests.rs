use super::*;

const WAYS: [Way; 3] = [Way::Additive, Way::Gradient, Way::Standing];
const WIDE: Bounds = Bounds { least: 2.0, most: 100.0 };

/// A place with so many servers where work takes `work_ms` each and the rest stands in line.
fn settles(limit: &mut Limit, from: f64, servers: f64, work_ms: f64, ends: u32) -> f64 {
    let mut now = from;
    for _ in 0..ends {
        let in_hand = limit.value().floor().max(1.0);
        let took = work_ms * (in_hand / servers).max(1.0);
        now += took / in_hand;
        limit.ended(now, took, in_hand as usize, true);
    }
    now
}

#[test]
fn each_way_settles_near_what_the_servers_take() {
    for way in WAYS {
        let mut limit = Limit::new(way, WIDE, 4.0);
        let now = settles(&mut limit, 0.0, 20.0, 10.0, 20_000);
        let mut seen = Vec::new();
        let mut now = now;
        for _ in 0..200 {
            now = settles(&mut limit, now, 20.0, 10.0, 50);
            seen.push(limit.value());
        }
        let mean = seen.iter().sum::<f64>() / seen.len() as f64;
        assert!((12.0..60.0).contains(&mean), "{way:?} {mean}");
    }
}

#[test]
fn a_limit_that_is_not_used_does_not_grow() {
    for way in WAYS {
        let mut limit = Limit::new(way, WIDE, 10.0);
        for n in 0..5000 {
            limit.ended(f64::from(n) * 10.0, 10.0, 2, true);
        }
        assert!(limit.value() <= 10.0, "{way:?} {}", limit.value());
    }
}

#[test]
fn a_place_that_is_slow_by_itself_is_not_taken_for_a_crowd_for_good() {
    for way in WAYS {
        let mut limit = Limit::new(way, WIDE, 20.0);
        let mut now = settles(&mut limit, 0.0, 1e9, 10.0, 5000);
        let before = limit.value();
        // Six times as slow from now on, whatever is in hand.
        now = settles(&mut limit, now, 1e9, 60.0, 30_000);
        assert!(limit.value() >= 0.8 * before, "{way:?} {} of {before} at {now}", limit.value());
    }
}

#[test]
fn bounds_hold_whatever_comes() {
    for way in WAYS {
        let mut limit = Limit::new(way, Bounds { least: 3.0, most: 9.0 }, 100.0);
        let odd = [f64::NAN, -1.0, 0.0, 1e12, f64::INFINITY, 5.0];
        for n in 0..3000usize {
            limit.ended(n as f64, odd[n % odd.len()], n % 17, n % 5 != 0);
            assert!((3.0..=9.0).contains(&limit.value()), "{way:?}");
        }
        limit.rebound(Bounds { least: 1.0, most: 2.0 });
        assert!(limit.value() <= 2.0);
    }
}
