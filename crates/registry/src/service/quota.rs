//! Grants of quota shares, while the coordinator role is held here and the registry is in contact with the store.

use super::node::RegistryNode;
use crate::messages::UsageReportRequest;
use ivygate_cluster::{Node, Role};
use ivygate_control_state::{Items, Table};
use ivygate_quota::{QuotaAllocator, QuotaGrant};
use ivygate_rpc::{ErrorKind, RpcError};
use ivygate_time::{millis, Timestamp};
use std::time::Duration;

/// A registry that was in contact with the store longer ago than this grants nothing.
const MAX_CONTACT_AGE: Duration = Duration::from_millis(3_500);
/// By then a registry has heard of all nodes since its start: two heartbeats, and their way.
const DISCOVERY_PERIOD_MS: f64 = 1_400.0;
/// The epoch before which nobody granted anything.
const FIRST_EPOCH: u64 = 1;

fn tenant_rate(items: &Items, tenant: &str) -> f64 {
    let rate = items.body(Table::Tenants, tenant).and_then(|body| body.get("ratePerS"));
    rate.and_then(serde_json::Value::as_f64).unwrap_or(0.0)
}

impl RegistryNode {
    /// Handles a proxy's report.
    ///
    /// # Errors
    /// `NotReady` if another registry grants shares, or none can.
    pub fn handle_usage_report(&self, request: &UsageReportRequest) -> Result<QuotaGrant, RpcError> {
        let not_ready = || RpcError::new(ErrorKind::NotReady, "another registry grants shares, or none can");
        let items = self.replica.items();
        let (now, contact_age_ms) = (self.now(), self.replica.contact_age_ms());
        let epoch = self.registry.borrow().epoch();
        // What was granted under this epoch is remembered while it is out of contact: it grants on from there.
        let holds_role = self.registry.borrow().holds_role(&items);
        if !holds_role || contact_age_ms > millis(MAX_CONTACT_AGE) {
            return Err(not_ready());
        }
        let mut allocator = self.allocator.borrow_mut();
        let allocator = match &mut *allocator {
            Some(allocator) if allocator.epoch() == epoch => allocator,
            other => other.insert(QuotaAllocator::new(now, epoch)),
        };
        // Before it has heard who is there, it can't tell who has a share of an earlier epoch.
        let is_discovering = epoch > FIRST_EPOCH && now < Timestamp::from_millis(DISCOVERY_PERIOD_MS);
        allocator.set_discovering(is_discovering);
        let known = Node::all(&items, Role::Proxy).iter().map(|node| (node.name(), !node.lost)).collect();
        let rate = |tenant: &str| tenant_rate(&items, tenant);
        let grant =
            allocator.handle_report(now, contact_age_ms, &request.from, &request.report, &known, rate);
        grant.ok_or_else(not_ready)
    }
}
