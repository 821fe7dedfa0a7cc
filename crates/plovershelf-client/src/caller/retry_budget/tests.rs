use super::*;
use rand::SeedableRng;

fn random() -> Pcg32 {
    Pcg32::seed_from_u64(7)
}

/// No call fails for ten seconds, then every call does. The budget must not have accumulated, so that the
/// retries of the first second stay within the fraction.
#[test]
fn budget_does_not_accumulate_while_there_are_no_failures() {
    let (mut budget, mut random) = (RetryBudget::new(&ClientConfig::default()), random());
    let mut retries = Vec::new();
    for n in 0..2000 {
        let now_ms = 1000.0 + f64::from(n) * 10.0;
        budget.deposit(now_ms, &mut random);
        if n > 1000 && budget.try_withdraw(now_ms, &mut random) {
            retries.push(now_ms);
        }
    }
    for from in &retries {
        let within = retries.iter().filter(|at| (*from..*from + 1000.0).contains(*at)).count();
        assert!(within <= 9, "{within} within a second");
    }
    assert!(retries.len() >= 60, "{}", retries.len());
}

/// Each client of a fleet makes only three calls a second, so that its own allowance is less than one retry.
/// Together, the clients must stay near the fraction.
#[test]
fn fleet_of_clients_with_low_rates_stays_within_the_fraction() {
    let mut random = random();
    let mut retries_per_second = [0u32; 30];
    for client in 0..200 {
        let mut budget = RetryBudget::new(&ClientConfig::default());
        for n in 0..90u32 {
            let now_ms = f64::from(client) + f64::from(n) * 333.0;
            budget.deposit(now_ms, &mut random);
            if budget.try_withdraw(now_ms, &mut random) {
                retries_per_second[(now_ms / 1000.0) as usize % 30] += 1;
            }
        }
    }
    // 200 clients send three first attempts per second each; a tenth of them would be 60 per second.
    let mean = retries_per_second.iter().sum::<u32>() / 30;
    let max_is_bounded = retries_per_second.iter().all(|retries| *retries <= 75);
    assert!(max_is_bounded && (35..60).contains(&mean), "{retries_per_second:?}");
}

#[test]
fn fraction_of_zero_allows_no_retry() {
    let config = ClientConfig { retry_budget_fraction: 0.0, ..ClientConfig::default() };
    let (mut budget, mut random) = (RetryBudget::new(&config), random());
    for n in 0..100 {
        budget.deposit(f64::from(n) * 1000.0, &mut random);
        assert!(!budget.try_withdraw(f64::from(n) * 1000.0, &mut random));
    }
}
