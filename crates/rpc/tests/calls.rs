//! RPC calls over real sockets with faulty peers: responses that are late, duplicated, truncated or belong to an earlier call,
//! broken connections, and callers that have disconnected.

use ivygate_rpc::{json_response, serve, ErrorKind, Handler, RpcClient, RpcError, RpcServer};
use ivygate_test_servers::{read_message, reset_on_close, Message, ScriptedServer};
use std::cell::RefCell;
use std::future::Future;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(10);

fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test)
}

/// Encodes a response that returns the call's ID, as processes of the system send it.
fn encode_response(call: &Message, text: &str) -> Vec<u8> {
    let id = call.header("call-id").map_or_else(String::new, |id| format!("call-id: {id}\r\n"));
    format!("HTTP/1.1 200 OK\r\n{id}content-length: {}\r\n\r\n{text}", text.len()).into_bytes()
}

fn write(stream: &mut BufReader<TcpStream>, bytes: &[u8]) {
    // A failed write shows in the result of the test.
    let _ = stream.get_mut().write_all(bytes);
}

/// Responds to each call with its path.
fn respond_to_all(stream: &mut BufReader<TcpStream>) {
    while let Some(call) = read_message(stream) {
        let path = call.start.split(' ').nth(1).expect("a path").to_owned();
        write(stream, &encode_response(&call, &format!("\"{path}\"")));
    }
}

async fn call(client: &RpcClient, to: SocketAddr, path: &str) -> Result<String, RpcError> {
    client.post(to, path, &"what", TIMEOUT).await
}

type Script = fn(&mut BufReader<TcpStream>, Message, &AtomicUsize);

/// Makes one call that gets a response and a second one that is handled by `script` on the same connection. Other connections
/// respond to every call.
///
/// Returns the result of the second call, how often it was executed, and the number of connections.
fn second_call(script: Script) -> (Result<String, RpcError>, usize, usize) {
    let ran: Arc<AtomicUsize> = Arc::default();
    let counted = ran.clone();
    let peer = ScriptedServer::start(move |stream, number| {
        if number > 0 {
            return respond_to_all(stream);
        }
        let first = read_message(stream).expect("a call");
        write(stream, &encode_response(&first, "\"/first\""));
        script(stream, first, &counted);
    });
    let result = run(async {
        let client = RpcClient::default();
        assert_eq!(call(&client, peer.address, "/first").await.as_deref(), Ok("/first"));
        call(&client, peer.address, "/second").await
    });
    (result, ran.load(Ordering::SeqCst), peer.accepted())
}

fn receive_call(stream: &mut BufReader<TcpStream>, ran: &AtomicUsize) -> Message {
    let call = read_message(stream).expect("a second call");
    ran.fetch_add(1, Ordering::SeqCst);
    call
}

#[test]
fn response_to_an_earlier_call_is_dropped() {
    let scripts: [Script; 3] = [
        |stream, first, ran| {
            receive_call(stream, ran);
            write(stream, &encode_response(&first, "\"/first\""));
        },
        |stream, first, ran| {
            let second = receive_call(stream, ran);
            write(stream, &encode_response(&first, "\"/first\""));
            write(stream, &encode_response(&second, "\"/second\""));
        },
        // A response without an ID, on a connection that has carried an earlier call.
        |stream, _, ran| {
            receive_call(stream, ran);
            write(stream, &encode_response(&Message::default(), "\"/first\""));
        },
    ];
    for script in scripts {
        let (result, ran, connections) = second_call(script);
        assert_eq!(result.map_err(|error| error.kind), Err(ErrorKind::Unreachable));
        assert_eq!((ran, connections), (1, 1), "the call must not be resent");
    }
}

