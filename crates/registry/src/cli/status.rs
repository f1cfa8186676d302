//! Text output of the status of a core machine.

use ivygate_cluster::Node;
use ivygate_control_state::{Items, Table};
use serde_json::Value;

/// Describes the status of the store, the coordinator and the nodes.
pub(super) fn describe(status: &Value, items: &Items) -> String {
    let mut lines = vec![store_line(&status["store"])];
    lines.push(format!("coordinator: {} under epoch {}", status["warden"]["holder"], status["epoch"]));
    let contact_age_ms = status["ageMs"].as_f64().unwrap_or(f64::NAN);
    lines.push(format!(
        "servers: {}; in contact with the store {contact_age_ms:.0} ms ago",
        status["servers"]
    ));
    for (name, body) in items.live(Table::Nodes) {
        if let Some(node) = Node::from_body(body) {
            lines.push(format!("{name} {} {}", node.zone, node_state(&node)));
        }
    }
    lines.join("\n")
}

fn store_line(store: &Value) -> String {
    format!(
        "store: {}, {} items, digest {}; {} members",
        store["standing"].as_str().unwrap_or("unknown"),
        store["items"],
        store["digest"].as_str().unwrap_or("-"),
        store["members"].as_array().map_or(0, Vec::len),
    )
}

fn node_state(node: &Node) -> &'static str {
    match node {
        Node { lost: true, .. } => "lost",
        Node { leaving: true, .. } => "leaving",
        Node { ready: false, .. } => "not ready",
        _ => "ready",
    }
}
