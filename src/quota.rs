//! Quotas of tenants: what each tenant has left of its share of the fleet, at one router of many.

use serde::{Deserialize, Serialize};

use crate::api::{Millis, Tenant};

/// Smallest burst in queries that fits into a tenant's quota, for quotas of less than this per second.
const MIN_BURST: f64 = 5.0;

/// A token bucket per tenant: the tokens that are left, in queries, and the time of the last update.
#[derive(Debug, Default, Clone, Serialize, Deserialize)]
pub struct Quotas(Vec<(f64, Millis)>);

impl Quotas {
    /// Creates a bucket with the quota of one second for each tenant.
    pub fn new(tenants: &[Tenant], now: Millis) -> Self {
        Quotas(tenants.iter().map(|tenant| (tenant.quota_per_s, now)).collect())
    }

    /// Takes a token for a query of a tenant and returns whether the query is within its quota. Every
    /// router has an even part of the quota. Queries without a tenant are always within it.
    pub fn charge(&mut self, tenant: usize, tenants: &[Tenant], routers: u32, now: Millis) -> bool {
        let Some((bucket, limits)) = self.0.get_mut(tenant).zip(tenants.get(tenant)) else { return true };
        let rate = limits.quota_per_s / f64::from(routers);
        let tokens = (bucket.0 + rate * (now - bucket.1) / 1000.0).min(rate.max(MIN_BURST));
        // A query beyond the quota takes the rest of the token too: a tenant that keeps asking for more
        // stays beyond its quota.
        *bucket = ((tokens - 1.0).max(0.0), now);
        tokens >= 1.0
    }
}

#[cfg(test)]
mod tests;
