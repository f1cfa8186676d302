//! Requests whose server responds late, twice, to an earlier request or in part, or closes its connection:
//! over real sockets, with the gateway deciding about further attempts.

mod stub;

use ivygate_test_servers::{read_head, read_message, reset_on_close, wait_until, ScriptedServer};
use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::Mutex;
use std::time::Duration;
use stub::{
    attempt_id, driver, response, send, send_body, send_with_timeout, serve, status_and_id, Runs, SEAL_HEADER,
};

const NOT_RUN_HEADER: &str = "Ivygate-Not-Run: full\r\n";

fn write(stream: &mut BufReader<TcpStream>, bytes: &[u8]) {
    // If the peer has closed the connection, the test sees the consequences.
    let _ = stream.get_mut().write_all(bytes);
}

type Script = fn(&mut BufReader<TcpStream>, &Runs);

/// Sends a request that is served, and a second one on the same connection, on which the server runs
/// `script`. Other connections serve all requests. Returns the response to the second request and how often
/// it ran.
fn second_request(class: &str, script: Script) -> ((u16, String), usize) {
    let runs = Runs::default();
    let ran = runs.clone();
    let server = ScriptedServer::start(move |stream, number| {
        if number > 0 {
            return serve(stream, &ran);
        }
        let first = read_message(stream).expect("a request");
        write(stream, &response("200 OK", &attempt_id(&first), SEAL_HEADER));
        script(stream, &ran);
    });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let outcome = tokio::task::LocalSet::new().block_on(&runtime, async {
        let driver = driver(server.address);
        assert_eq!(status_and_id(&send(&driver, class, "a").await), (200, "a".to_owned()));
        status_and_id(&send(&driver, class, "b").await)
    });
    drop(runtime);
    wait_until("all connections of the server have ended", || {
        server.ended.load(std::sync::atomic::Ordering::SeqCst) == server.accepted()
    });
    (outcome, runs.count("b"))
}

/// Receives the second request and runs it.
fn run_second(stream: &mut BufReader<TcpStream>, runs: &Runs) {
    let request = read_message(stream).expect("a second request");
    runs.add(&attempt_id(&request));
}

#[test]
fn rejection_of_the_previous_request_is_no_proof_that_the_next_did_not_run() {
    let scripts: [Script; 4] = [
        |stream, runs| {
            run_second(stream, runs);
            write(stream, &response("421 Misdirected Request", "a", ""));
        },
        |stream, runs| {
            run_second(stream, runs);
            write(stream, &response("421 Misdirected Request", "", ""));
        },
        |stream, runs| {
            run_second(stream, runs);
            write(stream, &response("503 Service Unavailable", "a", NOT_RUN_HEADER));
        },
        |stream, runs| {
            run_second(stream, runs);
            write(stream, &response("503 Service Unavailable", "", NOT_RUN_HEADER));
        },
    ];
    for script in scripts {
        let ((status, _), ran) = second_request("once", script);
        assert_eq!((status, ran), (502, 1));
    }
}

#[test]
fn status_421_without_id_on_a_new_connection_lets_the_request_be_retried() {
    let runs = Runs::default();
    let ran = runs.clone();
    let server = ScriptedServer::start(move |stream, number| {
        if number > 0 {
            return serve(stream, &ran);
        }
        read_message(stream).expect("a request");
        write(stream, &response("421 Misdirected Request", "", ""));
    });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let outcome = tokio::task::LocalSet::new().block_on(&runtime, async {
        let driver = driver(server.address);
        status_and_id(&send(&driver, "once", "a").await)
    });
    assert_eq!((outcome, runs.count("a")), ((200, "a".to_owned()), 1));
}

