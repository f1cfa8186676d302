//! Measures the store at the size of the target: what a change costs while one member is away, and what it takes that one,
//! and an empty machine, to hold all again. `cargo run --profile system -p ivygate-config-store --example at_size [CHANGES]`; one process,
//! messages handed over as the bytes that they are on the wire, no clock but the processor's own.

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

/// From, to, the number of the question, whether it is an answer, the message.
type Message = (usize, usize, u64, bool, Bytes);

struct Fleet {
    now: f64,
    stores: Vec<Option<Store>>,
    saved: Vec<DurableState>,
    /// Of the first store.
    disk: Option<Disk>,
    save: Duration,
    saves: u32,
    messages: VecDeque<Message>,
    answered: Option<CommandId>,
    /// Bytes from and to each store, and its processor time.
    bytes: Vec<usize>,
    busy: Vec<Duration>,
    largest: usize,
}

fn ip(n: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, n as u8 + 1)
}

impl Fleet {
    fn start(&mut self, n: usize, bootstrap: bool) {
        let seeds = vec![ip(0), ip(1), ip(2)];
        let store = Store::new(ip(n), seeds, bootstrap, self.saved[n].clone(), n as u64 + 77);
        self.stores[n] = Some(store);
    }

    fn timed<T>(&mut self, n: usize, act: impl FnOnce(&mut Store, f64) -> T) -> Option<T> {
        let now = self.now;
        let begun = Instant::now();
        let store = self.stores[n].as_mut()?;
        let value = act(store, now);
        let outputs = store.take_effects();
        self.busy[n] += begun.elapsed();
        for output in outputs {
            match output {
                Effect::Save => {
                    let Some(store) = &self.stores[n] else { continue };
                    self.saved[n] = store.state().clone();
                    if let (0, Some(disk)) = (n, &mut self.disk) {
                        let begun = Instant::now();
                        disk.save(store.state()).expect("the disk takes it");
                        self.save += begun.elapsed();
                        self.saves += 1;
                    }
                }
                Effect::Send { to, number, request: ask } => {
                    let begun = Instant::now();
                    let bytes = serde_json::to_vec(&ask).expect("it is JSON");
                    self.busy[n] += begun.elapsed();
                    self.send((n, usize::from(to.octets()[3]) - 1, number, false, bytes));
                }
                Effect::Complete { command: call, .. } => self.answered = Some(call),
            }
        }
        Some(value)
    }

    fn send(&mut self, message: Message) {
        self.bytes[message.0] += message.4.len();
        self.bytes[message.1] += message.4.len();
        self.largest = self.largest.max(message.4.len());
        self.messages.push_back(message);
    }

    fn pass(&mut self, time: f64) {
        let end = self.now + time;
        while self.now < end {
            self.now += 10.0;
            for n in 0..self.stores.len() {
                self.timed(n, |store, now| store.tick(Timestamp::from_millis(now)));
            }
            self.deliver();
        }
    }

    fn deliver(&mut self) {
        while let Some((from, to, number, is_answer, bytes)) = self.messages.pop_front() {
            if is_answer {
                self.timed(to, |store, now| {
                    let reply = serde_json::from_slice(&bytes).expect("it is JSON");
                    store.handle_response(Timestamp::from_millis(now), number, Some(reply));
                });
                continue;
            }
            let answer = self.timed(to, |store, now| {
                let ask = serde_json::from_slice(&bytes).expect("it is JSON");
                serde_json::to_vec(&store.handle_request(Timestamp::from_millis(now), ip(from), ask))
                    .expect("it is JSON")
            });
            if let Some(answer) = answer {
                self.send((to, from, number, true, answer));
            }
        }
    }

    fn call(&mut self, n: usize, id: CommandId, change: Command) {
        self.timed(n, |store, now| store.submit(Timestamp::from_millis(now), id, change));
        while self.answered != Some(id) {
            self.deliver();
            if self.answered != Some(id) {
                self.pass(10.0);
            }
        }
    }

