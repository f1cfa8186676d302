//! Bound on the age of the control state that a proxy acts on.
//!
//! A change is acknowledged once a quorum of the store has it, whether or not a proxy is reachable. So a proxy can vouch for its
//! state only as of its last contact with a quorum, and holds that contact as a lease: when it expires, the proxy rejects new
//! requests and sends no attempt, whatever kept the state away.

use ivygate_cluster::StateReplica;
use ivygate_rpc::BootstrapSettings;
use ivygate_runtime::SendGuard;
use ivygate_time::Millis;
use std::rc::Rc;

/// Operating rules that bound the time, in seconds, from the acknowledgement of a change until it is in force everywhere.
const PROPAGATION_BOUNDS: [&str; 3] = ["applyS", "evacS", "drainS"];
/// Propagation bound if the operating rules set none, in seconds.
const DEFAULT_PROPAGATION_BOUND_S: f64 = 5.0;
/// Part of the bound that is left for a written request to arrive at its server.
const DELIVERY_TIME_MS: Millis = 1_000.0;
/// Lower limit of the lease. Contact is renewed by calls over the network and can't be younger at all times.
const MIN_LEASE_MS: Millis = 1_000.0;

/// Lease on control state: a proxy acts on its state only while its contact with the store is recent.
pub(crate) struct StateLease {
    replica: Rc<StateReplica>,
    duration_ms: Millis,
}

impl StateLease {
    /// Creates the lease on a replica, with a duration that keeps every propagation bound of the operating rules.
    pub fn new(settings: &BootstrapSettings, replica: Rc<StateReplica>) -> Self {
        let bounds = PROPAGATION_BOUNDS.map(|rule| settings.bound(rule, DEFAULT_PROPAGATION_BOUND_S));
        let shortest_ms = 1000.0 * bounds.into_iter().fold(f64::INFINITY, f64::min);
        Self { replica, duration_ms: (shortest_ms - DELIVERY_TIME_MS).max(MIN_LEASE_MS) }
    }

    /// Returns whether the proxy may act on its control state.
    pub fn is_valid(&self) -> bool {
        self.replica.contact_age_ms() <= self.duration_ms
    }
}

impl SendGuard for StateLease {
    fn may_send(&self) -> bool {
        self.is_valid()
    }
}
