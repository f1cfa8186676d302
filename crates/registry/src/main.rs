//! The program of the registry. It takes the calls from outside, for the store too, and carries news between the
//! network and the [`Book`]; it never decides. With a command it is the operators' side of these calls.

mod operator;

use argh::FromArgs;
use hyper::{Method, StatusCode};
use ivygate_cluster::{follow, News, Node, Pull, Role, Source};
use ivygate_control_state::{Item, Table, Tables};
use ivygate_quota::{Grant, Keeper, Report};
use ivygate_registry::{
    addresses, Beat, Beaten, Book, Errand, Order, Other, Page, Reading, WARDEN, WATCHERS,
};
use ivygate_rpc::{answer_of, serve, Boot, Calls, Fault, Incoming, Kind, Matcher, Outgoing};
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};
use tokio::time::{interval, sleep, Instant, MissedTickBehavior};

/// Knows which nodes and servers there are, and takes the calls from outside. Without a command it serves by the
/// settings file that IVYGATE_CONFIG names.
#[derive(FromArgs)]
struct Arguments {
    /// log details too
    #[argh(switch)]
    verbose: bool,
    #[argh(subcommand)]
    command: Option<operator::Command>,
}

/// Period of the registry's clock.
const TICK: Duration = Duration::from_millis(100);
/// Period of its own heartbeats.
const BEAT: Duration = Duration::from_millis(600);
/// Period in which it compares what it was told with one other registry.
const COMPARE: Duration = Duration::from_millis(1_000);
/// Period of readings of the platform's list, where the platform allows it.
const READING: Duration = Duration::from_millis(500);
/// Part of the platform's calls a second that are used.
const CALLS_PART: f64 = 0.5;
/// Most pages of one reading.
const PAGES_MOST: usize = 1_000;
/// How long others' answers are waited for.
const ANSWER: Duration = Duration::from_millis(800);
/// How long the store's answer to an operator's call is waited for; it gives up by itself before.
const STORE: Duration = Duration::from_millis(3_000);
/// One that was in touch with the core longer ago than this gives no shares out, in milliseconds.
const FRESH: f64 = 3_500.0;
/// By then a registry has heard of all nodes since its start, in milliseconds: two heartbeats, and their way.
const HEARD: f64 = 1_400.0;
/// Answers of other machines are remembered this long, in milliseconds.
const ANSWERED: f64 = 60_000.0;
/// How long a client holds an answer, in seconds, where the rules allow as much.
const TTL: f64 = 1.5;

#[derive(Clone, Copy)]
enum Call {
    News,
    Beat,
    Told,
    Lookup,
    Shares,
    Stored(Order),
    Status,
}

fn calls() -> Vec<Matcher<Call>> {
    use Matcher::{Any, At, End};
    vec![
        At("lookup", vec![End("GET", Call::Lookup)]),
        At("news", vec![End("POST", Call::News)]),
        At("beat", vec![End("POST", Call::Beat)]),
        At("told", vec![End("POST", Call::Told)]),
        At("shares", vec![End("POST", Call::Shares)]),
        At(
            "config",
            vec![
                At("amend", vec![End("POST", Call::Stored(Order::Amend))]),
                At("read", vec![End("GET", Call::Stored(Order::Read))]),
            ],
        ),
        At(
            "drain",
            vec![Any(vec![
                At("begin", vec![End("POST", Call::Stored(Order::Drain))]),
                At("finish", vec![End("POST", Call::Stored(Order::Drain))]),
            ])],
        ),
        At("status", vec![End("GET", Call::Status)]),
    ]
}

/// What one registry tells another.
#[derive(Serialize, Deserialize)]
struct Told {
    items: Vec<Arc<Item>>,
    /// Digest of all that was told, where the other's is wanted back if it differs.
    digest: Option<u64>,
}

/// What a proxy tells the keeper of shares.
#[derive(Deserialize)]
struct Asking {
    from: String,
    report: Report,
}

struct Hutbook {
    boot: Boot,
    start: Instant,
    calls: Calls,
    tree: Vec<Matcher<Call>>,
    book: RefCell<Book>,
    news: Rc<News>,
    /// The version of its own entry.
    version: Cell<u64>,
    leaving: Cell<bool>,
    /// While the warden's duty is held here.
    keeper: RefCell<Option<Keeper>>,
    /// When each other machine last answered, counted from when it was asked.
    answered: RefCell<HashMap<Ipv4Addr, f64>>,
    seeds: Vec<Ipv4Addr>,
}

struct Stores(Rc<Hutbook>);

