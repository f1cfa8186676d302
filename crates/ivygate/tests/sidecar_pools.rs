//! End-to-end tests of retries, rejections and the isolation of pools.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use support::*;

/// Answers the first request with `first` and all others with 200.
fn first_then_ok(first: fn() -> Reply) -> impl Fn(&Message) -> Reply + Clone + Send + Sync + 'static {
    let count = Arc::new(AtomicUsize::new(0));
    move |_| if count.fetch_add(1, Ordering::SeqCst) == 0 { first() } else { Reply::ok("second") }
}

fn start_with_two_servers(
    reply: impl Fn(&Message) -> Reply + Clone + Send + Sync + 'static,
    zones: [&str; 2],
    extra: &str,
) -> ([AppServer; 2], Sidecar) {
    let apps = [AppServer::start(reply.clone()), AppServer::start(reply)];
    let servers = [(apps[0].address, zones[0]), (apps[1].address, zones[1])];
    let parts = [
        pool("app", extra, &servers),
        route("app", "read"),
        "route w { path prefix /w; class edit; pool app; }\n".into(),
        "route o { path prefix /o; class order; pool app; }\n".into(),
    ];
    let sidecar = Sidecar::with(&parts);
    (apps, sidecar)
}

fn total_seen(apps: &[AppServer]) -> usize {
    apps.iter().map(AppServer::request_count).sum()
}

const KEY: &str = "Idempotency-Key: k\r\n";

#[test]
fn order_is_not_retried_after_its_last_byte_was_sent() {
    let (apps, sidecar) = start_with_two_servers(|_| Reply::Close, ["north", "south"], "");
    let answer = sidecar.post("/o", "", "paid");
    // Not 503 either, which would invite the client to retry.
    assert_eq!((answer.status(), total_seen(&apps)), (502, 1));
}

/// A server may begin to work on an order as soon as it has its head.
#[test]
fn order_is_not_retried_once_a_byte_of_it_was_sent() {
    // A small receive buffer, so that a large body cannot be written completely to a server that does not read.
    let listener =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    listener.set_recv_buffer_size(8 << 10).expect("a size");
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    listener.bind(&any.into()).and_then(|()| listener.listen(16)).expect("a port");
    let listener: TcpListener = listener.into();
    let address = listener.local_addr().expect("an address");
    let complete = Arc::new(AtomicUsize::new(0));
    let counted = complete.clone();
    let app = ScriptedServer::on(listener, move |stream, number| {
        if number == 0 {
            read_head(stream);
            return reset_on_close(stream.get_ref());
        }
        if read_message(stream).is_some_and(|m| m.body.len() == 16 << 20) {
            counted.fetch_add(1, Ordering::SeqCst);
            let _ = stream.get_mut().write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        }
    });
    let extra = "repeat-limit 32MiB; buffered 64MiB;";
    let parts = [pool("app", extra, &[(address, "north")]), route("app", "order")];
    let sidecar = Sidecar::with(&parts);
    let answer = sidecar.post("/app", "", &"x".repeat(16 << 20));
    assert_eq!((answer.status(), app.accepted(), complete.load(Ordering::SeqCst)), (502, 1, 0));
}

#[test]
fn order_that_no_server_accepted_is_rejected_as_retryable() {
    let nowhere = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port");
    let parts = [pool("app", "", &[(nowhere, "north")]), route("app", "order")];
    let sidecar = Sidecar::with(&parts);
    let answer = sidecar.post("/app", "", "paid");
    assert_eq!(answer.status(), 503);
    let wait: u64 = answer.header("retry-after").expect("a delay").parse().expect("whole seconds");
    assert!(wait >= 1);
}

#[test]
fn order_answered_503_is_retried_only_with_the_configured_proof() {
    let busy = || Reply::Answer("503 Busy", "Srv-Declined: 1\r\n", b"theirs".to_vec());
    let (apps, sidecar) = start_with_two_servers(first_then_ok(busy), ["north", "south"], "");
    let answer = sidecar.post("/o", "", "paid");
    assert_eq!((answer.status(), answer.body.as_slice(), total_seen(&apps)), (503, &b"theirs"[..], 1));
    let (apps, sidecar) =
        start_with_two_servers(first_then_ok(busy), ["north", "south"], "declined Srv-Declined 1;");
    assert_eq!((sidecar.post("/o", "", "paid").status(), total_seen(&apps)), (200, 2));
}

