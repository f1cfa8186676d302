//! A driver with one server, and the parts of scripted servers.

use bytes::Bytes;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, Method, StatusCode};
use ivygate_gateway::{Effect, Gateway, Outcome, Plan, RequestClass, RetryBudget, Settings};
use ivygate_runtime::{
    ClientRequest, Clock, Driver, EchoPolicy, FinalResponse, Head, ListedServer, ListedServerState,
    MemoryAccount, OutgoingRequest, RequestBody, ResponsePolicy, ServerListUpdate, Upstream, UpstreamLimits,
};
use ivygate_test_servers::{read_message, Message as ReceivedRequest};
use ivygate_time::Millis;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;

const ATTEMPT_ID: HeaderName = HeaderName::from_static("ivygate-attempt-id");
const SEAL: &str = "ivygate-server-seal";
const NOT_RUN: &str = "ivygate-not-run";

fn classify(status: StatusCode, headers: &HeaderMap) -> Outcome {
    if headers.contains_key(NOT_RUN) {
        Outcome::Rejected
    } else if status == StatusCode::MISDIRECTED_REQUEST {
        Outcome::ConnectFailed
    } else if status.is_success() && !headers.contains_key(SEAL) {
        Outcome::Unusable
    } else if status.is_server_error() {
        Outcome::Error
    } else {
        Outcome::Ok
    }
}

/// Creates a driver with one server.
pub fn driver(server: SocketAddr) -> Rc<Driver> {
    let class = |name: &str, effect| RequestClass {
        name: name.to_owned(),
        latency_target: 5_000.0,
        deadline: 20_000.0,
        value: 1.0,
        late_value: 0.5,
        effect,
        initial_work: None,
        key_window: 0.0,
    };
    let plan = Plan::unlimited("all");
    let settings = Settings {
        gateways: 1,
        rank: 0,
        zone: "north".to_owned(),
        classes: vec![class("once", Effect::Unsafe), class("often", Effect::Safe)],
        plans: vec![plan],
        max_attempts: 5,
        allow_hedging: true,
        allow_health_checks: true,
        allow_trial_requests: true,
        retry_budget: RetryBudget { ratio: 1.0, burst: 100.0, counts_never_run: true },
        allow_cancellation: true,
        subscribe_to_list: false,
        max_retry_after: Some(5_000.0),
        meter_period: None,
        cross_zone_cost: 0.0,
        slow_start_capacity: 1.0,
        slow_start_duration: 0.0,
        overload_factor: 2.0,
        overload_window: 1_000.0,
    };
    let limits = UpstreamLimits {
        max_connections: 100,
        connect_timeout: Duration::from_secs(5),
        idle_timeout: Duration::from_secs(60),
        max_idle_per_server: 4,
        min_idle_time: Duration::from_millis(1),
        max_buffer_bytes: 64 << 10,
    };
    let policy = EchoPolicy {
        echo_header: ATTEMPT_ID,
        max_buffered_bytes: 1 << 20,
        window_bytes: 1 << 16,
        stall_timeout: Duration::from_secs(5),
        memory: MemoryAccount::unlimited(),
        classify,
    };
    let upstream = Upstream::new(limits, ResponsePolicy::Echo(policy));
    let gateway = Gateway::new(settings, 7).expect("valid settings");
    let driver = Driver::new(gateway, Clock::new(), upstream);
    let target = ListedServer {
        uid: "i-1".to_owned(),
        endpoint: Some(server),
        az: "north".to_owned(),
        pod_group: 0,
        state: ListedServerState::Serving,
        capacity_hint: 8.0,
        boot_ms: 0.0,
        distance_cost: 0.0,
        slow_start: None,
    };
    driver.update_servers(ServerListUpdate { rev: 1, all: true, targets: vec![target] });
    tokio::task::spawn_local(driver.clone().run_timers());
    driver
}

