//! End-to-end tests of HTTP requests and responses that pass through the sidecar.

mod support;

use std::io::{BufRead, Read, Write};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use support::*;

const NORTH: &str = "north";

/// Starts an application behind a sidecar, reached under `/app` with any method.
fn start_with_app(reply: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> (AppServer, Sidecar) {
    let app = AppServer::start(reply);
    let parts = [pool("app", "", &[(app.address, NORTH)]), any_route("app")];
    let sidecar = Sidecar::with(&parts);
    (app, sidecar)
}

/// Returns a route for any method whose requests are never retried.
fn any_route(pool: &str) -> String {
    format!("route {pool} {{ path prefix /{pool}; class order; pool {pool}; }}\n")
}

fn last(app: &AppServer) -> Message {
    app.requests.lock().expect("no panic").last().expect("a request").clone()
}

#[test]
fn method_path_query_and_body_are_forwarded_unchanged() {
    let (app, sidecar) = start_with_app(|_| Reply::ok("x"));
    for method in ["GET", "PUT", "PATCH", "DELETE", "OPTIONS", "PROPFIND", "X-OWN"] {
        let request = format!("{method} /app/a%2Fb;c=1?q=%20&q=//.. HTTP/1.1\r\nHost: h\r\nX-Mine: 1\r\nContent-Length: 3\r\n\r\nabc");
        assert_eq!(sidecar.ask(&request).status(), 200, "{method}");
        let received = last(&app);
        assert_eq!(received.start, format!("{method} /app/a%2Fb;c=1?q=%20&q=//.. HTTP/1.1"));
        assert_eq!((received.body.as_slice(), received.header("x-mine")), (&b"abc"[..], Some("1")));
    }
}

#[test]
fn application_receives_the_normalized_path_that_was_matched() {
    let (app, sidecar) = start_with_app(|_| Reply::ok("x"));
    for (path, expected_target) in [
        ("/app//a", "/app/a"),
        ("/x/../app/%61", "/app/a"),
        ("/%61pp/./a", "/app/a"),
        ("http://H:80/app?x", "/app?x"),
    ] {
        let answer = sidecar.ask(&format!("GET {path} HTTP/1.1\r\nHost: h\r\n\r\n"));
        assert_eq!(answer.status(), 200, "{path}");
        assert_eq!(last(&app).start, format!("GET {expected_target} HTTP/1.1"), "{path}");
    }
    let before = app.request_count();
    for path in [
        "/app/..%2Fx",
        "/app/..;/x",
        "/app/%zz",
        "/app/%00",
        "/../app",
        "/app\\x",
        "http://other/app",
        "*",
        "/app/%2e%2e/%2e%2e/x",
    ] {
        assert_eq!(sidecar.ask(&format!("GET {path} HTTP/1.1\r\nHost: h\r\n\r\n")).status(), 400, "{path}");
    }
    // The normalized path leaves the prefix, so that no route matches.
    assert_eq!(sidecar.get("/app/../secret").status(), 404);
    assert_eq!(app.request_count(), before);
}

#[test]
fn missing_or_repeated_host_is_rejected() {
    let (app, sidecar) = start_with_app(|_| Reply::ok("x"));
    for head in ["Host: h\r\nHost: h\r\n", "", "Host: a b\r\n", "Host: h/x\r\n"] {
        assert_eq!(sidecar.ask(&format!("GET /app HTTP/1.1\r\n{head}\r\n")).status(), 400, "{head:?}");
    }
    assert_eq!(app.request_count(), 0);
}

#[test]
fn status_and_body_of_the_application_are_relayed() {
    for status in
        ["201 Created", "301 Moved", "404 Not Found", "418 Teapot", "429 Slow", "500 Broken", "503 Busy"]
    {
        let (app, sidecar) = start_with_app(move |_| {
            Reply::Answer(status, "X-App: 1\r\nRetry-After: 7\r\n", b"words".to_vec())
        });
        let answer = sidecar.post("/app", "", "x");
        assert_eq!(format!("{}", answer.status()), status[..3]);
        assert_eq!((answer.body.as_slice(), answer.header("x-app")), (&b"words"[..], Some("1")));
        assert_eq!((answer.header("retry-after"), app.request_count()), (Some("7"), 1));
    }
}

#[test]
fn responses_without_a_body_keep_their_headers() {
    let (_app, sidecar) = start_with_app(|request| match request.start.split(' ').next() {
        Some("HEAD") => Reply::Raw(b"HTTP/1.1 200 OK\r\nContent-Length: 1234\r\nX: 1\r\n\r\n".to_vec()),
        Some("PUT") => Reply::Raw(b"HTTP/1.1 204 No Content\r\n\r\n".to_vec()),
        _ => Reply::Raw(b"HTTP/1.1 304 Not Modified\r\nETag: \"e\"\r\n\r\n".to_vec()),
    });
    let mut client = sidecar.client();
    // All on one connection, so that a framing error would affect the next response.
    for _ in 0..3 {
        client.write(b"HEAD /app HTTP/1.1\r\nHost: h\r\n\r\n");
        let head = read_head(&mut client.stream).expect("a head");
        assert_eq!((head.status(), head.header("content-length")), (200, Some("1234")));
        client.write(b"PUT /app HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx");
        assert_eq!(read_head(&mut client.stream).expect("a head").status(), 204);
        client.write(b"GET /app HTTP/1.1\r\nHost: h\r\n\r\n");
        let head = read_head(&mut client.stream).expect("a head");
        assert_eq!((head.status(), head.header("etag")), (304, Some("\"e\"")));
    }
}

#[test]
fn chunked_bodies_and_trailers_are_relayed_in_both_directions() {
    let (app, sidecar) = start_with_app(|_| {
        let answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n\
                      3\r\nabc\r\n2\r\nde\r\n0\r\nX-Sum: 5\r\n\r\n";
        Reply::Raw(answer.as_bytes().to_vec())
    });
    let answer = sidecar.ask(
        "POST /app HTTP/1.1\r\nHost: h\r\nTE: trailers\r\nTrailer: X-Mine\r\nTransfer-Encoding: chunked\r\n\r\n\
         4;ext=1\r\nwiki\r\n5\r\npedia\r\n0\r\nX-Mine: 9\r\n\r\n",
    );
    assert_eq!((answer.status(), answer.body.as_slice()), (200, &b"abcde"[..]));
    assert_eq!(answer.header("x-sum"), Some("5"));
    let received = last(&app);
    assert_eq!((received.body.as_slice(), received.header("x-mine")), (&b"wikipedia"[..], Some("9")));
}

#[test]
fn response_that_ends_with_its_connection_is_complete() {
    let (_app, sidecar) = start_with_app(|_| Reply::Bytes(b"HTTP/1.0 200 OK\r\n\r\nold words"));
    assert_eq!(sidecar.get("/app").body, b"old words");
}

#[test]
fn expect_continue_is_answered_before_the_body() {
    let (app, sidecar) = start_with_app(|_| Reply::ok("x"));
    let mut client = sidecar.client();
    client.write(b"POST /app HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n");
    assert_eq!(read_head(&mut client.stream).expect("an interim answer").status(), 100);
    client.write(b"body");
    assert_eq!(client.read().expect("an answer").status(), 200);
    assert_eq!((last(&app).body.as_slice(), last(&app).header("expect")), (&b"body"[..], None));
}

#[test]
fn interim_response_of_the_application_is_skipped() {
    let (_app, sidecar) = start_with_app(|_| {
        Reply::Raw(
            b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\ny"
                .to_vec(),
        )
    });
    let answer = sidecar.get("/app");
    assert_eq!((answer.status(), answer.body.as_slice()), (200, &b"y"[..]));
}

#[test]
fn hop_by_hop_headers_are_not_forwarded() {
    let (app, sidecar) = start_with_app(|_| {
        Reply::Answer(
            "200 OK",
            "Connection: x-app\r\nX-App: 1\r\nKeep-Alive: 1\r\nX-Kept: 1\r\n",
            b"x".to_vec(),
        )
    });
    let answer = sidecar.ask(
        "GET /app HTTP/1.1\r\nHost: Tiles.example.org:81\r\nConnection: X-Mine, keep-alive\r\nX-Mine: 1\r\nX-Kept: 1\r\n\
         X-Forwarded-For: 6.6.6.6\r\nX-Forwarded-Proto: https\r\nForwarded: for=6.6.6.6\r\n\r\n",
    );
    assert_eq!((answer.header("x-app"), answer.header("x-kept")), (None, Some("1")));
    let received = last(&app);
    assert_eq!((received.header("x-mine"), received.header("x-kept")), (None, Some("1")));
    assert_eq!(received.header("host"), Some("Tiles.example.org:81"));
    // This peer is not trusted.
    assert_eq!((received.header("x-forwarded-for"), received.header("forwarded")), (Some("127.0.0.1"), None));
    assert_eq!(
        (received.header("x-forwarded-proto"), received.header("x-forwarded-host")),
        (Some("http"), Some("tiles.example.org"))
    );
    assert!(received.header("req-id").is_some_and(|id| id.len() > 16));
}

#[test]
fn upgrade_and_connect_are_rejected() {
    let (app, sidecar) = start_with_app(|_| Reply::ok("x"));
    let upgrade = "GET /app HTTP/1.1\r\nHost: h\r\nConnection: upgrade\r\nUpgrade: websocket\r\n\r\n";
    assert_eq!(sidecar.ask(upgrade).status(), 501);
    assert_eq!(sidecar.ask("CONNECT h:80 HTTP/1.1\r\nHost: h:80\r\n\r\n").status(), 501);
    assert_eq!(app.request_count(), 0);
}

#[test]
fn ambiguous_requests_are_rejected_and_close_the_connection() {
    let (app, sidecar) = start_with_app(|_| Reply::ok("x"));
    let hidden = "GET /app/hidden HTTP/1.1\r\nHost: h\r\n\r\n";
    for (name, head, body) in [
        ("CL+TE", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"),
        ("TE+CL", "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n", "0\r\n\r\n"),
        ("two CL", "Content-Length: 0\r\nContent-Length: 44\r\n", ""),
        ("equal CL", "Content-Length: 0\r\nContent-Length: 0\r\n", ""),
        ("list CL", "Content-Length: 0, 0\r\n", ""),
        ("signed CL", "Content-Length: +0\r\n", ""),
        ("obs-fold", "X: a\r\n Content-Length: 44\r\n", ""),
        ("bare LF", "X: a\nContent-Length: 44\r\n", ""),
        ("bare CR", "X: a\rContent-Length: 44\r\n", ""),
        ("space", "Content-Length : 0\r\n", ""),
        ("TE list", "Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n"),
        ("two TE", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"),
        ("TE trick", "Transfer-Encoding: \x0bchunked\r\n", "0\r\n\r\n"),
    ] {
        let mut client = sidecar.client();
        client.write(format!("POST /app HTTP/1.1\r\nHost: h\r\n{head}\r\n{body}{hidden}").as_bytes());
        let answer = client.read().unwrap_or_else(|| panic!("{name}: no answer"));
        assert_eq!(answer.status(), 400, "{name}");
        assert!(client.read().is_none(), "{name}: a second answer");
    }
    for body in [
        "0x3\r\nabc\r\n0\r\n\r\n",
        "3\nabc\r\n0\r\n\r\n",
        "3;a\nb\r\nabc\r\n0\r\n\r\n",
        "3\r\nabcd\r\n0\r\n\r\n",
        "-1\r\n",
    ] {
        let mut client = sidecar.client();
        client.write(
            format!("POST /app HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n{body}{hidden}")
                .as_bytes(),
        );
        assert_eq!(client.read().map(|answer| answer.status()), Some(400), "{body:?}");
        assert!(client.read().is_none(), "{body:?}: a second answer");
    }
    assert_eq!(app.request_count(), 0);
    assert_eq!(sidecar.post("/app", "", "x").status(), 200);
}

#[test]
fn oversized_request_head_is_rejected() {
    let (app, sidecar) = start_with_app(|_| Reply::ok("x"));
    let good = format!("GET /app HTTP/1.1\r\nHost: h\r\nX: {}\r\n\r\n", "x".repeat(15_000));
    assert_eq!(sidecar.ask(&good).status(), 200);
    for header in [
        "X: y\r\n".repeat(4_000),
        format!("X: {}", "x".repeat(40_000)),
        format!("X: {}\r\n\r\n", "x".repeat(17_000)),
    ] {
        let mut client = sidecar.client();
        client.write(format!("GET /app HTTP/1.1\r\nHost: h\r\n{header}").as_bytes());
        let status = client.read().map(|answer| answer.status());
        assert!(matches!(status, Some(400 | 431)), "{status:?}");
    }
    assert_eq!(app.request_count(), 1);
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    let (_app, sidecar) = start_with_app(|request| Reply::ok(request.start.split(' ').nth(1).unwrap_or("")));
    let mut client = sidecar.client();
    let mut all = String::new();
    for number in 0..20 {
        all += &match number % 3 {
            0 => format!("GET /app/{number} HTTP/1.1\r\nHost: h\r\n\r\n"),
            1 => format!("POST /app/{number} HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"),
            _ => format!("POST /app/{number} HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"),
        };
    }
    client.write(all.as_bytes());
    for number in 0..20 {
        assert_eq!(client.read().expect("an answer").body, format!("/app/{number}").as_bytes());
    }
}

/// Returns bytes that depend on their position.
fn pattern(length: usize) -> Vec<u8> {
    (0..length as u32).map(|n| (n.wrapping_mul(2_654_435_761) >> 24) as u8).collect()
}

#[test]
fn large_bodies_are_streamed_in_both_directions_in_bounded_memory() {
    const LARGE: usize = 48 << 20;
    // Echoes the body while receiving it.
    let echo = ScriptedServer::start(|stream, _| {
        let Some(head) = read_head(stream) else { return };
        let length: usize = head.header("content-length").and_then(|l| l.parse().ok()).expect("a length");
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
        if stream.get_mut().write_all(answer.as_bytes()).is_err() {
            return;
        }
        let mut left = length;
        let mut piece = vec![0; 64 << 10];
        while left > 0 {
            let Ok(read @ 1..) = stream.read(&mut piece) else { return };
            if stream.get_mut().write_all(&piece[..read]).is_err() {
                return;
            }
            left -= read;
        }
    });
    let sidecar = Sidecar::with(&[pool("app", "", &[(echo.address, NORTH)]), any_route("app")]);
    sidecar.get("/none");
    let before = sidecar.memory();
    let mut client = sidecar.client();
    let mut writing = client.stream.get_ref().try_clone().expect("a second handle");
    let sent = Arc::new(pattern(LARGE));
    let body = sent.clone();
    let writer = std::thread::spawn(move || {
        let head = format!("PUT /app HTTP/1.1\r\nHost: h\r\nContent-Length: {LARGE}\r\n\r\n");
        writing
            .write_all(head.as_bytes())
            .and_then(|()| writing.write_all(&body))
            .expect("the request is written");
    });
    let mut peak = before;
    let head = read_head(&mut client.stream).expect("a head");
    assert_eq!(head.status(), 200);
    let (mut read, mut piece) = (0, vec![0; 1 << 20]);
    while read < LARGE {
        let received = client.stream.read(&mut piece).expect("the body");
        assert!(received > 0 && sent[read..read + received] == piece[..received], "other bytes from {read}");
        read += received;
        peak = peak.max(sidecar.memory());
    }
    writer.join().expect("the writer");
    assert!(peak < before + 8 * 1024, "memory grew from {before} to {peak} KB");
}

#[test]
fn client_that_stops_reading_is_disconnected_and_delays_no_other() {
    let app = AppServer::start(|request| {
        Reply::Answer(
            "200 OK",
            "",
            if request.start.contains("large") { vec![7; 32 << 20] } else { b"x".to_vec() },
        )
    });
    let config =
        Sidecar::text("read-stall 300ms;", &[pool("app", "", &[(app.address, NORTH)]), any_route("app")]);
    let sidecar = Sidecar::start(&config);
    let mut slow = sidecar.client();
    slow.write(b"GET /app/large HTTP/1.1\r\nHost: h\r\n\r\n");
    wait_until("the application receives the request", || app.request_count() == 1);
    assert_eq!(sidecar.get("/app/small").status(), 200);
    // The application's thread ends when its connection is closed during the response.
    wait_until("the connection to the application is closed", || {
        let open = app.open();
        open <= 1
    });
    assert_eq!(sidecar.get("/app/small").status(), 200);
    let mut rest = Vec::new();
    let complete = slow.stream.read_to_end(&mut rest).is_ok() && rest.len() > 32 << 20;
    assert!(!complete, "an aborted response looks complete");
}

#[test]
fn client_disconnect_closes_the_connection_to_the_application() {
    let app = ScriptedServer::start(|stream, _| {
        read_message(stream);
        let piece = [b'x'; 1 << 10];
        let head = b"HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n";
        if stream.get_mut().write_all(head).is_err() {
            return;
        }
        // Until the sidecar closes.
        while stream.get_mut().write_all(&piece).is_ok() {}
    });
    let sidecar = Sidecar::with(&[pool("app", "", &[(app.address, NORTH)]), any_route("app")]);
    let mut client = sidecar.client();
    client.write(b"GET /app HTTP/1.1\r\nHost: h\r\n\r\n");
    assert_eq!(read_head(&mut client.stream).expect("a head").status(), 200);
    client.stream.fill_buf().expect("some of the body");
    drop(client);
    wait_until("the application's connection has ended", || app.ended.load(Ordering::SeqCst) == 1);
}

#[test]
fn truncated_response_is_relayed_as_truncated_and_not_retried() {
    for end in ["close", "reset", "stall"] {
        let app = ScriptedServer::start(move |stream, _| {
            if read_message(stream).is_none() {
                return;
            }
            let _ = stream.get_mut().write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
            match end {
                "reset" => reset_on_close(stream.get_ref()),
                "stall" => drop(stream.read(&mut [0])),
                _ => {}
            }
        });
        let servers = [(app.address, NORTH)];
        let parts = [pool("app", "answer-stall 200ms;", &servers), route("app", "read")];
        let sidecar = Sidecar::with(&parts);
        let mut client = sidecar.client();
        client.write(b"GET /app HTTP/1.1\r\nHost: h\r\n\r\n");
        assert!(client.read().is_none(), "{end}: it looks complete");
        assert_eq!(app.accepted(), 1, "{end}");
    }
}

#[test]
fn truncated_request_body_never_reaches_the_application_as_complete() {
    let complete = Arc::new(AtomicUsize::new(0));
    let counted = complete.clone();
    let app = ScriptedServer::start(move |stream, _| {
        while read_message(stream).is_some() {
            counted.fetch_add(1, Ordering::SeqCst);
            let _ = stream.get_mut().write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx");
        }
    });
    let parts = [pool("app", "repeat-limit 1KiB;", &[(app.address, NORTH)]), any_route("app")];
    let sidecar = Sidecar::with(&parts);
    let piece = format!("800\r\n{}\r\n", "x".repeat(0x800));
    for body in ["3\r\nab", "3\r\nabc\r\n", &piece, &(piece.clone() + &piece + "800\r\nabc")] {
        let mut client = sidecar.client();
        client.write(
            format!("POST /app HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n{body}").as_bytes(),
        );
        // Part of the body is being sent when the client disconnects.
        std::thread::sleep(std::time::Duration::from_millis(20));
        drop(client);
    }
    let mut client = sidecar.client();
    client.write(b"POST /app HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\nabc");
    drop(client);
    // The failures do not count against the server: it still receives complete requests.
    assert_eq!(sidecar.post("/app", "", "y").status(), 200);
    assert_eq!(complete.load(Ordering::SeqCst), 1);
}

#[test]
fn malformed_body_is_answered_400() {
    let (app, sidecar) = start_with_app(|_| Reply::ok("x"));
    let head = "POST /app HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    // Two bodies that are buffered, and one that is already streamed when the error occurs.
    let long = format!("40000\r\n{}\r\n", "x".repeat(0x40000));
    for before in ["", "3\r\nabc\r\n", long.as_str()] {
        for broken in
            ["-5\r\n", "0x5\r\nabcde\r\n", "3\nabc\r\n", "3\r\nabcXX\r\n0\r\n\r\n", "0\r\nT: v\n\r\n"]
        {
            let answer = sidecar.ask(&format!("{head}{before}{broken}"));
            let result = (answer.status(), answer.header("connection"));
            assert_eq!(result, (400, Some("close")), "{} {broken:?}", before.len());
        }
    }
    wait_until("all attempts have ended", || app.open.load(Ordering::SeqCst) == 0);
    assert!(app.requests.lock().expect("no panic").is_empty(), "a truncated request was treated as complete");
}

#[test]
fn client_cannot_remove_headers_by_naming_them_in_connection() {
    let (app, sidecar) = start_with_app(|_| Reply::ok("x"));
    let own = "Connection: X-Own, Host, Cookie, X-Forwarded-For\r\nX-Own: 1\r\nCookie: a=b\r\nX_Forwarded_For: 6.6.6.6\r\n";
    assert_eq!(sidecar.ask(&format!("GET /app HTTP/1.1\r\nHost: h\r\n{own}\r\n")).status(), 200);
    let received = last(&app);
    assert_eq!((received.header("host"), received.header("cookie")), (Some("h"), Some("a=b")));
    assert_eq!(
        (received.header("x-forwarded-for"), received.header("x_forwarded_for")),
        (Some("127.0.0.1"), None)
    );
    assert_eq!(received.header("x-own"), None);
}

#[test]
fn oversized_heads_and_unknown_expectations_have_specific_statuses() {
    let (app, sidecar) = start_with_app(|_| Reply::ok("x"));
    let long = format!("GET /app HTTP/1.1\r\nHost: h\r\nX: {}\r\n\r\n", "x".repeat(200_000));
    assert_eq!(sidecar.ask(&long).status(), 431);
    let expecting = "GET /app HTTP/1.1\r\nHost: h\r\nExpect: miracles\r\n\r\n";
    assert_eq!(sidecar.ask(expecting).status(), 417);
    assert_eq!(app.request_count(), 0);
}
