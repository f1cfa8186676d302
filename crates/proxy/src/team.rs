//! The proxy among the nodes: heartbeats to its watchers, whom it pulls news from, and what it passes on.

use ivygate_cluster::{Heartbeats, News, Node, Pull, Role, Source};
use ivygate_control_state::{Item, Table};
use ivygate_quota::{Grant, Rations};
use ivygate_registry::{Beat, Beaten, WARDEN, WATCHERS};
use ivygate_rpc::{answer_of, Boot, Calls, Fault, Incoming, Kind, Matcher, Outgoing};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout, Instant};

/// Period of heartbeats.
const BEAT: Duration = Duration::from_millis(600);
/// How long the answer to one is waited for.
const ANSWER: Duration = Duration::from_millis(800);
/// How long the zone's first proxy is waited for, and left alone when it did not answer.
const TAKE: Duration = Duration::from_millis(60);
const MUTE: Duration = Duration::from_millis(700);
/// Most requests that it gives at once.
const TAKE_MOST: u32 = 4;
/// Period of reports to the keeper of shares, and the shortest time between two.
const REPORT: Duration = Duration::from_millis(600);
const REPORT_LEAST: Duration = Duration::from_millis(200);

/// What a proxy is to others of the system.
pub struct Team {
    boot: Boot,
    calls: Calls,
    /// The copy that it keeps and others pull from.
    pub news: Rc<News>,
    version: Cell<u64>,
    told: RefCell<Option<Node>>,
    ready: Cell<bool>,
    leaving: Cell<bool>,
    start: Instant,
    heartbeats: RefCell<Heartbeats>,
    sooner: Notify,
    wanting: Notify,
    /// What is done with news.
    came: RefCell<Option<Box<dyn Fn()>>>,
    /// What is done when another proxy of the zone asks for requests of a tenant's quota; gives how many it may pass.
    takes: RefCell<Option<Box<Takes>>>,
    /// The zone's first proxy, if that is another, by the copy's last change: it is looked for with each request.
    first: Cell<(u64, Option<Ipv4Addr>)>,
    /// Until when the zone's first proxy is not asked: it did not answer.
    mute_until: Cell<Option<Instant>>,
    tree: Vec<Matcher<Call>>,
}

/// Takes requests of a tenant's quota; else tells how long to stay away.
type Takes = dyn Fn(&str, u32) -> Result<u32, f64>;

#[derive(Clone, Copy)]
enum Call {
    News,
    Take,
}

/// A proxy asks the first of its zone for requests of a tenant's quota.
#[derive(Serialize, Deserialize)]
struct Taking {
    tenant: String,
    want: u32,
}

/// How many it may pass, or how long to stay away, in milliseconds.
#[derive(Serialize, Deserialize)]
struct Taken {
    passed: u32,
    wait: f64,
}

impl Team {
    /// A proxy that nobody knows yet.
    pub fn new(boot: Boot, calls: Calls) -> Rc<Self> {
        Rc::new(Self {
            start: Instant::now(),
            heartbeats: RefCell::new(Heartbeats::new(boot.seed_machines())),
            boot,
            calls,
            news: News::new(fastrand::u64(1..)),
            version: Cell::new(1),
            told: RefCell::default(),
            ready: Cell::new(false),
            leaving: Cell::new(false),
            sooner: Notify::new(),
            wanting: Notify::new(),
            came: RefCell::default(),
            takes: RefCell::default(),
            first: Cell::new((0, None)),
            mute_until: Cell::new(None),
            tree: vec![
                Matcher::At("news", vec![Matcher::End("POST", Call::News)]),
                Matcher::At("take", vec![Matcher::End("POST", Call::Take)]),
            ],
        })
    }

    /// What is done whenever news has come.
    pub fn on_news(&self, act: impl Fn() + 'static) {
        self.came.replace(Some(Box::new(act)));
    }

    /// From now on it can serve, or can't.
    pub fn set_ready(&self, ready: bool) {
        if self.ready.replace(ready) != ready {
            self.sooner.notify_one();
        }
    }

