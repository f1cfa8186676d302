//! Tests the operator commands as a script runs them: arguments, requests to the registry, exit codes and output.

use ivygate_test_servers::{AppServer, Message, Reply};
use serde_json::json;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Output};

/// A fake core machine that answers each request with a fixed document and records the requests and their bodies.
struct FakeCore {
    server: AppServer,
}

impl FakeCore {
    fn start(respond: fn(&str) -> (&'static str, String)) -> Self {
        let server = AppServer::start(move |request| {
            let (status, document) = respond(request_line(request));
            Reply::Answer(status, "Content-Type: application/json\r\n", document.into_bytes())
        });
        Self { server }
    }

    fn requests(&self) -> Vec<(String, String)> {
        let requests = self.server.requests.lock().expect("no thread panicked");
        let recorded = |request: &Message| {
            let body = String::from_utf8(request.body.clone()).expect("the body is UTF-8");
            (request_line(request).to_owned(), body)
        };
        requests.iter().map(recorded).collect()
    }

    fn run(&self, command: &str, arguments: &[&str]) -> Output {
        run_at(&[self.server.address], command, arguments)
    }
}

/// Returns the method and target of a request.
fn request_line(request: &Message) -> &str {
    request.start.trim_end().trim_end_matches(" HTTP/1.1")
}

fn run_at(addresses: &[SocketAddr], command: &str, arguments: &[&str]) -> Output {
    let mut process = Command::new(env!("CARGO_BIN_EXE_ivygate-registry"));
    process.arg(command);
    for address in addresses {
        process.args(["--at", &address.to_string()]);
    }
    process.args(arguments).env_remove("IVYGATE_CONFIG").output().expect("the command starts")
}

fn stdout_text(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).expect("the output is UTF-8")
}

fn stderr_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn exit_code(output: &Output) -> i32 {
    output.status.code().expect("the command exits without a signal")
}

fn temporary_file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("ivygate-commands-{name}-{}.json", std::process::id()));
    fs::write(&path, text).expect("the temporary file is writable");
    path
}

fn news_document() -> String {
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

fn respond(request: &str) -> (&'static str, String) {
    match request {
        "POST /news" => ("200 OK", news_document()),
        "GET /config/read" => ("200 OK", r#"{"routes":{"pay":{"gen":"r12"}}}"#.to_owned()),
        "GET /status" => {
            let store =
                json!({ "standing": "member", "items": 9, "digest": "00ff", "members": ["x", "y", "z"] });
            let status = json!({ "store": store, "nodes": {}, "servers": 3, "warden": { "holder": "10.1.0.5" },
                "epoch": 4, "ageMs": 12.4 });
            ("200 OK", status.to_string())
        }
        "POST /config/amend" | "POST /drain/b/begin" | "POST /drain/b/finish" => ("200 OK", "{}".to_owned()),
        "POST /drain/nowhere/begin" => {
            ("404 Not Found", r#"{"kind":"unknown","detail":"no zone nowhere"}"#.to_owned())
        }
        other => panic!("no command requests {other}"),
    }
}

/// Responds like a core machine whose store has no majority.
fn respond_without_quorum(_: &str) -> (&'static str, String) {
    (
        "503 Service Unavailable",
        r#"{"kind":"no_majority","detail":"two of three stores are silent"}"#.to_owned(),
    )
}

const UPDATE: &str = r#"{"upsert":{"routes":{"pay":{"gen":"r13","vhost":"shop","pathPrefix":"/pay/","kind":"mutating","backend":"checkout"},
    "new":{"gen":"r1","vhost":"shop","pathPrefix":"/new/","kind":"idempotent","backend":"checkout"}}},
    "remove":{"tenants":[{"name":"acme","gen":"r3"}]}}"#;

#[test]
fn apply_posts_the_file_and_prints_the_number_of_acknowledged_items() {
    let core = FakeCore::start(respond);
    let update = temporary_file("apply", UPDATE);
    let output = core.run("apply", &[update.to_str().expect("the path is UTF-8")]);
    assert_eq!(
        (exit_code(&output), stdout_text(&output).as_str()),
        (0, "acknowledged: 3 items\n"),
        "{}",
        stderr_text(&output)
    );
    assert_eq!(core.requests(), [("POST /config/amend".to_owned(), UPDATE.to_owned())]);
    let _ = fs::remove_file(update);
}

#[test]
fn read_prints_the_configuration_as_json() {
    let output = FakeCore::start(respond).run("read", &[]);
    assert_eq!(exit_code(&output), 0);
    assert_eq!(
        stdout_text(&output),
        "{\n  \"routes\": {\n    \"pay\": {\n      \"gen\": \"r12\"\n    }\n  }\n}\n"
    );
}

#[test]
fn diff_prints_one_line_per_item() {
    let update = temporary_file("diff", UPDATE);
    let output = FakeCore::start(respond).run("diff", &[update.to_str().expect("the path is UTF-8")]);
    assert_eq!(exit_code(&output), 0, "{}", stderr_text(&output));
    assert_eq!(
        stdout_text(&output),
        "Routes new r1: new\nRoutes pay r13: changes r12\nTenants acme r3: removes r2\n"
    );
    let _ = fs::remove_file(update);
}

