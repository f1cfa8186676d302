//! Communication of the proxy with the other processes: heartbeats to its watchers, replication of control state, usage reports
//! to the quota allocator, and borrowing from the zone's quota proxy.

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
/// Time for which changes are collected into one heartbeat.
const HEARTBEAT_COALESCING_TIME: Duration = Duration::from_millis(10);
/// Timeout of calls to a registry.
const REGISTRY_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout of calls to the zone's quota proxy.
const BORROW_TIMEOUT: Duration = Duration::from_millis(60);
/// Time for which the quota proxy is not called after it did not respond.
const BORROW_BACKOFF: Duration = Duration::from_millis(700);
/// Interval of reports to the quota allocator.
const REPORT_INTERVAL: Duration = Duration::from_millis(600);
/// Minimum time between two reports.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// Cached address of the zone's quota proxy, which is needed for each request. It is valid until the next change of the
/// replica.
#[derive(Clone, Copy, Default)]
struct QuotaProxy {
    /// Change of the replica at which the address was determined.
    change: u64,
    /// Quota proxy; `None` if no other proxy of the zone comes before this one.
    address: Option<Ipv4Addr>,
}

/// Client of a proxy for the other processes of the cluster.
pub(crate) struct ClusterClient {
    settings: BootstrapSettings,
    client: RpcClient,
    clock: MonotonicClock,
    /// Replica of control state, from which other proxies pull.
    pub replica: Rc<StateReplica>,
    /// Version of its own item.
    version: Cell<u64>,
    /// Node description in the last heartbeat.
    last_sent: RefCell<Option<Node>>,
    is_ready: Cell<bool>,
    is_leaving: Cell<bool>,
    targets: RefCell<HeartbeatTargets>,
    heartbeat_due: Notify,
    report_due: Notify,
    /// Called after changes have been merged into the replica.
    change_listener: RefCell<Option<Box<dyn Fn()>>>,
    quota_proxy: Cell<QuotaProxy>,
    /// Time until which the quota proxy is not called, because it did not respond.
    borrow_retry_at: Cell<Option<Instant>>,
}

impl ClusterClient {
    /// Creates the client of a proxy that is not registered yet.
    pub fn new(settings: BootstrapSettings, client: RpcClient, clock: MonotonicClock) -> Rc<Self> {
        Rc::new(Self {
            targets: RefCell::new(HeartbeatTargets::new(settings.seed_machines())),
            settings,
            client,
            clock,
            replica: StateReplica::new(fastrand::u64(1..)),
            version: Cell::new(1),
            last_sent: RefCell::default(),
            is_ready: Cell::new(false),
            is_leaving: Cell::new(false),
            heartbeat_due: Notify::new(),
            report_due: Notify::new(),
            change_listener: RefCell::default(),
            quota_proxy: Cell::default(),
            borrow_retry_at: Cell::new(None),
        })
    }

    /// Sets the function to be called after changes have been merged into the replica.
    pub fn set_change_listener(&self, listener: impl Fn() + 'static) {
        self.change_listener.replace(Some(Box::new(listener)));
    }

    /// Sets whether the proxy is ready, and announces a change at once.
    pub fn set_ready(&self, is_ready: bool) {
        if self.is_ready.replace(is_ready) != is_ready {
            self.heartbeat_due.notify_one();
        }
    }

    /// Announces that the proxy is shutting down.
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

