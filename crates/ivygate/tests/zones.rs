//! Zones judged as a whole by several processes, with faults between them; and what operators see and say of it.

mod support;

use ivygate_fault_injection::{play_until_told, Played, Program, Scenario, Verdict};
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use support::*;

fn played(length: &str, steps: &str) -> Played {
    played_by(4, length, steps)
}

fn played_by(nodes: usize, length: &str, steps: &str) -> Played {
    let text = format!(
        "name = \"t\"\nabout = \"t\"\nseed = 5\nlength = \"{length}\"\nsettle = \"6s\"\nform = \"sidecar\"\n\
         domains = true\nnodes = {nodes}\nservers = 6\nrate = 160\ncustomers = 200\n{steps}"
    );
    let scenario = Scenario::parse(&text).unwrap_or_else(|error| panic!("{error}\n{text}"));
    let program = Program { program: env!("CARGO_BIN_EXE_ivygate").into(), ..Program::default() };
    let played = play_until_told(&scenario, &program).expect("a play");
    assert_ne!(played.verdict, Verdict::Void, "five plays in turn had too little of the machine");
    // How much was served in time is a busy machine's word too.
    let broken: Vec<_> = played.findings.iter().filter(|f| f.rule != "settles").collect();
    assert!(broken.is_empty(), "{broken:?}");
    played
}

/// A port at an address at which no other test asks for ports.
fn operators_address() -> std::net::SocketAddr {
    std::net::TcpListener::bind("127.0.0.2:0").and_then(|l| l.local_addr()).expect("a port")
}

/// When the processes said that a zone has come to a degree.
fn turned(played: &Played, zone: &str, to: &str) -> Vec<f64> {
    let lines = played.said.iter().flatten();
    let told = lines.filter(|(_, line)| {
        line.contains(&format!("zone=\"{zone}\"")) && line.contains(&format!("to=\"{to}\""))
    });
    told.map(|(at, _)| *at).collect()
}

fn step(at: &str, lasts: &str, does: &str) -> String {
    format!("[[step]]\nat = \"{at}\"\nfor = \"{lasts}\"\n{does}\n")
}

#[test]
fn processes_leave_a_zone_that_is_cut_off_and_come_back_to_it() {
    let played = played("14s", &step("2s", "2s", "do = \"cut\"\nnodes = \"all\"\nservers = \"south\""));
    let left = turned(&played, "south", "left");
    assert!(left.len() >= 2 && left.iter().all(|at| *at > 2_000.0), "{left:?}");
    assert_eq!(turned(&played, "north", "left"), Vec::<f64>::new());
    // The processes of the south send there again.
    let back = played.trace.runs.iter().filter(|run| run.server % 2 == 1 && run.at > 11_000.0).count();
    assert!(back > 10, "{back}");
}

#[test]
fn processes_that_stood_still_or_start_meanwhile_break_no_rule() {
    let steps = step("2s", "3s", "do = \"cut\"\nnodes = \"all\"\nservers = \"south\"\nways = \"back\"")
        + &step("2s", "3s", "do = \"pause\"\nnodes = \"1\"")
        + &step("3s", "500ms", "do = \"kill\"\nnodes = \"3\"")
        + &step("6s", "1s", "do = \"crash\"\nservers = \"south\"");
    let played = played("10s", &steps);
    let still = played.said.iter().flatten().filter(|(_, line)| line.contains("stood still")).count();
    assert!(still >= 1);
}

#[test]
fn what_fails_everywhere_makes_nobody_stay_away() {
    let played = played("9s", &step("2s", "2s", "do = \"wrong\"\nservers = \"all\"\npart = 1.0"));
    for zone in [0, 1] {
        let runs = played.trace.runs.iter().filter(|run| run.server % 2 == zone && run.at > 7_000.0);
        assert!(runs.count() > 60);
    }
}

