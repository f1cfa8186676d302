//! A proxy in front of a scripted server, with a stub registry that provides routes and servers.

#![allow(dead_code, reason = "each test program uses a part of the stub")]

use ivygate_cluster::{PullRequest, StateReplica};
use ivygate_control_state::{Item, Table};
use ivygate_registry::{HeartbeatResponse, ServerRecord};
use ivygate_rpc::{json_response, serve, BootstrapSettings, ErrorKind, Handler, RpcError};
use ivygate_test_servers::{read_message, reset_on_close, wait_until, Client, Message, ScriptedServer};
use serde_json::json;
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub const SEALED: &str = "Ivygate-Server-Seal: s.1\r\n";

/// Returns a loopback address of its own for each proxy, because the ports of the proxy and its registry are fixed.
fn own_address() -> Ipv4Addr {
    static NUMBER: AtomicUsize = AtomicUsize::new(1);
    let number = NUMBER.fetch_add(1, Ordering::SeqCst).to_le_bytes()[0];
    let [low, high, ..] = std::process::id().to_le_bytes();
    Ipv4Addr::new(127, 64 | high & 63, low, number)
}

pub fn item(table: Table, name: &str, body: serde_json::Value) -> Arc<Item> {
    Arc::new(Item::new(table, name, 1, Some(body)))
}

