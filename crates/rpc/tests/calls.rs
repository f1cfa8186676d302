//! Calls between own processes over real sockets: a peer that answers late, twice, for the call before, or half; one that
//! breaks the connection; a caller that has left.

use ivygate_rpc::{json_response, serve, ErrorKind, Handler, RpcClient, RpcError, RpcServer};
use ivygate_test_servers::{read_message, reset, Message, Scripted};
use std::cell::RefCell;
use std::future::Future;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const WAIT: Duration = Duration::from_secs(10);

fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test)
}

/// The answer of one of our own processes: it brings the call's id back.
fn answered(call: &Message, text: &str) -> Vec<u8> {
    let id = call.header("call-id").map_or_else(String::new, |id| format!("call-id: {id}\r\n"));
    format!("HTTP/1.1 200 OK\r\n{id}content-length: {}\r\n\r\n{text}", text.len()).into_bytes()
}

fn write(stream: &mut BufReader<TcpStream>, bytes: &[u8]) {
    // Where the other side has left, the test sees what came of it.
    let _ = stream.get_mut().write_all(bytes);
}

/// Answers each call with its path.
fn answer_all(stream: &mut BufReader<TcpStream>) {
    while let Some(call) = read_message(stream) {
        let path = call.start.split(' ').nth(1).expect("a path").to_owned();
        write(stream, &answered(&call, &format!("\"{path}\"")));
    }
}

async fn call(client: &RpcClient, to: SocketAddr, path: &str) -> Result<String, RpcError> {
    client.post(to, path, &"what", WAIT).await
}

type Script = fn(&mut BufReader<TcpStream>, Message, &AtomicUsize);

/// One call that is answered, and another, which `script` gets and counts as run; other connections answer all. Tells
/// what came of the second, how often it ran, and how many connections there were.
fn second(script: Script) -> (Result<String, RpcError>, usize, usize) {
    let ran: Arc<AtomicUsize> = Arc::default();
    let counted = ran.clone();
    let peer = Scripted::start(move |stream, number| {
        if number > 0 {
            return answer_all(stream);
        }
        let first = read_message(stream).expect("a call");
        write(stream, &answered(&first, "\"/first\""));
        script(stream, first, &counted);
    });
    let came = run(async {
        let calls = RpcClient::default();
        assert_eq!(call(&calls, peer.address, "/first").await.as_deref(), Ok("/first"));
        call(&calls, peer.address, "/second").await
    });
    (came, ran.load(Ordering::SeqCst), peer.accepted())
}

fn take(stream: &mut BufReader<TcpStream>, ran: &AtomicUsize) -> Message {
    let call = read_message(stream).expect("a second call");
    ran.fetch_add(1, Ordering::SeqCst);
    call
}

#[test]
fn response_to_an_earlier_call_is_dropped() {
    let scripts: [Script; 3] = [
        |stream, first, ran| {
            take(stream, ran);
            write(stream, &answered(&first, "\"/first\""));
        },
        |stream, first, ran| {
            let second = take(stream, ran);
            write(stream, &answered(&first, "\"/first\""));
            write(stream, &answered(&second, "\"/second\""));
        },
        // One without an id, on a connection that has carried another call.
        |stream, _, ran| {
            take(stream, ran);
            write(stream, &answered(&Message::default(), "\"/first\""));
        },
    ];
    for script in scripts {
        let (came, ran, connections) = second(script);
        assert_eq!(came.map_err(|fault| fault.kind), Err(ErrorKind::Unreachable));
        assert_eq!((ran, connections), (1, 1), "it is not sent again");
    }
}

#[test]
fn broken_off_call_is_not_resent() {
    let scripts: [Script; 5] = [
        |stream, _, ran| {
            take(stream, ran);
            reset(stream.get_ref());
        },
        |stream, _, ran| {
            take(stream, ran);
        },
        |stream, _, ran| {
            let id = take(stream, ran).header("call-id").unwrap_or_default().to_owned();
            write(
                stream,
                format!("HTTP/1.1 200 OK\r\ncall-id: {id}\r\ncontent-length: 9\r\n\r\n1").as_bytes(),
            );
        },
        // Half of a number is a number.
        |stream, _, ran| {
            let id = take(stream, ran).header("call-id").unwrap_or_default().to_owned();
            write(stream, format!("HTTP/1.1 200 OK\r\ncall-id: {id}\r\n\r\n\"/sec\"").as_bytes());
        },
        |stream, _, ran| {
            let id = take(stream, ran).header("call-id").unwrap_or_default().to_owned();
            let head = format!("HTTP/1.1 200 OK\r\ncall-id: {id}\r\ntransfer-encoding: chunked\r\n\r\n");
            write(stream, format!("{head}6\r\n\"/sec\"\r\n").as_bytes());
        },
    ];
    for (number, script) in scripts.into_iter().enumerate() {
        let (came, ran, connections) = second(script);
        assert_eq!(came.map_err(|fault| fault.kind), Err(ErrorKind::Unreachable), "{number}");
        assert_eq!((ran, connections), (1, 1), "{number}");
    }
}

