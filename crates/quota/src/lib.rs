//! Shares of tenants' quotas under leases, so that all proxies together pass no more than a tenant's limit: the keeper,
//! which gives parts out, and the rations of one proxy, which uses them.
//!
//! Called by the registry, whose duty the keeper's is, and by the proxy. Must never do I/O or read a clock; time is the
//! caller's steady clock.

mod keeper;
mod rations;

pub use keeper::Keeper;
pub use rations::Rations;

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A point on the caller's steady clock, or a length of time, in milliseconds.
pub type Millis = f64;

/// How long a grant holds, from when the proxy asked for it, by the proxy's clock.
pub const LEASE: Millis = 4_000.0;
/// The part that a proxy goes on using of what it had when its lease has run out: clients that reach only it are served
/// some, and the keeper counts as much for it until it hears of it again.
pub const LAPSED: f64 = 0.5;
/// What all parts of a tenant's quota may add up to: the rule allows a tenth beyond rate and burst.
pub const WHOLE: f64 = 1.1;
/// Requests that the rule allows beyond that in any window, and that all proxies together may store besides their parts
/// of the burst: some less than it allows.
pub const SLACK: f64 = 15.0;
/// The part of the whole that is split evenly for tenants that nobody has asked for.
pub const UNASKED: f64 = 0.6;
/// The part of the whole that is split evenly also for those that are asked for, so that none starts from nothing.
pub const EVEN: f64 = 0.2;

/// What a proxy tells of the tenants that it is asked for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Differs between lives of the proxy.
    pub life: u64,
    /// The epoch of the last grant that it uses; 0 for none.
    #[serde(default)]
    pub epoch: u64,
    /// The number of that grant in its epoch; 0 for none.
    pub number: u64,
    /// The part that it uses of every tenant that it names no part of, as it is in force now.
    pub other: f64,
    /// By tenant: requests asked a second, sent on a second, and the part in use.
    pub tenants: BTreeMap<String, (f64, f64, f64)>,
}

/// What a proxy may use until its lease runs out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The keeper's epoch; one below any that the proxy has heard of counts for nothing.
    pub epoch: u64,
    /// Counts up within an epoch.
    pub number: u64,
    /// How many proxies there may be.
    pub proxies: u32,
    /// The part of every tenant that is not named.
    pub other: f64,
    /// By tenant: the part, and what all proxies are asked in percent of its rate.
    pub tenants: BTreeMap<String, (f64, f64)>,
}
