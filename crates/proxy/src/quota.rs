//! Tenants' quotas at one proxy.
//!
//! Each proxy has a leased share of every quota. If its bucket for a tenant is small, the proxy borrows from the zone's quota
//! proxy, which is the first serving proxy of the zone. A few larger buckets cause fewer rejections than many buckets of one
//! request each.

use crate::cluster_client::ClusterClient;
use crate::messages::{QuotaBorrowRequest, QuotaBorrowResponse};
use crate::routing_snapshot::ResolvedTenant;
use ivygate_control_state::Tenant;
use ivygate_quota::LeasedQuota;
use ivygate_time::{MonotonicClock, Timestamp};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Number of requests borrowed in one call.
const BORROWED_AT_ONCE: u32 = 2;
/// Time for which an unused borrowed request remains valid.
const BORROWED_LIFETIME: Duration = Duration::from_millis(800);
/// Number of tenants above which expired borrowed requests are dropped.
const MAX_BORROWING_TENANTS: usize = 4_096;
/// Maximum number of requests lent in one call.
const MAX_LENT_AT_ONCE: u32 = 4;
/// Minimum retry-after time sent to a borrowing proxy, in milliseconds. 0 means that the tenant is unknown.
const MIN_RETRY_AFTER_MS: f64 = 1.0;

/// Unused requests borrowed from a tenant's quota.
struct BorrowedRequests {
    remaining: u32,
    expires_at: Timestamp,
}

/// Quotas of all tenants at one proxy.
pub(crate) struct ProxyQuota {
    clock: MonotonicClock,
    cluster: Rc<ClusterClient>,
    leased: Rc<RefCell<LeasedQuota>>,
    borrowed: RefCell<HashMap<Arc<str>, BorrowedRequests>>,
}

impl ProxyQuota {
    /// Creates the quotas without any grant.
    pub fn new(clock: MonotonicClock, cluster: Rc<ClusterClient>, leased: Rc<RefCell<LeasedQuota>>) -> Self {
        Self { clock, cluster, leased, borrowed: RefCell::default() }
    }

    /// Acquires one request from a tenant's quota.
    ///
    /// # Errors
    /// Returns the retry-after time in milliseconds.
    pub async fn acquire(&self, resolved: &ResolvedTenant) -> Result<(), f64> {
        let Tenant { rate_per_s, burst, .. } = resolved.tenant;
        if rate_per_s <= 0.0 {
            return Ok(());
        }
        let now = self.clock.now();
        let has_small_bucket = self.leased.borrow().has_small_bucket(now, &resolved.name, burst);
        if has_small_bucket {
            if let Some(result) = self.acquire_borrowed(now, &resolved.name).await {
                return result;
            }
        }
        let acquired = self.leased.borrow_mut().acquire(self.clock.now(), &resolved.name, rate_per_s, burst);
        if acquired.is_err() {
            self.cluster.request_quota_report();
        }
        acquired
    }

    /// Acquires a borrowed request, after borrowing some if there is none. Returns `None` if the quota proxy is not available
    /// or does not know the tenant.
    async fn acquire_borrowed(&self, now: Timestamp, tenant: &Arc<str>) -> Option<Result<(), f64>> {
        if self.use_borrowed(now, tenant) {
            return Some(Ok(()));
        }
        match self.cluster.borrow_quota(tenant, BORROWED_AT_ONCE).await? {
            Ok(granted) => {
                let expires_at = self.clock.now() + BORROWED_LIFETIME;
                let borrowed = BorrowedRequests { remaining: granted - 1, expires_at };
                self.borrowed.borrow_mut().insert(tenant.clone(), borrowed);
                Some(Ok(()))
            }
            Err(retry_after_ms) if retry_after_ms > 0.0 => Some(Err(retry_after_ms)),
            Err(_) => None,
        }
    }

    /// Uses a valid borrowed request and returns whether there was one.
    fn use_borrowed(&self, now: Timestamp, tenant: &Arc<str>) -> bool {
        let mut borrowed = self.borrowed.borrow_mut();
        if borrowed.len() > MAX_BORROWING_TENANTS {
            borrowed.retain(|_, requests| now < requests.expires_at);
        }
        match borrowed.get_mut(tenant) {
            Some(requests) if requests.remaining > 0 && now < requests.expires_at => {
                requests.remaining -= 1;
                true
            }
            _ => false,
        }
    }

    /// Lends requests of a tenant's quota to another proxy of the zone. `tenant` is `None` if it is unknown here.
    pub fn lend(&self, tenant: Option<&Tenant>, request: &QuotaBorrowRequest) -> QuotaBorrowResponse {
        let rejected = |retry_after_ms| QuotaBorrowResponse { granted: 0, retry_after_ms };
        let Some(Tenant { rate_per_s, burst, .. }) = tenant else { return rejected(0.0) };
        let mut leased = self.leased.borrow_mut();
        let mut granted = 0;
        while granted < request.count.min(MAX_LENT_AT_ONCE) {
            match leased.acquire(self.clock.now(), &request.tenant, *rate_per_s, *burst) {
                Ok(()) => granted += 1,
                Err(retry_after_ms) if granted == 0 => {
                    self.cluster.request_quota_report();
                    return rejected(retry_after_ms.max(MIN_RETRY_AFTER_MS));
                }
                Err(_) => break,
            }
        }
        QuotaBorrowResponse { granted, retry_after_ms: 0.0 }
    }

    /// Returns an admitted request to the quota because it was not sent to any server.
    pub fn release(&self, tenant: &ResolvedTenant) {
        self.leased.borrow_mut().release(&tenant.name);
    }
}