    /// From now on it is about to end.
    pub fn leave(&self) {
        self.leaving.set(true);
        self.sooner.notify_one();
    }

    fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    fn node(&self) -> Node {
        Node {
            ip: self.boot.ip,
            role: Role::Proxy,
            zone: self.boot.az.clone(),
            region: self.boot.region.clone(),
            http: self.boot.listen.http,
            ready: self.ready.get(),
            leaving: self.leaving.get(),
            lost: false,
        }
    }

    /// Beats for as long as the process runs.
    pub async fn beats(self: Rc<Self>) {
        loop {
            let node = self.node();
            if self.told.borrow().as_ref().is_some_and(|told| *told != node) {
                self.version.set(self.version.get() + 1);
            }
            self.told.replace(Some(node.clone()));
            let to = self.heartbeats.borrow().to(self.now(), &node, WATCHERS);
            for watcher in to {
                let (team, beat) = (self.clone(), Beat { entry: node.item(self.version.get()) });
                tokio::task::spawn_local(async move { team.beat(watcher, beat).await });
            }
            let _ = timeout(BEAT, self.sooner.notified()).await;
            // Several changes of one moment go out together.
            sleep(Duration::from_millis(10)).await;
        }
    }

    async fn beat(&self, watcher: Ipv4Addr, beat: Beat) {
        let to = SocketAddr::from((watcher, self.boot.ports().registry));
        let asked = self.now();
        let answer: Result<Beaten, Fault> = self.calls.post(to, "/beat", &beat, ANSWER).await;
        match answer {
            Ok(beaten) => {
                if beaten.version > self.version.get() {
                    self.version.set(beaten.version + 1);
                    self.sooner.notify_one();
                }
                self.heartbeats.borrow_mut().answered(asked, beaten.registries);
            }
            Err(fault) => tracing::debug!("the watcher {watcher} did not hear: {fault}"),
        }
    }

    /// Reports to the keeper of shares, and takes its grants, for as long as the process runs.
    pub async fn shares(self: Rc<Self>, rations: Rc<RefCell<Rations>>, now: impl Fn() -> f64) {
        loop {
            let _ = timeout(REPORT, self.wanting.notified()).await;
            let holder =
                self.news.items().body(Table::Duties, WARDEN).and_then(|body| body.get("holder")).cloned();
            let holder = holder.and_then(|holder| serde_json::from_value::<Ipv4Addr>(holder).ok());
            let Some(holder) = holder else { continue };
            let to = SocketAddr::from((holder, self.boot.ports().registry));
            let asked = now();
            let question = serde_json::json!({
                "from": self.node().name(),
                "report": rations.borrow_mut().report(asked),
            });
            let answer: Result<Grant, Fault> = self.calls.post(to, "/shares", &question, ANSWER).await;
            match answer {
                Ok(grant) => {
                    if rations.borrow_mut().granted(asked, grant) {
                        self.wanting.notify_one();
                        continue;
                    }
                }
                Err(fault) => {
                    tracing::debug!("{holder} gives no shares: {fault}");
                    // It may have just begun to.
                    self.wanting.notify_one();
                }
            }
            sleep(REPORT_LEAST).await;
        }
    }

    /// A tenant was refused what another part of its quota might let pass.
    pub fn want_shares(&self) {
        self.wanting.notify_one();
    }

    /// Answers others of the system.
    pub async fn answer(self: Rc<Self>, incoming: Incoming) -> Outgoing {
        let malformed =
            |e: serde_json::Error| answer_of::<()>(Err(Fault::new(Kind::Malformed, e.to_string())));
        match Matcher::find(&self.tree, &incoming.method, &incoming.path).map(|found| found.call) {
            Err(fault) => answer_of::<()>(Err(fault)),
            Ok(Call::News) => match serde_json::from_slice::<Pull>(&incoming.body) {
                Ok(pull) => answer_of(Ok(self.news.pulled(pull).await)),
                Err(error) => malformed(error),
            },
            Ok(Call::Take) => match serde_json::from_slice::<Taking>(&incoming.body) {
                Ok(Taking { tenant, want }) => {
                    let takes = self.takes.borrow();
                    let taken = takes.as_ref().map_or(Err(0.0), |takes| takes(&tenant, want.min(TAKE_MOST)));
                    answer_of(Ok(match taken {
                        Ok(passed) => Taken { passed, wait: 0.0 },
                        Err(wait) => Taken { passed: 0, wait },
                    }))
                }
                Err(error) => malformed(error),
            },
        }
    }

