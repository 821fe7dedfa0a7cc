use super::*;
use rand::SeedableRng;

fn chance() -> Pcg32 {
    Pcg32::seed_from_u64(7)
}

#[test]
fn repeats_hold_to_the_share_in_any_second_after_a_long_calm() {
    let (mut budget, mut chance) = (RetryBudget::new(&Terms::default()), chance());
    let mut paid = Vec::new();
    // A hundred first tries a second; nothing fails for ten seconds, then all does.
    for n in 0..2000 {
        let now = 1000.0 + f64::from(n) * 10.0;
        budget.first(now, &mut chance);
        if n > 1000 && budget.pay(now, &mut chance) {
            paid.push(now);
        }
    }
    for from in &paid {
        let within = paid.iter().filter(|at| (*from..*from + 1000.0).contains(*at)).count();
        assert!(within <= 9, "{within} within a second");
    }
    assert!(paid.len() >= 60, "{}", paid.len());
}

#[test]
fn a_fleet_of_slow_callers_keeps_to_the_share_together() {
    let mut chance = chance();
    let mut seconds = [0u32; 30];
    for caller in 0..200 {
        let mut budget = RetryBudget::new(&Terms::default());
        for n in 0..90u32 {
            let now = f64::from(caller) + f64::from(n) * 333.0;
            budget.first(now, &mut chance);
            if budget.pay(now, &mut chance) {
                seconds[(now / 1000.0) as usize % 30] += 1;
            }
        }
    }
    // Three first tries a second from each of 200; a tenth would be 60 a second.
    let mean = seconds.iter().sum::<u32>() / 30;
    assert!(seconds.iter().all(|paid| *paid <= 75) && (35..60).contains(&mean), "{seconds:?}");
}

#[test]
fn no_share_pays_nothing_at_all() {
    let terms = Terms { repeat_share: 0.0, ..Terms::default() };
    let (mut budget, mut chance) = (RetryBudget::new(&terms), chance());
    for n in 0..100 {
        budget.first(f64::from(n) * 1000.0, &mut chance);
        assert!(!budget.pay(f64::from(n) * 1000.0, &mut chance));
    }
}

#[test]
fn the_throttle_sends_about_so_many_times_what_is_accepted_and_opens_again() {
    let (mut throttle, mut chance) = (Throttle::new(&Terms::default()), chance());
    let (mut sent_of_late, mut room) = (0, 0);
    // A hundred a second; members accept ten a second.
    for n in 0..6000 {
        let now = f64::from(n) * 10.0;
        room = if n % 10 == 0 { 1 } else { room };
        let sent = throttle.admits(now, &mut chance);
        if sent {
            throttle.ended(now, room > 0);
            room = 0;
        }
        sent_of_late += u32::from(sent && n >= 5000);
    }
    assert!((50..400).contains(&sent_of_late), "{sent_of_late} of 1000");
    let all_after = (0..4000).filter(|n| {
        let now = 60_000.0 + f64::from(*n) * 10.0;
        let sent = throttle.admits(now, &mut chance);
        if sent {
            throttle.ended(now, true);
        }
        sent && *n >= 3900
    });
    assert_eq!(all_after.count(), 100);
}
