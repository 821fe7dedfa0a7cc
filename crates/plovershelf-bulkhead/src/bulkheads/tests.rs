use super::*;

fn config(name: &str, classes: &[usize], weight: f64) -> BulkheadConfig {
    BulkheadConfig {
        name: name.into(),
        classes: classes.to_vec(),
        reserved_runs: 2,
        max_runs: 60,
        reserved_calls: 1,
        max_calls: 30,
        weight,
    }
}

/// A run in flight.
struct Run {
    ends_ms: f64,
    bulkhead: usize,
    run_ms: f64,
}

fn plan() -> BulkheadPlan {
    let bulkheads = vec![config("cheap", &[0], 1.0), config("valuable", &[1, 2], 4.0)];
    BulkheadPlan { bulkheads, reserve: Some(Reserve { bulkhead: 0, fraction: 0.1 }) }
}

fn bulkheads() -> AdaptiveBulkheads {
    AdaptiveBulkheads::new(plan(), 4, 40, 20).expect("valid plan")
}

/// Simulates bulkheads that each want `wanted` runs in flight of `run_ms` each. Returns how many runs of each ended.
fn simulate(
    bulkheads: &mut AdaptiveBulkheads,
    start_ms: f64,
    duration_ms: f64,
    run_ms: [f64; 2],
    wanted: [usize; 2],
) -> [u32; 2] {
    let mut in_flight: Vec<Run> = Vec::new();
    let (mut ended, mut now_ms) = ([0, 0], start_ms);
    while now_ms < start_ms + duration_ms {
        now_ms += 1.0;
        for run in in_flight.extract_if(.., |run| run.ends_ms <= now_ms) {
            let Run { bulkhead, run_ms, .. } = run;
            bulkheads.end(WorkKind::Run, bulkhead, now_ms, Some(run_ms), WorkOutcome::Succeeded);
            ended[bulkhead] += 1;
        }
        let count = |bulkhead: usize| in_flight.iter().filter(|run| run.bulkhead == bulkhead).count();
        let waiting = [0, 1].map(|bulkhead| wanted[bulkhead] - count(bulkhead));
        for bulkhead in [0, 1] {
            bulkheads.set_waiting(WorkKind::Run, bulkhead, waiting[bulkhead]);
        }
        for bulkhead in [0, 1] {
            for _ in 0..waiting[bulkhead] {
                if !bulkheads.try_start(WorkKind::Run, bulkhead) {
                    break;
                }
                in_flight.push(Run {
                    ends_ms: now_ms + run_ms[bulkhead],
                    bulkhead,
                    run_ms: run_ms[bulkhead],
                });
            }
        }
        assert!(in_flight.len() <= 40, "{} at {now_ms}", in_flight.len());
    }
    for run in in_flight {
        bulkheads.end(WorkKind::Run, run.bulkhead, now_ms, None, WorkOutcome::Succeeded);
    }
    ended
}

/// Guards against starvation: the cheap class demands ten times the capacity. The valuable class must hardly be
/// affected, and the cheap class must still be served.
#[test]
fn flood_of_the_cheap_class_starves_neither_class() {
    let alone = simulate(&mut bulkheads(), 0.0, 5000.0, [20.0, 20.0], [0, 24])[1];
    let [cheap, valuable] = simulate(&mut bulkheads(), 0.0, 5000.0, [20.0, 20.0], [240, 24]);
    assert!(f64::from(valuable) >= 0.97 * f64::from(alone), "{valuable} of {alone}");
    assert!(cheap >= 500, "{cheap}");
}

/// Guards against coupled limits: the work of one bulkhead takes ten times as long, and the other's limit must not fall.
#[test]
fn long_work_in_one_bulkhead_does_not_lower_the_limit_of_another() {
    let mut bulkheads = bulkheads();
    simulate(&mut bulkheads, 0.0, 3000.0, [20.0, 20.0], [30, 30]);
    let before = bulkheads.status(WorkKind::Run, 1).limit;
    simulate(&mut bulkheads, 3000.0, 400.0, [200.0, 20.0], [30, 30]);
    assert!(bulkheads.status(WorkKind::Run, 1).limit >= before);
}

/// Guards against lent capacity that is not returned: a bulkhead lends everything during an hour without traffic. When its
/// traffic resumes, its capacity must return within one run.
#[test]
fn lent_capacity_returns_within_one_run_after_an_idle_hour() {
    let mut bulkheads = bulkheads();
    simulate(&mut bulkheads, 0.0, 2000.0, [20.0, 20.0], [200, 30]);
    simulate(&mut bulkheads, 2000.0, 10_000.0, [20.0, 20.0], [200, 0]);
    let ended = simulate(&mut bulkheads, 3_600_000.0, 200.0, [20.0, 20.0], [200, 30]);
    assert!(ended[1] >= 150, "{ended:?}");
}

