//! The sidecar's start, reload and end, over loopback sockets.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use support::*;

fn serving(name: &str, apps: &[&AppServer]) -> String {
    let servers: Vec<_> = apps.iter().map(|a| (a.address, "north")).collect();
    pool(name, "", &servers) + &format!("route {name} {{ path prefix /{name}; class order; pool {name}; }}\n")
}

#[test]
fn another_file_is_put_to_work_whole_and_a_bad_one_not_at_all() {
    let (a, b) = (AppServer::start(|_| Reply::ok("a")), AppServer::start(|_| Reply::ok("b")));
    let sidecar = Sidecar::with(&[serving("app", &[&a])]);
    assert_eq!(sidecar.get("/app").body, b"a");
    assert!(sidecar.reload(&Sidecar::text("", &[serving("app", &[&b]), serving("new", &[&a])])));
    assert_eq!((sidecar.get("/app").body, sidecar.get("/new").body), (b"b".to_vec(), b"a".to_vec()));
    for bad in
        ["", "listen 127.0.0.1:0 { }", "nonsense {", &Sidecar::text("idle 30;", &[serving("app", &[&a])])]
    {
        assert!(!sidecar.reload(bad), "{bad}");
        assert_eq!((sidecar.get("/app").body, sidecar.get("/new").body), (b"b".to_vec(), b"a".to_vec()));
    }
    // What was wrong is told with its place.
    assert!(
        sidecar.said().contains("`30` is not a time with its unit") && sidecar.said().contains(":1:"),
        "{}",
        sidecar.said()
    );
    assert!(sidecar.reload(&Sidecar::text("", &[serving("app", &[&a])])));
    assert_eq!((sidecar.get("/app").body, sidecar.get("/new").status()), (b"a".to_vec(), 404));
}

#[test]
fn a_file_may_name_the_port_that_the_system_chose() {
    let a = AppServer::start(|_| Reply::ok("a"));
    let sidecar = Sidecar::with(&[serving("app", &[&a])]);
    let text = Sidecar::text("", &[serving("new", &[&a])]);
    assert!(sidecar.reload(&text.replace("127.0.0.1:0", &sidecar.address.to_string())), "{}", sidecar.said());
    assert_eq!((sidecar.get("/app").status(), sidecar.get("/new").body), (404, b"a".to_vec()));
    assert!(sidecar.reload(&text), "{}", sidecar.said());
    assert_eq!(sidecar.get("/new").body, b"a");
}

