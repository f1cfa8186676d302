//! SIGHUP: the node reloads its configuration while it serves requests.

mod support;

use std::sync::atomic::Ordering;
use std::time::Duration;
use support::*;

/// Returns a discovery agent with one app server, and its list.
fn discovery(rev: u64, uid: &str, app: &AppServer) -> (Discovery, String) {
    let list = listing(rev, true, &[target(uid, app.address, "north", "SERVING")]);
    (Discovery::start(list.clone()), list)
}

#[test]
fn reload_changes_the_discovery_agent_only() {
    let apps = [
        AppServer::start(|_| Reply::Slow(Duration::from_millis(300))),
        AppServer::start(|_| Reply::ok("new")),
    ];
    let (first, known) = discovery(50, "a", &apps[0]);
    // The second agent has other version numbers.
    let (second, _) = discovery(3, "b", &apps[1]);
    let node = Node::start(&config(first.address, &known, SETTINGS, 1024));
    let mut client = node.client();
    client.write(request("order", "r1").as_bytes());
    wait_until("the attempt has been sent", || apps[0].request_count() == 1);
    node.reload(&config(second.address, "null", SETTINGS, 1024));
    assert_eq!(client.read().map(|response| response.status()), Some(200));
    wait_until("the new server is used", || client.ask(&request("read", "r")).body == b"new");
    wait_until("the new agent is watched", || second.watched.load(Ordering::SeqCst) == 1);
    let drained = target("b", apps[1].address, "north", "DRAINING");
    second.push(&listing(4, false, &[drained, target("c", apps[0].address, "north", "SERVING")]));
    wait_until("its changes are applied", || client.ask(&request("read", "r")).body == b"late");
}

#[test]
fn invalid_configuration_changes_nothing() {
    let apps = [AppServer::start(|_| Reply::ok("old")), AppServer::start(|_| Reply::ok("new"))];
    let (first, known) = discovery(1, "a", &apps[0]);
    let (second, _) = discovery(1, "b", &apps[1]);
    let mut node = Node::start(&config(first.address, &known, SETTINGS, 1024));
    let valid = config(second.address, "null", SETTINGS, 1024);
    node.reload(&valid[..valid.len() / 2]);
    for number in 0..20 {
        assert_eq!(node.ask(&request("read", &format!("r{number}"))).body, b"old");
    }
    assert!(node.runs());
    // The node still reloads valid configurations, several in a row, and handles SIGTERM in between.
    node.reload(&valid);
    node.reload(&valid);
    wait_until("the new server is used", || node.ask(&request("read", "r")).body == b"new");
    node.terminate();
    node.reload(&valid);
    assert_eq!(node.exit_code(), Some(0));
}
