//! What proxies of one zone say to each other. The words on the wire are those of the first release.

use serde::{Deserialize, Serialize};

/// The path at which the zone's quota proxy lends requests of a tenant's quota.
pub const QUOTA_BORROW_PATH: &str = "/take";

/// A proxy asks the zone's quota proxy for requests of a tenant's quota.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct QuotaBorrowRequest {
    /// The tenant.
    pub tenant: String,
    /// How many requests it wants.
    #[serde(rename = "want")]
    pub count: u32,
}

/// How many requests may pass, or how long to stay away.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct QuotaBorrowResponse {
    /// How many may pass.
    #[serde(rename = "passed")]
    pub granted: u32,
    /// How long to stay away where none may, in milliseconds.
    #[serde(rename = "wait")]
    pub retry_after_ms: f64,
}
