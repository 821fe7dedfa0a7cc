use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn config(name: &str, reserved: usize, weight: f64) -> CapacityConfig {
    CapacityConfig { name: name.into(), reserved, max: 1000, weight }
}

/// Returns bulkhead 0 with the reserve, and bulkhead 1 with ten times its weight.
fn two_bulkheads(total: usize) -> CapacityAllocator {
    let reserve = Some(Reserve { bulkhead: 0, fraction: 0.1 });
    CapacityAllocator::new(vec![config("cheap", 1, 1.0), config("valuable", 4, 10.0)], reserve, total)
        .expect("valid capacities")
}

/// Starts as much of the waiting work as possible; returns how much started.
fn fill(capacity: &mut CapacityAllocator, bulkhead: usize, waiting: usize) -> usize {
    capacity.set_waiting(bulkhead, waiting);
    (0..waiting).filter(|_| capacity.try_start(bulkhead)).count()
}

/// Guards against idle capacity, and against lent capacity that is not returned: one bulkhead uses everything while the other
/// is idle. When the owner has demand, each end of work must go to it.
#[test]
fn idle_capacity_is_lent_and_returns_with_the_next_end() {
    let mut capacity = two_bulkheads(20);
    assert_eq!(fill(&mut capacity, 0, 100), 20);
    capacity.set_waiting(1, 50);
    assert!(!capacity.try_start(1));
    for _ in 0..10 {
        capacity.end(0);
        assert!(!capacity.try_start(0) && capacity.try_start(1));
    }
}

/// Guards against a reserve that others use: a flood of the valuable class takes everything else.
#[test]
fn reserve_is_left_to_its_owner_under_a_flood_of_others() {
    let mut capacity = two_bulkheads(20);
    assert_eq!(fill(&mut capacity, 1, 500), 18);
    capacity.set_waiting(0, 500);
    assert!(capacity.try_start(0) && capacity.try_start(0) && !capacity.try_start(0));
    capacity.end(0);
    assert!(!capacity.try_start(1) && capacity.try_start(0));
}

#[test]
fn capacity_is_divided_by_weight_if_all_bulkheads_have_demand() {
    let mut capacity = two_bulkheads(44);
    capacity.set_waiting(0, 500);
    capacity.set_waiting(1, 500);
    let allocated = capacity.allocate(&capacity.demand());
    assert_eq!(allocated.iter().sum::<usize>(), 44);
    assert!(allocated[0] >= 4 && allocated[1] >= 36, "{allocated:?}");
}

/// Guards against a lower total that ends work: the work in flight continues, and nothing starts until it fits.
#[test]
fn lower_total_ends_nothing_and_starts_nothing_until_it_fits() {
    let mut capacity = two_bulkheads(20);
    fill(&mut capacity, 1, 18);
    capacity.set_total(6);
    capacity.set_waiting(0, 5);
    for remaining in (5..18).rev() {
        assert!(!capacity.try_start(1) && !capacity.try_start(0));
        capacity.end(1);
        assert_eq!(capacity.in_flight(1), remaining);
    }
    assert!(capacity.try_start(0));
}

#[test]
fn rejected_configuration_is_named() {
    let error = |configs: Vec<CapacityConfig>, total| {
        CapacityAllocator::new(configs, None, total).expect_err("an invalid configuration").to_string()
    };
    assert!(error(vec![], 10).starts_with("no pool"));
    let sum = error(vec![config("a", 6, 1.0), config("b", 5, 1.0)], 10);
    assert_eq!(sum, "the least of all pools add up to 11, and there is room for 10");
    assert!(error(vec![config("a", 1, 0.0)], 10).starts_with("[pool a] weight = 0"));
    let above = CapacityConfig { max: 2, ..config("a", 3, 1.0) };
    assert!(error(vec![above], 10).starts_with("[pool a] least 3 is above most 2"));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// For any order of starts, ends, waiting work, limits and totals: nothing starts above the total, other bulkheads never
    /// use the reserve, no bulkhead exceeds its maximum, and if capacity is free while work waits, some of it may start.
    #[test]
    fn sum_in_flight_never_grows_past_the_total(
        steps in proptest::collection::vec((0u8..5, 0usize..4, 0usize..40), 1..300),
        reservations in proptest::collection::vec(0usize..4, 4),
        fraction in 0.0f64..0.5,
    ) {
        let configs = reservations.iter().enumerate().map(|(n, reserved)| CapacityConfig {
            name: n.to_string(), reserved: *reserved, max: 15, weight: 1.0 + n as f64,
        });
        let reserve = Reserve { bulkhead: 0, fraction };
        let mut capacity = CapacityAllocator::new(configs.collect(), Some(reserve), 30).expect("valid capacities");
        let mut total = 30;
        for (input, bulkhead, number) in steps {
            match input {
                0 => {
                    let before = capacity.total_in_flight();
                    let reserve = (fraction * total as f64).ceil() as usize;
                    if capacity.try_start(bulkhead) {
                        prop_assert!(before < total);
                        prop_assert!(capacity.in_flight(bulkhead) <= 15);
                        let others: usize = (1..4).map(|n| capacity.in_flight(n)).sum();
                        prop_assert!(bulkhead == 0 || others + reserve.max(capacity.in_flight(0)) <= total.max(reserve));
                    }
                }
                1 => capacity.end(bulkhead),
                2 => capacity.set_waiting(bulkhead, number),
                3 => capacity.set_limit(bulkhead, number as f64),
                _ => { total = number; capacity.set_total(number); }
            }
            let allocated = capacity.allocate(&capacity.demand());
            prop_assert!(allocated.iter().sum::<usize>() <= total);
            // No work waits while capacity outside the reserve is free.
            let reserved = ((fraction * total as f64).ceil() as usize).saturating_sub(capacity.in_flight(0));
            let waits = |n: usize| capacity.slots[n].waiting > 0 && capacity.in_flight(n) < 15;
            if capacity.total_in_flight() + reserved < total && (0..4).any(waits) {
                prop_assert!((0..4).any(|n| waits(n) && capacity.may_start(n)), "free capacity while work waits");
            }
        }
    }
}
