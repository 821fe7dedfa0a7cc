//! Tenant quotas that change at runtime. Without a configuration distribution file this module does nothing.

use plovershelf_settings::Names;

use super::Driver;
use crate::config_distribution::QuotaUpdate;

/// Quotas from the startup settings, in tenant order. They apply to tenants that no change has named.
pub(super) struct InitialQuotas {
    quotas_per_s: Vec<f64>,
}

/// Difference between an update and the quotas in force.
struct QuotaDifference {
    /// Index and new quota of each tenant whose quota differs from the one in force.
    changed: Vec<(usize, f64)>,
    /// Number of tenants in the update that the settings don't list.
    unknown: usize,
}

impl InitialQuotas {
    pub(super) fn new(quotas_per_s: &[f64]) -> Self {
        InitialQuotas { quotas_per_s: quotas_per_s.to_vec() }
    }

    fn difference(&self, update: &QuotaUpdate, tenants: &Names, in_force: &[f64]) -> QuotaDifference {
        let resolve = |(name, quota): (&str, Option<f64>)| {
            tenants.place(name).map(|index| (index, quota.unwrap_or(self.quotas_per_s[index])))
        };
        let named: Vec<(usize, f64)> =
            update.quotas.iter().filter_map(|(name, quota)| resolve((name.as_ref(), *quota))).collect();
        let unknown = update.quotas.len() - named.len();
        let differs = |(index, quota): &(usize, f64)| in_force[*index] != *quota;
        if !update.is_snapshot {
            return QuotaDifference { changed: named.into_iter().filter(differs).collect(), unknown };
        }
        let mut next = self.quotas_per_s.clone();
        named.into_iter().for_each(|(index, quota)| next[index] = quota);
        QuotaDifference { changed: next.into_iter().enumerate().filter(differs).collect(), unknown }
    }
}

impl Driver {
    /// Applies a quota update to the backend.
    pub(super) fn handle_quota_update(&mut self, update: &QuotaUpdate) {
        let Some(initial) = &self.initial_quotas else { return };
        let QuotaDifference { changed, unknown } =
            initial.difference(update, &self.startup.tenants, &self.startup.config.tenant_quotas_per_s);
        for (index, quota_per_s) in &changed {
            self.startup.config.tenant_quotas_per_s[*index] = *quota_per_s;
        }
        let (version, here) = (update.version, changed.len());
        tracing::info!(
            event = "tenant_quotas_updated",
            number = version.number,
            here,
            unknown,
            "change {version}: {here} quotas differ here, {unknown} tenants are not in the settings"
        );
        if !changed.is_empty() {
            self.decide(|backend, now_ms| backend.update_tenant_quotas(now_ms, &changed));
        }
    }
}
