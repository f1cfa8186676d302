//! Clients that send what can't be used.

mod support;

use std::io::Read;
use std::time::{Duration, Instant};
use support::*;

/// A node with one app server that answers everything.
fn node() -> (App, Node) {
    let app = App::start(|_| Reply::ok("x"));
    let node = Node::with(&[target("a", app.address, "north", "SERVING")]);
    (app, node)
}

#[test]
fn what_cannot_be_used_is_answered_400_closed_and_not_passed_on() {
    let (app, mut node) = node();
    let (good, edit) = (request("read", "r1"), request("edit", "r2"));
    let customer = "customer=00000000b4d65521";
    let bad = [
        "nonsense\r\n\r\n".to_owned(),
        good.replace("Req-Id: r1\r\n", ""),
        good.replace("Req-Id: r1", "Req-Id: "),
        good.replace("Req-Id: r1", "Req-Id: r 1"),
        good.replace("Req-Id: r1", &format!("Req-Id: {}", "r".repeat(65))),
        good.replace("Req-Id: r1", "Req-Id: r1\r\nReq-Id: r2"),
        good.replace("Req-Kind: read", "Req-Kind: other"),
        good.replace("Api-Plan: large", "Api-Plan: other"),
        good.replace("Api-Plan: large", "Api-Plan: large\r\nApi-Plan: small"),
        good.replace(customer, "customer=someone"),
        good.replace(customer, "a=b"),
        good.replace(customer, "customer=+0000000b4d65521"),
        good.replace(customer, "customer=0000000200000000"),
        good.replace(customer, &format!("{customer}; customer=00000000b4d65522")),
        good.replace("15000m", "15000"),
        good.replace("15000m", "NaNm"),
        good.replace("15000m", "-5m"),
        good.replace("15000m", "0m"),
        good.replace("15000m", "1e3m"),
        good.replace("15000m", "40001m"),
        good.replace("units=1", "units=-1"),
        good.replace("units=1", "units=inf"),
        good.replace("units=1", "units=nan"),
        good.replace("units=1", "units=0"),
        good.replace("units=1", "units=5"),
        good.replace("units=1", "units=1,units=2"),
        good.replace("spread=1", "spread=0"),
        good.replace("spread=1", "spread=2"),
        good.replace("first=0", "first=1"),
        good.replace(",first=0", ""),
        good.replace("Api-Terms: units=1,spread=1,first=0\r\n", ""),
        good.replace("GET", "POST"),
        good.replace("Host:", "Content-Length: 2\r\nHost:") + "ab",
        good.replace("Host:", "Content-Length: -2\r\nHost:"),
        good.replace("Host:", "Content-Length: 2\r\nContent-Length: 3\r\nHost:"),
        good.replace("Host:", "Idempotency-Key: k\r\nHost:"),
        edit.replace("Idempotency-Key: k1\r\n", ""),
        edit.replace("Key: k1", "Key: k1\r\nIdempotency-Key: k2"),
    ];
    for request in bad {
        let mut client = node.client();
        assert_eq!(client.ask(&request).status(), 400, "{request}");
        // Whatever else it has to say is not read.
        client.write(good.as_bytes());
        assert!(client.read().is_none(), "{request}");
    }
    assert_eq!(app.seen(), 0);
    assert_eq!(node.ask(&good).status(), 200);
    assert!(node.runs());
}

#[test]
fn a_request_hidden_in_a_body_is_not_passed_on() {
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
        // A connection that is closed while more comes in may be reset before the answer is read.
        assert!(client.read().is_none_or(|answer| answer.status() == 411), "{framing}");
        assert!(client.read().is_none(), "{framing}");
    }
    assert_eq!(app.seen(), 0);
}

#[test]
fn the_spelling_of_a_customer_makes_no_other_customer() {
    let (app, node) = node();
    let asked = |n: usize, customer: &str| {
        let request = request_with("read", &format!("r{n}"), "small", "15000m");
        node.ask(&request.replace("00000000b4d65521", customer)).status()
    };
    assert_eq!(asked(0, "00000000b4d65521"), 200);
    assert_eq!(asked(1, "00000000B4D65521"), 503);
    assert_eq!(app.seen(), 1);
}

/// Waits until the node has closed a connection; what it writes before is passed over.
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
fn who_says_nothing_or_never_the_rest_is_closed() {
    let (app, node) = node();
    let order = request_with("order", "r1", "large", "15000m");
    let half: Vec<_> = ["", "GET /api HTTP/1.1\r\nReq-Id: ha", order.trim_end_matches("dy"), &order]
        .map(|text| {
            let mut client = node.client();
            client.write(text.as_bytes());
            client
        })
        .into();
    let begun = Instant::now();
    for (number, mut client) in half.into_iter().enumerate() {
        if number == 3 {
            // Which has asked for something, and been answered, may stay and ask again.
            assert_eq!(client.read().map(|answer| answer.status()), Some(200));
            assert_eq!(client.ask(&request("read", "r2")).status(), 200);
        } else {
            assert!(is_closed(&mut client), "{number}");
        }
    }
    // Half of the time that a client will wait is not taken up by waiting for the rest.
    assert!(begun.elapsed() < Duration::from_secs(10));
    assert_eq!(app.seen(), 2);
}

#[test]
fn an_open_request_keeps_its_connection_for_as_long_as_it_takes() {
    let app = App::start(|_| Reply::Slow(Duration::from_millis(3500)));
    let node = Node::with(&[target("a", app.address, "north", "SERVING")]);
    assert_eq!(node.ask(&request("order", "r1")).body, b"late");
}

#[test]
fn silent_clients_give_way_before_those_that_ask() {
    let app = App::start(|_| Reply::ok("x"));
    let list = listing(1, true, &[target("a", app.address, "north", "SERVING")]);
    let discovery = Discovery::start(list.clone());
    let node = Node::start(&config(discovery.address, &list, SETTINGS, 64));
    let mut usual = node.client();
    assert_eq!(usual.ask(&request("read", "r0")).status(), 200);
    assert_eq!(usual.ask(&request("read", "r1")).status(), 200);
    let mut silent = Vec::new();
    for number in 0..150 {
        silent.push(node.client());
        assert!(node.descriptors() <= 64);
        if number % 50 == 0 {
            assert_eq!(usual.ask(&request("read", &format!("u{number}"))).status(), 200);
        }
    }
    assert_eq!(node.ask(&request("read", "r2")).status(), 200);
    assert_eq!(usual.ask(&request("read", "r3")).status(), 200);
}

#[test]
fn a_crowd_that_comes_at_one_moment_does_not_keep_others_waiting() {
    let app = App::start(|_| Reply::ok("x"));
    let list = listing(1, true, &[target("a", app.address, "north", "SERVING")]);
    let discovery = Discovery::start(list.clone());
    let node = Node::start(&config(discovery.address, &list, SETTINGS, 256));
    // Some six times as many as the node may hold; each of them has to be waited out and closed in turn.
    let begun = Instant::now();
    let crowd: Vec<_> = (0..900).map(|_| node.client()).collect();
    assert_eq!(node.ask(&request("read", "r1")).status(), 200);
    // One after the other would take some 9 s.
    // It takes a second; 5 where the queue runs over, 9 where they are waited out one by one.
    assert!(begun.elapsed() < Duration::from_millis(4500), "{:?}", begun.elapsed());
    drop(crowd);
}