#[test]
fn operators_see_what_is_believed_and_take_zones_out_by_a_reload() {
    let fails = Arc::new(AtomicBool::new(false));
    let app = |name: &'static str, fails: Arc<AtomicBool>| {
        App::start(move |_| if fails.load(Ordering::SeqCst) { Reply::Close } else { Reply::ok(name) })
    };
    let north = [app("north", Arc::default()), app("north", Arc::default())];
    let south = [app("south", fails.clone()), app("south", fails.clone())];
    let servers: Vec<_> = north
        .iter()
        .map(|app| (app.address, "north"))
        .chain(south.iter().map(|app| (app.address, "south")))
        .collect();
    let operator = operators_address();
    let text = |domains: &str| {
        // The sidecar stands in the south, and goes there as long as it may.
        let pool = pool("app", domains, &servers)
            .replace("zone north; requests", "zone south; cross-zone 0.5; requests");
        Sidecar::text("", &[format!("operator {operator};\n"), pool, route("app", "read")])
    };
    let sidecar = Sidecar::start(&text("domains;"));
    let told = |format: &str| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_ivygate"));
        command.args(["domains", "--format", format]).arg(&sidecar.config);
        let output = command.output().expect("it runs");
        assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
        String::from_utf8(output.stdout).expect("text")
    };
    let degree = |zone: &str| -> String {
        let lines = told("json");
        let mut documents =
            lines.lines().map(|line| serde_json::from_str::<serde_json::Value>(line).expect("JSON"));
        let document = documents.find(|document| document["zone"] == zone).expect("the zone");
        document["degree"].as_str().expect("a degree").to_owned()
    };
    let ask = |number: usize| sidecar.get(&format!("/app/{number}"));
    assert!((0..20).all(|n| ask(n).body == b"south"));
    assert_eq!((degree("north"), degree("south")), ("well".into(), "well".into()));
    // By hand: at once, with no request lost, and without forgetting what the pool knows.
    assert!(sidecar.reload(&text("domains { works south; }")), "{}", sidecar.said());
    assert!((0..20).all(|n| ask(n).body == b"north"));
    assert_eq!(degree("south"), "works");
    assert!(told("text").contains("works"), "{}", told("text"));
    assert!(sidecar.reload(&text("domains;")), "{}", sidecar.said());
    until("the zone is on its way back", || {
        ask(0);
        ["returning", "well"].contains(&degree("south").as_str())
    });
    assert!(sidecar.said().contains("zone judged anew"), "{}", sidecar.said());
    // A zone that is not there is told with its place, and nothing changes.
    assert!(!sidecar.reload(&text("domains { works west; }")));
    assert!(sidecar.said().contains("IV0095"), "{}", sidecar.said());
}

