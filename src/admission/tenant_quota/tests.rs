use super::*;
use crate::admission::random::Pcg32;
use crate::admission::statistics::{decay_factor, HALF_LIFE_MS};
use crate::admission::test_support::{config, is_executed, is_rejected, request, start_backend};
use crate::admission::Backend;
use crate::api::{Request, RunOutcome};

fn with_quotas(tenant_quotas_per_s: Vec<f64>) -> Backend {
    start_backend(BackendConfig { tenant_quotas_per_s, ..config() })
}

/// Returns the recent arrivals in the levels of demoted requests, decayed to `now_ms`.
fn demoted(backend: &Backend, now_ms: f64) -> f64 {
    let arrivals = backend.shedding.arrivals();
    let demoted: f64 = arrivals[..arrivals.len() / 2].iter().sum();
    demoted * decay_factor(now_ms - backend.tally_decay.updated_ms())
}

#[test]
fn a_tenant_is_over_quota_by_its_admitted_rate_on_this_server() {
    let mut quotas =
        TenantQuotas::new(0.0, &BackendConfig { tenant_quotas_per_s: vec![40.0, 40.0], ..config() });
    quotas.admitted = [100.0, 10.0].map(|sum| DecayedCount::from_sum(sum, 0.0)).to_vec();
    assert!(quotas.is_over_quota(0, 0.0) && !quotas.is_over_quota(1, 0.0));
}

/// Reference implementation in which every tenant's count decays at every arrival.
struct EagerCounts {
    counts: Vec<f64>,
    updated_ms: f64,
}

impl EagerCounts {
    fn advance_to(&mut self, now_ms: f64) {
        let factor = 0.5f64.powf((now_ms - self.updated_ms) / HALF_LIFE_MS);
        self.counts.iter_mut().for_each(|count| *count *= factor);
        self.updated_ms = now_ms;
    }
}

#[test]
fn counts_that_decay_when_read_match_counts_that_decay_at_each_arrival() {
    const TENANTS: usize = 300;
    const NEW_TENANTS: usize = 20;
    for seed in 1..=4 {
        let mut random = Pcg32::new(seed);
        let quotas: Vec<f64> = (0..TENANTS).map(|_| 40.0 * random.next_fraction()).collect();
        let mut backend = with_quotas(quotas.clone());
        let mut eager = EagerCounts { counts: vec![0.0; TENANTS], updated_ms: 0.0 };
        let (mut now_ms, mut over, mut within, mut rejected) = (0.0, 0, 0, 0);
        for step in 1..=10_000u32 {
            now_ms += match (random.next_fraction() * 1000.0) as u32 {
                0 => 3_600_000.0 * random.next_fraction(),
                1..=5 => 5000.0 * random.next_fraction(),
                6..=300 => 0.0,
                _ => 10.0 * random.next_fraction(),
            };
            // The last tenants send their first requests when the others have long been known.
            let known = if step > 7000 { TENANTS } else { TENANTS - NEW_TENANTS };
            let tenant = (random.next_fraction().powi(4) * known as f64) as usize;
            let tenant =
                if step > 7000 && step % 3 == 0 { TENANTS - 1 - step as usize % NEW_TENANTS } else { tenant };
            // An expired request is rejected before it counts for its tenant.
            let deadline_ms = (step % 10 == 0).then_some(now_ms);
            let demoted_before = demoted(&backend, now_ms);
            let effects = backend.handle_request(now_ms, Request { tenant, deadline_ms, ..request(step, 3) });
            eager.advance_to(now_ms);
            let count = eager.counts[tenant];
            if deadline_ms.is_some() {
                assert!(is_rejected(&effects));
                rejected += 1;
            } else {
                assert!(is_executed(&effects, step), "step {step}");
                let quota_per_s = quotas[tenant] / config().fleet_size;
                let rate_per_s = count * 1000.0 * std::f64::consts::LN_2 / HALF_LIFE_MS;
                // A smaller difference may round to either side.
                if (rate_per_s - quota_per_s).abs() > 1e-9 {
                    let was_over = demoted(&backend, now_ms) > demoted_before + 0.5;
                    assert_eq!(
                        was_over,
                        rate_per_s > quota_per_s,
                        "seed {seed}, step {step}, tenant {tenant}"
                    );
                    over += u32::from(was_over);
                    within += u32::from(!was_over);
                }
                eager.counts[tenant] += 1.0;
                drop(backend.handle_run_ended(now_ms, step, RunOutcome::Completed));
            }
            for (actual, count) in backend.tenant_quotas.admitted.iter().zip(&eager.counts) {
                assert!(
                    (actual.value_at(now_ms) - count).abs() <= 1e-9 * count.max(1e-3),
                    "seed {seed}, step {step}"
                );
            }
        }
        assert!(
            over > 1000 && within > 1000 && rejected > 900,
            "over {over}, within {within}, rejected {rejected}"
        );
    }
}