impl Source for Stores {
    fn candidates(&self) -> Vec<SocketAddr> {
        let own = self.0.boot.ip;
        let ports = self.0.boot.ports();
        let group =
            self.0.news.items().body(Table::Group, "core").and_then(|body| body.get("members")).cloned();
        let group: Vec<Ipv4Addr> = group.and_then(|g| serde_json::from_value(g).ok()).unwrap_or_default();
        let others = group.iter().chain(&self.0.seeds).filter(|ip| **ip != own);
        let mut all = vec![own];
        for ip in others {
            if !all.contains(ip) {
                all.push(*ip);
            }
        }
        all.into_iter().map(|ip| SocketAddr::from((ip, ports.store))).collect()
    }

    fn came(&self, _: Vec<Arc<Item>>) {}
}

impl Hutbook {
    fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    fn registry(&self, ip: Ipv4Addr) -> SocketAddr {
        SocketAddr::from((ip, self.boot.ports().registry))
    }

    /// All other registries that may be there.
    fn others(&self) -> Vec<Ipv4Addr> {
        let mut all = self.book.borrow().registries(&self.news.items());
        all.extend(&self.seeds);
        all.sort_unstable();
        all.dedup();
        all.retain(|ip| *ip != self.boot.ip);
        all
    }

    /// Takes in news of its own making and tells it to all other registries.
    fn spread(self: &Rc<Self>, items: Vec<Item>) {
        let items = self.news.merge(items.into_iter().map(Arc::new));
        if items.is_empty() {
            return;
        }
        for other in self.others() {
            let (hutbook, items) = (self.clone(), items.clone());
            tokio::task::spawn_local(async move {
                let told = Told { items, digest: None };
                let to = hutbook.registry(other);
                // What does not arrive is found missing when copies are compared.
                let _: Result<Vec<Arc<Item>>, Fault> = hutbook.calls.post(to, "/told", &told, ANSWER).await;
            });
        }
    }

    fn entry(&self) -> Node {
        Node {
            ip: self.boot.ip,
            role: Role::Registry,
            zone: self.boot.az.clone(),
            region: self.boot.region.clone(),
            http: None,
            ready: true,
            leaving: self.leaving.get(),
            lost: false,
        }
    }

    /// Beats to its watchers among the other registries; at first to the seeds.
    async fn beats(self: Rc<Self>) {
        loop {
            self.beat();
            sleep(BEAT).await;
        }
    }

    fn beat(self: &Rc<Self>) {
        let node = self.entry();
        let item = node.item(self.version.get());
        self.spread(vec![item.clone()]);
        let up = self.book.borrow().registries(&self.news.items());
        // Alone, it may not know yet who is there.
        let to = if up.len() > WATCHERS { node.watchers(&up, WATCHERS) } else { self.others() };
        for watcher in to {
            let (hutbook, beat) = (self.clone(), Beat { entry: item.clone() });
            tokio::task::spawn_local(async move {
                let (to, asked) = (hutbook.registry(watcher), hutbook.now());
                let answer: Result<Beaten, Fault> = hutbook.calls.post(to, "/beat", &beat, ANSWER).await;
                if let Ok(beaten) = answer {
                    hutbook.heard(watcher, asked);
                    hutbook.known_as(beaten.version);
                }
            });
        }
    }

    /// Others know it under this version: one that it did not give itself is to be exceeded.
    fn known_as(&self, version: u64) {
        if version > self.version.get() {
            self.version.set(version.saturating_add(1));
            self.book.borrow_mut().was_lost(self.now());
        }
    }

    /// Takes in what another registry tells.
    fn told(&self, items: Vec<Arc<Item>>) {
        let book = self.book.borrow();
        let told = |item: &Arc<Item>| Tables::TOLD.contains(item.key.table.set());
        // What is recalled here gets to the others as they compare.
        self.news.merge(items.into_iter().filter(told).filter_map(|item| book.recalled(item)));
    }

    /// Compares what was told with one other registry now and then.
    async fn compares(self: Rc<Self>) {
        loop {
            sleep(COMPARE.mul_f64(0.8 + 0.4 * fastrand::f64())).await;
            let Some(other) = fastrand::choice(self.others()) else { continue };
            let digest = Some(self.news.items().digest(Tables::TOLD));
            let asked = self.now();
            let told = Told { items: Vec::new(), digest };
            let answer: Result<Vec<Arc<Item>>, Fault> =
                self.calls.post(self.registry(other), "/told", &told, ANSWER).await;
            let Ok(theirs) = answer else { continue };
            self.heard(other, asked);
            if theirs.is_empty() {
                continue;
            }
            let lacking = {
                let mut copy = ivygate_control_state::Items::default();
                for item in &theirs {
                    copy.merge_shared(item.clone());
                }
                self.news.items().lacking_in(&copy, Tables::TOLD)
            };
            self.told(theirs);
            let told = Told { items: lacking, digest: None };
            let _: Result<Vec<Arc<Item>>, Fault> =
                self.calls.post(self.registry(other), "/told", &told, ANSWER).await;
        }
    }

