//! Measures the store at its target size: the cost of an update while one member is down, and the cost for that member
//! and for an empty machine to catch up. Run it with `cargo run --profile system -p ivygate-config-store --example
//! at_size [CHANGES]`. All stores run in one process and exchange encoded messages; no clock is used except to measure
//! processor time.

use ivygate_config_store::{Command, CommandId, Disk, DurableState, Effect, Store};
use ivygate_control_state::{ConfigUpdate, Tables};
use ivygate_time::Timestamp;
use serde_json::json;
use std::collections::VecDeque;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

const STORES: usize = 7;
const ROUTES: usize = 810;
const TENANTS: usize = 46_000;
const SERVICES: usize = 99;

type Bytes = Vec<u8>;

/// Sender, receiver, number of the request, whether it is a reply, and the encoded message.
type Message = (usize, usize, u64, bool, Bytes);

struct Cluster {
    now: f64,
    stores: Vec<Option<Store>>,
    saved: Vec<DurableState>,
    /// The disk of the first store.
    disk: Option<Disk>,
    save_time: Duration,
    saves: u32,
    messages: VecDeque<Message>,
    last_completed: Option<CommandId>,
    /// Bytes sent and received by each store; `busy` is its processor time.
    bytes: Vec<usize>,
    busy: Vec<Duration>,
    largest_message: usize,
}

fn ip(n: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, n as u8 + 1)
}

impl Cluster {
    fn start(&mut self, n: usize, bootstrap: bool) {
        let seeds = vec![ip(0), ip(1), ip(2)];
        let store = Store::new(ip(n), seeds, bootstrap, self.saved[n].clone(), n as u64 + 77);
        self.stores[n] = Some(store);
    }

    fn run_step<T>(&mut self, n: usize, act: impl FnOnce(&mut Store, f64) -> T) -> Option<T> {
        let now = self.now;
        let started_at = Instant::now();
        let store = self.stores[n].as_mut()?;
        let value = act(store, now);
        let effects = store.take_effects();
        self.busy[n] += started_at.elapsed();
        for effect in effects {
            match effect {
                Effect::Save => {
                    let Some(store) = &self.stores[n] else { continue };
                    self.saved[n] = store.state().clone();
                    if let (0, Some(disk)) = (n, &mut self.disk) {
                        let started_at = Instant::now();
                        disk.save(store.state()).expect("the save succeeds");
                        self.save_time += started_at.elapsed();
                        self.saves += 1;
                    }
                }
                Effect::Send { to, number, request } => {
                    let started_at = Instant::now();
                    let bytes = serde_json::to_vec(&request).expect("the message is JSON");
                    self.busy[n] += started_at.elapsed();
                    self.send((n, usize::from(to.octets()[3]) - 1, number, false, bytes));
                }
                Effect::Complete { command, .. } => self.last_completed = Some(command),
            }
        }
        Some(value)
    }

    fn send(&mut self, message: Message) {
        self.bytes[message.0] += message.4.len();
        self.bytes[message.1] += message.4.len();
        self.largest_message = self.largest_message.max(message.4.len());
        self.messages.push_back(message);
    }

    fn advance(&mut self, time: f64) {
        let end = self.now + time;
        while self.now < end {
            self.now += 10.0;
            for n in 0..self.stores.len() {
                self.run_step(n, |store, now| store.tick(Timestamp::from_millis(now)));
            }
            self.deliver();
        }
    }

    fn deliver(&mut self) {
        while let Some((from, to, number, is_reply, bytes)) = self.messages.pop_front() {
            if is_reply {
                self.run_step(to, |store, now| {
                    let reply = serde_json::from_slice(&bytes).expect("the message is JSON");
                    store.handle_response(Timestamp::from_millis(now), number, Some(reply));
                });
                continue;
            }
            let reply = self.run_step(to, |store, now| {
                let request = serde_json::from_slice(&bytes).expect("the message is JSON");
                serde_json::to_vec(&store.handle_request(Timestamp::from_millis(now), ip(from), request))
                    .expect("the message is JSON")
            });
            if let Some(reply) = reply {
                self.send((to, from, number, true, reply));
            }
        }
    }

    fn submit_and_wait(&mut self, n: usize, id: CommandId, change: Command) {
        self.run_step(n, |store, now| store.submit(Timestamp::from_millis(now), id, change));
        while self.last_completed != Some(id) {
            self.deliver();
            if self.last_completed != Some(id) {
                self.advance(10.0);
            }
        }
    }

    fn digest(&self, n: usize) -> Option<u64> {
        self.stores[n].as_ref().map(|store| store.state().items.digest(Tables::DURABLE))
    }

    /// Advances the time until a store has the same items as the first one. Returns the simulated duration, the bytes
    /// transferred and the processor time of the store.
    fn catch_up(&mut self, n: usize) -> (f64, usize, Duration) {
        let (started_at, bytes, busy) = (self.now, self.bytes[n], self.busy[n]);
        while self.digest(n) != self.digest(0) {
            self.advance(10.0);
        }
        (self.now - started_at, self.bytes[n] - bytes, self.busy[n] - busy)
    }
}

