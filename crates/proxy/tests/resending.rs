//! End-to-end tests of the proxy over real sockets, with a stub registry that provides routes and servers. They check which
//! response a client gets, how often a server executes a request, and that a status never guarantees too much.

use ivygate_cluster::{PullRequest, StateReplica};
use ivygate_control_state::{Item, Table};
use ivygate_registry::{HeartbeatResponse, ServerRecord};
use ivygate_rpc::{json_response, serve, BootstrapSettings, ErrorKind, Handler, RpcError};
use ivygate_test_servers::{read_message, reset_on_close, wait_until, Client, Message, ScriptedServer};
use serde_json::json;
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

const SEALED: &str = "Ivygate-Server-Seal: s.1\r\n";

/// Returns a loopback address of its own for each proxy, because the ports of the proxy and its registry are fixed.
fn own_address() -> Ipv4Addr {
    static NUMBER: AtomicUsize = AtomicUsize::new(1);
    let number = NUMBER.fetch_add(1, Ordering::SeqCst).to_le_bytes()[0];
    let [low, high, ..] = std::process::id().to_le_bytes();
    Ipv4Addr::new(127, 64 | high & 63, low, number)
}

fn item(table: Table, name: &str, body: serde_json::Value) -> Arc<Item> {
    Arc::new(Item::new(table, name, 1, Some(body)))
}

/// Returns the control state of the stub registry: routes `/once/` and `/often/` of one service with one server.
fn control_state(server: SocketAddr) -> Vec<Arc<Item>> {
    let route = |kind: &str, prefix: &str| {
        json!({"vhost": "h.example", "pathPrefix": prefix, "kind": kind, "backend": "s", "tries": 4,
               "timeoutS": 20, "targetS": 5, "public": true})
    };
    let server = ServerRecord {
        backend: "s".to_owned(),
        address: server,
        zone: "north".to_owned(),
        capacity: 8.0,
        draining: false,
        slow_start_s: 0.0,
    };
    vec![
        item(Table::Backends, "s", json!({})),
        item(Table::Routes, "once", route("mutating", "/once/")),
        item(Table::Routes, "often", route("idempotent", "/often/")),
        item(Table::Servers, "i-1", serde_json::to_value(server).expect("record serializes")),
    ]
}

/// Starts a stub registry that serves the given items.
fn registry(ip: Ipv4Addr, items: Vec<Arc<Item>>) {
    let replica = StateReplica::new(7);
    replica.merge(items);
    let handler: Handler = std::rc::Rc::new(move |incoming| {
        let replica = replica.clone();
        Box::pin(async move {
            replica.record_contact(0.0);
            match incoming.path.as_str() {
                "/beat" => json_response(Ok(HeartbeatResponse { version: 1, registries: vec![ip] })),
                "/news" => {
                    let pull: PullRequest = serde_json::from_slice(&incoming.body).expect("a pull");
                    json_response(Ok(replica.handle_pull(pull).await))
                }
                _ => json_response::<()>(Err(RpcError::new(
                    ErrorKind::NotReady,
                    "not served by the stub registry",
                ))),
            }
        })
    });
    // The server runs until the end of the test.
    let _ = serve(SocketAddr::from((ip, 7741)), handler).expect("it listens");
}

/// Starts a proxy in front of a server and returns its address for clients.
fn proxy(server: SocketAddr) -> SocketAddr {
    let ip = own_address();
    let http = SocketAddr::from((ip, 7800));
    let text = json!({"hostname": "edge-1", "ip": ip, "az": "north", "region": "r",
        "zones": {"north": "r"}, "portRange": [7740, 7742], "listen": {"http": http},
        "seeds": [SocketAddr::from((ip, 7801))], "bounds": ["retryRatio=1.0", "retryExtra=100"]});
    let settings = BootstrapSettings::parse(&text.to_string()).expect("settings are valid");
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        tokio::task::LocalSet::new().block_on(&runtime, async {
            registry(ip, control_state(server));
            ivygate_proxy::run(settings).await.expect("it runs");
        });
    });
    wait_until("the proxy knows its routes", || {
        let Ok(stream) = TcpStream::connect(http) else { return false };
        let mut client = Client { stream: BufReader::new(stream) };
        client.ask("GET /no-route HTTP/1.1\r\nHost: h.example\r\n\r\n").status() == 404
    });
    http
}

fn client(proxy: SocketAddr) -> Client {
    Client { stream: BufReader::new(TcpStream::connect(proxy).expect("it listens")) }
}

fn request(route: &str, id: &str) -> String {
    format!(
        "POST /{route}/x HTTP/1.1\r\nHost: h.example\r\nIvygate-Attempt-Id: {id}\r\n\
         Ivygate-Deadline-Ms: 15000\r\nContent-Length: 2\r\n\r\nhi"
    )
}

fn id(message: &Message) -> String {
    message.header("ivygate-attempt-id").unwrap_or_default().to_owned()
}

/// Encodes a complete response of a server with the ID as its body.
fn encode_response(status: &str, id: &str, more: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\nIvygate-Attempt-Id: {id}\r\n{more}Content-Length: {}\r\n\r\n{id}", id.len())
        .into_bytes()
}

fn write(stream: &mut BufReader<TcpStream>, bytes: &[u8]) {
    // A failed write shows in the result of the test.
    let _ = stream.get_mut().write_all(bytes);
}

/// IDs of the executed requests.
#[derive(Clone, Default)]
struct Runs(Arc<Mutex<Vec<String>>>);

impl Runs {
    fn of(&self, id: &str) -> usize {
        self.0.lock().expect("no panic").iter().filter(|ran| *ran == id).count()
    }
}

/// Bytes that a server writes, and whether it then resets the connection.
type Reply = (Vec<u8>, bool);

/// Starts a server that executes every request and responds according to a script. The script gets the ID and the number of
/// earlier requests.
fn server(script: impl Fn(&str, usize) -> Reply + Send + Sync + 'static) -> (ScriptedServer, Runs) {
    let runs = Runs::default();
    let (ran, count) = (runs.clone(), AtomicUsize::new(0));
    let server = ScriptedServer::start(move |stream, _| {
        while let Some(request) = read_message(stream) {
            let id = id(&request);
            ran.0.lock().expect("no panic").push(id.clone());
            let (bytes, breaks) = script(&id, count.fetch_add(1, Ordering::SeqCst));
            write(stream, &bytes);
            if breaks {
                return reset_on_close(stream.get_ref());
            }
        }
    });
    (server, runs)
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