#[test]
fn safe_request_is_retried_after_a_reset_or_503() {
    for first in [|| Reply::Close, || Reply::Answer("503 Busy", "", Vec::new())] {
        let (apps, sidecar) = start_with_two_servers(first_then_ok(first), ["north", "south"], "");
        let answer = sidecar.get("/app");
        assert_eq!((answer.status(), answer.body.as_slice(), total_seen(&apps)), (200, &b"second"[..], 2));
    }
}

#[test]
fn repeated_failure_is_relayed_as_answered_by_the_last_server() {
    let (apps, sidecar) = start_with_two_servers(
        |_| Reply::Answer("503 Busy", "X: 1\r\n", b"theirs".to_vec()),
        ["north", "south"],
        "",
    );
    let answer = sidecar.get("/app");
    assert_eq!(
        (answer.status(), answer.body.as_slice(), answer.header("x")),
        (503, &b"theirs"[..], Some("1"))
    );
    assert!(total_seen(&apps) >= 2);
}

#[test]
fn keyed_request_that_may_have_run_is_retried_in_its_zone_only() {
    let (apps, sidecar) = start_with_two_servers(first_then_ok(|| Reply::Close), ["north", "north"], "");
    assert_eq!((sidecar.post("/w", KEY, "x").status(), total_seen(&apps)), (200, 2));
    let sent = apps
        .iter()
        .flat_map(|a| a.requests.lock().expect("no panic").clone())
        .all(|m| m.header("idempotency-key") == Some("k"));
    assert!(sent, "both attempts carry the key");
    let (apps, sidecar) = start_with_two_servers(first_then_ok(|| Reply::Close), ["north", "south"], "");
    let answer = sidecar.post("/w", KEY, "x");
    // The only server of its zone is the one that failed. It may be retried there, but never in the other zone.
    assert!(apps.iter().any(|a| a.request_count() == 0), "{}", answer.status());
}

#[test]
fn keyed_class_without_a_key_is_not_retried() {
    let (apps, sidecar) = start_with_two_servers(|_| Reply::Close, ["north", "north"], "");
    assert_eq!((sidecar.post("/w", "", "x").status(), total_seen(&apps)), (502, 1));
    // Conflicting keys are rejected, since a server may use either.
    let both = "Idempotency-Key: a\r\nIdempotency-Key: b\r\n";
    assert_eq!((sidecar.post("/w", both, "x").status(), total_seen(&apps)), (400, 1));
}

#[test]
fn keyed_request_is_not_retried_after_its_window() {
    let slow_break = || {
        std::thread::sleep(Duration::from_millis(700));
        Reply::Close
    };
    for (window, expected) in [("300ms meant", 1), ("15s", 2)] {
        let reply = first_then_ok(slow_break);
        let apps = [AppServer::start(reply.clone()), AppServer::start(reply)];
        let servers = [(apps[0].address, "north"), (apps[1].address, "north")];
        let text = Sidecar::text("", &[pool("app", "", &servers), route("app", "edit")])
            .replace("window 15s", &format!("window {window}"));
        let sidecar = Sidecar::start(&text);
        let answer = sidecar.post("/app", KEY, "x");
        assert_eq!((total_seen(&apps), answer.status() == 200), (expected, expected == 2), "{window}");
    }
}

#[test]
fn body_beyond_the_repeat_limit_is_not_resent() {
    let (apps, sidecar) =
        start_with_two_servers(first_then_ok(|| Reply::Close), ["north", "north"], "repeat-limit 1KiB;");
    let request = |size: usize| {
        let body = "x".repeat(size);
        format!("PUT /app HTTP/1.1\r\nHost: h\r\nContent-Length: {size}\r\n\r\n{body}")
    };
    let answer = sidecar.ask(&request(4096));
    assert!(answer.status() >= 500, "{}", answer.status());
    assert_eq!(total_seen(&apps), 1);
    let (apps, sidecar) =
        start_with_two_servers(first_then_ok(|| Reply::Close), ["north", "north"], "repeat-limit 1KiB;");
    assert_eq!((sidecar.ask(&request(1024)).status(), total_seen(&apps)), (200, 2));
}

#[test]
fn large_body_is_sent_to_another_server_if_none_of_it_was_sent() {
    let nowhere = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port");
    let app = AppServer::start(|m| Reply::ok(&m.body.len().to_string()));
    let parts = [
        pool("app", "repeat-limit 1KiB;", &[(nowhere, "north"), (app.address, "north")]),
        route("app", "order"),
    ];
    let sidecar = Sidecar::with(&parts);
    for _ in 0..8 {
        let answer = sidecar.post("/app", "", &"x".repeat(100_000));
        assert_eq!((answer.status(), answer.body.as_slice()), (200, &b"100000"[..]));
    }
}

