//! A test application server of the platform's protocol: a queue, workers, a cold start, idempotency keys by zone, the
//! usage meter, and faults that are injected while it runs.

use crate::accept::accept;
use crate::http::{self, Message};
use crate::scenario::{RequestFilter, ZONES};
use crate::trace::{lock, Class, Effect, Execution, Recorder};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Semaphore};

/// Queued requests per worker from which further ones are declined.
const QUEUE_PER_WORKER: usize = 16;
/// Period of the usage meter and delay of its readings, in milliseconds.
const METER_PERIOD_MS: f64 = 1000.0;
const METER_DELAY_MS: f64 = 400.0;

/// Properties of an application server.
#[derive(Clone, Copy, Debug)]
pub struct ServerProfile {
    /// Number of requests processed concurrently.
    pub workers: usize,
    /// Fraction of its full speed right after the start.
    pub cold_capacity: f64,
    /// Time from the start until full speed, in milliseconds.
    pub warm_up_time: f64,
    /// Time for which repeats of a key are dropped, in milliseconds.
    pub key_window: f64,
    /// A customer's quota in units per second; the meter reports usage relative to it.
    pub quota: f64,
}

/// State shared by all application servers.
pub struct SharedState {
    pub classes: Vec<Class>,
    pub profile: ServerProfile,
    pub recorder: Recorder,
    /// Keys known to each zone, with the time at which they expire.
    keys: Mutex<[HashMap<u32, f64>; ZONES.len()]>,
    /// Used units by customer and period.
    meter: Mutex<HashMap<u32, Vec<(u64, f64)>>>,
    /// The node of each connection, by the connection's source address.
    origins: Mutex<HashMap<SocketAddr, usize>>,
    seed: u64,
}

impl SharedState {
    pub fn new(classes: Vec<Class>, profile: ServerProfile, recorder: Recorder, seed: u64) -> Arc<Self> {
        let (keys, meter, origins) = Default::default();
        Arc::new(Self { classes, profile, recorder, keys, meter, origins, seed })
    }

    /// Registers the source address of a node's connection.
    pub fn register_connection(&self, address: SocketAddr, node: usize) {
        lock(&self.origins).insert(address, node);
    }

    /// Returns the work of a request in milliseconds, the same at every server.
    pub fn work(&self, class: usize, id: u32) -> f64 {
        let mut draw = fastrand::Rng::with_seed(self.seed ^ (u64::from(id) << 20));
        draw.f64();
        self.classes[class].work * (0.3 - 0.7 * (1.0 - draw.f64()).ln())
    }

    /// Records a keyed request in a zone; returns true if it was unknown there.
    fn is_new(&self, zone: usize, id: u32, now: f64) -> bool {
        let mut keys = lock(&self.keys);
        let known = keys[zone].get(&id).is_some_and(|until| now < *until);
        if !known {
            keys[zone].insert(id, now + self.profile.key_window);
        }
        !known
    }

    /// Records used units; returns the customer's usage in the last published period, in percent of its quota.
    fn meter(&self, customer: u32, units: f64, now: f64) -> u64 {
        let period = (now / METER_PERIOD_MS) as u64;
        let mut meter = lock(&self.meter);
        let periods = meter.entry(customer).or_default();
        match periods.last_mut() {
            Some((last, sum)) if *last == period => *sum += units,
            _ => periods.push((period, units)),
        }
        if periods.len() > 4 {
            periods.remove(0);
        }
        let told = ((now - METER_DELAY_MS) / METER_PERIOD_MS) as u64;
        let used = periods.iter().find(|(p, _)| p + 1 == told).map_or(0.0, |(_, sum)| *sum);
        (100.0 * used / self.profile.quota) as u64
    }
}

/// Current conditions of a server: its state and injected faults.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerConditions {
    /// True while it runs; otherwise it resets open and new connections.
    pub up: bool,
    /// Time of its last start, in milliseconds of the run; `None` if it was warm from the beginning.
    pub started: Option<f64>,
    /// Factors by which the processing time of selected requests is multiplied.
    pub slow: Vec<(RequestFilter, f64)>,
    /// Fractions of selected requests that get status 500 at once.
    pub wrong: Vec<(RequestFilter, f64)>,
    /// Selected requests that are executed but get a reset instead of a response.
    pub no_response: Vec<RequestFilter>,
}

impl Default for ServerConditions {
    fn default() -> Self {
        Self { up: true, started: None, slow: Vec::new(), wrong: Vec::new(), no_response: Vec::new() }
    }
}

/// A running application server; stops when dropped.
pub struct Server {
    pub number: usize,
    pub address: SocketAddr,
    condition: watch::Sender<ServerConditions>,
}

