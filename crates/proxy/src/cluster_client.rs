//! The proxy among the other processes: heartbeats to its watchers, pulls of control state, reports to the quota allocator, and
//! borrowing from the zone's quota proxy.

use crate::messages::{QuotaBorrowRequest, QuotaBorrowResponse, QUOTA_BORROW_PATH};
use ivygate_cluster::{ring_position, HeartbeatTargets, Node, Proximity, PullSource, Role, StateReplica};
use ivygate_control_state::{Items, Table, COORDINATOR_ROLE};
use ivygate_quota::{LeasedQuota, QuotaGrant};
use ivygate_registry::{
    HeartbeatRequest, HeartbeatResponse, UsageReportRequest, HEARTBEAT_PATH, USAGE_REPORT_PATH,
    WATCHERS_PER_NODE,
};
use ivygate_rpc::{BootstrapSettings, RpcClient, RpcError};
use ivygate_time::MonotonicClock;
use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout, Instant};

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(600);
/// Several changes within this time are told in one heartbeat.
const HEARTBEAT_COALESCING_TIME: Duration = Duration::from_millis(10);
/// How long the answer of a registry is waited for.
const REGISTRY_TIMEOUT: Duration = Duration::from_millis(800);
/// How long the zone's quota proxy is waited for.
const BORROW_TIMEOUT: Duration = Duration::from_millis(60);
/// How long it is left alone when it did not answer.
const BORROW_BACKOFF: Duration = Duration::from_millis(700);
/// Interval of reports to the quota allocator, and the least time between two.
const REPORT_INTERVAL: Duration = Duration::from_millis(600);
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// The zone's quota proxy, if that is another one, as of a change of the replica: it is looked for with each request.
#[derive(Clone, Copy, Default)]
struct QuotaProxy {
    change: u64,
    address: Option<Ipv4Addr>,
}

/// What a proxy is to the other processes.
pub(crate) struct ClusterClient {
    settings: BootstrapSettings,
    client: RpcClient,
    clock: MonotonicClock,
    /// The replica of control state that it keeps and others pull from.
    pub replica: Rc<StateReplica>,
    version: Cell<u64>,
    /// What its last heartbeat told.
    last_told: RefCell<Option<Node>>,
    is_ready: Cell<bool>,
    is_leaving: Cell<bool>,
    targets: RefCell<HeartbeatTargets>,
    heartbeat_due: Notify,
    report_due: Notify,
    /// Called after something new was merged into the replica.
    change_listener: RefCell<Option<Box<dyn Fn()>>>,
    quota_proxy: Cell<QuotaProxy>,
    /// Until when the quota proxy is not asked: it did not answer.
    unreachable_until: Cell<Option<Instant>>,
}

impl ClusterClient {
    /// A proxy that nobody knows yet.
    pub fn new(settings: BootstrapSettings, client: RpcClient, clock: MonotonicClock) -> Rc<Self> {
        Rc::new(Self {
            targets: RefCell::new(HeartbeatTargets::new(settings.seed_machines())),
            settings,
            client,
            clock,
            replica: StateReplica::new(fastrand::u64(1..)),
            version: Cell::new(1),
            last_told: RefCell::default(),
            is_ready: Cell::new(false),
            is_leaving: Cell::new(false),
            heartbeat_due: Notify::new(),
            report_due: Notify::new(),
            change_listener: RefCell::default(),
            quota_proxy: Cell::default(),
            unreachable_until: Cell::new(None),
        })
    }

    /// Has something called whenever something new was merged into the replica.
    pub fn set_change_listener(&self, listener: impl Fn() + 'static) {
        self.change_listener.replace(Some(Box::new(listener)));
    }

    /// From now on it can serve, or can't.
    pub fn set_ready(&self, is_ready: bool) {
        if self.is_ready.replace(is_ready) != is_ready {
            self.heartbeat_due.notify_one();
        }
    }

