//! App servers that send malformed, implausible or surplus responses.

mod support;

use std::sync::atomic::Ordering;
use std::sync::Mutex;
use support::*;

/// Returns a valid response whose body is the request's id.
fn id_response(request: &Message) -> Vec<u8> {
    let id = request.header("req-id").expect("an id").to_owned();
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{id}", id.len()).into_bytes()
}

/// Starts an app server that responds to request `r1` with these bytes, keeps the connection open, and
/// responds normally to all other requests.
fn app_with_first_response(bytes: Vec<u8>) -> AppServer {
    AppServer::start(move |request| match request.header("req-id") {
        Some("r1") => Reply::Raw(bytes.clone()),
        _ => Reply::Raw(id_response(request)),
    })
}

#[test]
fn malformed_response_fails_the_attempt_but_does_not_eject_the_server() {
    let ok = "HTTP/1.1 200 OK\r\n";
    let malformed = [
        "\u{1}\u{2}noise\r\n\r\n".to_owned(),
        "ICY 200 OK\r\nContent-Length: 1\r\n\r\nx".to_owned(),
        "HTTP/1.1 OK 200\r\nContent-Length: 1\r\n\r\nx".to_owned(),
        "HTTP/1.1 2x0 OK\r\nContent-Length: 1\r\n\r\nx".to_owned(),
        format!("{ok}Content-Length: 1\r\nContent-Length: 2\r\n\r\nxy"),
        format!("{ok}Content-Length: -1\r\n\r\nx"),
        format!("{ok}Content-Length: 3000000000\r\n\r\n{}", "x".repeat(200_000)),
        format!("{ok}Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"),
        format!("{ok}Transfer-Encoding: gzip, chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"),
        format!("{ok}Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\nabcde\r\n0\r\n\r\n"),
        format!("{ok}Transfer-Encoding: chunked\r\n\r\n20000\r\n{}", "x".repeat(0x20000)),
        format!("{ok}{}", "X-Pad: pppppppppppppppppppppppp\r\n".repeat(8_000)),
        format!("{ok}X-Pad: {}", "p".repeat(200_000)),
        "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n".to_owned(),
        "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n".to_owned(),
    ];
    for response in malformed {
        let start = response.get(..60).unwrap_or(&response).to_owned();
        let closes = !start.contains(" 400 ");
        let app = app_with_first_response(response.into_bytes());
        let node = Node::with(&[target("a", app.address, "north", "SERVING")]);
        assert!(node.ask(&request("order", "r1")).is_failure(), "{start}");
        // An unsafe request is only sent to healthy servers.
        assert_eq!(node.ask(&request("order", "r2")).body, b"r2", "{start}");
        assert_eq!(app.request_count(), 2, "{start}");
        assert_eq!(app.accepted.load(Ordering::SeqCst) == 2, closes, "{start}");
    }
}

#[test]
fn safe_request_is_retried_after_a_malformed_response() {
    let count = Mutex::new(0);
    let app = AppServer::start(move |request| {
        let mut count = count.lock().expect("no panic");
        *count += 1;
        Reply::Raw(if *count == 1 { b"noise\r\n\r\n".to_vec() } else { id_response(request) })
    });
    let node = Node::with(&[target("a", app.address, "north", "SERVING")]);
    assert_eq!(node.ask(&request("read", "r1")).body, b"r1");
    assert_eq!(app.request_count(), 2);
}

#[test]
fn surplus_bytes_after_a_response_are_not_read_as_the_next_response() {
    type SurplusFor = fn(&[u8]) -> Vec<u8>;
    let surpluses: [SurplusFor; 3] = [<[u8]>::to_vec, |_| b"noise".to_vec(), |_| vec![0; 100_000]];
    for (number, surplus_for) in surpluses.into_iter().enumerate() {
        let app = AppServer::start(move |request| {
            let response = id_response(request);
            let surplus = surplus_for(&response);
            Reply::Raw([response, surplus].concat())
        });
        let node = Node::with(&[target("a", app.address, "north", "SERVING")]);
        let mut client = node.client();
        for n in 0..10 {
            let id = format!("r{n}");
            assert_eq!(client.ask(&request("order", &id)).body, id.as_bytes(), "{number}");
        }
        // No connection was reused.
        assert_eq!((app.request_count(), app.accepted.load(Ordering::SeqCst)), (10, 10), "{number}");
    }
}

#[test]
fn interim_responses_are_skipped() {
    let app = AppServer::start(|request| {
        let interim = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n";
        Reply::Raw([interim.to_vec(), id_response(request)].concat())
    });
    let node = Node::with(&[target("a", app.address, "north", "SERVING")]);
    for n in 0..3 {
        let id = format!("r{n}");
        assert_eq!(node.ask(&request("order", &id)).body, id.as_bytes());
    }
    assert_eq!(app.accepted.load(Ordering::SeqCst), 1);
}

#[test]
fn implausible_usage_and_load_figures_are_ignored() {
    let headers = "Api-Usage: 1e300\r\nSrv-Load: {\"inflight\":1e300,\"util\":1e300}\r\n";
    let app = AppServer::start(move |_| Reply::Answer("200 OK", headers, b"x".to_vec()));
    let node = Node::with(&[target("a", app.address, "north", "SERVING")]);
    for number in 0..20 {
        assert_eq!(node.ask(&request("read", &format!("r{number}"))).status(), 200);
    }
}
