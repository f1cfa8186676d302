//! The operators' commands as scripts use them: arguments, calls to a core machine, exit codes and what is printed.

use serde_json::json;
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Command, Output};
use std::sync::{Arc, Mutex};

/// A stand-in for a core machine: it answers each path with a fixed document, and keeps what it was asked.
struct Core {
    address: SocketAddr,
    requests: Arc<Mutex<Vec<(String, String)>>>,
}

impl Core {
    fn start(answer: fn(&str) -> (u16, String)) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("it has an address");
        let requests = Arc::new(Mutex::new(Vec::new()));
        let seen = requests.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                serve(stream, answer, &seen);
            }
        });
        Self { address, requests }
    }

    fn requests(&self) -> Vec<(String, String)> {
        self.requests.lock().expect("no thread panicked").clone()
    }

    fn run(&self, command: &str, arguments: &[&str]) -> Output {
        run_at(&[self.address], command, arguments)
    }
}

fn serve(stream: TcpStream, answer: fn(&str) -> (u16, String), seen: &Mutex<Vec<(String, String)>>) {
    let mut reader = BufReader::new(stream);
    let (mut first, mut length) = (String::new(), 0);
    if reader.read_line(&mut first).is_err() {
        return;
    }
    loop {
        let mut header = String::new();
        if reader.read_line(&mut header).is_err() || header.trim().is_empty() {
            break;
        }
        if let Some(value) = header.to_ascii_lowercase().strip_prefix("content-length:") {
            length = value.trim().parse().expect("a length");
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).expect("the body comes");
    let request = first.trim_end().trim_end_matches(" HTTP/1.1").to_owned();
    let (status, document) = answer(&request);
    seen.lock().expect("no thread panicked").push((request, String::from_utf8(body).expect("text")));
    let head = format!(
        "HTTP/1.1 {status} X\r\ncontent-length: {}\r\ncontent-type: application/json\r\nconnection: close\r\n\r\n",
        document.len()
    );
    let mut stream = reader.into_inner();
    let _ = stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(document.as_bytes()));
}

fn run_at(addresses: &[SocketAddr], command: &str, arguments: &[&str]) -> Output {
    let mut process = Command::new(env!("CARGO_BIN_EXE_ivygate-registry"));
    process.arg(command);
    for address in addresses {
        process.args(["--at", &address.to_string()]);
    }
    process.args(arguments).env_remove("IVYGATE_CONFIG").output().expect("it runs")
}

fn printed(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).expect("text")
}

fn complaint(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn code(output: &Output) -> i32 {
    output.status.code().expect("it ends by itself")
}

fn file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("ivygate-commands-{name}-{}.json", std::process::id()));
    fs::write(&path, text).expect("it can be written");
    path
}

fn items() -> String {
    let item = |table: &str, key: &str, version: u64, body: serde_json::Value| json!({ "t": table, "k": key, "v": version, "b": body });
    let server = |zone: &str, draining: bool| json!({ "backend": "checkout", "address": "10.9.0.1:80", "zone": zone, "capacity": 4.0, "draining": draining, "cold_s": 0.0 });
    let node = |ip: &str, role: &str, fields: [bool; 3]| json!({ "ip": ip, "role": role, "zone": "a", "region": "r", "ready": fields[0], "leaving": fields[1], "lost": fields[2] });
    json!({ "life": 5, "change": 42, "age": 120.5, "heldMs": 0.0, "items": [
        item("backends", "checkout", 3, json!({ "gen": "r3" })),
        item("routes", "pay", 12, json!({ "gen": "r12", "vhost": "shop", "pathPrefix": "/pay/", "kind": "mutating", "backend": "checkout", "homeRegions": ["r"] })),
        item("tenants", "acme", 2, json!({ "gen": "r2", "apiKeys": ["k1"], "ratePerS": 5, "burst": 7 })),
        item("drains", "b", 1, json!({})),
        item("nodes", "proxy@10.1.0.9", 7, node("10.1.0.9", "proxy", [true, false, false])),
        item("nodes", "proxy@10.1.0.8", 7, node("10.1.0.8", "proxy", [true, true, false])),
        item("nodes", "registry@10.1.0.5", 7, node("10.1.0.5", "registry", [true, false, true])),
        item("nodes", "registry@10.1.0.6", 7, node("10.1.0.6", "registry", [false, false, false])),
        item("servers", "i-1", 1, server("a", false)),
        item("servers", "i-2", 1, server("a", true)),
        item("servers", "i-3", 1, server("b", false)),
    ] })
    .to_string()
}

