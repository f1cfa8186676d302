//! End-to-end tests of sign-in checks: which requests are forwarded or denied, and that none is forwarded twice.

mod support;

use ivygate_test_servers::{
    read_message, reset_on_close, wait_until, AppServer, Message, Reply, ScriptedServer,
};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use support::{pool, Sidecar};

/// Sidecar with a sign-in check for `/app`, and scripted sign-in service and application.
struct TestSetup {
    accounts: AppServer,
    app: AppServer,
    /// Requests received by the sign-in service.
    checks: Arc<Mutex<Vec<Message>>>,
    /// Requests received by the application.
    forwarded: Arc<Mutex<Vec<Message>>>,
    sidecar: Sidecar,
}

fn start(
    class: &str,
    extra: &str,
    accounts: impl Fn(&Message) -> Reply + Send + Sync + 'static,
) -> TestSetup {
    start_with_app(class, extra, accounts, |_| Reply::ok("done"))
}

fn start_with_app(
    class: &str,
    extra: &str,
    accounts: impl Fn(&Message) -> Reply + Send + Sync + 'static,
    app: impl Fn(&Message) -> Reply + Send + Sync + 'static,
) -> TestSetup {
    let (checks, forwarded) = (Arc::<Mutex<Vec<Message>>>::default(), Arc::<Mutex<Vec<Message>>>::default());
    let record = |into: &Arc<Mutex<Vec<Message>>>, message: &Message| {
        into.lock().expect("a list").push(message.clone());
    };
    let accounts = {
        let checks = checks.clone();
        AppServer::start(move |m| {
            record(&checks, m);
            accounts(m)
        })
    };
    let app = {
        let forwarded = forwarded.clone();
        AppServer::start(move |m| {
            record(&forwarded, m);
            app(m)
        })
    };
    let text = Sidecar::text(
        "",
        &[
            pool("accounts", "", &[(accounts.address, "north")]),
            pool("app", "", &[(app.address, "north")]),
            format!(
                "sign-in members {{ pool accounts; path /check; answer-headers X-User X-Plan; {extra} }}\n\
                 route app {{ path prefix /app; methods GET POST; sign-in members; class {class}; pool app; }}\n\
                 route free {{ path prefix /free; methods GET POST; class {class}; pool app; }}\n"
            ),
        ],
    );
    let sidecar = Sidecar::start(&text);
    TestSetup { accounts, app, checks, forwarded, sidecar }
}

fn post(setup: &TestSetup, path: &str, headers: &str) -> Message {
    setup
        .sidecar
        .client()
        .ask(&format!("POST {path} HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 3\r\n{headers}\r\nx=1"))
}

#[test]
fn allowed_request_is_forwarded_with_the_services_headers() {
    let setup =
        start("order", "", |_| Reply::Answer("204 No Content", "X-User: ann\r\nX-Other: no\r\n", Vec::new()));
    let answer = post(&setup, "/app/a?b=c", "Authorization: Bearer t\r\nCookie: k=v\r\nX-Secret: s\r\n");
    assert_eq!((answer.status(), answer.body.as_slice()), (200, &b"done"[..]));
    let checks = setup.checks.lock().expect("a list");
    let check = &checks[0];
    assert!(check.start.starts_with("GET /check "), "{}", check.start);
    for (name, value) in [
        ("x-forwarded-method", Some("POST")),
        ("x-forwarded-uri", Some("/app/a?b=c")),
        ("x-forwarded-host", Some("shop.example")),
        ("x-forwarded-proto", Some("http")),
        ("x-forwarded-for", Some("127.0.0.1")),
        ("authorization", Some("Bearer t")),
        ("cookie", Some("k=v")),
        ("x-secret", None),
    ] {
        assert_eq!(check.header(name), value, "{name}");
    }
    assert!(check.body.is_empty());
    let forwarded = setup.forwarded.lock().expect("a list");
    assert_eq!((forwarded[0].header("x-user"), forwarded[0].header("x-other")), (Some("ann"), None));
    assert_eq!((forwarded.len(), forwarded[0].body.as_slice()), (1, &b"x=1"[..]));
}

