//! End-to-end tests of what a proxy does while it has no contact with the store.

mod stub;

use ivygate_test_servers::wait_until;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use stub::{client, control_state, encode_response, request, server, start_proxy, SEALED};

const BOUND: Duration = Duration::from_millis(2_500);
const BOUNDS: [&str; 4] = ["retryRatio=1.0", "retryExtra=100", "evacS=2.5", "applyS=3.0"];

#[test]
fn proxy_without_contact_within_the_bound_sends_nothing_to_servers() {
    let is_silent = Arc::new(AtomicBool::new(false));
    let (server, runs) = server(|id, _| (encode_response("200 OK", id, SEALED), false));
    let proxy = start_proxy(control_state(server.address), &BOUNDS, is_silent.clone());
    assert_eq!(client(proxy).ask(&request("often", "before")).status(), 200);
    is_silent.store(true, Ordering::SeqCst);
    let silent_since = Instant::now();
    let mut count = 0;
    wait_until("the proxy has no contact", || {
        let id = format!("r{count}");
        count += 1;
        let asked_after = silent_since.elapsed();
        let answer = client(proxy).ask(&request("often", &id));
        assert!(
            asked_after < BOUND || runs.of(&id) == 0,
            "{id} was sent {asked_after:?} after the last contact"
        );
        answer.status() == 503 && answer.header("retry-after").is_some()
    });
    let unknown = client(proxy).ask("GET /no-route HTTP/1.1\r\nHost: h.example\r\n\r\n");
    assert_eq!(unknown.status(), 503, "a route that is not known may have been added meanwhile");
    is_silent.store(false, Ordering::SeqCst);
    wait_until("the proxy serves again", || client(proxy).ask(&request("often", "after")).status() == 200);
}
