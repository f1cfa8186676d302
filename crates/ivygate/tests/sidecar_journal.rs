//! End-to-end tests of the order journal. After kills and failures, its records are compared with the application's
//! log.

mod support;

use ivygate_test_servers::{wait_until, AppServer, Message, Reply};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use support::{pool, Sidecar};

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("ivygate-orders-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    folder
}

fn sidecar(folder: &Path, app: &AppServer) -> Sidecar {
    Sidecar::with(&[
        format!("journal {{ folder {}; }}\n", folder.display()),
        pool("app", "attempts 3;", &[(app.address, "north")]),
        "route orders { path exact /orders; methods POST; class order; pool app; }\n\
         route reads { path prefix /reads; class read; pool app; }\n"
            .to_owned(),
    ])
}

/// Lists the orders of a journal with the command line tool: state and status by client id.
fn list_orders(folder: &Path) -> BTreeMap<String, (String, Option<u64>)> {
    let tool = env!("CARGO_BIN_EXE_ivygate");
    let output = Command::new(tool)
        .args(["journal", "list", "--format", "json"])
        .arg(folder)
        .output()
        .expect("it runs");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let text = String::from_utf8(output.stdout).expect("text");
    let orders = text.lines().map(|line| {
        let document: serde_json::Value = serde_json::from_str(line).expect("JSON");
        let id = document["order"]["client_id"].as_str().expect("an id").to_owned();
        (id, (document["state"].as_str().expect("a state").to_owned(), document["status"].as_u64()))
    });
    orders.collect()
}

/// Runs a `journal` subcommand on a folder. Returns its standard output and exit code.
fn run_journal_command(arguments: &[&str], folder: &Path) -> (String, Option<i32>) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ivygate"));
    command.arg("journal").arg(arguments[0]).arg(folder).args(&arguments[1..]);
    let output = command.output().expect("it runs");
    (String::from_utf8(output.stdout).expect("text"), output.status.code())
}

fn order(id: &str) -> String {
    format!("POST /orders HTTP/1.1\r\nHost: h\r\nReq-Id: {id}\r\nContent-Length: 3\r\n\r\nx=1")
}

#[test]
fn orders_are_recorded_with_their_outcome_and_reads_are_not() {
    let folder = folder("outcomes");
    let app = AppServer::start(|m| match m.header("req-id") {
        Some("bad") => Reply::Answer("422 Unprocessable Content", "", Vec::new()),
        Some("broken") => Reply::Close,
        _ => Reply::ok("done"),
    });
    let sidecar = sidecar(&folder, &app);
    for (id, status) in [("good", 200), ("bad", 422), ("broken", 502)] {
        assert_eq!(sidecar.ask(&order(id)).status(), status, "{id}");
    }
    assert_eq!(sidecar.get("/reads").status(), 200);
    // The journal can be queried while the sidecar runs.
    wait_until("the outcome is recorded", || list_orders(&folder)["bad"].0 == "answered");
    assert!(run_journal_command(&["verify"], &folder).0.starts_with("whole: 3 orders, 1 unknown"));
    let mut sidecar = sidecar;
    sidecar.terminate();
    assert_eq!(sidecar.exit_code(), Some(0));
    let state = |state: &str, status| (state.to_owned(), status);
    assert_eq!(
        list_orders(&folder),
        BTreeMap::from([
            ("good".to_owned(), state("answered", Some(200))),
            ("bad".to_owned(), state("answered", Some(422))),
            ("broken".to_owned(), state("unknown", None)),
        ])
    );
    let (unknown, code) = run_journal_command(&["unknown"], &folder);
    assert!(unknown.contains("UNKNOWN") && unknown.lines().count() == 1 && code == Some(0), "{unknown}");
    assert!(run_journal_command(&["show", "broken"], &folder).0.contains("UNKNOWN"));
    assert_eq!(run_journal_command(&["show", "nobody"], &folder).1, Some(1));
    let file = folder.with_extension("jsonl");
    assert_eq!(run_journal_command(&["export", "-o", &file.display().to_string()], &folder).1, Some(0));
    assert_eq!(std::fs::read_to_string(&file).expect("written").lines().count(), 3);
    let _ = std::fs::remove_file(file);
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn second_sidecar_on_the_same_journal_does_not_start() {
    let folder = folder("second");
    let app = AppServer::start(|_| Reply::ok("done"));
    let first = sidecar(&folder, &app);
    let text = std::fs::read_to_string(&first.config).expect("its file");
    let file = support::scratch(&text);
    let second =
        Command::new(env!("CARGO_BIN_EXE_ivygate")).arg("serve").arg(&file).output().expect("it runs");
    assert_eq!(second.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&second.stderr).contains("in use"), "{second:?}");
    let _ = (std::fs::remove_file(file), std::fs::remove_dir_all(folder));
}

