//! Bounded memory and descriptors over many clients and servers, slow start, and rate limits.

mod support;

use std::time::{Instant, SystemTime, UNIX_EPOCH};
use support::*;

/// Returns a request of the customer with this number, which is different for each number.
fn customer_request(number: u64) -> String {
    let request = request("read", &format!("id{number}"));
    request.replace("00000000b4d65521", &format!("{:016x}", 0x1_0000_0000 + number))
}

#[test]
fn new_connections_and_customers_do_not_accumulate() {
    let app = AppServer::start(|_| Reply::ok("x"));
    let list = listing(1, true, &[target("a", app.address, "north", "SERVING")]);
    let discovery = Discovery::start(list.clone());
    let node = Node::start(&config(discovery.address, &list, SETTINGS, 128));
    assert_eq!(node.ask(&customer_request(0)).status(), 200);
    let before = node.descriptors();
    let mut open_clients = Vec::new();
    let mut memory = Vec::new();
    for number in 1..=3000 {
        let mut client = node.client();
        assert_eq!(client.ask(&customer_request(number)).status(), 200);
        // Clients that send one request and keep their connection open.
        open_clients.push(client);
        if number % 1000 == 0 {
            memory.push(node.memory());
        }
        assert!(node.descriptors() <= 128);
    }
    // The state of a customer is kept until its quota is full again, which takes some MB.
    assert!(memory[2] < memory[0] + 8_000, "memory in KB: {memory:?}");
    drop(open_clients);
    wait_until("the number of descriptors is as before", || node.descriptors() <= before + 1);
}

#[test]
fn connections_to_replaced_servers_are_closed() {
    let app = AppServer::start(|_| Reply::ok("x"));
    let name = |n: u64| format!("s{n}");
    let list = listing(1, true, &[target(&name(0), app.address, "north", "SERVING")]);
    let discovery = Discovery::start(list.clone());
    let node = Node::start(&config(discovery.address, &list, SETTINGS, 128));
    let mut client = node.client();
    assert_eq!(client.ask(&customer_request(0)).status(), 200);
    let before = node.descriptors();
    for n in 1..=200 {
        // The new server has the address of the removed one.
        let removed = target(&name(n - 1), app.address, "north", "DELETED");
        let new = target(&name(n), app.address, "north", "SERVING");
        discovery.push(&listing(n + 1, false, &[removed, new]));
        if n % 20 == 0 {
            let accepted = || app.accepted.load(std::sync::atomic::Ordering::SeqCst);
            let known = accepted();
            wait_until("a new connection is opened to the new server", || {
                assert_eq!(client.ask(&customer_request(n)).status(), 200);
                accepted() > known
            });
        }
    }
    wait_until("only the last server's connection is open", || app.open() <= 1);
    wait_until("the number of descriptors is as before", || node.descriptors() <= before + 1);
}

#[test]
fn just_started_server_gets_few_requests() {
    let requests_served = |boot_ms: u128| {
        let app = AppServer::start(|_| Reply::ok("x"));
        let entry = target("a", app.address, "north", "SERVING");
        let node = Node::with(&[entry.replace("\"boot_ms\":0", &format!("\"boot_ms\":{boot_ms}"))]);
        for number in 0..60 {
            node.ask(&customer_request(number));
        }
        app.request_count()
    };
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970").as_millis();
    // A cold server has a fifth of its capacity, and a request is assumed to need 0.8 s until one has been
    // served.
    assert_eq!(requests_served(0), 60);
    assert!(requests_served(now) <= 10);
}

#[test]
fn rate_limit_of_a_plan_is_enforced() {
    let (rate, depth) = (2.0, 4.0);
    let capped = format!(
        r#""contracts": [{{"name": "capped", "refill": 1000, "mostAtOnce": 10000, "worthFactor": 1,
                          "capRate": {rate}, "capDepth": {depth}}},"#
    );
    let settings = SETTINGS.replace("\"contracts\": [", &capped);
    let app = AppServer::start(|_| Reply::ok("x"));
    let list = listing(1, true, &[target("a", app.address, "north", "SERVING")]);
    let discovery = Discovery::start(list.clone());
    let started = Instant::now();
    let node = Node::start(&config(discovery.address, &list, &settings, 128));
    let ask = |n: usize| node.ask(&request_with("read", &format!("r{n}"), "capped", "15000m")).status();
    // The limit starts exhausted, since the node may have used it up before a restart.
    wait_until("a request is accepted", || ask(0) == 200);
    let accepted = (1..200).filter(|n| ask(*n) == 200).count() + 1;
    let limit = depth + rate * started.elapsed().as_secs_f64();
    assert!(accepted as f64 <= limit + 1.0, "{accepted} accepted, limit {limit}");
}
