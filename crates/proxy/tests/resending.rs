//! End-to-end tests of the proxy over real sockets, with a stub registry that provides routes and servers. They check which
//! response a client gets, how often a server executes a request, and that a status never guarantees too much.

mod stub;

use ivygate_test_servers::{read_message, ScriptedServer};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use stub::{client, control_state, encode_response, id, request, server, start_proxy, write, Runs, SEALED};

/// Starts a proxy in front of a server and returns its address for clients.
fn proxy(server: SocketAddr) -> SocketAddr {
    start_proxy(control_state(server), &["retryRatio=1.0", "retryExtra=100"], Arc::default())
}

#[test]
fn status_that_promises_not_run_is_not_passed_on() {
    for status in ["429 Too Many Requests", "503 Service Unavailable", "408 Request Timeout"] {
        let (server, runs) = server(move |id, _| (encode_response(status, id, SEALED), false));
        let mut client = client(proxy(server.address));
        let answer = client.ask(&request("once", "a"));
        assert_eq!((answer.status(), runs.of("a")), (502, 1), "{status}");
        assert_eq!(
            answer.header("ivygate-server-seal"),
            None,
            "a response with another status than the server's must not have its seal"
        );
    }
}

#[test]
fn passes_on_status_body_seal_and_id() {
    let (server, runs) = server(|id, number| {
        let status = ["200 OK", "500 Internal Server Error", "418 Teapot"][number % 3];
        (encode_response(status, id, SEALED), false)
    });
    let mut client = client(proxy(server.address));
    for (name, status) in [("a", 200), ("b", 500), ("c", 418)] {
        let answer = client.ask(&request("once", name));
        assert_eq!((answer.status(), id(&answer), runs.of(name)), (status, name.to_owned(), 1));
        assert_eq!(answer.header("ivygate-server-seal"), Some("s.1"));
        assert_eq!(answer.body, name.as_bytes());
    }
}

#[test]
fn faulty_servers_cause_no_mixed_answers_and_no_double_runs() {
    let (server, runs) = server(|id, number| {
        let own = encode_response("200 OK", id, SEALED);
        match number % 8 {
            1 => ([&own[..], &own].concat(), false),
            2 => (encode_response("200 OK", "elsewhere", SEALED), false),
            3 => (Vec::new(), true),
            4 => (own[..own.len() - 1].to_vec(), true),
            5 => ([&own[..], b"no answer at all"].concat(), false),
            6 => (encode_response("421 Misdirected Request", "elsewhere", ""), false),
            7 => {
                (encode_response("503 Service Unavailable", "elsewhere", "Ivygate-Not-Run: full\r\n"), false)
            }
            _ => (own, false),
        }
    });
    let proxy = proxy(server.address);
    let (mut client, mut served) = (client(proxy), 0);
    for number in 0..60 {
        let name = format!("t{number}");
        let answer = client.ask(&request("once", &name));
        let ran = runs.of(&name);
        match answer.status() {
            200 => {
                assert_eq!((id(&answer), answer.body, ran), (name.clone(), name.into_bytes(), 1));
                served += 1;
            }
            502 => assert!(ran <= 1, "{name} ran {ran} times"),
            503 => assert_eq!(ran, 0, "{name}: 503 guarantees that it was not executed"),
            other => panic!("{name}: unexpected status {other}"),
        }
    }
    assert!(served > 0, "some requests must succeed");
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    let (server, _) = server(|id, _| (encode_response("200 OK", id, SEALED), false));
    let mut client = client(proxy(server.address));
    let all: String = ["a", "b", "c"].iter().map(|id| request("often", id)).collect();
    client.write(all.as_bytes());
    for name in ["a", "b", "c"] {
        let answer = client.read().expect("an answer");
        assert_eq!((id(&answer), answer.body), (name.to_owned(), name.as_bytes().to_vec()));
    }
}

#[test]
fn clients_that_leave_early_do_not_disturb_others() {
    let (started, has_started) = std::sync::mpsc::channel();
    let started = Mutex::new(started);
    let runs = Runs::default();
    let ran = runs.clone();
    let server = ScriptedServer::start(move |stream, _| {
        while let Some(request) = read_message(stream) {
            let id = id(&request);
            ran.0.lock().expect("no panic").push(id.clone());
            if id == "gone" {
                started.lock().expect("no panic").send(()).expect("the test waits");
                // Returns when the proxy has cancelled the request, so the response is too late.
                assert!(read_message(stream).is_none(), "no further request on this connection");
            }
            write(stream, &encode_response("200 OK", &id, SEALED));
        }
    });
    let proxy = proxy(server.address);
    let mut incomplete = client(proxy);
    incomplete.write(&request("once", "half").as_bytes()[..request("once", "half").len() - 1]);
    drop(incomplete);
    let mut disconnecting = client(proxy);
    disconnecting.write(request("often", "gone").as_bytes());
    has_started.recv().expect("the server has it");
    drop(disconnecting);
    let mut next = client(proxy);
    for name in ["a", "b"] {
        let answer = next.ask(&request("once", name));
        assert_eq!((answer.status(), id(&answer)), (200, name.to_owned()));
    }
    assert_eq!((runs.of("half"), runs.of("gone")), (0, 1));
}