#[test]
fn a_sidecar_that_judges_no_zones_says_so_and_one_that_is_gone_too() {
    let app = App::start(|_| Reply::ok("x"));
    let operator = operators_address();
    let parts =
        [format!("operator {operator};\n"), pool("app", "", &[(app.address, "north")]), route("app", "read")];
    let sidecar = Sidecar::start(&Sidecar::text("", &parts));
    let run = |file: &std::path::Path| {
        let output =
            Command::new(env!("CARGO_BIN_EXE_ivygate")).arg("domains").arg(file).output().expect("it runs");
        (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
    };
    let (code, why) = run(&sidecar.config);
    assert!(code == Some(1) && why.contains("no pool here has `domains`"), "{why}");
    let config = scratch(&std::fs::read_to_string(&sidecar.config).expect("a file"));
    drop(sidecar);
    let (code, why) = run(&config);
    assert!(code == Some(1) && why.contains("does not answer"), "{why}");
    let (code, why) = run(&scratch(&Sidecar::text("", &parts[1..])));
    assert!(code == Some(2) && why.contains("names no operators' address"), "{why}");
}

/// Sidecars that tell each other, with the datagrams between them at fault too.
fn talking(steps: &str) -> Played {
    played_by(6, "8s", &format!("group = true\n{steps}"))
}

#[test]
fn processes_that_tell_each_other_leave_a_zone_together() {
    let played = talking(&step("2s", "2s", "do = \"cut\"\nnodes = \"all\"\nservers = \"south\""));
    let left = turned(&played, "south", "left");
    let first = left.iter().copied().fold(f64::INFINITY, f64::min);
    // Each hears of it from the others: those of the south, at the least, go as one.
    let soon = left.iter().filter(|at| **at < first + 1_000.0).count();
    assert!(first > 2_000.0 && soon >= 3, "{left:?}");
    let told = played.said.iter().flatten().filter(|(_, line)| line.contains("others say it fails"));
    assert!(told.count() >= 1);
}

#[test]
fn processes_that_hear_nothing_or_rubbish_go_by_their_own_eyes() {
    let steps = step("1s", "6s", "do = \"cut\"\nlink = \"nodes\"\nnodes = \"0,1\"")
        + &step("1s", "6s", "do = \"change\"\nlink = \"nodes\"\nnodes = \"all\"\npart = 0.5")
        + &step("1s", "6s", "do = \"lose\"\nlink = \"nodes\"\nnodes = \"all\"\npart = 0.3")
        + &step("1s", "6s", "do = \"twice\"\nlink = \"nodes\"\nnodes = \"all\"\npart = 0.3")
        + &step("2s", "2s", "do = \"cut\"\nnodes = \"all\"\nservers = \"south\"\nways = \"back\"");
    let played = talking(&steps);
    let left = turned(&played, "south", "left");
    assert!(left.iter().any(|at| *at > 2_000.0 && *at < 5_000.0), "{left:?}");
    assert_eq!(turned(&played, "north", "left"), Vec::<f64>::new());
}

#[test]
fn operators_see_who_is_heard_and_what_is_dropped() {
    let app = App::start(|_| Reply::ok("x"));
    let key = scratch("a key that both of them know");
    let other_key = scratch("a key that nobody else knows");
    let port = || std::net::UdpSocket::bind("127.0.0.2:0").and_then(|s| s.local_addr()).expect("a port");
    let operator = operators_address();
    let (a, b, c) = (port(), port(), port());
    let servers = [(app.address, "north"), (app.address, "south")];
    let other = App::start(|_| Reply::ok("y"));
    let servers = [servers[0], (other.address, "south")];
    let text = |own: std::net::SocketAddr, key: &std::path::Path, more: &str| {
        let group = format!("group {{ listen {own}; key {}; peers {a} {b} {c}; }}\n{more}", key.display());
        Sidecar::text("", &[group, pool("app", "domains;", &servers), route("app", "read")])
    };
    let first = Sidecar::start(&text(a, &key, &format!("operator {operator};\n")));
    let second = Sidecar::start(&text(b, &key, ""));
    let _stranger = Sidecar::start(&text(c, &other_key, ""));
    let told = || {
        let mut command = Command::new(env!("CARGO_BIN_EXE_ivygate"));
        let output =
            command.args(["members", "--format", "json"]).arg(&first.config).output().expect("it runs");
        String::from_utf8(output.stdout).expect("text")
    };
    let members = || told().lines().filter(|line| line.contains("\"member\"")).count();
    until("one is heard", || members() == 1);
    let dropped = || {
        let told = told();
        let last: serde_json::Value =
            serde_json::from_str(told.lines().last().expect("a line")).expect("JSON");
        (last["dropped"]["forged"].as_u64().unwrap_or(0), last["dropped"]["own"].as_u64().unwrap_or(0))
    };
    until("the stranger's and its own are dropped", || dropped().0 > 0 && dropped().1 > 0);
    assert_eq!(members(), 1);
    // Rubbish ends nobody.
    let socket = std::net::UdpSocket::bind("127.0.0.2:0").expect("a socket");
    for length in [0, 1, 45, 1_200, 1_201, 9_000] {
        socket.send_to(&vec![b'I'; length], a).expect("it is sent");
    }
    // A key that can't be used is told, and the one from before stays.
    std::fs::write(&key, "short").expect("it is written");
    assert!(!first.reload(&text(a, &key, &format!("operator {operator};\n"))));
    assert!(first.said().contains("a key must have at least 16 bytes"), "{}", first.said());
    drop(second);
    assert!(members() >= 1 && first.get("/app").status() == 200);
}