    /// Reads the platform's list while that is its duty.
    async fn reads(self: Rc<Self>) {
        let Some(cloud) = self.boot.cloud.clone() else { return };
        loop {
            let epoch = {
                let items = self.news.items();
                let holds = self.book.borrow().holds(&items);
                holds.then(|| (self.book.borrow().epoch(), items.changes()))
            };
            let Some((epoch, change)) = epoch else {
                sleep(TICK).await;
                continue;
            };
            let begun = Instant::now();
            let mut pages = 0;
            match self.read(cloud.address, &mut pages, Reading::new(self.now(), epoch, change)).await {
                Ok(reading) => {
                    let news = self.book.borrow_mut().listed(self.now(), &self.news.items(), reading);
                    self.spread(news);
                }
                Err(fault) => tracing::debug!("the platform's list can't be read: {fault}"),
            }
            let least = Duration::from_secs_f64(pages.max(1) as f64 / (cloud.rate_per_s * CALLS_PART));
            sleep(least.max(READING).saturating_sub(begun.elapsed())).await;
        }
    }

    async fn read(
        &self,
        address: SocketAddr,
        pages: &mut usize,
        mut reading: Reading,
    ) -> Result<Reading, Fault> {
        let mut path = "/instances".to_owned();
        for _ in 0..PAGES_MOST {
            *pages += 1;
            let page: Page = self.calls.get(address, &path, ANSWER).await?;
            reading.page(self.now(), page.rows());
            let Some(cursor) = page.next_cursor else { return Ok(reading) };
            let query =
                form_urlencoded::Serializer::new(String::new()).append_pair("pageToken", &cursor).finish();
            path = format!("/instances?{query}");
        }
        Err(Fault::new(Kind::TooLarge, "the platform's list has too many pages"))
    }