/// Returns the control state of the stub registry: routes `/once/` and `/often/` of one service with one server.
pub fn control_state(server: SocketAddr) -> Vec<Arc<Item>> {
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

/// Starts a stub registry that serves the given items, and does not answer while `is_silent`.
fn registry(ip: Ipv4Addr, items: Vec<Arc<Item>>, is_silent: Arc<AtomicBool>) {
    let replica = StateReplica::new(7);
    replica.merge(items);
    let handler: Handler = std::rc::Rc::new(move |incoming| {
        let (replica, is_silent) = (replica.clone(), is_silent.clone());
        Box::pin(async move {
            if is_silent.load(Ordering::SeqCst) {
                std::future::pending::<()>().await;
            }
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

/// Returns the settings of a proxy.
fn settings(ip: Ipv4Addr, http: SocketAddr, bounds: &[&str]) -> serde_json::Value {
    json!({"hostname": "edge-1", "ip": ip, "az": "north", "region": "r",
        "zones": {"north": "r"}, "portRange": [7740, 7742], "listen": {"http": http},
        "seeds": [SocketAddr::from((ip, 7801))], "bounds": bounds,
        "limits": {"memMb": 260, "nofile": 4100}})
}

/// Starts a thread that runs a task on a runtime of its own.
fn spawn_runtime<F: std::future::Future>(task: impl FnOnce() -> F + Send + 'static) {
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        tokio::task::LocalSet::new().block_on(&runtime, async { task().await });
    });
}

fn wait_until_it_knows_its_routes(http: SocketAddr) {
    wait_until("the proxy knows its routes", || {
        let Ok(stream) = TcpStream::connect(http) else { return false };
        let mut client = Client { stream: BufReader::new(stream) };
        client.write(b"GET /no-route HTTP/1.1\r\nHost: h.example\r\n\r\n");
        client.read().is_some_and(|response| response.status() == 404)
    });
}

/// Starts a proxy with a control state and the given bounds of the operating rules, and returns its address for clients. Its
/// registry does not answer while `is_silent`.
pub fn start_proxy(items: Vec<Arc<Item>>, bounds: &[&str], is_silent: Arc<AtomicBool>) -> SocketAddr {
    let ip = own_address();
    let http = SocketAddr::from((ip, 7800));
    let settings = settings(ip, http, bounds).to_string();
    let settings = BootstrapSettings::parse(&settings).expect("settings are valid");
    spawn_runtime(move || async move {
        registry(ip, items, is_silent);
        ivygate_proxy::run(settings).await.expect("it runs");
    });
    wait_until_it_knows_its_routes(http);
    http
}

/// A proxy in a process of its own, killed when it is dropped.
pub struct ProxyProcess {
    settings: PathBuf,
    pub http: SocketAddr,
    /// Address for other proxies, and for the status.
    pub peer: SocketAddr,
    child: Child,
}

impl ProxyProcess {
    /// Starts a proxy with a control state.
    pub fn start(items: Vec<Arc<Item>>) -> Self {
        let ip = own_address();
        let http = SocketAddr::from((ip, 7800));
        spawn_runtime(move || async move {
            registry(ip, items, Arc::default());
            std::future::pending::<()>().await;
        });
        let path = std::env::temp_dir().join(format!("ivygate-proxy-{ip}.json"));
        let bounds = ["applyS=4", "evacS=5", "drainS=4", "contactS=5"];
        std::fs::write(&path, settings(ip, http, &bounds).to_string()).expect("a writable folder");
        let child = Self::spawn(&path);
        let peer = SocketAddr::from((ip, 7740));
        let process = Self { settings: path, http, peer, child };
        wait_until_it_knows_its_routes(http);
        process
    }

    fn spawn(settings: &Path) -> Child {
        let mut command = Command::new(env!("CARGO_BIN_EXE_ivygate-proxy"));
        command.env("IVYGATE_CONFIG", settings).stdin(Stdio::null());
        command.stdout(Stdio::null()).stderr(Stdio::null());
        command.spawn().expect("the program starts")
    }

    /// Returns the highest resident memory so far, in bytes; `None` if the process has ended.
    pub fn peak_memory(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
        let kibibytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kibibytes << 10)
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args(["-s", name, &id]).status().expect("kill runs");
        assert!(status.success(), "signal {name}");
    }

    /// Waits until the process has ended by itself; returns whether it did within a time, and successfully.
    pub fn has_ended_within(&mut self, time: Duration) -> bool {
        let deadline = Instant::now() + time;
        loop {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.success();
            }
            if Instant::now() > deadline {
                return false;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Starts the process again after it has ended.
    pub fn restart(&mut self) {
        self.child = Self::spawn(&self.settings);
        wait_until_it_knows_its_routes(self.http);
    }
}

impl Drop for ProxyProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

pub fn client(proxy: SocketAddr) -> Client {
    Client { stream: BufReader::new(TcpStream::connect(proxy).expect("it listens")) }
}

pub fn request(route: &str, id: &str) -> String {
    format!(
        "POST /{route}/x HTTP/1.1\r\nHost: h.example\r\nIvygate-Attempt-Id: {id}\r\n\
         Ivygate-Deadline-Ms: 15000\r\nContent-Length: 2\r\n\r\nhi"
    )
}

pub fn id(message: &Message) -> String {
    message.header("ivygate-attempt-id").unwrap_or_default().to_owned()
}

/// Encodes a complete response of a server with the ID as its body.
pub fn encode_response(status: &str, id: &str, more: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\nIvygate-Attempt-Id: {id}\r\n{more}Content-Length: {}\r\n\r\n{id}", id.len())
        .into_bytes()
}

pub fn write(stream: &mut BufReader<TcpStream>, bytes: &[u8]) {
    // A failed write shows in the result of the test.
    let _ = stream.get_mut().write_all(bytes);
}

/// IDs of the executed requests.
#[derive(Clone, Default)]
pub struct Runs(pub Arc<Mutex<Vec<String>>>);

impl Runs {
    /// Returns how often a request was executed.
    pub fn of(&self, id: &str) -> usize {
        self.0.lock().expect("no panic").iter().filter(|ran| *ran == id).count()
    }
}

/// Bytes that a server writes, and whether it then resets the connection.
pub type Reply = (Vec<u8>, bool);

/// Starts a server that executes every request and responds according to a script. The script gets the ID and the number of
/// earlier requests.
pub fn server(script: impl Fn(&str, usize) -> Reply + Send + Sync + 'static) -> (ScriptedServer, Runs) {
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
