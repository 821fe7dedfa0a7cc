//! Tenant quotas.
//!
//! *Decides*: whether an arrival counts as over its tenant's quota, so that it is shed before others.
//! *Inputs*: quota of each tenant over the whole fleet (requests per second), size of the fleet, admitted
//! requests by tenant.
//! *Rule*: a tenant is over quota if its admitted rate on this server exceeds the quota divided by the fleet's
//! size.
//! *Why*: a server sees only its own arrivals, and balancers spread the requests of a tenant about evenly. Only
//! admitted requests count, so that a tenant whose requests are shed returns to within its quota.
//! *Source*: CRE life lessons, "Using load shedding to survive a success disaster": those over quota first.
//! *Without it*: one tenant's flood takes the capacity of other tenants' requests of the same value.

use thiserror::Error;

use crate::admission::statistics::DecayedCount;
use crate::api::BackendConfig;

/// Error of an update with an invalid quota.
#[derive(Clone, Copy, Debug, PartialEq, Error)]
pub(super) enum TenantQuotaError {
    #[error(
        "tenant quotas unchanged: {quota_per_s} per second for tenant {tenant} of {tenants} is not valid"
    )]
    Invalid { quota_per_s: f64, tenant: usize, tenants: usize },
}

/// Quotas, and decayed counts of admitted requests.
pub(super) struct TenantQuotas {
    quotas_per_s: Vec<f64>,
    admitted: Vec<DecayedCount>,
    fleet_size: f64,
}

impl TenantQuotas {
    pub(super) fn new(now_ms: f64, config: &BackendConfig) -> Self {
        TenantQuotas {
            quotas_per_s: config.tenant_quotas_per_s.clone(),
            admitted: vec![DecayedCount::new(now_ms); config.tenant_quotas_per_s.len()],
            fleet_size: config.fleet_size,
        }
    }

    pub(super) fn is_over_quota(&self, tenant: usize, now_ms: f64) -> bool {
        let quota_per_s = self.quotas_per_s.get(tenant).map(|quota| quota / self.fleet_size);
        let admitted = self.admitted.get(tenant).zip(quota_per_s);
        admitted.is_some_and(|(admitted, quota_per_s)| admitted.rate_per_s(now_ms) > quota_per_s)
    }

    pub(super) fn record_admission(&mut self, tenant: usize, now_ms: f64) {
        if let Some(admitted) = self.admitted.get_mut(tenant) {
            admitted.increment(now_ms);
        }
    }

    /// Updates the quotas of the given tenants and leaves the counts. If any is not valid, none changes.
    pub(super) fn update(&mut self, changed: &[(usize, f64)]) -> Result<(), TenantQuotaError> {
        let tenants = self.quotas_per_s.len();
        let is_valid = |&&(tenant, quota_per_s): &&(usize, f64)| {
            tenant < tenants && quota_per_s.is_finite() && quota_per_s >= 0.0
        };
        if let Some(&(tenant, quota_per_s)) = changed.iter().find(|change| !is_valid(change)) {
            return Err(TenantQuotaError::Invalid { quota_per_s, tenant, tenants });
        }
        changed.iter().for_each(|&(tenant, quota_per_s)| self.quotas_per_s[tenant] = quota_per_s);
        Ok(())
    }
}

#[cfg(test)]
mod tests;
