//! End-to-end tests of forward-auth checks that other proxies send to the sidecar: accepted forms, answers, and charged
//! quota.

mod support;

use ivygate_test_servers::{wait_until, AppServer, Message, Reply};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use support::{pool, Sidecar};

/// Plans and routes for the checks. The pool's server never receives a request.
fn parts(app: &AppServer, extra: &str) -> Vec<String> {
    vec![
        "plan small { quota 1/m; burst 2; }\nplan large { quota 1000/s; burst 1000; }\n\
         identity { customer header X-Customer; plan header X-Plan; default-plan large; }\n"
            .to_owned(),
        pool("app", "", &[(app.address, "north")]),
        "route reads { path prefix /reads; class read; pool app; }\n\
         route edits { path prefix /edits; methods POST; class edit; pool app; }\n\
         route orders { path exact /orders; class order; pool app; }\n"
            .to_owned(),
        extra.to_owned(),
    ]
}

const CHECK_LISTENER: &str = "answers-checks /auth; trusted 127.0.0.1;";

struct TestSetup {
    app: AppServer,
    sidecar: Sidecar,
}

fn start() -> TestSetup {
    let app = AppServer::start(|_| Reply::ok("done"));
    let sidecar = Sidecar::start(&Sidecar::text(CHECK_LISTENER, &parts(&app, "")));
    TestSetup { app, sidecar }
}

/// Formats a check as Traefik sends it.
fn check_request(method: &str, target: &str, headers: &str) -> String {
    format!(
        "GET /auth HTTP/1.1\r\nHost: gate\r\nX-Forwarded-Method: {method}\r\nX-Forwarded-Uri: {target}\r\n\
         X-Forwarded-Host: shop.example\r\nX-Forwarded-Proto: https\r\nX-Forwarded-For: 192.0.2.7\r\n{headers}\r\n"
    )
}

impl TestSetup {
    fn ask(&self, method: &str, target: &str, headers: &str) -> Message {
        self.sidecar.ask(&check_request(method, target, headers))
    }
}

/// Check of Traefik according to its documentation: a GET with the client's headers and five of its own.
#[test]
fn traefik_check_is_understood() {
    let setup = start();
    let answer = setup.sidecar.ask(
        "GET /auth HTTP/1.1\r\nHost: 127.0.0.1:8090\r\nUser-Agent: curl/8.5.0\r\nAccept: */*\r\n\
         Authorization: Bearer t\r\nX-Forwarded-For: 192.0.2.7\r\nX-Forwarded-Host: shop.example\r\n\
         X-Forwarded-Method: POST\r\nX-Forwarded-Port: 80\r\nX-Forwarded-Proto: http\r\n\
         X-Forwarded-Server: edge-1\r\nX-Forwarded-Uri: /orders?x=1\r\nX-Real-Ip: 192.0.2.7\r\n\
         Accept-Encoding: gzip\r\n\r\n",
    );
    assert_eq!(answer.status(), 200);
    for (name, value) in [
        ("x-ivygate-route", "orders"),
        ("x-ivygate-class", "order"),
        ("x-ivygate-customer", "192.0.2.7"),
        ("x-ivygate-plan", "large"),
        ("x-ivygate-server", &setup.app.address.to_string()),
        ("x-ivygate-within", "20000ms"),
    ] {
        assert_eq!(answer.header(name), Some(value), "{name}");
    }
    assert_eq!(setup.app.request_count(), 0, "only the asking proxy sends the request");
}

/// Subrequest of nginx's `auth_request` according to its documentation: HTTP/1.0, the client's headers without those of
/// the body, and the target in X-Original-URI. It names no method, which suffices only if the route does not depend on
/// it.
#[test]
fn nginx_check_is_understood() {
    let setup = start();
    let message = |target: &str, more: &str| {
        format!(
            "GET /auth HTTP/1.0\r\nX-Original-URI: {target}\r\n{more}Host: 127.0.0.1:8090\r\nConnection: close\r\n\
             User-Agent: curl/8.5.0\r\nAccept: */*\r\nCookie: session=1\r\nContent-Type: text/plain\r\n\r\n"
        )
    };
    let answer = setup.sidecar.ask(&message("/orders", ""));
    assert_eq!((answer.status(), answer.header("x-ivygate-route")), (200, Some("orders")));
    let ambiguous = setup.sidecar.ask(&message("/reads/1", ""));
    assert_eq!(ambiguous.status(), 400);
    let text = String::from_utf8_lossy(&ambiguous.body).into_owned();
    assert!(text.contains("X-Original-Method") && text.contains("reads"), "{text}");
    let with_method = setup.sidecar.ask(&message("/reads/1", "X-Original-Method: GET\r\n"));
    assert_eq!((with_method.status(), with_method.header("x-ivygate-route")), (200, Some("reads")));
}