    /// Sends heartbeats until the process ends, at each interval and promptly after a change.
    pub async fn send_heartbeats(self: Rc<Self>) {
        loop {
            let node = self.own_node();
            if self.last_sent.borrow().as_ref().is_some_and(|last| *last != node) {
                self.version.set(self.version.get() + 1);
            }
            self.last_sent.replace(Some(node.clone()));
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
        let sent_at = self.clock.now();
        let response: Result<HeartbeatResponse, RpcError> =
            self.client.post(self.registry_at(watcher), HEARTBEAT_PATH, &heartbeat, REGISTRY_TIMEOUT).await;
        match response {
            Ok(response) => {
                if response.version > self.version.get() {
                    self.version.set(response.version + 1);
                    self.heartbeat_due.notify_one();
                }
                self.targets.borrow_mut().handle_response(sent_at, response.registries);
            }
            Err(error) => tracing::debug!(%watcher, %error, "heartbeat not answered"),
        }
    }

    // Quota shares.

    /// Requests a prompt usage report, because a request was rejected that a larger share might have admitted.
    pub fn request_quota_report(&self) {
        self.report_due.notify_one();
    }

    /// Reports to the quota allocator and applies its grants until the process ends.
    pub async fn report_usage(self: Rc<Self>, leased: Rc<RefCell<LeasedQuota>>) {
        loop {
            let _ = timeout(REPORT_INTERVAL, self.report_due.notified()).await;
            let Some(allocator) = coordinator(&self.replica.items()) else { continue };
            let sent_at = self.clock.now();
            let report = leased.borrow_mut().report(sent_at);
            match self.send_report(allocator, report).await {
                Ok(grant) => {
                    if leased.borrow_mut().handle_grant(sent_at, grant) {
                        // The first grant of an allocator must be confirmed at once.
                        self.report_due.notify_one();
                        continue;
                    }
                }
                Err(error) => {
                    tracing::debug!(%allocator, %error, "no quota granted");
                    // The allocator may have acquired the role only just now.
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

    /// Borrows `count` requests of a tenant's quota from the zone's quota proxy.
    ///
    /// Returns the number of granted requests, or the retry-after time in milliseconds if there are none. Returns `None` if
    /// this proxy is the quota proxy itself or the quota proxy does not respond.
    pub async fn borrow_quota(&self, tenant: &str, count: u32) -> Option<Result<u32, f64>> {
        let lender = self.quota_proxy()?;
        let request = QuotaBorrowRequest { tenant: tenant.to_owned(), count };
        let response: Result<QuotaBorrowResponse, RpcError> =
            self.client.post(self.proxy_at(lender), QUOTA_BORROW_PATH, &request, BORROW_TIMEOUT).await;
        match response {
            Ok(QuotaBorrowResponse { granted: 0, retry_after_ms }) => Some(Err(retry_after_ms)),
            Ok(QuotaBorrowResponse { granted, .. }) => Some(Ok(granted.min(count))),
            Err(error) => {
                tracing::debug!(%lender, %error, "no quota borrowed");
                self.borrow_retry_at.set(Some(Instant::now() + BORROW_BACKOFF));
                None
            }
        }
    }

    /// Returns the zone's quota proxy, if that is another proxy and it is not in backoff.
    fn quota_proxy(&self) -> Option<Ipv4Addr> {
        if self.borrow_retry_at.get().is_some_and(|until| Instant::now() < until) {
            return None;
        }
        let items = self.replica.items();
        let cached = self.quota_proxy.get();
        if cached.change == items.last_change() {
            return cached.address;
        }
        let address = self.first_proxy_of_zone(&items);
        self.quota_proxy.set(QuotaProxy { change: items.last_change(), address });
        address
    }

    /// Returns the first serving proxy of the zone by address, if it comes before this proxy.
    fn first_proxy_of_zone(&self, items: &Items) -> Option<Ipv4Addr> {
        let proxies = Node::all(items, Role::Proxy).into_iter();
        let of_zone = proxies.filter(|node| node.is_serving() && node.zone == self.settings.az);
        of_zone.map(|node| node.ip).min().filter(|first| *first < self.settings.ip)
    }

    // Control state.

    /// Returns the registries to pull from, the nearest first. The ring position spreads proxies over equally near registries.
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

/// Returns the registry that holds the coordinator role according to control state.
fn coordinator(items: &Items) -> Option<Ipv4Addr> {
    let holder = items.body(Table::SingletonRoles, COORDINATOR_ROLE)?.get("holder")?;
    serde_json::from_value(holder.clone()).ok()
}

impl PullSource for ClusterClient {
    /// Returns the parents of this proxy. The first proxy of the zone pulls from a registry, and the others pull from it.
    fn candidates(&self) -> Vec<SocketAddr> {
        let items = self.replica.items();
        let mut candidates = Vec::new();
        if let Some(first) = self.first_proxy_of_zone(&items) {
            candidates.push(self.proxy_at(first));
        }
        let registries = self.registries_by_proximity(&items).into_iter();
        for machine in registries.chain(self.settings.seed_machines()) {
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
