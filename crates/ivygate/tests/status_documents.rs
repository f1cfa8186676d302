//! The documents that a running sidecar answers operators with: one JSON object a line, with these fields and types.

mod support;

use serde_json::Value;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::process::Command;
use support::*;

const DOMAIN_FIELDS: [(&str, &str); 12] = [
    ("because", "string"),
    ("degree", "string"),
    ("distrusted", "bool"),
    ("failed_again", "number"),
    ("other", "number"),
    ("others_bad", "number"),
    ("others_good", "number"),
    ("pool", "string"),
    ("safe", "number"),
    ("servers", "number"),
    ("since_ms", "number"),
    ("zone", "string"),
];

const MEMBER_FIELDS: [(&str, &str); 3] =
    [("heard_ms_ago", "number"), ("member", "string"), ("packets", "number")];

const GOSSIP_FIELDS: [(&str, &str); 3] = [("dropped", "object"), ("peers", "number"), ("unsent", "number")];

const DROPPED_FIELDS: [(&str, &str); 7] = [
    ("crowd", "number"),
    ("flood", "number"),
    ("forged", "number"),
    ("malformed", "number"),
    ("old", "number"),
    ("own", "number"),
    ("replayed", "number"),
];

fn fields(document: &Value) -> Vec<(&str, &'static str)> {
    let kind = |value: &Value| match value {
        Value::Null => "null",
        Value::Bool(_) => "bool",
        Value::Number(_) => "number",
        Value::String(_) => "string",
        Value::Array(_) => "array",
        Value::Object(_) => "object",
    };
    let object = document.as_object().expect("an object");
    let mut fields: Vec<_> = object.iter().map(|(name, value)| (name.as_str(), kind(value))).collect();
    fields.sort_unstable();
    fields
}

/// Addresses that no other test file asks for ports at.
fn operators_address() -> SocketAddr {
    TcpListener::bind("127.0.0.3:0").and_then(|listener| listener.local_addr()).expect("a port")
}

fn peer_address() -> SocketAddr {
    UdpSocket::bind("127.0.0.3:0").and_then(|socket| socket.local_addr()).expect("a port")
}

fn documents(sidecar: &Sidecar, command: &str) -> Vec<Value> {
    let mut process = Command::new(env!("CARGO_BIN_EXE_ivygate"));
    let output = process.args([command, "--format", "json"]).arg(&sidecar.config).output().expect("it runs");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let text = String::from_utf8(output.stdout).expect("text");
    text.lines().map(|line| serde_json::from_str(line).expect("JSON")).collect()
}

#[test]
fn zones_and_members_are_told_with_the_same_fields() {
    let (north, south) = (AppServer::start(|_| Reply::ok("n")), AppServer::start(|_| Reply::ok("s")));
    let servers = [(north.address, "north"), (south.address, "south")];
    let key = scratch("a key that both of them know");
    let (a, b) = (peer_address(), peer_address());
    let text = |own: SocketAddr, operator: String| {
        let group = format!("group {{ listen {own}; key {}; peers {a} {b}; }}\n", key.display());
        Sidecar::text("", &[operator, group, pool("app", "domains;", &servers), route("app", "read")])
    };
    let first = Sidecar::start(&text(a, format!("operator {};\n", operators_address())));
    let _second = Sidecar::start(&text(b, String::new()));
    wait_until("the other one is heard", || documents(&first, "members").len() == 2);

    let members = documents(&first, "members");
    assert_eq!(fields(&members[0]), MEMBER_FIELDS);
    assert_eq!(members[0]["member"].as_str().expect("a name").len(), 16);
    assert_eq!(fields(&members[1]), GOSSIP_FIELDS);
    assert_eq!(fields(&members[1]["dropped"]), DROPPED_FIELDS);
    assert_eq!(members[1]["peers"], 2);

    let zones = documents(&first, "domains");
    let told: Vec<_> = zones.iter().map(|zone| (zone["pool"].as_str(), zone["zone"].as_str())).collect();
    assert_eq!(told, [(Some("app"), Some("north")), (Some("app"), Some("south"))]);
    for zone in &zones {
        assert_eq!(fields(zone), DOMAIN_FIELDS);
        assert_eq!((zone["degree"].as_str(), zone["servers"].as_u64()), (Some("well"), Some(1)));
    }
}
