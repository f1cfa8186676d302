//! Nodes and sidecars run as child processes, shared by the tests.

#![allow(dead_code, unused_imports, reason = "each test file uses a part of this")]

pub use ivygate_test_servers::*;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};

/// Running node process.
pub struct Node {
    pub address: SocketAddr,
    config: std::path::PathBuf,
    child: Child,
}

/// Writes a temporary file with a unique name.
pub fn scratch(text: &str) -> std::path::PathBuf {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let number = NUMBER.fetch_add(1, Ordering::SeqCst);
    let path = std::env::temp_dir().join(format!("ivygate-test-{}-{number}.json", std::process::id()));
    std::fs::write(&path, text).expect("a file is written");
    path
}

pub fn config(discovery: SocketAddr, known: &str, settings: &str, sockets: usize) -> String {
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},"known":{known},"settings":{settings}}}"#
    )
}

impl Node {
    /// Starts a node with these app servers, whose discovery sends no updates.
    pub fn with(targets: &[String]) -> Self {
        let list = listing(1, true, targets);
        let discovery = Discovery::start(list.clone());
        Self::start(&config(discovery.address, &list, SETTINGS, 1024))
    }

    pub fn start(config: &str) -> Self {
        Self::started(Command::new(env!("CARGO_BIN_EXE_ivygate")), config)
    }

    /// Starts a node with a prepared command, for example with additional environment variables.
    pub fn started(mut command: Command, config: &str) -> Self {
        let path = scratch(config);
        command.env("RELAY_CONFIG", &path).stderr(Stdio::piped());
        let mut child = command.spawn().expect("the node starts");
        let mut lines = BufReader::new(child.stderr.take().expect("it has standard error"));
        let mut line = String::new();
        lines.read_line(&mut line).expect("it says where it listens");
        let address = line.trim().rsplit(' ').next().and_then(|a| a.parse().ok());
        let address = address.unwrap_or_else(|| panic!("no address in '{line}'"));
        std::thread::spawn(move || std::io::copy(&mut lines, &mut std::io::sink()));
        let node = Self { address, config: path, child };
        wait_until("the node is up", || {
            let mut client = node.client();
            client.write(b"GET /up HTTP/1.1\r\nHost: h\r\n\r\n");
            client.read().is_some_and(|answer| answer.status() == 200)
        });
        node
    }

    pub fn client(&self) -> Client {
        connect(self.address)
    }

