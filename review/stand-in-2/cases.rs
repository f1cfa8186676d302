//! Cases of the review: `cases NAME FOLDER`. Exit code 1: the rule was broken; 0: it held; 2: the case could not run.
//! With `TROUBLE=0` the same is done without the disruption.

mod lab;

use lab::*;
use std::io::Write;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const HOST: &str = "hulo84.example";
const KEY: &str = "s989anu6wsjnbanfqasn";
const SECOND: Duration = Duration::from_secs(1);

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// First configuration: one route of a kind to `tile-fetch` and one tenant.
fn config(kind: &str, timeout_s: f64, tries: u32, rate: f64, burst: f64) -> String {
    format!(
        r#"{{"upsert":{{"routes":{{"r-one":{{"vhost":"{HOST}","pathPrefix":"/leny950/","kind":"{kind}","timeoutS":{timeout_s},"targetS":0.6,"prio":1,"backend":"tile-fetch","tries":{tries},"public":false,"homeRegions":[],"gen":"r1"}}}},"tenants":{{"cuka620":{{"apiKeys":["{KEY}"],"prio":1,"ratePerS":{rate},"burst":{burst},"homeRegions":[],"gen":"r1"}}}},"backends":{{"tile-fetch":{{"healthPath":"/healthz","maxConns":120,"proto":"h1","tls":false,"warmupS":3.0,"warmupPerS":20.0,"gen":"r1"}}}},"limits":{{"hdrBytes":16384,"bodyMaxBytes":67108864,"hdrTimeoutS":3,"idleTimeoutS":15,"gen":"r1"}}}},"remove":{{"routes":[]}}}}"#
    )
}

/// One small request on an open connection: the status, or `None` without a complete answer.
fn ask(conn: &mut Conn, method: &str, id: &str, deadline: &str, body: &[u8]) -> Option<(u16, usize)> {
    conn.write(&format!("{method} /leny950/2f HTTP/1.1"), &client_headers(HOST, id, deadline, KEY), body).ok()?;
    let head = conn.head()?;
    let body = conn.body(&head)?;
    Some((head.status(), body.len()))
}

