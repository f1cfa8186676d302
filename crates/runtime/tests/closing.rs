//! Connections are closed only when the client has had its whole response, whatever closes them.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Response, StatusCode};
use ivygate_runtime::{listen, ClientLimits, HttpServer, IncomingRequest, RequestHandler};
use ivygate_test_servers::read_message;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::LocalSet;

/// More than the kernel's buffers of both sides hold.
const RESPONSE_BYTES: usize = 32 << 20;
/// Time for which a slow client doesn't read, longer than each limit below.
const PAUSE: Duration = Duration::from_millis(1_600);
const REQUEST: &str = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

/// Responds with a long body, or rejects a request without reading its body.
struct LongResponses;

impl RequestHandler for LongResponses {
    type Body = Full<Bytes>;

    async fn respond(&self, incoming: IncomingRequest) -> Result<Response<Full<Bytes>>, hyper::Error> {
        if incoming.request.uri().path() == "/rejected" {
            let mut response = Response::new(Full::new(Bytes::from_static(b"no room")));
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            return Ok(response);
        }
        incoming.guard.mark_received();
        Ok(Response::new(Full::new(Bytes::from(vec![b'a'; RESPONSE_BYTES]))))
    }
}

/// A server in a thread of its own.
struct TestServer {
    address: SocketAddr,
    shut_down: Option<oneshot::Sender<()>>,
    ended: mpsc::Receiver<()>,
}

impl TestServer {
    fn start(limits: ClientLimits) -> Self {
        let (address_sender, address) = mpsc::channel();
        let (shut_down, shut_down_receiver) = oneshot::channel();
        let (ended_sender, ended) = mpsc::channel();
        thread::spawn(move || {
            let runtime =
                tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
            LocalSet::new().block_on(&runtime, async {
                let listener = listen("127.0.0.1:0".parse().expect("an address")).expect("it listens");
                address_sender.send(listener.local_addr().expect("an address")).expect("the test waits");
                let server = HttpServer::new(Rc::new(LongResponses), limits);
                let accepting = tokio::task::spawn_local(server.clone().accept(listener));
                let _ = shut_down_receiver.await;
                server.shut_down(accepting).await;
            });
            let _ = ended_sender.send(());
        });
        let address = address.recv().expect("it listens");
        Self { address, shut_down: Some(shut_down), ended }
    }

    fn connect(&self) -> BufReader<TcpStream> {
        let stream = TcpStream::connect(self.address).expect("it listens");
        stream.set_read_timeout(Some(Duration::from_secs(20))).expect("an open socket");
        BufReader::new(stream)
    }
}

fn limits() -> ClientLimits {
    let mut limits = ClientLimits::new(100);
    limits.idle_timeout = Duration::from_millis(200);
    limits.idle_timeout_after_one = Duration::from_millis(200);
    limits
}

fn send(stream: &mut BufReader<TcpStream>, request: &str) {
    stream.get_mut().write_all(request.as_bytes()).expect("an open connection");
}

/// Guards against closing a connection as idle while its answer is being written (LOST, review/3), by the idle time-out.
#[test]
fn response_to_a_slow_client_is_not_cut_by_the_idle_timeout() {
    let server = TestServer::start(limits());
    let mut stream = server.connect();
    send(&mut stream, REQUEST);
    thread::sleep(PAUSE);
    let response = read_message(&mut stream).expect("a whole response");
    assert_eq!(response.body.len(), RESPONSE_BYTES);
}

/// Guards against closing a connection as idle while its answer is being written (LOST, review/3), at a shutdown.
#[test]
fn response_to_a_slow_client_is_not_cut_by_a_shutdown() {
    let mut server = TestServer::start(ClientLimits::new(100));
    let mut stream = server.connect();
    send(&mut stream, REQUEST);
    thread::sleep(Duration::from_millis(100));
    let _ = server.shut_down.take().expect("once").send(());
    thread::sleep(2 * PAUSE);
    assert!(server.ended.try_recv().is_err(), "the server waits for the client");
    let response = read_message(&mut stream).expect("a whole response");
    assert_eq!(response.body.len(), RESPONSE_BYTES);
    server.ended.recv_timeout(Duration::from_secs(5)).expect("the server ends when the response is written");
}

/// Guards against closing a connection as idle while its answer is being written (LOST, review/3), to make room.
#[test]
fn response_to_a_slow_client_is_not_cut_to_make_room() {
    let mut limits = limits();
    limits.max_connections = 8;
    limits.idle_timeout_after_one = Duration::from_secs(60);
    let server = TestServer::start(limits);
    let mut stream = server.connect();
    send(&mut stream, REQUEST);
    thread::sleep(Duration::from_millis(100));
    let _others: Vec<_> = (0..20).map(|_| server.connect()).collect();
    thread::sleep(PAUSE);
    let response = read_message(&mut stream).expect("a whole response");
    assert_eq!(response.body.len(), RESPONSE_BYTES);
}

/// Guards against a client that never reads its answer and holds its connection for good.
#[test]
fn client_that_never_reads_is_disconnected() {
    let mut limits = limits();
    limits.read_stall_timeout = Duration::from_millis(500);
    let server = TestServer::start(limits);
    let mut stream = server.connect();
    send(&mut stream, REQUEST);
    thread::sleep(PAUSE);
    let mut received = 0;
    let mut buffer = vec![0; 1 << 16];
    while let Ok(bytes @ 1..) = stream.read(&mut buffer) {
        received += bytes;
    }
    assert!(received < RESPONSE_BYTES, "the connection was closed before the end");
}

/// Guards against a reset that takes the answer away: a connection closed with unread input resets.
#[test]
fn client_that_is_rejected_in_the_middle_of_its_body_gets_the_answer() {
    let server = TestServer::start(ClientLimits::new(100));
    for _ in 0..20 {
        let mut stream = server.connect();
        send(&mut stream, "POST /rejected HTTP/1.1\r\nHost: h\r\nContent-Length: 4000000\r\n\r\n");
        let part = vec![b'u'; 100_000];
        for _ in 0..40 {
            stream.get_mut().write_all(&part).expect("the server reads on");
            thread::sleep(Duration::from_millis(1));
        }
        let response = read_message(&mut stream).expect("a whole response");
        assert_eq!((response.status(), response.body.as_slice()), (503, b"no room".as_slice()));
    }
}

/// Guards against a reset that takes the end of an answer away, as the client has sent its next request already.
#[test]
fn client_that_pipelines_gets_its_whole_response_at_a_shutdown() {
    let mut server = TestServer::start(ClientLimits::new(100));
    let mut stream = server.connect();
    send(&mut stream, REQUEST);
    thread::sleep(Duration::from_millis(100));
    let _ = server.shut_down.take().expect("once").send(());
    thread::sleep(Duration::from_millis(100));
    send(&mut stream, &REQUEST.repeat(200));
    thread::sleep(PAUSE);
    let response = read_message(&mut stream).expect("a whole response");
    assert_eq!(response.body.len(), RESPONSE_BYTES);
}
