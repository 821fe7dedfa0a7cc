use super::*;
use crate::traffic_plan::Zone;

fn status(number: u64, acts: bool, left_ms: f64) -> Status {
    let mut plan = Plan { change: number, ..Plan::near(2) };
    (0..BANDS).for_each(|band| plan.shares[band] = vec![0.0, 0.5, 0.5]);
    let zone = |name: &str| Zone { name: name.into(), region: "r".into() };
    Status {
        name: "n1".into(),
        zone: "a".into(),
        zones: vec![zone("a"), zone("b")],
        number,
        acts,
        plan,
        left_ms,
        leader: None,
        forecast: None,
        history: Vec::new(),
    }
}

#[test]
fn a_caller_goes_by_what_it_heard_and_tells_what_it_saw() {
    let mut guide = Guide::new(0, 2, 0.0);
    assert_eq!(guide.first(0.0, 0.9, 20.0, 0.7, |_| true), Some(0));
    assert!(!guide.hear(0.0, &status(3, false, 0.0)), "a member that acts by none tells of none");
    assert!(guide.hear(0.0, &status(3, true, 800.0)));
    assert_eq!(guide.first(100.0, 0.9, 20.0, 0.2, |_| true), Some(1));
    assert_eq!(guide.first(100.0, 0.1, 10.0, 0.7, |_| true), None, "cut at its origin");
    assert_eq!(guide.again(100.0, 0.9, &[1]), None);
    (0..4).for_each(|n| guide.saw(100.0, 1, n > 0));
    let told = guide.outside(200.0);
    assert_eq!((told.origin, told.away), (0, [10.0 / 200.0, 0.0, 20.0 / 200.0]));
    assert!((told.tried[1][0] - 4.0 * 0.5f64.powf(0.1)).abs() < 1e-9 && told.tried[1][1] < told.tried[1][0]);
    // What went away was told; what was seen fades.
    let later = guide.outside(1200.0);
    assert_eq!(later.away, [0.0; BANDS]);
    assert!(later.tried[1][0] < 0.6 * told.tried[1][0]);
    // The member's plan had 800 ms left, so has this one.
    assert_eq!(guide.first(801.0, 0.9, 1.0, 0.2, |_| true), Some(0));
}
