//! The proxy as a whole: what is held together, started and ended.

use crate::front::WayFront;
use crate::pools::Pools;
use crate::sight::{Holder, Sight};
use crate::team::Team;
use hyper::StatusCode;
use ivygate_cluster::{follow, Node, Role};
use ivygate_control_state::{Config, Tables};
use ivygate_gateway::Millis;
use ivygate_quota::Rations;
use ivygate_rpc::{serve, Boot, Calls, Fault, Incoming, Kind, Outgoing};
use ivygate_runtime::{listen, ClientLimits, Clients, Clock, Driver};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};

/// Descriptors that neither clients nor servers get.
const RESERVE: u64 = 300;
/// Part of the others that clients get, a fraction.
const CLIENTS_PART: (u64, u64) = (3, 5);
/// Longest head and body where no limits are set.
const UNTOLD: (usize, u64) = (16 << 10, 64 << 20);
/// Requests of a quota that are asked for at once of the zone's first proxy, how long one that was not needed may still be
/// used, in milliseconds, and of how many tenants such are kept.
const TAKEN: u32 = 2;
const STASHED: Millis = 800.0;
const STASHED_MOST: usize = 4_096;
/// News older than this at the first pull are not served by.
const FRESH: Millis = 3_500.0;

/// One proxy.
pub struct Proxy {
    boot: Boot,
    clock: Clock,
    team: Rc<Team>,
    pools: RefCell<Pools>,
    sight: RefCell<Rc<Sight>>,
    rations: Rc<RefCell<Rations>>,
    /// What the zone's first proxy gave and was not used yet, and until when it may be.
    stash: RefCell<HashMap<Arc<str>, (u32, Millis)>>,
    /// The digests of the tables that the sight and the lists were made of.
    made: Cell<(u64, u64)>,
    ready: Cell<bool>,
    ending: Cell<bool>,
}

impl Proxy {
    /// The time now.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// What is seen of the configuration.
    pub fn sight(&self) -> Rc<Sight> {
        self.sight.borrow().clone()
    }

    /// The decision module of a service.
    pub fn driver(&self, service: &str) -> Option<Rc<Driver>> {
        self.pools.borrow().driver(service).cloned()
    }

    /// Longest body of a request.
    pub fn body_most(&self) -> u64 {
        self.sight.borrow().config.limits.as_ref().map_or(UNTOLD.1, |limits| limits.body_max_bytes)
    }

    /// Takes one request of a tenant's quota; else tells how long to stay away. Where this proxy's part is thin, the
    /// first proxy of the zone holds the zone's: few stores of some requests refuse less than many of one.
    pub async fn take_quota(&self, holder: &Holder) -> Result<(), Millis> {
        let tenant = &holder.tenant;
        if tenant.rate_per_s <= 0.0 {
            return Ok(());
        }
        let now = self.now();
        if self.rations.borrow().is_thin(now, &holder.name, tenant.burst) {
            if self.take_stashed(now, &holder.name) {
                return Ok(());
            }
            match self.team.take(&holder.name, TAKEN).await {
                Some(Ok(passed)) => {
                    self.stash.borrow_mut().insert(holder.name.clone(), (passed - 1, self.now() + STASHED));
                    return Ok(());
                }
                Some(Err(wait)) if wait > 0.0 => return Err(wait),
                Some(Err(_)) | None => {}
            }
        }
        let taken = self.rations.borrow_mut().take(self.now(), &holder.name, tenant.rate_per_s, tenant.burst);
        if taken.is_err() {
            self.team.want_shares();
        }
        taken
    }

    fn take_stashed(&self, now: Millis, tenant: &Arc<str>) -> bool {
        let mut stash = self.stash.borrow_mut();
        if stash.len() > STASHED_MOST {
            stash.retain(|_, (_, until)| now < *until);
        }
        match stash.get_mut(tenant) {
            Some((left, until)) if *left > 0 && now < *until => {
                *left -= 1;
                true
            }
            _ => false,
        }
    }

    /// Takes requests of a tenant's quota for another proxy of the zone.
    fn take_for_mate(&self, name: &str, want: u32) -> Result<u32, Millis> {
        let sight = self.sight();
        let Some(tenant) = sight.config.tenants.get(name) else { return Err(0.0) };
        let mut rations = self.rations.borrow_mut();
        let (rate, burst) = (tenant.rate_per_s, tenant.burst);
        let mut passed = 0;
        while passed < want {
            match rations.take(self.now(), name, rate, burst) {
                Ok(()) => passed += 1,
                Err(wait) if passed == 0 => {
                    self.team.want_shares();
                    return Err(wait.max(1.0));
                }
                Err(_) => break,
            }
        }
        Ok(passed)
    }

