//! The journal of the real program: what it says after it was killed, against the application's own log.

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

/// What the tool says of a folder: state and status by the client's id.
fn told(folder: &Path) -> BTreeMap<String, (String, Option<u64>)> {
    let tool = env!("CARGO_BIN_EXE_ivygate");
    let output = Command::new(tool)
        .args(["journal", "list", "--format", "json"])
        .arg(folder)
        .output()
        .expect("it runs");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let text = String::from_utf8(output.stdout).expect("text");
    let orders = text.lines().map(|line| {
        let one: serde_json::Value = serde_json::from_str(line).expect("JSON");
        let id = one["order"]["client_id"].as_str().expect("an id").to_owned();
        (id, (one["state"].as_str().expect("a state").to_owned(), one["status"].as_u64()))
    });
    orders.collect()
}

/// What the tool says to a question about a folder, and its exit code.
fn tool(question: &[&str], folder: &Path) -> (String, Option<i32>) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ivygate"));
    command.arg("journal").arg(question[0]).arg(folder).args(&question[1..]);
    let output = command.output().expect("it runs");
    (String::from_utf8(output.stdout).expect("text"), output.status.code())
}

fn order(id: &str) -> String {
    format!("POST /orders HTTP/1.1\r\nHost: h\r\nReq-Id: {id}\r\nContent-Length: 3\r\n\r\nx=1")
}

