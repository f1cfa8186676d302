//! `ivygate demo`: three example applications and a sidecar in one process.

use ivygate_sidecar::StartError;
use ivygate_test_servers::{AppServer, Message, Reply};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Configuration template with placeholders for addresses.
const CONFIG: &str = include_str!("demo.conf");

/// Starts the applications, writes the configuration, and serves until a signal ends the process.
pub fn run(write: &Path) -> Result<(), StartError> {
    let mut text = CONFIG.replace("LISTEN", &free_address().to_string());
    for (placeholder, app) in [
        ("TILES-A", AppServer::start(tiles)),
        ("TILES-B", AppServer::start(tiles)),
        ("EDITS-A", AppServer::start(flaky_edits())),
        ("EDITS-B", AppServer::start(edits)),
        ("ORDERS", AppServer::start(orders)),
    ] {
        text = text.replace(placeholder, &app.address.to_string());
    }
    let write_error = |error| StartError::Unwritable(write.display().to_string(), error);
    std::fs::write(write, &text).map_err(write_error)?;
    let listen = text.lines().find_map(|l| l.strip_prefix("listen ")).and_then(|l| l.split(' ').next());
    let base = format!("http://{}", listen.unwrap_or_default());
    println!("Three example applications and a sidecar run in this process until Ctrl-C.");
    println!("The sidecar's configuration is in {}.\n\nTry:", write.display());
    for (description, command) in [
        ("a tile, from either of two servers", "curl -i BASE/tiles/7/33/52.png"),
        ("a quota: 5 a second pass, the others get 429", "for n in $(seq 20); do curl -s -o /dev/null -w '%{http_code} ' -H 'X-Customer: trial' BASE/tiles/1; done; echo"),
        ("an edit whose first server closes the connection: retried, since it has a key", "curl -i -X POST -H 'Idempotency-Key: k1' -d x=1 BASE/trails/9/edits"),
        ("an order whose server closes the connection: never retried, 502", "curl -i -X POST -d fail=1 BASE/orders"),
        ("an order that succeeds", "curl -i -X POST -d n=1 BASE/orders"),
        ("an application's own 404, relayed unchanged", "curl -i BASE/tiles/none"),
        ("a path that no route matches", "curl -i BASE/elsewhere"),
        ("a method that no route matches on this path", "curl -i -X DELETE BASE/tiles/1"),
        ("the route that matches a request, and why", "ivygate routes FILE GET BASE/tiles/1"),
    ] {
        let command = command.replace("BASE", &base).replace("FILE", &write.display().to_string());
        println!("  # {description}\n  {command}");
    }
    println!();
    ivygate_sidecar::run(write, || {})
}

/// Returns a loopback address with a free port.
fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0");
    listener.and_then(|l| l.local_addr()).unwrap_or_else(|_| SocketAddr::from(([127, 0, 0, 1], 8080)))
}

fn tiles(request: &Message) -> Reply {
    let path = request.start.split(' ').nth(1).unwrap_or("");
    if path.ends_with("/none") {
        return Reply::Answer("404 Not Found", "", b"no such tile\n".to_vec());
    }
    Reply::ok(&format!("the tile {path}\n"))
}

fn edits(request: &Message) -> Reply {
    Reply::ok(&format!("edited, key {}\n", request.header("idempotency-key").unwrap_or("none")))
}

/// Closes the connection on the first request, and answers later ones.
fn flaky_edits() -> impl Fn(&Message) -> Reply + Send + Sync + 'static {
    let count = AtomicUsize::new(0);
    move |request| match count.fetch_add(1, Ordering::SeqCst) {
        0 => Reply::Close,
        _ => edits(request),
    }
}

fn orders(request: &Message) -> Reply {
    if request.body == b"fail=1" {
        Reply::Close
    } else {
        Reply::ok("ordered\n")
    }
}
