use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn pool(name: &str, least: usize, weight: f64) -> PoolTerms {
    PoolTerms { name: name.into(), least, most: 1000, weight }
}

/// A cheap pool with the reserve, and a dear one.
fn two(total: usize) -> Rooms {
    let reserve = Some(Reserve { pool: 0, share: 0.1 });
    Rooms::new(vec![pool("cheap", 1, 1.0), pool("dear", 4, 10.0)], reserve, total).expect("fit terms")
}

fn fill(rooms: &mut Rooms, pool: usize, waiting: usize) -> usize {
    rooms.waits(pool, waiting);
    (0..waiting).filter(|_| rooms.begin(pool)).count()
}

#[test]
fn unused_room_serves_others_and_comes_back_with_the_next_end() {
    let mut rooms = two(20);
    assert_eq!(fill(&mut rooms, 0, 100), 20);
    rooms.waits(1, 50);
    assert!(!rooms.begin(1));
    for _ in 0..10 {
        rooms.end(0);
        assert!(!rooms.begin(0) && rooms.begin(1));
    }
}

#[test]
fn the_cheapest_find_their_reserve_under_any_flood_of_the_dear() {
    let mut rooms = two(20);
    assert_eq!(fill(&mut rooms, 1, 500), 18);
    rooms.waits(0, 500);
    assert!(rooms.begin(0) && rooms.begin(0) && !rooms.begin(0));
    rooms.end(0);
    assert!(!rooms.begin(1) && rooms.begin(0));
}

#[test]
fn room_goes_by_weight_where_all_ask() {
    let mut rooms = two(44);
    rooms.waits(0, 500);
    rooms.waits(1, 500);
    let shares = rooms.shares();
    assert_eq!(shares.iter().sum::<usize>(), 44);
    assert!(shares[0] >= 4 && shares[1] >= 36, "{shares:?}");
}

#[test]
fn a_bound_that_sinks_kills_nothing_and_lets_nothing_begin_until_it_fits() {
    let mut rooms = two(20);
    fill(&mut rooms, 1, 18);
    rooms.bound(6);
    rooms.waits(0, 5);
    for left in (5..18).rev() {
        assert!(!rooms.begin(1) && !rooms.begin(0));
        rooms.end(1);
        assert_eq!(rooms.in_hand(1), left);
    }
    assert!(rooms.begin(0));
}

#[test]
fn what_is_wrong_with_pools_is_named() {
    let wrong = |pools: Vec<PoolTerms>, total| Rooms::new(pools, None, total).expect_err("wrong");
    assert!(wrong(vec![], 10).starts_with("no pool"));
    let sum = wrong(vec![pool("a", 6, 1.0), pool("b", 5, 1.0)], 10);
    assert_eq!(sum, "the least of all pools add up to 11, and there is room for 10");
    assert!(wrong(vec![pool("a", 1, 0.0)], 10).starts_with("[pool a] weight = 0"));
    let above = PoolTerms { most: 2, ..pool("a", 3, 1.0) };
    assert!(wrong(vec![above], 10).starts_with("[pool a] least 3 is above most 2"));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Whatever begins, ends, waits, adapts and sinks: nothing begins past the bound, the reserve is never taken by
    /// others, no pool passes its most, and where there is room and somebody waits, somebody may begin.
    #[test]
    fn the_sum_never_passes_the_bound(
        steps in proptest::collection::vec((0u8..5, 0usize..4, 0usize..40), 1..300),
        leasts in proptest::collection::vec(0usize..4, 4),
        share in 0.0f64..0.5,
    ) {
        let terms = leasts.iter().enumerate().map(|(n, least)| PoolTerms {
            name: n.to_string(), least: *least, most: 15, weight: 1.0 + n as f64,
        });
        let reserve = Reserve { pool: 0, share };
        let mut rooms = Rooms::new(terms.collect(), Some(reserve), 30).expect("fit terms");
        let mut total = 30;
        for (what, pool, number) in steps {
            match what {
                0 => {
                    let before = rooms.all_in_hand();
                    let room = (share * total as f64).ceil() as usize;
                    if rooms.begin(pool) {
                        prop_assert!(before < total);
                        prop_assert!(rooms.in_hand(pool) <= 15);
                        let others: usize = (1..4).map(|n| rooms.in_hand(n)).sum();
                        prop_assert!(pool == 0 || others + room.max(rooms.in_hand(0)) <= total.max(room));
                    }
                }
                1 => rooms.end(pool),
                2 => rooms.waits(pool, number),
                3 => rooms.limit(pool, number as f64),
                _ => { total = number; rooms.bound(number); }
            }
            let shares = rooms.shares();
            prop_assert!(shares.iter().sum::<usize>() <= total);
            // Nobody is left waiting beside room that is nobody's: the reserve aside.
            let reserved = ((share * total as f64).ceil() as usize).saturating_sub(rooms.in_hand(0));
            let waits = |n: usize| rooms.pools[n].waiting > 0 && rooms.in_hand(n) < 15;
            if rooms.all_in_hand() + reserved < total && (0..4).any(waits) {
                prop_assert!((0..4).any(|n| waits(n) && rooms.may_begin(n)), "idle beside waiting work");
            }
        }
    }
}