#[test]
fn duplicate_of_an_earlier_rejection_does_not_hide_that_the_retry_ran() {
    let runs = Runs::default();
    let ran = runs.clone();
    let server = ScriptedServer::start(move |stream, number| {
        if number > 0 {
            return serve(stream, &ran);
        }
        let request = read_message(stream).expect("a request");
        let rejection = response("503 Service Unavailable", &attempt_id(&request), NOT_RUN_HEADER);
        write(stream, &rejection);
        if let Some(request) = read_message(stream) {
            ran.add(&attempt_id(&request));
            write(stream, &rejection);
        }
    });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let outcome = tokio::task::LocalSet::new().block_on(&runtime, async {
        let driver = driver(server.address);
        status_and_id(&send(&driver, "once", "a").await)
    });
    assert_eq!((outcome, runs.count("a")), ((200, "a".to_owned()), 1));
}

/// Waits until a request has arrived at the socket, without reading it.
fn wait_for_request(stream: &BufReader<TcpStream>) {
    let _ = stream.get_ref().peek(&mut [0]);
}

#[test]
fn unsafe_request_runs_at_most_once_whatever_the_server_does() {
    /// Description of the server's behaviour, its script, the client's status and the number of runs.
    type Row = (&'static str, Script, u16, usize);
    let rows: [Row; 12] = [
        (
            "resets before it has read the request",
            |stream, _| {
                wait_for_request(stream);
                reset_on_close(stream.get_ref());
            },
            502,
            0,
        ),
        (
            "reads, runs and resets",
            |stream, runs| {
                run_second(stream, runs);
                reset_on_close(stream.get_ref());
            },
            502,
            1,
        ),
        ("reads, runs and closes", run_second, 502, 1),
        (
            "resets in the middle of the response body",
            |stream, runs| {
                run_second(stream, runs);
                write(stream, b"HTTP/1.1 200 OK\r\nIvygate-Attempt-Id: b\r\nIvygate-Server-Seal: s\r\n");
                write(stream, b"Content-Length: 9\r\n\r\nb");
                reset_on_close(stream.get_ref());
            },
            502,
            1,
        ),
        (
            "closes in the middle of the response head",
            |stream, runs| {
                run_second(stream, runs);
                write(stream, b"HTTP/1.1 200 OK\r\nIvygate-Attempt-Id: b\r\n");
            },
            502,
            1,
        ),
        (
            "closes in the middle of a chunked body",
            |stream, runs| {
                run_second(stream, runs);
                write(stream, b"HTTP/1.1 200 OK\r\nIvygate-Attempt-Id: b\r\nIvygate-Server-Seal: s\r\n");
                write(stream, b"Transfer-Encoding: chunked\r\n\r\n1\r\nb\r\n");
            },
            502,
            1,
        ),
        (
            "closes after a response whose length only the close would mark",
            |stream, runs| {
                run_second(stream, runs);
                write(stream, b"HTTP/1.1 200 OK\r\nIvygate-Attempt-Id: b\r\nIvygate-Server-Seal: s\r\n\r\nb");
            },
            502,
            1,
        ),
        (
            "responds to the previous request again, and then to this one",
            |stream, runs| {
                run_second(stream, runs);
                write(stream, &response("200 OK", "a", SEAL_HEADER));
                write(stream, &response("200 OK", "b", SEAL_HEADER));
            },
            502,
            1,
        ),
        (
            "responds to the previous request again before it reads this one",
            |stream, runs| {
                wait_for_request(stream);
                write(stream, &response("200 OK", "a", SEAL_HEADER));
                run_second(stream, runs);
            },
            502,
            1,
        ),
        (
            "sends bytes that are not HTTP",
            |stream, runs| {
                run_second(stream, runs);
                write(stream, b"\x16\x03\x01 no HTTP at all\r\n\r\n");
            },
            502,
            1,
        ),
        (
            "responds twice",
            |stream, runs| {
                run_second(stream, runs);
                let response = response("200 OK", "b", SEAL_HEADER);
                write(stream, &[&response[..], &response].concat());
                serve(stream, runs);
            },
            200,
            1,
        ),
        (
            "reports that it did not run the request",
            |stream, _| {
                read_message(stream).expect("a second request");
                write(stream, &response("503 Service Unavailable", "b", NOT_RUN_HEADER));
            },
            200,
            1,
        ),
    ];
    for (behaviour, script, expected_status, expected_runs) in rows {
        let ((status, id), runs) = second_request("once", script);
        assert_eq!((status, runs), (expected_status, expected_runs), "{behaviour}");
        assert!(status != 200 || id == "b", "{behaviour}: the response has the id '{id}'");
    }
}

/// Sends an unsafe request with a body that is larger than all buffers, to a server that runs it from the first part of the
/// body and then runs `end`. Returns the status for the client and how often the request ran.
fn run_before_the_body_is_complete(end: fn(&mut BufReader<TcpStream>)) -> (u16, usize) {
    const BODY_BYTES: usize = 32 << 20;
    const FIRST_PART_BYTES: usize = 256 << 10;
    const TIMEOUT_MS: f64 = 1_500.0;
    let runs = Runs::default();
    let ran = runs.clone();
    let server = ScriptedServer::start(move |stream, number| {
        if number > 0 {
            return serve(stream, &ran);
        }
        let head = read_head(stream).expect("a request");
        stream.read_exact(&mut vec![0; FIRST_PART_BYTES]).expect("a part of the body");
        ran.add(&attempt_id(&head));
        end(stream);
    });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let (status, _) = tokio::task::LocalSet::new().block_on(&runtime, async {
        let driver = driver(server.address);
        status_and_id(&send_body(&driver, "once", "a", vec![b'x'; BODY_BYTES].into(), TIMEOUT_MS).await)
    });
    (status, runs.count("a"))
}

/// Guards against sending an upload to a second server after the first one ran it before the whole body had come, and its
/// response was lost (review/4).
#[test]
fn unsafe_request_that_runs_before_its_body_is_complete_is_not_retried_after_a_reset() {
    let outcome = run_before_the_body_is_complete(|stream| reset_on_close(stream.get_ref()));
    assert_eq!(outcome, (502, 1));
    assert_eq!(run_before_the_body_is_complete(|_| {}), (502, 1), "after a close");
}

/// Guards against promising that an upload did not run although a server was working on it when the time was up (review/5).
#[test]
fn unsafe_request_that_runs_before_its_body_is_complete_is_not_rejected_after_a_timeout() {
    let outcome = run_before_the_body_is_complete(|_| std::thread::sleep(Duration::from_secs(3)));
    assert_eq!(outcome, (504, 1));
}

#[test]
fn safe_request_is_retried_and_gets_its_own_response() {
    let scripts: [Script; 4] = [
        |stream, runs| {
            run_second(stream, runs);
            reset_on_close(stream.get_ref());
        },
        |stream, runs| {
            run_second(stream, runs);
            write(stream, &response("200 OK", "a", SEAL_HEADER));
        },
        |stream, runs| {
            run_second(stream, runs);
            write(stream, b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\nIvygate-Attempt-Id: b\r\n\r\nb");
        },
        |stream, runs| {
            run_second(stream, runs);
            write(
                stream,
                &response("200 OK", "b", "Ivygate-Server-Seal: s\r\nContent-Encoding: gzip\r\n")[..40],
            );
        },
    ];
    for script in scripts {
        assert_eq!(second_request("often", script), ((200, "b".to_owned()), 2));
    }
}

/// Sends two requests in turn; between them the server runs `script` on the connection and closes it. Returns
/// the response to the second request, how often it ran, and the number of connections.
fn with_script_between(more_headers: &'static str, script: Script) -> ((u16, String), usize, usize) {
    let runs = Runs::default();
    let (done, is_done) = std::sync::mpsc::channel();
    let (ran, done) = (runs.clone(), Mutex::new(done));
    let server = ScriptedServer::start(move |stream, number| {
        if number > 0 {
            return serve(stream, &ran);
        }
        let first = read_message(stream).expect("a request");
        write(stream, &response("200 OK", &attempt_id(&first), &format!("{SEAL_HEADER}{more_headers}")));
        script(stream, &ran);
        let closed = stream.get_ref().try_clone().expect("a handle");
        let _ = closed.shutdown(std::net::Shutdown::Both);
        done.lock().expect("no panic").send(()).expect("the test waits");
    });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let outcome = tokio::task::LocalSet::new().block_on(&runtime, async {
        let driver = driver(server.address);
        assert_eq!(status_and_id(&send(&driver, "once", "a").await), (200, "a".to_owned()));
        // Blocks the runtime, so that only the check before reuse can find out what happened to the
        // connection.
        is_done.recv().expect("the server has run the script");
        status_and_id(&send(&driver, "once", "b").await)
    });
    (outcome, runs.count("b"), server.accepted())
}

#[test]
fn idle_connection_that_was_closed_or_has_unread_input_is_not_reused() {
    let scripts: [Script; 3] = [
        |_, _| {},
        |stream, _| reset_on_close(stream.get_ref()),
        |stream, _| write(stream, &response("200 OK", "a", SEAL_HEADER)),
    ];
    for script in scripts {
        assert_eq!(with_script_between("", script), ((200, "b".to_owned()), 1, 2));
    }
}

#[test]
fn late_response_after_a_timeout_is_discarded() {
    let runs = Runs::default();
    let ran = runs.clone();
    let server = ScriptedServer::start(move |stream, number| {
        if number > 0 {
            return serve(stream, &ran);
        }
        run_second(stream, &ran);
        // Returns when the driver has closed the connection, so the response below is never read.
        assert!(read_message(stream).is_none(), "no further request on this connection");
        write(stream, &response("200 OK", "a", SEAL_HEADER));
    });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let driver = driver(server.address);
        assert_eq!(
            status_and_id(&send_with_timeout(&driver, "once", "a", 300.0).await),
            (504, String::new())
        );
        assert_eq!(status_and_id(&send(&driver, "often", "b").await), (200, "b".to_owned()));
    });
    assert_eq!((runs.count("a"), runs.count("b")), (1, 1));
}