#[test]
fn broken_off_call_is_not_resent() {
    let scripts: [Script; 5] = [
        |stream, _, ran| {
            receive_call(stream, ran);
            reset_on_close(stream.get_ref());
        },
        |stream, _, ran| {
            receive_call(stream, ran);
        },
        |stream, _, ran| {
            let id = receive_call(stream, ran).header("call-id").unwrap_or_default().to_owned();
            write(
                stream,
                format!("HTTP/1.1 200 OK\r\ncall-id: {id}\r\ncontent-length: 9\r\n\r\n1").as_bytes(),
            );
        },
        // A body without a length, truncated where it might look complete.
        |stream, _, ran| {
            let id = receive_call(stream, ran).header("call-id").unwrap_or_default().to_owned();
            write(stream, format!("HTTP/1.1 200 OK\r\ncall-id: {id}\r\n\r\n\"/sec\"").as_bytes());
        },
        |stream, _, ran| {
            let id = receive_call(stream, ran).header("call-id").unwrap_or_default().to_owned();
            let head = format!("HTTP/1.1 200 OK\r\ncall-id: {id}\r\ntransfer-encoding: chunked\r\n\r\n");
            write(stream, format!("{head}6\r\n\"/sec\"\r\n").as_bytes());
        },
    ];
    for (number, script) in scripts.into_iter().enumerate() {
        let (result, ran, connections) = second_call(script);
        assert_eq!(result.map_err(|error| error.kind), Err(ErrorKind::Unreachable), "{number}");
        assert_eq!((ran, connections), (1, 1), "{number}");
    }
}

/// Starts a peer that responds to one call, runs `script` on the connection, closes it, and signals that.
fn closing_peer(script: fn(&mut BufReader<TcpStream>)) -> (ScriptedServer, Receiver<()>) {
    let (done, is_done) = channel();
    let done = Mutex::new(done);
    let peer = ScriptedServer::start(move |stream, number| {
        if number > 0 {
            return respond_to_all(stream);
        }
        let first = read_message(stream).expect("a call");
        write(stream, &encode_response(&first, "\"/first\""));
        script(stream);
        let _ = stream.get_ref().shutdown(Shutdown::Both);
        done.lock().expect("no panic").send(()).expect("the test waits");
    });
    (peer, is_done)
}

#[test]
fn closed_idle_connection_is_replaced() {
    for script in [
        |_: &mut BufReader<TcpStream>| {},
        |stream: &mut BufReader<TcpStream>| reset_on_close(stream.get_ref()),
    ] {
        let (peer, is_done) = closing_peer(script);
        run(async {
            let client = RpcClient::default();
            assert_eq!(call(&client, peer.address, "/first").await.as_deref(), Ok("/first"));
            // The runtime does not run meanwhile, so the close is detected only when the next call is about to be sent.
            is_done.recv().expect("the peer has closed the connection");
            assert_eq!(call(&client, peer.address, "/second").await.as_deref(), Ok("/second"));
        });
        assert_eq!(peer.accepted(), 2);
    }
}

#[test]
fn timeout_closes_the_connection() {
    let peer = ScriptedServer::start(|stream, number| {
        if number > 0 {
            return respond_to_all(stream);
        }
        let first = read_message(stream).expect("a call");
        assert!(read_message(stream).is_none(), "no further call on this connection");
        write(stream, &encode_response(&first, "\"/first\""));
    });
    run(async {
        let client = RpcClient::default();
        let late: Result<String, RpcError> =
            client.post(peer.address, "/first", &"what", Duration::from_millis(50)).await;
        assert_eq!(late.map_err(|error| error.kind), Err(ErrorKind::Timeout));
        assert_eq!(call(&client, peer.address, "/second").await.as_deref(), Ok("/second"));
        // The abandoned connection is closed by itself, not at the end of the process.
        while peer.ended.load(Ordering::SeqCst) == 0 {
            tokio::task::yield_now().await;
        }
    });
}

#[test]
fn response_after_the_timeout_is_discarded() {
    let ((arrived, has_arrived), (go, may_go), (done, is_done)) = (channel(), channel(), channel());
    let signals = Mutex::new((arrived, may_go, done));
    let peer = ScriptedServer::start(move |stream, _| {
        let first = read_message(stream).expect("a call");
        let (arrived, may_go, done) = &*signals.lock().expect("no panic");
        arrived.send(()).expect("the test waits");
        may_go.recv().expect("the test signals");
        write(stream, &encode_response(&first, "\"/first\""));
        done.send(()).expect("the test waits");
    });
    run(async {
        let client = RpcClient::default();
        let pending_call =
            tokio::task::spawn_local(async move { call(&client, peer.address, "/first").await });
        while has_arrived.try_recv().is_err() {
            tokio::task::yield_now().await;
        }
        // From here on the client does not run until the response has arrived and the timeout has passed.
        go.send(()).expect("the peer waits");
        is_done.recv().expect("the peer answers");
        tokio::time::pause();
        tokio::time::advance(TIMEOUT + TIMEOUT).await;
        tokio::time::resume();
        let result = pending_call.await.expect("no panic");
        assert_eq!(result.map_err(|error| error.kind), Err(ErrorKind::Timeout));
    });
}

