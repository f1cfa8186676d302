//! End-to-end tests of the sidecar's start, reload and shutdown.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use support::*;

fn pool_and_route(name: &str, apps: &[&AppServer]) -> String {
    let servers: Vec<_> = apps.iter().map(|a| (a.address, "north")).collect();
    pool(name, "", &servers) + &format!("route {name} {{ path prefix /{name}; class order; pool {name}; }}\n")
}

#[test]
fn reload_applies_a_valid_file_completely_and_an_invalid_one_not_at_all() {
    let (a, b) = (AppServer::start(|_| Reply::ok("a")), AppServer::start(|_| Reply::ok("b")));
    let sidecar = Sidecar::with(&[pool_and_route("app", &[&a])]);
    assert_eq!(sidecar.get("/app").body, b"a");
    assert!(sidecar.reload(&Sidecar::text("", &[pool_and_route("app", &[&b]), pool_and_route("new", &[&a])])));
    assert_eq!((sidecar.get("/app").body, sidecar.get("/new").body), (b"b".to_vec(), b"a".to_vec()));
    for bad in [
        "",
        "listen 127.0.0.1:0 { }",
        "nonsense {",
        &Sidecar::text("idle 30;", &[pool_and_route("app", &[&a])]),
    ] {
        assert!(!sidecar.reload(bad), "{bad}");
        assert_eq!((sidecar.get("/app").body, sidecar.get("/new").body), (b"b".to_vec(), b"a".to_vec()));
    }
    // The error is logged with its location.
    assert!(
        sidecar.stderr_text().contains("`30` is not a time with its unit")
            && sidecar.stderr_text().contains(":1:"),
        "{}",
        sidecar.stderr_text()
    );
    assert!(sidecar.reload(&Sidecar::text("", &[pool_and_route("app", &[&a])])));
    assert_eq!((sidecar.get("/app").body, sidecar.get("/new").status()), (b"a".to_vec(), 404));
}

#[test]
fn reload_may_name_the_port_assigned_by_the_system() {
    let a = AppServer::start(|_| Reply::ok("a"));
    let sidecar = Sidecar::with(&[pool_and_route("app", &[&a])]);
    let text = Sidecar::text("", &[pool_and_route("new", &[&a])]);
    assert!(
        sidecar.reload(&text.replace("127.0.0.1:0", &sidecar.address.to_string())),
        "{}",
        sidecar.stderr_text()
    );
    assert_eq!((sidecar.get("/app").status(), sidecar.get("/new").body), (404, b"a".to_vec()));
    assert!(sidecar.reload(&text), "{}", sidecar.stderr_text());
    assert_eq!(sidecar.get("/new").body, b"a");
}