#[test]
fn drain_starts_and_ends() {
    let core = FakeCore::start(respond);
    let output = core.run("drain", &["b"]);
    assert_eq!((exit_code(&output), stdout_text(&output).as_str()), (0, "b is draining\n"));
    let output = core.run("drain", &["--finish", "b"]);
    assert_eq!((exit_code(&output), stdout_text(&output).as_str()), (0, "b is no longer draining\n"));
    let request_lines: Vec<String> = core.requests().into_iter().map(|(request, _)| request).collect();
    assert_eq!(request_lines, ["POST /drain/b/begin", "POST /drain/b/finish"]);
}

#[test]
fn status_prints_store_coordinator_servers_and_nodes() {
    let output = FakeCore::start(respond).run("status", &[]);
    assert_eq!(exit_code(&output), 0, "{}", stderr_text(&output));
    assert_eq!(
        stdout_text(&output),
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
fn where_explains_the_routing_of_a_request() {
    let core = FakeCore::start(respond);
    let output = core.run("where", &["--key", "k1", "shop", "/pay/7"]);
    assert_eq!(exit_code(&output), 0, "{}", stderr_text(&output));
    assert_eq!(
        stdout_text(&output),
        "route pay: the longest prefix of shop that begins /pay/7 is /pay/\n\
         tenant acme: 5 a second and a burst of 7\n\
         bound to home regions [\"r\"], each of route and tenant\n\
         service checkout: 100 in 100\n  \
         a: 1 servers take requests, 1 are draining\n  \
         b: 0 servers take requests, 1 are draining\n"
    );
    let exit_code_and_last_line_prefix = |arguments: &[&str]| {
        let output = core.run("where", arguments);
        let text = stdout_text(&output);
        (
            exit_code(&output),
            text.lines().last().unwrap_or_default().split(':').next().unwrap_or_default().to_owned(),
        )
    };
    assert_eq!(exit_code_and_last_line_prefix(&["shop", "/pay/7"]), (0, "401".to_owned()));
    assert_eq!(exit_code_and_last_line_prefix(&["shop", "/elsewhere"]), (0, "404".to_owned()));
}

#[test]
fn invalid_input_exits_with_2_and_names_the_file() {
    let core = FakeCore::start(respond);
    for (name, text) in [("malformed", "{"), ("unversioned", r#"{"upsert":{"routes":{"pay":{}}}}"#)] {
        let update = temporary_file(name, text);
        let path = update.to_str().expect("the path is UTF-8");
        for command in ["apply", "diff"] {
            let output = core.run(command, &[path]);
            assert_eq!((exit_code(&output), stdout_text(&output).as_str()), (2, ""), "{command} {name}");
            assert!(
                stderr_text(&output).replace(['\n', ' ', '│'], "").contains(path),
                "{}",
                stderr_text(&output)
            );
        }
        let _ = fs::remove_file(update);
    }
    assert_eq!(exit_code(&core.run("apply", &["/absent.json"])), 2);
    assert_eq!(exit_code(&core.run("drain", &["nowhere"])), 2);
    assert_eq!(exit_code(&run_at(&[], "status", &[])), 2);
    assert_eq!(core.requests(), [("POST /drain/nowhere/begin".to_owned(), String::new())]);
}

#[test]
fn invalid_arguments_exit_with_1() {
    for arguments in
        [&["apply"][..], &["where", "shop"], &["turn"], &["status", "--at", "here"], &["read", "--deep"]]
    {
        let output = Command::new(env!("CARGO_BIN_EXE_ivygate-registry"))
            .args(arguments)
            .output()
            .expect("the command starts");
        assert_eq!((exit_code(&output), stdout_text(&output).as_str()), (1, ""), "{arguments:?}");
    }
}

#[test]
fn tries_the_next_core_machine_after_a_failure_and_exits_with_1_if_all_fail() {
    let (without_quorum, healthy) = (FakeCore::start(respond_without_quorum), FakeCore::start(respond));
    let output = run_at(&[without_quorum.server.address, healthy.server.address], "drain", &["b"]);
    assert_eq!((exit_code(&output), stdout_text(&output).as_str()), (0, "b is draining\n"));
    assert_eq!((without_quorum.requests().len(), healthy.requests().len()), (1, 1));
    let output = run_at(&[without_quorum.server.address], "drain", &["b"]);
    assert_eq!((exit_code(&output), stdout_text(&output).as_str()), (1, ""));
    assert!(stderr_text(&output).contains("two of three stores are silent"), "{}", stderr_text(&output));
}

#[test]
fn invalid_settings_exit_with_2() {
    let settings = temporary_file("settings", r#"{"hostname":"a"}"#);
    let run = |path: Option<&str>| {
        let mut process = Command::new(env!("CARGO_BIN_EXE_ivygate-registry"));
        process.env_remove("IVYGATE_CONFIG");
        if let Some(path) = path {
            process.env("IVYGATE_CONFIG", path);
        }
        process.output().expect("the command starts")
    };
    let path = settings.to_str().expect("the path is UTF-8");
    for (settings_path, expected_text) in
        [(None, "IVYGATE_CONFIG"), (Some("/absent.json"), "/absent.json"), (Some(path), "ip")]
    {
        let output = run(settings_path);
        assert_eq!((exit_code(&output), stdout_text(&output).as_str()), (2, ""));
        assert!(stderr_text(&output).contains(expected_text), "{}", stderr_text(&output));
    }
    let _ = fs::remove_file(settings);
}
