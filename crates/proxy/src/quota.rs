//! Tenants' quotas at one proxy.
//!
//! Each proxy has a leased share of every quota. Where that share is thin, the first serving proxy of the zone, its quota proxy,
//! holds the zone's: few buckets of some requests reject less than many of one. The others borrow from it.

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

/// Requests that are borrowed at once.
const BORROWED_AT_ONCE: u32 = 2;
/// How long a borrowed request that was not needed may still be used.
const BORROWED_LIFETIME: Duration = Duration::from_millis(800);
/// Of how many tenants borrowed requests are kept.
const MAX_BORROWING_TENANTS: usize = 4_096;
/// Most requests that are lent at once.
const MAX_LENT_AT_ONCE: u32 = 4;
/// The least advice to stay away that is told to a proxy that borrows, in milliseconds: 0 would say that nothing is known.
const MIN_RETRY_AFTER_MS: f64 = 1.0;

/// Requests of a tenant's quota that were borrowed and not used yet.
struct BorrowedRequests {
    left: u32,
    expires_at: Timestamp,
}

/// The quotas of all tenants, at one proxy.
pub(crate) struct ProxyQuota {
    clock: MonotonicClock,
    cluster: Rc<ClusterClient>,
    leased: Rc<RefCell<LeasedQuota>>,
    borrowed: RefCell<HashMap<Arc<str>, BorrowedRequests>>,
}

impl ProxyQuota {
    /// Quotas of which nothing was granted yet.
    pub fn new(clock: MonotonicClock, cluster: Rc<ClusterClient>, leased: Rc<RefCell<LeasedQuota>>) -> Self {
        Self { clock, cluster, leased, borrowed: RefCell::default() }
    }

    /// Takes one request off a tenant's quota.
    ///
    /// # Errors
    /// How long to stay away, in milliseconds.
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

    /// Uses a borrowed request, or borrows some. `None` where the quota proxy does not decide it.
    async fn acquire_borrowed(&self, now: Timestamp, tenant: &Arc<str>) -> Option<Result<(), f64>> {
        if self.use_borrowed(now, tenant) {
            return Some(Ok(()));
        }
        match self.cluster.borrow_quota(tenant, BORROWED_AT_ONCE).await? {
            Ok(granted) => {
                let expires_at = self.clock.now() + BORROWED_LIFETIME;
                let borrowed = BorrowedRequests { left: granted - 1, expires_at };
                self.borrowed.borrow_mut().insert(tenant.clone(), borrowed);
                Some(Ok(()))
            }
            Err(retry_after_ms) if retry_after_ms > 0.0 => Some(Err(retry_after_ms)),
            Err(_) => None,
        }
    }

    fn use_borrowed(&self, now: Timestamp, tenant: &Arc<str>) -> bool {
        let mut borrowed = self.borrowed.borrow_mut();
        if borrowed.len() > MAX_BORROWING_TENANTS {
            borrowed.retain(|_, requests| now < requests.expires_at);
        }
        match borrowed.get_mut(tenant) {
            Some(requests) if requests.left > 0 && now < requests.expires_at => {
                requests.left -= 1;
                true
            }
            _ => false,
        }
    }

    /// Lends requests of a tenant's quota to another proxy of the zone. `None` stands for a tenant that is not known here.
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

    /// A request that had passed was sent to no server.
    pub fn release(&self, tenant: &ResolvedTenant) {
        self.leased.borrow_mut().release(&tenant.name);
    }
}
