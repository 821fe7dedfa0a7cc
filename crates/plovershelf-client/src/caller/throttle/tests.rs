use super::*;
use rand::SeedableRng;

/// Endpoints accept a tenth of the demand, later all of it. The throttle sends a small multiple of what is accepted, and opens again.
#[test]
fn throttle_sends_a_multiple_of_what_is_accepted_and_opens_again() {
    let (mut throttle, mut random) = (Throttle::new(&ClientConfig::default()), Pcg32::seed_from_u64(7));
    let (mut sent_late, mut room) = (0, 0);
    // A hundred a second; endpoints accept ten a second.
    for n in 0..6000 {
        let now_ms = f64::from(n) * 10.0;
        room = if n % 10 == 0 { 1 } else { room };
        let sent = throttle.admits(now_ms, &mut random);
        if sent {
            throttle.record(now_ms, if room > 0 { Acceptance::Accepted } else { Acceptance::Rejected });
            room = 0;
        }
        sent_late += u32::from(sent && n >= 5000);
    }
    assert!((50..400).contains(&sent_late), "{sent_late} of 1000");
    let all_after = (0..4000).filter(|n| {
        let now_ms = 60_000.0 + f64::from(*n) * 10.0;
        let sent = throttle.admits(now_ms, &mut random);
        if sent {
            throttle.record(now_ms, Acceptance::Accepted);
        }
        sent && *n >= 3900
    });
    assert_eq!(all_after.count(), 100);
}
