//! State of a proxy: the active configuration, the server pools, and the readiness.

use crate::cluster_client::ClusterClient;
use crate::messages::{QuotaBorrowRequest, QuotaBorrowResponse};
use crate::quota::ProxyQuota;
use crate::routing_snapshot::RoutingSnapshot;
use crate::staleness::StateLease;
use crate::upstream_pools::UpstreamPools;
use ivygate_cluster::{Node, PullRequest, Role};
use ivygate_control_state::{Config, Items, Tables};
use ivygate_rpc::{json_response, BootstrapSettings, RouteMatcher, RpcRequest, RpcResponse};
use ivygate_runtime::{Clock, Driver, MemoryAccount, MemoryUsage};
use ivygate_time::Timestamp;
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use tokio::time::Instant;

/// Maximum size of a request head, in bytes.
pub(crate) const DEFAULT_MAX_HEAD_BYTES: usize = 16 << 10;
/// Maximum size of a request body if the configuration sets no limit, in bytes.
const DEFAULT_MAX_BODY_BYTES: u64 = 64 << 20;

/// Digests of the tables as last applied.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
struct AppliedDigests {
    config: u64,
    servers: u64,
}

impl AppliedDigests {
    fn of(items: &Items) -> Self {
        Self {
            config: items.digest(Tables::CONFIG),
            servers: items.digest(Tables::SERVERS | Tables::NODES | Tables::DRAINS),
        }
    }
}

/// Endpoint for the other proxies of the zone, and for people on call.
#[derive(Clone, Copy)]
enum PeerEndpoint {
    Pull,
    BorrowQuota,
    Status,
}

/// Status document of a proxy.
#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct ProxyStatus {
    is_serving: bool,
    memory: Vec<MemoryUsage>,
}

/// State of a proxy.
pub(crate) struct Proxy {
    settings: BootstrapSettings,
    clock: Clock,
    cluster: Rc<ClusterClient>,
    pub quota: ProxyQuota,
    lease: Rc<StateLease>,
    pools: RefCell<UpstreamPools>,
    memory: Arc<MemoryAccount>,
    snapshot: RefCell<Rc<RoutingSnapshot>>,
    applied: Cell<AppliedDigests>,
    is_ready: Cell<bool>,
    is_shutting_down: Cell<bool>,
    peer_routes: Vec<RouteMatcher<PeerEndpoint>>,
}

impl Proxy {
    /// Creates a proxy without a configuration.
    pub fn new(
        settings: BootstrapSettings,
        clock: Clock,
        cluster: Rc<ClusterClient>,
        quota: ProxyQuota,
        lease: Rc<StateLease>,
        pools: UpstreamPools,
        memory: Arc<MemoryAccount>,
    ) -> Rc<Self> {
        Rc::new(Self {
            settings,
            clock,
            cluster,
            quota,
            lease,
            pools: RefCell::new(pools),
            memory,
            snapshot: RefCell::default(),
            applied: Cell::default(),
            is_ready: Cell::new(false),
            is_shutting_down: Cell::new(false),
            peer_routes: vec![
                RouteMatcher::Segment("news", vec![RouteMatcher::Endpoint("POST", PeerEndpoint::Pull)]),
                RouteMatcher::Segment(
                    "take",
                    vec![RouteMatcher::Endpoint("POST", PeerEndpoint::BorrowQuota)],
                ),
                RouteMatcher::Segment("status", vec![RouteMatcher::Endpoint("GET", PeerEndpoint::Status)]),
            ],
        })
    }

    /// Returns the current time by the clock of the decision modules.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Converts a time of that clock to an instant.
    pub fn instant(&self, at: Timestamp) -> Instant {
        self.clock.instant(at)
    }

    /// Returns the active configuration.
    pub fn snapshot(&self) -> Rc<RoutingSnapshot> {
        self.snapshot.borrow().clone()
    }

