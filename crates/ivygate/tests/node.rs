//! The node over loopback sockets: behaviour towards clients, app servers and discovery.

mod support;

use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use support::*;

fn serving(uid: &str, app: &AppServer, zone: &str) -> String {
    target(uid, app.address, zone, "SERVING")
}

/// Returns an address on which nothing listens.
fn unused_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port")
}

/// Responds to the first request with `first` and to the others with 200.
fn first_then_ok(first: fn() -> Reply) -> impl Fn(&Message) -> Reply + Clone + Send + Sync + 'static {
    let count = std::sync::Arc::new(AtomicUsize::new(0));
    move |_| if count.fetch_add(1, Ordering::SeqCst) == 0 { first() } else { Reply::ok("second") }
}

/// Returns the number of requests that all app servers have received.
fn total_requests(apps: &[AppServer]) -> usize {
    apps.iter().map(AppServer::request_count).sum()
}

#[test]
fn requests_and_responses_are_forwarded_unchanged() {
    let body: Vec<u8> = (0..50_000u32).map(|n| (n * 7 % 251) as u8).collect();
    let sent = body.clone();
    let app =
        AppServer::start(move |_| Reply::Answer("200 OK", "Content-Type: text/x-map\r\n", sent.clone()));
    let node = Node::with(&[serving("a", &app, "north")]);
    let response = node.ask(&request("edit", "r1"));
    assert_eq!((response.status(), response.header("content-type")), (200, Some("text/x-map")));
    assert!(response.body == body);
    let request = app.requests.lock().expect("no panic")[0].clone();
    assert_eq!(request.start, "POST /api?q=1 HTTP/1.1");
    assert_eq!((request.header("req-id"), request.header("idempotency-key")), (Some("r1"), Some("k1")));
    assert_eq!(request.body, b"body");
    let left = request.header("req-deadline").and_then(|d| d.strip_suffix('u')).map(str::parse::<f64>);
    assert!(matches!(left, Some(Ok(left)) if left > 0.0 && left < 15_000_000.0), "{left:?}");
}

#[test]
fn connections_to_clients_and_servers_are_reused() {
    let app = AppServer::start(|_| Reply::ok("x"));
    let node = Node::with(&[serving("a", &app, "north")]);
    let mut client = node.client();
    for number in 0..5 {
        assert_eq!(client.ask(&request("order", &format!("r{number}"))).status(), 200);
    }
    assert_eq!((app.request_count(), app.accepted.load(Ordering::SeqCst)), (5, 1));
}

#[test]
fn unsafe_request_is_not_retried_after_a_reset() {
    let apps = [AppServer::start(|_| Reply::Close), AppServer::start(|_| Reply::Close)];
    let node = Node::with(&[serving("a", &apps[0], "north"), serving("b", &apps[1], "south")]);
    // The response must not be a refusal either, which would tell the client to retry.
    assert!(node.ask(&request("order", "r1")).is_failure());
    assert_eq!(total_requests(&apps), 1);
}

#[test]
fn failure_of_a_reused_connection_counts_as_a_reset() {
    let app = AppServer::start(|request| match request.header("req-id") {
        Some("r1") => Reply::ok("x"),
        _ => Reply::Close,
    });
    let node = Node::with(&[serving("a", &app, "north")]);
    let mut client = node.client();
    assert_eq!(client.ask(&request("order", "r1")).status(), 200);
    assert!(client.ask(&request("order", "r2")).is_failure());
    assert_eq!((app.request_count(), app.accepted.load(Ordering::SeqCst)), (2, 1));
}

#[test]
fn safe_request_is_retried_after_a_reset() {
    let reply = first_then_ok(|| Reply::Close);
    let apps = [AppServer::start(reply.clone()), AppServer::start(reply)];
    let node = Node::with(&[serving("a", &apps[0], "north"), serving("b", &apps[1], "south")]);
    let response = node.ask(&request("read", "r1"));
    assert_eq!((response.status(), response.body.as_slice()), (200, &b"second"[..]));
    assert_eq!(total_requests(&apps), 2);
}

