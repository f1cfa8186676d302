//! Other programs ask whether their requests may go on: what they may ask, what they are told, and what is taken.

mod support;

use ivygate_test_servers::{wait_until, AppServer, Message, Reply};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use support::{pool, Sidecar};

/// Plans and routes that other programs ask about. Nothing is ever sent to the pool's server.
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

const ASKED: &str = "answers-checks /auth; trusted 127.0.0.1;";

struct Rig {
    app: AppServer,
    sidecar: Sidecar,
}

fn rig() -> Rig {
    let app = AppServer::start(|_| Reply::ok("done"));
    let sidecar = Sidecar::start(&Sidecar::text(ASKED, &parts(&app, "")));
    Rig { app, sidecar }
}

/// As Traefik asks.
fn about(method: &str, target: &str, headers: &str) -> String {
    format!(
        "GET /auth HTTP/1.1\r\nHost: gate\r\nX-Forwarded-Method: {method}\r\nX-Forwarded-Uri: {target}\r\n\
         X-Forwarded-Host: shop.example\r\nX-Forwarded-Proto: https\r\nX-Forwarded-For: 192.0.2.7\r\n{headers}\r\n"
    )
}

impl Rig {
    fn ask(&self, method: &str, target: &str, headers: &str) -> Message {
        self.sidecar.ask(&about(method, target, headers))
    }
}

/// The message that Traefik sends by its published documentation: GET to the address, the client's headers, and five
/// of its own.
#[test]
fn traefiks_form_is_understood_byte_for_byte() {
    let rig = rig();
    let answer = rig.sidecar.ask(
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
        ("x-ivygate-server", &rig.app.address.to_string()),
        ("x-ivygate-within", "20000ms"),
    ] {
        assert_eq!(answer.header(name), Some(value), "{name}");
    }
    assert_eq!(rig.app.request_count(), 0, "whoever asks sends the request, and nobody else");
}

/// The subrequest of nginx's `auth_request` by its published documentation: HTTP/1.0, the client's headers without the
/// body's, and the target in X-Original-URI. It tells no method, which only a route of all methods can do without.
#[test]
fn nginxs_form_is_understood_byte_for_byte() {
    let rig = rig();
    let message = |target: &str, more: &str| {
        format!(
            "GET /auth HTTP/1.0\r\nX-Original-URI: {target}\r\n{more}Host: 127.0.0.1:8090\r\nConnection: close\r\n\
             User-Agent: curl/8.5.0\r\nAccept: */*\r\nCookie: session=1\r\nContent-Type: text/plain\r\n\r\n"
        )
    };
    let answer = rig.sidecar.ask(&message("/orders", ""));
    assert_eq!((answer.status(), answer.header("x-ivygate-route")), (200, Some("orders")));
    let unclear = rig.sidecar.ask(&message("/reads/1", ""));
    assert_eq!(unclear.status(), 400);
    let text = String::from_utf8_lossy(&unclear.body).into_owned();
    assert!(text.contains("X-Original-Method") && text.contains("reads"), "{text}");
    let told = rig.sidecar.ask(&message("/reads/1", "X-Original-Method: GET\r\n"));
    assert_eq!((told.status(), told.header("x-ivygate-route")), (200, Some("reads")));
}

#[test]
fn what_no_route_takes_may_not_go_on_and_what_is_unclear_is_told() {
    let rig = rig();
    for (method, target, status) in [
        ("GET", "/elsewhere", 403),
        ("DELETE", "/edits/1", 403),
        ("GET", "/reads/../elsewhere", 403),
        ("GET", "no-path", 400),
        ("GET", "/reads/%zz", 400),
    ] {
        assert_eq!(rig.ask(method, target, "").status(), status, "{method} {target}");
    }
    assert_eq!(rig.sidecar.get("/auth").status(), 400, "nothing is asked about");
    assert_eq!(rig.sidecar.get("/reads").status(), 404, "nothing is served but checks");
    let body = rig.sidecar.post("/auth", "X-Forwarded-Uri: /reads\r\nX-Forwarded-Method: GET\r\n", "body");
    assert_eq!(body.status(), 400);
    let contrary = rig.ask("GET", "/reads", "X-Original-URI: /orders\r\n");
    assert_eq!(contrary.status(), 400);
}