    /// Returns the driver of a service's decision module.
    pub fn driver(&self, backend: &str) -> Option<Rc<Driver>> {
        self.pools.borrow().driver(backend).cloned()
    }

    /// Returns the maximum size of a request body, in bytes.
    pub fn max_body_bytes(&self) -> usize {
        let snapshot = self.snapshot.borrow();
        let limits = snapshot.config.limits.as_ref();
        let max_bytes = limits.map_or(DEFAULT_MAX_BODY_BYTES, |limits| limits.body_max_bytes);
        usize::try_from(max_bytes).unwrap_or(usize::MAX)
    }

    /// Begins the shutdown: the proxy reports that it is not ready and announces that it is leaving.
    pub fn begin_shutdown(&self) {
        self.is_shutting_down.set(true);
        self.cluster.announce_shutdown();
    }

    /// Returns whether the control state is recent enough to act on.
    pub fn has_valid_state(&self) -> bool {
        self.lease.is_valid()
    }

    /// Returns whether the proxy accepts client requests.
    pub fn is_serving(&self) -> bool {
        self.is_ready.get() && !self.is_shutting_down.get() && self.has_valid_state()
    }

    /// Updates the configuration and the pools after a change of control state.
    pub fn apply_control_state(&self) {
        let items = self.cluster.replica.items();
        let digests = AppliedDigests::of(&items);
        let applied = self.applied.replace(digests);
        let proxies = Node::all(&items, Role::Proxy).len();
        if applied.config != digests.config {
            self.apply_config(&items, proxies);
        } else if applied.servers != digests.servers {
            self.pools.borrow_mut().configure(&self.snapshot(), proxies);
        }
        if applied != digests {
            self.pools.borrow_mut().update_servers(&items, &self.snapshot());
        }
        self.update_readiness();
    }

    fn apply_config(&self, items: &Items, proxies: usize) {
        match Config::from_items(items) {
            Ok(config) => {
                let snapshot = Rc::new(RoutingSnapshot::new(config, &self.settings.zones));
                self.pools.borrow_mut().configure(&snapshot, proxies);
                self.snapshot.replace(snapshot);
            }
            Err(error) => {
                tracing::error!(%error, "configuration can't be read, the previous one stays in force");
            }
        }
    }

    /// Makes the proxy ready once it has routes, servers and recent contact with the store. It stays ready from then on.
    fn update_readiness(&self) {
        if self.is_ready.get() {
            return;
        }
        let routes = self.snapshot().config.routes.len();
        let can_serve = routes > 0 && self.pools.borrow().has_servers();
        if can_serve && self.has_valid_state() {
            self.is_ready.set(true);
            self.cluster.set_ready(true);
            tracing::info!(routes, "proxy ready");
        }
    }

    /// Handles a call from another proxy of the zone.
    pub async fn handle_peer(self: Rc<Self>, request: RpcRequest) -> RpcResponse {
        match RouteMatcher::find(&self.peer_routes, &request.method, &request.path)
            .map(|found| found.endpoint)
        {
            Err(error) => json_response::<()>(Err(error)),
            Ok(PeerEndpoint::Pull) => match request.json::<PullRequest>() {
                Ok(pull) => json_response(Ok(self.cluster.replica.handle_pull(pull).await)),
                Err(error) => json_response::<()>(Err(error)),
            },
            Ok(PeerEndpoint::Status) => json_response(Ok(self.status())),
            Ok(PeerEndpoint::BorrowQuota) => {
                let request = request.json::<QuotaBorrowRequest>();
                json_response(request.map(|request| self.lend_quota(&request)))
            }
        }
    }

    fn status(&self) -> ProxyStatus {
        ProxyStatus { is_serving: self.is_serving(), memory: self.memory.usage().to_vec() }
    }

    fn lend_quota(&self, request: &QuotaBorrowRequest) -> QuotaBorrowResponse {
        let snapshot = self.snapshot();
        self.quota.lend(snapshot.config.tenants.get(&request.tenant), request)
    }
}