/// LOST: an answer that is on its way to its client is cut off after a SIGTERM, long before `graceS` is over.
fn cut_answer(lab: &Lab, trouble: bool) -> Verdict {
    const ANSWER_BYTES: usize = 15 << 20;
    const BYTES_PER_S: usize = 3_500_000;
    const CLIENTS: usize = 4;
    for zone in ["nr-hall-a", "eb-hall-a"] {
        lab.add_server("tile-fetch", zone, ms(90), large_on_request(ANSWER_BYTES));
    }
    if !lab.boot(&config("idempotent", 20.0, 2, 0.0, 0.0)) {
        return None;
    }
    let edge = lab.cores + 1;
    let (complete, broken, unready) = (AtomicUsize::new(0), AtomicUsize::new(0), AtomicUsize::new(0));
    let last_end = Mutex::new(0.0f64);
    std::thread::scope(|scope| {
        for number in 0..CLIENTS {
            let (complete, broken, unready, last_end) = (&complete, &broken, &unready, &last_end);
            scope.spawn(move || {
                let Ok(mut conn) = Conn::connect(lab.http(edge), SECOND) else {
                    unready.fetch_add(1, Ordering::Relaxed);
                    return;
                };
                // A client behind a slow link with a small window.
                set_receive_buffer(&conn.stream, 64 << 10);
                for _ in 0..3 {
                    let id = lab.new_id();
                    if ask(&mut conn, "GET", &id, "20000", b"").map(|answer| answer.0) != Some(200) {
                        unready.fetch_add(1, Ordering::Relaxed);
                        return;
                    }
                }
                let id = lab.new_id();
                lab.record.line(format!("client {number}: sends {id}, deadline 20 s"));
                let headers = client_headers(HOST, &id, "20000", KEY);
                let _ = conn.write("GET /leny950/large HTTP/1.1", &headers, b"");
                let head = conn.head();
                let length = head.as_ref().and_then(|head| head.header("content-length")?.parse::<usize>().ok());
                let status = head.map_or(0, |head| head.status());
                lab.record.line(format!("client {number}: head of {id}: status {status}, length {length:?}"));
                if status != 200 || length != Some(ANSWER_BYTES) {
                    unready.fetch_add(1, Ordering::Relaxed);
                    return;
                }
                let (start, mut received) = (Instant::now(), 0);
                while received < ANSWER_BYTES {
                    let step = (64 << 10).min(ANSWER_BYTES - received);
                    let came = conn.skip(step);
                    received += came;
                    if came < step {
                        break;
                    }
                    let due = Duration::from_secs_f64(received as f64 / BYTES_PER_S as f64);
                    std::thread::sleep(due.saturating_sub(start.elapsed()));
                }
                let now = lab.record.now();
                let mut last_end = lock(last_end);
                *last_end = last_end.max(now);
                lab.record.line(format!("client {number}: {id} ended with {received} of {ANSWER_BYTES} bytes"));
                let counter = if received == ANSWER_BYTES { complete } else { broken };
                counter.fetch_add(1, Ordering::Relaxed);
            });
        }
        std::thread::sleep(ms(1_000));
        if trouble {
            lab.record.line(format!("platform: SIGTERM to machine-{edge}; SIGKILL would follow after graceS = 6 s"));
            lab.signal(edge, None, TERM);
        }
        let term_at = Instant::now();
        while lab.runs_on(edge) && term_at.elapsed() < Duration::from_secs(6) {
            std::thread::sleep(ms(20));
        }
        if trouble {
            let at = term_at.elapsed().as_secs_f64();
            lab.record.line(format!("machine-{edge}: {} {at:.2} s after SIGTERM", if lab.runs_on(edge) { "still runs" } else { "has ended" }));
            lab.signal(edge, None, KILL);
        }
    });
    if unready.load(Ordering::Relaxed) > 0 {
        return None;
    }
    lab.record.line(format!("complete answers: {complete:?}, cut off: {broken:?}"));
    Some(broken.load(Ordering::Relaxed) == 0)
}

/// A sound server whose answers below `/large` have this many bytes.
fn large_on_request(bytes: usize) -> Behaviour {
    let (small, large) = (sound(vec![b'x'; 100]), sound(vec![b'x'; bytes]));
    Arc::new(move |context, head, conn| {
        let behaviour = if head.path().ends_with("/large") { &large } else { &small };
        behaviour(context, head, conn)
    })
}