/// Returns the application's status and reply for an order.
fn reply_to(id: &str) -> (u16, Reply) {
    let number = id.bytes().map(u64::from).sum::<u64>();
    std::thread::sleep(Duration::from_millis(number % 4));
    match number % 37 {
        0 => (422, Reply::Answer("422 Unprocessable Content", "", Vec::new())),
        1 => (503, Reply::Answer("503 Service Unavailable", "", Vec::new())),
        2 => (502, Reply::Close),
        _ => (200, Reply::ok("done")),
    }
}

/// Kills the sidecar at random times under load, repeatedly on the same journal. `IVYGATE_KILL_ROUNDS` sets the number
/// of rounds, `IVYGATE_KILL_SEED` the seed.
#[test]
fn journal_agrees_with_the_application_log_after_kills_under_load() {
    let from_env =
        |name: &str, default| std::env::var(name).ok().and_then(|n| n.parse().ok()).unwrap_or(default);
    let (rounds, seed) = (from_env("IVYGATE_KILL_ROUNDS", 5), from_env("IVYGATE_KILL_SEED", 1));
    println!("{rounds} rounds, seed {seed}");
    let mut rng = fastrand::Rng::with_seed(seed);
    let folder = folder("kills");
    let answered = Arc::<Mutex<Vec<(String, u16)>>>::default();
    let executed_ids = Arc::<Mutex<Vec<String>>>::default();
    let log = executed_ids.clone();
    let app = AppServer::start(move |m: &Message| {
        let id = m.header("req-id").unwrap_or_default().to_owned();
        log.lock().expect("no panic").push(id.clone());
        reply_to(&id).1
    });
    for round in 0..rounds {
        let sidecar = sidecar(&folder, &app);
        let (address, before) = (sidecar.address, executed_ids.lock().expect("no panic").clone());
        // Repeats of orders from earlier rounds must not run again.
        for _ in 0..before.len().min(10) {
            assert_eq!(sidecar.ask(&order(&before[rng.usize(0..before.len())])).status(), 409);
        }
        let next = Arc::new(AtomicUsize::new(0));
        let clients: Vec<_> = (0..4)
            .map(|_| {
                let (next, answered) = (next.clone(), answered.clone());
                std::thread::spawn(move || loop {
                    let id = format!("{round}-{}", next.fetch_add(1, Ordering::SeqCst));
                    let Ok(stream) = std::net::TcpStream::connect(address) else { return };
                    let mut client = support::Client { stream: std::io::BufReader::new(stream) };
                    client.write(order(&id).as_bytes());
                    match client.read() {
                        Some(answer) => answered.lock().expect("no panic").push((id, answer.status())),
                        None => return,
                    }
                })
            })
            .collect();
        let kill_at = before.len() + rng.usize(1..100);
        wait_until("the load has reached the kill point", || app.request_count() >= kill_at);
        drop(sidecar);
        for client in clients {
            client.join().expect("no panic");
        }
    }
    assert!(run_journal_command(&["verify"], &folder).0.starts_with("whole: "));
    let recorded = list_orders(&folder);
    let executed_ids = executed_ids.lock().expect("no panic");
    let mut distinct = executed_ids.clone();
    distinct.sort();
    distinct.dedup();
    assert_eq!(distinct.len(), executed_ids.len(), "an order ran twice");
    for id in executed_ids.iter() {
        let (state, status) = recorded.get(id).unwrap_or_else(|| panic!("{id} is missing in the journal"));
        assert!(state != "never-sent", "the application received {id}");
        let expected = reply_to(id).0;
        assert!(state != "answered" || *status == Some(expected.into()), "{id}: {status:?}, not {expected}");
    }
    let answered = answered.lock().expect("no panic");
    for (id, status) in answered.iter() {
        // Either rejected without reaching the application, or the application's own answer.
        let refused = *status == 503 && !executed_ids.contains(id);
        assert!(refused || reply_to(id).0 == *status && executed_ids.contains(id), "{id}: {status}");
    }
    println!(
        "{} orders, {} received by the application, {} answered",
        recorded.len(),
        executed_ids.len(),
        answered.len()
    );
    assert!(answered.len() as u64 > 5 * rounds);
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn repeated_order_after_a_crash_gets_its_recorded_state_and_does_not_run_again() {
    let folder = folder("again");
    let app = AppServer::start(|m| match m.header("req-id") {
        Some("broken") => Reply::Close,
        _ => Reply::ok("done"),
    });
    let first = sidecar(&folder, &app);
    assert_eq!(first.ask(&order("good")).status(), 200);
    assert_eq!(first.ask(&order("broken")).status(), 502);
    // The process that sent it refuses the repeat as well.
    assert_eq!(first.ask(&order("broken")).status(), 409);
    drop(first);
    let second = sidecar(&folder, &app);
    let good = second.ask(&order("good"));
    // The outcome is recorded after the answer, so the kill may have come first.
    assert!([Some("answered 200"), Some("unknown")].contains(&good.header("ivygate-order")), "{good:?}");
    let broken = second.ask(&order("broken"));
    assert_eq!((good.status(), broken.status()), (409, 409));
    assert_eq!(broken.header("ivygate-order"), Some("unknown"));
    assert_eq!(second.ask(&order("next")).status(), 200);
    let ids: Vec<_> = app
        .requests
        .lock()
        .expect("no panic")
        .iter()
        .map(|m| m.header("req-id").map(str::to_owned))
        .collect();
    assert_eq!(ids, ["good", "broken", "next"].map(|id| Some(id.to_owned())));
    drop(second);
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn order_that_no_server_accepted_may_be_repeated() {
    let folder = folder("unsent");
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let sidecar = Sidecar::with(&[
        format!("journal {{ folder {}; }}\n", folder.display()),
        pool("app", "", &[(address, "north")]),
        "route orders { path exact /orders; methods POST; class order; pool app; }\n".to_owned(),
    ]);
    for _ in 0..3 {
        assert_eq!(sidecar.ask(&order("o")).status(), 503, "not 409: nothing can have run");
    }
    drop(sidecar);
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn journal_queries_are_answered_on_the_operator_listener_only() {
    let folder = folder("operators");
    let app = AppServer::start(|m| match m.header("order-no") {
        Some("b") => Reply::Close,
        _ => Reply::ok("done"),
    });
    let sidecar = Sidecar::with(&[
        format!(
            "journal {{ folder {}; keyed yes; customers hashed; id-header Order-No; }}\noperator 127.0.0.1:0;\n",
            folder.display()
        ),
        pool("app", "", &[(app.address, "north")]),
        "route orders { path exact /orders; methods POST; class order; pool app; }\n\
         route keyed { path exact /keyed; methods POST; class edit; pool app; }\n"
            .to_owned(),
    ]);
    let post = |path: &str, id: &str, more: &str| {
        let head =
            format!("POST {path} HTTP/1.1\r\nHost: h\r\nOrder-No: {id}\r\nContent-Length: 1\r\n{more}\r\nx");
        sidecar.ask(&head).status()
    };
    assert_eq!((post("/orders", "a", ""), post("/orders", "b", "")), (200, 502));
    let key = "Idempotency-Key: k\r\n";
    // Keyed requests are recorded, but do not reserve their client id.
    assert_eq!((post("/keyed", "k", key), post("/keyed", "k", key)), (200, 200));
    wait_until("the operator address is logged", || sidecar.stderr_text().contains("operator interface at "));
    let log = sidecar.stderr_text();
    let address = log.split("operator interface at ").nth(1).and_then(|rest| rest.split_whitespace().next());
    let address: std::net::SocketAddr = address.expect("the address is logged").parse().expect("an address");
    let ask =
        |request: &str| support::connect(address).ask(&format!("{request} HTTP/1.1\r\nHost: h\r\n\r\n"));
    let text = |answer: &Message| String::from_utf8(answer.body.clone()).expect("text");
    // The last outcome is recorded with a delay.
    let unknown = || text(&ask("GET /orders?state=unknown"));
    wait_until("one order is unknown", || unknown().lines().count() == 1);
    assert!(unknown().contains("\"client_id\":\"b\""), "{}", unknown());
    // Paging returns each order once.
    let (mut after, mut listed_orders) = (String::new(), 0);
    loop {
        let page = text(&ask(&format!("GET /orders?limit=1{after}")));
        let documents =
            page.lines().map(|line| serde_json::from_str::<serde_json::Value>(line).expect("JSON"));
        let (mut next_page, mut page_orders) = (None, 0);
        for document in documents {
            match document["next"].as_str() {
                Some(cursor) => next_page = Some(format!("&after={cursor}")),
                None => page_orders += 1,
            }
        }
        assert!(page_orders <= 1);
        listed_orders += page_orders;
        match next_page {
            Some(cursor) => after = cursor,
            None => break,
        }
    }
    assert_eq!(listed_orders, 4);
    let mine = text(&ask("GET /orders?customer=127.0.0.1"));
    assert!(mine.contains("hashed:") && !mine.contains("\"customer\":\"127"), "{mine}");
    for (request, status) in [
        ("GET /orders?id=nobody", 404),
        ("GET /orders?limit=0", 400),
        ("GET /orders?state=lost", 400),
        ("GET /", 404),
        ("DELETE /orders", 405),
    ] {
        assert_eq!(ask(request).status(), status, "{request}");
    }
    assert_eq!(sidecar.get("/orders").status(), 405, "the clients' own route, which takes POST");
    drop(sidecar);
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn client_disconnects_and_timeouts_are_distinguished() {
    let folder = folder("end-reason");
    let app = AppServer::start(|_| Reply::Silence);
    let sidecar = sidecar(&folder, &app);
    let disconnecting = {
        let mut client = sidecar.client();
        client.write(order("leaves").as_bytes());
        client
    };
    wait_until("it is sent", || app.request_count() == 1);
    drop(disconnecting);
    assert_eq!(sidecar.ask(&order("waits")).status(), 504);
    let ended = |id: &str| run_journal_command(&["show", id], &folder).0;
    wait_until("both end reasons are recorded", || {
        ended("leaves").contains("client disconnected") && ended("waits").contains("timed out")
    });
    drop(sidecar);
    let _ = std::fs::remove_dir_all(folder);
}

/// Asserts that orders are rejected with 503 and `Retry-After` and not sent, while other requests are served.
fn assert_only_orders_are_rejected(sidecar: &Sidecar, app: &AppServer) {
    let before = app.request_count();
    let refused = sidecar.ask(&order("late"));
    assert_eq!(refused.status(), 503);
    assert!(refused.header("retry-after").is_some(), "{refused:?}");
    assert_eq!((app.request_count(), sidecar.get("/reads").status()), (before, 200));
    assert!(sidecar.stderr_text().contains("are refused until a restart"), "{}", sidecar.stderr_text());
}

#[test]
fn orders_are_rejected_after_the_journal_folder_is_removed_or_replaced() {
    for replaced in [false, true] {
        let folder = folder("vanished");
        let app = AppServer::start(|_| Reply::ok("done"));
        let sidecar = sidecar(&folder, &app);
        assert_eq!(sidecar.ask(&order("first")).status(), 200);
        std::fs::remove_dir_all(&folder).expect("removed");
        if replaced {
            std::fs::create_dir(&folder).expect("made");
            std::fs::write(folder.join("orders.redb"), "x").expect("written");
        }
        assert_only_orders_are_rejected(&sidecar, &app);
        let _ = std::fs::remove_dir_all(folder);
    }
}

#[test]
fn full_disk_stops_orders_only() {
    let folder = folder("no-space");
    let app = AppServer::start(|_| Reply::ok("done"));
    // The limit is in blocks of 512 bytes. Writes beyond it fail with an error, since SIGXFSZ is ignored.
    let sidecar = Sidecar::limited(
        "trap '' XFSZ; ulimit -f 6144",
        &[
            format!("journal {{ folder {}; level written; }}\n", folder.display()),
            pool("app", "attempts 3;", &[(app.address, "north")]),
            "route orders { path prefix /orders; methods POST; class order; pool app; }\n\
             route reads { path prefix /reads; class read; pool app; }\n"
                .to_owned(),
        ],
    );
    let mut client = sidecar.client();
    let long_path = "x".repeat(8000);
    let mut accepted_orders = 0;
    loop {
        let head = format!(
            "POST /orders/{long_path} HTTP/1.1\r\nHost: h\r\nReq-Id: o{accepted_orders}\r\nContent-Length: 1\r\n\r\nx"
        );
        if client.ask(&head).status() != 200 {
            break;
        }
        accepted_orders += 1;
        assert!(accepted_orders < 5000, "the file size limit has no effect");
    }
    assert_eq!(app.request_count(), accepted_orders, "rejected orders were not sent");
    assert_only_orders_are_rejected(&sidecar, &app);
    drop(sidecar);
    // The accepted orders are in the journal.
    assert!(run_journal_command(&["verify"], &folder).0.starts_with("whole: "));
    for id in ["o0".to_owned(), format!("o{}", accepted_orders - 1)] {
        assert!(!run_journal_command(&["show", &id], &folder).0.contains("never sent"), "{id}");
    }
    let _ = std::fs::remove_dir_all(folder);
}
