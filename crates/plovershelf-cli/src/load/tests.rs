use super::*;

#[test]
fn a_schedule_follows_from_its_seed_and_keeps_to_its_demand() {
    let of = |seed| schedule(seed, 40, 10_000.0, |_| 500.0);
    let (one, same, other) = (of(1), of(1), of(2));
    assert!((4500..5500).contains(&one.len()), "{}", one.len());
    let times = |plan: &[Planned]| plan.iter().map(|p| (p.at_ms.to_bits(), p.client)).collect::<Vec<_>>();
    assert!(times(&one) == times(&same) && times(&one) != times(&other));
    let mean = one.iter().map(|p| p.work.work_ms).sum::<f64>() / one.len() as f64;
    assert!((mean / mean_work_ms() - 1.0).abs() < 0.1, "{mean}");
}

#[test]
fn revenue_counts_inside_the_contract_time_and_doubles_and_gaps_show() {
    let plan = schedule(3, 1, 100.0, |_| 100.0);
    let well = Result { end: End::Succeeded, took_ms: 10.0, ended_at: 0.0 };
    let slow = Result { took_ms: 900.0, ..well };
    let results: Vec<Vec<Result>> = (0..plan.len())
        .map(|n| match n {
            0 => vec![],
            1 => vec![well, well],
            2 => vec![slow],
            _ => vec![well],
        })
        .collect();
    let sum = sum(&plan, &results);
    assert_eq!((sum.without_result, sum.with_two, sum.late), (1, 1, 0));
    let missing = OFFERINGS[plan[0].offering].revenue + OFFERINGS[plan[2].offering].revenue;
    assert!((sum.revenue - sum.revenue_in_time - missing).abs() < 1e-9);
}