#[test]
fn buffered_bodies_are_bounded_per_pool() {
    let app = AppServer::start(|_| Reply::Silence);
    let other = AppServer::start(|_| Reply::ok("x"));
    let parts = [
        pool("app", "buffered 64KiB; repeat-limit 64KiB;", &[(app.address, "north")]),
        route("app", "order"),
        pool("other", "", &[(other.address, "north")]),
        route("other", "order"),
    ];
    let sidecar = Sidecar::with(&parts);
    let body = "x".repeat(60_000);
    let mut first = sidecar.client();
    first.write(format!("POST /app HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n{body}").as_bytes());
    wait_until("the application receives the request", || app.request_count() == 1);
    let answer = sidecar.post("/app", "", &body);
    assert_eq!((answer.status(), app.request_count()), (503, 1));
    assert!(answer.header("retry-after").is_some());
    assert_eq!(sidecar.post("/other", "", &body).status(), 200);
    drop(first);
    // Retries until the memory of the disconnected client's body has been released.
    let mut again = sidecar.client();
    wait_until("the buffer space is released", || {
        again = sidecar.client();
        again.write(
            format!("POST /app HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n{body}").as_bytes(),
        );
        std::thread::sleep(Duration::from_millis(20));
        app.request_count() == 2
    });
}

#[test]
fn quotas_apply_per_customer_and_plan() {
    let app = AppServer::start(|_| Reply::ok("x"));
    let plans = "plan wide { } plan narrow { quota 1/h; burst 2; }
        identity { customer header X-Customer; plan header X-Plan; default-plan wide; }
        customer small { plan narrow; }\n";
    let parts = [plans.to_owned(), pool("app", "", &[(app.address, "north")]), route("app", "read")];
    let get = |sidecar: &Sidecar, headers: &str| {
        sidecar.ask(&format!("GET /app HTTP/1.1\r\nHost: h\r\n{headers}\r\n"))
    };
    let sidecar = Sidecar::with(&parts);
    let passed = |headers: &str| (0..6).filter(|_| get(&sidecar, headers).status() == 200).count();
    assert_eq!(passed("X-Customer: small\r\n"), 2);
    assert_eq!(passed("X-Customer: other\r\n"), 6);
    // This peer is not trusted to name plans.
    assert_eq!(passed("X-Customer: third\r\nX-Plan: narrow\r\n"), 6);
    let refused = get(&sidecar, "X-Customer: small\r\n");
    assert_eq!(refused.status(), 429);
    assert!(refused.header("retry-after").is_some_and(|wait| wait.parse::<u64>().is_ok_and(|s| s >= 1)));
    let sidecar = Sidecar::start(&Sidecar::text("trusted 127.0.0.1;", &parts));
    let passed = |headers: &str| (0..6).filter(|_| get(&sidecar, headers).status() == 200).count();
    assert_eq!(passed("X-Customer: third\r\nX-Plan: narrow\r\n"), 2);
    let named_twice = get(&sidecar, "X-Customer: a\r\nX-Customer: b\r\n");
    assert_eq!(named_twice.status(), 400);
}

#[test]
fn trusted_peer_can_shorten_but_not_extend_the_deadline() {
    let app = AppServer::start(|request| {
        let stalls = request.start.contains("stall");
        if stalls {
            Reply::Silence
        } else {
            Reply::ok("x")
        }
    });
    let identity = "identity { deadline header Req-Deadline; }\n";
    let parts = [identity.to_owned(), pool("app", "", &[(app.address, "north")]), route("app", "order")];
    let text = Sidecar::text("trusted 127.0.0.1;", &parts);
    let sidecar =
        Sidecar::start(&text.replace("aim 8s; deadline 20s; worth 5", "aim 200ms; deadline 600s; worth 5"));
    // The deadline of the class is ten minutes.
    assert_eq!(sidecar.post("/app/stall", "Req-Deadline: 300ms\r\n", "x").status(), 504);
    assert_eq!(sidecar.post("/app", "Req-Deadline: soon\r\n", "x").status(), 400);
    let sidecar =
        Sidecar::start(&text.replace("aim 8s; deadline 20s; worth 5", "aim 200ms; deadline 300ms; worth 5"));
    assert_eq!(sidecar.post("/app/stall", "Req-Deadline: 600s\r\n", "x").status(), 504);
}