/// Guards against work per arrival that grows with the number of tenants, of which there may be thousands.
#[test]
fn an_arrival_updates_only_its_own_tenant() {
    let mut backend = with_quotas(vec![1e6; 5]);
    for tenant in 0..5 {
        drop(backend.handle_request(0.0, Request { tenant, ..request(1 + tenant as u32, 0) }));
    }
    let before = backend.tenant_quotas.admitted.clone();
    drop(backend.handle_request(700.0, Request { tenant: 2, ..request(9, 0) }));
    let after = &backend.tenant_quotas.admitted;
    let touched: Vec<usize> = (0..5).filter(|tenant| after[*tenant] != before[*tenant]).collect();
    assert_eq!(touched, [2]);
}

#[test]
fn changed_quotas_apply_to_the_next_arrivals_against_the_existing_counts() {
    let mut backend = with_quotas(vec![1e6, 1e6]);
    for id in 1..=8 {
        drop(backend.handle_request(100.0, request(id, 0)));
        drop(backend.handle_run_ended(100.0, id, RunOutcome::Completed));
    }
    // Eight recent requests are 2.77 per second here, so 11.09 over the four servers that share a quota.
    assert!(!backend.tenant_quotas.is_over_quota(0, 100.0));
    let effects = backend.update_tenant_quotas(100.0, &[(0, 11.0)]);
    assert!(effects.announcements.notes.is_empty() && effects.transitions.is_empty());
    let quotas = &backend.tenant_quotas;
    assert!(quotas.is_over_quota(0, 100.0) && !quotas.is_over_quota(1, 100.0));
    assert_eq!(quotas.admitted[0].value_at(100.0), 8.0);
    let is_demoted = |backend: &mut Backend, now_ms, id| {
        let decay_factor = decay_factor(now_ms - backend.tally_decay.updated_ms());
        let before = backend.shedding.arrivals()[0] * decay_factor;
        drop(backend.handle_request(now_ms, Request { deadline_ms: None, ..request(id, 0) }));
        drop(backend.handle_run_ended(now_ms, id, RunOutcome::Completed));
        backend.shedding.arrivals()[0] > before + 0.5
    };
    assert!(is_demoted(&mut backend, 100.0, 20));
    drop(backend.update_tenant_quotas(100.0, &[(0, 13.0), (1, 0.0)]));
    assert!(!is_demoted(&mut backend, 100.0, 21));
    // The count decayed across the change: ten recent requests are five after one half-life.
    let later_ms = 100.0 + HALF_LIFE_MS;
    drop(backend.update_tenant_quotas(later_ms, &[(0, 7.0)]));
    assert!((backend.tenant_quotas.admitted[0].value_at(later_ms) - 5.0).abs() < 1e-9);
    assert!(!is_demoted(&mut backend, later_ms, 22));
    assert!(is_demoted(&mut backend, later_ms, 23));
}

#[test]
fn quotas_that_are_not_valid_change_nothing_and_are_reported() {
    let mut backend = with_quotas(vec![40.0, 50.0]);
    drop(backend.update_tenant_quotas(5.0, &[]));
    let bad =
        [(2, 1.0), (usize::MAX, 1.0), (1, f64::NAN), (1, f64::INFINITY), (1, -1.0), (0, f64::NEG_INFINITY)];
    for (tenant, quota) in bad {
        for changed in [vec![(tenant, quota)], vec![(0, 1.0), (tenant, quota), (1, 2.0)]] {
            let notes = backend.update_tenant_quotas(5.0, &changed).announcements.notes;
            assert_eq!(backend.tenant_quotas.quotas_per_s, [40.0, 50.0]);
            let text =
                format!("tenant quotas unchanged: {quota} per second for tenant {tenant} of 2 is not valid");
            assert_eq!(notes, [text]);
        }
    }
    assert!(backend.update_tenant_quotas(5.0, &[(0, 0.0), (1, f64::MAX)]).announcements.notes.is_empty());
    assert_eq!(backend.tenant_quotas.quotas_per_s, [0.0, f64::MAX]);
    // Without tenants no quota can be changed.
    let effects = start_backend(config()).update_tenant_quotas(5.0, &[(0, 1.0)]);
    assert_eq!(effects.announcements.notes.len(), 1);
}