#[test]
fn requests_in_flight_end_under_the_file_they_began_with() {
    let go = Arc::new(AtomicBool::new(false));
    let a = AppServer::start({
        let go = go.clone();
        move |_| {
            wait_until("the test says go", || go.load(Ordering::SeqCst));
            Reply::ok("a")
        }
    });
    let b = AppServer::start(|_| Reply::ok("b"));
    let sidecar = Sidecar::with(&[serving("app", &[&a])]);
    let mut client = sidecar.client();
    client.write(b"POST /app HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
    wait_until("the application is asked", || a.request_count() == 1);
    // Its server, its pool and its route go.
    assert!(sidecar.reload(&Sidecar::text("", &[serving("other", &[&b])])));
    assert_eq!(sidecar.get("/app").status(), 404);
    go.store(true, Ordering::SeqCst);
    assert_eq!(client.read().expect("an answer").body, b"a");
}

#[test]
fn an_unchanged_pool_keeps_quotas_and_connections_and_a_changed_one_does_not() {
    let app = AppServer::start(|_| Reply::ok("x"));
    let plans = "plan narrow { quota 1/h; burst 3; }\nidentity { customer name all; default-plan narrow; }\n"
        .to_owned();
    let text = |extra: &str, more: &str| {
        let pools = [plans.clone(), serving("app", &[&app]).replace("requests 64;", extra)];
        Sidecar::text("", &pools) + more
    };
    let sidecar = Sidecar::start(&text("requests 64;", ""));
    let passed = || (0..4).filter(|_| sidecar.get("/app").status() == 200).count();
    assert_eq!(passed(), 3);
    let connections = app.accepted.load(Ordering::SeqCst);
    let other = AppServer::start(|_| Reply::ok("y"));
    // Lines move, comments come, another pool and a server are added: this pool has not changed.
    let added = serving("other", &[&other]);
    let more = text("requests 64;", &added).replace("    server s0", "# moved\n\n    server s0");
    assert!(sidecar.reload(&more));
    assert_eq!((passed(), app.accepted.load(Ordering::SeqCst)), (0, connections));
    assert!(sidecar.reload(&text("requests 63;", "")));
    assert_eq!(passed(), 3);
}

#[test]
fn a_server_that_is_drained_between_the_choice_and_the_first_byte_gets_nothing() {
    // Its queue is full, so that a connection to it does not come up until it accepts.
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
    // Long enough for the attempt to be under way; the verdict does not rest on it.
    std::thread::sleep(Duration::from_millis(100));
    let drained = both.replace("{ zone north; }", "{ zone north; state draining; }");
    let with = drained.replace(
        "    server s0",
        &format!("    server good {} {{ zone north; }}\n    server s0", good.address),
    );
    assert!(sidecar.reload(&Sidecar::text("", &[with, routed.to_owned()])));
    drop(filling);
    listener.set_nonblocking(true).expect("it can be");
    let mut came: Vec<std::net::TcpStream> = Vec::new();
    client.stream.get_ref().set_nonblocking(true).expect("it can be");
    let mut answer = None;
    wait_until("the order is answered", || {
        if let Ok((stream, _)) = listener.accept() {
            came.push(stream);
        }
        let mut peeked = [0; 1];
        if client.stream.get_ref().peek(&mut peeked).is_ok_and(|n| n > 0) {
            client.stream.get_ref().set_nonblocking(false).expect("it can be");
            answer = client.read();
        }
        answer.is_some()
    });
    assert_eq!(answer.expect("an answer").body, b"good");
    for stream in came {
        stream.set_nonblocking(true).expect("it can be");
        let mut byte = [0; 1];
        assert!(!stream.peek(&mut byte).is_ok_and(|n| n > 0), "a byte went to a draining server");
    }
}

#[test]
fn a_hundred_reloads_under_load_lose_nothing_and_send_nothing_to_what_is_gone() {
    let (a, b) = (AppServer::start(|_| Reply::ok("a")), AppServer::start(|_| Reply::ok("b")));
    let texts = [
        Sidecar::text("", &[serving("app", &[&a])]),
        Sidecar::text("", &[serving("app", &[&b])]),
        // A change of the pool itself, so that it begins anew.
        Sidecar::text("", &[serving("app", &[&a, &b]).replace("requests 64;", "requests 60;")]),
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
                        sidecar.said()
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
        if let Some((gone, left)) = only {
            // Open requests end; then nothing comes any more to the one that is gone.
            let now = answered.load(Ordering::SeqCst);
            wait_until("requests that were open have ended", || answered.load(Ordering::SeqCst) > now + 8);
            let (before, other) = (gone.request_count(), left.request_count());
            wait_until("others have come", || left.request_count() > other + 4);
            assert_eq!(gone.request_count(), before, "reload {number}");
        }
    }
    stop.store(true, Ordering::SeqCst);
    load.into_iter().for_each(|l| l.join().expect("no request is lost"));
    assert_eq!(a.request_count() + b.request_count(), answered.load(Ordering::SeqCst));
}

#[test]
fn listeners_come_and_go_with_the_file() {
    let app = AppServer::start(|_| Reply::ok("x"));
    let sidecar = Sidecar::with(&[serving("app", &[&app])]);
    let free = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port");
    let second = |address: SocketAddr| format!("listen {address} {{ connections 200; }}\n");
    let text = Sidecar::text("", &[serving("app", &[&app])]);
    assert!(sidecar.reload(&(second(free) + &text)));
    let get = |address: SocketAddr| {
        let stream = std::net::TcpStream::connect(address).ok()?;
        let mut client = Client { stream: std::io::BufReader::new(stream) };
        client.write(b"GET /app HTTP/1.1\r\nHost: h\r\n\r\n");
        client.read().map(|answer| answer.status())
    };
    assert_eq!((get(free), get(sidecar.address)), (Some(200), Some(200)));
    // An address that is taken changes nothing.
    let taken = TcpListener::bind("127.0.0.1:0").expect("a port");
    assert!(!sidecar.reload(&(second(taken.local_addr().expect("an address")) + &text)));
    assert_eq!((get(free), get(sidecar.address)), (Some(200), Some(200)));
    assert!(sidecar.reload(&text));
    wait_until("the second listener is gone", || std::net::TcpStream::connect(free).is_err());
    assert_eq!(get(sidecar.address), Some(200));
}

#[test]
fn the_signal_to_end_finishes_what_has_been_taken() {
    let go = Arc::new(AtomicBool::new(false));
    let app = AppServer::start({
        let go = go.clone();
        move |_| {
            wait_until("the test says go", || go.load(Ordering::SeqCst));
            Reply::ok("x")
        }
    });
    let mut sidecar = Sidecar::with(&[serving("app", &[&app])]);
    let mut client = sidecar.client();
    client.write(b"POST /app HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
    wait_until("the application is asked", || app.request_count() == 1);
    sidecar.terminate();
    go.store(true, Ordering::SeqCst);
    let answer = client.read().expect("an answer");
    assert_eq!((answer.status(), answer.body.as_slice()), (200, &b"x"[..]));
    assert_eq!(sidecar.exit_code(), Some(0));
}

#[test]
fn a_stream_that_does_not_end_holds_up_the_end_for_the_drain_only() {
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
    // The last chunk is missing, so that the client can tell.
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
fn mistakes_in_a_file_or_on_the_command_line_exit_with_2_and_faults_with_1() {
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
    let taken = TcpListener::bind("127.0.0.1:0").expect("a port");
    let app = AppServer::start(|_| Reply::ok("x"));
    let address = taken.local_addr().expect("an address").to_string();
    let good = scratch(&Sidecar::text("", &[serving("app", &[&app])]).replace("127.0.0.1:0", &address));
    let (code, _, error) = run(&["serve", &good.display().to_string()]);
    assert_eq!(code, Some(1), "{error}");
    assert!(error.contains("cannot listen on"), "{error}");
    for file in [bad, good] {
        let _ = std::fs::remove_file(file);
    }
}

#[test]
fn the_examples_under_deploy_are_good_ones() {
    for file in [
        concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/sidecar.conf"),
        concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/sign-in.conf"),
    ] {
        let (code, said, error) = run(&["check", file]);
        assert_eq!((code, error.as_str()), (Some(0), ""), "{said}");
    }
}

#[test]
fn the_routes_of_a_file_are_told_with_their_reasons() {
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
    let (code, told, _) = run(&["routes", &name]);
    assert_eq!(code, Some(0));
    assert!(told.contains("one (") && told.contains("before tiles ("), "{told}");
    let (code, told, _) = run(&["routes", &name, "GET", "http://Tiles.example.org/x/../tiles/%31"]);
    assert!(code == Some(0) && told.contains("one: host tiles.example.org, exact /tiles/1"), "{told}");
    let (code, told, _) = run(&["routes", &name, "DELETE", "/tiles/1"]);
    assert!(code == Some(1) && told.contains("405"), "{told}");
    let _ = std::fs::remove_file(file);
}
