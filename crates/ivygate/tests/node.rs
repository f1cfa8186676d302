//! The node over loopback sockets: what clients, app servers and discovery may do to it.

mod support;

use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use support::*;

fn serving(uid: &str, app: &App, zone: &str) -> String {
    target(uid, app.address, zone, "SERVING")
}

/// An address at which nothing listens.
fn nowhere() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port")
}

/// Answers the first request of all with `first` and the others with 200.
fn first_then_ok(first: fn() -> Reply) -> impl Fn(&Message) -> Reply + Clone + Send + Sync + 'static {
    let count = std::sync::Arc::new(AtomicUsize::new(0));
    move |_| if count.fetch_add(1, Ordering::SeqCst) == 0 { first() } else { Reply::ok("second") }
}

fn seen(apps: &[App]) -> usize {
    apps.iter().map(App::seen).sum()
}

#[test]
fn what_goes_on_and_comes_back_is_unchanged() {
    let body: Vec<u8> = (0..50_000u32).map(|n| (n * 7 % 251) as u8).collect();
    let sent = body.clone();
    let app = App::start(move |_| Reply::Answer("200 OK", "Content-Type: text/x-map\r\n", sent.clone()));
    let node = Node::with(&[serving("a", &app, "north")]);
    let answer = node.ask(&request("edit", "r1"));
    assert_eq!((answer.status(), answer.header("content-type")), (200, Some("text/x-map")));
    assert!(answer.body == body);
    let request = app.requests.lock().expect("no panic")[0].clone();
    assert_eq!(request.start, "POST /api?q=1 HTTP/1.1");
    assert_eq!((request.header("req-id"), request.header("idempotency-key")), (Some("r1"), Some("k1")));
    assert_eq!(request.body, b"body");
    let left = request.header("req-deadline").and_then(|d| d.strip_suffix('u')).map(str::parse::<f64>);
    assert!(matches!(left, Some(Ok(left)) if left > 0.0 && left < 15_000_000.0), "{left:?}");
}

#[test]
fn connections_on_both_sides_are_kept_and_reused() {
    let app = App::start(|_| Reply::ok("x"));
    let node = Node::with(&[serving("a", &app, "north")]);
    let mut client = node.client();
    for number in 0..5 {
        assert_eq!(client.ask(&request("order", &format!("r{number}"))).status(), 200);
    }
    assert_eq!((app.seen(), app.accepted.load(Ordering::SeqCst)), (5, 1));
}

#[test]
fn an_unsafe_request_is_not_sent_again_after_a_reset() {
    let apps = [App::start(|_| Reply::Close), App::start(|_| Reply::Close)];
    let node = Node::with(&[serving("a", &apps[0], "north"), serving("b", &apps[1], "south")]);
    // The answer may not be a refusal either: it would tell the client to try again.
    assert!(node.ask(&request("order", "r1")).fails());
    assert_eq!(seen(&apps), 1);
}

#[test]
fn a_reused_connection_that_breaks_is_a_reset() {
    let app = App::start(|request| match request.header("req-id") {
        Some("r1") => Reply::ok("x"),
        _ => Reply::Close,
    });
    let node = Node::with(&[serving("a", &app, "north")]);
    let mut client = node.client();
    assert_eq!(client.ask(&request("order", "r1")).status(), 200);
    assert!(client.ask(&request("order", "r2")).fails());
    assert_eq!((app.seen(), app.accepted.load(Ordering::SeqCst)), (2, 1));
}

#[test]
fn a_safe_request_is_sent_again_after_a_reset() {
    let reply = first_then_ok(|| Reply::Close);
    let apps = [App::start(reply.clone()), App::start(reply)];
    let node = Node::with(&[serving("a", &apps[0], "north"), serving("b", &apps[1], "south")]);
    let answer = node.ask(&request("read", "r1"));
    assert_eq!((answer.status(), answer.body.as_slice()), (200, &b"second"[..]));
    assert_eq!(seen(&apps), 2);
}

