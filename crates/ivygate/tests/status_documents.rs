//! Guards the output format of the sidecar's status commands: one JSON object per line, with fixed fields and types.

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

fn field_types(document: &Value) -> Vec<(&str, &'static str)> {
    let type_name = |value: &Value| match value {
        Value::Null => "null",
        Value::Bool(_) => "bool",
        Value::Number(_) => "number",
        Value::String(_) => "string",
        Value::Array(_) => "array",
        Value::Object(_) => "object",
    };
    let object = document.as_object().expect("the document is an object");
    let mut fields: Vec<_> = object.iter().map(|(name, value)| (name.as_str(), type_name(value))).collect();
    fields.sort_unstable();
    fields
}

/// Returns a free port of an IP address that no other test file allocates ports on.
fn free_tcp_address() -> SocketAddr {
    TcpListener::bind("127.0.0.3:0").and_then(|listener| listener.local_addr()).expect("a free port")
}

fn free_udp_address() -> SocketAddr {
    UdpSocket::bind("127.0.0.3:0").and_then(|socket| socket.local_addr()).expect("a free port")
}

fn status_documents(sidecar: &Sidecar, command: &str) -> Vec<Value> {
    let mut process = Command::new(env!("CARGO_BIN_EXE_ivygate"));
    let output = process
        .args([command, "--format", "json"])
        .arg(&sidecar.config)
        .output()
        .expect("the command starts");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let text = String::from_utf8(output.stdout).expect("the output is UTF-8");
    text.lines().map(|line| serde_json::from_str(line).expect("the line is JSON")).collect()
}

#[test]
fn domains_and_members_documents_have_fixed_fields() {
    let (north, south) = (AppServer::start(|_| Reply::ok("n")), AppServer::start(|_| Reply::ok("s")));
    let servers = [(north.address, "north"), (south.address, "south")];
    let key = scratch("a key that both of them know");
    let (first_address, second_address) = (free_udp_address(), free_udp_address());
    let config_text = |own: SocketAddr, operator: String| {
        let group = format!(
            "group {{ listen {own}; key {}; peers {first_address} {second_address}; }}\n",
            key.display()
        );
        Sidecar::text("", &[operator, group, pool("app", "domains;", &servers), route("app", "read")])
    };
    let first = Sidecar::start(&config_text(first_address, format!("operator {};\n", free_tcp_address())));
    let _second = Sidecar::start(&config_text(second_address, String::new()));
    wait_until("the first sidecar receives gossip from the second", || {
        status_documents(&first, "members").len() == 2
    });

    let members = status_documents(&first, "members");
    assert_eq!(field_types(&members[0]), MEMBER_FIELDS);
    assert_eq!(members[0]["member"].as_str().expect("the member name is a string").len(), 16);
    assert_eq!(field_types(&members[1]), GOSSIP_FIELDS);
    assert_eq!(field_types(&members[1]["dropped"]), DROPPED_FIELDS);
    assert_eq!(members[1]["peers"], 2);

    let zones = status_documents(&first, "domains");
    let pools_and_zones: Vec<_> =
        zones.iter().map(|zone| (zone["pool"].as_str(), zone["zone"].as_str())).collect();
    assert_eq!(pools_and_zones, [(Some("app"), Some("north")), (Some("app"), Some("south"))]);
    for zone in &zones {
        assert_eq!(field_types(zone), DOMAIN_FIELDS);
        assert_eq!((zone["degree"].as_str(), zone["servers"].as_u64()), (Some("well"), Some(1)));
    }
}
