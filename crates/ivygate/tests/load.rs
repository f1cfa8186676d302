//! What a node believes of the load on app servers, against what they really hold.

mod support;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::{sleep, spawn};
use std::time::Duration;
use support::*;

/// Time that the app servers need for a request.
const WORK: Duration = Duration::from_millis(150);

/// One of four nodes, whose requests should be answered within eight times what they need.
fn node(apps: &[App]) -> Node {
    let settings = SETTINGS.replace("\"balancers\": 1", "\"balancers\": 4").replace("8000", "1200");
    let named = |(n, app): (usize, &App)| target(&format!("s{n}"), app.address, "north", "SERVING");
    let targets: Vec<_> = apps.iter().enumerate().map(named).collect();
    let list = listing(1, true, &targets);
    Node::start(&config(Discovery::start(list.clone()).address, &list, &settings, 256))
}

/// An app server that answers in good time and from its ninth request on tells of busy processors.
fn busy() -> App {
    let asked = AtomicUsize::new(0);
    App::start(move |_| {
        sleep(WORK);
        let told = asked.fetch_add(1, Ordering::SeqCst) >= 8;
        let headers = if told { "Srv-Load: {\"latency_ms\":150.0,\"util\":0.97}\r\n" } else { "" };
        Reply::Answer("200 OK", headers, b"x".to_vec())
    })
}

#[test]
fn servers_that_tell_of_busy_processors_and_hold_nothing_are_used() {
    let apps = [busy(), busy()];
    let node = node(&apps);
    // One at a time: a server holds nothing when the next one comes.
    let refused = (0..32).filter(|n| node.ask(&request("read", &format!("r{n}"))).refuses()).count();
    assert_eq!(refused, 0, "refused for want of room at servers that hold nothing");
    assert_eq!(apps.iter().map(App::seen).sum::<usize>(), 32);
}

#[test]
fn servers_that_are_full_get_no_more_whatever_they_tell() {
    let idle = App::start(|_| {
        sleep(WORK);
        Reply::Answer("200 OK", "Srv-Load: {\"latency_ms\":150.0,\"util\":0.0}\r\n", b"x".to_vec())
    });
    let node = node(&[idle]);
    for n in 0..8 {
        assert_eq!(node.ask(&request("read", &format!("r{n}"))).status(), 200);
    }
    let mut clients: Vec<_> = (0..40).map(|_| node.client()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.write(request("read", &format!("c{n}")).as_bytes());
    }
    let read = |mut client: Client| spawn(move || client.read().expect("an answer"));
    let answers: Vec<_> = clients.into_iter().map(read).collect();
    let answers: Vec<_> = answers.into_iter().map(|answer| answer.join().expect("no panic")).collect();
    let refused: Vec<_> = answers.iter().filter(|answer| answer.refuses()).collect();
    assert!(refused.len() >= 20, "{} of 40 refused", refused.len());
    assert!(refused.iter().all(|answer| answer.header("retry-after").is_some()));
    assert!(answers.iter().any(|answer| answer.status() == 200));
}