/// TWICE: an upload whose server began to work before the whole body was in, and whose answer was lost, runs again.
fn upload_twice(lab: &Lab, trouble: bool) -> Verdict {
    const UPLOADS: usize = 5;
    const BODY_BYTES: usize = 8 << 20;
    // The trouble: the first server that a request reaches loses the answer and resets the connection.
    let seen: Arc<Mutex<std::collections::HashSet<String>>> = Arc::default();
    let behaviour: Behaviour = Arc::new(move |context, head, conn| {
        let length: usize = head.header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
        if length < 1 << 20 {
            return sound(vec![b'x'; 100])(context, head, conn);
        }
        if let Some(keep) = context.preliminary(head, conn) {
            return keep;
        }
        // Works on what comes first, and answers before it has read the long body.
        let begun = conn.skip(256 << 10);
        context.run(head);
        let id = head.header("ivygate-attempt-id").unwrap_or_default().to_owned();
        context.record.line(format!("server {}: runs {id} from its first {begun} bytes", context.info.id));
        std::thread::sleep(context.work);
        let is_first = lock(&seen).insert(id.clone());
        if trouble && is_first {
            context.record.line(format!("server {}: its answer to {id} is lost, connection reset", context.info.id));
            return false;
        }
        let is_written = context.answer(head, conn, b"stored");
        context.record.line(format!("server {}: answered {id} with 200, reads on", context.info.id));
        let rest = length - begun;
        is_written && conn.skip(rest) == rest
    });
    for zone in ["nr-hall-a", "nr-hall-a", "eb-hall-a", "sc-hall-a"] {
        lab.add_server("tile-fetch", zone, ms(110), behaviour.clone());
    }
    if !lab.boot(&config("upload", 8.0, 2, 0.0, 0.0)) {
        return None;
    }
    let body = vec![b'u'; BODY_BYTES];
    let mut answers = Vec::new();
    for number in 0..UPLOADS {
        let edge = lab.cores + 1 + number % lab.edges;
        let Ok(mut conn) = Conn::connect(lab.http(edge), SECOND) else { return None };
        // Earns the budget for retries that any traffic earns.
        for _ in 0..10 {
            let id = lab.new_id();
            ask(&mut conn, "POST", &id, "4000", b"small");
        }
        let id = lab.new_id();
        lab.record.line(format!("client: uploads {id} with {BODY_BYTES} bytes to machine-{edge}, once"));
        let status = ask(&mut conn, "POST", &id, "8000", &body).map(|answer| answer.0);
        lab.record.line(format!("client: answer to {id}: {status:?}"));
        answers.push((id, status));
        std::thread::sleep(ms(300));
    }
    std::thread::sleep(ms(1_500));
    let runs = lab.runs_by_id();
    let mut held = true;
    for (id, status) in &answers {
        let count = runs.get(id).map_or(0, Vec::len);
        lab.record.line(format!("{id}: {count} runs, answered {status:?}"));
        held &= count <= 1 && !(count > 0 && matches!(status, Some(429 | 503 | 408 | 421)));
    }
    if !trouble && answers.iter().any(|(_, status)| *status != Some(200)) {
        return None;
    }
    Some(held)
}

/// Fault: uploads that come together push a proxy over its memory.
fn memory(lab: &Lab, trouble: bool) -> Verdict {
    const MEMORY_MB: f64 = 260.0;
    const BODY_BYTES: usize = 60 << 20;
    let clients = if trouble { 6 } else { 1 };
    for zone in ["nr-hall-a", "eb-hall-a", "sc-hall-a"] {
        lab.add_server("tile-fetch", zone, ms(110), sound(vec![b'x'; 100]));
    }
    if !lab.boot(&config("upload", 20.0, 2, 0.0, 0.0)) {
        return None;
    }
    let ends = Arc::new(Mutex::new(vec![0usize; lab.cores + lab.edges + 1]));
    let served = AtomicUsize::new(0);
    let lost = AtomicUsize::new(0);
    let done = AtomicBool::new(false);
    let body = vec![b'u'; BODY_BYTES];
    for round in 0..3 {
        done.store(false, Ordering::Relaxed);
        std::thread::scope(|scope| {
            let mut uploads = Vec::new();
            for edge in lab.cores + 1..=lab.cores + lab.edges {
                // The platform kills a process that goes over `memMb` and starts it again after a short delay.
                let (ends, done) = (&ends, &done);
                scope.spawn(move || {
                    let mut peak: f64 = 0.0;
                    while !done.load(Ordering::Relaxed) {
                        let used = lab.memory_mb(edge);
                        peak = peak.max(used);
                        if used > MEMORY_MB {
                            lab.record.line(format!("platform: machine-{edge} uses {used:.0} MB of {MEMORY_MB} MB: killed"));
                            lock(ends)[edge] += 1;
                            lab.kill(edge);
                            std::thread::sleep(ms(500));
                            lab.start(edge, "ivygate-proxy", false);
                            break;
                        }
                        std::thread::sleep(ms(2));
                    }
                    lab.record.line(format!("machine-{edge}: peak of round {round} {peak:.0} MB"));
                });
                for number in 0..clients {
                    let (served, lost, body) = (&served, &lost, &body);
                    uploads.push(scope.spawn(move || {
                        let Ok(mut conn) = Conn::connect(lab.http(edge), SECOND) else { return };
                        let id = lab.new_id();
                        lab.record.line(format!("client {number} -> machine-{edge}: uploads {id}, {BODY_BYTES} bytes"));
                        let status = upload(&mut conn, &id, body);
                        lab.record.line(format!("client {number} <- machine-{edge}: {id}: {status:?}"));
                        let counter = if status.is_some() { served } else { lost };
                        counter.fetch_add(1, Ordering::Relaxed);
                    }));
                }
            }
            for upload in uploads {
                let _ = upload.join();
            }
            done.store(true, Ordering::Relaxed);
        });
        lab.wait_ready(Duration::from_secs(10));
        std::thread::sleep(SECOND);
    }
    let ends = lock(&ends);
    lab.record.line(format!("ends by machine: {ends:?}; answered uploads {served:?}, without an answer {lost:?}"));
    if !trouble && served.load(Ordering::Relaxed) == 0 {
        return None;
    }
    // Two machines at least, three times each.
    Some(ends.iter().filter(|count| **count >= 3).count() < 2)
}

