//! An operator's order is held up by a cut link, given to another machine meanwhile, and arrives when the link heals.
//!
//! Rule: EVAC. The zone is emptied, taken back and emptied again. The first word of taking back is held up on the link
//! between the operator and core machine 1, and arrives after the second emptying was acknowledged by machine 2.

use crate::deployment::{ask, call, Deployment, Listed, CONTROL_PORT, HTTP_PORT};
use crate::record::Record;
use crate::servers::{Runs, Server};
use crate::Verdict;
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// The zone that the operator empties; the proxy and half of the servers are in it.
const ZONE: &str = "nr-hall-a";
const EDGE: u8 = 5;
/// Host under which the operator reaches machine 1: the other end of the link.
const LINK: u8 = 101;
/// Bounds of `sslopes-edge`, in seconds.
const EVAC_S: f64 = 5.0;
const CONTACT_S: f64 = 5.0;
/// Round trip between a client and a machine of `sslopes-edge`.
const ROUND_TRIP: Duration = Duration::from_millis(16);

pub const CONFIGURATION: &str = r#"{"upsert":{
 "routes":{"r-tiles":{"vhost":"maps.example","pathPrefix":"/tiles/","kind":"idempotent","timeoutS":3,"targetS":0.5,
   "prio":2,"backend":"tile-fetch","tries":2,"public":true,"homeRegions":[],"gen":"r1"}},
 "backends":{"tile-fetch":{"healthPath":"/healthz","maxConns":110,"proto":"h1","tls":false,"warmupS":3.0,
   "warmupPerS":20.0,"gen":"r1"}},
 "limits":{"hdrBytes":16384,"bodyMaxBytes":67108864,"hdrTimeoutS":3,"idleTimeoutS":15,"gen":"r1"}},
 "remove":{"routes":[]}}"#;

/// A link that can be cut without a word. Bytes that it holds up arrive when it heals; the end of a connection follows a
/// round trip after them, as TCP sends the first unacknowledged segment again and the rest once that is acknowledged.
fn start_link(from: SocketAddrV4, to: SocketAddrV4, is_cut: Arc<AtomicBool>, record: Record) -> Result<(), String> {
    let listener = TcpListener::bind(from).map_err(|error| error.to_string())?;
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(to) else { continue };
            for (source, target, towards) in
                [(near.try_clone(), far.try_clone(), "machine 1"), (far.try_clone(), near.try_clone(), "the operator")]
            {
                let (Ok(source), Ok(target)) = (source, target) else { continue };
                let (is_cut, record) = (is_cut.clone(), record.clone());
                thread::spawn(move || forward(source, target, &is_cut, &record, towards));
            }
        }
    });
    Ok(())
}

fn forward(mut source: TcpStream, mut target: TcpStream, is_cut: &AtomicBool, record: &Record, towards: &str) {
    let mut buffer = [0; 4096];
    let mut follows_held_bytes = false;
    loop {
        let read = source.read(&mut buffer).unwrap_or(0);
        let was_held = is_cut.load(Ordering::Relaxed);
        while is_cut.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(2));
        }
        if read == 0 {
            if follows_held_bytes {
                thread::sleep(ROUND_TRIP);
            }
            record.line(&format!("link: the end of a connection arrives at {towards}"));
            let _ = target.shutdown(Shutdown::Write);
            return;
        }
        if was_held {
            record.line(&format!("link: {read} bytes that were held up arrive at {towards}"));
        }
        if target.write_all(&buffer[..read]).is_err() {
            return;
        }
        follows_held_bytes = was_held;
    }
}

/// Sends an order without a body to a machine and writes down its answer.
fn order(record: &Record, to: SocketAddrV4, machine: &str, path: &str) -> bool {
    record.line(&format!("operator: POST {path} to {machine}"));
    let answer = call(to, "POST", path, "", Duration::from_secs(1));
    match &answer {
        Ok(message) => record.line(&format!("operator: {} from {machine}", message.start)),
        Err(error) => record.line(&format!("operator: no answer of {machine} within 1 s ({error}); connection closed")),
    }
    answer.is_ok_and(|message| message.status() == 200)
}

/// Sends an order to the machines in turn, until one acknowledges it within the time for an order.
fn order_until_taken(record: &Record, machines: &[(SocketAddrV4, &str)], path: &str) -> Result<(), String> {
    for turn in 0..6 {
        let (to, name) = machines[turn % machines.len()];
        if order(record, to, name, path) {
            return Ok(());
        }
        thread::sleep(Duration::from_millis(100));
    }
    Err(format!("{path} was not acknowledged"))
}