#[test]
fn peers_that_are_not_trusted_get_no_answer_to_their_question() {
    let app = AppServer::start(|_| Reply::ok("done"));
    let listener = "answers-checks /auth; trusted 192.0.2.0/24;";
    let sidecar = Sidecar::start(&Sidecar::text(listener, &parts(&app, "")));
    assert_eq!(sidecar.ask(&about("GET", "/reads", "")).status(), 403);
}

#[test]
fn quotas_hold_for_those_who_ask_as_for_those_who_send() {
    let rig = rig();
    let ann = "X-Customer: ann\r\nX-Plan: small\r\n";
    let answers: Vec<_> = (0..4).map(|_| rig.ask("GET", "/reads", ann)).collect();
    let statuses: Vec<_> = answers.iter().map(Message::status).collect();
    assert_eq!(statuses, [200, 200, 429, 429]);
    assert!(answers[2].header("retry-after").is_some());
    assert_eq!(rig.ask("GET", "/reads", "X-Customer: ben\r\nX-Plan: small\r\n").status(), 200);
}

/// The headers but for the second in which the answer was written.
fn undated(answer: &Message) -> Vec<&(String, String)> {
    answer.headers.iter().filter(|(name, _)| name != "date").collect()
}

#[test]
fn an_id_that_is_asked_about_twice_takes_its_units_once() {
    let rig = rig();
    let ann = "X-Customer: ann\r\nX-Plan: small\r\nReq-Id: r1\r\n";
    let first = rig.ask("GET", "/reads", ann);
    for _ in 0..10 {
        let again = rig.ask("GET", "/reads", ann);
        assert_eq!((again.status(), undated(&again)), (200, undated(&first)));
    }
    // One of the two units is left.
    assert_eq!(rig.ask("GET", "/reads", "X-Customer: ann\r\nX-Plan: small\r\n").status(), 200);
    assert_eq!(rig.ask("GET", "/reads", "X-Customer: ann\r\nX-Plan: small\r\n").status(), 429);
}

#[test]
fn an_order_is_let_on_once_whoever_asks_again_and_also_after_a_reload() {
    let rig = rig();
    let id = "Req-Id: order-1\r\n";
    assert_eq!(rig.ask("POST", "/orders", id).status(), 200);
    assert_eq!(rig.ask("POST", "/orders", id).status(), 409);
    assert!(rig.sidecar.reload(&Sidecar::text(ASKED, &parts(&rig.app, "# anew\n"))));
    assert_eq!(rig.ask("POST", "/orders", id).status(), 409);
    assert_eq!(rig.ask("POST", "/orders", "Req-Id: order-2\r\n").status(), 200);
    // A keyed one with its key may be asked about again, and without it must run once.
    let keyed = "Req-Id: edit-1\r\nIdempotency-Key: k\r\n";
    assert_eq!(rig.ask("POST", "/edits/1", keyed).status(), 200);
    assert_eq!(rig.ask("POST", "/edits/1", keyed).status(), 200);
    assert_eq!(rig.ask("POST", "/edits/1", "Req-Id: edit-2\r\n").status(), 200);
    assert_eq!(rig.ask("POST", "/edits/1", "Req-Id: edit-2\r\n").status(), 409);
}

#[test]
fn an_order_that_was_turned_away_may_be_asked_about_again() {
    let rig = rig();
    let ann = |id: &str| format!("X-Customer: ann\r\nX-Plan: small\r\nReq-Id: {id}\r\n");
    assert_eq!(rig.ask("POST", "/orders", &ann("a")).status(), 200);
    assert_eq!(rig.ask("POST", "/orders", &ann("b")).status(), 200);
    for _ in 0..3 {
        assert_eq!(rig.ask("POST", "/orders", &ann("c")).status(), 429, "not 409: it never went on");
    }
}

