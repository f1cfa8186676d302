//! Quota grants, which are made while the coordinator role is held here and the registry is in contact with the store.

use super::node::RegistryNode;
use crate::messages::UsageReportRequest;
use ivygate_cluster::{Node, Role};
use ivygate_control_state::{Items, Table};
use ivygate_quota::{QuotaAllocator, QuotaGrant};
use ivygate_rpc::{ErrorKind, RpcError};
use ivygate_time::{millis, Timestamp};
use std::time::Duration;

/// Contact age above which a registry grants no shares.
const MAX_CONTACT_AGE: Duration = Duration::from_millis(3_500);
/// Time after the start within which a registry discovers all nodes, in milliseconds: two heartbeats and their delivery.
const DISCOVERY_PERIOD_MS: f64 = 1_400.0;
/// First epoch, before which no shares were granted.
const FIRST_EPOCH: u64 = 1;

/// Returns the rate limit of a tenant in requests per second; 0 for an unknown tenant.
fn tenant_rate(items: &Items, tenant: &str) -> f64 {
    let rate = items.body(Table::Tenants, tenant).and_then(|body| body.get("ratePerS"));
    rate.and_then(serde_json::Value::as_f64).unwrap_or(0.0)
}

impl RegistryNode {
    /// Handles a proxy's usage report.
    ///
    /// # Errors
    /// Returns `NotReady` if this registry may not grant shares, because another registry does or it is out of contact.
    pub fn handle_usage_report(&self, request: &UsageReportRequest) -> Result<QuotaGrant, RpcError> {
        let not_ready =
            || RpcError::new(ErrorKind::NotReady, "this registry does not grant quota shares at present");
        let items = self.replica.items();
        let (now, contact_age_ms) = (self.now(), self.replica.contact_age_ms());
        let epoch = self.registry.borrow().epoch();
        // The allocator is kept while the registry is out of contact, so that it continues from its earlier grants.
        let holds_role = self.registry.borrow().holds_role(&items);
        if !holds_role || contact_age_ms > millis(MAX_CONTACT_AGE) {
            return Err(not_ready());
        }
        let mut allocator = self.allocator.borrow_mut();
        let allocator = match &mut *allocator {
            Some(allocator) if allocator.epoch() == epoch => allocator,
            other => other.insert(QuotaAllocator::new(now, epoch)),
        };
        // During discovery it is not known which proxies hold shares from an earlier epoch.
        let is_discovering = epoch > FIRST_EPOCH && now < Timestamp::from_millis(DISCOVERY_PERIOD_MS);
        allocator.set_discovering(is_discovering);
        let known_proxies =
            Node::all(&items, Role::Proxy).iter().map(|node| (node.name(), !node.lost)).collect();
        let rate = |tenant: &str| tenant_rate(&items, tenant);
        let grant = allocator.handle_report(
            now,
            contact_age_ms,
            &request.from,
            &request.report,
            &known_proxies,
            rate,
        );
        grant.ok_or_else(not_ready)
    }
}
