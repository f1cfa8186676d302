//! Several clients upload at once, each within the operator's limit on bodies.
//!
//! Rule: Fault. The platform ends a process that goes over `memMb`. Here its stand-in looks at the resident memory of each
//! proxy, kills it beyond the limit and starts it again.

use crate::deployment::{Deployment, Listed, HTTP_PORT, MEMORY_MB};
use crate::http::read_message;
use crate::record::Record;
use crate::servers::{Runs, Server};
use crate::Verdict;
use std::io::{BufReader, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const EDGES: [(u8, &str); 2] = [(4, "nr-hall-a"), (5, "eb-hall-a")];
/// Uploads at each proxy, at once or one after the other.
const UPLOADS: usize = 5;
/// Length of an upload; the operator's limit is 67,108,864.
const UPLOAD_BYTES: usize = 60_000_000;
/// Rounds; the rule counts processes that end three times.
const ROUNDS: usize = 3;

const CONFIGURATION: &str = r#"{"upsert":{
 "routes":{"r-imagery":{"vhost":"imagery.example","pathPrefix":"/imagery/","kind":"upload","timeoutS":4,"targetS":0.6,
   "prio":1,"backend":"survey-upload","tries":2,"public":true,"homeRegions":[],"gen":"r1"}},
 "backends":{"survey-upload":{"healthPath":"/healthz","maxConns":110,"proto":"h1","tls":false,"warmupS":3.0,
   "warmupPerS":20.0,"gen":"r1"}},
 "limits":{"hdrBytes":16384,"bodyMaxBytes":67108864,"hdrTimeoutS":3,"idleTimeoutS":15,"gen":"r1"}},
 "remove":{"routes":[]}}"#;

/// Returns a figure of `/proc/PID/status` in megabytes.
fn memory_mb(process: u32, field: &str) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with(field))?;
    let kilobytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kilobytes / 1024)
}

/// Uploads one body and returns what the client saw.
fn upload(to: SocketAddrV4, attempt: &str) -> String {
    let result = TcpStream::connect(to).and_then(|mut stream| {
        stream.set_read_timeout(Some(Duration::from_secs(5)))?;
        stream.set_write_timeout(Some(Duration::from_secs(5)))?;
        let head = format!(
            "POST /imagery/1 HTTP/1.1\r\nHost: imagery.example\r\nIvygate-Attempt-Id: {attempt}\r\n\
             Ivygate-Deadline-Ms: 4000\r\nContent-Length: {UPLOAD_BYTES}\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        let chunk = vec![b'u'; 1 << 16];
        let mut left = UPLOAD_BYTES;
        while left > 0 {
            let part = left.min(chunk.len());
            stream.write_all(&chunk[..part])?;
            left -= part;
        }
        read_message(&mut BufReader::new(stream))
    });
    match result {
        Ok(Some(answer)) => answer.start,
        Ok(None) => "the connection was closed without an answer".to_owned(),
        Err(error) => error.to_string(),
    }
}

/// Runs one round of uploads at both proxies.
fn start_round(record: &Record, network: [u8; 2], round: usize, at_once: bool) -> Vec<thread::JoinHandle<()>> {
    let mut handles = Vec::new();
    for (host, _) in EDGES {
        let to = SocketAddrV4::new(crate::net::machine(network, host), HTTP_PORT);
        let uploads = move |record: &Record, number: usize| {
            let attempt = format!("u{host}-{round}-{number}");
            record.line(&format!("client: {attempt} begins to send {UPLOAD_BYTES} bytes to machine {host}"));
            let seen = upload(to, &attempt);
            record.line(&format!("client: {attempt}: {seen}"));
        };
        if at_once {
            for number in 1..=UPLOADS {
                let record = record.clone();
                handles.push(thread::spawn(move || uploads(&record, number)));
            }
        } else {
            let record = record.clone();
            handles.push(thread::spawn(move || (1..=UPLOADS).for_each(|number| uploads(&record, number))));
        }
    }
    handles
}

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let mut deployment = Deployment::new(record, &EDGES)?;
    let runs = Runs::default();
    let mut listed = Vec::new();
    for (host, zone) in [(11, "nr-hall-a"), (12, "nr-hall-a"), (13, "eb-hall-a"), (14, "eb-hall-a")] {
        let address = SocketAddrV4::new(deployment.ip(host), 8080);
        let id = format!("i-{host}");
        Server::new(&id, address, Duration::from_millis(160)).serve(record, &runs)?;
        let backend = "survey-upload".to_owned();
        listed.push(Listed { state: "ready", id, backend, address, zone: zone.to_owned(), capacity: 8 });
    }
    deployment.start_all(listed)?;
    deployment.configure(CONFIGURATION)?;
    for (host, _) in EDGES {
        deployment.wait_ready(host, Duration::from_secs(20))?;
    }
    thread::sleep(Duration::from_secs(6));
    let network = deployment.network;
    let peaks: Arc<Mutex<[u64; 2]>> = Arc::default();
    let mut ends = [0; 2];
    for round in 1..=ROUNDS {
        let clients = start_round(record, network, round, has_trouble);
        while clients.iter().any(|client| !client.is_finished()) {
            for (index, (host, _)) in EDGES.into_iter().enumerate() {
                let Some(proxy) = deployment.process("ivygate-proxy", host) else { continue };
                let Some(resident) = memory_mb(proxy.id(), "VmRSS:") else { continue };
                let mut peaks = peaks.lock().unwrap();
                peaks[index] = peaks[index].max(resident);
                if resident <= MEMORY_MB {
                    continue;
                }
                record.line(&format!(
                    "platform: the proxy of machine {host} uses {resident} MB of {MEMORY_MB}: killed, and started again"
                ));
                proxy.kill();
                ends[index] += 1;
                deployment.processes.retain(|process| process.machine != host);
                deployment.start("ivygate-proxy", host)?;
            }
            thread::sleep(Duration::from_millis(5));
        }
        for (host, _) in EDGES {
            deployment.wait_ready(host, Duration::from_secs(20))?;
        }
        thread::sleep(Duration::from_secs(2));
    }
    for run in runs.all() {
        record.line(&format!("server {} ran {} at {:.3}", run.server, run.attempt, run.at));
    }
    let peaks = peaks.lock().unwrap();
    record.line(&format!("most memory seen: {peaks:?} MB of {MEMORY_MB}; ends by the limit: {ends:?}"));
    // "on a tenth of the machines in use (two at least) ... processes end by themselves three times in the day".
    Ok(ends.iter().all(|ends| *ends >= 3))
}
