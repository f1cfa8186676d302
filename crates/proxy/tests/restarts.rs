//! Clients of mixed speeds go on using open connections while their proxies get signals and restart, in series that overlap.
//! `RESTART_SEEDS=1..50` plays other seeds than the first ones.

mod stub;

use ivygate_test_servers::{read_head, read_message, ScriptedServer};
use std::collections::HashSet;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use stub::{control_state, id, write, ProxyProcess, SEALED};

const PROXIES: usize = 2;
const CLIENTS: usize = 8;
const PLAY_TIME: Duration = Duration::from_secs(9);
/// Time after SIGTERM within which a proxy ends by itself.
const GRACE: Duration = Duration::from_secs(6);
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Reading rates of clients, in bytes per second. The slowest needs 4 s for the longest response.
const READ_RATES: [usize; 4] = [3_000_000, 4_000_000, 20_000_000, 1_000_000_000];
/// Lengths of responses; the longest one is more than the kernel's buffers hold.
const RESPONSE_BYTES: [usize; 4] = [100, 40_000, 1_000_000, 12_000_000];

/// IDs of the requests that the servers executed.
type Runs = Arc<Mutex<HashSet<String>>>;

fn server(runs: Runs) -> SocketAddr {
    let server = ScriptedServer::start(move |stream, _| {
        while let Some(request) = read_message(stream) {
            let id = id(&request);
            let length = request.header("x-length").and_then(|length| length.parse().ok()).unwrap_or(0);
            assert!(runs.lock().expect("no panic").insert(id.clone()), "{id} ran twice");
            let head = format!(
                "HTTP/1.1 200 OK\r\nIvygate-Attempt-Id: {id}\r\n{SEALED}Content-Length: {length}\r\n\r\n"
            );
            write(stream, &[head.into_bytes(), vec![b'r'; length]].concat());
        }
    });
    server.address
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Complete {
        closes: bool,
    },
    /// The connection ended before a byte of the response.
    NoResponse,
    /// The connection ended in the middle of the response.
    Cut,
}

/// Reads a response at a rate.
fn read_response(stream: &mut BufReader<TcpStream>, rate: usize) -> Outcome {
    let Some(head) = read_head(stream) else { return Outcome::NoResponse };
    let length: usize = head.header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let (started, mut received) = (Instant::now(), 0);
    let mut part = vec![0; 16 << 10];
    while received < length {
        let wanted = part.len().min(length - received);
        match stream.read(&mut part[..wanted]) {
            Ok(bytes @ 1..) => received += bytes,
            _ => return Outcome::Cut,
        }
        let due = Duration::from_secs_f64(received as f64 / rate as f64);
        thread::sleep(due.saturating_sub(started.elapsed()));
    }
    Outcome::Complete { closes: head.header("connection") == Some("close") }
}

/// State shared by the clients of a play.
struct Play {
    proxies: Vec<SocketAddr>,
    runs: Runs,
    ended: AtomicBool,
    complete: AtomicUsize,
    violations: Mutex<Vec<String>>,
}