    async fn ticks(self: Rc<Self>) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            // Others turn to other watchers once it leaves: whom it does not hear is not lost, and no duty is its any more.
            if self.leaving.get() {
                return;
            }
            let now = self.now();
            let (news, over) = {
                let items = self.news.items();
                let mut book = self.book.borrow_mut();
                (book.tick(now, self.news.age(), &items), book.forgettable(now, &items))
            };
            for item in &news {
                tracing::info!("{} is lost", item.key.name);
            }
            self.spread(news);
            let wants = self.book.borrow_mut().wants_duty(now, &self.news.items(), &self.group());
            if wants {
                tokio::task::spawn_local(self.clone().take_duty(now));
            }
            if !over.is_empty() {
                self.news.forget(&over);
            }
            let own = self.news.items().version(Table::Nodes, &self.entry().name());
            self.known_as(own);
        }
    }

    /// The machines of the core.
    fn group(&self) -> Vec<Ipv4Addr> {
        let group =
            self.news.items().body(Table::Group, "core").and_then(|body| body.get("members")).cloned();
        group.and_then(|group| serde_json::from_value(group).ok()).unwrap_or_default()
    }

    /// Has the stores write down that it takes the duty, so that no epoch is ever used twice: the answer names the epoch
    /// of this very call.
    async fn take_duty(self: Rc<Self>, asked: f64) {
        let to = SocketAddr::from((self.boot.ip, self.boot.ports().store));
        let taking = json!({ "name": WARDEN, "holder": self.boot.ip});
        let answer: Result<u64, Fault> = self.calls.post(to, "/duty", &taking, STORE).await;
        match answer {
            Ok(epoch) => {
                tracing::info!("takes the duty '{WARDEN}' under epoch {epoch}");
                self.book.borrow_mut().took_duty(asked, self.now(), epoch);
            }
            Err(fault) => {
                tracing::debug!("can't take the duty '{WARDEN}': {fault}");
                self.book.borrow_mut().missed_duty(asked, self.now());
            }
        }
    }

    async fn answer(self: Rc<Self>, incoming: Incoming) -> Outgoing {
        let Incoming { method, path, query, body, .. } = incoming;
        let found = match Matcher::find(&self.tree, &method, &path) {
            Ok(found) => found,
            Err(fault) => return answer_of::<()>(Err(fault)),
        };
        let malformed = |e: serde_json::Error| Fault::new(Kind::Malformed, e.to_string());
        match found.call {
            Call::News => match serde_json::from_slice::<Pull>(&body) {
                Ok(pull) => answer_of(Ok(self.news.pulled(pull).await)),
                Err(error) => answer_of::<()>(Err(malformed(error))),
            },
            Call::Beat => match serde_json::from_slice::<Beat>(&body) {
                Ok(beat) if beat.entry.key.table == Table::Nodes => {
                    let (news, beaten) = {
                        let items = self.news.items();
                        self.book.borrow_mut().beat(self.now(), &items, beat)
                    };
                    self.spread(news.into_iter().collect());
                    answer_of(Ok(beaten))
                }
                Ok(_) => answer_of::<()>(Err(Fault::new(Kind::Invalid, "a heartbeat tells of a node"))),
                Err(error) => answer_of::<()>(Err(malformed(error))),
            },
            Call::Told => match serde_json::from_slice::<Told>(&body) {
                Ok(told) => {
                    self.told(told.items);
                    let items = self.news.items();
                    let differs = told.digest.is_some_and(|digest| digest != items.digest(Tables::TOLD));
                    let all: Vec<Arc<Item>> =
                        if differs { items.all(Tables::TOLD).cloned().collect() } else { Vec::new() };
                    answer_of(Ok(all))
                }
                Err(error) => answer_of::<()>(Err(malformed(error))),
            },
            Call::Lookup => answer_of(self.lookup(&query)),
            Call::Shares => match serde_json::from_slice::<Asking>(&body) {
                Ok(asking) => answer_of(self.grant(&asking)),
                Err(error) => answer_of::<()>(Err(malformed(error))),
            },
            Call::Stored(order) => {
                let method = if method == "GET" { Method::GET } else { Method::POST };
                self.stored(order, method, &path, body).await
            }
            Call::Status => {
                let to = SocketAddr::from((self.boot.ip, self.boot.ports().store));
                let store: Result<serde_json::Value, Fault> = self.calls.get(to, "/status", ANSWER).await;
                let store = store.unwrap_or_else(|fault| json!({ "standing": fault.detail }));
                let items = self.news.items();
                let nodes: HashMap<&str, _> = items.standing(Table::Nodes).collect();
                answer_of(Ok(json!({
                    "store": store,
                    "nodes": nodes,
                    "servers": items.standing(Table::Servers).count(),
                    "warden": items.body(Table::Duties, WARDEN),
                    "epoch": items.version(Table::Duties, WARDEN),
                    "ageMs": self.news.age(),
                })))
            }
        }
    }

    /// The stores on other machines of the group.
    fn other_stores(&self) -> Vec<Other> {
        let (items, answered) = (self.news.items(), self.answered.borrow());
        let other = |ip: &Ipv4Addr| {
            let node = items.body(Table::Nodes, &Role::Registry.name_at(*ip)).and_then(Node::read);
            Other {
                at: SocketAddr::from((*ip, self.boot.ports().store)),
                near: node.is_some_and(|node| node.region == self.boot.region),
                answered: answered.get(ip).copied(),
            }
        };
        self.group().iter().filter(|ip| **ip != self.boot.ip).map(other).collect()
    }

    /// Another machine answered what it was asked at `asked`.
    fn heard(&self, ip: Ipv4Addr, asked: f64) {
        let mut answered = self.answered.borrow_mut();
        answered.retain(|_, at| asked < *at + ANSWERED);
        answered.insert(ip, asked);
    }

    /// Has an operator's call carried out by a store, the own machine's if that can.
    async fn stored(&self, order: Order, method: Method, path: &str, body: bytes::Bytes) -> Outgoing {
        let mut errand = Errand::new(self.now(), order, self.other_stores());
        let own = SocketAddr::from((self.boot.ip, self.boot.ports().store));
        let (mut to, mut wait) = (own, STORE);
        loop {
            let answer = self.calls.raw(to, method.clone(), path, body.clone(), wait).await;
            let (answer, kind) = match answer {
                Ok((status, body)) => {
                    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
                    let fault = || serde_json::from_slice(&body).ok().map(|fault: Fault| fault.kind);
                    let kind = if status == StatusCode::OK { None } else { fault() };
                    (Outgoing { status, body: body.to_vec() }, kind)
                }
                Err(fault) => {
                    let kind = fault.kind;
                    (answer_of::<()>(Err(fault)), Some(kind))
                }
            };
            let Some(next) = kind.and_then(|kind| errand.failed(self.now(), kind)) else { return answer };
            tracing::debug!("{to} can't act, the call goes on to {}", next.0);
            (to, wait) = (next.0, Duration::from_secs_f64(next.1 / 1000.0));
        }
    }

    /// Gives shares of quotas out, while that is its duty and it is in touch with the core.
    fn grant(&self, asking: &Asking) -> Result<Grant, Fault> {
        let items = self.news.items();
        let (now, age, epoch) = (self.now(), self.news.age(), self.book.borrow().epoch());
        let unready = || Fault::new(Kind::Unready, "another registry gives shares out, or none can");
        // What was given out under this epoch is remembered while it is out of touch: it gives on from there.
        if !self.book.borrow().holds(&items) || age > FRESH {
            return Err(unready());
        }
        let mut keeper = self.keeper.borrow_mut();
        let keeper = match &mut *keeper {
            Some(keeper) if keeper.epoch() == epoch => keeper,
            other => other.insert(Keeper::new(now, epoch)),
        };
        // Before it has heard who is there, it can't tell who has a share of an earlier epoch.
        keeper.listen(epoch > 1 && now < HEARD);
        let known = Node::all(&items, Role::Proxy).iter().map(|node| (node.name(), !node.lost)).collect();
        let rate = |tenant: &str| {
            let rate = items.body(Table::Tenants, tenant).and_then(|body| body.get("ratePerS"));
            rate.and_then(serde_json::Value::as_f64).unwrap_or(0.0)
        };
        keeper.report(now, age, &asking.from, &asking.report, &known, rate).ok_or_else(unready)
    }

    fn lookup(&self, query: &str) -> Result<serde_json::Value, Fault> {
        let asked: HashMap<_, _> = form_urlencoded::parse(query.as_bytes()).collect();
        let of = |name: &str| asked.get(name).map(|v| v.as_ref()).unwrap_or_default();
        let (zone, region) = (of("az"), of("region"));
        let region = if region.is_empty() { self.boot.region_of(zone) } else { region };
        let addresses = addresses(&self.news.items(), zone, region);
        if addresses.is_empty() {
            return Err(Fault::new(Kind::Unready, "no proxy is known that can serve"));
        }
        let ttl = TTL.min(self.boot.bound("ttl_max_s", TTL));
        Ok(json!({ "addresses": addresses, "ttlS": ttl }))
    }
}