/// Uploads a body over a link of 20 MB/s: the status, or `None` without a complete answer.
fn upload(conn: &mut Conn, id: &str, body: &[u8]) -> Option<u16> {
    const BYTES_PER_S: usize = 20_000_000;
    let length = body.len().to_string();
    let mut head = "POST /leny950/2f HTTP/1.1\r\n".to_owned();
    for (name, value) in client_headers(HOST, id, "15000", KEY) {
        head += &format!("{name}: {value}\r\n");
    }
    conn.stream.write_all(format!("{head}Content-Length: {length}\r\n\r\n").as_bytes()).ok()?;
    let start = Instant::now();
    for (number, part) in body.chunks(256 << 10).enumerate() {
        let due = Duration::from_secs_f64((number * (256 << 10)) as f64 / BYTES_PER_S as f64);
        std::thread::sleep(due.saturating_sub(start.elapsed()));
        // An answer may come before the body is sent, and the connection may end.
        if conn.stream.write_all(part).is_err() {
            break;
        }
    }
    let head = conn.head()?;
    conn.body(&head)?;
    Some(head.status())
}

/// EVAC: an order that the operator sent again elsewhere, and has reverted since, comes into force late.
fn stale_drain(lab: &Lab, trouble: bool) -> Verdict {
    const ZONE: &str = "eb-hall-a";
    for zone in ["nr-hall-a", ZONE, "sc-hall-a"] {
        lab.add_server("tile-fetch", zone, ms(20), sound(vec![b'x'; 100]));
    }
    if !lab.boot(&config("idempotent", 3.0, 2, 0.0, 0.0)) {
        return None;
    }
    let stop = Arc::new(AtomicBool::new(false));
    let mut verdict = Some(true);
    std::thread::scope(|scope| {
        for edge in lab.cores + 1..=lab.cores + lab.edges {
            let stop = &stop;
            scope.spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    if let Ok(mut conn) = Conn::connect(lab.http(edge), SECOND) {
                        let _ = conn.stream.set_read_timeout(Some(Duration::from_secs(3)));
                        for _ in 0..20 {
                            ask(&mut conn, "GET", &lab.new_id(), "3000", b"");
                            std::thread::sleep(ms(20));
                        }
                    }
                }
            });
        }
        verdict = stale_drain_cycles(lab, trouble, ZONE);
        stop.store(true, Ordering::Relaxed);
    });
    verdict
}

/// A change of the configuration: another route.
fn change(version: usize) -> String {
    format!(
        r#"{{"upsert":{{"routes":{{"r-two":{{"vhost":"{HOST}","pathPrefix":"/puka{version}/","kind":"idempotent","timeoutS":3,"targetS":0.6,"prio":1,"backend":"tile-fetch","tries":2,"public":false,"homeRegions":[],"gen":"r{version}"}}}}}}}}"#
    )
}

