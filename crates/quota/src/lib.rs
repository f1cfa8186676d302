//! Distributed rate limiting: each proxy leases a share of every tenant's quota, so that all proxies together admit no more
//! than the tenant's rate limit.
//!
//! [`QuotaAllocator`] grants the shares and runs in the registry that holds the coordinator role. [`LeasedQuota`] admits
//! requests from the shares of one proxy. Neither performs I/O or reads a clock; the caller passes the time of its own process.

mod allocator;
mod leased_quota;
mod messages;
mod proxy_record;

pub use allocator::QuotaAllocator;
pub use leased_quota::LeasedQuota;
pub use messages::{QuotaGrant, TenantGrant, TenantUsage, UsageReport};

use std::time::Duration;

/// Validity of a grant, counted from the proxy's request for it by the proxy's clock.
pub const LEASE_DURATION: Duration = Duration::from_millis(4_000);
/// Fraction of its shares that a proxy keeps using after its lease has expired, so that clients that reach only this proxy are
/// still served. The allocator counts the same fraction as in use until the proxy reports again.
pub const EXPIRED_LEASE_RATIO: f64 = 0.5;
/// Maximum sum of all shares of a tenant's quota. The quota rule allows a tenth above rate and burst.
pub const MAX_TOTAL_SHARE: f64 = 1.1;
/// Requests that the buckets of all proxies may hold in addition to their shares of the burst. This is below what the
/// quota rule allows above rate and burst in any window.
pub const BURST_SLACK_REQUESTS: f64 = 15.0;
/// Fraction of the total that is split evenly between proxies for tenants without demand.
pub const IDLE_TENANT_RATIO: f64 = 0.6;
/// Fraction of the total that is split evenly between proxies for tenants with demand, so that no proxy starts from zero.
pub const EVEN_SPLIT_RATIO: f64 = 0.2;