#[test]
fn a_keyed_request_that_may_have_run_stays_in_its_building() {
    let reply = first_then_ok(|| Reply::Close);
    let apps: Vec<_> = (0..4).map(|_| App::start(reply.clone())).collect();
    let zone = |n: usize| if n < 2 { "north" } else { "south" };
    let targets: Vec<_> =
        apps.iter().enumerate().map(|(n, app)| serving(&format!("s{n}"), app, zone(n))).collect();
    let node = Node::with(&targets);
    assert_eq!(node.ask(&request("edit", "r1")).status(), 200);
    let by_zone = [seen(&apps[..2]), seen(&apps[2..])];
    assert!(by_zone == [2, 0] || by_zone == [0, 2], "{by_zone:?}");
}

#[test]
fn an_unsafe_request_turned_away_goes_elsewhere() {
    let declined = || Reply::Answer("503 Service Unavailable", "Srv-Declined: 1\r\n", Vec::new());
    let reply = first_then_ok(declined);
    let apps = [App::start(reply.clone()), App::start(reply)];
    let node = Node::with(&[serving("a", &apps[0], "north"), serving("b", &apps[1], "south")]);
    assert_eq!(node.ask(&request("order", "r1")).status(), 200);
    assert_eq!(seen(&apps), 2);
}

#[test]
fn a_bare_503_of_an_app_server_may_have_run() {
    let app = App::start(|_| Reply::Answer("503 Service Unavailable", "", Vec::new()));
    let node = Node::with(&[serving("a", &app, "north")]);
    assert!(node.ask(&request("order", "r1")).fails());
    assert_eq!(app.seen(), 1);
}

#[test]
fn a_request_that_reached_no_server_is_refused() {
    let node = Node::with(&[target("a", nowhere(), "north", "SERVING")]);
    assert!(node.ask(&request("order", "r1")).refuses());
}

#[test]
fn answers_cut_short_or_without_an_end_are_no_200() {
    let cut: [&'static [u8]; 4] = [
        b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nshort",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
        b"HTTP/1.1 200 OK\r\n\r\nwithout an end",
        b"HTTP/1.1 2",
    ];
    for bytes in cut {
        let app = App::start(move |_| Reply::Bytes(bytes));
        let node = Node::with(&[serving("a", &app, "north")]);
        assert!(node.ask(&request("order", "r1")).fails());
        assert_eq!(app.seen(), 1);
    }
}

#[test]
fn headers_of_an_app_server_that_cannot_be_read_are_ignored() {
    let headers = "Api-Usage: plenty\r\nSrv-Load: {\"util\":\r\n";
    let app = App::start(move |_| Reply::Answer("200 OK", headers, b"x".to_vec()));
    let node = Node::with(&[serving("a", &app, "north")]);
    for number in 0..3 {
        assert_eq!(node.ask(&request("read", &format!("r{number}"))).status(), 200);
    }
}

