use super::*;
use rand::SeedableRng;

fn random() -> Pcg32 {
    Pcg32::seed_from_u64(7)
}

/// All is well for ten seconds, then every call fails. What was not used in the calm must not be spent in the first second of trouble.
#[test]
fn retries_after_a_long_calm_hold_to_the_fraction_in_any_second() {
    let (mut budget, mut random) = (RetryBudget::new(&ClientConfig::default()), random());
    let mut paid = Vec::new();
    for n in 0..2000 {
        let now_ms = 1000.0 + f64::from(n) * 10.0;
        budget.deposit(now_ms, &mut random);
        if n > 1000 && budget.try_withdraw(now_ms, &mut random) {
            paid.push(now_ms);
        }
    }
    for from in &paid {
        let within = paid.iter().filter(|at| (*from..*from + 1000.0).contains(*at)).count();
        assert!(within <= 9, "{within} within a second");
    }
    assert!(paid.len() >= 60, "{}", paid.len());
}

#[test]
fn fleet_of_slow_clients_holds_to_the_fraction_together() {
    let mut random = random();
    let mut seconds = [0u32; 30];
    for client in 0..200 {
        let mut budget = RetryBudget::new(&ClientConfig::default());
        for n in 0..90u32 {
            let now_ms = f64::from(client) + f64::from(n) * 333.0;
            budget.deposit(now_ms, &mut random);
            if budget.try_withdraw(now_ms, &mut random) {
                seconds[(now_ms / 1000.0) as usize % 30] += 1;
            }
        }
    }
    // Three first attempts a second from each of 200; a tenth would be 60 a second.
    let mean = seconds.iter().sum::<u32>() / 30;
    assert!(seconds.iter().all(|paid| *paid <= 75) && (35..60).contains(&mean), "{seconds:?}");
}

#[test]
fn fraction_of_zero_allows_no_retry_at_all() {
    let config = ClientConfig { retry_budget_fraction: 0.0, ..ClientConfig::default() };
    let (mut budget, mut random) = (RetryBudget::new(&config), random());
    for n in 0..100 {
        budget.deposit(f64::from(n) * 1000.0, &mut random);
        assert!(!budget.try_withdraw(f64::from(n) * 1000.0, &mut random));
    }
}
