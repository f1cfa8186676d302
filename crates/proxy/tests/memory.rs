//! Memory of a proxy process under many large requests, responses, heads and calls at once. Each attack runs against a process
//! of its own, beside clients with small requests. The figures are printed (`--nocapture`); `MEMORY_DOSE` multiplies the dose.

mod stub;

use ivygate_test_servers::{read_head, read_message, ScriptedServer};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use stub::{client, control_state, id, request, write, ProxyProcess, SEALED};

/// Memory limit of the process, of which a part is left for everything else.
const MAX_PEAK_BYTES: u64 = 200_000_000;
const UPLOAD_BYTES: usize = 60_000_000;
const UPLOADS: usize = 5;
const RESPONSE_BYTES: usize = 15 << 20;
const SLOW_READERS: usize = 24;
/// Rate at which a slow client reads, in bytes per second.
const READ_RATE: usize = 3_000_000;
const HEADS: usize = 200;
const HEAD_BYTES: usize = 15_000;
const CALLS: usize = 8;
const CALL_BYTES: usize = 8 << 20;
const CALM_TIME: Duration = Duration::from_secs(2);
const SMALL_REQUEST_INTERVAL: Duration = Duration::from_millis(10);

fn dose() -> usize {
    std::env::var("MEMORY_DOSE").map_or(1, |dose| dose.parse().expect("a number"))
}

/// Starts a server that responds to `POST /often/x` with a long body if the request asks for it, else with a short one.
fn server() -> SocketAddr {
    let server = ScriptedServer::start(move |stream, _| {
        while let Some(request) = read_message(stream) {
            let length = if request.header("x-long").is_some() { RESPONSE_BYTES } else { 100 };
            let id = id(&request);
            let head = format!(
                "HTTP/1.1 200 OK\r\nIvygate-Attempt-Id: {id}\r\n{SEALED}Content-Length: {length}\r\n\r\n"
            );
            write(stream, &[head.into_bytes(), vec![b'r'; length]].concat());
        }
    });
    server.address
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("it listens");
    stream.set_read_timeout(Some(Duration::from_secs(30))).expect("an open socket");
    stream
}

/// Counts of what clients got.
#[derive(Default)]
struct Outcomes {
    served: AtomicUsize,
    refused: AtomicUsize,
    /// Connections that ended without a complete response.
    lost: AtomicUsize,
}

impl Outcomes {
    fn count(&self, status: Option<u16>) {
        let counter = match status {
            Some(200..=299) => &self.served,
            Some(_) => &self.refused,
            None => &self.lost,
        };
        counter.fetch_add(1, Ordering::SeqCst);
    }

    fn counts(&self) -> [usize; 3] {
        [&self.served, &self.refused, &self.lost].map(|counter| counter.load(Ordering::SeqCst))
    }
}

fn upload(proxy: SocketAddr, number: usize) -> Option<u16> {
    let mut stream = connect(proxy);
    let head = format!(
        "POST /once/x HTTP/1.1\r\nHost: h.example\r\nIvygate-Attempt-Id: u{number}\r\n\
         Ivygate-Deadline-Ms: 15000\r\nContent-Length: {UPLOAD_BYTES}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).ok()?;
    let mut sent = 0;
    let part = vec![b'u'; 1 << 16];
    stream.set_read_timeout(Some(Duration::from_micros(1))).ok()?;
    // As the protocol recommends, the client looks for an early response while it sends.
    while sent < UPLOAD_BYTES && stream.peek(&mut [0]).is_err() {
        let length = part.len().min(UPLOAD_BYTES - sent);
        if stream.write_all(&part[..length]).is_err() {
            break;
        }
        sent += length;
    }
    stream.set_read_timeout(Some(Duration::from_secs(30))).ok()?;
    Some(read_message(&mut BufReader::new(stream))?.status())
}

/// Reads a long response at [`READ_RATE`], and returns its status if it is complete.
fn read_slowly(proxy: SocketAddr, number: usize) -> Option<u16> {
    let mut stream = BufReader::new(connect(proxy));
    let request =
        request("often", &format!("r{number}")).replace("Content-Length", "X-Long: 1\r\nContent-Length");
    write(&mut stream, request.as_bytes());
    let head = read_head(&mut stream)?;
    if head.status() != 200 {
        return Some(head.status());
    }
    let (started, mut received) = (Instant::now(), 0);
    let mut part = vec![0; 1 << 16];
    while received < RESPONSE_BYTES {
        match stream.read(&mut part) {
            Ok(bytes @ 1..) => received += bytes,
            _ => return None,
        }
        let due = Duration::from_secs_f64(received as f64 / READ_RATE as f64);
        thread::sleep(due.saturating_sub(started.elapsed()));
    }
    Some(200)
}

/// Sends a part of a head and keeps the connection for a while.
fn send_part_of_a_head(proxy: SocketAddr) -> Option<u16> {
    let mut stream = connect(proxy);
    let head =
        format!("GET /often/x HTTP/1.1\r\nHost: h.example\r\nX-Long-Header: {}", "h".repeat(HEAD_BYTES));
    let _ = stream.write_all(head.as_bytes());
    thread::sleep(Duration::from_secs(3));
    Some(408)
}

fn call(peer: SocketAddr) -> Option<u16> {
    let mut stream = connect(peer);
    let head = format!("POST /take HTTP/1.1\r\nHost: p\r\nContent-Length: {CALL_BYTES}\r\n\r\n");
    let _ = stream.write_all(head.as_bytes());
    let _ = stream.write_all(&vec![b'['; CALL_BYTES]);
    Some(read_message(&mut BufReader::new(stream))?.status())
}

/// An attack on a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Attack {
    Uploads,
    SlowReaders,
    Heads,
    Calls,
}