/// A peer that answers one call, does something to the connection, and says so.
fn left(script: fn(&mut BufReader<TcpStream>)) -> (Scripted, Receiver<()>) {
    let (done, is_done) = channel();
    let done = Mutex::new(done);
    let peer = Scripted::start(move |stream, number| {
        if number > 0 {
            return answer_all(stream);
        }
        let first = read_message(stream).expect("a call");
        write(stream, &answered(&first, "\"/first\""));
        script(stream);
        let _ = stream.get_ref().shutdown(Shutdown::Both);
        done.lock().expect("no panic").send(()).expect("the test waits");
    });
    (peer, is_done)
}

#[test]
fn closed_idle_connection_is_replaced() {
    for script in
        [|_: &mut BufReader<TcpStream>| {}, |stream: &mut BufReader<TcpStream>| reset(stream.get_ref())]
    {
        let (peer, is_done) = left(script);
        run(async {
            let calls = RpcClient::default();
            assert_eq!(call(&calls, peer.address, "/first").await.as_deref(), Ok("/first"));
            // Nothing is heard meanwhile: the close is met only when the next call is about to be written.
            is_done.recv().expect("the peer is through");
            assert_eq!(call(&calls, peer.address, "/second").await.as_deref(), Ok("/second"));
        });
        assert_eq!(peer.accepted(), 2);
    }
}

#[test]
fn timeout_closes_the_connection() {
    let peer = Scripted::start(|stream, number| {
        if number > 0 {
            return answer_all(stream);
        }
        let first = read_message(stream).expect("a call");
        assert!(read_message(stream).is_none(), "nothing else comes on it");
        write(stream, &answered(&first, "\"/first\""));
    });
    run(async {
        let calls = RpcClient::default();
        let late: Result<String, RpcError> =
            calls.post(peer.address, "/first", &"what", Duration::from_millis(50)).await;
        assert_eq!(late.map_err(|fault| fault.kind), Err(ErrorKind::Timeout));
        assert_eq!(call(&calls, peer.address, "/second").await.as_deref(), Ok("/second"));
        // The connection that was given up ends by itself, not with the process.
        while peer.ended.load(Ordering::SeqCst) == 0 {
            tokio::task::yield_now().await;
        }
    });
}

#[test]
fn response_after_the_timeout_is_none() {
    let ((came, has_come), (go, may_go), (done, is_done)) = (channel(), channel(), channel());
    let signals = Mutex::new((came, may_go, done));
    let peer = Scripted::start(move |stream, _| {
        let first = read_message(stream).expect("a call");
        let (came, may_go, done) = &*signals.lock().expect("no panic");
        came.send(()).expect("the test waits");
        may_go.recv().expect("the test says when");
        write(stream, &answered(&first, "\"/first\""));
        done.send(()).expect("the test waits");
    });
    run(async {
        let calls = RpcClient::default();
        let asking = tokio::task::spawn_local(async move { call(&calls, peer.address, "/first").await });
        while has_come.try_recv().is_err() {
            tokio::task::yield_now().await;
        }
        // From here on this thread looks at nothing until the answer lies there and its time is up.
        go.send(()).expect("the peer waits");
        is_done.recv().expect("the peer answers");
        tokio::time::pause();
        tokio::time::advance(WAIT + WAIT).await;
        tokio::time::resume();
        let came = asking.await.expect("no panic");
        assert_eq!(came.map_err(|fault| fault.kind), Err(ErrorKind::Timeout));
    });
}

#[test]
fn peer_without_call_ids_gets_its_own_connection() {
    let peer = Scripted::start(|stream, _| {
        while read_message(stream).is_some() {
            write(stream, &answered(&Message::default(), "\"page\""));
        }
    });
    run(async {
        let calls = RpcClient::default();
        for _ in 0..2 {
            let page: Result<String, RpcError> = calls.get(peer.address, "/instances", WAIT).await;
            assert_eq!(page.as_deref(), Ok("page"));
        }
    });
    assert_eq!(peer.accepted(), 2);
}

/// A server of calls that notes which it began, and its address.
fn noting() -> (RpcServer, SocketAddr, Rc<RefCell<Vec<String>>>) {
    let begun: Rc<RefCell<Vec<String>>> = Rc::default();
    let noted = begun.clone();
    let handler: Handler = Rc::new(move |incoming| {
        noted.borrow_mut().push(incoming.path.clone());
        Box::pin(async move { json_response(Ok(incoming.path)) })
    });
    // A port that was free a moment ago: a server of calls is always told its own.
    let address =
        std::net::TcpListener::bind("127.0.0.1:0").and_then(|free| free.local_addr()).expect("a port");
    (serve(address, handler).expect("it listens"), address, begun)
}

