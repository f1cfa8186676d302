//! Log events about a replica: changed items of operators, and contact with the store lost and restored.

use ivygate_control_state::{Item, Tables};
use ivygate_rpc::RpcError;
use std::net::SocketAddr;
use std::sync::Arc;

/// Contact age above which contact is reported as lost, in milliseconds.
const CONTACT_LOST_AGE_MS: f64 = 2_500.0;
/// Tables whose items operators change.
const OPERATOR_TABLES: Tables = Tables::CONFIG.union(Tables::DRAINS);

/// Logs that items of operators have been merged into the replica, with the first one as an example.
pub(crate) fn log_update(newer: &[Arc<Item>], contact_age_ms: f64) {
    let mut changed = newer.iter().filter(|item| OPERATOR_TABLES.contains(item.key.table.set()));
    if let Some(first) = changed.next() {
        let items = 1 + changed.count();
        let Item { key, version, .. } = &**first;
        tracing::info!(items, table = ?key.table, name = key.name, version, contact_age_ms, "control state updated");
    }
}

/// Reports when contact with the store is lost and restored, with what the pulls did meanwhile.
#[derive(Default)]
pub(crate) struct ContactLog {
    is_lost: bool,
    /// Age at the last report, in milliseconds.
    last_age_ms: f64,
    failed_pulls: u32,
}

impl ContactLog {
    /// Records a response of a parent.
    pub fn record_response(&mut self, parent: SocketAddr, contact_age_ms: f64) {
        self.update(parent, contact_age_ms);
        if !self.is_lost {
            self.failed_pulls = 0;
        }
    }

    /// Records a pull without a response.
    pub fn record_failure(&mut self, parent: SocketAddr, contact_age_ms: f64, error: &RpcError) {
        tracing::debug!(%parent, %error, "pull failed");
        self.failed_pulls += 1;
        self.update(parent, contact_age_ms);
    }

    fn update(&mut self, parent: SocketAddr, contact_age_ms: f64) {
        let was_lost = std::mem::replace(&mut self.is_lost, contact_age_ms > CONTACT_LOST_AGE_MS);
        let failed_pulls = self.failed_pulls;
        if self.is_lost && !was_lost {
            tracing::info!(%parent, contact_age_ms, failed_pulls, "contact with the store lost");
        }
        if was_lost && !self.is_lost {
            let lost_age_ms = self.last_age_ms;
            tracing::info!(%parent, contact_age_ms, lost_age_ms, failed_pulls, "contact with the store restored");
        }
        self.last_age_ms = contact_age_ms;
    }
}