/// Guards against a new plan that affects running work: if a maximum falls below the work in flight, that work continues
/// and nothing starts until it fits. A rejected plan must change nothing.
#[test]
fn lower_maximum_ends_nothing_and_rejected_plan_changes_nothing() {
    let mut bulkheads = bulkheads();
    bulkheads.set_waiting(WorkKind::Run, 1, 30);
    let started = (0..30).filter(|_| bulkheads.try_start(WorkKind::Run, 1)).count();
    let bulkheads_of_one_class = vec![config("a", &[0], 1.0), config("b", &[0], 1.0)];
    let bad = BulkheadPlan { bulkheads: bulkheads_of_one_class, reserve: None };
    let error = bulkheads.replace(bad).expect_err("a class in two bulkheads");
    assert_eq!(error.to_string(), "[pool b] names an offering of [pool a]");
    assert_eq!(bulkheads.status(WorkKind::Run, 1).in_flight, started);
    let mut small = plan();
    small.bulkheads[1].max_runs = 5;
    bulkheads.replace(small).expect("valid plan");
    bulkheads.set_waiting(WorkKind::Run, 1, 30);
    for remaining in (5..started).rev() {
        assert!(!bulkheads.try_start(WorkKind::Run, 1));
        bulkheads.end(WorkKind::Run, 1, 1.0, None, WorkOutcome::Succeeded);
        assert_eq!(bulkheads.status(WorkKind::Run, 1).in_flight, remaining);
    }
    bulkheads.end(WorkKind::Run, 1, 1.0, None, WorkOutcome::Succeeded);
    assert!(bulkheads.try_start(WorkKind::Run, 1) && !bulkheads.try_start(WorkKind::Run, 1));
}

/// Guards against exceeding the total during slow start, when it is below the reservations.
#[test]
fn total_below_the_reservations_is_respected() {
    let mut bulkheads = bulkheads();
    bulkheads.set_total(WorkKind::Run, 3);
    for bulkhead in [0, 1] {
        bulkheads.set_waiting(WorkKind::Run, bulkhead, 50);
    }
    let started = (0..50).map(|n| usize::from(bulkheads.try_start(WorkKind::Run, n % 2))).sum::<usize>();
    assert_eq!(started, 3);
    assert_eq!(bulkheads.bulkhead_of_class(3), 0);
}

/// Guards against coupled limits: all calls of one bulkhead fail. Its limit must fall to the minimum, the other's must not.
#[test]
fn failing_calls_of_one_bulkhead_leave_the_limit_of_another() {
    let mut bulkheads = bulkheads();
    for n in 0..400 {
        for bulkhead in [0, 1] {
            bulkheads.set_waiting(WorkKind::Call, bulkhead, 5);
            let outcome = [WorkOutcome::Failed, WorkOutcome::Succeeded][bulkhead];
            if bulkheads.try_start(WorkKind::Call, bulkhead) {
                bulkheads.end(WorkKind::Call, bulkhead, f64::from(n) * 10.0, Some(10.0), outcome);
            }
        }
    }
    let (failing, healthy) =
        (bulkheads.status(WorkKind::Call, 0).limit, bulkheads.status(WorkKind::Call, 1).limit);
    assert!(failing <= 1.0 && healthy >= 12.0, "{failing}, {healthy}");
}

#[test]
fn reservations_above_the_total_are_rejected_with_their_sum() {
    let mut large = plan();
    large.bulkheads[0].reserved_calls = 25;
    let error =
        AdaptiveBulkheads::new(large, 4, 40, 20).expect_err("reservations above the total").to_string();
    assert_eq!(error, "the least of all pools add up to 26, and there is room for 20, counted in calls");
}

/// Guards against a panic at the start and at a reload: a reservation above the bulkhead's own maximum must be rejected
/// before the limits are built, with a text that names both values, and a reload must change nothing.
#[test]
fn reservation_above_its_own_maximum_is_rejected_at_start_and_reload() {
    let mut above = plan();
    (above.bulkheads[0].reserved_runs, above.bulkheads[0].max_runs) = (10, 5);
    let expected = "[pool cheap] least 10 is above most 5: at most 5, counted in runs";
    let at_start = AdaptiveBulkheads::new(above.clone(), 4, 40, 20).expect_err("above its maximum");
    assert_eq!(at_start.to_string(), expected);
    let mut bulkheads = bulkheads();
    assert_eq!(bulkheads.replace(above).expect_err("above its maximum").to_string(), expected);
    assert_eq!(bulkheads.replace(plan()), Ok(()));
}