/// Returns servers with different faults.
fn faulty_servers() -> Vec<(&'static str, ScriptedServer)> {
    let repeat_slowly = |answer: &'static [u8], interval: Duration| {
        ScriptedServer::start(move |stream, _| {
            if read_message(stream).is_none() {
                return;
            }
            for byte in answer.iter().cycle() {
                if stream.get_mut().write_all(&[*byte]).is_err() {
                    return;
                }
                std::thread::sleep(interval);
            }
        })
    };
    vec![
        (
            "stalls",
            ScriptedServer::start(|stream, _| {
                read_message(stream);
                let _ = stream.read(&mut [0]);
            }),
        ),
        (
            "resets",
            ScriptedServer::start(|stream, _| {
                read_message(stream);
                reset_on_close(stream.get_ref());
            }),
        ),
        ("hangs up", ScriptedServer::start(|_, _| {})),
        ("trickles its head", repeat_slowly(b"HTTP/1.1 200 OK\r\nX: ", Duration::from_millis(20))),
        (
            "floods headers",
            ScriptedServer::start(|stream, _| {
                if read_message(stream).is_none()
                    || stream.get_mut().write_all(b"HTTP/1.1 200 OK\r\n").is_err()
                {
                    return;
                }
                while stream
                    .get_mut()
                    .write_all(b"X-Flood: xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\n")
                    .is_ok()
                {}
            }),
        ),
        (
            "sends invalid HTTP",
            ScriptedServer::start(|stream, _| {
                read_message(stream);
                let _ = stream.get_mut().write_all(b"220 mail.example.org ESMTP\r\n");
            }),
        ),
    ]
}

#[test]
fn failing_pool_does_not_affect_another() {
    for (fault, bad) in faulty_servers() {
        let good = AppServer::start(|_| Reply::ok("x"));
        let parts = [
            pool("bad", "requests 8; connections 16;", &[(bad.address, "north")])
                .replace("requests 64; connections 64;", ""),
            route("bad", "read"),
            pool("good", "", &[(good.address, "north")]),
            route("good", "order"),
        ];
        let text = Sidecar::text("", &parts).replace(
            "class read  { effect safe; aim 8s; deadline 20s; }",
            "class read { effect safe; aim 500ms; deadline 1s; }",
        );
        let sidecar = Arc::new(Sidecar::start(&text));
        let stop = Arc::new(AtomicBool::new(false));
        let load: Vec<_> = (0..24)
            .map(|_| {
                let (sidecar, stop) = (sidecar.clone(), stop.clone());
                std::thread::spawn(move || {
                    let mut answers = 0;
                    while !stop.load(Ordering::SeqCst) {
                        let status = sidecar.get("/bad").status();
                        assert!(matches!(status, 502..=504), "{status}");
                        answers += 1;
                    }
                    answers
                })
            })
            .collect();
        for number in 0..40 {
            // All are served well within 20 s, none is rejected.
            assert_eq!(sidecar.post("/good", "", "paid").status(), 200, "{fault}, order {number}");
        }
        stop.store(true, Ordering::SeqCst);
        let answers: usize = load.into_iter().map(|f| f.join().expect("no client panics")).sum();
        assert!(answers >= 24, "{fault}");
        assert_eq!(good.request_count(), 40, "{fault}");
    }
}

#[test]
fn slow_application_does_not_affect_the_others() {
    let names = ["tiles", "edits", "orders"];
    let slow: Vec<_> = names.iter().map(|_| Arc::new(AtomicBool::new(false))).collect();
    let apps: Vec<_> = slow
        .iter()
        .map(|slow| {
            let slow = slow.clone();
            AppServer::start(
                move |_| if slow.load(Ordering::SeqCst) { Reply::Silence } else { Reply::ok("x") },
            )
        })
        .collect();
    let classes = ["read", "edit", "order"];
    let mut parts = Vec::new();
    for ((name, class), app) in names.iter().zip(classes).zip(&apps) {
        parts.push(pool(name, "", &[(app.address, "north")]));
        parts.push(route(name, class));
    }
    let sidecar = Sidecar::start(&Sidecar::text("", &parts).replace("deadline 20s", "deadline 15s"));
    let ask = |name: &str| match name {
        "tiles" => sidecar.get("/tiles"),
        _ => sidecar.post(&format!("/{name}"), KEY, "x"),
    };
    for (n, name) in names.iter().enumerate() {
        slow[n].store(true, Ordering::SeqCst);
        let before = apps[n].request_count();
        let mut waiting: Vec<_> = (0..4).map(|_| sidecar.client()).collect();
        for client in &mut waiting {
            let method = if *name == "tiles" { "GET" } else { "POST" };
            client.write(
                format!("{method} /{name} HTTP/1.1\r\nHost: h\r\n{KEY}Content-Length: 0\r\n\r\n").as_bytes(),
            );
        }
        wait_until("the slow application receives a request", || apps[n].request_count() > before);
        for other in names.iter().filter(|other| *other != name) {
            for _ in 0..10 {
                assert_eq!(ask(other).status(), 200, "{other} while {name} is slow");
            }
        }
        drop(waiting);
        slow[n].store(false, Ordering::SeqCst);
    }
}