/// Sends a request and returns its final response.
pub async fn send(driver: &Rc<Driver>, class: &str, id: &str) -> FinalResponse {
    send_with_timeout(driver, class, id, 10_000.0).await
}

/// Sends a request of a client that waits for `timeout`.
pub async fn send_with_timeout(driver: &Rc<Driver>, class: &str, id: &str, timeout: Millis) -> FinalResponse {
    send_body(driver, class, id, Bytes::from_static(b"body"), timeout).await
}

/// Sends a request with a body, of a client that waits for `timeout`.
pub async fn send_body(
    driver: &Rc<Driver>,
    class: &str,
    id: &str,
    body: Bytes,
    timeout: Millis,
) -> FinalResponse {
    let mut headers = HeaderMap::new();
    headers.insert("host", HeaderValue::from_static("h"));
    headers.insert(ATTEMPT_ID, HeaderValue::from_str(id).expect("a value"));
    let head = Head {
        id: id.into(),
        class: class.into(),
        plan: "all".into(),
        customer: "".into(),
        units: 1.0,
        gateways: 1,
        timeout,
        at_most_once: class == "once",
        zones: None,
        max_attempts: Some(5),
    };
    let outgoing = OutgoingRequest {
        method: Method::POST,
        uri: "/a/b".parse().expect("a path"),
        headers,
        body: Rc::new(RequestBody::buffered(body)),
        set_attempt_headers: None,
    };
    let deadline = driver.now().plus_millis(timeout);
    let response = driver.submit(ClientRequest { head, deadline, outgoing });
    response.expect("a new id").await.expect("a response")
}

/// The ids of the requests that a server ran, in order.
#[derive(Clone, Default)]
pub struct Runs(Arc<Mutex<Vec<String>>>);

impl Runs {
    /// Adds a request that runs.
    pub fn add(&self, id: &str) {
        self.0.lock().expect("no panic").push(id.to_owned());
    }

    /// Returns the number of times that a request ran.
    pub fn count(&self, id: &str) -> usize {
        self.0.lock().expect("no panic").iter().filter(|ran| *ran == id).count()
    }
}

/// Returns the attempt ID of a request.
pub fn attempt_id(request: &ReceivedRequest) -> String {
    request.header(ATTEMPT_ID.as_str()).expect("an id").to_owned()
}

/// Returns a complete response to the request with this id; the body is the id.
pub fn response(status: &str, id: &str, more_headers: &str) -> Vec<u8> {
    let echo = if id.is_empty() { String::new() } else { format!("Ivygate-Attempt-Id: {id}\r\n") };
    let length = id.len();
    format!("HTTP/1.1 {status}\r\n{echo}{more_headers}Content-Length: {length}\r\n\r\n{id}").into_bytes()
}

pub const SEAL_HEADER: &str = "Ivygate-Server-Seal: s\r\n";

/// Runs all requests on a connection and responds to them.
pub fn serve(stream: &mut BufReader<TcpStream>, runs: &Runs) {
    while let Some(request) = read_message(stream) {
        let id = attempt_id(&request);
        runs.add(&id);
        if stream.get_mut().write_all(&response("200 OK", &id, SEAL_HEADER)).is_err() {
            return;
        }
    }
}

/// Returns the status of a response, and the id of the request that it belongs to.
pub fn status_and_id(response: &FinalResponse) -> (u16, String) {
    match response {
        FinalResponse::Buffered(response) => {
            let echo = response.headers().get(ATTEMPT_ID).map_or("", |id| id.to_str().expect("text"));
            assert_eq!(response.body(), echo, "the body belongs to that request");
            (response.status().as_u16(), echo.to_owned())
        }
        FinalResponse::Refused(..) => (503, String::new()),
        FinalResponse::Failed => (502, String::new()),
        FinalResponse::TimedOut => (504, String::new()),
        FinalResponse::Served(..) | FinalResponse::Streamed(_) => panic!("responses are buffered"),
    }
}
