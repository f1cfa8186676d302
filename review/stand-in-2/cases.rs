//! Cases of the review: `cases NAME FOLDER`. Exit code 1: the rule was broken; 0: it held; 2: the case could not run.
//! With `TROUBLE=0` the same is done without the disruption.

mod lab;

use lab::*;
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
    conn.write(&format!("{method} /leny950/2f HTTP/1.1"), &client_headers(HOST, id, deadline, KEY), body)
        .ok()?;
    let head = conn.head()?;
    let body = conn.body(&head)?;
    Some((head.status(), body.len()))
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
            context
                .record
                .line(format!("server {}: its answer to {id} is lost, connection reset", context.info.id));
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

/// Fault: large answers to clients behind slow links push a proxy over its memory.
fn answer_memory(lab: &Lab, trouble: bool) -> Verdict {
    const MEMORY_MB: f64 = 260.0;
    const ANSWER_BYTES: usize = 15 << 20;
    const BYTES_PER_S: usize = 1_500_000;
    let clients = if trouble { 24 } else { 2 };
    for zone in ["nr-hall-a", "eb-hall-a", "sc-hall-a"] {
        for _ in 0..4 {
            lab.add_server("tile-fetch", zone, ms(90), large_on_request(ANSWER_BYTES));
        }
    }
    if !lab.boot(&config("idempotent", 20.0, 2, 0.0, 0.0)) {
        return None;
    }
    let ends = Mutex::new(vec![0usize; lab.cores + lab.edges + 1]);
    let (whole, cut) = (AtomicUsize::new(0), AtomicUsize::new(0));
    for round in 0..3 {
        let done = AtomicBool::new(false);
        std::thread::scope(|scope| {
            let mut reads = Vec::new();
            for edge in lab.cores + 1..=lab.cores + lab.edges {
                // The platform kills a process that goes over `memMb` and starts it again after a short delay.
                let (ends, done) = (&ends, &done);
                scope.spawn(move || {
                    let mut peak: f64 = 0.0;
                    while !done.load(Ordering::Relaxed) {
                        let used = lab.memory_mb(edge);
                        peak = peak.max(used);
                        if used > MEMORY_MB {
                            lab.record.line(format!(
                                "platform: machine-{edge} uses {used:.0} MB of {MEMORY_MB} MB: killed"
                            ));
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
                    let (whole, cut) = (&whole, &cut);
                    reads.push(scope.spawn(move || {
                        std::thread::sleep(ms(100 * number));
                        let received = read_slowly(lab, edge, ANSWER_BYTES, BYTES_PER_S);
                        lab.record.line(format!(
                            "client {number} at machine-{edge}: {received:?} of {ANSWER_BYTES} bytes"
                        ));
                        let counter = if received == Some(ANSWER_BYTES) { whole } else { cut };
                        counter.fetch_add(1, Ordering::Relaxed);
                    }));
                }
            }
            for read in reads {
                let _ = read.join();
            }
            done.store(true, Ordering::Relaxed);
        });
        lab.wait_ready(Duration::from_secs(10));
        std::thread::sleep(SECOND);
    }
    let ends = lock(&ends);
    lab.record.line(format!("ends by machine: {ends:?}; whole answers {whole:?}, others {cut:?}"));
    if !trouble && whole.load(Ordering::Relaxed) == 0 {
        return None;
    }
    // Two machines at least, three times each.
    Some(ends.iter().filter(|count| **count >= 3).count() < 2)
}

/// Reads a large answer over a slow link with a small window: the number of bytes, or `None` if no answer began.
fn read_slowly(lab: &Lab, edge: usize, bytes: usize, bytes_per_s: usize) -> Option<usize> {
    let mut conn = Conn::connect(lab.http(edge), SECOND).ok()?;
    set_receive_buffer(&conn.stream, 64 << 10);
    // A connection that is kept for several requests.
    for _ in 0..3 {
        ask(&mut conn, "GET", &lab.new_id(), "20000", b"")?;
    }
    let id = lab.new_id();
    conn.write("GET /leny950/large HTTP/1.1", &client_headers(HOST, &id, "20000", KEY), b"").ok()?;
    conn.head().filter(|head| head.status() == 200)?;
    let (start, mut received) = (Instant::now(), 0);
    while received < bytes {
        let step = (64 << 10).min(bytes - received);
        let came = conn.skip(step);
        received += came;
        if came < step {
            break;
        }
        let due = Duration::from_secs_f64(received as f64 / bytes_per_s as f64);
        std::thread::sleep(due.saturating_sub(start.elapsed()));
    }
    Some(received)
}

/// REFUSED: an upload on which a slow server works until the route's timeout gets a 503.
fn refused_upload(lab: &Lab, trouble: bool) -> Verdict {
    const UPLOADS: usize = 4;
    const BODY_BYTES: usize = 32 << 20;
    const BYTES_PER_S: f64 = 16e6;
    // The trouble: one of seven servers works four times as long.
    for (number, zone) in
        ["eb-hall-a", "nr-hall-a", "nr-hall-a", "nr-hall-a", "sc-hall-a", "sc-hall-a", "sc-hall-a"]
            .into_iter()
            .enumerate()
    {
        let slowness = if trouble && number == 0 { 4.0 } else { 1.0 };
        let behaviour: Behaviour = Arc::new(move |context, head, conn| {
            let length: usize =
                head.header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
            if length < 1 << 20 {
                return sound(vec![b'x'; 100])(context, head, conn);
            }
            if let Some(keep) = context.preliminary(head, conn) {
                return keep;
            }
            set_receive_buffer(&conn.stream, 64 << 10);
            // Works on the body as it comes, at its own speed.
            let (start, mut worked_on) = (Instant::now(), conn.skip(256 << 10));
            context.run(head);
            let id = head.header("ivygate-attempt-id").unwrap_or_default().to_owned();
            context
                .record
                .line(format!("server {}: runs {id} from its first {worked_on} bytes", context.info.id));
            while worked_on < length {
                let step = (64 << 10).min(length - worked_on);
                let came = conn.skip(step);
                worked_on += came;
                if came < step {
                    context.record.line(format!(
                        "server {}: {id} given up by its sender after {worked_on} bytes",
                        context.info.id
                    ));
                    return false;
                }
                let due = Duration::from_secs_f64(worked_on as f64 * slowness / BYTES_PER_S);
                std::thread::sleep(due.saturating_sub(start.elapsed()));
            }
            context.record.line(format!("server {}: {id} done, answers 200", context.info.id));
            context.answer(head, conn, b"stored")
        });
        lab.add_server("tile-fetch", zone, ms(110), behaviour);
    }
    if !lab.boot(&config("upload", 4.0, 2, 0.0, 0.0)) {
        return None;
    }
    let body = vec![b'u'; BODY_BYTES];
    // The edge machine in the zone of the first server.
    let edge = lab.cores + 2;
    let mut answers = Vec::new();
    for _ in 0..UPLOADS {
        let Ok(mut conn) = Conn::connect(lab.http(edge), SECOND) else { return None };
        let id = lab.new_id();
        lab.record.line(format!("client: uploads {id} with {BODY_BYTES} bytes to machine-{edge}, once"));
        let status = ask(&mut conn, "POST", &id, "4000", &body).map(|answer| answer.0);
        lab.record.line(format!("client: answer to {id}: {status:?}"));
        answers.push((id, status));
        std::thread::sleep(ms(500));
    }
    std::thread::sleep(ms(500));
    let runs = lab.runs_by_id();
    let mut held = true;
    for (id, status) in &answers {
        let count = runs.get(id).map_or(0, Vec::len);
        lab.record.line(format!("{id}: {count} runs, answered {status:?}"));
        held &= !(count > 0 && matches!(status, Some(429 | 503 | 408 | 421)));
    }
    if !trouble && answers.iter().any(|(_, status)| *status != Some(200)) {
        return None;
    }
    Some(held)
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
            lab.record.line(format!(
                "machine-1 runs again, {:.2} s after the operator gave it up",
                lab.record.now() - stopped_at
            ));
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
            let reached =
                lock(&lab.runs).iter().find(|run| run.zone == zone && run.at > begun_at + 1.5).cloned();
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

/// Fault: a core machine's processes are killed in the first second of the system, and no request is ever served.
fn founder_killed(lab: &Lab, trouble: bool) -> Verdict {
    lab.add_server("tile-fetch", "nr-hall-a", ms(20), sound(vec![b'x'; 100]));
    lab.start_all();
    lab.record.line("all machines start for the first time");
    std::thread::sleep(ms(800));
    if trouble {
        lab.kill(1);
        lab.record.line("machine-1: processes killed");
        std::thread::sleep(ms(400));
        // With its disk. The system does not start for the first time any more.
        lab.start_core(1, false);
        lab.record.line("machine-1: processes started");
    }
    let is_taken = lab.order_until_taken(
        "POST",
        "/config/amend",
        &config("idempotent", 3.0, 2, 0.0, 0.0),
        Duration::from_secs(60),
    );
    let mut served = 0;
    for edge in lab.cores + 1..=lab.cores + lab.edges {
        if is_taken {
            lab.wait_ready_at(edge, Duration::from_secs(10));
        }
        for _ in 0..10 {
            let Ok(mut conn) = Conn::connect(lab.http(edge), SECOND) else { continue };
            let id = lab.new_id();
            let status = ask(&mut conn, "GET", &id, "3000", b"").map(|answer| answer.0);
            lab.record.line(format!("client: {id} at machine-{edge}: {status:?}"));
            served += usize::from(status == Some(200));
        }
    }
    lab.record.line(format!("first configuration acknowledged: {is_taken}; requests served: {served}"));
    Some(served > 0)
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = &arguments[..] else {
        eprintln!("cases NAME FOLDER");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let lab = Lab::new(&PathBuf::from(folder), 3, 2, name == "stale-drain");
    let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| match name.as_str() {
        "upload-twice" => upload_twice(&lab, trouble),
        "founder-killed" => founder_killed(&lab, trouble),
        "answer-memory" => answer_memory(&lab, trouble),
        "refused-upload" => refused_upload(&lab, trouble),
        "stale-drain" => stale_drain(&lab, trouble),
        _ => None,
    }));
    lab.finish(result.unwrap_or(None))
}