#[test]
fn peer_without_call_ids_gets_its_own_connection() {
    let peer = ScriptedServer::start(|stream, _| {
        while read_message(stream).is_some() {
            write(stream, &encode_response(&Message::default(), "\"page\""));
        }
    });
    run(async {
        let client = RpcClient::default();
        for _ in 0..2 {
            let page: Result<String, RpcError> = client.get(peer.address, "/instances", TIMEOUT).await;
            assert_eq!(page.as_deref(), Ok("page"));
        }
    });
    assert_eq!(peer.accepted(), 2);
}

/// Starts an RPC server that records which calls it began. Returns the server, its address and the paths of those calls.
fn recording_server() -> (RpcServer, SocketAddr, Rc<RefCell<Vec<String>>>) {
    let started: Rc<RefCell<Vec<String>>> = Rc::default();
    let recorded = started.clone();
    let handler: Handler = Rc::new(move |incoming| {
        recorded.borrow_mut().push(incoming.path.clone());
        Box::pin(async move { json_response(Ok(incoming.path)) })
    });
    // The RPC server needs a fixed port, so a port that was free a moment ago is used.
    let address =
        std::net::TcpListener::bind("127.0.0.1:0").and_then(|free| free.local_addr()).expect("a port");
    (serve(address, handler).expect("the server listens"), address, started)
}

#[test]
fn call_of_a_disconnected_caller_is_not_executed() {
    run(async {
        let (_server, address, started) = recording_server();
        // The call and the close of the connection both arrive before the server reads anything.
        let mut caller = TcpStream::connect(address).expect("the server listens");
        caller
            .write_all(b"POST /stale HTTP/1.1\r\nhost: h\r\ncontent-length: 0\r\n\r\n")
            .expect("the request is written");
        drop(caller);
        let client = RpcClient::default();
        assert_eq!(call(&client, address, "/next").await.as_deref(), Ok("/next"));
        assert_eq!(*started.borrow(), ["/next"]);
    });
}

#[test]
fn incomplete_call_is_not_executed() {
    run(async {
        let (_server, address, started) = recording_server();
        let mut caller = TcpStream::connect(address).expect("the server listens");
        caller
            .write_all(b"POST /half HTTP/1.1\r\nhost: h\r\ncontent-length: 9\r\n\r\n123")
            .expect("the request is written");
        drop(caller);
        let client = RpcClient::default();
        assert_eq!(call(&client, address, "/next").await.as_deref(), Ok("/next"));
        assert_eq!(*started.borrow(), ["/next"]);
    });
}

#[test]
fn pipelined_calls_are_answered_in_order() {
    let (response_sender, response_receiver) = channel();
    let (address_of, address) = channel();
    let caller = std::thread::spawn(move || {
        let mut stream =
            TcpStream::connect(address.recv().expect("the server listens")).expect("the server listens");
        for id in 1..=3 {
            let text =
                format!("POST /{id} HTTP/1.1\r\nhost: h\r\ncall-id: {id}\r\ncontent-length: 0\r\n\r\n");
            stream.write_all(text.as_bytes()).expect("the request is written");
        }
        let mut stream = BufReader::new(stream);
        for _ in 0..3 {
            let answer = read_message(&mut stream).expect("a response");
            let id = answer.header("call-id").expect("the response has an id").to_owned();
            response_sender
                .send((id, String::from_utf8(answer.body).expect("text")))
                .expect("the test waits");
        }
    });
    run(async {
        let (_server, own, _) = recording_server();
        address_of.send(own).expect("the caller waits");
        while !caller.is_finished() {
            tokio::task::yield_now().await;
        }
    });
    caller.join().expect("no panic");
    let responses: Vec<_> = response_receiver.into_iter().collect();
    let expected = ["1", "2", "3"].map(|id| (id.to_owned(), format!("\"/{id}\"")));
    assert_eq!(responses, expected);
}