#[test]
fn keyed_request_that_may_have_run_is_retried_in_the_same_zone() {
    let reply = first_then_ok(|| Reply::Close);
    let apps: Vec<_> = (0..4).map(|_| AppServer::start(reply.clone())).collect();
    let zone = |n: usize| if n < 2 { "north" } else { "south" };
    let targets: Vec<_> =
        apps.iter().enumerate().map(|(n, app)| serving(&format!("s{n}"), app, zone(n))).collect();
    let node = Node::with(&targets);
    assert_eq!(node.ask(&request("edit", "r1")).status(), 200);
    let by_zone = [total_requests(&apps[..2]), total_requests(&apps[2..])];
    assert!(by_zone == [2, 0] || by_zone == [0, 2], "{by_zone:?}");
}

#[test]
fn declined_unsafe_request_is_retried_on_another_server() {
    let declined = || Reply::Answer("503 Service Unavailable", "Srv-Declined: 1\r\n", Vec::new());
    let reply = first_then_ok(declined);
    let apps = [AppServer::start(reply.clone()), AppServer::start(reply)];
    let node = Node::with(&[serving("a", &apps[0], "north"), serving("b", &apps[1], "south")]);
    assert_eq!(node.ask(&request("order", "r1")).status(), 200);
    assert_eq!(total_requests(&apps), 2);
}

#[test]
fn unsafe_request_is_not_retried_after_a_plain_503() {
    let app = AppServer::start(|_| Reply::Answer("503 Service Unavailable", "", Vec::new()));
    let node = Node::with(&[serving("a", &app, "north")]);
    assert!(node.ask(&request("order", "r1")).is_failure());
    assert_eq!(app.request_count(), 1);
}

#[test]
fn request_that_reached_no_server_is_refused() {
    let node = Node::with(&[target("a", unused_address(), "north", "SERVING")]);
    assert!(node.ask(&request("order", "r1")).is_refusal());
}

#[test]
fn truncated_responses_are_failures() {
    let truncated: [&'static [u8]; 4] = [
        b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nshort",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
        b"HTTP/1.1 200 OK\r\n\r\nwithout an end",
        b"HTTP/1.1 2",
    ];
    for bytes in truncated {
        let app = AppServer::start(move |_| Reply::Bytes(bytes));
        let node = Node::with(&[serving("a", &app, "north")]);
        assert!(node.ask(&request("order", "r1")).is_failure());
        assert_eq!(app.request_count(), 1);
    }
}

#[test]
fn malformed_usage_and_load_headers_are_ignored() {
    let headers = "Api-Usage: plenty\r\nSrv-Load: {\"util\":\r\n";
    let app = AppServer::start(move |_| Reply::Answer("200 OK", headers, b"x".to_vec()));
    let node = Node::with(&[serving("a", &app, "north")]);
    for number in 0..3 {
        assert_eq!(node.ask(&request("read", &format!("r{number}"))).status(), 200);
    }
}

