use super::*;
use crate::topology::Zone;

fn status(version: u64, is_active: bool, remaining_ms: f64) -> Status {
    let mut plan = TrafficPlan { revision: version, ..TrafficPlan::all_near(2) };
    (0..PRIORITY_BANDS).for_each(|band| plan.shares[band] = vec![0.0, 0.5, 0.5]);
    let zone = |name: &str| Zone { name: name.into(), region: "r".into() };
    Status {
        name: "n1".into(),
        zone: "a".into(),
        zones: vec![zone("a"), zone("b")],
        version,
        is_active,
        plan,
        remaining_ms,
        leader: None,
        forecast: None,
        history: Vec::new(),
    }
}

#[test]
fn caller_routes_by_the_members_plan_and_reports_its_attempts() {
    let mut advisor = RoutingAdvisor::new(0, 2, 0.0);
    assert_eq!(advisor.choose_zone(0.0, 0.9, 20.0, 0.7, |_| true), Some(0));
    assert!(
        !advisor.handle_status(0.0, &status(3, false, 0.0)),
        "a member without an active plan provides none"
    );
    assert!(advisor.handle_status(0.0, &status(3, true, 800.0)));
    assert_eq!(advisor.choose_zone(100.0, 0.9, 20.0, 0.2, |_| true), Some(1));
    assert_eq!(advisor.choose_zone(100.0, 0.1, 10.0, 0.7, |_| true), None, "rejected at the origin");
    assert_eq!(advisor.choose_retry_zone(100.0, 0.9, &[1]), None);
    (0..4).for_each(|n| advisor.record_attempt(100.0, 1, n > 0));
    let report = advisor.poll_report(200.0);
    assert_eq!((report.origin, report.demand_elsewhere), (0, [10.0 / 200.0, 0.0, 20.0 / 200.0]));
    assert!(
        (report.attempts[1].attempts - 4.0 * 0.5f64.powf(0.1)).abs() < 1e-9
            && report.attempts[1].answered < report.attempts[1].attempts
    );
    // Redirected work is reported only once, while attempt counts decay.
    let later = advisor.poll_report(1200.0);
    assert_eq!(later.demand_elsewhere, [0.0; PRIORITY_BANDS]);
    assert!(later.attempts[1].attempts < 0.6 * report.attempts[1].attempts);
    // The member's plan expired after 800 ms, and so did the caller's.
    assert_eq!(advisor.choose_zone(801.0, 0.9, 1.0, 0.2, |_| true), Some(0));
}
