//! Operators' orders on zones over real sockets, with a stub of the machine's store.

use ivygate_cluster::{StoreTime, ZoneOrder};
use ivygate_rpc::{json_response, serve, BootstrapSettings, Handler, RpcResponse};
use ivygate_test_servers::{wait_until, Client, Message};
use ivygate_time::Timestamp;
use serde_json::json;
use std::io::BufReader;
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const REGISTRY_PORT: u16 = 7741;
const STORE_PORT: u16 = 7742;
/// Time after which operators give an order up.
const OPERATOR_TIMEOUT_MS: f64 = 1_000.0;
/// Time within which an order that was sent just after an answer is surely not redirected.
const MAX_PROMPT_TIME: Duration = Duration::from_millis(200);
/// Clock of the stub store, which stands still.
const STORE_CLOCK: StoreTime = StoreTime { run: 7, ms: 5_000.0 };

/// Orders that the stub store has received.
type Orders = Arc<Mutex<Vec<(String, ZoneOrder)>>>;

/// Returns a loopback address of its own for each registry, because its ports are fixed.
fn own_address() -> Ipv4Addr {
    static NUMBER: AtomicUsize = AtomicUsize::new(1);
    let number = NUMBER.fetch_add(1, Ordering::SeqCst).to_le_bytes()[0];
    let [low, high, ..] = std::process::id().to_le_bytes();
    Ipv4Addr::new(127, 128 | high & 63, low, number)
}

fn stub_store(ip: Ipv4Addr, orders: Orders) {
    let handler: Handler = Rc::new(move |request| {
        let response: RpcResponse = match request.path.as_str() {
            "/clock" => json_response(Ok(STORE_CLOCK)),
            path if path.starts_with("/drain/") => {
                let order = request.json().expect("an order with its deadline");
                orders.lock().expect("no panic").push((path.to_owned(), order));
                json_response(Ok(()))
            }
            _ => json_response(Ok(json!({}))),
        };
        Box::pin(std::future::ready(response))
    });
    // The server runs until the end of the test.
    let _ = serve(SocketAddr::from((ip, STORE_PORT)), handler).expect("it listens");
}

/// Starts a registry with a stub store. Returns its address for operators and the orders that reach the store.
fn start_registry() -> (SocketAddr, Orders) {
    let ip = own_address();
    let ctl = SocketAddr::from((ip, 7800));
    let text = json!({"hostname": "core-1", "ip": ip, "az": "north", "region": "r", "zones": {"north": "r"},
        "portRange": [7740, 7742], "listen": {"ctl": ctl}, "seeds": [ctl]});
    let settings = BootstrapSettings::parse(&text.to_string()).expect("settings are valid");
    let orders = Orders::default();
    let received = orders.clone();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        tokio::task::LocalSet::new().block_on(&runtime, async {
            stub_store(ip, received);
            ivygate_registry::run(settings).await.expect("it runs");
        });
    });
    wait_until("the registry listens", || TcpStream::connect((ip, REGISTRY_PORT)).is_ok());
    (ctl, orders)
}

fn connect(address: SocketAddr) -> Client {
    Client { stream: BufReader::new(TcpStream::connect(address).expect("it listens")) }
}

fn order(client: &mut Client, path: &str) -> Message {
    client.ask(&format!("POST {path} HTTP/1.1\r\nHost: core\r\nContent-Length: 0\r\n\r\n"))
}

/// Gives an order on a new connection and follows a redirect twice, as operators do. Returns the last status.
fn order_as_operators_do(ctl: SocketAddr, path: &str) -> u16 {
    let mut status = order(&mut connect(ctl), path).status();
    for _ in 0..2 {
        if status == 307 {
            status = order(&mut connect(ctl), path).status();
        }
    }
    status
}

#[test]
fn order_reaches_the_store_with_a_deadline_before_its_operator_gives_it_up() {
    let (ctl, orders) = start_registry();
    for path in ["/drain/z/begin", "/drain/z/finish"] {
        assert_eq!(order_as_operators_do(ctl, path), 200);
        let (at_store, order) = orders.lock().expect("no panic").pop().expect("an order");
        assert_eq!(at_store, path);
        let deadline = order.deadline.in_run(STORE_CLOCK.run).expect("on the store's clock");
        let lifetime_ms = deadline.millis_since(Timestamp::from_millis(STORE_CLOCK.ms));
        assert!((1.0..OPERATOR_TIMEOUT_MS).contains(&lifetime_ms), "{lifetime_ms}");
    }
}

#[test]
fn order_on_a_connection_that_was_just_used_is_carried_out() {
    let (ctl, _) = start_registry();
    let mut client = connect(ctl);
    let mut previous_answer_at = Instant::now();
    for path in ["/drain/z/begin", "/drain/z/finish", "/drain/z/begin"] {
        let status = order(&mut client, path).status();
        // A machine that is too busy for that may have held the order up.
        if previous_answer_at.elapsed() >= MAX_PROMPT_TIME {
            client = connect(ctl);
        } else {
            assert_eq!(status, 200);
        }
        previous_answer_at = Instant::now();
    }
}

/// Guards against carrying out an order that a link held up on a connection that had been used before (review/2).
#[test]
fn order_that_may_have_been_held_up_is_redirected_to_a_new_connection() {
    let (ctl, orders) = start_registry();
    let mut client = connect(ctl);
    assert_eq!(client.ask("GET /status HTTP/1.1\r\nHost: core\r\n\r\n").status(), 200);
    std::thread::sleep(Duration::from_millis(1_200));
    orders.lock().expect("no panic").clear();
    let redirect = order(&mut client, "/drain/z/finish");
    assert_eq!(redirect.status(), 307);
    let location = format!("http://{ctl}/drain/z/finish");
    assert_eq!(redirect.header("location"), Some(location.as_str()));
    assert_eq!(redirect.header("connection"), Some("close"));
    assert!(orders.lock().expect("no panic").is_empty(), "the store must not get the order");
    assert_eq!(order_as_operators_do(ctl, "/drain/z/finish"), 200);
}
