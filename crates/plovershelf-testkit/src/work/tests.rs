use super::*;

#[test]
fn a_body_tells_the_work_and_others_are_no_work() {
    let work = Work { number: 7, work_ms: 12.5, calls: 2, effect: Effect::Ticketed };
    assert_eq!(Work::parse(&work.body()), Some(work));
    for body in [&b"7 NaN 2 t"[..], b"7 1 2", b"\xff", b"7 1 2 q"] {
        assert_eq!(Work::parse(body), None);
    }
}
