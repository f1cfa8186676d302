//! Tenants' quotas over all proxies: a share of each is leased to every proxy, so that all together pass no more than the
//! tenant's rate limit.
//!
//! [`QuotaAllocator`] deals out the shares; it runs in the registry that holds the coordinator role. [`LeasedQuota`] uses those
//! of one proxy. Neither does I/O or reads a clock; each has the clock of its own process.

mod allocator;
mod leased_quota;
mod messages;
mod proxy_record;

pub use allocator::QuotaAllocator;
pub use leased_quota::LeasedQuota;
pub use messages::{QuotaGrant, TenantGrant, TenantUsage, UsageReport};

use std::time::Duration;

/// How long a grant holds, from when the proxy asked for it, by the proxy's clock.
pub const LEASE_DURATION: Duration = Duration::from_millis(4_000);
/// The part of its shares that a proxy goes on using when its lease has expired: clients that reach only it are served some,
/// and the allocator counts as much for it until it hears of it again.
pub const EXPIRED_LEASE_RATIO: f64 = 0.5;
/// What all shares of a tenant's quota may add up to: the rule allows a tenth beyond rate and burst.
pub const MAX_TOTAL_SHARE: f64 = 1.1;
/// Requests that all proxies together may store besides their shares of the burst: some less than the rule allows beyond rate
/// and burst in any window.
pub const BURST_SLACK_REQUESTS: f64 = 15.0;
/// The part of the total that is split evenly for tenants that nobody has asked for.
pub const IDLE_TENANT_RATIO: f64 = 0.6;
/// The part of the total that is split evenly also for those that are asked for, so that none starts from nothing.
pub const EVEN_SPLIT_RATIO: f64 = 0.2;