    /// What is done when another proxy of the zone asks for requests of a tenant's quota.
    pub fn on_take(&self, act: impl Fn(&str, u32) -> Result<u32, f64> + 'static) {
        self.takes.replace(Some(Box::new(act)));
    }

    /// The first proxy of the zone, if that is another and it answers.
    fn first_of_zone(&self) -> Option<Ipv4Addr> {
        if self.mute_until.get().is_some_and(|until| Instant::now() < until) {
            return None;
        }
        let items = self.news.items();
        let (change, first) = self.first.get();
        if change == items.changes() {
            return first;
        }
        let nodes = Node::all(&items, Role::Proxy).into_iter();
        let mates = nodes.filter(|node| node.is_up() && node.ready && node.zone == self.boot.az);
        let first = mates.map(|node| node.ip).min().filter(|first| *first < self.boot.ip);
        self.first.set((items.changes(), first));
        first
    }

    /// Asks the first proxy of the zone, which reports for all of it, for requests of a tenant's quota: how many may pass,
    /// or how long to stay away. `None` where there is no other, or it does not answer.
    pub async fn take(&self, tenant: &str, want: u32) -> Option<Result<u32, f64>> {
        let first = self.first_of_zone()?;
        let to = SocketAddr::from((first, self.boot.ports().proxy));
        let taking = Taking { tenant: tenant.to_owned(), want };
        let answer: Result<Taken, Fault> = self.calls.post(to, "/take", &taking, TAKE).await;
        match answer {
            Ok(Taken { passed: 0, wait }) => Some(Err(wait)),
            Ok(Taken { passed, .. }) => Some(Ok(passed.min(want))),
            Err(fault) => {
                tracing::debug!("the zone's first proxy {first} gives nothing: {fault}");
                self.mute_until.set(Some(Instant::now() + MUTE));
                None
            }
        }
    }
}

impl Source for Team {
    /// The first proxy of the zone pulls from a registry, the others from it.
    fn candidates(&self) -> Vec<SocketAddr> {
        let ports = self.boot.ports();
        let items = self.news.items();
        let near = |node: &Node| match (node.zone == self.boot.az, node.region == self.boot.region) {
            (true, _) => 0,
            (false, true) => 1,
            (false, false) => 2,
        };
        let mut mates: Vec<Ipv4Addr> = Node::all(&items, Role::Proxy)
            .into_iter()
            .filter(|node| node.is_up() && node.ready && near(node) == 0)
            .map(|node| node.ip)
            .collect();
        mates.sort_unstable();
        let mut all = Vec::new();
        if let Some(first) = mates.first().filter(|first| **first < self.boot.ip) {
            all.push(SocketAddr::from((*first, ports.proxy)));
        }
        let mut registries: Vec<(u8, u64, Ipv4Addr)> = Node::all(&items, Role::Registry)
            .iter()
            .filter(|node| node.is_up())
            .map(|node| {
                (near(node), ivygate_cluster::place(&format!("{} {}", self.boot.ip, node.ip)), node.ip)
            })
            .collect();
        registries.sort_unstable();
        let known = registries.into_iter().map(|(.., ip)| ip);
        for ip in known.chain(self.boot.seed_machines()) {
            let address = SocketAddr::from((ip, ports.registry));
            if !all.contains(&address) {
                all.push(address);
            }
        }
        all
    }

    fn came(&self, _: Vec<Arc<Item>>) {
        if let Some(act) = &*self.came.borrow() {
            act();
        }
    }
}
