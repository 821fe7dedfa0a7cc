use super::*;

#[test]
fn body_round_trips_and_malformed_bodies_are_refused() {
    let work = WorkSpec { number: 7, work_ms: 12.5, outbound_calls: 2, idempotency: Idempotency::Keyed };
    assert_eq!(WorkSpec::parse(&work.body()), Some(work));
    for body in [&b"7 NaN 2 t"[..], b"7 1 2", b"\xff", b"7 1 2 q"] {
        assert_eq!(WorkSpec::parse(body), None);
    }
}
