//! Test doubles of the program's peers: HTTP clients, application servers and a discovery server. All of
//! them use loopback addresses and ports that the system assigns.
//!
//! Used by tests, benchmarks and the demonstration only; it must not depend on any other package of this workspace.

#![allow(missing_docs, reason = "the names of the test helpers are self-explanatory")]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time limit of [`wait_until`]. No test depends on how much of it passes.
pub const CONDITION_TIMEOUT: Duration = Duration::from_secs(20);

/// Polls a condition until it holds.
///
/// # Panics
///
/// If the condition does not hold within [`CONDITION_TIMEOUT`].
pub fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + CONDITION_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting until {description}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// An HTTP message as received: its start line, its headers with names in lower case, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// Returns true for a status that tells the client that a retry is safe.
    pub fn is_refusal(&self) -> bool {
        matches!(self.status(), 429 | 503)
    }

    /// Returns true for an error status that leaves open whether the request took effect.
    pub fn is_failure(&self) -> bool {
        self.status() >= 400 && !self.is_refusal()
    }
}

/// Reads one message; `None` if the connection ends or fails before the message is complete.
pub fn read_message(stream: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = read_head(stream)?;
    if message.header("transfer-encoding").is_some() {
        return read_chunks(stream, &mut message).then_some(message);
    }
    let length = message.header("content-length").map_or(0, |l| l.parse().expect("a valid Content-Length"));
    message.body = vec![0; length];
    stream.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// Reads a chunked body and appends its trailers to the headers. Returns false if the body is incomplete.
fn read_chunks(stream: &mut BufReader<TcpStream>, message: &mut Message) -> bool {
    let line = |stream: &mut BufReader<TcpStream>| {
        let mut line = String::new();
        let complete = stream.read_line(&mut line).is_ok() && line.ends_with('\n');
        complete.then(|| line.trim_end().to_owned())
    };
    loop {
        let Some(size) = line(stream) else { return false };
        let size =
            usize::from_str_radix(size.split(';').next().unwrap_or(""), 16).expect("a valid chunk size");
        if size == 0 {
            break;
        }
        let start = message.body.len();
        message.body.resize(start + size, 0);
        if stream.read_exact(&mut message.body[start..]).is_err() || line(stream).is_none() {
            return false;
        }
    }
    loop {
        match line(stream) {
            None => return false,
            Some(trailer) if trailer.is_empty() => return true,
            Some(trailer) => {
                let (name, value) = trailer.split_once(':').expect("a valid trailer field");
                message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
    }
}

/// Reads the start line and headers only, as of the response to a HEAD request.
pub fn read_head(stream: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).ok()? == 0 || !line.ends_with('\n') {
            return None;
        }
        let line = line.trim_end();
        if message.start.is_empty() {
            message.start = line.to_owned();
        } else if line.is_empty() {
            return Some(message);
        } else {
            let (name, value) = line.split_once(':')?;
            message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// A TCP server that runs a script for each connection; connections are numbered from 0.
#[derive(Clone)]
pub struct ScriptedServer {
    pub address: SocketAddr,
    /// Number of accepted connections.
    pub accepted: Arc<AtomicUsize>,
    /// Number of connections whose script has returned.
    pub ended: Arc<AtomicUsize>,
}

impl ScriptedServer {
    pub fn start(script: impl Fn(&mut BufReader<TcpStream>, usize) + Send + Sync + 'static) -> Self {
        Self::on(TcpListener::bind("127.0.0.1:0").expect("a port"), script)
    }

    /// Serves on a listener created by the test.
    pub fn on(
        listener: TcpListener,
        script: impl Fn(&mut BufReader<TcpStream>, usize) + Send + Sync + 'static,
    ) -> Self {
        let address = listener.local_addr().expect("an address");
        let app = Self { address, accepted: Arc::default(), ended: Arc::default() };
        let (served, script) = (app.clone(), Arc::new(script));
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (app, script) = (served.clone(), script.clone());
                let number = app.accepted.fetch_add(1, Ordering::SeqCst);
                std::thread::spawn(move || {
                    script(&mut BufReader::new(stream), number);
                    app.ended.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        app
    }

    pub fn accepted(&self) -> usize {
        self.accepted.load(Ordering::SeqCst)
    }
}

/// Makes closing the connection send a reset instead of an orderly shutdown, by a linger time of zero.
pub fn reset_on_close(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Reaction of an application server to a request.
pub enum Reply {
    /// Responds with this status, additional headers and body.
    Answer(&'static str, &'static str, Vec<u8>),
    /// Writes these bytes and closes.
    Bytes(&'static [u8]),
    /// Writes these bytes and reads the next request.
    Raw(Vec<u8>),
    /// Sends nothing and waits until the client closes the connection.
    Silence,
    /// Closes the connection without a response.
    Close,
    /// Responds with 200 after this delay.
    Slow(Duration),
}

impl Reply {
    pub fn ok(body: &str) -> Self {
        Reply::Answer("200 OK", "", body.as_bytes().to_vec())
    }
}

/// An application server that records its requests and counts its connections.
#[derive(Clone)]
pub struct AppServer {
    pub address: SocketAddr,
    pub requests: Arc<Mutex<Vec<Message>>>,
    pub accepted: Arc<AtomicUsize>,
    /// Number of connections that are open now.
    pub open: Arc<AtomicUsize>,
}

impl AppServer {
    pub fn start(reply: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let app = Self {
            address: listener.local_addr().expect("an address"),
            requests: Arc::default(),
            accepted: Arc::default(),
            open: Arc::default(),
        };
        let (served, reply) = (app.clone(), Arc::new(reply));
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (app, reply) = (served.clone(), reply.clone());
                app.accepted.fetch_add(1, Ordering::SeqCst);
                app.open.fetch_add(1, Ordering::SeqCst);
                std::thread::spawn(move || {
                    app.serve(stream, &*reply);
                    app.open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        app
    }

    fn serve(&self, stream: TcpStream, reply: &dyn Fn(&Message) -> Reply) {
        let mut stream = BufReader::new(stream);
        let peer = stream.get_ref().peer_addr().map(|peer| peer.to_string()).unwrap_or_default();
        while let Some(mut request) = read_message(&mut stream) {
            // Lets tests tell the connections apart.
            request.headers.push(("peer".to_owned(), peer.clone()));
            self.requests.lock().expect("no panic").push(request.clone());
            let (status, headers, body) = match reply(&request) {
                Reply::Answer(status, headers, body) => (status, headers, body),
                Reply::Bytes(bytes) => {
                    let _ = stream.get_mut().write_all(bytes);
                    return;
                }
                Reply::Raw(bytes) => {
                    if stream.get_mut().write_all(&bytes).is_err() {
                        return;
                    }
                    continue;
                }
                Reply::Silence => {
                    let _ = stream.read(&mut [0]);
                    return;
                }
                Reply::Close => return,
                Reply::Slow(time) => {
                    std::thread::sleep(time);
                    ("200 OK", "", b"late".to_vec())
                }
            };
            let head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n{headers}\r\n", body.len());
            if stream.get_mut().write_all(&[head.as_bytes(), &body].concat()).is_err() {
                return;
            }
        }
    }

    pub fn request_count(&self) -> usize {
        self.requests.lock().expect("no panic").len()
    }

    pub fn open(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }
}

/// Returns one entry of the discovery service's list as JSON.
pub fn target(uid: &str, address: SocketAddr, zone: &str, state: &str) -> String {
    format!(
        r#"{{"uid":"{uid}","endpoint":"{address}","az":"{zone}","model":"m","pod_group":0,"state":"{state}","capacity_hint":1.0,"boot_ms":0}}"#
    )
}

/// Returns a list of entries as JSON; `all` marks a full list rather than an update.
pub fn listing(rev: u64, all: bool, targets: &[String]) -> String {
    format!(r#"{{"rev":{rev},"all":{all},"targets":[{}]}}"#, targets.join(","))
}

/// A discovery server that serves a list set by the test and pushes lines to open watches.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    list: Arc<Mutex<String>>,
    watches: Arc<Mutex<Vec<TcpStream>>>,
    /// Number of requests for the list.
    pub lists: Arc<AtomicUsize>,
    /// Number of watches opened so far.
    pub watched: Arc<AtomicUsize>,
}

impl Discovery {
    pub fn start(list: String) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let discovery = Self {
            address: listener.local_addr().expect("an address"),
            list: Arc::new(Mutex::new(list)),
            watches: Arc::default(),
            lists: Arc::default(),
            watched: Arc::default(),
        };
        let served = discovery.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                served.answer(stream);
            }
        });
        discovery
    }

    fn answer(&self, stream: TcpStream) {
        let mut stream = BufReader::new(stream);
        let Some(request) = read_message(&mut stream) else { return };
        if request.start.contains("stream=1") {
            let _ = stream
                .get_mut()
                .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
            self.watches.lock().expect("no panic").push(stream.into_inner());
            self.watched.fetch_add(1, Ordering::SeqCst);
        } else {
            self.lists.fetch_add(1, Ordering::SeqCst);
            let list = self.list.lock().expect("no panic").clone();
            let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
            let _ = stream.get_mut().write_all(text.as_bytes());
        }
    }

    pub fn set(&self, list: String) {
        *self.list.lock().expect("no panic") = list;
    }

    /// Writes a line to all watches, after waiting for at least one.
    pub fn push(&self, line: &str) {
        wait_until("discovery is watched", || !self.watches.lock().expect("no panic").is_empty());
        for watch in self.watches.lock().expect("no panic").iter_mut() {
            let _ = watch.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes());
        }
    }

    /// Closes the connections of all watches.
    pub fn close_watches(&self) {
        self.watches.lock().expect("no panic").clear();
    }
}

/// The settings document under which the tests run.
pub const SETTINGS: &str = r#"{
    "allowed": {"cancel": true, "connectTimeoutMs": 1000, "keepaliveMs": 15000, "maxRetryAfterMs": 2000,
                "mayProbe": false, "mostTries": 5, "retryAfter": true, "secondCopies": false},
    "az": "north", "balancers": 1, "discovery": "automatic", "rank": 0, "prices": {},
    "classes": [
        {"name": "read", "aimMs": 8000, "deadlineMs": 20000, "worth": 2, "lateWorth": 0.2, "effect": "safe"},
        {"name": "edit", "aimMs": 8000, "deadlineMs": 20000, "worth": 3, "effect": "keyed",
         "keyScope": "zone", "windowMs": 15000},
        {"name": "order", "aimMs": 8000, "deadlineMs": 20000, "worth": 5, "effect": "unsafe"}],
    "contracts": [{"name": "large", "refill": 1000, "mostAtOnce": 10000, "worthFactor": 1},
                  {"name": "small", "refill": 0.001, "mostAtOnce": 1, "worthFactor": 1, "excessCost": 1}],
    "domain": {"unitsTop": 4, "usePeriodMs": 1000},
    "rules": {"coldFrom": 0.2, "warmAfterMs": 9000, "fallMultiple": 2, "overloadForMs": 1000}}"#;

/// A client connection.
pub struct Client {
    pub stream: BufReader<TcpStream>,
}

impl Client {
    pub fn write(&mut self, bytes: &[u8]) {
        let _ = self.stream.get_mut().write_all(bytes);
    }

    pub fn read(&mut self) -> Option<Message> {
        read_message(&mut self.stream)
    }

    pub fn ask(&mut self, request: &str) -> Message {
        self.write(request.as_bytes());
        self.read().unwrap_or_else(|| panic!("no response to {request}"))
    }
}

/// Returns a request of a class with an id; unsafe and keyed requests carry a small body.
pub fn request(class: &str, id: &str) -> String {
    request_with(class, id, "large", "15000m")
}

pub fn request_with(class: &str, id: &str, plan: &str, deadline: &str) -> String {
    let (method, key, body) = match class {
        "read" => ("GET", "", ""),
        "edit" => ("POST", "Idempotency-Key: k1\r\n", "body"),
        _ => ("POST", "", "body"),
    };
    let length = if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    format!(
        "{method} /api?q=1 HTTP/1.1\r\nHost: service.internal\r\nReq-Id: {id}\r\nReq-Kind: {class}\r\nApi-Plan: {plan}\r\n\
         Cookie: customer=00000000b4d65521\r\nReq-Deadline: {deadline}\r\n{key}{length}\
         Api-Terms: units=1,spread=1,first=0\r\n\r\n{body}"
    )
}