/// Pseudorandom numbers from a seed.
struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }
}

/// Forwards calls on a link and applies a random fault to some of them.
fn forward(link: &mut BufReader<TcpStream>, server_address: SocketAddr, random: &mut Random) -> Option<()> {
    let mut server = BufReader::new(TcpStream::connect(server_address).expect("the server listens"));
    let mut last = Vec::new();
    loop {
        let call = read_message(link)?;
        let path = call.start.split(' ').nth(1)?;
        let id = call.header("call-id")?;
        let fault_kind = random.below(12);
        if fault_kind == 0 {
            // The call is read and not forwarded.
            reset_on_close(link.get_ref());
            return None;
        }
        let text = format!("POST {path} HTTP/1.1\r\nhost: h\r\ncall-id: {id}\r\ncontent-length: 0\r\n\r\n");
        write(&mut server, text.as_bytes());
        let body = read_message(&mut server)?.body;
        let answer = encode_response(&call, &String::from_utf8(body).ok()?);
        match fault_kind {
            1 => reset_on_close(link.get_ref()),
            2 => write(link, &answer[..answer.len() / 2]),
            3 => write(link, &answer[..answer.len() - 1]),
            // The previous response replaces this one.
            4 if !last.is_empty() => {
                write(link, &last);
                continue;
            }
            5 => write(link, &[&answer[..], &answer].concat()),
            6 => write(link, &[&answer[..], &last].concat()),
            _ => {
                write(link, &answer);
                last = answer;
                continue;
            }
        }
        return None;
    }
}

#[test]
fn faulty_link_gives_each_call_its_own_response_or_none() {
    for seed in 1..=20 {
        let runs: Arc<Mutex<Vec<String>>> = Arc::default();
        let ran = runs.clone();
        let (address_of, address) = channel();
        let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
        // The server runs on its own thread and runtime, as a separate process would.
        let server = std::thread::spawn(move || {
            run(async {
                let handler: Handler = Rc::new(move |incoming| {
                    ran.lock().expect("no panic").push(incoming.path.clone());
                    Box::pin(async move { json_response(Ok(incoming.path)) })
                });
                let at = SocketAddr::from(([127, 0, 0, 1], 0));
                let listener = std::net::TcpListener::bind(at).expect("a port");
                let at = listener.local_addr().expect("an address");
                drop(listener);
                let _server = serve(at, handler).expect("the server listens");
                address_of.send(at).expect("the test waits");
                let _ = stopped.await;
            });
        });
        let server_address = address.recv().expect("the server listens");
        let link = ScriptedServer::start(move |stream, number| {
            // The faults depend only on the seed and the number of the connection.
            forward(stream, server_address, &mut Random(seed * 1_000 + number as u64));
        });
        let (to, mut answered, mut failed) = (link.address, 0, 0);
        run(async {
            let client = RpcClient::default();
            for round in 0..20 {
                let calls: Vec<_> = (0..5)
                    .map(|number| {
                        let (client, path) = (client.clone(), format!("/{round}/{number}"));
                        tokio::task::spawn_local(async move {
                            let answer: Result<String, RpcError> = call(&client, to, &path).await;
                            (path, answer)
                        })
                    })
                    .collect();
                for call in calls {
                    match call.await.expect("no panic") {
                        (path, Ok(answer)) => {
                            assert_eq!(answer, path, "seed {seed}");
                            answered += 1;
                        }
                        (_, Err(_)) => failed += 1,
                    }
                }
            }
        });
        let _ = stop.send(());
        server.join().expect("no panic");
        let mut runs = runs.lock().expect("no panic").clone();
        let all = runs.len();
        runs.sort_unstable();
        runs.dedup();
        assert_eq!(runs.len(), all, "seed {seed}: no call is resent");
        assert!(
            answered > 20 && failed > 5,
            "seed {seed}: {answered} calls with a response, {failed} without"
        );
    }
}
