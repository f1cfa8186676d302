//! Keys of tenants, over real sockets with a stub registry.

mod stub;

use ivygate_control_state::{Item, Table};
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use stub::{client, control_state, encode_response, item, request, server, start_proxy, SEALED};

const KEY: &str = "s989anu6wsjnbanfqasn";

/// Returns the control state of the other tests with a route that is not public, and with these tenants.
fn with_private_route(server: SocketAddr, tenants: Vec<Arc<Item>>) -> Vec<Arc<Item>> {
    let route = json!({"vhost": "h.example", "pathPrefix": "/private/", "kind": "mutating", "backend": "s",
        "tries": 2, "timeoutS": 20, "targetS": 5, "public": false});
    let mut items = control_state(server);
    items.push(item(Table::Routes, "private", route));
    items.extend(tenants);
    items
}

/// Returns the statuses of a request without a key and of one with it. Requests that are refused must not be executed.
fn statuses(tenants: Vec<Arc<Item>>) -> (u16, u16) {
    let (server, runs) = server(|id, _| (encode_response("200 OK", id, SEALED), false));
    let proxy = start_proxy(with_private_route(server.address, tenants), &[], Arc::default());
    let without_key = request("private", "a");
    let with_key =
        request("private", "b").replace("Content-Length", &format!("X-Api-Key: {KEY}\r\nContent-Length"));
    let [a, b] = [("a", without_key), ("b", with_key)].map(|(id, request)| {
        let status = client(proxy).ask(&request).status();
        assert_eq!(runs.of(id), usize::from(status == 200), "{id} was answered {status}");
        status
    });
    (a, b)
}

fn tenant() -> Arc<Item> {
    item(Table::Tenants, "t", json!({ "apiKeys": [KEY] }))
}

#[test]
fn private_route_needs_a_key_if_there_are_tenants() {
    assert_eq!(statuses(vec![tenant()]), (401, 200));
    assert_eq!(statuses(Vec::new()), (200, 200), "without tenants there are no keys");
}

/// Guards against opening all routes to everyone by removing the last tenant.
#[test]
fn private_route_takes_no_request_once_the_last_tenant_is_removed() {
    assert_eq!(statuses(vec![Arc::new(Item::new(Table::Tenants, "t", 2, None))]), (401, 401));
}