    /// From now on it is shutting down.
    pub fn announce_shutdown(&self) {
        self.is_leaving.set(true);
        self.heartbeat_due.notify_one();
    }

    fn own_node(&self) -> Node {
        Node {
            ip: self.settings.ip,
            role: Role::Proxy,
            zone: self.settings.az.clone(),
            region: self.settings.region.clone(),
            http: self.settings.listen.http,
            ready: self.is_ready.get(),
            leaving: self.is_leaving.get(),
            lost: false,
        }
    }

    fn registry_at(&self, machine: Ipv4Addr) -> SocketAddr {
        SocketAddr::from((machine, self.settings.ports().registry))
    }

    fn proxy_at(&self, machine: Ipv4Addr) -> SocketAddr {
        SocketAddr::from((machine, self.settings.ports().proxy))
    }

    // Heartbeats.

    /// Sends heartbeats for as long as the process runs: at each interval, and at once when something has changed.
    pub async fn send_heartbeats(self: Rc<Self>) {
        loop {
            let node = self.own_node();
            if self.last_told.borrow().as_ref().is_some_and(|told| *told != node) {
                self.version.set(self.version.get() + 1);
            }
            self.last_told.replace(Some(node.clone()));
            let targets = self.targets.borrow().targets(self.clock.now(), &node, WATCHERS_PER_NODE);
            for watcher in targets {
                let heartbeat = HeartbeatRequest { entry: node.to_item(self.version.get()) };
                let client = self.clone();
                tokio::task::spawn_local(async move { client.send_heartbeat(watcher, heartbeat).await });
            }
            let _ = timeout(HEARTBEAT_INTERVAL, self.heartbeat_due.notified()).await;
            sleep(HEARTBEAT_COALESCING_TIME).await;
        }
    }

    async fn send_heartbeat(&self, watcher: Ipv4Addr, heartbeat: HeartbeatRequest) {
        let asked = self.clock.now();
        let answer: Result<HeartbeatResponse, RpcError> =
            self.client.post(self.registry_at(watcher), HEARTBEAT_PATH, &heartbeat, REGISTRY_TIMEOUT).await;
        match answer {
            Ok(response) => {
                if response.version > self.version.get() {
                    self.version.set(response.version + 1);
                    self.heartbeat_due.notify_one();
                }
                self.targets.borrow_mut().handle_response(asked, response.registries);
            }
            Err(error) => tracing::debug!(%watcher, %error, "heartbeat not answered"),
        }
    }

    // Quota shares.

    /// Has the allocator told soon: a tenant was rejected that another share of its quota might let pass.
    pub fn request_quota_report(&self) {
        self.report_due.notify_one();
    }

    /// Reports to the quota allocator and takes its grants, for as long as the process runs.
    pub async fn report_usage(self: Rc<Self>, leased: Rc<RefCell<LeasedQuota>>) {
        loop {
            let _ = timeout(REPORT_INTERVAL, self.report_due.notified()).await;
            let Some(allocator) = coordinator(&self.replica.items()) else { continue };
            let asked = self.clock.now();
            let report = leased.borrow_mut().report(asked);
            match self.send_report(allocator, report).await {
                Ok(grant) => {
                    if leased.borrow_mut().handle_grant(asked, grant) {
                        // The first grant of this allocator is to be confirmed at once.
                        self.report_due.notify_one();
                        continue;
                    }
                }
                Err(error) => {
                    tracing::debug!(%allocator, %error, "no quota granted");
                    // It may have just acquired the role.
                    self.report_due.notify_one();
                }
            }
            sleep(MIN_REPORT_INTERVAL).await;
        }
    }

    async fn send_report(
        &self,
        allocator: Ipv4Addr,
        report: ivygate_quota::UsageReport,
    ) -> Result<QuotaGrant, RpcError> {
        let request = UsageReportRequest { from: self.own_node().name(), report };
        self.client.post(self.registry_at(allocator), USAGE_REPORT_PATH, &request, REGISTRY_TIMEOUT).await
    }

