//! Clients that send malformed, incomplete or no requests, or open too many connections.

mod support;

use std::io::Read;
use std::time::{Duration, Instant};
use support::*;

/// Starts a node with one app server that responds to all requests.
fn node() -> (AppServer, Node) {
    let app = AppServer::start(|_| Reply::ok("x"));
    let node = Node::with(&[target("a", app.address, "north", "SERVING")]);
    (app, node)
}

#[test]
fn invalid_request_gets_400_and_a_closed_connection_and_is_not_forwarded() {
    let (app, mut node) = node();
    let (valid, edit) = (request("read", "r1"), request("edit", "r2"));
    let customer = "customer=00000000b4d65521";
    let invalid = [
        "nonsense\r\n\r\n".to_owned(),
        valid.replace("Req-Id: r1\r\n", ""),
        valid.replace("Req-Id: r1", "Req-Id: "),
        valid.replace("Req-Id: r1", "Req-Id: r 1"),
        valid.replace("Req-Id: r1", &format!("Req-Id: {}", "r".repeat(65))),
        valid.replace("Req-Id: r1", "Req-Id: r1\r\nReq-Id: r2"),
        valid.replace("Req-Kind: read", "Req-Kind: other"),
        valid.replace("Api-Plan: large", "Api-Plan: other"),
        valid.replace("Api-Plan: large", "Api-Plan: large\r\nApi-Plan: small"),
        valid.replace(customer, "customer=someone"),
        valid.replace(customer, "a=b"),
        valid.replace(customer, "customer=+0000000b4d65521"),
        valid.replace(customer, "customer=0000000200000000"),
        valid.replace(customer, &format!("{customer}; customer=00000000b4d65522")),
        valid.replace("15000m", "15000"),
        valid.replace("15000m", "NaNm"),
        valid.replace("15000m", "-5m"),
        valid.replace("15000m", "0m"),
        valid.replace("15000m", "1e3m"),
        valid.replace("15000m", "40001m"),
        valid.replace("units=1", "units=-1"),
        valid.replace("units=1", "units=inf"),
        valid.replace("units=1", "units=nan"),
        valid.replace("units=1", "units=0"),
        valid.replace("units=1", "units=5"),
        valid.replace("units=1", "units=1,units=2"),
        valid.replace("spread=1", "spread=0"),
        valid.replace("spread=1", "spread=2"),
        valid.replace("first=0", "first=1"),
        valid.replace(",first=0", ""),
        valid.replace("Api-Terms: units=1,spread=1,first=0\r\n", ""),
        valid.replace("GET", "POST"),
        valid.replace("Host:", "Content-Length: 2\r\nHost:") + "ab",
        valid.replace("Host:", "Content-Length: -2\r\nHost:"),
        valid.replace("Host:", "Content-Length: 2\r\nContent-Length: 3\r\nHost:"),
        valid.replace("Host:", "Idempotency-Key: k\r\nHost:"),
        edit.replace("Idempotency-Key: k1\r\n", ""),
        edit.replace("Key: k1", "Key: k1\r\nIdempotency-Key: k2"),
    ];
    for request in invalid {
        let mut client = node.client();
        assert_eq!(client.ask(&request).status(), 400, "{request}");
        // Further requests on the connection are not read.
        client.write(valid.as_bytes());
        assert!(client.read().is_none(), "{request}");
    }
    assert_eq!(app.request_count(), 0);
    assert_eq!(node.ask(&valid).status(), 200);
    assert!(node.runs());
}

#[test]
fn smuggled_request_is_not_forwarded() {
    let (app, node) = node();
    let hidden = request("read", "hidden");
    let framings = [
        "Content-Length: LENGTH\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nContent-Length: LENGTH",
        "Transfer-Encoding: chunked",
        "Transfer-Encoding: gzip, chunked",
    ];
    for framing in framings {
        let framing = framing.replace("LENGTH", &(hidden.len() + 5).to_string());
        let head = request("order", "r1").replace("Content-Length: 4", &framing);
        let mut client = node.client();
        client.write(format!("{}0\r\n\r\n{hidden}", head.trim_end_matches("body")).as_bytes());
        // A connection that is closed with unread input may be reset before the response is read.
        assert!(client.read().is_none_or(|response| response.status() == 411), "{framing}");
        assert!(client.read().is_none(), "{framing}");
    }
    assert_eq!(app.request_count(), 0);
}

