//! A node's estimate of the load on app servers, compared with the requests that they really have.

mod support;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::{sleep, spawn};
use std::time::Duration;
use support::*;

/// Service time of a request.
const WORK: Duration = Duration::from_millis(150);

/// Starts one of four nodes with a latency target of eight service times.
fn node(apps: &[AppServer]) -> Node {
    let settings = SETTINGS.replace("\"balancers\": 1", "\"balancers\": 4").replace("8000", "1200");
    let named = |(n, app): (usize, &AppServer)| target(&format!("s{n}"), app.address, "north", "SERVING");
    let targets: Vec<_> = apps.iter().enumerate().map(named).collect();
    let list = listing(1, true, &targets);
    Node::start(&config(Discovery::start(list.clone()).address, &list, &settings, 256))
}

/// Starts an app server that responds in time, and reports busy processors from its ninth request on.
fn busy_app() -> AppServer {
    let requests = AtomicUsize::new(0);
    AppServer::start(move |_| {
        sleep(WORK);
        let reports_load = requests.fetch_add(1, Ordering::SeqCst) >= 8;
        let headers = if reports_load { "Srv-Load: {\"latency_ms\":150.0,\"util\":0.97}\r\n" } else { "" };
        Reply::Answer("200 OK", headers, b"x".to_vec())
    })
}

#[test]
fn idle_servers_that_report_busy_processors_are_used() {
    let apps = [busy_app(), busy_app()];
    let node = node(&apps);
    // Sent one at a time, so that no server has a request when the next one arrives.
    let refused = (0..32).filter(|n| node.ask(&request("read", &format!("r{n}"))).is_refusal()).count();
    assert_eq!(refused, 0, "refused for lack of capacity at idle servers");
    assert_eq!(apps.iter().map(AppServer::request_count).sum::<usize>(), 32);
}

#[test]
fn full_servers_get_no_more_requests_whatever_load_they_report() {
    let idle = AppServer::start(|_| {
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
    let read = |mut client: Client| spawn(move || client.read().expect("a response"));
    let readers: Vec<_> = clients.into_iter().map(read).collect();
    let responses: Vec<_> = readers.into_iter().map(|reader| reader.join().expect("no panic")).collect();
    let refused: Vec<_> = responses.iter().filter(|response| response.is_refusal()).collect();
    assert!(refused.len() >= 20, "{} of 40 refused", refused.len());
    assert!(refused.iter().all(|response| response.header("retry-after").is_some()));
    assert!(responses.iter().any(|response| response.status() == 200));
}