#[test]
fn unmatched_requests_are_forbidden_and_invalid_checks_are_rejected() {
    let setup = start();
    for (method, target, status) in [
        ("GET", "/elsewhere", 403),
        ("DELETE", "/edits/1", 403),
        ("GET", "/reads/../elsewhere", 403),
        ("GET", "no-path", 400),
        ("GET", "/reads/%zz", 400),
    ] {
        assert_eq!(setup.ask(method, target, "").status(), status, "{method} {target}");
    }
    assert_eq!(setup.sidecar.get("/auth").status(), 400, "no request is described");
    assert_eq!(setup.sidecar.get("/reads").status(), 404, "only checks are served");
    let body = setup.sidecar.post("/auth", "X-Forwarded-Uri: /reads\r\nX-Forwarded-Method: GET\r\n", "body");
    assert_eq!(body.status(), 400);
    let contradictory = setup.ask("GET", "/reads", "X-Original-URI: /orders\r\n");
    assert_eq!(contradictory.status(), 400);
}

#[test]
fn checks_of_untrusted_peers_are_rejected() {
    let app = AppServer::start(|_| Reply::ok("done"));
    let listener = "answers-checks /auth; trusted 192.0.2.0/24;";
    let sidecar = Sidecar::start(&Sidecar::text(listener, &parts(&app, "")));
    assert_eq!(sidecar.ask(&check_request("GET", "/reads", "")).status(), 403);
}

#[test]
fn checks_count_against_the_quota() {
    let setup = start();
    let ann = "X-Customer: ann\r\nX-Plan: small\r\n";
    let answers: Vec<_> = (0..4).map(|_| setup.ask("GET", "/reads", ann)).collect();
    let statuses: Vec<_> = answers.iter().map(Message::status).collect();
    assert_eq!(statuses, [200, 200, 429, 429]);
    assert!(answers[2].header("retry-after").is_some());
    assert_eq!(setup.ask("GET", "/reads", "X-Customer: ben\r\nX-Plan: small\r\n").status(), 200);
}

/// Returns the headers without `Date`.
fn headers_without_date(answer: &Message) -> Vec<&(String, String)> {
    answer.headers.iter().filter(|(name, _)| name != "date").collect()
}

#[test]
fn repeated_check_of_an_id_is_charged_once() {
    let setup = start();
    let ann = "X-Customer: ann\r\nX-Plan: small\r\nReq-Id: r1\r\n";
    let first = setup.ask("GET", "/reads", ann);
    for _ in 0..10 {
        let again = setup.ask("GET", "/reads", ann);
        assert_eq!((again.status(), headers_without_date(&again)), (200, headers_without_date(&first)));
    }
    // One of the two units is left.
    assert_eq!(setup.ask("GET", "/reads", "X-Customer: ann\r\nX-Plan: small\r\n").status(), 200);
    assert_eq!(setup.ask("GET", "/reads", "X-Customer: ann\r\nX-Plan: small\r\n").status(), 429);
}

#[test]
fn order_is_admitted_once_even_after_a_reload() {
    let setup = start();
    let id = "Req-Id: order-1\r\n";
    assert_eq!(setup.ask("POST", "/orders", id).status(), 200);
    assert_eq!(setup.ask("POST", "/orders", id).status(), 409);
    assert!(setup.sidecar.reload(&Sidecar::text(CHECK_LISTENER, &parts(&setup.app, "# anew\n"))));
    assert_eq!(setup.ask("POST", "/orders", id).status(), 409);
    assert_eq!(setup.ask("POST", "/orders", "Req-Id: order-2\r\n").status(), 200);
    // A keyed request may be checked again with its key, but without a key it is admitted only once.
    let keyed = "Req-Id: edit-1\r\nIdempotency-Key: k\r\n";
    assert_eq!(setup.ask("POST", "/edits/1", keyed).status(), 200);
    assert_eq!(setup.ask("POST", "/edits/1", keyed).status(), 200);
    assert_eq!(setup.ask("POST", "/edits/1", "Req-Id: edit-2\r\n").status(), 200);
    assert_eq!(setup.ask("POST", "/edits/1", "Req-Id: edit-2\r\n").status(), 409);
}

