//! The machine that founds the store loses its disk in the first second of the system.
//!
//! Rule: Fault ("if no request is served"). It starts again with an empty disk and `bootstrap` false, so it may not found; the others
//! wait for it, as it is the lowest of the seeds.

use crate::deployment::{call, Deployment, Listed, CONTROL_PORT, HTTP_PORT};
use crate::drain::{start_client, CONFIGURATION};
use crate::record::Record;
use crate::servers::{Runs, Server};
use crate::Verdict;
use std::net::SocketAddrV4;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const CORE: [(u8, &str); 3] = [(1, "nr-hall-a"), (2, "eb-hall-a"), (3, "sc-hall-a")];
const EDGE: (u8, &str) = (5, "nr-hall-a");
/// Time after the start at which the disk is lost, and the time until the machine is back.
const LOST_AT: Duration = Duration::from_millis(800);
const BACK_AFTER: Duration = Duration::from_millis(500);
/// Time that the system has for taking its first configuration, in seconds: several times `recoveryS`.
const WAITED_S: f64 = 60.0;

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let mut deployment = Deployment::with_core(record, &CORE, &[EDGE])?;
    let runs = Runs::default();
    let mut listed = Vec::new();
    for host in [11, 12] {
        let address = SocketAddrV4::new(deployment.ip(host), 8080);
        let id = format!("i-{host}");
        Server::new(&id, address, Duration::from_millis(20)).serve(record, &runs)?;
        let (backend, zone) = ("tile-fetch".to_owned(), "nr-hall-a".to_owned());
        listed.push(Listed { state: "ready", id, backend, address, zone, capacity: 2 });
    }
    deployment.start_all(listed)?;
    if has_trouble {
        thread::sleep(LOST_AT);
        deployment.lose_disk(CORE[0].0, CORE[0].1, BACK_AFTER)?;
    }
    let mut is_taken = false;
    while !is_taken && record.now() < WAITED_S {
        for (host, _) in CORE {
            let to = SocketAddrV4::new(deployment.ip(host), CONTROL_PORT);
            let answer = call(to, "POST", "/config/amend", CONFIGURATION, Duration::from_secs(1));
            let text = answer.as_ref().map_or_else(ToString::to_string, |message| message.start.clone());
            record.line(&format!("operator: first configuration to core machine {host}: {text}"));
            if answer.is_ok_and(|message| message.status() == 200) {
                is_taken = true;
                break;
            }
            thread::sleep(Duration::from_millis(500));
        }
    }
    let (is_over, served) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU32::new(0)));
    let edge = SocketAddrV4::new(deployment.ip(EDGE.0), HTTP_PORT);
    start_client(record, edge, is_over.clone(), served.clone());
    thread::sleep(Duration::from_secs(6));
    is_over.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_millis(300));
    for (host, _) in CORE {
        record.line(&format!("core machine {host}: {}", deployment.status(host)));
    }
    let served = served.load(Ordering::Relaxed);
    record.line(&format!("first configuration acknowledged: {is_taken}; {served} requests were served"));
    Ok(served == 0)
}