#[test]
fn customer_number_is_case_insensitive() {
    let (app, node) = node();
    let status = |n: usize, customer: &str| {
        let request = request_with("read", &format!("r{n}"), "small", "15000m");
        node.ask(&request.replace("00000000b4d65521", customer)).status()
    };
    assert_eq!(status(0, "00000000b4d65521"), 200);
    assert_eq!(status(1, "00000000B4D65521"), 503);
    assert_eq!(app.request_count(), 1);
}

/// Waits until the node has closed a connection, and discards what it writes before.
fn is_closed(client: &mut Client) -> bool {
    loop {
        match client.stream.read(&mut [0; 1024]) {
            Ok(0) => return true,
            Ok(_) => {}
            Err(error) => return error.kind() == std::io::ErrorKind::ConnectionReset,
        }
    }
}

#[test]
fn connections_without_a_complete_request_are_closed() {
    let (app, node) = node();
    let order = request_with("order", "r1", "large", "15000m");
    let clients: Vec<_> = ["", "GET /api HTTP/1.1\r\nReq-Id: ha", order.trim_end_matches("dy"), &order]
        .map(|text| {
            let mut client = node.client();
            client.write(text.as_bytes());
            client
        })
        .into();
    let started = Instant::now();
    for (number, mut client) in clients.into_iter().enumerate() {
        if number == 3 {
            // This client has sent a complete request, so its connection stays open for another one.
            assert_eq!(client.read().map(|response| response.status()), Some(200));
            assert_eq!(client.ask(&request("read", "r2")).status(), 200);
        } else {
            assert!(is_closed(&mut client), "{number}");
        }
    }
    // The connections are closed long before the clients' timeout of 15 s.
    assert!(started.elapsed() < Duration::from_secs(10));
    assert_eq!(app.request_count(), 2);
}

#[test]
fn connection_with_an_open_request_is_not_closed() {
    let app = AppServer::start(|_| Reply::Slow(Duration::from_millis(3500)));
    let node = Node::with(&[target("a", app.address, "north", "SERVING")]);
    assert_eq!(node.ask(&request("order", "r1")).body, b"late");
}

#[test]
fn silent_clients_are_disconnected_before_active_ones() {
    let app = AppServer::start(|_| Reply::ok("x"));
    let list = listing(1, true, &[target("a", app.address, "north", "SERVING")]);
    let discovery = Discovery::start(list.clone());
    let node = Node::start(&config(discovery.address, &list, SETTINGS, 64));
    let mut active = node.client();
    assert_eq!(active.ask(&request("read", "r0")).status(), 200);
    assert_eq!(active.ask(&request("read", "r1")).status(), 200);
    let mut silent = Vec::new();
    for number in 0..150 {
        silent.push(node.client());
        assert!(node.descriptors() <= 64);
        if number % 50 == 0 {
            assert_eq!(active.ask(&request("read", &format!("u{number}"))).status(), 200);
        }
    }
    assert_eq!(node.ask(&request("read", "r2")).status(), 200);
    assert_eq!(active.ask(&request("read", "r3")).status(), 200);
}

#[test]
fn burst_of_connections_does_not_delay_other_clients() {
    let app = AppServer::start(|_| Reply::ok("x"));
    let list = listing(1, true, &[target("a", app.address, "north", "SERVING")]);
    let discovery = Discovery::start(list.clone());
    let node = Node::start(&config(discovery.address, &list, SETTINGS, 256));
    // About six times as many connections as the node may have; it has to close most of them to accept the
    // others.
    let started = Instant::now();
    let burst: Vec<_> = (0..900).map(|_| node.client()).collect();
    assert_eq!(node.ask(&request("read", "r1")).status(), 200);
    // Takes about 1 s; 5 s if the accept queue overflows, 9 s if connections are closed one at a time.
    assert!(started.elapsed() < Duration::from_millis(4500), "{:?}", started.elapsed());
    drop(burst);
}
