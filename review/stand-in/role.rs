//! The coordinator's processes are killed and started again while a core machine that was added stands ready as a learner.
//!
//! Rule: DRAIN. The added machine has the lowest address, so its registry alone may ask for the coordinator role, and its
//! store, which is no member, refuses. Unless the old holder asks before it has heard of that machine, nobody reads the
//! platform's list any more.

use crate::deployment::{Deployment, Listed, HTTP_PORT};
use crate::drain::{start_client, CONFIGURATION};
use crate::record::Record;
use crate::servers::{Runs, Server};
use crate::Verdict;
use std::net::SocketAddrV4;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const CORE: [(u8, &str); 3] = [(2, "nr-hall-a"), (3, "eb-hall-a"), (4, "sc-hall-a")];
/// The core machine that is added.
const ADDED: (u8, &str) = (1, "nr-hall-b");
const EDGE: (u8, &str) = (5, "nr-hall-a");
/// Bounds of `sslopes-edge`, in seconds.
const DRAIN_S: f64 = 4.0;
/// Restarts of the coordinator's processes, each with a calm core before and after it, until one leaves the role vacant.
const ROUNDS: usize = 5;
/// Delays after which the platform starts the processes again.
const REGISTRY_DELAY: Duration = Duration::from_millis(100);
const STORE_DELAY: Duration = Duration::from_millis(800);
/// Time for which requests are judged after each restart, in seconds.
const JUDGED_S: f64 = 4.0;
/// Time after an event at the core after which it is settled, with a second to spare.
const SETTLED: Duration = Duration::from_secs(6);

/// Writes down the parts of a registry's status that matter here.
fn note_status(deployment: &Deployment, record: &Record, host: u8) {
    let status = deployment.status(host);
    let field = |name: &str| {
        let at = status.find(&format!("\"{name}\":"))?;
        status[at..].split(['}', ',']).next().map(str::to_owned)
    };
    let fields: Vec<String> = ["standing", "holder", "epoch"].iter().filter_map(|name| field(name)).collect();
    record.line(&format!("core machine {host}: {}", fields.join(", ")));
}

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let mut deployment = Deployment::with_core(record, &CORE, &[EDGE])?;
    let runs = Runs::default();
    let (mut listed, mut servers) = (Vec::new(), Vec::new());
    for host in 11..=18 {
        let address = SocketAddrV4::new(deployment.ip(host), 8080);
        let server = Server::new(&format!("i-{host}"), address, Duration::from_millis(20));
        server.clone().serve(record, &runs)?;
        let (backend, zone) = ("tile-fetch".to_owned(), "nr-hall-a".to_owned());
        listed.push(Listed { state: "ready", id: server.id.clone(), backend, address, zone, capacity: 2 });
        servers.push(server);
    }
    deployment.start_all(listed)?;
    deployment.configure(CONFIGURATION)?;
    deployment.wait_ready(EDGE.0, Duration::from_secs(20))?;
    let (is_over, served) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU32::new(0)));
    let edge = SocketAddrV4::new(deployment.ip(EDGE.0), HTTP_PORT);
    start_client(record, edge, is_over.clone(), served.clone());
    thread::sleep(Duration::from_secs(2));

    record.line("platform: a core machine is added, with an empty disk");
    deployment.write_settings(ADDED.0, ADDED.1, true, false)?;
    deployment.start("ivygate-config-store", ADDED.0)?;
    deployment.start("ivygate-registry", ADDED.0)?;
    thread::sleep(SETTLED);
    let mut is_broken = false;
    for round in 1..=ROUNDS {
        is_broken = run_round(&mut deployment, record, &runs, &servers[round - 1], has_trouble)?;
        if is_broken {
            break;
        }
    }
    is_over.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_millis(300));
    for run in &runs.all() {
        record.line(&format!("server {} ran {} at {:.3}", run.server, run.attempt, run.at));
    }
    record.line(&format!("{} requests answered with success", served.load(Ordering::Relaxed)));
    Ok(is_broken)
}

/// Kills the coordinator's processes, lets the core settle, and has a server leave. Returns whether requests reach the
/// server too late.
fn run_round(
    deployment: &mut Deployment,
    record: &Record,
    runs: &Runs,
    leaving: &Server,
    has_trouble: bool,
) -> Result<bool, String> {
    if has_trouble {
        deployment.restart_core(CORE[0].0, REGISTRY_DELAY, STORE_DELAY)?;
    }
    thread::sleep(SETTLED);
    for host in [1, 2, 3, 4] {
        note_status(deployment, record, host);
    }
    leaving.is_leaving.store(true, Ordering::Relaxed);
    deployment.show_draining(&leaving.id);
    let judged_from = record.now() + DRAIN_S;
    thread::sleep(Duration::from_secs_f64(DRAIN_S + JUDGED_S));
    let all = runs.all();
    let late = all.iter().filter(|run| run.at > judged_from && run.server == leaving.id).count();
    let after = all.iter().filter(|run| run.at > judged_from).count();
    record.line(&format!(
        "from {judged_from:.3} on, {DRAIN_S} s after the list showed {} as draining, {late} of {after} requests ran at it",
        leaving.id
    ));
    if after < 20 {
        return Err("too few requests were served to judge".to_owned());
    }
    if late > 0 {
        for host in [1, 2, 3, 4] {
            note_status(deployment, record, host);
        }
    }
    Ok(late > 0)
}
