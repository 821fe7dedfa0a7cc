use super::*;
use rand::SeedableRng;

/// Endpoints accept a tenth of the demand, later all of it. The throttle must send a small multiple of the
/// accepted calls, and then open again.
#[test]
fn throttle_sends_a_multiple_of_the_accepted_calls_and_opens_again() {
    let (mut throttle, mut random) = (Throttle::new(&ClientConfig::default()), Pcg32::seed_from_u64(7));
    let (mut sent_of_last_1000, mut capacity) = (0, 0);
    // 100 calls per second, of which endpoints accept at most ten.
    for n in 0..6000 {
        let now_ms = f64::from(n) * 10.0;
        capacity = if n % 10 == 0 { 1 } else { capacity };
        let sent = throttle.admits(now_ms, &mut random);
        if sent {
            throttle.record(now_ms, if capacity > 0 { Acceptance::Accepted } else { Acceptance::Rejected });
            capacity = 0;
        }
        sent_of_last_1000 += u32::from(sent && n >= 5000);
    }
    assert!((50..400).contains(&sent_of_last_1000), "{sent_of_last_1000} of 1000");
    let sent_of_last_100 = (0..4000).filter(|n| {
        let now_ms = 60_000.0 + f64::from(*n) * 10.0;
        let sent = throttle.admits(now_ms, &mut random);
        if sent {
            throttle.record(now_ms, Acceptance::Accepted);
        }
        sent && *n >= 3900
    });
    assert_eq!(sent_of_last_100.count(), 100);
}