fn core(request: &str) -> (u16, String) {
    match request {
        "POST /news" => (200, items()),
        "GET /config/read" => (200, r#"{"routes":{"pay":{"gen":"r12"}}}"#.to_owned()),
        "GET /status" => {
            let store =
                json!({ "standing": "member", "items": 9, "digest": "00ff", "members": ["x", "y", "z"] });
            let status = json!({ "store": store, "nodes": {}, "servers": 3, "warden": { "holder": "10.1.0.5" },
                "epoch": 4, "ageMs": 12.4 });
            (200, status.to_string())
        }
        "POST /config/amend" | "POST /drain/b/begin" | "POST /drain/b/finish" => (200, "{}".to_owned()),
        "POST /drain/nowhere/begin" => (404, r#"{"kind":"unknown","detail":"no zone nowhere"}"#.to_owned()),
        other => panic!("{other} is asked by no command"),
    }
}

/// A core machine without a quorum.
fn no_quorum(_: &str) -> (u16, String) {
    (503, r#"{"kind":"no_majority","detail":"two of three stores are silent"}"#.to_owned())
}

const UPDATE: &str = r#"{"upsert":{"routes":{"pay":{"gen":"r13","vhost":"shop","pathPrefix":"/pay/","kind":"mutating","backend":"checkout"},
    "new":{"gen":"r1","vhost":"shop","pathPrefix":"/new/","kind":"idempotent","backend":"checkout"}}},
    "remove":{"tenants":[{"name":"acme","gen":"r3"}]}}"#;

#[test]
fn apply_posts_the_file_and_prints_what_was_acknowledged() {
    let core = Core::start(core);
    let update = file("apply", UPDATE);
    let output = core.run("apply", &[update.to_str().expect("a path")]);
    assert_eq!(
        (code(&output), printed(&output).as_str()),
        (0, "acknowledged: 3 items\n"),
        "{}",
        complaint(&output)
    );
    assert_eq!(core.requests(), [("POST /config/amend".to_owned(), UPDATE.to_owned())]);
    let _ = fs::remove_file(update);
}

#[test]
fn read_prints_the_configuration_as_json() {
    let output = Core::start(core).run("read", &[]);
    assert_eq!(code(&output), 0);
    assert_eq!(
        printed(&output),
        "{\n  \"routes\": {\n    \"pay\": {\n      \"gen\": \"r12\"\n    }\n  }\n}\n"
    );
}

#[test]
fn diff_prints_a_line_an_item() {
    let update = file("diff", UPDATE);
    let output = Core::start(core).run("diff", &[update.to_str().expect("a path")]);
    assert_eq!(code(&output), 0, "{}", complaint(&output));
    assert_eq!(
        printed(&output),
        "Routes new r1: new\nRoutes pay r13: changes r12\nTenants acme r3: removes r2\n"
    );
    let _ = fs::remove_file(update);
}

#[test]
fn drain_begins_and_finishes() {
    let core = Core::start(core);
    let output = core.run("drain", &["b"]);
    assert_eq!((code(&output), printed(&output).as_str()), (0, "b is draining\n"));
    let output = core.run("drain", &["--finish", "b"]);
    assert_eq!((code(&output), printed(&output).as_str()), (0, "b is no longer draining\n"));
    let asked: Vec<String> = core.requests().into_iter().map(|(request, _)| request).collect();
    assert_eq!(asked, ["POST /drain/b/begin", "POST /drain/b/finish"]);
}

#[test]
fn status_prints_store_coordinator_servers_and_nodes() {
    let output = Core::start(core).run("status", &[]);
    assert_eq!(code(&output), 0, "{}", complaint(&output));
    assert_eq!(
        printed(&output),
        "store: member, 9 items, digest 00ff; 3 members\n\
         coordinator: \"10.1.0.5\" under epoch 4\n\
         servers: 3; in contact with the store 12 ms ago\n\
         proxy@10.1.0.8 a leaving\n\
         proxy@10.1.0.9 a ready\n\
         registry@10.1.0.5 a lost\n\
         registry@10.1.0.6 a not ready\n"
    );
}

