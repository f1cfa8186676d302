//! Members of the configuration store according to control state.

use ivygate_control_state::{Items, Table, MEMBERSHIP_ITEM};
use std::net::Ipv4Addr;

/// Returns the machines of the store's members, or an empty list if they are not known.
pub fn store_members(items: &Items) -> Vec<Ipv4Addr> {
    let body = items.body(Table::Membership, MEMBERSHIP_ITEM);
    let members = body.and_then(|body| body.get("members")).cloned();
    members.and_then(|members| serde_json::from_value(members).ok()).unwrap_or_default()
}
