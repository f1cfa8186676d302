//! The time after which a request was sent, as the server knows it, over real sockets.

use ivygate_rpc::{json_response, serve_with, Handler, RpcServerOptions, TurnRecorder};
use ivygate_test_servers::Client;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::{Duration, Instant};

/// Time for which the server stands still.
const STALL: Duration = Duration::from_millis(1_500);
/// Greatest age of a request that was sent just now: two turns of the event loop, on a very busy machine.
const MAX_FRESH_AGE: Duration = Duration::from_millis(2_000);

/// Starts a server that answers with the age of each request in milliseconds; `/stall` stands still before its answer. Returns
/// its address and what tells that it stands still.
fn start_server() -> (SocketAddr, Receiver<()>) {
    let (address_sender, address) = channel();
    let (stalled_sender, stalled) = channel();
    std::thread::spawn(move || run_server(&address_sender, stalled_sender));
    (address.recv().expect("an address"), stalled)
}

fn run_server(started: &Sender<SocketAddr>, stalled: Sender<()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let handler: Handler = Rc::new(move |request| {
            if request.path == "/stall" {
                // The test may have ended.
                let _ = stalled.send(());
                std::thread::sleep(STALL);
            }
            let age_ms = request.sent_after.elapsed().as_secs_f64() * 1_000.0;
            Box::pin(std::future::ready(json_response(Ok(age_ms))))
        });
        let free = TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr());
        let address = free.expect("a port");
        let options = RpcServerOptions { turns: Some(TurnRecorder::start()), ..RpcServerOptions::default() };
        let _server = serve_with(address, handler, options).expect("it listens");
        started.send(address).expect("the test waits");
        std::future::pending::<()>().await;
    });
}

fn connect(address: SocketAddr) -> Client {
    Client { stream: BufReader::new(TcpStream::connect(address).expect("it listens")) }
}

fn age_of_request(client: &mut Client, path: &str) -> Duration {
    let answer = client.ask(&format!("GET {path} HTTP/1.1\r\nHost: h\r\n\r\n"));
    let age_ms: f64 = serde_json::from_slice(&answer.body).expect("an age");
    Duration::from_secs_f64(age_ms / 1_000.0)
}

#[test]
fn request_on_a_new_connection_is_fresh() {
    let (server, _stalled) = start_server();
    // Later turns of the event loop bound the age more tightly than the server's start.
    std::thread::sleep(MAX_FRESH_AGE + Duration::from_millis(500));
    assert!(age_of_request(&mut connect(server), "/") < MAX_FRESH_AGE);
}

#[test]
fn request_on_a_used_connection_was_sent_after_the_previous_answer() {
    let (server, _stalled) = start_server();
    let mut client = connect(server);
    age_of_request(&mut client, "/");
    assert!(age_of_request(&mut client, "/") < MAX_FRESH_AGE);
    std::thread::sleep(Duration::from_millis(700));
    assert!(age_of_request(&mut client, "/") > Duration::from_millis(690));
}

/// Guards against taking a request for new that waited, with its connection, while the process stood still (review/6).
#[test]
fn time_in_which_the_server_stood_still_counts_towards_the_age() {
    let (server, stalled) = start_server();
    let stalling = std::thread::spawn(move || age_of_request(&mut connect(server), "/stall"));
    stalled.recv().expect("the server stands still");
    let stalled_at = Instant::now();
    let mut client = connect(server);
    let waited_from = stalled_at.elapsed();
    let age = age_of_request(&mut client, "/");
    assert!(age >= STALL.saturating_sub(waited_from), "{age:?}");
    stalling.join().expect("it is answered");
}