impl Attack {
    const ALL: [Self; 4] = [Self::Uploads, Self::SlowReaders, Self::Heads, Self::Calls];

    fn start(self, proxy: &ProxyProcess, outcomes: &Arc<Outcomes>) -> Vec<JoinHandle<()>> {
        let clients = match self {
            Self::Uploads => UPLOADS,
            Self::SlowReaders => SLOW_READERS,
            Self::Heads => HEADS,
            Self::Calls => CALLS,
        };
        let (http, peer) = (proxy.http, proxy.peer);
        let start_client = |number: usize| {
            let outcomes = outcomes.clone();
            thread::spawn(move || {
                outcomes.count(match self {
                    Self::Uploads => upload(http, number),
                    Self::SlowReaders => read_slowly(http, number),
                    Self::Heads => send_part_of_a_head(http),
                    Self::Calls => call(peer),
                });
            })
        };
        (0..clients * dose()).map(start_client).collect()
    }
}

/// Times of small requests in milliseconds, in order of length, and the number of those that were refused.
struct SmallRequests {
    times: Vec<f64>,
    refused: usize,
}

/// Sends small requests until it is told to end.
fn send_small_requests(proxy: SocketAddr, ended: &AtomicBool, prefix: &str) -> SmallRequests {
    let (mut times, mut refused) = (Vec::new(), 0);
    let mut connection = client(proxy);
    while !ended.load(Ordering::SeqCst) {
        let started = Instant::now();
        let response = connection.ask(&request("often", &format!("{prefix}-{}", times.len())));
        if response.status() == 200 {
            assert_eq!(response.body.len(), 100, "a whole response");
        } else {
            assert_eq!(response.status(), 503, "a small request is served or refused");
            refused += 1;
        }
        times.push(started.elapsed().as_secs_f64() * 1e3);
        thread::sleep(SMALL_REQUEST_INTERVAL);
    }
    times.sort_by(f64::total_cmp);
    SmallRequests { times, refused }
}

fn percentile_99(requests: &SmallRequests) -> f64 {
    let times = &requests.times;
    times[(times.len() * 99 / 100).min(times.len() - 1)]
}

fn small_requests_in_the_background(
    proxy: SocketAddr,
    prefix: &'static str,
) -> (Arc<AtomicBool>, JoinHandle<SmallRequests>) {
    let ended = Arc::new(AtomicBool::new(false));
    let is_ended = ended.clone();
    (ended, thread::spawn(move || send_small_requests(proxy, &is_ended, prefix)))
}

/// Runs attacks at once and returns what their clients got.
fn run(attacks: &[Attack]) -> [usize; 3] {
    let proxy = ProxyProcess::start(control_state(server()));
    let (ended, small) = small_requests_in_the_background(proxy.http, "calm");
    thread::sleep(CALM_TIME);
    ended.store(true, Ordering::SeqCst);
    let calm = small.join().expect("all small requests are served");
    let (ended, small) = small_requests_in_the_background(proxy.http, "attack");
    let outcomes = Arc::new(Outcomes::default());
    let clients: Vec<_> = attacks.iter().flat_map(|attack| attack.start(&proxy, &outcomes)).collect();
    for client in clients {
        client.join().expect("a client ends");
    }
    ended.store(true, Ordering::SeqCst);
    let beside = small.join().expect("all small requests are served");
    let peak = proxy.peak_memory().expect("the process runs");
    let [served, refused, lost] = outcomes.counts();
    println!(
        "{attacks:?} x {}: peak {:.0} MB; served {served}, refused {refused}, lost {lost}; small requests p99 {:.1} ms, calm {:.1} ms, refused {} of {}",
        dose(), peak as f64 / 1e6, percentile_99(&beside), percentile_99(&calm), beside.refused, beside.times.len()
    );
    println!(
        "status: {}",
        String::from_utf8_lossy(&client(proxy.peer).ask("GET /status HTTP/1.1\r\nHost: p\r\n\r\n").body)
    );
    // Many times the dose is more than the one test server bears.
    assert!(dose() > 1 || beside.refused == 0, "{attacks:?}: {} small requests refused", beside.refused);
    assert!(peak < MAX_PEAK_BYTES, "{attacks:?}: peak {peak} bytes");
    [served, refused, lost]
}

/// Guards against uploads that together exceed the memory limit (Fault).
#[test]
fn uploads_at_once_stay_within_the_memory_limit() {
    let [served, refused, lost] = run(&[Attack::Uploads]);
    assert_eq!((served + refused, lost), (UPLOADS * dose(), 0), "each upload has an answer");
    assert!(served > 0, "an upload that has room is served");
}

/// Guards against large answers to slow clients that together exceed the memory limit (Fault, review/7).
#[test]
fn large_responses_to_slow_clients_stay_within_the_memory_limit() {
    let [served, refused, lost] = run(&[Attack::SlowReaders]);
    // At higher doses the deadline of some requests passes first.
    assert!(dose() > 1 || (served, refused, lost) == (SLOW_READERS, 0, 0), "{served}, {refused}, {lost}");
}

/// Guards against incomplete heads that together exceed the memory limit (Fault).
#[test]
fn incomplete_heads_stay_within_the_memory_limit() {
    run(&[Attack::Heads]);
}

/// Guards against calls that together exceed the memory limit (Fault).
#[test]
fn large_calls_stay_within_the_memory_limit() {
    run(&[Attack::Calls]);
}

/// Guards against kinds of memory use that are bounded each by itself, but not together (Fault).
#[test]
fn everything_at_once_stays_within_the_memory_limit() {
    run(&Attack::ALL);
}
