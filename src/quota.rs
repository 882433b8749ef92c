//! What each tenant has left of its own share of the fleet, at one router of many.

use serde::{Deserialize, Serialize};

use crate::api::{Millis, Tenant};

/// Queries of a tenant that may come in a clump within its share, if a second's worth is less.
const SLACK: f64 = 5.0;

/// By tenant: what is left, in queries, and when that was reckoned.
#[derive(Debug, Default, Clone, Serialize, Deserialize)]
pub struct Quotas(Vec<(f64, Millis)>);

impl Quotas {
    /// A second's worth for each tenant.
    pub fn new(tenants: &[Tenant], now: Millis) -> Self {
        Quotas(tenants.iter().map(|tenant| (tenant.quota_per_s, now)).collect())
    }

    /// Takes a query of a tenant from this router's part of the tenant's share, which is divided equally
    /// among `routers` routers. Returns whether the query is within it; queries of no tenant always are.
    pub fn take(&mut self, tenant: usize, tenants: &[Tenant], routers: u32, now: Millis) -> bool {
        let Some((bucket, told)) = self.0.get_mut(tenant).zip(tenants.get(tenant)) else { return true };
        let rate = told.quota_per_s / f64::from(routers);
        let left = (bucket.0 + rate * (now - bucket.1) / 1000.0).min(rate.max(SLACK));
        // A query beyond the share also takes what is left of it: a tenant that keeps sending more than its
        // share is beyond it with all its queries.
        *bucket = ((left - 1.0).max(0.0), now);
        left >= 1.0
    }
}

#[cfg(test)]
mod tests;