fn stale_drain_cycles(lab: &Lab, trouble: bool, zone: &str) -> Verdict {
    let (begin, finish) = (format!("/drain/{zone}/begin"), format!("/drain/{zone}/finish"));
    let start = Instant::now();
    let mut tried = 0;
    if !lab.order_until_taken("POST", &begin, "", Duration::from_secs(8)) {
        return None;
    }
    let mut hits = 0;
    while start.elapsed() < Duration::from_secs(75) && hits < 4 {
        std::thread::sleep(ms(400));
        // The operator takes the evacuation back, at machine-1. That machine stands still just then.
        // Each order takes two round trips to another region, 220 ms. Another operator's change is under way at machine-1.
        tried += 1;
        let change = change(tried + 1);
        let answer = std::thread::scope(|scope| {
            scope.spawn(|| {
                if lab.order(1, "POST", "/config/amend", &change, SECOND) != Some(200) {
                    lab.order(2, "POST", "/config/amend", &change, SECOND);
                }
            });
            std::thread::sleep(ms(150));
            let order = scope.spawn(|| lab.order(1, "POST", &finish, "", SECOND));
            if trouble {
                std::thread::sleep(ms(110));
                lab.signal(1, None, STOP);
            }
            order.join().ok().flatten()
        });
        let stopped_at = lab.record.now();
        if answer.is_none() {
            lab.record.line("no answer for a second: the operator goes on to machine-2");
        }
        if answer.is_some() {
            lab.signal(1, None, CONT);
            if lab.order(2, "POST", &begin, "", SECOND) != Some(200) {
                return None;
            }
            if !trouble {
                hits += 1;
            } else {
                continue;
            }
        } else {
            let is_taken = lab.order(2, "POST", &finish, "", SECOND) == Some(200);
            // And evacuates the zone again.
            std::thread::sleep(ms(100));
            let is_begun = is_taken && lab.order(2, "POST", &begin, "", SECOND) == Some(200);
            let begun_at = lab.record.now();
            std::thread::sleep(ms(50));
            lab.signal(1, None, CONT);
            lab.record.line(format!("machine-1 runs again, {:.2} s after the operator gave it up", lab.record.now() - stopped_at));
            if !is_begun {
                lab.order_until_taken("POST", &begin, "", Duration::from_secs(8));
                continue;
            }
            let seen = || lock(&lab.runs).iter().any(|run| run.zone == zone && run.at > begun_at + 1.5);
            while !seen() && lab.record.now() < begun_at + 2.3 {
                std::thread::sleep(ms(20));
            }
            if !seen() {
                continue;
            }
            let reached = lock(&lab.runs).iter().find(|run| run.zone == zone && run.at > begun_at + 1.5).cloned();
            lab.record.line(format!("requests reach the evacuated zone again: {reached:?}"));
            hits += 1;
        }
        // The evacuation is acknowledged and not taken back. Requests may reach the zone for evacS = 5 s, and all machines
        // are in touch contactS = 5 s after the machine came back.
        let from = lab.record.now() + 6.5;
        let until = from + 2.5;
        std::thread::sleep(Duration::from_secs_f64(until - lab.record.now()));
        let late = lock(&lab.runs).iter().filter(|run| run.zone == zone && run.at > from).count();
        let all = lock(&lab.runs).iter().filter(|run| run.at > from).count();
        lab.record.line(format!("requests that ran after {from:.1} s: {all}, in the evacuated zone {late}"));
        if late > 0 {
            return Some(false);
        }
        if all == 0 {
            return None;
        }
    }
    Some(true)
}

