//! What must not pile up over a long day, and the rules on servers that have just started and on ceilings.

mod support;

use std::time::{Instant, SystemTime, UNIX_EPOCH};
use support::*;

/// A request of a customer of its own.
fn of_customer(number: u64) -> String {
    let request = request("read", &format!("id{number}"));
    request.replace("00000000b4d65521", &format!("{:016x}", 0x1_0000_0000 + number))
}

#[test]
fn connections_and_ids_that_are_ever_new_leave_nothing_behind() {
    let app = App::start(|_| Reply::ok("x"));
    let list = listing(1, true, &[target("a", app.address, "north", "SERVING")]);
    let discovery = Discovery::start(list.clone());
    let node = Node::start(&config(discovery.address, &list, SETTINGS, 128));
    assert_eq!(node.ask(&of_customer(0)).status(), 200);
    let before = node.descriptors();
    let mut kept = Vec::new();
    let mut memory = Vec::new();
    for number in 1..=3000 {
        let mut client = node.client();
        assert_eq!(client.ask(&of_customer(number)).status(), 200);
        // Clients that ask once and keep their connection for good.
        kept.push(client);
        if number % 1000 == 0 {
            memory.push(node.memory());
        }
        assert!(node.descriptors() <= 128);
    }
    // Some MB for what is held of customers for as long as their quota takes to fill.
    assert!(memory[2] < memory[0] + 8_000, "memory in KB: {memory:?}");
    drop(kept);
    until("the descriptors are as before", || node.descriptors() <= before + 1);
}

#[test]
fn servers_that_are_replaced_take_their_connections_with_them() {
    let app = App::start(|_| Reply::ok("x"));
    let name = |n: u64| format!("s{n}");
    let list = listing(1, true, &[target(&name(0), app.address, "north", "SERVING")]);
    let discovery = Discovery::start(list.clone());
    let node = Node::start(&config(discovery.address, &list, SETTINGS, 128));
    let mut client = node.client();
    assert_eq!(client.ask(&of_customer(0)).status(), 200);
    let before = node.descriptors();
    for n in 1..=200 {
        // At the address of the one that goes.
        let gone = target(&name(n - 1), app.address, "north", "DELETED");
        let new = target(&name(n), app.address, "north", "SERVING");
        discovery.push(&listing(n + 1, false, &[gone, new]));
        if n % 20 == 0 {
            let accepted = || app.accepted.load(std::sync::atomic::Ordering::SeqCst);
            let known = accepted();
            until("the new server has a connection of its own", || {
                assert_eq!(client.ask(&of_customer(n)).status(), 200);
                accepted() > known
            });
        }
    }
    until("only the last one's connection is open", || app.open() <= 1);
    until("the descriptors are as before", || node.descriptors() <= before + 1);
}

#[test]
fn a_server_that_has_just_started_is_not_pushed_over() {
    let seen = |boot_ms: u128| {
        let app = App::start(|_| Reply::ok("x"));
        let entry = target("a", app.address, "north", "SERVING");
        let node = Node::with(&[entry.replace("\"boot_ms\":0", &format!("\"boot_ms\":{boot_ms}"))]);
        for number in 0..60 {
            node.ask(&of_customer(number));
        }
        app.seen()
    };
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock that is right").as_millis();
    // It can do a fifth of its work at first, and a request is taken to need 0.8 s until one was answered.
    assert_eq!(seen(0), 60);
    assert!(seen(now) <= 10);
}

#[test]
fn a_ceiling_is_kept() {
    let (rate, depth) = (2.0, 4.0);
    let capped = format!(
        r#""contracts": [{{"name": "capped", "refill": 1000, "mostAtOnce": 10000, "worthFactor": 1,
                          "capRate": {rate}, "capDepth": {depth}}},"#
    );
    let settings = SETTINGS.replace("\"contracts\": [", &capped);
    let app = App::start(|_| Reply::ok("x"));
    let list = listing(1, true, &[target("a", app.address, "north", "SERVING")]);
    let discovery = Discovery::start(list.clone());
    let begun = Instant::now();
    let node = Node::start(&config(discovery.address, &list, &settings, 128));
    let ask = |n: usize| node.ask(&request_with("read", &format!("r{n}"), "capped", "15000m")).status();
    // An earlier life of the node may have used the ceiling up, so it starts empty.
    until("something passes", || ask(0) == 200);
    let passed = (1..200).filter(|n| ask(*n) == 200).count() + 1;
    let most = depth + rate * begun.elapsed().as_secs_f64();
    assert!(passed as f64 <= most + 1.0, "{passed} of at most {most}");
}