#[test]
fn an_app_server_that_ends_its_connection_after_an_answer_has_answered() {
    let app =
        App::start(|_| Reply::Bytes(b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"));
    let node = Node::with(&[serving("a", &app, "north")]);
    for number in 0..3 {
        assert_eq!(node.ask(&request("order", &format!("r{number}"))).status(), 200);
    }
    assert_eq!(app.accepted.load(Ordering::SeqCst), 3);
}

#[test]
fn a_silent_server_costs_one_answer_and_its_connection() {
    let app = App::start(|_| Reply::Silence);
    let node = Node::with(&[serving("a", &app, "north")]);
    let mut client = node.client();
    assert!(client.ask(&request_with("order", "r1", "large", "2500m")).fails());
    until("the attempt's connection is closed", || app.open() == 0);
    assert_eq!(app.seen(), 1);
    // One answer only: the next thing on the connection is the next answer.
    client.write(b"GET /up HTTP/1.1\r\nHost: h\r\n\r\n");
    assert_eq!(client.read().map(|answer| answer.body), Some(b"up".to_vec()));
}

#[test]
fn a_client_that_leaves_ends_its_attempts() {
    let app = App::start(|_| Reply::Silence);
    let node = Node::with(&[serving("a", &app, "north")]);
    let mut client = node.client();
    client.write(request("order", "r1").as_bytes());
    until("the attempt is out", || app.seen() == 1);
    drop(client);
    until("the attempt's connection is closed", || app.open() == 0);
}

#[test]
fn a_second_request_of_an_open_id_is_not_run() {
    let app = App::start(|_| Reply::Slow(Duration::from_millis(500)));
    let node = Node::with(&[serving("a", &app, "north")]);
    let mut client = node.client();
    client.write(request("order", "r1").as_bytes());
    until("the attempt is out", || app.seen() == 1);
    assert!(node.ask(&request("order", "r1")).fails());
    assert_eq!(client.read().map(|answer| answer.status()), Some(200));
    assert_eq!(app.seen(), 1);
}

#[test]
fn a_customer_over_its_quota_is_refused_at_once_and_told_when_to_come_back() {
    let app = App::start(|_| Reply::ok("x"));
    let node = Node::with(&[serving("a", &app, "north")]);
    let answers: Vec<_> =
        (0..4).map(|n| node.ask(&request_with("read", &format!("r{n}"), "small", "15000m"))).collect();
    assert_eq!(answers[0].status(), 200);
    let refused = answers.last().expect("some answers");
    assert!(refused.refuses());
    let wait = refused.header("retry-after").map(str::parse::<f64>);
    assert!(matches!(wait, Some(Ok(wait)) if wait > 0.0 && wait <= 2.0), "{wait:?}");
    assert!(app.seen() < 4);
}

#[test]
fn a_drain_told_while_connecting_is_kept() {
    // A listener whose queue is full answers no connection until the queue is emptied.
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
    socket.listen(0).expect("it listens");
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
    until("discovery is watched", || discovery.watched.load(Ordering::SeqCst) > 0);
    let mut client = node.client();
    client.write(b"GET /up HTTP/1.1\r\nHost: h\r\n\r\n");
    assert_eq!(client.read().map(|answer| answer.status()), Some(200));
    let before = node.descriptors();
    client.write(request("order", "r1").as_bytes());
    until("the node connects", || node.descriptors() > before);
    discovery.push(&listing(2, false, &[target("a", address, "north", "DRAINING")]));
    until("the node knows of the drain", || {
        let mut up = node.client();
        up.write(b"GET /up HTTP/1.1\r\nHost: h\r\n\r\n");
        up.read().is_some_and(|answer| answer.status() == 503)
    });
    let written = std::thread::spawn(move || {
        let mut written = 0;
        let ours = filling.len();
        for stream in listener.incoming().take(ours + 1) {
            let stream = stream.expect("it is accepted");
            if filling.pop().is_none() {
                stream.set_read_timeout(Some(PATIENCE)).expect("a time-out can be set");
                written += { stream }.read(&mut [0; 64]).unwrap_or(0);
            }
        }
        written
    });
    // Nothing was written, so trying again is harmless.
    assert!(client.read().expect("an answer").refuses());
    assert_eq!(written.join().expect("no panic"), 0);
}

#[test]
fn a_drained_server_gets_nothing_new() {
    let apps = [App::start(|_| Reply::ok("x")), App::start(|_| Reply::ok("x"))];
    let list = listing(1, true, &[serving("a", &apps[0], "north"), serving("b", &apps[1], "north")]);
    let discovery = Discovery::start(list.clone());
    let node = Node::start(&config(discovery.address, &list, SETTINGS, 1024));
    let drained = target("a", apps[0].address, "north", "DRAINING");
    node.ask(&request("read", "r0"));
    discovery.push(&listing(2, false, &[drained]));
    until("idle connections to it are closed", || {
        node.ask(&request("read", "r"));
        apps[0].open() == 0 && apps[1].seen() > 0
    });
    let before = apps[0].seen();
    for number in 0..20 {
        assert_eq!(node.ask(&request("read", &format!("d{number}"))).status(), 200);
    }
    assert_eq!(apps[0].seen(), before);
}

#[test]
fn after_a_bad_line_the_list_is_fetched_anew() {
    let old = App::start(|_| Reply::ok("old"));
    let new = App::start(|_| Reply::ok("new"));
    let list = listing(1, true, &[serving("a", &old, "north")]);
    let discovery = Discovery::start(list.clone());
    let node = Node::start(&config(discovery.address, &list, SETTINGS, 1024));
    until("discovery is watched", || discovery.watched.load(Ordering::SeqCst) > 0);
    discovery.set(listing(2, true, &[serving("b", &new, "north")]));
    let lists = discovery.lists.load(Ordering::SeqCst);
    discovery.push(r#"{"rev":2,"all":false,"targets":[{"uid":"#);
    until("the list is fetched anew", || discovery.lists.load(Ordering::SeqCst) > lists);
    until("the new server is used", || node.ask(&request("read", "r")).body == b"new");
}

#[test]
fn a_watch_that_ends_or_falls_silent_is_opened_again() {
    let app = App::start(|_| Reply::ok("x"));
    let list = listing(1, true, &[serving("a", &app, "north")]);
    let discovery = Discovery::start(list.clone());
    let _node = Node::start(&config(discovery.address, &list, SETTINGS, 1024));
    until("discovery is watched", || discovery.watched.load(Ordering::SeqCst) == 1);
    discovery.hang_up();
    until("a second watch", || discovery.watched.load(Ordering::SeqCst) == 2);
    // It sends no empty lines.
    until("a third watch", || discovery.watched.load(Ordering::SeqCst) == 3);
}

#[test]
fn sigterm_ends_the_node_once_all_is_answered() {
    let app = App::start(|_| Reply::Slow(Duration::from_millis(1500)));
    let mut node = Node::with(&[serving("a", &app, "north")]);
    let (mut open, mut idle) = (node.client(), node.client());
    idle.write(b"GET /up HTTP/1.1\r\nHost: h\r\n\r\n");
    assert_eq!(idle.read().map(|answer| answer.status()), Some(200));
    open.write(request("order", "r1").as_bytes());
    until("the attempt is out", || app.seen() == 1);
    node.terminate();
    until("new clients are told to leave", || {
        let mut client = node.client();
        client.write(b"GET /up HTTP/1.1\r\nHost: h\r\n\r\n");
        client.read().is_some_and(|answer| answer.header("connection") == Some("close"))
    });
    let answer = open.read().expect("what was taken is answered");
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert!(idle.read().is_none());
    assert_eq!(node.exit_code(), Some(0));
}

#[test]
fn a_body_over_the_limit_is_refused_as_too_large() {
    let app = App::start(|_| Reply::ok("x"));
    let node = Node::with(&[serving("a", &app, "north")]);
    let head = request("order", "r1").replace("Content-Length: 4\r\n", "Content-Length: 65537\r\n");
    assert_eq!(node.ask(head.trim_end_matches("body")).status(), 413);
    assert_eq!(app.seen(), 0);
}

#[test]
fn a_body_that_does_not_come_does_not_hold_the_node_up() {
    let app = App::start(|_| Reply::ok("x"));
    let node = Node::with(&[serving("a", &app, "north")]);
    let mut slow = node.client();
    slow.write(request_with("order", "r1", "large", "300m").trim_end_matches("dy").as_bytes());
    assert_eq!(node.ask(&request("order", "r2")).status(), 200);
    assert_eq!(slow.read().map(|answer| answer.status()), Some(408));
    assert_eq!(app.seen(), 1);
}

#[test]
fn idle_and_half_sent_connections_give_way_at_the_bound() {
    let app = App::start(|_| Reply::ok("x"));
    let list = listing(1, true, &[serving("a", &app, "north")]);
    let discovery = Discovery::start(list.clone());
    let mut node = Node::start(&config(discovery.address, &list, SETTINGS, 40));
    let mut held = Vec::new();
    for number in 0..60 {
        let mut client = node.client();
        if number % 2 == 0 {
            client.write(b"GET /api HTTP/1.1\r\nReq-Id: ha");
        }
        held.push(client);
        assert!(node.descriptors() <= 40);
    }
    assert_eq!(node.ask(&request("read", "r1")).status(), 200);
    assert!(node.runs());
}

#[test]
fn attempts_stay_within_the_descriptors() {
    let app = App::start(|_| Reply::Silence);
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
        assert!(client.read().is_some_and(|answer| answer.status() >= 400));
    }
    drop(clients);
    until("all its sockets are closed", || node.descriptors() <= base && app.open() == 0);
    assert!(node.runs());
}

#[test]
fn connections_are_closed_before_the_app_servers_would() {
    let app = App::start(|_| Reply::ok("x"));
    let list = listing(1, true, &[serving("a", &app, "north")]);
    let discovery = Discovery::start(list.clone());
    let settings = SETTINGS.replace("\"keepaliveMs\": 15000", "\"keepaliveMs\": 1000");
    let node = Node::start(&config(discovery.address, &list, &settings, 1024));
    assert_eq!(node.ask(&request("order", "r1")).status(), 200);
    until("the idle connection is closed", || app.open() == 0);
}

#[test]
fn a_configuration_that_cannot_be_used_gives_one_plain_line() {
    let good = config(nowhere(), "null", SETTINGS, 1024);
    let taken = TcpListener::bind("127.0.0.1:0").expect("a port");
    let taken = format!("\"listen\":\"{}\"", taken.local_addr().expect("an address"));
    let bad = [
        None,
        Some("{".to_owned()),
        Some(good.replace("8c1f30d27a5be964", "seed")),
        Some(good.replace("\"rank\": 0", "\"rank\": 3")),
        Some(good.replace("\"effect\": \"safe\"", "\"effect\": \"odd\"")),
        Some(good.replace("\"refill\": 1000", "\"refill\": -1")),
        Some(good.replace("\"sockets\":1024", "\"sockets\":8")),
        Some(good.replace("\"listen\":\"127.0.0.1:0\"", &taken)),
    ];
    for text in bad {
        let mut command = Command::new(env!("CARGO_BIN_EXE_ivygate"));
        command.env_remove("RELAY_CONFIG").stderr(Stdio::piped());
        let path = text.as_deref().map(scratch);
        if let Some(path) = &path {
            command.env("RELAY_CONFIG", path);
        }
        let output = command.output().expect("it ends");
        let error = String::from_utf8(output.stderr).expect("UTF-8");
        assert!(!output.status.success(), "{text:?}");
        assert!(error.starts_with("ivygate: ") && error.trim_end().lines().count() == 1, "{text:?}: {error}");
        if let Some(path) = path {
            let _ = std::fs::remove_file(path);
        }
    }
}

#[test]
fn an_unsafe_request_takes_a_new_connection_where_kept_ones_break() {
    // Connections take one request each, and are closed by the second one.
    let fresh = std::sync::Mutex::new(std::collections::HashSet::new());
    let app = App::start(move |request| {
        let peer = request.header("peer").expect("its connection").to_owned();
        if fresh.lock().expect("no panic").insert(peer) {
            Reply::ok("x")
        } else {
            Reply::Close
        }
    });
    let node = Node::with(&[serving("a", &app, "north")]);
    for number in 0..10 {
        // Safe to repeat, so that the node may learn.
        node.ask(&request("read", &format!("r{number}")));
    }
    for number in 0..10 {
        assert_eq!(node.ask(&request("order", &format!("o{number}"))).status(), 200, "{number}");
    }
}
