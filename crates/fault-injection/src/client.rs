//! The client side of the open-loop generator: sends one request at its scheduled time and waits for its final
//! response, independently of earlier requests.

use crate::http::{self, Message};
use crate::relay::Link;
use crate::trace::{lock, Class, Effect, Outcome, Recorder, Request, UnsolicitedData};
use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

/// Time within which an idle connection is reused; nodes close idle connections after 5 s at the earliest.
const KEEP_ALIVE: Duration = Duration::from_secs(2);
/// Time after the deadline for which a client still waits before a response counts as missing, in milliseconds.
const RESPONSE_GRACE_MS: f64 = 300.0;

/// Time after a fault of a client link in which broken connections may still be seen, in milliseconds.
const FAULT_UNCERTAINTY_MS: f64 = 500.0;

/// The client side of a node, reached through its client link.
pub struct NodeEndpoint {
    pub node: usize,
    pub link: Link,
    /// The node was killed: its open requests are lost and never sent again with their ids.
    pub killed: AtomicBool,
    /// End of the time in which its link is faulty, in milliseconds: requests sent before may have arrived.
    faulty_until: AtomicU64,
    idle: Mutex<Vec<(Instant, BufReader<TcpStream>)>>,
}

/// A scheduled request.
#[derive(Clone, Copy, Debug)]
pub struct PlannedRequest {
    pub id: u32,
    pub class: usize,
    pub customer: u32,
    pub scheduled: f64,
}

impl NodeEndpoint {
    pub fn new(node: usize, link: Link) -> Self {
        let (killed, faulty_until, idle) = Default::default();
        Self { node, link, killed, faulty_until, idle }
    }

    /// Records that its link becomes faulty or recovers.
    pub fn set_faulty(&self, on: bool, now: f64) {
        let was = self.faulty_until.load(Ordering::SeqCst) == u64::MAX;
        if on || was {
            let until = if on { u64::MAX } else { (now + FAULT_UNCERTAINTY_MS) as u64 };
            self.faulty_until.store(until, Ordering::SeqCst);
        }
    }

    /// Returns true if a request on a reused connection that was closed cannot have been accepted.
    fn is_unaccepted(&self, now: f64) -> bool {
        !self.killed.load(Ordering::SeqCst) && now as u64 >= self.faulty_until.load(Ordering::SeqCst)
    }

    /// Takes the most recently used idle connection that is still open.
    fn take_idle(&self, recorder: &Recorder) -> Option<BufReader<TcpStream>> {
        let mut idle = lock(&self.idle);
        while let Some((since, stream)) = idle.pop() {
            match stream.get_ref().try_read(&mut [0]) {
                Ok(0) => {}
                Ok(_) => {
                    let stray = UnsolicitedData { node: self.node, at: recorder.now() };
                    recorder.note(|trace| trace.unsolicited.push(stray));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock && since.elapsed() < KEEP_ALIVE => {
                    return Some(stream);
                }
                Err(_) => {}
            }
        }
        None
    }

    /// Records unsolicited data on idle connections and closes them.
    pub fn close(&self, recorder: &Recorder) {
        while self.take_idle(recorder).is_some() {}
    }

    fn put_idle(&self, stream: BufReader<TcpStream>) {
        lock(&self.idle).push((Instant::now(), stream));
    }
}

/// Sends a request to the first of these nodes that accepts a connection, and records its outcome.
pub async fn send_request(
    endpoints: &[&NodeEndpoint],
    planned: PlannedRequest,
    class: &Class,
    spread: usize,
    recorder: &Recorder,
) {
    let delay = recorder.now() - planned.scheduled;
    recorder.note(|trace| trace.generator_delays.push(delay));
    let deadline = planned.scheduled + class.deadline;
    let Some(first) = endpoints.first().map(|endpoint| endpoint.node) else { return };
    let mut request = Request {
        id: planned.id,
        class: planned.class,
        customer: planned.customer,
        scheduled: planned.scheduled,
        written: recorder.now(),
        node: first,
        ended: 0.0,
        outcome: Outcome::Nothing,
        response_count: 0,
    };
    let exchange = async {
        for endpoint in endpoints {
            // A reused connection that closes before the response was not read by the node: retries on a new one.
            for idle in [endpoint.take_idle(recorder), None] {
                let reused = idle.is_some();
                let mut stream = match idle {
                    Some(stream) => stream,
                    None => match TcpStream::connect(endpoint.link.address).await {
                        Ok(stream) => BufReader::new(stream),
                        Err(_) => break,
                    },
                };
                (request.node, request.written) = (endpoint.node, recorder.now());
                let local_address = stream.get_ref().local_addr().ok();
                let remaining_ms = deadline - recorder.now();
                let text = request_text(planned, class, spread, remaining_ms);
                let written = stream.get_mut().write_all(text.as_bytes()).await;
                request.written = recorder.now();
                let response = match written {
                    Ok(()) => http::read(&mut stream).await,
                    Err(error) => Err(error),
                };
                match response {
                    Ok(Some(message)) => {
                        // Data after the response counts as a second response.
                        let has_extra_data = !stream.buffer().is_empty();
                        (request.outcome, request.response_count) =
                            (outcome_of(&message, planned.id), 1 + u32::from(has_extra_data));
                        let closes = message.header("connection") == Some("close");
                        if !closes && !has_extra_data {
                            endpoint.put_idle(stream);
                        }
                        return;
                    }
                    // The link found no server: continues with the next node, as after a refused connection.
                    Ok(None) | Err(_)
                        if local_address
                            .is_some_and(|local_address| endpoint.link.unserved(local_address)) =>
                    {
                        break
                    }
                    Ok(None) | Err(_) if reused && endpoint.is_unaccepted(recorder.now()) => {}
                    Ok(None) | Err(_) => return,
                }
            }
        }
    };
    let until = recorder.instant(deadline + RESPONSE_GRACE_MS);
    let _ = tokio::time::timeout_at(until, exchange).await;
    request.ended = recorder.now();
    recorder.note(|trace| trace.requests.push(request));
}

fn outcome_of(response: &Message, id: u32) -> Outcome {
    match response.status() {
        200 if response.body == format!("made for {id}").as_bytes() => Outcome::Served,
        200 => Outcome::Wrong,
        429 | 503 => Outcome::Refused,
        401 | 403 => Outcome::Denied,
        _ => Outcome::Failed,
    }
}

fn request_text(planned: PlannedRequest, class: &Class, spread: usize, remaining_ms: f64) -> String {
    let PlannedRequest { id, customer, .. } = planned;
    let (method, key, body) = match class.effect {
        Effect::Safe => ("GET", String::new(), ""),
        Effect::Keyed => ("POST", format!("Idempotency-Key: {id:032x}\r\n"), "body"),
        Effect::Unsafe => ("POST", String::new(), "body"),
    };
    let length = if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    let wait = remaining_ms.max(1.0) as u64;
    let (name, units) = (class.name, class.units);
    format!(
        "{method} /{name} HTTP/1.1\r\nHost: service.internal\r\nReq-Id: {id:08}\r\nReq-Kind: {name}\r\n\
         Api-Plan: plain\r\nX-Customer: c{customer}\r\nCookie: customer={customer:016x}\r\nReq-Deadline: {wait}m\r\n{key}{length}\
         Api-Terms: units={units},spread={spread},first=0\r\n\r\n{body}"
    )
}