/// Sends requests on a connection for as long as it is open, then on another.
fn run_client(play: &Play, seed: u64, number: usize) {
    let mut rng = fastrand::Rng::with_seed(seed * 1000 + number as u64);
    let mut requests = 0;
    while !play.ended.load(Ordering::SeqCst) {
        let Ok(stream) = TcpStream::connect(play.proxies[rng.usize(..PROXIES)]) else {
            thread::sleep(CONNECT_RETRY_DELAY);
            continue;
        };
        let mut stream = BufReader::new(stream);
        loop {
            requests += 1;
            let id = format!("c{number}-{requests}");
            let (rate, length) = (READ_RATES[rng.usize(..4)], RESPONSE_BYTES[rng.usize(..4)]);
            let request = format!(
                "POST /once/x HTTP/1.1\r\nHost: h.example\r\nIvygate-Attempt-Id: {id}\r\n\
                 Ivygate-Deadline-Ms: 15000\r\nX-Length: {length}\r\nContent-Length: 2\r\n\r\nhi"
            );
            let sent = stream.get_mut().write_all(request.as_bytes());
            let outcome = sent.map_or(Outcome::NoResponse, |()| read_response(&mut stream, rate));
            let has_run = play.runs.lock().expect("no panic").contains(&id);
            match outcome {
                Outcome::Complete { .. } => {
                    play.complete.fetch_add(1, Ordering::SeqCst);
                }
                Outcome::NoResponse if !has_run => {}
                lost => {
                    play.violations.lock().expect("no panic").push(format!("{id}: {lost:?}, ran: {has_run}"));
                }
            }
            if outcome != (Outcome::Complete { closes: false }) || play.ended.load(Ordering::SeqCst) {
                break;
            }
            thread::sleep(Duration::from_millis(rng.u64(..150)));
        }
    }
}

/// Sends signals to proxies at random times, and starts those that have ended.
fn disturb(proxies: &mut [ProxyProcess], rng: &mut fastrand::Rng) -> Vec<String> {
    let mut violations = Vec::new();
    let mut terminating_since: Vec<Option<Instant>> = vec![None; proxies.len()];
    let started = Instant::now();
    while started.elapsed() < PLAY_TIME || terminating_since.iter().any(Option::is_some) {
        thread::sleep(Duration::from_millis(rng.u64(20..400)));
        for (proxy, since) in proxies.iter_mut().zip(&mut terminating_since) {
            let Some(terminated_at) = *since else { continue };
            if proxy.has_ended_within(Duration::ZERO) {
                proxy.restart();
                *since = None;
            } else if terminated_at.elapsed() > GRACE {
                violations.push("a proxy did not end within its grace period".to_owned());
                return violations;
            }
        }
        let chosen = rng.usize(..proxies.len());
        if terminating_since[chosen].is_some() || rng.bool() {
            proxies[chosen].signal(if rng.bool() { "HUP" } else { "CONT" });
        } else if started.elapsed() < PLAY_TIME {
            proxies[chosen].signal("TERM");
            terminating_since[chosen] = Some(Instant::now());
        }
    }
    violations
}

fn play(seed: u64) {
    let runs = Runs::default();
    let server = server(runs.clone());
    let mut proxies: Vec<_> = (0..PROXIES).map(|_| ProxyProcess::start(control_state(server))).collect();
    let addresses = proxies.iter().map(|proxy| proxy.http).collect();
    let play = Arc::new(Play {
        proxies: addresses,
        runs,
        ended: AtomicBool::new(false),
        complete: AtomicUsize::new(0),
        violations: Mutex::default(),
    });
    let start_client = |number| {
        let play = play.clone();
        thread::spawn(move || run_client(&play, seed, number))
    };
    let clients: Vec<_> = (0..CLIENTS).map(start_client).collect();
    let mut violations = disturb(&mut proxies, &mut fastrand::Rng::with_seed(seed));
    play.ended.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().expect("a client ends");
    }
    violations.append(&mut play.violations.lock().expect("no panic"));
    let complete = play.complete.load(Ordering::SeqCst);
    println!("seed {seed}: {complete} complete responses, {} violations", violations.len());
    assert!(violations.is_empty(), "seed {seed}: {violations:?}");
    assert!(complete > CLIENTS, "seed {seed}: clients were served");
}

/// Guards against answers that are cut by a shutdown (LOST, review/3), in any order of signals and restarts.
#[test]
fn restarts_cut_no_response() {
    let seeds = std::env::var("RESTART_SEEDS").unwrap_or_else(|_| "1..3".to_owned());
    let (first, last) = seeds.split_once("..").expect("RESTART_SEEDS is first..last");
    let (first, last): (u64, u64) = (first.parse().expect("a number"), last.parse().expect("a number"));
    (first..=last).for_each(play);
}