/// Sends a request each 40 ms on connections of its own, and counts the answers by status.
pub fn start_client(record: &Record, to: SocketAddrV4, is_over: Arc<AtomicBool>, served: Arc<AtomicU32>) {
    let record = record.clone();
    thread::spawn(move || {
        let mut number = 0;
        while !is_over.load(Ordering::Relaxed) {
            number += 1;
            let head = format!(
                "GET /tiles/{number} HTTP/1.1\r\nHost: maps.example\r\nIvygate-Attempt-Id: a{number}\r\n\
                 Ivygate-Deadline-Ms: 3000\r\n\r\n"
            );
            let status = TcpStream::connect(to).and_then(|mut stream| {
                stream.set_read_timeout(Some(Duration::from_secs(3)))?;
                stream.write_all(head.as_bytes())?;
                crate::http::read_message(&mut BufReader::new(stream))
            });
            match status {
                Ok(Some(message)) if message.status() == 200 => {
                    served.fetch_add(1, Ordering::Relaxed);
                }
                Ok(Some(message)) => record.line(&format!("client: a{number} {}", message.start)),
                other => record.line(&format!("client: a{number} no answer ({other:?})")),
            }
            thread::sleep(Duration::from_millis(40));
        }
    });
}

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let mut deployment = Deployment::new(record, &[(EDGE, ZONE)])?;
    let runs = Runs::default();
    let mut listed = Vec::new();
    for (host, zone) in [(11, ZONE), (12, ZONE), (13, "nr-hall-b"), (14, "nr-hall-b")] {
        let address = SocketAddrV4::new(deployment.ip(host), 8080);
        let id = format!("i-{zone}-{host}");
        Server::new(&id, address, Duration::from_millis(20)).serve(record, &runs)?;
        listed.push(Listed { state: "ready", id, backend: "tile-fetch".to_owned(), address, zone: zone.to_owned(), capacity: 2 });
    }
    deployment.start_all(listed)?;
    deployment.configure(CONFIGURATION)?;
    deployment.wait_ready(EDGE, Duration::from_secs(20))?;

    let control = |host: u8| SocketAddrV4::new(deployment.ip(host), CONTROL_PORT);
    let is_cut = Arc::new(AtomicBool::new(false));
    let link = SocketAddrV4::new(deployment.ip(LINK), CONTROL_PORT);
    start_link(link, control(1), is_cut.clone(), record.clone())?;
    let (first, second) = ((link, "machine 1"), (control(2), "machine 2"));

    let (is_over, served) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU32::new(0)));
    let edge = SocketAddrV4::new(deployment.ip(EDGE), HTTP_PORT);
    start_client(record, edge, is_over.clone(), served.clone());
    thread::sleep(Duration::from_secs(3));

    let (begin, finish) = (format!("/drain/{ZONE}/begin"), format!("/drain/{ZONE}/finish"));
    order_until_taken(record, &[second, first], &begin)?;
    thread::sleep(Duration::from_secs(6));

    // The operator reads the configuration at machine 1 and keeps the connection, on which it then takes the zone back.
    let stream = TcpStream::connect(link).map_err(|error| error.to_string())?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).map_err(|error| error.to_string())?;
    let mut kept = BufReader::new(stream);
    let read = ask(&mut kept, link, "GET", "/config/read", "").map_err(|error| error.to_string())?;
    record.line(&format!("operator: GET /config/read at machine 1: {}", read.start));
    if has_trouble {
        is_cut.store(true, Ordering::Relaxed);
        record.line("link: operator - machine 1 is cut");
    }
    let cut_at = record.now();
    record.line(&format!("operator: POST {finish} to machine 1, on the same connection"));
    match ask(&mut kept, link, "POST", &finish, "") {
        Ok(message) => {
            record.line(&format!("operator: {} from machine 1", message.start));
            if message.status() != 200 {
                order_until_taken(record, &[second], &finish)?;
            }
        }
        Err(error) => {
            record.line(&format!("operator: no answer of machine 1 within 1 s ({error}); connection closed"));
            drop(kept);
            order_until_taken(record, &[second], &finish)?;
        }
    }
    thread::sleep(Duration::from_secs(1));
    order_until_taken(record, &[second], &begin)?;
    let emptied_at = record.now();

    // The link heals 5 s after the cut; the site's cuts last up to 5.5 s.
    thread::sleep(Duration::from_secs_f64((cut_at + 5.0 - record.now()).max(0.0)));
    if has_trouble {
        is_cut.store(false, Ordering::Relaxed);
        record.line("link: operator - machine 1 has healed");
    }
    let healed_at = record.now();
    let judged_from = (emptied_at + EVAC_S).max(healed_at + CONTACT_S);
    thread::sleep(Duration::from_secs_f64((judged_from + 8.0 - record.now()).max(0.0)));
    is_over.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_millis(300));

    let all = runs.all();
    for run in &all {
        record.line(&format!("server {} ran {} at {:.3}", run.server, run.attempt, run.at));
    }
    let in_zone = |run: &&crate::servers::Run| run.server.contains(ZONE);
    let late = all.iter().filter(in_zone).filter(|run| run.at > judged_from).count();
    let after = all.iter().filter(|run| run.at > judged_from).count();
    record.line(&format!(
        "{} requests answered with success; the zone's second emptying was acknowledged at {emptied_at:.3} and never taken back; \
         judged from {judged_from:.3} on: {late} of {after} requests ran in the emptied zone",
        served.load(Ordering::Relaxed)
    ));
    if after < 50 {
        return Err("too few requests were served to judge".to_owned());
    }
    Ok(late > 0)
}