#[test]
fn denied_order_may_be_checked_again() {
    let setup = start();
    let ann = |id: &str| format!("X-Customer: ann\r\nX-Plan: small\r\nReq-Id: {id}\r\n");
    assert_eq!(setup.ask("POST", "/orders", &ann("a")).status(), 200);
    assert_eq!(setup.ask("POST", "/orders", &ann("b")).status(), 200);
    for _ in 0..3 {
        assert_eq!(setup.ask("POST", "/orders", &ann("c")).status(), 429, "not 409: it was never admitted");
    }
}

#[test]
fn nothing_is_admitted_without_an_available_server() {
    let app = AppServer::start(|_| Reply::ok("done"));
    let text =
        Sidecar::text(CHECK_LISTENER, &parts(&app, "")).replace("zone north;", "zone north; state draining;");
    let text = text.replace("pool app {\n    zone north; state draining;", "pool app {\n    zone north;");
    let sidecar = Sidecar::start(&text);
    let answer = sidecar.ask(&check_request("POST", "/orders", ""));
    assert_eq!(answer.status(), 503);
    assert!(answer.header("retry-after").is_some());
}

/// Configuration of a sign-in service and a route that requires it.
fn sign_in_route(accounts: &AppServer) -> String {
    format!(
        "{}sign-in members {{ pool accounts; path /check; answer-headers X-User X-Customer; }}\n\
         route inner {{ path prefix /inner; methods POST; sign-in members; class order; pool app; }}\n",
        pool("accounts", "", &[(accounts.address, "north")])
    )
}

#[test]
fn sign_in_of_the_route_is_checked_and_its_denial_relayed() {
    let app = AppServer::start(|_| Reply::ok("done"));
    let accounts = AppServer::start(|m| match m.header("authorization") {
        Some("good") => Reply::Answer("200 OK", "X-User: ann\r\nX-Customer: ann\r\n", Vec::new()),
        _ => Reply::Answer("401 Unauthorized", "WWW-Authenticate: Bearer\r\n", b"who?".to_vec()),
    });
    let sidecar = Sidecar::start(&Sidecar::text(CHECK_LISTENER, &parts(&app, &sign_in_route(&accounts))));
    let bad = sidecar.ask(&check_request("POST", "/inner", "Authorization: bad\r\nReq-Id: i\r\n"));
    assert_eq!((bad.status(), bad.header("www-authenticate")), (401, Some("Bearer")));
    // Spoofed identity headers are dropped, and a denial releases the id.
    let good = sidecar.ask(&check_request(
        "POST",
        "/inner",
        "Authorization: good\r\nReq-Id: i\r\nX_User: root\r\nX-Customer: root\r\n",
    ));
    assert_eq!((good.status(), good.header("x-user")), (200, Some("ann")));
    assert_eq!(good.header("x-ivygate-customer"), Some("ann"));
    let without_sign_in = sidecar.ask(&check_request("GET", "/reads", "X-Customer: root\r\n"));
    assert_eq!(
        without_sign_in.header("x-ivygate-customer"),
        Some("192.0.2.7"),
        "only the service names customers"
    );
    let checks = accounts.requests.lock().expect("no panic");
    assert_eq!(checks[1].header("x-forwarded-uri"), Some("/inner"));
    assert_eq!(checks[1].header("x-forwarded-for"), Some("192.0.2.7"));
}

#[test]
fn pending_id_is_not_admitted_twice_and_is_released_if_its_client_disconnects() {
    let app = AppServer::start(|_| Reply::ok("done"));
    let open = Arc::new(AtomicBool::new(false));
    let may_answer = open.clone();
    let accounts = AppServer::start(move |_| {
        wait_until("the service may answer", || may_answer.load(Ordering::SeqCst));
        Reply::ok("yes")
    });
    let extra = sign_in_route(&accounts).replace("path /check;", "path /check; within 8s;");
    let sidecar = Sidecar::start(&Sidecar::text(CHECK_LISTENER, &parts(&app, &extra)));
    let check = check_request("POST", "/inner", "Req-Id: i\r\n");
    let mut first = sidecar.client();
    first.write(check.as_bytes());
    wait_until("the sign-in service receives a check", || accounts.request_count() == 1);
    assert_eq!(sidecar.ask(&check).status(), 409);
    drop(first);
    open.store(true, Ordering::SeqCst);
    wait_until("the id is released", || sidecar.ask(&check).status() == 200);
    assert_eq!(sidecar.ask(&check).status(), 409);
}