    fn digest(&self, n: usize) -> Option<u64> {
        self.stores[n].as_ref().map(|store| store.state().items.digest(Tables::DURABLE))
    }

    /// Lets time pass until a store holds what the first one does; tells how long that took, and with how many bytes.
    fn catch_up(&mut self, n: usize) -> (f64, usize, Duration) {
        let (begun, bytes, busy) = (self.now, self.bytes[n], self.busy[n]);
        while self.digest(n) != self.digest(0) {
            self.pass(10.0);
        }
        (self.now - begun, self.bytes[n] - bytes, self.busy[n] - busy)
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
    Command::ApplyUpdate(ConfigUpdate::parse(call.to_string().as_bytes()).expect("it is sound by itself"))
}

fn main() {
    let changes: usize = std::env::args().nth(1).and_then(|n| n.parse().ok()).unwrap_or(2_500);
    let folder = std::env::temp_dir().join(format!("ivygate-at-size-{}", std::process::id()));
    let (disk, kept) = Disk::open(&folder, 1).map(|opened| (opened.0, opened.1)).expect("a folder");
    let mut saved: Vec<DurableState> = (0..=STORES).map(|n| DurableState::new(n as u64 + 1)).collect();
    saved[0] = kept;
    let mut fleet = Fleet {
        now: 0.0,
        stores: vec![None; STORES + 1],
        saved,
        disk: Some(disk),
        save: Duration::ZERO,
        saves: 0,
        messages: VecDeque::new(),
        answered: None,
        bytes: vec![0; STORES + 1],
        busy: vec![Duration::ZERO; STORES + 1],
        largest: 0,
    };
    (0..STORES).for_each(|n| fleet.start(n, true));
    fleet.pass(4_000.0);
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
    let begun = Instant::now();
    fleet.call(0, 1, apply_update(json!({ "backends": services, "routes": routes, "tenants": tenants })));
    println!("first call, all items: {:?}, largest message {} B", begun.elapsed(), fleet.largest);
    fleet.pass(3_000.0);
    // One is away while the others go on.
    fleet.stores[STORES - 1] = None;
    let (bytes, busy) = (fleet.bytes.clone(), fleet.busy.clone());
    (fleet.save, fleet.saves, fleet.largest) = (Duration::ZERO, 0, 0);
    for n in 0..changes {
        let (name, body) = route(n % ROUTES, 2 + n / ROUTES);
        fleet.call(n % 3, 2 + n as u64, apply_update(json!({ "routes": { name: body } })));
    }
    let of = |n: usize| (fleet.bytes[n] - bytes[n], fleet.busy[n] - busy[n]);
    let all: (usize, Duration) =
        (0..STORES - 1).map(of).fold((0, Duration::ZERO), |a, b| (a.0 + b.0, a.1 + b.1));
    let per = |time: Duration| time.as_secs_f64() * 1e6 / changes as f64;
    println!(
        "a change, of {changes}, with one of {STORES} away: {} B over all links, {:.0} us at all stores together, largest message {} B",
        all.0 / 2 / changes,
        per(all.1),
        fleet.largest
    );
    println!(
        "a save at the first store: {:.0} us, {:.2} a change",
        fleet.save.as_secs_f64() * 1e6 / f64::from(fleet.saves.max(1)),
        f64::from(fleet.saves) / changes as f64
    );
    fleet.pass(2_000.0);
    fleet.start(STORES - 1, false);
    let (time, bytes, busy) = fleet.catch_up(STORES - 1);
    println!("the one that was away holds all after {time:.0} ms: {bytes} B, {busy:?} of its processor");
    // One is gone for good, and an empty one comes.
    fleet.stores[STORES - 1] = None;
    fleet.start(STORES, false);
    let (time, bytes, busy) = fleet.catch_up(STORES);
    println!("an empty one holds all after {time:.0} ms: {bytes} B, {busy:?} of its processor");
    let _ = std::fs::remove_dir_all(&folder);
}