#[test]
fn orders_are_told_with_what_came_of_them_and_reads_are_not_recorded() {
    let folder = folder("told");
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
    // It runs, and is asked all the same.
    wait_until("what came is noted", || told(&folder)["bad"].0 == "answered");
    assert!(tool(&["verify"], &folder).0.starts_with("whole: 3 orders, 1 unknown"));
    let mut sidecar = sidecar;
    sidecar.terminate();
    assert_eq!(sidecar.exit_code(), Some(0));
    let state = |state: &str, status| (state.to_owned(), status);
    assert_eq!(
        told(&folder),
        BTreeMap::from([
            ("good".to_owned(), state("answered", Some(200))),
            ("bad".to_owned(), state("answered", Some(422))),
            ("broken".to_owned(), state("unknown", None)),
        ])
    );
    let (unknown, code) = tool(&["unknown"], &folder);
    assert!(unknown.contains("UNKNOWN") && unknown.lines().count() == 1 && code == Some(0), "{unknown}");
    assert!(tool(&["show", "broken"], &folder).0.contains("UNKNOWN"));
    assert_eq!(tool(&["show", "nobody"], &folder).1, Some(1));
    let file = folder.with_extension("jsonl");
    assert_eq!(tool(&["export", "-o", &file.display().to_string()], &folder).1, Some(0));
    assert_eq!(std::fs::read_to_string(&file).expect("written").lines().count(), 3);
    let _ = std::fs::remove_file(file);
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn a_second_sidecar_on_the_same_journal_does_not_start() {
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

/// What the application does with an order.
fn done_with(id: &str) -> (u16, Reply) {
    let number = id.bytes().map(u64::from).sum::<u64>();
    std::thread::sleep(Duration::from_millis(number % 4));
    match number % 37 {
        0 => (422, Reply::Answer("422 Unprocessable Content", "", Vec::new())),
        1 => (503, Reply::Answer("503 Service Unavailable", "", Vec::new())),
        2 => (502, Reply::Close),
        _ => (200, Reply::ok("done")),
    }
}

/// Kills the program at random points of a rush, again and again on one journal. `IVYGATE_KILL_ROUNDS` makes it longer,
/// and `IVYGATE_KILL_SEED` another one.
#[test]
fn after_kills_in_a_rush_the_journal_agrees_with_the_applications_own_log() {
    let told_by =
        |name: &str, default| std::env::var(name).ok().and_then(|n| n.parse().ok()).unwrap_or(default);
    let (rounds, seed) = (told_by("IVYGATE_KILL_ROUNDS", 5), told_by("IVYGATE_KILL_SEED", 1));
    println!("{rounds} rounds, seed {seed}");
    let mut rng = fastrand::Rng::with_seed(seed);
    let folder = folder("kills");
    let answered = Arc::<Mutex<Vec<(String, u16)>>>::default();
    let seen = Arc::<Mutex<Vec<String>>>::default();
    let log = seen.clone();
    let app = AppServer::start(move |m: &Message| {
        let id = m.header("req-id").unwrap_or_default().to_owned();
        log.lock().expect("no panic").push(id.clone());
        done_with(&id).1
    });
    for round in 0..rounds {
        let sidecar = sidecar(&folder, &app);
        let (address, before) = (sidecar.address, seen.lock().expect("no panic").clone());
        // Orders of earlier lives are asked for again, and not run again.
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
        wait_until("the rush is on", || app.request_count() >= kill_at);
        drop(sidecar);
        for client in clients {
            client.join().expect("no panic");
        }
    }
    assert!(tool(&["verify"], &folder).0.starts_with("whole: "));
    let told = told(&folder);
    let seen = seen.lock().expect("no panic");
    let mut unlike = seen.clone();
    unlike.sort();
    unlike.dedup();
    assert_eq!(unlike.len(), seen.len(), "an order ran twice");
    for id in seen.iter() {
        let (state, status) = told.get(id).unwrap_or_else(|| panic!("{id} is not accounted for"));
        assert!(state != "never-sent", "{id} was seen by the application");
        let right = done_with(id).0;
        assert!(state != "answered" || *status == Some(right.into()), "{id}: {status:?}, not {right}");
    }
    let answered = answered.lock().expect("no panic");
    for (id, status) in answered.iter() {
        // Refused, and not seen by the application; or its answer.
        let refused = *status == 503 && !seen.contains(id);
        assert!(refused || done_with(id).0 == *status && seen.contains(id), "{id}: {status}");
    }
    println!("{} orders, {} seen by the application, {} answered", told.len(), seen.len(), answered.len());
    assert!(answered.len() as u64 > 5 * rounds);
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn an_order_asked_for_again_after_a_crash_gets_what_is_known_and_never_a_second_run() {
    let folder = folder("again");
    let app = AppServer::start(|m| match m.header("req-id") {
        Some("broken") => Reply::Close,
        _ => Reply::ok("done"),
    });
    let first = sidecar(&folder, &app);
    assert_eq!(first.ask(&order("good")).status(), 200);
    assert_eq!(first.ask(&order("broken")).status(), 502);
    // Also from the process that sent them.
    assert_eq!(first.ask(&order("broken")).status(), 409);
    drop(first);
    let second = sidecar(&folder, &app);
    let good = second.ask(&order("good"));
    // What came back is noted behind the answer: the kill may have come first.
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
fn an_order_that_no_server_took_may_be_asked_for_again() {
    let folder = folder("untaken");
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
fn operators_read_on_a_listener_of_their_own_and_clients_do_not() {
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
    // A keyed one is recorded, and its id holds nothing.
    assert_eq!((post("/keyed", "k", key), post("/keyed", "k", key)), (200, 200));
    wait_until("it says where", || sidecar.said().contains("operators ask on "));
    let said = sidecar.said();
    let address = said.split("operators ask on ").nth(1).and_then(|rest| rest.split_whitespace().next());
    let address: std::net::SocketAddr = address.expect("told").parse().expect("an address");
    let ask =
        |request: &str| support::connect(address).ask(&format!("{request} HTTP/1.1\r\nHost: h\r\n\r\n"));
    let text = |answer: &Message| String::from_utf8(answer.body.clone()).expect("text");
    // What came of the last is noted a little later.
    let unknown = || text(&ask("GET /orders?state=unknown"));
    wait_until("one is left", || unknown().lines().count() == 1);
    assert!(unknown().contains("\"client_id\":\"b\""), "{}", unknown());
    // Page by page, each order once.
    let (mut after, mut seen) = (String::new(), 0);
    loop {
        let page = text(&ask(&format!("GET /orders?limit=1{after}")));
        let documents =
            page.lines().map(|line| serde_json::from_str::<serde_json::Value>(line).expect("JSON"));
        let (mut next, mut there) = (None, 0);
        for document in documents {
            match document["next"].as_str() {
                Some(place) => next = Some(format!("&after={place}")),
                None => there += 1,
            }
        }
        assert!(there <= 1);
        seen += there;
        match next {
            Some(place) => after = place,
            None => break,
        }
    }
    assert_eq!(seen, 4);
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
fn a_client_that_leaves_is_told_apart_from_time_that_is_up() {
    let folder = folder("left");
    let app = AppServer::start(|_| Reply::Silence);
    let sidecar = sidecar(&folder, &app);
    let leaves = {
        let mut client = sidecar.client();
        client.write(order("leaves").as_bytes());
        client
    };
    wait_until("it is sent", || app.request_count() == 1);
    drop(leaves);
    assert_eq!(sidecar.ask(&order("waits")).status(), 504);
    let ended = |id: &str| tool(&["show", id], &folder).0;
    wait_until("both are told", || {
        ended("leaves").contains("had left") && ended("waits").contains("time was up")
    });
    drop(sidecar);
    let _ = std::fs::remove_dir_all(folder);
}

/// Orders get no answer but 503 with `Retry-After`, nothing of them goes out, and all else goes on.
fn refuses_orders_only(sidecar: &Sidecar, app: &AppServer) {
    let before = app.request_count();
    let refused = sidecar.ask(&order("late"));
    assert_eq!(refused.status(), 503);
    assert!(refused.header("retry-after").is_some(), "{refused:?}");
    assert_eq!((app.request_count(), sidecar.get("/reads").status()), (before, 200));
    assert!(sidecar.said().contains("are refused until a restart"), "{}", sidecar.said());
}

#[test]
fn a_folder_that_vanishes_or_is_replaced_takes_no_more_orders() {
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
        refuses_orders_only(&sidecar, &app);
        let _ = std::fs::remove_dir_all(folder);
    }
}

#[test]
fn a_disk_that_takes_no_more_ends_orders_and_nothing_else() {
    let folder = folder("no-space");
    let app = AppServer::start(|_| Reply::ok("done"));
    // The process may write files up to so many blocks of 512 bytes, and hears of it by an error.
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
    let long = "x".repeat(8000);
    let mut taken = 0;
    loop {
        let head = format!(
            "POST /orders/{long} HTTP/1.1\r\nHost: h\r\nReq-Id: o{taken}\r\nContent-Length: 1\r\n\r\nx"
        );
        if client.ask(&head).status() != 200 {
            break;
        }
        taken += 1;
        assert!(taken < 5000, "the disk takes all");
    }
    assert_eq!(app.request_count(), taken, "what was refused was not sent");
    refuses_orders_only(&sidecar, &app);
    drop(sidecar);
    // What was taken is there.
    assert!(tool(&["verify"], &folder).0.starts_with("whole: "));
    for id in ["o0".to_owned(), format!("o{}", taken - 1)] {
        assert!(!tool(&["show", &id], &folder).0.contains("never sent"), "{id}");
    }
    let _ = std::fs::remove_dir_all(folder);
}