#[test]
fn no_server_to_send_to_means_no_admission() {
    let app = AppServer::start(|_| Reply::ok("done"));
    let text = Sidecar::text(ASKED, &parts(&app, "")).replace("zone north;", "zone north; state draining;");
    let text = text.replace("pool app {\n    zone north; state draining;", "pool app {\n    zone north;");
    let sidecar = Sidecar::start(&text);
    let answer = sidecar.ask(&about("POST", "/orders", ""));
    assert_eq!(answer.status(), 503);
    assert!(answer.header("retry-after").is_some());
}

/// A sign-in service before the routes that are asked about.
fn asked_first(accounts: &AppServer) -> String {
    format!(
        "{}sign-in members {{ pool accounts; path /check; answer-headers X-User X-Customer; }}\n\
         route inner {{ path prefix /inner; methods POST; sign-in members; class order; pool app; }}\n",
        pool("accounts", "", &[(accounts.address, "north")])
    )
}

#[test]
fn a_routes_own_sign_in_is_asked_and_its_no_is_the_askers_answer() {
    let app = AppServer::start(|_| Reply::ok("done"));
    let accounts = AppServer::start(|m| match m.header("authorization") {
        Some("good") => Reply::Answer("200 OK", "X-User: ann\r\nX-Customer: ann\r\n", Vec::new()),
        _ => Reply::Answer("401 Unauthorized", "WWW-Authenticate: Bearer\r\n", b"who?".to_vec()),
    });
    let sidecar = Sidecar::start(&Sidecar::text(ASKED, &parts(&app, &asked_first(&accounts))));
    let bad = sidecar.ask(&about("POST", "/inner", "Authorization: bad\r\nReq-Id: i\r\n"));
    assert_eq!((bad.status(), bad.header("www-authenticate")), (401, Some("Bearer")));
    // Spoofed identity is dropped, and a no frees the id.
    let good = sidecar.ask(&about(
        "POST",
        "/inner",
        "Authorization: good\r\nReq-Id: i\r\nX_User: root\r\nX-Customer: root\r\n",
    ));
    assert_eq!((good.status(), good.header("x-user")), (200, Some("ann")));
    assert_eq!(good.header("x-ivygate-customer"), Some("ann"));
    let unasked = sidecar.ask(&about("GET", "/reads", "X-Customer: root\r\n"));
    assert_eq!(unasked.header("x-ivygate-customer"), Some("192.0.2.7"), "only the service names customers");
    let seen = accounts.requests.lock().expect("no panic");
    assert_eq!(seen[1].header("x-forwarded-uri"), Some("/inner"));
    assert_eq!(seen[1].header("x-forwarded-for"), Some("192.0.2.7"));
}

#[test]
fn an_id_that_is_being_asked_about_is_not_let_on_by_another_and_is_free_if_the_asker_leaves() {
    let app = AppServer::start(|_| Reply::ok("done"));
    let open = Arc::new(AtomicBool::new(false));
    let gate = open.clone();
    let accounts = AppServer::start(move |_| {
        wait_until("the service may answer", || gate.load(Ordering::SeqCst));
        Reply::ok("yes")
    });
    let extra = asked_first(&accounts).replace("path /check;", "path /check; within 8s;");
    let sidecar = Sidecar::start(&Sidecar::text(ASKED, &parts(&app, &extra)));
    let question = about("POST", "/inner", "Req-Id: i\r\n");
    let mut first = sidecar.client();
    first.write(question.as_bytes());
    wait_until("the service is asked", || accounts.request_count() == 1);
    assert_eq!(sidecar.ask(&question).status(), 409);
    drop(first);
    open.store(true, Ordering::SeqCst);
    wait_until("the id is free again", || sidecar.ask(&question).status() == 200);
    assert_eq!(sidecar.ask(&question).status(), 409);
}