struct ServerTask {
    number: usize,
    shared: Arc<SharedState>,
    workers: Semaphore,
    waiting: AtomicUsize,
    condition: watch::Receiver<ServerConditions>,
}

impl Server {
    pub async fn start(number: usize, shared: Arc<SharedState>) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (condition, seen) = watch::channel(ServerConditions::default());
        let workers = Semaphore::new(shared.profile.workers);
        let task = Arc::new(ServerTask {
            number,
            shared,
            workers,
            waiting: AtomicUsize::new(0),
            condition: seen.clone(),
        });
        accept(listener, seen, move |stream, peer| {
            tokio::spawn(task.clone().serve(stream, peer));
        });
        Ok(Self { number, address, condition })
    }

    /// Changes its conditions.
    pub fn change(&self, change: impl FnOnce(&mut ServerConditions)) {
        self.condition.send_modify(change);
    }
}

impl ServerTask {
    async fn serve(self: Arc<Self>, stream: TcpStream, peer: SocketAddr) {
        // Any end other than an orderly one must appear as a reset.
        let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        let _ = stream.set_nodelay(true);
        let mut condition = self.condition.clone();
        let died = async move {
            let _ = condition.wait_for(|condition| !condition.up).await;
        };
        let serving = async {
            let mut stream = BufReader::new(stream);
            while let Ok(Some(request)) = http::read(&mut stream).await {
                let Some(response) = self.respond(&request, peer).await else { return };
                if stream.get_mut().write_all(&response).await.is_err() {
                    return;
                }
            }
            let _ = socket2::SockRef::from(stream.get_ref()).set_linger(None);
        };
        tokio::select! {
            () = died => {}
            () = serving => {}
        }
        lock(&self.shared.origins).remove(&peer);
    }

    /// Returns the response to a request; `None` resets the connection.
    async fn respond(&self, request: &Message, peer: SocketAddr) -> Option<Vec<u8>> {
        let shared = &self.shared;
        let id: u32 = request.header("req-id")?.parse().ok()?;
        let class = shared.classes.iter().position(|c| Some(c.name) == request.header("req-kind"))?;
        let customer = request.header("cookie")?.strip_prefix("customer=")?;
        let customer = u32::from_str_radix(customer, 16).ok()?;
        let node = lock(&shared.origins).get(&peer).copied()?;
        let condition = self.condition.borrow().clone();
        let affected = |whom: &RequestFilter| whom.nodes.has(node) && whom.customers.has(customer as usize);
        let (now, work) = (shared.recorder.now(), shared.work(class, id));
        let mut execution =
            Execution { id, server: self.number, node, at: now, work, effect: false, declined: false };
        if self.waiting.load(Ordering::SeqCst) >= QUEUE_PER_WORKER * shared.profile.workers {
            execution.declined = true;
            shared.recorder.note(|trace| trace.executions.push(execution));
            return Some(
                b"HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n".to_vec(),
            );
        }
        let wrong = condition.wrong.iter().any(|(whom, part)| affected(whom) && fastrand::f64() < *part);
        execution.effect = match shared.classes[class].effect {
            Effect::Safe | Effect::Unsafe => true,
            Effect::Keyed => shared.is_new(self.number % ZONES.len(), id, now),
        };
        shared.recorder.note(|trace| trace.executions.push(execution));
        let percent = shared.meter(customer, shared.classes[class].units, now);
        if wrong {
            return Some(b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n".to_vec());
        }
        let queue_slot = QueueSlot::enter(&self.waiting);
        let worker = self.workers.acquire().await.ok()?;
        drop(queue_slot);
        let received_at = shared.recorder.now();
        let warmth = condition.started.map_or(1.0, |started| {
            let age = ((received_at - started) / shared.profile.warm_up_time).clamp(0.0, 1.0);
            shared.profile.cold_capacity + (1.0 - shared.profile.cold_capacity) * age
        });
        let slow: f64 =
            condition.slow.iter().filter(|(whom, _)| affected(whom)).map(|(_, times)| times).product();
        tokio::time::sleep(Duration::from_secs_f64(work * slow / warmth / 1000.0)).await;
        drop(worker);
        if self.condition.borrow().no_response.iter().any(affected) {
            return None;
        }
        let body = format!("made for {id}");
        let head =
            format!("HTTP/1.1 200 OK\r\nApi-Usage: {percent}\r\nContent-Length: {}\r\n\r\n", body.len());
        Some((head + &body).into_bytes())
    }
}

/// Counts a request that waits for a worker, until it is dropped, also when its connection fails meanwhile.
struct QueueSlot<'a>(&'a AtomicUsize);

impl<'a> QueueSlot<'a> {
    fn enter(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::SeqCst);
        Self(count)
    }
}

impl Drop for QueueSlot<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}
