use super::*;

fn terms(name: &str, offerings: &[usize], weight: f64) -> Terms {
    Terms {
        name: name.into(),
        offerings: offerings.to_vec(),
        least_runs: 2,
        most_runs: 60,
        least_calls: 1,
        most_calls: 30,
        weight,
    }
}

fn plan() -> Plan {
    let pools = vec![terms("cheap", &[0], 1.0), terms("dear", &[1, 2], 4.0)];
    Plan { pools, reserve: Some(Reserve { pool: 0, share: 0.1 }) }
}

fn pools() -> Pools {
    Pools::new(plan(), 4, 40, 20).expect("fit terms")
}

/// Each pool would have so many runs in hand, of so long each; hands back how many of each ended in the span.
fn plays(pools: &mut Pools, from: f64, span: f64, takes: [f64; 2], asks: [usize; 2]) -> [u32; 2] {
    let mut hand: Vec<(f64, usize, f64)> = Vec::new();
    let (mut ended, mut now) = ([0, 0], from);
    while now < from + span {
        now += 1.0;
        let over: Vec<_> = hand.iter().filter(|(at, ..)| *at <= now).copied().collect();
        hand.retain(|(at, ..)| *at > now);
        for (_, pool, took) in over {
            pools.end(Kind::Run, pool, now, Some(took), true);
            ended[pool] += 1;
        }
        let in_hand =
            |pool: usize, hand: &[(f64, usize, f64)]| hand.iter().filter(|(_, of, _)| *of == pool).count();
        let waiting = [0, 1].map(|pool| asks[pool] - in_hand(pool, &hand));
        for pool in [0, 1] {
            pools.waits(Kind::Run, pool, waiting[pool]);
        }
        for pool in [0, 1] {
            for _ in 0..waiting[pool] {
                if !pools.begin(Kind::Run, pool) {
                    break;
                }
                hand.push((now + takes[pool], pool, takes[pool]));
            }
        }
        assert!(hand.len() <= 40, "{} at {now}", hand.len());
    }
    hand.into_iter().for_each(|(_, pool, _)| pools.end(Kind::Run, pool, now, None, true));
    ended
}

#[test]
fn a_flood_of_the_cheap_does_not_starve_the_dear_and_the_cheap_do_not_die() {
    let alone = plays(&mut pools(), 0.0, 5000.0, [20.0, 20.0], [0, 24])[1];
    let [cheap, dear] = plays(&mut pools(), 0.0, 5000.0, [20.0, 20.0], [240, 24]);
    assert!(f64::from(dear) >= 0.97 * f64::from(alone), "{dear} of {alone}");
    assert!(cheap >= 500, "{cheap}");
}

#[test]
fn a_costly_burst_in_one_pool_shrinks_that_one_alone() {
    let mut pools = pools();
    plays(&mut pools, 0.0, 3000.0, [20.0, 20.0], [30, 30]);
    let before = pools.figures(Kind::Run, 1).limit;
    plays(&mut pools, 3000.0, 400.0, [200.0, 20.0], [30, 30]);
    assert!(pools.figures(Kind::Run, 1).limit >= before);
}

#[test]
fn a_pool_whose_traffic_comes_back_after_an_hour_has_its_room_within_one_run() {
    let mut pools = pools();
    plays(&mut pools, 0.0, 2000.0, [20.0, 20.0], [200, 30]);
    plays(&mut pools, 2000.0, 10_000.0, [20.0, 20.0], [200, 0]);
    let ended = plays(&mut pools, 3_600_000.0, 200.0, [20.0, 20.0], [200, 30]);
    assert!(ended[1] >= 150, "{ended:?}");
}

#[test]
fn a_plan_that_shrinks_a_pool_below_what_it_runs_kills_nothing_and_a_bad_one_changes_nothing() {
    let mut pools = pools();
    pools.waits(Kind::Run, 1, 30);
    let begun = (0..30).filter(|_| pools.begin(Kind::Run, 1)).count();
    let bad = Plan { pools: vec![terms("a", &[0], 1.0), terms("b", &[0], 1.0)], reserve: None };
    assert_eq!(pools.replace(bad), Err("[pool b] names an offering of [pool a]".into()));
    assert_eq!(pools.figures(Kind::Run, 1).in_hand, begun);
    let mut small = plan();
    small.pools[1].most_runs = 5;
    pools.replace(small).expect("fit terms");
    pools.waits(Kind::Run, 1, 30);
    for left in (5..begun).rev() {
        assert!(!pools.begin(Kind::Run, 1));
        pools.end(Kind::Run, 1, 1.0, None, true);
        assert_eq!(pools.figures(Kind::Run, 1).in_hand, left);
    }
    pools.end(Kind::Run, 1, 1.0, None, true);
    assert!(pools.begin(Kind::Run, 1) && !pools.begin(Kind::Run, 1));
}

#[test]
fn a_cold_successor_keeps_within_a_bound_below_all_that_is_promised() {
    let mut pools = pools();
    pools.bound(Kind::Run, 3);
    for pool in [0, 1] {
        pools.waits(Kind::Run, pool, 50);
    }
    let begun = (0..50).map(|n| usize::from(pools.begin(Kind::Run, n % 2))).sum::<usize>();
    assert_eq!(begun, 3);
    assert_eq!(pools.pool(3), 0);
}

#[test]
fn a_ledger_that_errs_for_one_pool_leaves_the_others_calls() {
    let mut pools = pools();
    for n in 0..400 {
        for pool in [0, 1] {
            pools.waits(Kind::Call, pool, 5);
            if pools.begin(Kind::Call, pool) {
                pools.end(Kind::Call, pool, f64::from(n) * 10.0, Some(10.0), pool == 1);
            }
        }
    }
    let (failing, well) = (pools.figures(Kind::Call, 0).limit, pools.figures(Kind::Call, 1).limit);
    assert!(failing <= 1.0 && well >= 12.0, "{failing}, {well}");
}

#[test]
fn leasts_beyond_the_ledgers_share_are_refused_with_their_sum() {
    let mut large = plan();
    large.pools[0].least_calls = 25;
    let wrong = Pools::new(large, 4, 40, 20).expect_err("too many");
    assert_eq!(wrong, "the least of all pools add up to 26, and there is room for 20, counted in calls");
}
