//! End-to-end tests of the configuration commands: output, exit codes, and generated files.

mod support;

use ivygate_test_servers::{wait_until, AppServer, Message, Reply};
use std::fs;
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use support::{scratch, Sidecar};

/// Temporary folder, removed on drop.
struct Folder(PathBuf);

impl Folder {
    fn new() -> Self {
        static NEXT: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
        let number = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("ivygate-tool-{}-{number}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        fs::create_dir(&path).expect("a folder");
        Folder(path)
    }

    fn write(&self, name: &str, text: &str) {
        fs::write(self.0.join(name), text).expect("it can be written");
    }

    fn read(&self, name: &str) -> String {
        fs::read_to_string(self.0.join(name)).expect("it can be read")
    }

    fn run(&self, arguments: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_ivygate"))
            .args(arguments)
            .current_dir(&self.0)
            .stdin(Stdio::null())
            .output()
            .expect("it runs")
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn exit_code(output: &Output) -> i32 {
    output.status.code().expect("it ends by itself")
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

const GOOD: &str = include_str!("../../../deploy/sidecar.conf");

#[test]
fn check_and_serve_accept_the_same_files() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../tool/tests/files");
    let key = scratch("a key that is long enough");
    let key = key.to_str().expect("a path");
    let mut rejected = 0;
    for kind in ["mistakes", "good"] {
        for entry in fs::read_dir(format!("{folder}/{kind}")).expect("the seeded files") {
            let path = entry.expect("one of them").path();
            let mut text = fs::read_to_string(&path).expect("text").replace("127.0.0.1:8080", "127.0.0.1:0");
            // The group's address and keys are replaced by usable ones.
            text = text.replace("listen 127.0.0.1:7900", "listen 127.0.0.1:0");
            for name in ["group.key", "new.key", "old.key"] {
                text = text.replace(name, key);
            }
            let file = scratch(&text);
            let run = |command: &str| {
                let mut ivygate = Command::new(env!("CARGO_BIN_EXE_ivygate"));
                ivygate.arg(command).arg(&file).stdout(Stdio::null()).stderr(Stdio::piped());
                ivygate
            };
            let accepted = run("check").status().expect("it runs").success();
            let serves = if accepted {
                drop(Sidecar::start(&text));
                true
            } else {
                run("serve").status().expect("it runs").code() != Some(2)
            };
            assert_eq!(accepted, serves, "{}", path.display());
            rejected += usize::from(!accepted);
        }
    }
    assert!(rejected > 50);
}

#[test]
fn exit_codes_are_0_for_success_1_for_differences_and_2_for_errors() {
    let folder = Folder::new();
    folder.write("good.conf", GOOD);
    folder.write("same.conf", &format!("# c\n{}", GOOD.replace("quota 50/s;", "quota   50/s;")));
    folder.write("other.conf", &GOOD.replace("quota 50/s", "quota 60/s"));
    folder.write("bad.conf", "limits {");
    for (arguments, expected) in [
        (&["check", "good.conf"][..], 0),
        (&["check", "bad.conf"], 2),
        (&["check", "gone.conf"], 2),
        (&["check"], 2),
        (&["fmt", "--check", "good.conf"], 0),
        (&["fmt", "--check", "same.conf"], 1),
        (&["fmt", "--check", "bad.conf"], 2),
        (&["fmt", "gone.conf"], 2),
        (&["diff", "good.conf", "same.conf"], 0),
        (&["diff", "good.conf", "other.conf"], 1),
        (&["diff", "good.conf", "bad.conf"], 2),
        (&["explain", "IV0021"], 0),
        (&["explain", "iv9999"], 2),
        (&["new", "--app", "x"], 2),
        (&["new"], 2),
        (&["keywords"], 0),
        (&["completions", "bash"], 0),
        (&["routes", "bad.conf"], 2),
    ] {
        let output = folder.run(arguments);
        assert_eq!(exit_code(&output), expected, "{arguments:?}: {}{}", stdout(&output), stderr(&output));
    }
}

#[test]
fn check_json_is_one_document_with_locations() {
    let folder = Folder::new();
    folder.write("bad.conf", &GOOD.replace("window 15s", "window 15ms"));
    let output = folder.run(&["check", "--format", "json", "bad.conf"]);
    assert_eq!(exit_code(&output), 2);
    let document: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    let finding = &document["findings"][0];
    assert_eq!((&document["errors"], &finding["code"]), (&1.into(), &"IV0080".into()));
    assert_eq!((&finding["at"]["line"], &finding["at"]["file"]), (&12.into(), &"bad.conf".into()));
    assert!(stderr(&output).is_empty(), "{}", stderr(&output));
    folder.write("good.conf", GOOD);
    let document: serde_json::Value =
        serde_json::from_slice(&folder.run(&["check", "--format", "json", "good.conf"]).stdout)
            .expect("JSON");
    assert_eq!(document["errors"], 0);
}

#[test]
fn fmt_edits_in_place_and_keeps_mode_and_links() {
    use std::os::unix::fs::{symlink, PermissionsExt};
    let folder = Folder::new();
    let unformatted = GOOD.replace("quota 50/s;", "quota   50/s;");
    folder.write("a.conf", &unformatted);
    fs::set_permissions(folder.0.join("a.conf"), fs::Permissions::from_mode(0o640)).expect("a mode");
    symlink("a.conf", folder.0.join("link.conf")).expect("a link");
    let shown = folder.run(&["fmt", "--diff", "a.conf"]);
    assert!(
        stdout(&shown).contains("-plan standard { quota   50/s;")
            && stdout(&shown).contains("+plan standard { quota 50/s;")
    );
    assert_eq!(folder.read("a.conf"), unformatted);
    assert_eq!(exit_code(&folder.run(&["fmt", "link.conf"])), 0);
    assert_eq!(folder.read("a.conf"), GOOD);
    let mode = fs::metadata(folder.0.join("a.conf")).expect("it is there").permissions().mode();
    assert_eq!(mode & 0o777, 0o640);
    assert!(fs::symlink_metadata(folder.0.join("link.conf")).expect("it is there").is_symlink());
    assert_eq!(fs::read_dir(&folder.0).expect("the folder").count(), 2, "no temporary files are left");
}

#[test]
fn new_writes_valid_files_and_overwrites_none() {
    let folder = Folder::new();
    let arguments = [
        "new",
        "--app",
        "shop",
        "--server",
        "127.0.0.1:9001",
        "--route",
        "/tiles safe",
        "--route",
        "POST /orders",
    ];
    let output = folder.run(&arguments);
    assert_eq!(exit_code(&output), 0, "{}", stderr(&output));
    assert_eq!(exit_code(&folder.run(&["check", "shop.conf"])), 0);
    assert_eq!(exit_code(&folder.run(&["fmt", "--check", "shop.conf"])), 0);
    let before = folder.read("shop.conf");
    let again = folder.run(&arguments);
    assert_eq!(exit_code(&again), 2);
    assert!(stderr(&again).contains("--force"), "{}", stderr(&again));
    assert_eq!(folder.read("shop.conf"), before);
    for invalid in
        [&["--plan", "a=often"][..], &["--plan", "often"], &["--route", "/a//b safe"], &["--openapi", "gone"]]
    {
        let output = folder.run(&[&arguments[..], &["--force"], invalid].concat());
        assert_eq!(exit_code(&output), 2, "{invalid:?}");
        assert!(!stderr(&output).is_empty());
        assert_eq!(folder.read("shop.conf"), before);
    }
}

#[test]
fn generated_configurations_get_distinct_ports() {
    let folder = Folder::new();
    for name in ["tiles", "edits", "orders"] {
        let output = folder.run(&["new", "--app", name, "--server", "127.0.0.1:9001", "--route", "/ safe"]);
        assert_eq!(exit_code(&output), 0, "{}", stderr(&output));
    }
    let port = |name: &str| {
        let text = folder.read(name);
        let line = text.lines().find(|l| l.starts_with("listen ")).expect("a listener").to_owned();
        line.split([':', ' ']).nth(2).expect("a port").to_owned()
    };
    let ports =
        std::collections::BTreeSet::from([port("tiles.conf"), port("edits.conf"), port("orders.conf")]);
    assert_eq!(ports.len(), 3, "{ports:?}");
}

/// Starts three applications (tiles, edits, paid orders) and generates their configurations.
fn start_three_apps(folder: &Folder) -> [AppServer; 3] {
    let apps = ["a tile", "edited", "ordered"].map(|words| AppServer::start(move |_| Reply::ok(words)));
    let [tiles, edits, orders] = apps.each_ref().map(|app| app.address);
    folder.write(
        "apps",
        &format!(
            "app tiles {{ listen 127.0.0.1:0; server {tiles}; route /tiles safe; }}\n\
             app edits {{ listen 127.0.0.1:0; server {edits}; route POST /trails/*/edits keyed; }}\n\
             app orders {{ listen 127.0.0.1:0; server {orders}; route POST =/orders unsafe; plan member 100/s; }}\n"
        ),
    );
    let output = folder.run(&["new", "--from", "apps"]);
    assert_eq!(exit_code(&output), 0, "{}", stderr(&output));
    apps
}

#[test]
fn three_generated_sidecars_serve_their_applications() {
    let folder = Folder::new();
    let apps = start_three_apps(&folder);
    for (name, method, path, words) in [
        ("tiles", "GET", "/tiles/1", "a tile"),
        ("edits", "POST", "/trails/7/edits", "edited"),
        ("orders", "POST", "/orders", "ordered"),
    ] {
        assert_eq!(exit_code(&folder.run(&["fmt", "--check", &format!("{name}.conf")])), 0);
        let sidecar = Sidecar::start(&folder.read(&format!("{name}.conf")));
        let request = format!("{method} {path} HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
        let answer = sidecar.client().ask(&request);
        assert_eq!((answer.status(), answer.body.as_slice()), (200, words.as_bytes()));
        let elsewhere = sidecar.client().ask("GET /elsewhere HTTP/1.1\r\nHost: h\r\n\r\n");
        assert_eq!(elsewhere.status(), 404);
    }
    assert_eq!(apps.each_ref().map(AppServer::request_count), [1, 1, 1]);
}

#[test]
fn check_finds_errors_seeded_into_generated_files() {
    let folder = Folder::new();
    let _apps = start_three_apps(&folder);
    let seeded_errors = [
        ("tiles", "deadline 5s", "deadline 5", "IV0021"),
        ("tiles", "class reads; pool", "class read; pool", "IV0033"),
        ("tiles", "aim 500ms", "aim 500s", "IV0041"),
        ("tiles", "path prefix /tiles", "path prefix /tiles/", ""),
        ("edits", "window 15s", "window 15ms", "IV0080"),
        ("edits", "window 15s", "window 1m", "IV0074"),
        ("edits", "scope all", "scope zone", "IV0055"),
        ("edits", "methods POST", "methods post", "IV0053"),
        ("orders", "effect unsafe", "effect unsafe; repeat sent", "IV0072"),
        ("orders", "effect unsafe", "effect once", "IV0037"),
        ("orders", "requests 128;", "requests 128; second-copies yes;", "IV0073"),
        ("orders", "quota 100/s", "quota 100/s; ceiling 10/s", "IV0040"),
        ("orders", "connections 256", "connections 2560", "IV0056"),
    ];
    for (name, from, to, expected) in seeded_errors {
        let text = folder.read(&format!("{name}.conf"));
        assert!(text.contains(from), "{from}: {text}");
        folder.write("seeded.conf", &text.replacen(from, to, 1));
        let output = folder.run(&["check", "seeded.conf"]);
        assert_eq!(exit_code(&output), if expected.is_empty() { 0 } else { 2 }, "{to}: {}", stderr(&output));
        assert!(stderr(&output).contains(expected), "{to}: {}", stderr(&output));
    }
}

#[test]
fn first_attempt_is_awaited_only_if_hedging_is_allowed() {
    for (allowed, answered) in [("yes", true), ("no", false)] {
        let attempts = Arc::new(AtomicUsize::new(0));
        let reply = {
            let attempts = attempts.clone();
            move |_: &Message| match attempts.fetch_add(1, Ordering::SeqCst) {
                // The first attempt is answered once there is a second one, which is never answered.
                0 => {
                    wait_until("there is a second attempt", || attempts.load(Ordering::SeqCst) > 1);
                    Reply::ok("first")
                }
                _ => Reply::Silence,
            }
        };
        let apps = [AppServer::start(reply.clone()), AppServer::start(reply)];
        let text = format!(
            "listen 127.0.0.1:0 {{ connections 400; }}\nclass read {{ effect safe; aim 200ms; deadline 4s; }}\n\
             pool app {{ second-copies {allowed}; server a {}; server b {}; }}\nroute all {{ class read; pool app; }}\n",
            apps[0].address, apps[1].address
        );
        let sidecar = Sidecar::start(&text);
        let answer = sidecar.client().ask("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        assert_eq!(answer.status() == 200, answered, "{allowed}: {}", answer.status());
    }
}
