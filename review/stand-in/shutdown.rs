//! A proxy is stopped with SIGTERM while clients on slow links read their answers.
//!
//! Rule: LOST, around planned work. The servers have answered in full; the proxy closes the connections with most of
//! the answers unsent, long before the end of `graceS`.

use crate::deployment::{Deployment, Listed, HTTP_PORT};
use crate::http::read_head;
use crate::net::connect_over_link;
use crate::record::Record;
use crate::servers::{Runs, Server};
use crate::Verdict;
use std::io::{BufReader, Read, Write};
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const EDGE: u8 = 4;
/// Clients, which share the 3.8 Mbit/s of an edge machine.
const CLIENTS: usize = 4;
const LINK_BYTES_PER_S: usize = 3_800_000 / 8;
/// Length of an answer in bytes; at its part of the link it takes a client 5 s to read it.
const ANSWER_BYTES: usize = 600_000;
/// Segment and window of the clients' links, in bytes.
const SEGMENT: i32 = 1_400;
const WINDOW: i32 = 4_096;
const GRACE_S: f64 = 6.0;

const CONFIGURATION: &str = r#"{"upsert":{
 "routes":{"r-parcel":{"vhost":"parcels.example","pathPrefix":"/parcel/","kind":"mutating","timeoutS":12,"targetS":1,
   "prio":1,"backend":"parcel-commit","tries":2,"public":true,"homeRegions":[],"gen":"r1"}},
 "backends":{"parcel-commit":{"healthPath":"/healthz","maxConns":110,"proto":"h1","tls":false,"warmupS":3.0,
   "warmupPerS":20.0,"gen":"r1"}},
 "limits":{"hdrBytes":16384,"bodyMaxBytes":67108864,"hdrTimeoutS":3,"idleTimeoutS":15,"gen":"r1"}},
 "remove":{"routes":[]}}"#;

/// What a client has seen of its last request.
struct Seen {
    client: usize,
    start: String,
    expected: usize,
    received: usize,
    sent_at: f64,
    ended_at: f64,
}

/// Sends two short requests and a long one on one connection, and reads the long answer at its part of the link.
fn run_client(record: &Record, client: usize, to: SocketAddrV4, seen: &Mutex<Vec<Seen>>) -> std::io::Result<()> {
    let stream = connect_over_link(to, SEGMENT, WINDOW)?;
    stream.set_read_timeout(Some(Duration::from_secs(12)))?;
    let mut output = stream.try_clone()?;
    let mut input = BufReader::with_capacity(4_096, stream);
    for (number, size) in [(1, 100), (2, 100), (3, ANSWER_BYTES)] {
        let attempt = format!("c{client}-{number}");
        let sent_at = record.now();
        let body = format!("boundary {client}");
        let head = format!(
            "POST /parcel/bytes/{size} HTTP/1.1\r\nHost: parcels.example\r\nIvygate-Attempt-Id: {attempt}\r\n\
             Ivygate-Deadline-Ms: 12000\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        output.write_all(head.as_bytes())?;
        record.line(&format!("client {client}: sent {attempt}"));
        let Some(answer) = read_head(&mut input)? else { return Err(std::io::ErrorKind::UnexpectedEof.into()) };
        let expected = answer.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        record.line(&format!("client {client}: {} for {attempt}, {expected} bytes are to come", answer.start));
        let received = read_slowly(&mut input, expected);
        let ended_at = record.now();
        record.line(&format!("client {client}: {received} of {expected} bytes of {attempt} came"));
        if number == 3 {
            let start = answer.start;
            seen.lock().unwrap().push(Seen { client, start, expected, received, sent_at, ended_at });
        }
    }
    Ok(())
}

/// Reads at the client's part of the link, without a pause.
fn read_slowly(input: &mut impl Read, expected: usize) -> usize {
    let (start, mut received, mut buffer) = (Instant::now(), 0, [0; 2_048]);
    while received < expected {
        let due = received as f64 / (LINK_BYTES_PER_S / CLIENTS) as f64;
        thread::sleep(Duration::from_secs_f64((due - start.elapsed().as_secs_f64()).max(0.0)));
        let limit = buffer.len().min(expected - received);
        match input.read(&mut buffer[..limit]) {
            Ok(0) | Err(_) => break,
            Ok(read) => received += read,
        }
    }
    received
}

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let mut deployment = Deployment::new(record, &[(EDGE, "nr-hall-a")])?;
    let runs = Runs::default();
    let mut listed = Vec::new();
    for host in [11, 12] {
        let address = SocketAddrV4::new(deployment.ip(host), 8080);
        let id = format!("i-{host}");
        Server::new(&id, address, Duration::from_millis(20)).serve(record, &runs)?;
        let (backend, zone) = ("parcel-commit".to_owned(), "nr-hall-a".to_owned());
        listed.push(Listed { state: "ready", id, backend, address, zone, capacity: 8 });
    }
    deployment.start_all(listed)?;
    deployment.configure(CONFIGURATION)?;
    deployment.wait_ready(EDGE, Duration::from_secs(20))?;
    // The core has been settled, and nothing was in trouble, for longer than `contactS`.
    thread::sleep(Duration::from_secs(6));

    let seen: Arc<Mutex<Vec<Seen>>> = Arc::default();
    let edge = SocketAddrV4::new(deployment.ip(EDGE), HTTP_PORT);
    let clients: Vec<_> = (1..=CLIENTS)
        .map(|client| {
            let (record, seen) = (record.clone(), seen.clone());
            thread::spawn(move || {
                if let Err(error) = run_client(&record, client, edge, &seen) {
                    record.line(&format!("client {client}: {error}"));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    let terminated_at = record.now();
    let proxy = deployment.process("ivygate-proxy", EDGE).ok_or("there is no proxy")?;
    if has_trouble {
        record.line("platform: SIGTERM to the proxy");
        proxy.terminate()?;
    }
    let mut has_ended = false;
    while clients.iter().any(|client| !client.is_finished()) || (has_trouble && !has_ended) {
        if let Some(status) = proxy.exit().filter(|_| !has_ended) {
            has_ended = true;
            record.line(&format!("proxy: {status}, {:.3} s after SIGTERM", record.now() - terminated_at));
        }
        if has_trouble && !has_ended && record.now() > terminated_at + GRACE_S {
            record.line("platform: graceS is over, SIGKILL to the proxy");
            proxy.kill();
        }
        thread::sleep(Duration::from_millis(20));
    }
    for run in runs.all() {
        record.line(&format!("server {} ran {} at {:.3}", run.server, run.attempt, run.at));
    }
    let seen = seen.lock().unwrap();
    let mut lost = 0;
    for Seen { client, start, expected, received, sent_at, ended_at } in &*seen {
        let is_whole = received == expected;
        let (after_send, after_term) = (ended_at - sent_at, ended_at - terminated_at);
        record.line(&format!(
            "client {client}: {start}; {received} of {expected} bytes; ended {after_send:.3} s after it was sent and \
             {after_term:.3} s after SIGTERM: {}",
            if is_whole { "whole" } else { "CUT" }
        ));
        // Before the deadline and the route's timeout of 12 s, and before graceS was over.
        lost += usize::from(!is_whole && after_send < 12.0 && after_term < GRACE_S);
    }
    if seen.len() < CLIENTS {
        return Err("not all clients got the head of their long answer".to_owned());
    }
    record.line(&format!("{lost} of {} answers that the servers had given in full were cut", seen.len()));
    Ok(lost > 0)
}
