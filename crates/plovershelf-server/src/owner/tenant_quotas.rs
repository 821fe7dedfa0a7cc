//! Tenants' quotas that come into force while this runs. Without a file of the operator's there is nothing here.

use plovershelf_settings::Names;

use super::Owner;
use crate::config_distribution::Quotas;

/// What the settings said of each tenant, by place: it holds for those that no change names.
pub(super) struct Changed {
    began_with: Vec<f64>,
}

impl Changed {
    pub fn new(quotas: &[f64]) -> Self {
        Changed { began_with: quotas.to_vec() }
    }

    /// By place, the quotas that differ from those that are in force; and how many tenants are none of the settings'.
    fn differing(&self, told: &Quotas, tenants: &Names, in_force: &[f64]) -> (Vec<(usize, f64)>, usize) {
        let known = |(name, quota): (&str, Option<f64>)| {
            tenants.place(name).map(|place| (place, quota.unwrap_or(self.began_with[place])))
        };
        let named: Vec<(usize, f64)> =
            told.quotas.iter().filter_map(|(name, quota)| known((name.as_ref(), *quota))).collect();
        let unknown = told.quotas.len() - named.len();
        let differs = |(place, quota): &(usize, f64)| in_force[*place] != *quota;
        if !told.whole {
            return (named.into_iter().filter(differs).collect(), unknown);
        }
        let mut next = self.began_with.clone();
        named.into_iter().for_each(|(place, quota)| next[place] = quota);
        (next.into_iter().enumerate().filter(differs).collect(), unknown)
    }
}

impl Owner {
    pub(super) fn quotas_told(&mut self, told: &Quotas) {
        let Some(changed) = &self.changed else { return };
        let (differing, unknown) =
            changed.differing(told, &self.startup.tenants, &self.startup.config.tenant_quotas_per_s);
        for (place, quota) in &differing {
            self.startup.config.tenant_quotas_per_s[*place] = *quota;
        }
        let (version, here) = (told.version, differing.len());
        tracing::info!(
            event = "quotas",
            number = version.number,
            here,
            unknown,
            "change {version}: {here} quotas differ here, {unknown} tenants are none of the settings'"
        );
        if !differing.is_empty() {
            self.decide(|backend, now| backend.update_tenant_quotas(now, &differing));
        }
    }
}