#[test]
fn response_with_connection_close_is_valid() {
    let app = AppServer::start(|_| {
        Reply::Bytes(b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok")
    });
    let node = Node::with(&[serving("a", &app, "north")]);
    for number in 0..3 {
        assert_eq!(node.ask(&request("order", &format!("r{number}"))).status(), 200);
    }
    assert_eq!(app.accepted.load(Ordering::SeqCst), 3);
}

#[test]
fn unresponsive_server_causes_one_error_response_and_a_closed_connection() {
    let app = AppServer::start(|_| Reply::Silence);
    let node = Node::with(&[serving("a", &app, "north")]);
    let mut client = node.client();
    assert!(client.ask(&request_with("order", "r1", "large", "2500m")).is_failure());
    wait_until("the attempt's connection is closed", || app.open() == 0);
    assert_eq!(app.request_count(), 1);
    // There is only one response: the next one on the connection belongs to the next request.
    client.write(b"GET /up HTTP/1.1\r\nHost: h\r\n\r\n");
    assert_eq!(client.read().map(|response| response.body), Some(b"up".to_vec()));
}

#[test]
fn client_disconnect_cancels_its_attempts() {
    let app = AppServer::start(|_| Reply::Silence);
    let node = Node::with(&[serving("a", &app, "north")]);
    let mut client = node.client();
    client.write(request("order", "r1").as_bytes());
    wait_until("the attempt has been sent", || app.request_count() == 1);
    drop(client);
    wait_until("the attempt's connection is closed", || app.open() == 0);
}

#[test]
fn second_request_with_the_id_of_an_open_one_is_not_run() {
    let app = AppServer::start(|_| Reply::Slow(Duration::from_millis(500)));
    let node = Node::with(&[serving("a", &app, "north")]);
    let mut client = node.client();
    client.write(request("order", "r1").as_bytes());
    wait_until("the attempt has been sent", || app.request_count() == 1);
    assert!(node.ask(&request("order", "r1")).is_failure());
    assert_eq!(client.read().map(|response| response.status()), Some(200));
    assert_eq!(app.request_count(), 1);
}

#[test]
fn customer_over_its_quota_is_refused_with_retry_after() {
    let app = AppServer::start(|_| Reply::ok("x"));
    let node = Node::with(&[serving("a", &app, "north")]);
    let responses: Vec<_> =
        (0..4).map(|n| node.ask(&request_with("read", &format!("r{n}"), "small", "15000m"))).collect();
    assert_eq!(responses[0].status(), 200);
    let refused = responses.last().expect("a response");
    assert!(refused.is_refusal());
    let wait = refused.header("retry-after").map(str::parse::<f64>);
    assert!(matches!(wait, Some(Ok(wait)) if wait > 0.0 && wait <= 2.0), "{wait:?}");
    assert!(app.request_count() < 4);
}

#[test]
fn drain_announced_while_connecting_prevents_the_attempt() {
    // A listener whose accept queue is full accepts no connection until the queue is emptied.
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
    socket.listen(0).expect("a listener");
    let listener: TcpListener = socket.into();
    let address = listener.local_addr().expect("an address");
    let mut filling = Vec::new();
    while let Ok(stream) = std::net::TcpStream::connect_timeout(&address, Duration::from_millis(300)) {
        filling.push(stream);
    }
    let list = listing(1, true, &[target("a", address, "north", "SERVING")]);
    let discovery = Discovery::start(list.clone());
    let settings = SETTINGS.replace("\"connectTimeoutMs\": 1000", "\"connectTimeoutMs\": 20000");
    let node = Node::start(&config(discovery.address, &list, &settings, 1024));
    wait_until("discovery is watched", || discovery.watched.load(Ordering::SeqCst) > 0);
    let mut client = node.client();
    client.write(b"GET /up HTTP/1.1\r\nHost: h\r\n\r\n");
    assert_eq!(client.read().map(|response| response.status()), Some(200));
    let before = node.descriptors();
    client.write(request("order", "r1").as_bytes());
    wait_until("the node has started to connect", || node.descriptors() > before);
    discovery.push(&listing(2, false, &[target("a", address, "north", "DRAINING")]));
    wait_until("the node has learned of the drain", || {
        let mut up = node.client();
        up.write(b"GET /up HTTP/1.1\r\nHost: h\r\n\r\n");
        up.read().is_some_and(|response| response.status() == 503)
    });
    let written = std::thread::spawn(move || {
        let mut written = 0;
        let ours = filling.len();
        for stream in listener.incoming().take(ours + 1) {
            let stream = stream.expect("a connection");
            if filling.pop().is_none() {
                stream.set_read_timeout(Some(CONDITION_TIMEOUT)).expect("a timeout can be set");
                written += { stream }.read(&mut [0; 64]).unwrap_or(0);
            }
        }
        written
    });
    // Nothing was written, so the request may be refused.
    assert!(client.read().expect("a response").is_refusal());
    assert_eq!(written.join().expect("no panic"), 0);
}

#[test]
fn draining_server_gets_no_new_requests() {
    let apps = [AppServer::start(|_| Reply::ok("x")), AppServer::start(|_| Reply::ok("x"))];
    let list = listing(1, true, &[serving("a", &apps[0], "north"), serving("b", &apps[1], "north")]);
    let discovery = Discovery::start(list.clone());
    let node = Node::start(&config(discovery.address, &list, SETTINGS, 1024));
    let drained = target("a", apps[0].address, "north", "DRAINING");
    node.ask(&request("read", "r0"));
    discovery.push(&listing(2, false, &[drained]));
    wait_until("idle connections to it are closed", || {
        node.ask(&request("read", "r"));
        apps[0].open() == 0 && apps[1].request_count() > 0
    });
    let before = apps[0].request_count();
    for number in 0..20 {
        assert_eq!(node.ask(&request("read", &format!("d{number}"))).status(), 200);
    }
    assert_eq!(apps[0].request_count(), before);
}

#[test]
fn list_is_fetched_again_after_a_malformed_line() {
    let old = AppServer::start(|_| Reply::ok("old"));
    let new = AppServer::start(|_| Reply::ok("new"));
    let list = listing(1, true, &[serving("a", &old, "north")]);
    let discovery = Discovery::start(list.clone());
    let node = Node::start(&config(discovery.address, &list, SETTINGS, 1024));
    wait_until("discovery is watched", || discovery.watched.load(Ordering::SeqCst) > 0);
    discovery.set(listing(2, true, &[serving("b", &new, "north")]));
    let lists = discovery.lists.load(Ordering::SeqCst);
    discovery.push(r#"{"rev":2,"all":false,"targets":[{"uid":"#);
    wait_until("the list is fetched again", || discovery.lists.load(Ordering::SeqCst) > lists);
    wait_until("the new server is used", || node.ask(&request("read", "r")).body == b"new");
}

#[test]
fn watch_is_reopened_when_it_ends_or_becomes_silent() {
    let app = AppServer::start(|_| Reply::ok("x"));
    let list = listing(1, true, &[serving("a", &app, "north")]);
    let discovery = Discovery::start(list.clone());
    let _node = Node::start(&config(discovery.address, &list, SETTINGS, 1024));
    wait_until("discovery is watched", || discovery.watched.load(Ordering::SeqCst) == 1);
    discovery.close_watches();
    wait_until("a second watch", || discovery.watched.load(Ordering::SeqCst) == 2);
    // The test's agent sends no empty lines, so the watch times out.
    wait_until("a third watch", || discovery.watched.load(Ordering::SeqCst) == 3);
}

#[test]
fn sigterm_ends_the_node_after_all_responses() {
    let app = AppServer::start(|_| Reply::Slow(Duration::from_millis(1500)));
    let mut node = Node::with(&[serving("a", &app, "north")]);
    let (mut open, mut idle) = (node.client(), node.client());
    idle.write(b"GET /up HTTP/1.1\r\nHost: h\r\n\r\n");
    assert_eq!(idle.read().map(|response| response.status()), Some(200));
    open.write(request("order", "r1").as_bytes());
    wait_until("the attempt has been sent", || app.request_count() == 1);
    node.terminate();
    wait_until("responses to new clients close the connection", || {
        let mut client = node.client();
        client.write(b"GET /up HTTP/1.1\r\nHost: h\r\n\r\n");
        client.read().is_some_and(|response| response.header("connection") == Some("close"))
    });
    let response = open.read().expect("a response to the open request");
    assert_eq!((response.status(), response.header("connection")), (200, Some("close")));
    assert!(idle.read().is_none());
    assert_eq!(node.exit_code(), Some(0));
}

#[test]
fn body_over_the_limit_is_rejected_with_413() {
    let app = AppServer::start(|_| Reply::ok("x"));
    let node = Node::with(&[serving("a", &app, "north")]);
    let head = request("order", "r1").replace("Content-Length: 4\r\n", "Content-Length: 65537\r\n");
    assert_eq!(node.ask(head.trim_end_matches("body")).status(), 413);
    assert_eq!(app.request_count(), 0);
}

#[test]
fn incomplete_body_times_out_without_delaying_other_clients() {
    let app = AppServer::start(|_| Reply::ok("x"));
    let node = Node::with(&[serving("a", &app, "north")]);
    let mut slow = node.client();
    slow.write(request_with("order", "r1", "large", "300m").trim_end_matches("dy").as_bytes());
    assert_eq!(node.ask(&request("order", "r2")).status(), 200);
    assert_eq!(slow.read().map(|response| response.status()), Some(408));
    assert_eq!(app.request_count(), 1);
}

#[test]
fn idle_and_incomplete_connections_are_closed_at_the_limit() {
    let app = AppServer::start(|_| Reply::ok("x"));
    let list = listing(1, true, &[serving("a", &app, "north")]);
    let discovery = Discovery::start(list.clone());
    let mut node = Node::start(&config(discovery.address, &list, SETTINGS, 40));
    let mut clients = Vec::new();
    for number in 0..60 {
        let mut client = node.client();
        if number % 2 == 0 {
            client.write(b"GET /api HTTP/1.1\r\nReq-Id: ha");
        }
        clients.push(client);
        assert!(node.descriptors() <= 40);
    }
    assert_eq!(node.ask(&request("read", "r1")).status(), 200);
    assert!(node.runs());
}

#[test]
fn attempts_stay_within_the_descriptor_limit() {
    let app = AppServer::start(|_| Reply::Silence);
    let list = listing(1, true, &[serving("a", &app, "north")]);
    let discovery = Discovery::start(list.clone());
    let mut node = Node::start(&config(discovery.address, &list, SETTINGS, 40));
    let base = node.descriptors();
    let mut clients: Vec<_> = (0..20).map(|_| node.client()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client.write(request_with("read", &format!("r{number}"), "large", "1500m").as_bytes());
    }
    for client in &mut clients {
        assert!(node.descriptors() <= 40);
        assert!(client.read().is_some_and(|response| response.status() >= 400));
    }
    drop(clients);
    wait_until("all sockets of the attempts are closed", || node.descriptors() <= base && app.open() == 0);
    assert!(node.runs());
}

#[test]
fn idle_connections_are_closed_before_the_app_server_closes_them() {
    let app = AppServer::start(|_| Reply::ok("x"));
    let list = listing(1, true, &[serving("a", &app, "north")]);
    let discovery = Discovery::start(list.clone());
    let settings = SETTINGS.replace("\"keepaliveMs\": 15000", "\"keepaliveMs\": 1000");
    let node = Node::start(&config(discovery.address, &list, &settings, 1024));
    assert_eq!(node.ask(&request("order", "r1")).status(), 200);
    wait_until("the idle connection is closed", || app.open() == 0);
}

#[test]
fn invalid_configuration_is_reported_in_one_line() {
    let valid = config(unused_address(), "null", SETTINGS, 1024);
    let used_port = TcpListener::bind("127.0.0.1:0").expect("a port");
    let used_address = format!("\"listen\":\"{}\"", used_port.local_addr().expect("an address"));
    let invalid = [
        None,
        Some("{".to_owned()),
        Some(valid.replace("8c1f30d27a5be964", "seed")),
        Some(valid.replace("\"rank\": 0", "\"rank\": 3")),
        Some(valid.replace("\"effect\": \"safe\"", "\"effect\": \"odd\"")),
        Some(valid.replace("\"refill\": 1000", "\"refill\": -1")),
        Some(valid.replace("\"sockets\":1024", "\"sockets\":8")),
        Some(valid.replace("\"listen\":\"127.0.0.1:0\"", &used_address)),
    ];
    for text in invalid {
        let mut command = Command::new(env!("CARGO_BIN_EXE_ivygate"));
        command.env_remove("RELAY_CONFIG").stderr(Stdio::piped());
        let path = text.as_deref().map(scratch);
        if let Some(path) = &path {
            command.env("RELAY_CONFIG", path);
        }
        let output = command.output().expect("the node exits");
        let error = String::from_utf8(output.stderr).expect("UTF-8");
        assert!(!output.status.success(), "{text:?}");
        assert!(error.starts_with("ivygate: ") && error.trim_end().lines().count() == 1, "{text:?}: {error}");
        if let Some(path) = path {
            let _ = std::fs::remove_file(path);
        }
    }
}

#[test]
fn unsafe_requests_take_new_connections_if_reused_ones_are_reset() {
    // The server responds to one request on each connection, and closes it at the second one.
    let served_peers = std::sync::Mutex::new(std::collections::HashSet::new());
    let app = AppServer::start(move |request| {
        let peer = request.header("peer").expect("the client's address").to_owned();
        if served_peers.lock().expect("no panic").insert(peer) {
            Reply::ok("x")
        } else {
            Reply::Close
        }
    });
    let node = Node::with(&[serving("a", &app, "north")]);
    for number in 0..10 {
        // Safe requests, from which the node learns that reused connections are reset.
        node.ask(&request("read", &format!("r{number}")));
    }
    for number in 0..10 {
        assert_eq!(node.ask(&request("order", &format!("o{number}"))).status(), 200, "{number}");
    }
}