#[test]
fn open_requests_finish_under_their_initial_configuration() {
    let release = Arc::new(AtomicBool::new(false));
    let a = AppServer::start({
        let release = release.clone();
        move |_| {
            wait_until("the test releases the answer", || release.load(Ordering::SeqCst));
            Reply::ok("a")
        }
    });
    let b = AppServer::start(|_| Reply::ok("b"));
    let sidecar = Sidecar::with(&[pool_and_route("app", &[&a])]);
    let mut client = sidecar.client();
    client.write(b"POST /app HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
    wait_until("the application receives the request", || a.request_count() == 1);
    // The reload removes its server, pool and route.
    assert!(sidecar.reload(&Sidecar::text("", &[pool_and_route("other", &[&b])])));
    assert_eq!(sidecar.get("/app").status(), 404);
    release.store(true, Ordering::SeqCst);
    assert_eq!(client.read().expect("an answer").body, b"a");
}

#[test]
fn unchanged_pool_keeps_quotas_and_connections_and_a_changed_one_does_not() {
    let app = AppServer::start(|_| Reply::ok("x"));
    let plans = "plan narrow { quota 1/h; burst 3; }\nidentity { customer name all; default-plan narrow; }\n"
        .to_owned();
    let text = |extra: &str, more: &str| {
        let pools = [plans.clone(), pool_and_route("app", &[&app]).replace("requests 64;", extra)];
        Sidecar::text("", &pools) + more
    };
    let sidecar = Sidecar::start(&text("requests 64;", ""));
    let passed = || (0..4).filter(|_| sidecar.get("/app").status() == 200).count();
    assert_eq!(passed(), 3);
    let connections = app.accepted.load(Ordering::SeqCst);
    let other = AppServer::start(|_| Reply::ok("y"));
    // Moved lines, comments and additional pools do not count as a change of this pool.
    let added = pool_and_route("other", &[&other]);
    let more = text("requests 64;", &added).replace("    server s0", "# moved\n\n    server s0");
    assert!(sidecar.reload(&more));
    assert_eq!((passed(), app.accepted.load(Ordering::SeqCst)), (0, connections));
    assert!(sidecar.reload(&text("requests 63;", "")));
    assert_eq!(passed(), 3);
}

#[test]
fn server_drained_while_connecting_receives_nothing() {
    // The accept queue is full, so that further connections are established only when it accepts.
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    socket.bind(&any.into()).and_then(|()| socket.listen(0)).expect("a port");
    let listener: TcpListener = socket.into();
    let address = listener.local_addr().expect("an address");
    let filling: Vec<_> = (0..4)
        .filter_map(|_| std::net::TcpStream::connect_timeout(&address, Duration::from_millis(200)).ok())
        .collect();
    let good = AppServer::start(|_| Reply::ok("good"));
    let both = pool("app", "connect 6s;", &[(address, "north")]);
    let routed = "route app { path prefix /app; class order; pool app; }\n";
    let sidecar = Sidecar::with(&[both.clone(), routed.to_owned()]);
    let mut client = sidecar.client();
    client.write(b"POST /app HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\npaid");
    // Gives the attempt time to start connecting; the result does not depend on it.
    std::thread::sleep(Duration::from_millis(100));
    let drained = both.replace("{ zone north; }", "{ zone north; state draining; }");
    let with = drained.replace(
        "    server s0",
        &format!("    server good {} {{ zone north; }}\n    server s0", good.address),
    );
    assert!(sidecar.reload(&Sidecar::text("", &[with, routed.to_owned()])));
    drop(filling);
    listener.set_nonblocking(true).expect("the socket accepts the option");
    let mut accepted: Vec<std::net::TcpStream> = Vec::new();
    client.stream.get_ref().set_nonblocking(true).expect("the socket accepts the option");
    let mut answer = None;
    wait_until("the order is answered", || {
        if let Ok((stream, _)) = listener.accept() {
            accepted.push(stream);
        }
        let mut peeked = [0; 1];
        if client.stream.get_ref().peek(&mut peeked).is_ok_and(|n| n > 0) {
            client.stream.get_ref().set_nonblocking(false).expect("the socket accepts the option");
            answer = client.read();
        }
        answer.is_some()
    });
    assert_eq!(answer.expect("an answer").body, b"good");
    for stream in accepted {
        stream.set_nonblocking(true).expect("the socket accepts the option");
        let mut byte = [0; 1];
        assert!(!stream.peek(&mut byte).is_ok_and(|n| n > 0), "a byte went to a draining server");
    }
}

#[test]
fn reloads_under_load_lose_no_request_and_spare_removed_servers() {
    let (a, b) = (AppServer::start(|_| Reply::ok("a")), AppServer::start(|_| Reply::ok("b")));
    let texts = [
        Sidecar::text("", &[pool_and_route("app", &[&a])]),
        Sidecar::text("", &[pool_and_route("app", &[&b])]),
        // A change of the pool itself, so that it is restarted.
        Sidecar::text("", &[pool_and_route("app", &[&a, &b]).replace("requests 64;", "requests 60;")]),
    ];
    let sidecar = Arc::new(Sidecar::start(&texts[0]));
    let stop = Arc::new(AtomicBool::new(false));
    let answered = Arc::new(AtomicUsize::new(0));
    let load: Vec<_> = (0..4)
        .map(|_| {
            let (sidecar, stop, answered) = (sidecar.clone(), stop.clone(), answered.clone());
            std::thread::spawn(move || {
                let mut client = sidecar.client();
                while !stop.load(Ordering::SeqCst) {
                    let answer = client.ask("POST /app HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx");
                    assert_eq!(
                        answer.status(),
                        200,
                        "{} {}",
                        String::from_utf8_lossy(&answer.body),
                        sidecar.stderr_text()
                    );
                    answered.fetch_add(1, Ordering::SeqCst);
                }
            })
        })
        .collect();
    for number in 1..=100 {
        assert!(sidecar.reload(&texts[number % 3]));
        let only = match number % 3 {
            0 => Some((&b, &a)),
            1 => Some((&a, &b)),
            _ => None,
        };
        if let Some((removed, remaining)) = only {
            // Once open requests have finished, the removed server must not receive any more.
            let now = answered.load(Ordering::SeqCst);
            wait_until("requests that were open have ended", || answered.load(Ordering::SeqCst) > now + 8);
            let (before, other) = (removed.request_count(), remaining.request_count());
            wait_until("further requests have been served", || remaining.request_count() > other + 4);
            assert_eq!(removed.request_count(), before, "reload {number}");
        }
    }
    stop.store(true, Ordering::SeqCst);
    load.into_iter().for_each(|l| l.join().expect("no request is lost"));
    assert_eq!(a.request_count() + b.request_count(), answered.load(Ordering::SeqCst));
}

#[test]
fn listeners_are_opened_and_closed_on_reload() {
    let app = AppServer::start(|_| Reply::ok("x"));
    let sidecar = Sidecar::with(&[pool_and_route("app", &[&app])]);
    let free = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port");
    let second = |address: SocketAddr| format!("listen {address} {{ connections 200; }}\n");
    let text = Sidecar::text("", &[pool_and_route("app", &[&app])]);
    assert!(sidecar.reload(&(second(free) + &text)));
    let get = |address: SocketAddr| {
        let stream = std::net::TcpStream::connect(address).ok()?;
        let mut client = Client { stream: std::io::BufReader::new(stream) };
        client.write(b"GET /app HTTP/1.1\r\nHost: h\r\n\r\n");
        client.read().map(|answer| answer.status())
    };
    assert_eq!((get(free), get(sidecar.address)), (Some(200), Some(200)));
    // An address in use makes the reload fail without any change.
    let occupied = TcpListener::bind("127.0.0.1:0").expect("a port");
    assert!(!sidecar.reload(&(second(occupied.local_addr().expect("an address")) + &text)));
    assert_eq!((get(free), get(sidecar.address)), (Some(200), Some(200)));
    assert!(sidecar.reload(&text));
    wait_until("the second listener is closed", || std::net::TcpStream::connect(free).is_err());
    assert_eq!(get(sidecar.address), Some(200));
}

#[test]
fn sigterm_finishes_accepted_requests() {
    let release = Arc::new(AtomicBool::new(false));
    let app = AppServer::start({
        let release = release.clone();
        move |_| {
            wait_until("the test releases the answer", || release.load(Ordering::SeqCst));
            Reply::ok("x")
        }
    });
    let mut sidecar = Sidecar::with(&[pool_and_route("app", &[&app])]);
    let mut client = sidecar.client();
    client.write(b"POST /app HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
    wait_until("the application receives the request", || app.request_count() == 1);
    sidecar.terminate();
    release.store(true, Ordering::SeqCst);
    let answer = client.read().expect("an answer");
    assert_eq!((answer.status(), answer.body.as_slice()), (200, &b"x"[..]));
    assert_eq!(sidecar.exit_code(), Some(0));
}

#[test]
fn endless_stream_delays_shutdown_by_the_drain_timeout_only() {
    let app = ScriptedServer::start(|stream, _| {
        read_message(stream);
        let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let _ = stream.get_mut().write_all(head);
        while stream.get_mut().write_all(b"1\r\nx\r\n").is_ok() {
            std::thread::sleep(Duration::from_millis(5));
        }
    });
    let parts = [pool("app", "", &[(app.address, "north")]), route("app", "read")];
    let mut sidecar = Sidecar::start(&format!("limits {{ drain 1s; }}\n{}", Sidecar::text("", &parts)));
    let mut client = sidecar.client();
    client.write(b"GET /app HTTP/1.1\r\nHost: h\r\n\r\n");
    assert_eq!(read_head(&mut client.stream).expect("a head").status(), 200);
    sidecar.terminate();
    assert_eq!(sidecar.exit_code(), Some(0));
    let mut rest = Vec::new();
    // The final chunk is missing, so that the client can detect the abort.
    let _ = client.stream.read_to_end(&mut rest);
    assert!(!rest.ends_with(b"0\r\n\r\n"));
}

fn run(arguments: &[&str]) -> (Option<i32>, String, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_ivygate"))
        .args(arguments)
        .env_remove("RELAY_CONFIG")
        .output()
        .expect("it runs");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (output.status.code(), text(&output.stdout), text(&output.stderr))
}

#[test]
fn usage_and_configuration_errors_exit_with_2_and_runtime_errors_with_1() {
    let bad = scratch("listen 127.0.0.1:0 {\n    idle 30;\n}\n");
    let name = bad.display().to_string();
    for command in ["serve", "check", "routes"] {
        let (code, _, error) = run(&[command, &name]);
        assert_eq!(code, Some(2), "{command}");
        assert!(error.contains(&format!("{name}:2:10")) && error.contains("the unit is missing"), "{error}");
    }
    assert_eq!(run(&["serve", "/nowhere/at/all"]).0, Some(2));
    assert_eq!(run(&["serve"]).0, Some(2));
    assert_eq!(run(&["sing"]).0, Some(2));
    assert_eq!(run(&[]).0, Some(2));
    let occupied = TcpListener::bind("127.0.0.1:0").expect("a port");
    let app = AppServer::start(|_| Reply::ok("x"));
    let address = occupied.local_addr().expect("an address").to_string();
    let good =
        scratch(&Sidecar::text("", &[pool_and_route("app", &[&app])]).replace("127.0.0.1:0", &address));
    let (code, _, error) = run(&["serve", &good.display().to_string()]);
    assert_eq!(code, Some(1), "{error}");
    assert!(error.contains("cannot listen on"), "{error}");
    for file in [bad, good] {
        let _ = std::fs::remove_file(file);
    }
}

#[test]
fn example_configurations_are_valid() {
    for file in [
        concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/sidecar.conf"),
        concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/sign-in.conf"),
    ] {
        let (code, output, error) = run(&["check", file]);
        assert_eq!((code, error.as_str()), (Some(0), ""), "{output}");
    }
}

#[test]
fn routes_command_explains_the_matching_route() {
    let text = Sidecar::text(
        "",
        &["pool app { server a 127.0.0.1:9; }\n\
           route all { class read; pool app; }\n\
           route tiles { host tiles.example.org; path prefix /tiles; class read; pool app; }\n\
           route one { host tiles.example.org; path exact /tiles/1; class read; pool app; }\n"
            .to_owned()],
    );
    let file = scratch(&text);
    let name = file.display().to_string();
    let (code, output, _) = run(&["routes", &name]);
    assert_eq!(code, Some(0));
    assert!(output.contains("one (") && output.contains("before tiles ("), "{output}");
    let (code, output, _) = run(&["routes", &name, "GET", "http://Tiles.example.org/x/../tiles/%31"]);
    assert!(code == Some(0) && output.contains("one: host tiles.example.org, exact /tiles/1"), "{output}");
    let (code, output, _) = run(&["routes", &name, "DELETE", "/tiles/1"]);
    assert!(code == Some(1) && output.contains("405"), "{output}");
    let _ = std::fs::remove_file(file);
}
