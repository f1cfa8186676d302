//! Messages between the proxies of a zone. The names on the wire are those of the first release.

use serde::{Deserialize, Serialize};

/// Path at which the zone's quota proxy lends requests of a tenant's quota.
pub const QUOTA_BORROW_PATH: &str = "/take";

/// Request of a proxy to borrow from a tenant's quota at the zone's quota proxy.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct QuotaBorrowRequest {
    /// Name of the tenant.
    pub tenant: String,
    /// Number of requests to borrow.
    #[serde(rename = "want")]
    pub count: u32,
}

/// Response to a [`QuotaBorrowRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct QuotaBorrowResponse {
    /// Number of granted requests.
    #[serde(rename = "passed")]
    pub granted: u32,
    /// Retry-after time if none is granted, in milliseconds; 0 if the tenant is unknown to the quota proxy.
    #[serde(rename = "wait")]
    pub retry_after_ms: f64,
}
