//! Requests that wait for a sign-in service: what goes on, what does not, and what never happens twice.

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

/// A sidecar whose `/app` asks first, with both sides as scripted.
struct Rig {
    accounts: AppServer,
    app: AppServer,
    /// Heads that the service and the application got.
    asked: Arc<Mutex<Vec<Message>>>,
    got: Arc<Mutex<Vec<Message>>>,
    sidecar: Sidecar,
}

fn rig(class: &str, extra: &str, accounts: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> Rig {
    rig_with(class, extra, accounts, |_| Reply::ok("done"))
}

fn rig_with(
    class: &str,
    extra: &str,
    accounts: impl Fn(&Message) -> Reply + Send + Sync + 'static,
    app: impl Fn(&Message) -> Reply + Send + Sync + 'static,
) -> Rig {
    let (asked, got) = (Arc::<Mutex<Vec<Message>>>::default(), Arc::<Mutex<Vec<Message>>>::default());
    let noted = |into: &Arc<Mutex<Vec<Message>>>, message: &Message| {
        into.lock().expect("a list").push(message.clone());
    };
    let accounts = {
        let asked = asked.clone();
        AppServer::start(move |m| {
            noted(&asked, m);
            accounts(m)
        })
    };
    let app = {
        let got = got.clone();
        AppServer::start(move |m| {
            noted(&got, m);
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
    Rig { accounts, app, asked, got, sidecar }
}

fn post(rig: &Rig, path: &str, headers: &str) -> Message {
    rig.sidecar
        .client()
        .ask(&format!("POST {path} HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 3\r\n{headers}\r\nx=1"))
}

#[test]
fn a_yes_lets_the_request_on_with_the_services_headers_and_the_service_sees_what_was_asked() {
    let rig =
        rig("order", "", |_| Reply::Answer("204 No Content", "X-User: ann\r\nX-Other: no\r\n", Vec::new()));
    let answer = post(&rig, "/app/a?b=c", "Authorization: Bearer t\r\nCookie: k=v\r\nX-Secret: s\r\n");
    assert_eq!((answer.status(), answer.body.as_slice()), (200, &b"done"[..]));
    let asked = rig.asked.lock().expect("a list");
    let check = &asked[0];
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
    let got = rig.got.lock().expect("a list");
    assert_eq!((got[0].header("x-user"), got[0].header("x-other")), (Some("ann"), None));
    assert_eq!((got.len(), got[0].body.as_slice()), (1, &b"x=1"[..]));
}

#[test]
fn a_no_is_the_clients_answer_with_its_headers_and_nothing_goes_on() {
    for (status, header) in [
        ("401 Unauthorized", "WWW-Authenticate: Bearer\r\n"),
        ("403 Forbidden", "Set-Cookie: tried=1\r\n"),
        ("302 Found", "Location: /login\r\n"),
    ] {
        let rig = rig("order", "on-failure closed;", move |_| Reply::Answer(status, header, b"no".to_vec()));
        let answer = post(&rig, "/app", "");
        let (name, value) = header.trim().split_once(": ").expect("a header");
        assert_eq!(answer.status().to_string(), status[..3]);
        assert_eq!(
            (answer.header(&name.to_ascii_lowercase()), answer.body.as_slice()),
            (Some(value), &b"no"[..])
        );
        assert_eq!(rig.app.request_count(), 0);
    }
}

#[test]
fn a_service_that_fails_closes_by_default_and_opens_only_where_that_is_said() {
    type Script = fn(&Message) -> Reply;
    let failures: [(&str, Script); 6] = [
        ("500", |_| Reply::Answer("500 Internal Server Error", "", Vec::new())),
        ("404", |_| Reply::Answer("404 Not Found", "", Vec::new())),
        ("hangs up", |_| Reply::Close),
        ("nonsense", |_| Reply::Bytes(b"what?\r\n\r\n")),
        ("half a yes", |_| Reply::Bytes(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")),
        ("silence", |_| Reply::Silence),
    ];
    for (name, script) in failures {
        let closed = rig("order", "within 300ms;", script);
        let answer = post(&closed, "/app", "");
        assert_eq!(answer.status(), 503, "{name}");
        assert!(answer.header("retry-after").is_some(), "{name}");
        assert_eq!(closed.app.request_count(), 0, "{name}");
        let open = rig("read", "within 300ms; on-failure open;", script);
        assert_eq!(post(&open, "/app", "").status(), 200, "{name}");
        assert_eq!(open.app.request_count(), 1, "{name}");
    }
}

#[test]
fn identity_headers_of_clients_go_on_in_no_spelling_also_where_nothing_is_asked() {
    let spellings = [
        "X-User", "x-user", "X-USER", "X_User", "x_user", "X_USER", "x-User", "X-uSER", "x_USER", "X-usER",
        "X_uSeR", "x-UsEr",
    ];
    for path in ["/app", "/free"] {
        let rig = rig("order", "", |_| Reply::Answer("200 OK", "X-User: ann\r\n", Vec::new()));
        for spelling in spellings {
            assert_eq!(post(&rig, path, &format!("{spelling}: root\r\n")).status(), 200);
        }
        let got = rig.got.lock().expect("a list");
        assert_eq!(got.len(), spellings.len());
        for message in got.iter() {
            let named: Vec<_> = message
                .headers
                .iter()
                .filter(|(name, _)| name.to_ascii_lowercase().replace('_', "-") == "x-user")
                .map(|(_, value)| value.as_str())
                .collect();
            let wanted: &[&str] = if path == "/app" { &["ann"] } else { &[] };
            assert_eq!(named, wanted, "{path}");
        }
    }
}

#[test]
fn a_check_that_is_repeated_lets_the_order_on_once() {
    let count = Arc::new(AtomicUsize::new(0));
    let counted = count.clone();
    let rig = rig("order", "", move |_| match counted.fetch_add(1, Ordering::SeqCst) {
        0 => Reply::Close,
        _ => Reply::ok("yes"),
    });
    // The pool may try its only server again, or refuse; never does the order go on twice.
    let status = post(&rig, "/app", "").status();
    assert!([200, 503].contains(&status), "{status}");
    assert_eq!(rig.app.request_count(), usize::from(status == 200));
}

#[test]
fn an_order_that_the_application_breaks_off_is_not_sent_again_by_another_check() {
    let rig = rig_with("order", "", |_| Reply::ok("yes"), |_| Reply::Close);
    assert_eq!(post(&rig, "/app", "").status(), 502);
    assert_eq!((rig.accounts.request_count(), rig.app.request_count()), (1, 1));
}

#[test]
fn a_client_that_leaves_ends_its_check_and_nothing_goes_on() {
    let rig = rig("order", "within 5s;", |_| Reply::Silence);
    let mut client = rig.sidecar.client();
    client.write(b"POST /app HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nx=1");
    wait_until("the service is asked", || rig.accounts.request_count() == 1);
    drop(client);
    wait_until("the check's connection is closed", || rig.accounts.open() == 0);
    assert_eq!(rig.app.request_count(), 0);
}

#[test]
fn a_service_slower_than_its_time_leaves_the_application_nothing_and_the_client_one_answer() {
    let rig = rig("order", "within 200ms;", |_| Reply::Slow(Duration::from_millis(1500)));
    let mut client = rig.sidecar.client();
    let answer = client.ask("POST /app HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nx=1");
    assert_eq!(answer.status(), 503);
    // The late yes changes nothing: the same connection goes on with the next request.
    let next = client.ask("GET /elsewhere HTTP/1.1\r\nHost: h\r\n\r\n");
    assert_eq!((next.status(), rig.app.request_count()), (404, 0));
}

#[test]
fn a_remembered_yes_is_for_the_same_credentials_on_the_same_route_and_not_for_orders() {
    let rig = rig("read", "cache-yes 1m;", |m| {
        let user = m.header("authorization").unwrap_or("nobody").to_owned();
        Reply::Answer("200 OK", Box::leak(format!("X-User: {user}\r\n").into_boxed_str()), Vec::new())
    });
    for (credential, asked) in [("a", 1), ("a", 1), ("b", 2), ("a", 2), ("b", 2)] {
        assert_eq!(post(&rig, "/app", &format!("Authorization: {credential}\r\n")).status(), 200);
        assert_eq!(rig.accounts.request_count(), asked);
        let got = rig.got.lock().expect("a list");
        assert_eq!(got.last().and_then(|m| m.header("x-user")), Some(credential));
    }
    let orders = self::rig("order", "cache-yes 1m;", |_| Reply::ok("yes"));
    for asked in 1..4 {
        assert_eq!(post(&orders, "/app", "Authorization: a\r\n").status(), 200);
        assert_eq!(orders.accounts.request_count(), asked);
    }
}

#[test]
fn a_remembered_no_is_given_whole_again_but_never_with_a_cookie_or_against_the_services_word() {
    for (headers, asked) in
        [("X-Why: late\r\n", 1), ("Set-Cookie: a=b\r\n", 3), ("Cache-Control: no-store\r\n", 3)]
    {
        let rig =
            rig("read", "cache-no 1m;", move |_| Reply::Answer("403 Forbidden", headers, b"no".to_vec()));
        for _ in 0..3 {
            let answer = post(&rig, "/app", "Authorization: a\r\n");
            let name = headers.split(':').next().expect("a name").to_ascii_lowercase();
            assert_eq!((answer.status(), answer.body.as_slice()), (403, &b"no"[..]));
            assert!(answer.header(&name).is_some(), "{headers}");
        }
        assert_eq!((rig.accounts.request_count(), rig.app.request_count()), (asked, 0), "{headers}");
    }
}

#[test]
fn equal_questions_at_one_time_are_asked_once_and_one_that_dies_wakes_the_others() {
    let open = Arc::new(AtomicUsize::new(0));
    let gate = open.clone();
    let rig = rig("read", "cache-yes 1m; within 5s;", move |_| {
        wait_until("the answer may come", || gate.load(Ordering::SeqCst) > 0);
        Reply::ok("yes")
    });
    let request = "POST /app HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nx=1";
    let mut first = rig.sidecar.client();
    first.write(request.as_bytes());
    wait_until("the first has asked", || rig.accounts.request_count() == 1);
    let mut others: Vec<_> = (0..5).map(|_| rig.sidecar.client()).collect();
    for other in &mut others {
        other.write(request.as_bytes());
    }
    // Whoever asked leaves: one of the others asks in its place.
    drop(first);
    wait_until("another has asked", || rig.accounts.request_count() == 2);
    open.store(1, Ordering::SeqCst);
    for other in &mut others {
        assert_eq!(other.read().expect("an answer").status(), 200);
    }
    assert_eq!(rig.accounts.request_count(), 2);
}

#[test]
fn a_failure_that_let_a_request_on_is_not_remembered() {
    let count = Arc::new(AtomicUsize::new(0));
    let counted = count.clone();
    let rig = rig("read", "cache-yes 1m; on-failure open;", move |_| {
        match counted.fetch_add(1, Ordering::SeqCst) {
            0 => Reply::Answer("500 Internal Server Error", "", Vec::new()),
            _ => Reply::Answer("403 Forbidden", "", Vec::new()),
        }
    });
    assert_eq!(post(&rig, "/app", "").status(), 200);
    assert_eq!(post(&rig, "/app", "").status(), 403);
}

#[test]
fn a_flood_of_bad_passes_from_one_address_is_turned_away_before_the_service_and_good_ones_elsewhere_go_on() {
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
    // Ten fail, each with another pass; then the service is not asked any more.
    let statuses: Vec<u16> = (0..30).map(|n| ask("192.0.2.1", &format!("bad-{n}")).status()).collect();
    assert_eq!(statuses[..10], [401; 10]);
    assert_eq!(statuses[10..], [429; 20]);
    assert_eq!(accounts.request_count(), 10);
    assert!(ask("192.0.2.1", "bad").header("retry-after").is_some());
    // A good pass costs its address nothing, however often it comes.
    for _ in 0..50 {
        assert_eq!(ask("192.0.2.2", "good").status(), 200);
    }
    // One bad pass from many addresses has its own limit.
    let statuses: Vec<u16> = (0..30).map(|n| ask(&format!("198.51.100.{n}"), "one").status()).collect();
    assert_eq!((statuses[..10].to_vec(), statuses[10..].to_vec()), (vec![401; 10], vec![429; 20]));
    assert_eq!(app.request_count(), 50);
}

#[test]
fn failures_of_the_service_and_redirections_are_nobodys_bad_passes() {
    for (status, told) in [("500 Internal Server Error", 503), ("302 Found", 302)] {
        let rig = rig("order", "address-limit 0.01/s meant;", move |_| Reply::Answer(status, "", Vec::new()));
        for _ in 0..30 {
            assert_eq!(post(&rig, "/app", "").status(), told);
        }
        assert_eq!(rig.app.request_count(), 0);
    }
}

#[test]
fn a_body_goes_into_its_check_and_one_that_is_too_long_goes_nowhere() {
    let rig = rig("order", "body 1KiB;", |m| match m.body.as_slice() {
        b"x=1" => Reply::ok("yes"),
        _ => Reply::Answer("403 Forbidden", "", Vec::new()),
    });
    assert_eq!(post(&rig, "/app", "Content-Type: text/x\r\n").status(), 200);
    assert_eq!(rig.sidecar.post("/app", "", "x=2").status(), 403);
    assert_eq!(rig.sidecar.post("/app", "", &"x".repeat(1025)).status(), 413);
    assert_eq!(rig.sidecar.post("/app", "", &"x".repeat(100_000)).status(), 413);
    let asked = rig.asked.lock().expect("a list");
    assert_eq!(asked.len(), 2);
    assert!(asked[0].start.starts_with("POST /check "), "{}", asked[0].start);
    assert_eq!((asked[0].header("content-type"), asked[0].body.as_slice()), (Some("text/x"), &b"x=1"[..]));
    let got = rig.got.lock().expect("a list");
    assert_eq!((got.len(), got[0].body.as_slice()), (1, &b"x=1"[..]));
}

#[test]
fn a_yes_that_ends_between_check_and_send_still_sends_once_and_is_asked_for_anew() {
    // The application holds the first order until the remembered yes has long ended.
    let rig = rig_with(
        "read",
        "cache-yes 100ms;",
        |_| Reply::ok("yes"),
        |_| Reply::Slow(Duration::from_millis(300)),
    );
    for asked in 1..3 {
        assert_eq!(post(&rig, "/app", "Authorization: a\r\n").status(), 200);
        assert_eq!((rig.accounts.request_count(), rig.app.request_count()), (asked, asked));
    }
}

#[test]
fn a_reload_between_check_and_send_ends_the_request_under_the_sign_in_it_began_with() {
    let open = Arc::new(AtomicUsize::new(0));
    let gate = open.clone();
    let rig = rig("order", "within 8s;", move |_| {
        wait_until("the answer may come", || gate.load(Ordering::SeqCst) > 0);
        Reply::Answer("403 Forbidden", "", Vec::new())
    });
    let mut client = rig.sidecar.client();
    client.write(b"POST /app HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nx=1");
    wait_until("the service is asked", || rig.accounts.request_count() == 1);
    // The new configuration asks nobody.
    let anew =
        std::fs::read_to_string(&rig.sidecar.config).expect("the file").replace("sign-in members; ", "");
    let anew = anew.lines().filter(|l| !l.starts_with("sign-in")).collect::<Vec<_>>().join("\n");
    assert!(rig.sidecar.reload(&anew));
    open.store(1, Ordering::SeqCst);
    assert_eq!(client.read().expect("an answer").status(), 403);
    assert_eq!(rig.app.request_count(), 0);
    assert_eq!(post(&rig, "/app", "").status(), 200);
}

#[test]
fn the_clients_second_order_while_the_first_ones_check_is_out_is_another_order() {
    let open = Arc::new(AtomicUsize::new(0));
    let gate = open.clone();
    let rig = rig("order", "within 8s;", move |_| {
        wait_until("the answer may come", || gate.load(Ordering::SeqCst) > 0);
        Reply::ok("yes")
    });
    let request = b"POST /app HTTP/1.1\r\nHost: h\r\nReq-Id: same\r\nContent-Length: 3\r\n\r\nx=1";
    let mut clients = [rig.sidecar.client(), rig.sidecar.client()];
    for (number, client) in clients.iter_mut().enumerate() {
        client.write(request);
        wait_until("the service is asked", || rig.accounts.request_count() == number + 1);
    }
    // The first one leaves: its order must not go on, and the other's must once.
    let [first, mut second] = clients;
    drop(first);
    open.store(1, Ordering::SeqCst);
    assert_eq!(second.read().expect("an answer").status(), 200);
    assert_eq!(rig.app.request_count(), 1);
}

#[test]
fn a_service_that_answers_twice_or_floods_headers_lets_nothing_on_by_it() {
    let twice =
        "HTTP/1.1 403 Forbidden\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    let rig = rig("order", "", move |_| Reply::Raw(twice.as_bytes().to_vec()));
    for _ in 0..3 {
        let status = post(&rig, "/app", "").status();
        assert!([403, 503].contains(&status), "{status}");
    }
    assert_eq!(rig.app.request_count(), 0);
    let flood = format!("HTTP/1.1 200 OK\r\n{}\r\n", "X-Flood: 1\r\n".repeat(50_000));
    let rig = self::rig("order", "", move |_| Reply::Raw(flood.as_bytes().to_vec()));
    assert_eq!(post(&rig, "/app", "").status(), 503);
    assert_eq!(rig.app.request_count(), 0);
}

/// A sidecar whose `/app` asks a service that is at this address, and its application.
fn asks(service: SocketAddr, extra: &str) -> (AppServer, Sidecar, String) {
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
fn a_service_that_resets_before_in_or_after_its_head_lets_nothing_on() {
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
        let (app, sidecar, _) = asks(service.address, "within 2s;");
        assert_eq!(sidecar.post("/app", "", "x").status(), 503, "{part:?}");
        assert_eq!(app.request_count(), 0, "{part:?}");
    }
}

#[test]
fn a_yes_that_closes_its_connection_behind_it_is_a_yes() {
    let service = ScriptedServer::start(|stream, _| {
        let _ = read_message(stream);
        let _ = stream.get_mut().write_all(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nyes");
    });
    let (app, sidecar, _) = asks(service.address, "");
    for orders in 1..4 {
        assert_eq!((sidecar.post("/app", "", "x").status(), app.request_count()), (200, orders));
    }
}

#[test]
fn a_service_that_comes_back_after_a_break_is_asked_again() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let (app, sidecar, _) = asks(address, "");
    for _ in 0..5 {
        assert_eq!(sidecar.post("/app", "", "x").status(), 503);
    }
    assert_eq!(app.request_count(), 0);
    let _service = ScriptedServer::on(TcpListener::bind(address).expect("the port is free"), |stream, _| {
        while read_message(stream).is_some() {
            let _ = stream.get_mut().write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        }
    });
    wait_until("orders go on again", || sidecar.post("/app", "", "x").status() == 200);
    assert_eq!(app.request_count(), 1);
}

#[test]
fn a_service_that_drains_is_asked_nothing_new_and_its_successor_is() {
    let old = AppServer::start(|_| Reply::ok("yes"));
    let (app, sidecar, text) = asks(old.address, "");
    assert_eq!(sidecar.post("/app", "", "x").status(), 200);
    let new = AppServer::start(|_| Reply::ok("yes"));
    // The new one has just started, so it is cold, and is spared at first.
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
fn a_cold_service_turns_a_rush_of_checks_away_and_takes_more_when_it_is_warm() {
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
fn an_application_that_fails_while_a_check_is_repeated_is_sent_the_order_once() {
    let count = Arc::new(AtomicUsize::new(0));
    let counted = count.clone();
    let rig = rig_with(
        "order",
        "",
        move |_| match counted.fetch_add(1, Ordering::SeqCst) {
            0 => Reply::Answer("503 Service Unavailable", "", Vec::new()),
            _ => Reply::ok("yes"),
        },
        |_| Reply::Close,
    );
    let status = post(&rig, "/app", "").status();
    assert!([502, 503].contains(&status), "{status}");
    assert_eq!(rig.app.request_count(), usize::from(status == 502));
}