#[test]
fn where_explains_a_request() {
    let core = Core::start(core);
    let output = core.run("where", &["--key", "k1", "shop", "/pay/7"]);
    assert_eq!(code(&output), 0, "{}", complaint(&output));
    assert_eq!(
        printed(&output),
        "route pay: the longest prefix of shop that begins /pay/7 is /pay/\n\
         tenant acme: 5 a second and a burst of 7\n\
         bound to home regions [\"r\"], each of route and tenant\n\
         service checkout: 100 in 100\n  \
         a: 1 servers take requests, 1 are draining\n  \
         b: 0 servers take requests, 1 are draining\n"
    );
    let first_word = |arguments: &[&str]| {
        let output = core.run("where", arguments);
        let text = printed(&output);
        (
            code(&output),
            text.lines().last().unwrap_or_default().split(':').next().unwrap_or_default().to_owned(),
        )
    };
    assert_eq!(first_word(&["shop", "/pay/7"]), (0, "401".to_owned()));
    assert_eq!(first_word(&["shop", "/elsewhere"]), (0, "404".to_owned()));
}

#[test]
fn a_mistake_ends_with_2_and_names_its_place() {
    let core = Core::start(core);
    for (name, text) in [("malformed", "{"), ("unversioned", r#"{"upsert":{"routes":{"pay":{}}}}"#)] {
        let update = file(name, text);
        let path = update.to_str().expect("a path");
        for command in ["apply", "diff"] {
            let output = core.run(command, &[path]);
            assert_eq!((code(&output), printed(&output).as_str()), (2, ""), "{command} {name}");
            assert!(
                complaint(&output).replace(['\n', ' ', '│'], "").contains(path),
                "{}",
                complaint(&output)
            );
        }
        let _ = fs::remove_file(update);
    }
    assert_eq!(code(&core.run("apply", &["/absent.json"])), 2);
    assert_eq!(code(&core.run("drain", &["nowhere"])), 2);
    assert_eq!(code(&run_at(&[], "status", &[])), 2);
    assert_eq!(core.requests(), [("POST /drain/nowhere/begin".to_owned(), String::new())]);
}

#[test]
fn arguments_that_cannot_be_read_end_with_1() {
    for arguments in
        [&["apply"][..], &["where", "shop"], &["turn"], &["status", "--at", "here"], &["read", "--deep"]]
    {
        let output =
            Command::new(env!("CARGO_BIN_EXE_ivygate-registry")).args(arguments).output().expect("it runs");
        assert_eq!((code(&output), printed(&output).as_str()), (1, ""), "{arguments:?}");
    }
}

#[test]
fn asks_the_next_core_machine_where_one_cannot_answer_and_ends_with_1_where_none_can() {
    let (without_quorum, good) = (Core::start(no_quorum), Core::start(core));
    let output = run_at(&[without_quorum.address, good.address], "drain", &["b"]);
    assert_eq!((code(&output), printed(&output).as_str()), (0, "b is draining\n"));
    assert_eq!((without_quorum.requests().len(), good.requests().len()), (1, 1));
    let output = run_at(&[without_quorum.address], "drain", &["b"]);
    assert_eq!((code(&output), printed(&output).as_str()), (1, ""));
    assert!(complaint(&output).contains("two of three stores are silent"), "{}", complaint(&output));
}

#[test]
fn settings_that_cannot_be_used_end_with_2() {
    let settings = file("settings", r#"{"hostname":"a"}"#);
    let run = |path: Option<&str>| {
        let mut process = Command::new(env!("CARGO_BIN_EXE_ivygate-registry"));
        process.env_remove("IVYGATE_CONFIG");
        if let Some(path) = path {
            process.env("IVYGATE_CONFIG", path);
        }
        process.output().expect("it runs")
    };
    let path = settings.to_str().expect("a path");
    for (setting, named) in
        [(None, "IVYGATE_CONFIG"), (Some("/absent.json"), "/absent.json"), (Some(path), "ip")]
    {
        let output = run(setting);
        assert_eq!((code(&output), printed(&output).as_str()), (2, ""));
        assert!(complaint(&output).contains(named), "{}", complaint(&output));
    }
    let _ = fs::remove_file(settings);
}