#[test]
fn flooded_route_leaves_connections_for_the_others() {
    let stuck = AppServer::start(|_| Reply::Silence);
    let good = AppServer::start(|_| Reply::ok("x"));
    let parts = [
        pool("stuck", "", &[(stuck.address, "north")]).replace("requests 64", "requests 16"),
        route("stuck", "order"),
        pool("good", "", &[(good.address, "north")]).replace("requests 64", "requests 16"),
        route("good", "order"),
    ];
    let sidecar = Sidecar::start(&Sidecar::text("", &parts).replace("connections 400", "connections 40"));
    let mut flood: Vec<Client> = Vec::new();
    for _ in 0..100 {
        let mut client = sidecar.client();
        client.write(b"POST /stuck HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx");
        flood.push(client);
    }
    for _ in 0..20 {
        assert_eq!(sidecar.post("/good", "", "paid").status(), 200);
    }
    assert!(stuck.request_count() <= 16, "{} open at once", stuck.request_count());
}

#[test]
fn pool_of_unsafe_requests_notices_that_its_server_has_recovered() {
    let down = Arc::new(AtomicBool::new(true));
    let app = AppServer::start({
        let down = down.clone();
        move |_| if down.load(Ordering::SeqCst) { Reply::Close } else { Reply::ok("x") }
    });
    let parts = [pool("app", "", &[(app.address, "north")]), route("app", "order")];
    let text =
        Sidecar::text("", &parts).replace("aim 8s; deadline 20s; worth 5", "aim 200ms; deadline 1s; worth 5");
    let sidecar = Sidecar::start(&text);
    for _ in 0..8 {
        assert!(sidecar.post("/app", "", "paid").status() >= 500);
    }
    down.store(false, Ordering::SeqCst);
    // Waits longer than the longest ejection, three latency targets. From then on orders avoid the server until it has
    // answered something else, but the pool has no other class. The result does not depend on the exact time.
    std::thread::sleep(Duration::from_secs(1));
    wait_until("orders are served again", || sidecar.post("/app", "", "paid").status() == 200);
}

#[test]
fn pool_slower_than_its_latency_target_accepts_requests_again() {
    let slow = Arc::new(AtomicBool::new(true));
    let app = AppServer::start({
        let slow = slow.clone();
        move |_| {
            if slow.load(Ordering::SeqCst) {
                std::thread::sleep(Duration::from_millis(300));
            }
            Reply::ok("x")
        }
    });
    let parts = [pool("app", "", &[(app.address, "north")]), route("app", "order")];
    let text = Sidecar::text("", &parts)
        .replace("aim 8s; deadline 20s; worth 5", "aim 100ms; deadline 10s; worth 5");
    let sidecar = Sidecar::start(&text);
    // After twenty answers at three times the latency target the server counts as slow, but single requests are still
    // admitted.
    for _ in 0..20 {
        assert_eq!(sidecar.post("/app", "", "x").status(), 200);
    }
    slow.store(false, Ordering::SeqCst);
    for _ in 0..20 {
        assert_eq!(sidecar.post("/app", "", "x").status(), 200);
    }
}

#[test]
fn unsolicited_second_response_is_not_used_for_the_next_request() {
    let app = ScriptedServer::start(|stream, _| {
        while let Some(request) = read_message(stream) {
            let path = request.start.split(' ').nth(1).unwrap_or("").to_owned();
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{path}", path.len());
            let unsolicited = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray";
            let _ = stream.get_mut().write_all((answer + unsolicited).as_bytes());
        }
    });
    let parts = [pool("app", "", &[(app.address, "north")]), route("app", "read")];
    let sidecar = Sidecar::with(&parts);
    let mut client = sidecar.client();
    for number in 0..50 {
        let answer = client.ask(&format!("GET /app/{number} HTTP/1.1\r\nHost: h\r\n\r\n"));
        assert_eq!(String::from_utf8_lossy(&answer.body), format!("/app/{number}"));
    }
}