fn main() -> miette::Result<()> {
    let arguments: Arguments = argh::from_env();
    ivygate_rpc::start_logs("hutbook", arguments.verbose);
    if let Some(command) = arguments.command {
        return operator::run(command);
    }
    ivygate_rpc::run_program(run)
}

async fn run(boot: Boot) -> Result<(), Fault> {
    let mut terminate =
        signal(SignalKind::terminate()).map_err(|e| Fault::new(Kind::Setting, e.to_string()))?;
    let _hangup = signal(SignalKind::hangup()).map_err(|e| Fault::new(Kind::Setting, e.to_string()))?;
    let outside: Vec<SocketAddr> = [boot.listen.ctl, boot.listen.dir].into_iter().flatten().collect();
    let own = SocketAddr::from((boot.ip, boot.ports().registry));
    let hutbook = Rc::new(Hutbook {
        start: Instant::now(),
        calls: Calls::default(),
        tree: calls(),
        book: RefCell::new(Book::new(boot.ip)),
        news: News::new(fastrand::u64(1..)),
        version: Cell::new(1),
        leaving: Cell::new(false),
        keeper: RefCell::default(),
        answered: RefCell::default(),
        seeds: boot.seed_machines(),
        boot,
    });
    let mut servers = Vec::new();
    for address in [own].into_iter().chain(outside) {
        let answering = hutbook.clone();
        servers.push(serve(address, Rc::new(move |incoming| Box::pin(answering.clone().answer(incoming))))?);
    }
    tracing::info!("serves at {own}");
    let source = Rc::new(Stores(hutbook.clone()));
    tokio::task::spawn_local(follow(hutbook.news.clone(), hutbook.calls.clone(), source, Tables::KEPT));
    tokio::task::spawn_local(hutbook.clone().beats());
    tokio::task::spawn_local(hutbook.clone().compares());
    tokio::task::spawn_local(hutbook.clone().reads());
    tokio::task::spawn_local(hutbook.clone().ticks());
    let _ = terminate.recv().await;
    hutbook.leaving.set(true);
    hutbook.version.set(hutbook.version.get() + 1);
    hutbook.beat();
    for server in servers {
        server.wind_up().await;
    }
    Ok(())
}
