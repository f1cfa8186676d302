//! The journal of the real program: what it says after it was killed, against the application's own log.

mod support;

use ivygate_standin::{until, App, Message, Reply};
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

fn sidecar(folder: &Path, app: &App) -> Sidecar {
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
    let output =
        Command::new(tool).args(["journal", "--format", "json"]).arg(folder).output().expect("it runs");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let text = String::from_utf8(output.stdout).expect("text");
    let orders = text.lines().map(|line| {
        let one: serde_json::Value = serde_json::from_str(line).expect("JSON");
        let id = one["order"]["client_id"].as_str().expect("an id").to_owned();
        (id, (one["state"].as_str().expect("a state").to_owned(), one["status"].as_u64()))
    });
    orders.collect()
}

fn order(id: &str) -> String {
    format!("POST /orders HTTP/1.1\r\nHost: h\r\nReq-Id: {id}\r\nContent-Length: 3\r\n\r\nx=1")
}

#[test]
fn orders_are_told_with_what_came_of_them_and_reads_are_not_recorded() {
    let folder = folder("told");
    let app = App::start(|m| match m.header("req-id") {
        Some("bad") => Reply::Answer("422 Unprocessable Content", "", Vec::new()),
        Some("broken") => Reply::Close,
        _ => Reply::ok("done"),
    });
    let sidecar = sidecar(&folder, &app);
    for (id, status) in [("good", 200), ("bad", 422), ("broken", 502)] {
        assert_eq!(sidecar.ask(&order(id)).status(), status, "{id}");
    }
    assert_eq!(sidecar.get("/reads").status(), 200);
    // In use: told, with nothing changed.
    let tool = env!("CARGO_BIN_EXE_ivygate");
    let busy = Command::new(tool).arg("journal").arg(&folder).output().expect("it runs");
    assert_eq!(busy.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&busy.stderr).contains("in use"), "{busy:?}");
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
    let one = Command::new(tool).arg("journal").arg(&folder).arg("broken").output().expect("it runs");
    assert!(String::from_utf8_lossy(&one.stdout).contains("UNKNOWN"), "{one:?}");
    let none = Command::new(tool).arg("journal").arg(&folder).arg("nobody").output().expect("it runs");
    assert_eq!(none.status.code(), Some(1));
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn a_second_sidecar_on_the_same_journal_does_not_start() {
    let folder = folder("second");
    let app = App::start(|_| Reply::ok("done"));
    let first = sidecar(&folder, &app);
    let text = std::fs::read_to_string(&first.config).expect("its file");
    let file = support::scratch(&text);
    let second =
        Command::new(env!("CARGO_BIN_EXE_ivygate")).arg("serve").arg(&file).output().expect("it runs");
    assert_eq!(second.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&second.stderr).contains("in use"), "{second:?}");
    let _ = (std::fs::remove_file(file), std::fs::remove_dir_all(folder));
}

/// Kills the program at random points of a rush, again and again on one journal.
#[test]
fn after_kills_in_a_rush_the_journal_agrees_with_the_applications_own_log() {
    let folder = folder("kills");
    let answered = Arc::<Mutex<Vec<String>>>::default();
    let seen = Arc::<Mutex<Vec<String>>>::default();
    let log = seen.clone();
    let app = App::start(move |m: &Message| {
        let id = m.header("req-id").unwrap_or_default().to_owned();
        let number = id.bytes().map(u64::from).sum::<u64>();
        log.lock().expect("no panic").push(id);
        std::thread::sleep(Duration::from_millis(number % 4));
        Reply::ok("done")
    });
    for round in 0..5_usize {
        let sidecar = sidecar(&folder, &app);
        let (address, before) = (sidecar.address, app.seen());
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
                        Some(answer) if answer.status() == 200 => {
                            answered.lock().expect("no panic").push(id);
                        }
                        Some(_) => {}
                        None => return,
                    }
                })
            })
            .collect();
        let kill_at = before + [3, 40, 17, 80, 59][round];
        until("the rush is on", || app.seen() >= kill_at);
        drop(sidecar);
        for client in clients {
            client.join().expect("no panic");
        }
    }
    let told = told(&folder);
    let seen = seen.lock().expect("no panic");
    let mut unlike = seen.clone();
    unlike.sort();
    unlike.dedup();
    assert_eq!(unlike.len(), seen.len(), "an order ran twice");
    for id in seen.iter() {
        let (state, status) = told.get(id).unwrap_or_else(|| panic!("{id} is not accounted for"));
        assert!(state != "never-sent", "{id} was seen by the application");
        assert!(state != "answered" || *status == Some(200), "{id}: {status:?}");
    }
    let answered = answered.lock().expect("no panic");
    assert!(answered.iter().all(|id| seen.contains(id)) && answered.len() > 50);
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn an_order_asked_for_again_after_a_crash_gets_what_is_known_and_never_a_second_run() {
    let folder = folder("again");
    let app = App::start(|m| match m.header("req-id") {
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