fn route(n: usize, version: usize) -> (String, serde_json::Value) {
    let body = json!({ "vhost": format!("h{}.example", n % 48), "pathPrefix": format!("/p{n}/"), "kind": "idempotent",
        "backend": format!("b{}", (n + version) % SERVICES), "timeoutS": 3, "targetS": 0.5, "prio": 1, "tries": 2,
        "public": false, "homeRegions": [], "gen": format!("r{version}") });
    (format!("r-{n:04}"), body)
}

fn apply_update(upsert: serde_json::Value) -> Command {
    let call = json!({ "upsert": upsert });
    Command::ApplyUpdate(
        ConfigUpdate::parse(call.to_string().as_bytes()).expect("the update is valid by itself"),
    )
}

fn main() {
    let changes: usize = std::env::args().nth(1).and_then(|n| n.parse().ok()).unwrap_or(2_500);
    let folder = std::env::temp_dir().join(format!("ivygate-at-size-{}", std::process::id()));
    let (disk, state) = Disk::open(&folder, 1).map(|opened| (opened.0, opened.1)).expect("the disk opens");
    let mut saved: Vec<DurableState> = (0..=STORES).map(|n| DurableState::new(n as u64 + 1)).collect();
    saved[0] = state;
    let mut cluster = Cluster {
        now: 0.0,
        stores: vec![None; STORES + 1],
        saved,
        disk: Some(disk),
        save_time: Duration::ZERO,
        saves: 0,
        messages: VecDeque::new(),
        last_completed: None,
        bytes: vec![0; STORES + 1],
        busy: vec![Duration::ZERO; STORES + 1],
        largest_message: 0,
    };
    (0..STORES).for_each(|n| cluster.start(n, true));
    cluster.advance(4_000.0);
    let services: serde_json::Map<_, _> =
        (0..SERVICES).map(|n| (format!("b{n}"), json!({ "gen": "r1", "maxConns": 100 }))).collect();
    let routes: serde_json::Map<_, _> = (0..ROUTES).map(|n| route(n, 1)).collect();
    let tenants: serde_json::Map<_, _> = (0..TENANTS)
        .map(|n| {
            let body = json!({ "apiKeys": [format!("key-{n:012}")], "prio": 1, "ratePerS": 12, "burst": 12,
                "homeRegions": [], "gen": "r1" });
            (format!("t-{n:05}"), body)
        })
        .collect();
    let started_at = Instant::now();
    cluster.submit_and_wait(
        0,
        1,
        apply_update(json!({ "backends": services, "routes": routes, "tenants": tenants })),
    );
    println!(
        "initial update with all items: {:?}, largest message {} B",
        started_at.elapsed(),
        cluster.largest_message
    );
    cluster.advance(3_000.0);
    // One store is down while the others continue.
    cluster.stores[STORES - 1] = None;
    let (bytes, busy) = (cluster.bytes.clone(), cluster.busy.clone());
    (cluster.save_time, cluster.saves, cluster.largest_message) = (Duration::ZERO, 0, 0);
    for n in 0..changes {
        let (name, body) = route(n % ROUTES, 2 + n / ROUTES);
        cluster.submit_and_wait(n % 3, 2 + n as u64, apply_update(json!({ "routes": { name: body } })));
    }
    let cost_of = |n: usize| (cluster.bytes[n] - bytes[n], cluster.busy[n] - busy[n]);
    let total: (usize, Duration) =
        (0..STORES - 1).map(cost_of).fold((0, Duration::ZERO), |a, b| (a.0 + b.0, a.1 + b.1));
    let micros_per_change = |time: Duration| time.as_secs_f64() * 1e6 / changes as f64;
    println!(
        "per update, {changes} updates with one of {STORES} stores down: {} B over all links, {:.0} us of processor time in total, largest message {} B",
        total.0 / 2 / changes,
        micros_per_change(total.1),
        cluster.largest_message
    );
    println!(
        "per save at the first store: {:.0} us, {:.2} saves per update",
        cluster.save_time.as_secs_f64() * 1e6 / f64::from(cluster.saves.max(1)),
        f64::from(cluster.saves) / changes as f64
    );
    cluster.advance(2_000.0);
    cluster.start(STORES - 1, false);
    let (time, bytes, busy) = cluster.catch_up(STORES - 1);
    println!("the restarted store has caught up after {time:.0} ms: {bytes} B, {busy:?} of processor time");
    // One store fails permanently, and an empty one joins.
    cluster.stores[STORES - 1] = None;
    cluster.start(STORES, false);
    let (time, bytes, busy) = cluster.catch_up(STORES);
    println!("an empty store has caught up after {time:.0} ms: {bytes} B, {busy:?} of processor time");
    let _ = std::fs::remove_dir_all(&folder);
}