#[test]
fn denial_is_relayed_with_its_headers_and_nothing_is_forwarded() {
    for (status, header) in [
        ("401 Unauthorized", "WWW-Authenticate: Bearer\r\n"),
        ("403 Forbidden", "Set-Cookie: tried=1\r\n"),
        ("302 Found", "Location: /login\r\n"),
    ] {
        let setup =
            start("order", "on-failure closed;", move |_| Reply::Answer(status, header, b"no".to_vec()));
        let answer = post(&setup, "/app", "");
        let (name, value) = header.trim().split_once(": ").expect("a header");
        assert_eq!(answer.status().to_string(), status[..3]);
        assert_eq!(
            (answer.header(&name.to_ascii_lowercase()), answer.body.as_slice()),
            (Some(value), &b"no"[..])
        );
        assert_eq!(setup.app.request_count(), 0);
    }
}

#[test]
fn failing_service_rejects_requests_unless_configured_to_fail_open() {
    type Script = fn(&Message) -> Reply;
    let failures: [(&str, Script); 6] = [
        ("500", |_| Reply::Answer("500 Internal Server Error", "", Vec::new())),
        ("404", |_| Reply::Answer("404 Not Found", "", Vec::new())),
        ("hangs up", |_| Reply::Close),
        ("invalid HTTP", |_| Reply::Bytes(b"what?\r\n\r\n")),
        ("incomplete allow response", |_| Reply::Bytes(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")),
        ("silence", |_| Reply::Silence),
    ];
    for (name, script) in failures {
        let closed = start("order", "within 300ms;", script);
        let answer = post(&closed, "/app", "");
        assert_eq!(answer.status(), 503, "{name}");
        assert!(answer.header("retry-after").is_some(), "{name}");
        assert_eq!(closed.app.request_count(), 0, "{name}");
        let open = start("read", "within 300ms; on-failure open;", script);
        assert_eq!(post(&open, "/app", "").status(), 200, "{name}");
        assert_eq!(open.app.request_count(), 1, "{name}");
    }
}

#[test]
fn identity_headers_of_clients_are_removed_in_every_spelling() {
    let spellings = [
        "X-User", "x-user", "X-USER", "X_User", "x_user", "X_USER", "x-User", "X-uSER", "x_USER", "X-usER",
        "X_uSeR", "x-UsEr",
    ];
    for path in ["/app", "/free"] {
        let setup = start("order", "", |_| Reply::Answer("200 OK", "X-User: ann\r\n", Vec::new()));
        for spelling in spellings {
            assert_eq!(post(&setup, path, &format!("{spelling}: root\r\n")).status(), 200);
        }
        let forwarded = setup.forwarded.lock().expect("a list");
        assert_eq!(forwarded.len(), spellings.len());
        for message in forwarded.iter() {
            let named: Vec<_> = message
                .headers
                .iter()
                .filter(|(name, _)| name.to_ascii_lowercase().replace('_', "-") == "x-user")
                .map(|(_, value)| value.as_str())
                .collect();
            let expected: &[&str] = if path == "/app" { &["ann"] } else { &[] };
            assert_eq!(named, expected, "{path}");
        }
    }
}

#[test]
fn retried_check_forwards_the_order_once() {
    let count = Arc::new(AtomicUsize::new(0));
    let counted = count.clone();
    let setup = start("order", "", move |_| match counted.fetch_add(1, Ordering::SeqCst) {
        0 => Reply::Close,
        _ => Reply::ok("yes"),
    });
    // The pool may retry its only server or reject the check; either way the order is forwarded at most once.
    let status = post(&setup, "/app", "").status();
    assert!([200, 503].contains(&status), "{status}");
    assert_eq!(setup.app.request_count(), usize::from(status == 200));
}

#[test]
fn failed_order_is_not_resent_by_another_check() {
    let setup = start_with_app("order", "", |_| Reply::ok("yes"), |_| Reply::Close);
    assert_eq!(post(&setup, "/app", "").status(), 502);
    assert_eq!((setup.accounts.request_count(), setup.app.request_count()), (1, 1));
}

#[test]
fn client_disconnect_cancels_the_check() {
    let setup = start("order", "within 5s;", |_| Reply::Silence);
    let mut client = setup.sidecar.client();
    client.write(b"POST /app HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nx=1");
    wait_until("the sign-in service receives a check", || setup.accounts.request_count() == 1);
    drop(client);
    wait_until("the check's connection is closed", || setup.accounts.open() == 0);
    assert_eq!(setup.app.request_count(), 0);
}

#[test]
fn check_timeout_forwards_nothing_and_gives_one_answer() {
    let setup = start("order", "within 200ms;", |_| Reply::Slow(Duration::from_millis(1500)));
    let mut client = setup.sidecar.client();
    let answer = client.ask("POST /app HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nx=1");
    assert_eq!(answer.status(), 503);
    // The late allow response has no effect; the connection stays usable for the next request.
    let next = client.ask("GET /elsewhere HTTP/1.1\r\nHost: h\r\n\r\n");
    assert_eq!((next.status(), setup.app.request_count()), (404, 0));
}

#[test]
fn cached_allow_applies_to_the_same_credentials_and_not_to_unsafe_requests() {
    let setup = start("read", "cache-yes 1m;", |m| {
        let user = m.header("authorization").unwrap_or("nobody").to_owned();
        Reply::Answer("200 OK", Box::leak(format!("X-User: {user}\r\n").into_boxed_str()), Vec::new())
    });
    for (credential, expected_checks) in [("a", 1), ("a", 1), ("b", 2), ("a", 2), ("b", 2)] {
        assert_eq!(post(&setup, "/app", &format!("Authorization: {credential}\r\n")).status(), 200);
        assert_eq!(setup.accounts.request_count(), expected_checks);
        let forwarded = setup.forwarded.lock().expect("a list");
        assert_eq!(forwarded.last().and_then(|m| m.header("x-user")), Some(credential));
    }
    let orders = start("order", "cache-yes 1m;", |_| Reply::ok("yes"));
    for expected_checks in 1..4 {
        assert_eq!(post(&orders, "/app", "Authorization: a\r\n").status(), 200);
        assert_eq!(orders.accounts.request_count(), expected_checks);
    }
}

#[test]
fn cached_denial_is_repeated_unless_it_sets_a_cookie_or_forbids_caching() {
    for (headers, expected_checks) in
        [("X-Why: late\r\n", 1), ("Set-Cookie: a=b\r\n", 3), ("Cache-Control: no-store\r\n", 3)]
    {
        let setup =
            start("read", "cache-no 1m;", move |_| Reply::Answer("403 Forbidden", headers, b"no".to_vec()));
        for _ in 0..3 {
            let answer = post(&setup, "/app", "Authorization: a\r\n");
            let name = headers.split(':').next().expect("a name").to_ascii_lowercase();
            assert_eq!((answer.status(), answer.body.as_slice()), (403, &b"no"[..]));
            assert!(answer.header(&name).is_some(), "{headers}");
        }
        assert_eq!(
            (setup.accounts.request_count(), setup.app.request_count()),
            (expected_checks, 0),
            "{headers}"
        );
    }
}

#[test]
fn identical_concurrent_checks_are_sent_once_and_retried_if_the_client_disconnects() {
    let open = Arc::new(AtomicUsize::new(0));
    let may_answer = open.clone();
    let setup = start("read", "cache-yes 1m; within 5s;", move |_| {
        wait_until("the answer may come", || may_answer.load(Ordering::SeqCst) > 0);
        Reply::ok("yes")
    });
    let request = "POST /app HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nx=1";
    let mut first = setup.sidecar.client();
    first.write(request.as_bytes());
    wait_until("the first check is sent", || setup.accounts.request_count() == 1);
    let mut others: Vec<_> = (0..5).map(|_| setup.sidecar.client()).collect();
    for other in &mut others {
        other.write(request.as_bytes());
    }
    // When the client whose check was sent disconnects, one of the others sends it instead.
    drop(first);
    wait_until("another check is sent", || setup.accounts.request_count() == 2);
    open.store(1, Ordering::SeqCst);
    for other in &mut others {
        assert_eq!(other.read().expect("an answer").status(), 200);
    }
    assert_eq!(setup.accounts.request_count(), 2);
}

#[test]
fn fail_open_result_is_not_cached() {
    let count = Arc::new(AtomicUsize::new(0));
    let counted = count.clone();
    let setup = start("read", "cache-yes 1m; on-failure open;", move |_| {
        match counted.fetch_add(1, Ordering::SeqCst) {
            0 => Reply::Answer("500 Internal Server Error", "", Vec::new()),
            _ => Reply::Answer("403 Forbidden", "", Vec::new()),
        }
    });
    assert_eq!(post(&setup, "/app", "").status(), 200);
    assert_eq!(post(&setup, "/app", "").status(), 403);
}

#[test]
fn failed_checks_are_limited_per_address_and_per_credential() {
    let trusted = "trusted 127.0.0.1;";
    let accounts = AppServer::start(|m| match m.header("authorization") {
        Some("good") => Reply::ok("yes"),
        _ => Reply::Answer("401 Unauthorized", "", Vec::new()),
    });
    let app = AppServer::start(|_| Reply::ok("done"));
    let sidecar = Sidecar::start(&Sidecar::text(
        trusted,
        &[
            pool("accounts", "", &[(accounts.address, "north")]),
            pool("app", "", &[(app.address, "north")]),
            "sign-in members { pool accounts; path /check; address-limit 0.01/s meant; credential-limit 0.01/s meant; }\n\
             route app { path prefix /app; methods POST; sign-in members; class order; pool app; }\n"
                .to_owned(),
        ],
    ));
    let ask = |address: &str, pass: &str| {
        sidecar.post("/app", &format!("X-Forwarded-For: {address}\r\nAuthorization: {pass}\r\n"), "x")
    };
    // After ten failures with different credentials the service is no longer queried.
    let statuses: Vec<u16> = (0..30).map(|n| ask("192.0.2.1", &format!("bad-{n}")).status()).collect();
    assert_eq!(statuses[..10], [401; 10]);
    assert_eq!(statuses[10..], [429; 20]);
    assert_eq!(accounts.request_count(), 10);
    assert!(ask("192.0.2.1", "bad").header("retry-after").is_some());
    // Successful checks do not count against the limit.
    for _ in 0..50 {
        assert_eq!(ask("192.0.2.2", "good").status(), 200);
    }
    // A credential that fails from many addresses has its own limit.
    let statuses: Vec<u16> = (0..30).map(|n| ask(&format!("198.51.100.{n}"), "one").status()).collect();
    assert_eq!((statuses[..10].to_vec(), statuses[10..].to_vec()), (vec![401; 10], vec![429; 20]));
    assert_eq!(app.request_count(), 50);
}

#[test]
fn service_failures_and_redirections_do_not_count_as_failed_checks() {
    for (status, expected) in [("500 Internal Server Error", 503), ("302 Found", 302)] {
        let setup =
            start("order", "address-limit 0.01/s meant;", move |_| Reply::Answer(status, "", Vec::new()));
        for _ in 0..30 {
            assert_eq!(post(&setup, "/app", "").status(), expected);
        }
        assert_eq!(setup.app.request_count(), 0);
    }
}

#[test]
fn body_is_sent_with_its_check_and_rejected_if_too_long() {
    let setup = start("order", "body 1KiB;", |m| match m.body.as_slice() {
        b"x=1" => Reply::ok("yes"),
        _ => Reply::Answer("403 Forbidden", "", Vec::new()),
    });
    assert_eq!(post(&setup, "/app", "Content-Type: text/x\r\n").status(), 200);
    assert_eq!(setup.sidecar.post("/app", "", "x=2").status(), 403);
    assert_eq!(setup.sidecar.post("/app", "", &"x".repeat(1025)).status(), 413);
    assert_eq!(setup.sidecar.post("/app", "", &"x".repeat(100_000)).status(), 413);
    let checks = setup.checks.lock().expect("a list");
    assert_eq!(checks.len(), 2);
    assert!(checks[0].start.starts_with("POST /check "), "{}", checks[0].start);
    assert_eq!((checks[0].header("content-type"), checks[0].body.as_slice()), (Some("text/x"), &b"x=1"[..]));
    let forwarded = setup.forwarded.lock().expect("a list");
    assert_eq!((forwarded.len(), forwarded[0].body.as_slice()), (1, &b"x=1"[..]));
}

#[test]
fn allow_that_expires_before_the_answer_is_checked_again_next_time() {
    // The application delays the first answer until the cached allow has expired.
    let setup = start_with_app(
        "read",
        "cache-yes 100ms;",
        |_| Reply::ok("yes"),
        |_| Reply::Slow(Duration::from_millis(300)),
    );
    for expected_checks in 1..3 {
        assert_eq!(post(&setup, "/app", "Authorization: a\r\n").status(), 200);
        assert_eq!(
            (setup.accounts.request_count(), setup.app.request_count()),
            (expected_checks, expected_checks)
        );
    }
}

#[test]
fn pending_check_finishes_under_its_initial_configuration_after_a_reload() {
    let open = Arc::new(AtomicUsize::new(0));
    let may_answer = open.clone();
    let setup = start("order", "within 8s;", move |_| {
        wait_until("the answer may come", || may_answer.load(Ordering::SeqCst) > 0);
        Reply::Answer("403 Forbidden", "", Vec::new())
    });
    let mut client = setup.sidecar.client();
    client.write(b"POST /app HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nx=1");
    wait_until("the sign-in service receives a check", || setup.accounts.request_count() == 1);
    // The new configuration has no sign-in.
    let without_sign_in =
        std::fs::read_to_string(&setup.sidecar.config).expect("the file").replace("sign-in members; ", "");
    let without_sign_in =
        without_sign_in.lines().filter(|l| !l.starts_with("sign-in")).collect::<Vec<_>>().join("\n");
    assert!(setup.sidecar.reload(&without_sign_in));
    open.store(1, Ordering::SeqCst);
    assert_eq!(client.read().expect("an answer").status(), 403);
    assert_eq!(setup.app.request_count(), 0);
    assert_eq!(post(&setup, "/app", "").status(), 200);
}

#[test]
fn second_order_during_a_pending_check_is_independent() {
    let open = Arc::new(AtomicUsize::new(0));
    let may_answer = open.clone();
    let setup = start("order", "within 8s;", move |_| {
        wait_until("the answer may come", || may_answer.load(Ordering::SeqCst) > 0);
        Reply::ok("yes")
    });
    let request = b"POST /app HTTP/1.1\r\nHost: h\r\nReq-Id: same\r\nContent-Length: 3\r\n\r\nx=1";
    let mut clients = [setup.sidecar.client(), setup.sidecar.client()];
    for (number, client) in clients.iter_mut().enumerate() {
        client.write(request);
        wait_until("the sign-in service receives a check", || setup.accounts.request_count() == number + 1);
    }
    // The first client disconnects: its order must not be forwarded, and the other one exactly once.
    let [first, mut second] = clients;
    drop(first);
    open.store(1, Ordering::SeqCst);
    assert_eq!(second.read().expect("an answer").status(), 200);
    assert_eq!(setup.app.request_count(), 1);
}

#[test]
fn order_of_a_client_that_left_before_the_answer_was_read_is_not_forwarded() {
    let may_answer = Arc::new(AtomicUsize::new(1));
    let answers = may_answer.clone();
    let setup = start("order", "within 8s;", move |_| {
        wait_until("the answer may come", || answers.load(Ordering::SeqCst) > 0);
        Reply::ok("yes")
    });
    for round in 0..10 {
        // Leaves an idle connection to the application, on which an order could be sent at once.
        assert_eq!(post(&setup, "/app", "").status(), 200);
        may_answer.store(0, Ordering::SeqCst);
        let mut client = setup.sidecar.client();
        client.write(b"POST /app HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nx=1");
        let checks = 3 * round + 2;
        wait_until("the sign-in service receives the check", || setup.accounts.request_count() == checks);
        setup.sidecar.pause();
        may_answer.store(1, Ordering::SeqCst);
        std::thread::sleep(Duration::from_millis(100));
        drop(client);
        setup.sidecar.resume();
        assert_eq!(post(&setup, "/app", "").status(), 200);
        assert_eq!(setup.app.request_count(), 2 * (round + 1), "round {round}");
    }
}

#[test]
fn double_response_or_header_flood_forwards_nothing() {
    let twice =
        "HTTP/1.1 403 Forbidden\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    let setup = start("order", "", move |_| Reply::Raw(twice.as_bytes().to_vec()));
    for _ in 0..3 {
        let status = post(&setup, "/app", "").status();
        assert!([403, 503].contains(&status), "{status}");
    }
    assert_eq!(setup.app.request_count(), 0);
    let flood = format!("HTTP/1.1 200 OK\r\n{}\r\n", "X-Flood: 1\r\n".repeat(50_000));
    let setup = start("order", "", move |_| Reply::Raw(flood.as_bytes().to_vec()));
    assert_eq!(post(&setup, "/app", "").status(), 503);
    assert_eq!(setup.app.request_count(), 0);
}

/// Starts a sidecar with a sign-in service at this address for `/app`, and its application.
fn start_with_service(service: SocketAddr, extra: &str) -> (AppServer, Sidecar, String) {
    let app = AppServer::start(|_| Reply::ok("done"));
    let text = Sidecar::text(
        "",
        &[
            pool("accounts", "", &[(service, "north")]),
            pool("app", "", &[(app.address, "north")]),
            format!(
                "sign-in members {{ pool accounts; path /check; {extra} }}\n\
                 route app {{ path prefix /app; methods POST; sign-in members; class order; pool app; }}\n"
            ),
        ],
    );
    let sidecar = Sidecar::start(&text);
    (app, sidecar, text)
}

#[test]
fn service_that_resets_the_connection_forwards_nothing() {
    for part in [
        "",
        "HTTP/1.1 200 O",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nyes",
    ] {
        let service = ScriptedServer::start(move |stream, _| {
            let _ = read_message(stream);
            let _ = stream.get_mut().write_all(part.as_bytes());
            reset_on_close(stream.get_ref());
        });
        let (app, sidecar, _) = start_with_service(service.address, "within 2s;");
        assert_eq!(sidecar.post("/app", "", "x").status(), 503, "{part:?}");
        assert_eq!(app.request_count(), 0, "{part:?}");
    }
}

#[test]
fn allow_that_ends_with_its_connection_is_valid() {
    let service = ScriptedServer::start(|stream, _| {
        let _ = read_message(stream);
        let _ = stream.get_mut().write_all(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nyes");
    });
    let (app, sidecar, _) = start_with_service(service.address, "");
    for orders in 1..4 {
        assert_eq!((sidecar.post("/app", "", "x").status(), app.request_count()), (200, orders));
    }
}

#[test]
fn recovered_service_is_queried_again() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let (app, sidecar, _) = start_with_service(address, "");
    for _ in 0..5 {
        assert_eq!(sidecar.post("/app", "", "x").status(), 503);
    }
    assert_eq!(app.request_count(), 0);
    let _service = ScriptedServer::on(TcpListener::bind(address).expect("the port is free"), |stream, _| {
        while read_message(stream).is_some() {
            let _ = stream.get_mut().write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        }
    });
    wait_until("orders are forwarded again", || sidecar.post("/app", "", "x").status() == 200);
    assert_eq!(app.request_count(), 1);
}

#[test]
fn draining_service_gets_no_new_checks() {
    let old = AppServer::start(|_| Reply::ok("yes"));
    let (app, sidecar, text) = start_with_service(old.address, "");
    assert_eq!(sidecar.post("/app", "", "x").status(), 200);
    let new = AppServer::start(|_| Reply::ok("yes"));
    // The new server has just started, so it is in slow start.
    let line = format!("    server s0 {} {{ zone north; }}", old.address);
    let both = format!(
        "    server s0 {} {{ zone north; state draining; }}\n    server s1 {} {{ zone north; }}",
        old.address, new.address
    );
    assert!(sidecar.reload(&text.replacen(&line, &both, 1)));
    for _ in 0..5 {
        assert_eq!(sidecar.post("/app", "", "x").status(), 200);
    }
    assert_eq!((old.request_count(), new.request_count(), app.request_count()), (1, 5, 6));
}

#[test]
fn cold_service_rejects_a_burst_of_checks_until_it_is_warm() {
    let service = AppServer::start(|_| Reply::Slow(Duration::from_millis(100)));
    let app = AppServer::start(|_| Reply::ok("done"));
    let cold = "cold { from 0.1; warm 2s; fall 2; for 500ms; }";
    let text = |servers: &[(SocketAddr, &str)]| {
        Sidecar::text(
            "",
            &[
                pool("accounts", cold, servers),
                pool("app", "", &[(app.address, "north")]),
                "sign-in members { pool accounts; path /check; within 4s; }\n\
                 route app { path prefix /app; methods POST; sign-in members; class order; pool app; }\n"
                    .to_owned(),
            ],
        )
    };
    let before = AppServer::start(|_| Reply::ok("yes"));
    let sidecar = Sidecar::start(&text(&[(before.address, "north")]));
    assert!(sidecar.reload(&text(&[(service.address, "north")])));
    let mut clients: Vec<_> = (0..40).map(|_| sidecar.client()).collect();
    for client in &mut clients {
        client.write(b"POST /app HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx");
    }
    let statuses: Vec<u16> = clients.iter_mut().map(|c| c.read().expect("an answer").status()).collect();
    let refused = statuses.iter().filter(|status| **status == 503).count();
    assert!(refused >= 20, "a cold service was sent {} checks at once", 40 - refused);
    assert_eq!(app.request_count(), 40 - refused);
    wait_until("it is warm", || sidecar.post("/app", "", "x").status() == 200);
}

#[test]
fn order_is_sent_once_if_its_check_is_retried_and_the_application_fails() {
    let count = Arc::new(AtomicUsize::new(0));
    let counted = count.clone();
    let setup = start_with_app(
        "order",
        "",
        move |_| match counted.fetch_add(1, Ordering::SeqCst) {
            0 => Reply::Answer("503 Service Unavailable", "", Vec::new()),
            _ => Reply::ok("yes"),
        },
        |_| Reply::Close,
    );
    let status = post(&setup, "/app", "").status();
    assert!([502, 503].contains(&status), "{status}");
    assert_eq!(setup.app.request_count(), usize::from(status == 502));
}