#[test]
fn sign_in_check_without_a_method_is_rejected() {
    let app = AppServer::start(|_| Reply::ok("done"));
    let accounts = AppServer::start(|_| Reply::ok("yes"));
    let any = "route any { path prefix /any; sign-in members; class order; pool app; }\n";
    let extra = sign_in_route(&accounts) + any;
    let sidecar = Sidecar::start(&Sidecar::text(CHECK_LISTENER, &parts(&app, &extra)));
    let without_method = sidecar.ask("GET /auth HTTP/1.1\r\nHost: gate\r\nX-Original-URI: /any\r\n\r\n");
    assert_eq!((without_method.status(), accounts.request_count()), (400, 0));
    assert_eq!(sidecar.ask(&check_request("POST", "/any", "")).status(), 200);
    let checks = accounts.requests.lock().expect("no panic");
    assert_eq!(checks[0].header("x-forwarded-method"), Some("POST"));
}

#[test]
fn sidecar_may_be_the_sign_in_service_of_another() {
    let app = AppServer::start(|_| Reply::ok("done"));
    let inner = Sidecar::start(&Sidecar::text(CHECK_LISTENER, &parts(&app, "")));
    let outer = Sidecar::with(&[
        pool("app", "", &[(app.address, "north")]),
        pool("gate", "", &[(inner.address, "north")]),
        "sign-in inner { pool gate; path /auth; answer-headers X-Ivygate-Plan; request-headers X-Customer; }\n\
         route orders { path exact /orders; methods POST; sign-in inner; class order; pool app; }\n\
         route other { path exact /other; methods POST; sign-in inner; class order; pool app; }\n"
            .to_owned(),
    ]);
    assert_eq!(outer.post("/orders", "X-Customer: ann\r\nX-Ivygate-Plan: spoofed\r\n", "x").status(), 200);
    assert_eq!(
        outer.post("/other", "X-Customer: ann\r\n", "x").status(),
        403,
        "the inner one has no such route"
    );
    let received = app.requests.lock().expect("no panic");
    assert_eq!((received.len(), received[0].header("x-ivygate-plan")), (1, Some("large")));
}

#[test]
fn sign_in_loop_is_detected() {
    let app = AppServer::start(|_| Reply::ok("done"));
    let first = Sidecar::text(CHECK_LISTENER, &parts(&app, ""));
    let sidecar = Sidecar::start(&first);
    // Its address is known only now; the reload makes it its own sign-in service.
    let extra = format!(
        "{}sign-in itself {{ pool itself; path /auth; request-headers X-Customer; }}\n\
         route inner {{ path prefix /inner; methods POST; sign-in itself; class order; pool app; }}\n",
        pool("itself", "", &[(sidecar.address, "north")])
    );
    assert!(sidecar.reload(&Sidecar::text(CHECK_LISTENER, &parts(&app, &extra))));
    let answer = sidecar.ask(&check_request("POST", "/inner", ""));
    assert_eq!(answer.status(), 503);
    // A check that already names this process is rejected ...
    let accounts = AppServer::start(|_| Reply::ok("yes"));
    assert!(sidecar.reload(&Sidecar::text(CHECK_LISTENER, &parts(&app, &sign_in_route(&accounts)))));
    assert_eq!(sidecar.ask(&check_request("POST", "/inner", "")).status(), 200);
    let checks = accounts.requests.lock().expect("no panic");
    let instance_id = checks[0].header("ivygate-checks").expect("the process names itself");
    let answer =
        sidecar.ask(&check_request("POST", "/orders", &format!("Ivygate-Checks: a, {instance_id}\r\n")));
    assert_eq!(answer.status(), 508);
    assert!(String::from_utf8_lossy(&answer.body).contains("come round"), "{:?}", answer.body);
    // ... and so is one that has passed through too many processes.
    let long = "Ivygate-Checks: a, b, c, d\r\n";
    let answer = sidecar.ask(&check_request("POST", "/orders", long));
    assert_eq!(answer.status(), 508);
    assert!(String::from_utf8_lossy(&answer.body).contains("too many"), "{:?}", answer.body);
}

#[test]
fn memory_per_stored_id_is_bounded() {
    let setup = start();
    let mut client = setup.sidecar.client();
    for n in 0..2_000 {
        client.ask(&check_request("POST", "/orders", &format!("X-Customer: a{n}\r\nReq-Id: first-{n}\r\n")));
    }
    let before = setup.sidecar.memory();
    for n in 0..4_000 {
        assert_eq!(
            client
                .ask(&check_request("POST", "/orders", &format!("X-Customer: b{n}\r\nReq-Id: then-{n}\r\n")))
                .status(),
            200
        );
    }
    let each = (setup.sidecar.memory().saturating_sub(before)) as f64 / 4_000.0;
    assert!(each < 2.0, "{each} KB an id");
}