#[test]
fn idle_connection_is_not_reused_after_the_timeout_that_the_server_announces() {
    // Header of the server, milliseconds between two requests, number of connections.
    let rows = [
        ("", 59_000, 1),
        ("", 61_000, 2),
        ("Keep-Alive: timeout=5, max=100\r\n", 4_400, 1),
        ("Keep-Alive: max=100, timeout=5\r\n", 4_600, 2),
        ("Keep-Alive: timeout=1\r\n", 500, 1),
        ("Keep-Alive: timeout=1\r\n", 700, 2),
        ("Keep-Alive: timeout=90\r\n", 61_000, 2),
        ("Keep-Alive: timeout=soon\r\n", 59_000, 1),
    ];
    for (keep_alive, pause, connections) in rows {
        let server = ScriptedServer::start(move |stream, _| {
            while let Some(request) = read_message(stream) {
                write(
                    stream,
                    &response("200 OK", &attempt_id(&request), &format!("{SEAL_HEADER}{keep_alive}")),
                );
            }
        });
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        tokio::task::LocalSet::new().block_on(&runtime, async {
            let driver = driver(server.address);
            assert_eq!(status_and_id(&send(&driver, "once", "a").await), (200, "a".to_owned()));
            tokio::time::pause();
            tokio::time::advance(Duration::from_millis(pause)).await;
            tokio::time::resume();
            assert_eq!(status_and_id(&send(&driver, "once", "b").await), (200, "b".to_owned()));
        });
        assert_eq!(server.accepted(), connections, "{keep_alive}{pause}");
    }
}
