use super::*;

#[test]
fn a_schedule_is_determined_by_its_seed_and_matches_its_demand() {
    let drawn = |seed| schedule(seed, 40, 10_000.0, |_| 500.0);
    let (first, same, other) = (drawn(1), drawn(1), drawn(2));
    assert!((4500..5500).contains(&first.len()), "{}", first.len());
    let times = |plan: &[PlannedCall]| plan.iter().map(|p| (p.at_ms.to_bits(), p.client)).collect::<Vec<_>>();
    assert!(times(&first) == times(&same) && times(&first) != times(&other));
    let mean = first.iter().map(|p| p.work.work_ms).sum::<f64>() / first.len() as f64;
    assert!((mean / mean_work_ms() - 1.0).abs() < 0.1, "{mean}");
}

#[test]
fn revenue_counts_within_the_target_and_missing_and_duplicate_results_are_counted() {
    let plan = schedule(3, 1, 100.0, |_| 100.0);
    let in_time = CallResult { outcome: CallOutcome::Succeeded, took_ms: 10.0, ended_at: 0.0 };
    let slow = CallResult { took_ms: 900.0, ..in_time };
    let results: Vec<Vec<CallResult>> = (0..plan.len())
        .map(|n| match n {
            0 => vec![],
            1 => vec![in_time, in_time],
            2 => vec![slow],
            _ => vec![in_time],
        })
        .collect();
    let summary = summarize(&plan, &results);
    assert_eq!((summary.without_result, summary.duplicate_results, summary.late), (1, 1, 0));
    let missing = CLASSES[plan[0].class].revenue + CLASSES[plan[2].class].revenue;
    assert!((summary.revenue - summary.revenue_in_time - missing).abs() < 1e-9);
}
