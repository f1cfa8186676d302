//! SIGHUP: the node reads its configuration anew and goes on serving.

mod support;

use std::sync::atomic::Ordering;
use std::time::Duration;
use support::*;

/// A list with one app server, and discovery that gives it.
fn discovery(rev: u64, uid: &str, app: &App) -> (Discovery, String) {
    let list = listing(rev, true, &[target(uid, app.address, "north", "SERVING")]);
    (Discovery::start(list.clone()), list)
}

#[test]
fn a_new_configuration_moves_discovery_and_nothing_else() {
    let apps = [App::start(|_| Reply::Slow(Duration::from_millis(300))), App::start(|_| Reply::ok("new"))];
    let (first, known) = discovery(50, "a", &apps[0]);
    // The second agent counts its versions from elsewhere.
    let (second, _) = discovery(3, "b", &apps[1]);
    let node = Node::start(&config(first.address, &known, SETTINGS, 1024));
    let mut client = node.client();
    client.write(request("order", "r1").as_bytes());
    until("the attempt is out", || apps[0].seen() == 1);
    node.reload(&config(second.address, "null", SETTINGS, 1024));
    assert_eq!(client.read().map(|answer| answer.status()), Some(200));
    until("the new server is used", || client.ask(&request("read", "r")).body == b"new");
    until("the new agent is watched", || second.watched.load(Ordering::SeqCst) == 1);
    let drained = target("b", apps[1].address, "north", "DRAINING");
    second.push(&listing(4, false, &[drained, target("c", apps[0].address, "north", "SERVING")]));
    until("its changes are heard", || client.ask(&request("read", "r")).body == b"late");
}

#[test]
fn a_file_that_cannot_be_used_changes_nothing() {
    let apps = [App::start(|_| Reply::ok("old")), App::start(|_| Reply::ok("new"))];
    let (first, known) = discovery(1, "a", &apps[0]);
    let (second, _) = discovery(1, "b", &apps[1]);
    let mut node = Node::start(&config(first.address, &known, SETTINGS, 1024));
    let whole = config(second.address, "null", SETTINGS, 1024);
    node.reload(&whole[..whole.len() / 2]);
    for number in 0..20 {
        assert_eq!(node.ask(&request("read", &format!("r{number}"))).body, b"old");
    }
    assert!(node.runs());
    // It still heeds the next one, several in a row, and SIGTERM beside them.
    node.reload(&whole);
    node.reload(&whole);
    until("the new server is used", || node.ask(&request("read", "r")).body == b"new");
    node.terminate();
    node.reload(&whole);
    assert_eq!(node.exit_code(), Some(0));
}