    /// Sends a request on a new connection and waits for the response.
    pub fn ask(&self, request: &str) -> Message {
        self.client().ask(request)
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        signal(&self.child, "-TERM");
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn reload(&self, config: &str) {
        std::fs::write(&self.config, config).expect("the file is written");
        signal(&self.child, "-HUP");
    }

    /// Waits for the process to exit and returns its exit code.
    pub fn exit_code(&mut self) -> Option<i32> {
        exit_code(&mut self.child)
    }

    pub fn runs(&mut self) -> bool {
        self.child.try_wait().expect("it can be waited for").is_none()
    }

    /// Returns the resident memory, in KB.
    pub fn memory(&self) -> u64 {
        memory(&self.child)
    }

    /// Returns the number of open file descriptors.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).expect("it runs").count()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

/// Running sidecar process.
pub struct Sidecar {
    pub address: SocketAddr,
    pub config: std::path::PathBuf,
    stderr_lines: std::sync::Arc<std::sync::Mutex<Vec<String>>>,
    child: Child,
}

/// Request classes used by the sidecar tests.
pub const CLASSES: &str = "
class read  { effect safe; aim 8s; deadline 20s; }
class edit  { effect keyed; scope zone meant; window 15s; aim 8s; deadline 20s; worth 3; }
class order { effect unsafe; aim 8s; deadline 20s; worth 5; }
";

/// Returns the configuration of a pool with these servers and their zones.
pub fn pool(name: &str, extra: &str, servers: &[(SocketAddr, &str)]) -> String {
    let servers: String = servers
        .iter()
        .enumerate()
        .map(|(n, (address, zone))| format!("    server s{n} {address} {{ zone {zone}; }}\n"))
        .collect();
    format!("pool {name} {{\n    zone north; requests 64; connections 64; {extra}\n{servers}}}\n")
}

/// Returns a route for the path prefix and pool of the same name.
pub fn route(pool: &str, class: &str) -> String {
    let methods = if class == "read" { "GET HEAD OPTIONS PUT" } else { "POST PUT" };
    format!(
        "route {pool}-{class} {{ path prefix /{pool}; methods {methods}; class {class}; pool {pool}; }}\n"
    )
}

impl Sidecar {
    /// Stops the process until it is resumed.
    pub fn pause(&self) {
        signal(&self.child, "-STOP");
    }

    pub fn resume(&self) {
        signal(&self.child, "-CONT");
    }

    /// Starts a sidecar with a listener, the default classes and these configuration parts.
    pub fn with(parts: &[String]) -> Self {
        Self::start(&Self::text("", parts))
    }

    pub fn text(listener: &str, parts: &[String]) -> String {
        format!("listen 127.0.0.1:0 {{ connections 400; {listener} }}\n{CLASSES}{}", parts.concat())
    }

    /// Starts a sidecar from a shell that sets resource limits first.
    pub fn limited(limits: &str, parts: &[String]) -> Self {
        let path = scratch(&Self::text("", parts));
        let mut shell = Command::new("sh");
        shell.arg("-c").arg(format!("{limits}; exec \"$0\" serve \"$1\""));
        shell.arg(env!("CARGO_BIN_EXE_ivygate")).arg(&path);
        Self::started(shell, path)
    }

    pub fn start(config: &str) -> Self {
        let path = scratch(config);
        let mut command = Command::new(env!("CARGO_BIN_EXE_ivygate"));
        command.arg("serve").arg(&path);
        Self::started(command, path)
    }

    fn started(mut command: Command, path: std::path::PathBuf) -> Self {
        let mut child = command.stderr(Stdio::piped()).spawn().expect("the sidecar starts");
        let mut lines = BufReader::new(child.stderr.take().expect("it has standard error")).lines();
        let mut before = String::new();
        let address = loop {
            let line = lines.next().unwrap_or_else(|| panic!("it exited: {before}")).expect("text");
            if let Some(address) = line.strip_prefix("ivygate: listening on ") {
                break address.parse().expect("an address");
            }
            before += &(line + "\n");
        };
        let stderr_lines = std::sync::Arc::<std::sync::Mutex<Vec<String>>>::default();
        let log = stderr_lines.clone();
        std::thread::spawn(move || {
            lines.map_while(Result::ok).for_each(|l| log.lock().expect("no panic").push(l));
        });
        Self { address, config: path, stderr_lines, child }
    }

    pub fn client(&self) -> Client {
        connect(self.address)
    }

    /// Sends a request on a new connection and waits for the response.
    pub fn ask(&self, request: &str) -> Message {
        self.client().ask(request)
    }

    pub fn get(&self, path: &str) -> Message {
        self.ask(&format!("GET {path} HTTP/1.1\r\nHost: h\r\n\r\n"))
    }

    pub fn post(&self, path: &str, headers: &str, body: &str) -> Message {
        let length = body.len();
        self.ask(&format!(
            "POST {path} HTTP/1.1\r\nHost: h\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
        ))
    }

    /// Returns the standard error output since startup.
    pub fn stderr_text(&self) -> String {
        self.stderr_lines.lock().expect("no panic").join("\n")
    }

    /// Replaces the configuration, sends SIGHUP, and returns whether the log reports success.
    pub fn reload(&self, config: &str) -> bool {
        std::fs::write(&self.config, config).expect("the file is written");
        let lines_before = self.stderr_lines.lock().expect("no panic").len();
        signal(&self.child, "-HUP");
        let mut applied = None;
        wait_until("the sidecar has read its configuration", || {
            let lines = self.stderr_lines.lock().expect("no panic");
            applied = lines[lines_before..].iter().find_map(|line| match line {
                line if line.ends_with(" read anew") => Some(true),
                line if line.contains("stays as it was") => Some(false),
                _ => None,
            });
            applied.is_some()
        });
        applied == Some(true)
    }

    pub fn terminate(&self) {
        signal(&self.child, "-TERM");
    }

    /// Waits for the process to exit and returns its exit code.
    pub fn exit_code(&mut self) -> Option<i32> {
        exit_code(&mut self.child)
    }

    /// Returns the resident memory, in KB.
    pub fn memory(&self) -> u64 {
        memory(&self.child)
    }
}

pub fn connect(address: SocketAddr) -> Client {
    let stream = TcpStream::connect(address).expect("the program accepts");
    stream.set_read_timeout(Some(CONDITION_TIMEOUT)).expect("a time-out can be set");
    Client { stream: BufReader::new(stream) }
}

fn exit_code(child: &mut Child) -> Option<i32> {
    let mut code = None;
    wait_until("the program exits", || {
        code = child.try_wait().expect("it can be waited for");
        code.is_some()
    });
    code.and_then(|c| c.code())
}

fn memory(child: &Child) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", child.id())).expect("it runs");
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .expect("the status has the resident set size");
    line.trim().trim_end_matches(" kB").parse().expect("a number")
}

fn signal(child: &Child, name: &str) {
    let id = child.id().to_string();
    assert!(Command::new("kill").args([name, &id]).status().expect("kill runs").success());
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}