/// DRAIN: after a core machine was added and another one's processes were killed, nobody reads the platform's list any more.
fn idle_coordinator(lab: &Lab, trouble: bool) -> Verdict {
    let mut ids = Vec::new();
    for zone in ["nr-hall-a", "nr-hall-a", "eb-hall-a", "eb-hall-a", "sc-hall-a", "sc-hall-a"] {
        ids.push(lab.add_server("tile-fetch", zone, ms(20), sound(vec![b'x'; 100])));
    }
    // Core machines 2 to 4 start the system.
    if !lab.boot(&config("idempotent", 3.0, 2, 0.0, 0.0)) {
        return None;
    }
    lab.start_core(1, false);
    lab.record.line("machine-1, a spare core machine, is added with an empty disk");
    std::thread::sleep(Duration::from_secs(8));
    lab.order(2, "GET", "/status", "", SECOND);
    for round in 0..if trouble { 4 } else { 0 } {
        lab.kill(2);
        lab.record.line("machine-2: processes killed");
        // Each is started again after a short delay of its own.
        std::thread::sleep(ms(100));
        lab.start(2, "ivygate-registry", false);
        lab.record.line("machine-2: registry started");
        std::thread::sleep(ms(600));
        lab.start(2, "ivygate-config-store", false);
        lab.record.line("machine-2: store started");
        std::thread::sleep(Duration::from_secs(9));
        let unread_s = lab.record.now() - *lock(&lab.list_read_at);
        lab.record.line(format!("platform: its list was last read {unread_s:.1} s ago, after kill {}", round + 1));
        if unread_s > 4.0 {
            break;
        }
    }
    let stop = AtomicBool::new(false);
    let mut verdict = None;
    std::thread::scope(|scope| {
        for edge in lab.cores + 1..=lab.cores + lab.edges {
            let stop = &stop;
            scope.spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    if let Ok(mut conn) = Conn::connect(lab.http(edge), SECOND) {
                        let _ = conn.stream.set_read_timeout(Some(Duration::from_secs(3)));
                        for _ in 0..20 {
                            ask(&mut conn, "GET", &lab.new_id(), "3000", b"");
                            std::thread::sleep(ms(10));
                        }
                    }
                }
            });
        }
        // With the time since the last kill, much more than contactS = 5 s.
        std::thread::sleep(Duration::from_secs(4));
        let leaving = ids[0].clone();
        for server in lock(&lab.servers).iter_mut().filter(|server| server.id == leaving) {
            server.draining = true;
        }
        let shown_at = lab.record.now();
        lab.record.line(format!("platform: the list shows {leaving} as draining"));
        std::thread::sleep(Duration::from_secs(14));
        let drained = shown_at + 4.0;
        let runs = lock(&lab.runs);
        let late = runs.iter().filter(|run| run.server == leaving && run.at > drained + 0.5).count();
        let all = runs.iter().filter(|run| run.at > drained + 0.5).count();
        lab.record.line(format!("requests that ran later than drainS = 4 s: {all}, at {leaving} {late}"));
        verdict = (all > 0).then_some(late == 0);
        drop(runs);
        // Not judged: servers that join now.
        let new = lab.add_server("tile-fetch", "nr-hall-a", ms(20), sound(vec![b'x'; 100]));
        lab.record.line(format!("platform: the list shows a new server {new}"));
        std::thread::sleep(Duration::from_secs(6));
        let at_new = lock(&lab.runs).iter().filter(|run| run.server == new).count();
        lab.record.line(format!("requests at {new} within 6 s: {at_new}"));
        let unread_s = lab.record.now() - *lock(&lab.list_read_at);
        lab.record.line(format!("platform: its list was last read {unread_s:.1} s ago"));
        stop.store(true, Ordering::Relaxed);
    });
    for machine in 1..=lab.cores {
        lab.order(machine, "GET", "/config/read", "", SECOND);
    }
    verdict
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = &arguments[..] else {
        eprintln!("cases NAME FOLDER");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let (spares, cores) = if name == "idle-coordinator" { (1, 4) } else { (0, 3) };
    let lab = Lab::new(&PathBuf::from(folder), spares, cores, 2, name == "stale-drain");
    let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| match name.as_str() {
        "cut-answer" => cut_answer(&lab, trouble),
        "upload-twice" => upload_twice(&lab, trouble),
        "memory" => memory(&lab, trouble),
        "stale-drain" => stale_drain(&lab, trouble),
        "idle-coordinator" => idle_coordinator(&lab, trouble),
        _ => None,
    }));
    lab.finish(result.unwrap_or(None))
}