#[test]
fn call_of_a_gone_caller_is_not_begun() {
    run(async {
        let (_server, address, begun) = noting();
        // All of it lies there before the server looks: the call, and the end of whoever made it.
        let mut gone = TcpStream::connect(address).expect("it listens");
        gone.write_all(b"POST /stale HTTP/1.1\r\nhost: h\r\ncontent-length: 0\r\n\r\n").expect("it is taken");
        drop(gone);
        let calls = RpcClient::default();
        assert_eq!(call(&calls, address, "/next").await.as_deref(), Ok("/next"));
        assert_eq!(*begun.borrow(), ["/next"]);
    });
}

#[test]
fn half_a_call_is_not_begun() {
    run(async {
        let (_server, address, begun) = noting();
        let mut gone = TcpStream::connect(address).expect("it listens");
        gone.write_all(b"POST /half HTTP/1.1\r\nhost: h\r\ncontent-length: 9\r\n\r\n123")
            .expect("it is taken");
        drop(gone);
        let calls = RpcClient::default();
        assert_eq!(call(&calls, address, "/next").await.as_deref(), Ok("/next"));
        assert_eq!(*begun.borrow(), ["/next"]);
    });
}

#[test]
fn pipelined_calls_are_answered_in_order() {
    let (told, tell) = channel();
    let (address_of, address) = channel();
    let caller = std::thread::spawn(move || {
        let mut stream = TcpStream::connect(address.recv().expect("it listens")).expect("it listens");
        for id in 1..=3 {
            let text =
                format!("POST /{id} HTTP/1.1\r\nhost: h\r\ncall-id: {id}\r\ncontent-length: 0\r\n\r\n");
            stream.write_all(text.as_bytes()).expect("it is taken");
        }
        let mut stream = BufReader::new(stream);
        for _ in 0..3 {
            let answer = read_message(&mut stream).expect("an answer");
            let id = answer.header("call-id").expect("it bears an id").to_owned();
            told.send((id, String::from_utf8(answer.body).expect("text"))).expect("the test waits");
        }
    });
    run(async {
        let (_server, own, _) = noting();
        address_of.send(own).expect("the caller waits");
        while !caller.is_finished() {
            tokio::task::yield_now().await;
        }
    });
    caller.join().expect("no panic");
    let told: Vec<_> = tell.into_iter().collect();
    let wanted = ["1", "2", "3"].map(|id| (id.to_owned(), format!("\"/{id}\"")));
    assert_eq!(told, wanted);
}

/// Draws of a seed, each below a bound.
struct Draws(u64);

impl Draws {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }
}

/// What a link does to one call and its answer.
fn pass(link: &mut BufReader<TcpStream>, behind: SocketAddr, draws: &mut Draws) -> Option<()> {
    let mut server = BufReader::new(TcpStream::connect(behind).expect("it listens"));
    let mut last = Vec::new();
    loop {
        let call = read_message(link)?;
        let path = call.start.split(' ').nth(1)?;
        let id = call.header("call-id")?;
        let what = draws.below(12);
        if what == 0 {
            // Read, and never passed on.
            reset(link.get_ref());
            return None;
        }
        let text = format!("POST {path} HTTP/1.1\r\nhost: h\r\ncall-id: {id}\r\ncontent-length: 0\r\n\r\n");
        write(&mut server, text.as_bytes());
        let body = read_message(&mut server)?.body;
        let answer = answered(&call, &String::from_utf8(body).ok()?);
        match what {
            1 => reset(link.get_ref()),
            2 => write(link, &answer[..answer.len() / 2]),
            3 => write(link, &answer[..answer.len() - 1]),
            // The one before takes the place of this one.
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
        // The server has a thread and a runtime of its own, as a process would.
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
                let _server = serve(at, handler).expect("it listens");
                address_of.send(at).expect("the test waits");
                let _ = stopped.await;
            });
        });
        let behind = address.recv().expect("it listens");
        let link = Scripted::start(move |stream, number| {
            // What it does depends on the seed and the connection alone.
            pass(stream, behind, &mut Draws(seed * 1_000 + number as u64));
        });
        let (to, mut own, mut none) = (link.address, 0, 0);
        run(async {
            let calls = RpcClient::default();
            for round in 0..20 {
                let asked: Vec<_> = (0..5)
                    .map(|number| {
                        let (calls, path) = (calls.clone(), format!("/{round}/{number}"));
                        tokio::task::spawn_local(async move {
                            let answer: Result<String, RpcError> = call(&calls, to, &path).await;
                            (path, answer)
                        })
                    })
                    .collect();
                for asked in asked {
                    match asked.await.expect("no panic") {
                        (path, Ok(answer)) => {
                            assert_eq!(answer, path, "seed {seed}");
                            own += 1;
                        }
                        (_, Err(_)) => none += 1,
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
        assert_eq!(runs.len(), all, "seed {seed}: none is sent again");
        assert!(own > 20 && none > 5, "seed {seed}: {own} answered, {none} not");
    }
}
