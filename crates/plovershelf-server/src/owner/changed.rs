//! Tenants' quotas that come into force while this runs. Without a file of the operator's there is nothing here.

use std::collections::BTreeMap;

use super::Owner;
use crate::changes::Quotas;

/// Where tenants stand among the facts, and what these said at the start.
pub(super) struct Changed {
    places: BTreeMap<Box<str>, usize>,
    began_with: Vec<f64>,
}

impl Changed {
    pub fn new(tenants: &[String], quotas: &[f64]) -> Self {
        let places = tenants.iter().enumerate().map(|(place, name)| (name.as_str().into(), place)).collect();
        Changed { places, began_with: quotas.to_vec() }
    }

    /// By place, the quotas that differ from those that are in force; and how many tenants are none of the settings'.
    fn differing(&self, told: &Quotas, now_in_force: &[f64]) -> (Vec<(usize, f64)>, usize) {
        let mut differing: BTreeMap<usize, f64> = BTreeMap::new();
        if told.whole {
            differing.extend(self.began_with.iter().copied().enumerate());
        }
        let mut unknown = 0;
        for (name, quota) in &told.quotas {
            match self.places.get(name).copied() {
                Some(place) => drop(differing.insert(place, quota.unwrap_or(self.began_with[place]))),
                None => unknown += 1,
            }
        }
        differing.retain(|place, quota| now_in_force[*place] != *quota);
        (differing.into_iter().collect(), unknown)
    }
}

impl Owner {
    pub(super) fn quotas_told(&mut self, told: &Quotas) {
        let Some(changed) = &self.changed else { return };
        let (differing, unknown) = changed.differing(told, &self.start.facts.tenant_quotas);
        for (place, quota) in &differing {
            self.start.facts.tenant_quotas[*place] = *quota;
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
            self.decide(|backend, now| backend.quotas(now, &differing));
        }
    }
}