    /// A request that was let pass was sent to no server.
    pub fn give_back(&self, holder: &Holder) {
        self.rations.borrow_mut().give_back(&holder.name);
    }

    /// News has come.
    fn renew(&self) {
        let items = self.team.news.items();
        let config = items.digest(Tables::CONFIG);
        let lists = items.digest(Tables::SERVERS | Tables::NODES | Tables::DRAINS);
        let made = self.made.replace((config, lists));
        let proxies = Node::all(&items, Role::Proxy).len();
        if made.0 != config {
            match Config::read(&items) {
                Ok(read) => {
                    let sight = Rc::new(Sight::new(read, &self.boot.zones));
                    self.pools.borrow_mut().configure(&sight, proxies);
                    self.sight.replace(sight);
                }
                Err(fault) => tracing::error!("the configuration can't be read and stays as it was: {fault}"),
            }
        } else if made.1 != lists {
            self.pools.borrow_mut().configure(&self.sight(), proxies);
        }
        if made != (config, lists) {
            self.pools.borrow_mut().list(&items, &self.sight());
        }
        let known = !self.sight().config.routes.is_empty() && self.pools.borrow().has_servers();
        if known && !self.ready.get() && self.team.news.age() < FRESH {
            self.ready.set(true);
            self.team.set_ready(true);
            tracing::info!("can serve {} routes", self.sight().config.routes.len());
        }
    }

    async fn answer_ready(self: Rc<Self>, _incoming: Incoming) -> Outgoing {
        let ready = self.ready.get() && !self.ending.get();
        let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        Outgoing { status, body: Vec::new() }
    }
}

/// Runs the proxy until it is told to end.
///
/// # Errors
/// If it can't listen.
pub async fn run(boot: Boot) -> Result<(), Fault> {
    let setting = |what: String| Fault::new(Kind::Setting, what);
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| setting(e.to_string()))?;
    let _hangup = signal(SignalKind::hangup()).map_err(|e| setting(e.to_string()))?;
    let http = boot.listen.http.ok_or_else(|| setting("listen.http: a proxy needs it".into()))?;
    let sockets = boot.limits.nofile.saturating_sub(RESERVE).max(64);
    let client_sockets = sockets * CLIENTS_PART.0 / CLIENTS_PART.1;
    let clock = Clock::new();
    let calls = Calls::default();
    let team = Team::new(boot.clone(), calls.clone());
    let proxy = Rc::new(Proxy {
        pools: RefCell::new(Pools::new(&boot, clock, (sockets - client_sockets) as usize)),
        clock,
        team: team.clone(),
        sight: RefCell::default(),
        stash: RefCell::default(),
        rations: Rc::new(RefCell::new(Rations::new(fastrand::u64(1..)))),
        made: Cell::new((0, 0)),
        ready: Cell::new(false),
        ending: Cell::new(false),
        boot,
    });
    let renewing = Rc::downgrade(&proxy);
    team.on_news(move || {
        if let Some(proxy) = renewing.upgrade() {
            proxy.renew();
        }
    });
    let taking = Rc::downgrade(&proxy);
    team.on_take(move |tenant, want| {
        taking.upgrade().map_or(Err(0.0), |proxy| proxy.take_for_mate(tenant, want))
    });
    let own = SocketAddr::from((proxy.boot.ip, proxy.boot.ports().proxy));
    let answering = team.clone();
    let relay = serve(own, Rc::new(move |incoming| Box::pin(answering.clone().answer(incoming))))?;
    if let Some(readyz) = proxy.boot.listen.readyz {
        let answering = proxy.clone();
        // It answers until the process ends.
        let _ = serve(readyz, Rc::new(move |incoming| Box::pin(answering.clone().answer_ready(incoming))))?;
    }
    let listener = listen(http).map_err(|error| setting(format!("cannot listen on {http}: {error}")))?;
    tracing::info!("serves at {http}");
    tokio::task::spawn_local(follow(team.news.clone(), calls, team.clone(), Tables::all()));
    tokio::task::spawn_local(team.clone().beats());
    tokio::task::spawn_local(team.clone().shares(proxy.rations.clone(), move || clock.now()));
    let mut limits = ClientLimits::new(client_sockets as usize);
    limits.strict_head = Some(UNTOLD.0);
    limits.whole_request = Duration::from_secs(30);
    limits.idle = Duration::from_secs(15);
    limits.idle_once = Duration::from_secs(3);
    limits.read_stall = Some(Duration::from_secs(10));
    let clients = Clients::new(Rc::new(WayFront::new(proxy.clone())), limits);
    let accepting = tokio::task::spawn_local(clients.clone().accept(listener));
    let _ = terminate.recv().await;
    tracing::info!("is told to end");
    proxy.ending.set(true);
    team.leave();
    clients.wind_up(accepting).await;
    relay.wind_up().await;
    Ok(())
}