    /// Asks the zone's quota proxy for requests of a tenant's quota: how many may pass, or how long to stay away in milliseconds.
    /// `None` where this is the quota proxy itself, or the other does not answer.
    pub async fn borrow_quota(&self, tenant: &str, count: u32) -> Option<Result<u32, f64>> {
        let lender = self.quota_proxy()?;
        let request = QuotaBorrowRequest { tenant: tenant.to_owned(), count };
        let answer: Result<QuotaBorrowResponse, RpcError> =
            self.client.post(self.proxy_at(lender), QUOTA_BORROW_PATH, &request, BORROW_TIMEOUT).await;
        match answer {
            Ok(QuotaBorrowResponse { granted: 0, retry_after_ms }) => Some(Err(retry_after_ms)),
            Ok(QuotaBorrowResponse { granted, .. }) => Some(Ok(granted.min(count))),
            Err(error) => {
                tracing::debug!(%lender, %error, "no quota borrowed");
                self.unreachable_until.set(Some(Instant::now() + BORROW_BACKOFF));
                None
            }
        }
    }

    /// The first serving proxy of the zone, if that is another one and it answers.
    fn quota_proxy(&self) -> Option<Ipv4Addr> {
        if self.unreachable_until.get().is_some_and(|until| Instant::now() < until) {
            return None;
        }
        let items = self.replica.items();
        let known = self.quota_proxy.get();
        if known.change == items.last_change() {
            return known.address;
        }
        let address = self.first_proxy_of_zone(&items);
        self.quota_proxy.set(QuotaProxy { change: items.last_change(), address });
        address
    }

    /// The first serving proxy of the zone, if that is another one.
    fn first_proxy_of_zone(&self, items: &Items) -> Option<Ipv4Addr> {
        let proxies = Node::all(items, Role::Proxy).into_iter();
        let of_zone = proxies.filter(|node| node.is_serving() && node.zone == self.settings.az);
        of_zone.map(|node| node.ip).min().filter(|first| *first < self.settings.ip)
    }

    // Control state.

    /// The registries to pull from, near ones first. The ring's position spreads proxies over registries that are equally near.
    fn registries_by_proximity(&self, items: &Items) -> Vec<Ipv4Addr> {
        let registries = Node::all(items, Role::Registry).into_iter().filter(Node::is_up);
        let mut ranked: Vec<(Proximity, u64, Ipv4Addr)> = registries
            .map(|node| {
                let proximity = node.proximity(&self.settings.az, &self.settings.region);
                (proximity, ring_position(&format!("{} {}", self.settings.ip, node.ip)), node.ip)
            })
            .collect();
        ranked.sort_unstable();
        ranked.into_iter().map(|(.., machine)| machine).collect()
    }
}

/// The registry that holds the coordinator role, by control state.
fn coordinator(items: &Items) -> Option<Ipv4Addr> {
    let holder = items.body(Table::SingletonRoles, COORDINATOR_ROLE)?.get("holder")?;
    serde_json::from_value(holder.clone()).ok()
}

impl PullSource for ClusterClient {
    /// The first proxy of the zone pulls from a registry, the others from it.
    fn candidates(&self) -> Vec<SocketAddr> {
        let items = self.replica.items();
        let mut candidates = Vec::new();
        if let Some(first) = self.first_proxy_of_zone(&items) {
            candidates.push(self.proxy_at(first));
        }
        let known = self.registries_by_proximity(&items).into_iter();
        for machine in known.chain(self.settings.seed_machines()) {
            let address = self.registry_at(machine);
            if !candidates.contains(&address) {
                candidates.push(address);
            }
        }
        candidates
    }

    fn on_change(&self) {
        if let Some(listener) = &*self.change_listener.borrow() {
            listener();
        }
    }
}