#[test]
fn a_sign_in_is_never_told_a_method_that_nobody_told() {
    let app = AppServer::start(|_| Reply::ok("done"));
    let accounts = AppServer::start(|_| Reply::ok("yes"));
    let any = "route any { path prefix /any; sign-in members; class order; pool app; }\n";
    let extra = asked_first(&accounts) + any;
    let sidecar = Sidecar::start(&Sidecar::text(ASKED, &parts(&app, &extra)));
    let untold = sidecar.ask("GET /auth HTTP/1.1\r\nHost: gate\r\nX-Original-URI: /any\r\n\r\n");
    assert_eq!((untold.status(), accounts.request_count()), (400, 0));
    assert_eq!(sidecar.ask(&about("POST", "/any", "")).status(), 200);
    let seen = accounts.requests.lock().expect("no panic");
    assert_eq!(seen[0].header("x-forwarded-method"), Some("POST"));
}

#[test]
fn one_ivygate_may_ask_another() {
    let app = AppServer::start(|_| Reply::ok("done"));
    let inner = Sidecar::start(&Sidecar::text(ASKED, &parts(&app, "")));
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
    let seen = app.requests.lock().expect("no panic");
    assert_eq!((seen.len(), seen[0].header("x-ivygate-plan")), (1, Some("large")));
}

#[test]
fn a_sign_in_that_leads_back_to_itself_ends_with_a_clear_error() {
    let app = AppServer::start(|_| Reply::ok("done"));
    let first = Sidecar::text(ASKED, &parts(&app, ""));
    let sidecar = Sidecar::start(&first);
    // Now that its address is known it is made its own sign-in service.
    let extra = format!(
        "{}sign-in itself {{ pool itself; path /auth; request-headers X-Customer; }}\n\
         route inner {{ path prefix /inner; methods POST; sign-in itself; class order; pool app; }}\n",
        pool("itself", "", &[(sidecar.address, "north")])
    );
    assert!(sidecar.reload(&Sidecar::text(ASKED, &parts(&app, &extra))));
    let answer = sidecar.ask(&about("POST", "/inner", ""));
    assert_eq!(answer.status(), 503);
    // What such a check is told: one that names this process, as its own checks do ...
    let accounts = AppServer::start(|_| Reply::ok("yes"));
    assert!(sidecar.reload(&Sidecar::text(ASKED, &parts(&app, &asked_first(&accounts)))));
    assert_eq!(sidecar.ask(&about("POST", "/inner", "")).status(), 200);
    let seen = accounts.requests.lock().expect("no panic");
    let own = seen[0].header("ivygate-checks").expect("the process names itself");
    let answer = sidecar.ask(&about("POST", "/orders", &format!("Ivygate-Checks: a, {own}\r\n")));
    assert_eq!(answer.status(), 508);
    assert!(String::from_utf8_lossy(&answer.body).contains("come round"), "{:?}", answer.body);
    // ... and one that has passed through too many.
    let long = "Ivygate-Checks: a, b, c, d\r\n";
    let answer = sidecar.ask(&about("POST", "/orders", long));
    assert_eq!(answer.status(), 508);
    assert!(String::from_utf8_lossy(&answer.body).contains("too many"), "{:?}", answer.body);
}

#[test]
fn a_flood_of_ids_is_held_in_bounded_memory() {
    let rig = rig();
    let mut client = rig.sidecar.client();
    for n in 0..2_000 {
        client.ask(&about("POST", "/orders", &format!("X-Customer: a{n}\r\nReq-Id: first-{n}\r\n")));
    }
    let before = rig.sidecar.memory();
    for n in 0..4_000 {
        assert_eq!(
            client
                .ask(&about("POST", "/orders", &format!("X-Customer: b{n}\r\nReq-Id: then-{n}\r\n")))
                .status(),
            200
        );
    }
    let each = (rig.sidecar.memory().saturating_sub(before)) as f64 / 4_000.0;
    assert!(each < 2.0, "{each} KB an id");
}
