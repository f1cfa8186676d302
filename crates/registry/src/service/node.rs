//! State shared by the tasks and handlers of a registry.

use crate::registry::Registry;
use ivygate_cluster::{store_members, Node, PullSource, Role, StateReplica};
use ivygate_control_state::Item;
use ivygate_quota::QuotaAllocator;
use ivygate_rpc::{control_memory_account, BootstrapSettings, MemoryAccount, RouteMatcher, RpcClient};
use ivygate_time::{MonotonicClock, Timestamp};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::endpoints::{routes, Endpoint};

/// Timeout of calls to other registries and to the platform's server list.
pub(super) const PEER_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout of calls to the store, which has a shorter timeout of its own.
pub(super) const STORE_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Time for which responses of other machines are remembered.
const RESPONSE_RETENTION: Duration = Duration::from_millis(60_000);

/// Running registry.
pub(super) struct RegistryNode {
    pub settings: BootstrapSettings,
    pub client: RpcClient,
    pub routes: Vec<RouteMatcher<Endpoint>>,
    pub registry: RefCell<Registry>,
    pub replica: Rc<StateReplica>,
    /// Account of the memory of calls.
    pub memory: Arc<MemoryAccount>,
    /// Version of its own item.
    pub version: Cell<u64>,
    pub is_leaving: Cell<bool>,
    /// Readiness for the coordinator role, as last published.
    pub is_ready: Cell<bool>,
    /// Quota allocator of the last epoch in which shares were granted here.
    pub allocator: RefCell<Option<QuotaAllocator>>,
    clock: MonotonicClock,
    /// Time of the last request to which each other machine responded.
    pub last_responses: RefCell<HashMap<Ipv4Addr, Timestamp>>,
    seeds: Vec<Ipv4Addr>,
}

impl RegistryNode {
    /// Creates a registry from its settings.
    pub fn new(settings: BootstrapSettings) -> Rc<Self> {
        Rc::new(Self {
            client: RpcClient::default(),
            routes: routes(),
            registry: RefCell::new(Registry::new(settings.ip)),
            replica: StateReplica::new(fastrand::u64(1..)),
            memory: control_memory_account(settings.limits),
            version: Cell::new(1),
            is_leaving: Cell::new(false),
            is_ready: Cell::new(true),
            allocator: RefCell::default(),
            clock: MonotonicClock::start(),
            last_responses: RefCell::default(),
            seeds: settings.seed_machines(),
            settings,
        })
    }

    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Returns the address of another machine's registry.
    pub fn registry_at(&self, machine: Ipv4Addr) -> SocketAddr {
        SocketAddr::from((machine, self.settings.ports().registry))
    }

    /// Returns the address of the own machine's store.
    pub fn own_store(&self) -> SocketAddr {
        SocketAddr::from((self.settings.ip, self.settings.ports().store))
    }

    /// Returns all other registries that may exist, including the seeds.
    pub fn other_registries(&self) -> Vec<Ipv4Addr> {
        let mut others = self.registry.borrow().live_registries(&self.replica.items());
        others.extend(&self.seeds);
        others.sort_unstable();
        others.dedup();
        others.retain(|machine| *machine != self.settings.ip);
        others
    }

    /// Returns the description of this process for the table of nodes.
    pub fn own_node(&self) -> Node {
        Node {
            ip: self.settings.ip,
            role: Role::Registry,
            zone: self.settings.az.clone(),
            region: self.settings.region.clone(),
            http: None,
            ready: self.is_ready.get(),
            leaving: self.is_leaving.get(),
            lost: false,
        }
    }

    /// Records that another machine responded to a request sent at `sent_at`.
    pub fn record_response(&self, machine: Ipv4Addr, sent_at: Timestamp) {
        let mut last_responses = self.last_responses.borrow_mut();
        last_responses.retain(|_, last| sent_at < *last + RESPONSE_RETENTION);
        last_responses.insert(machine, sent_at);
    }

    /// Merges items created by this registry and sends the new ones to all other registries.
    pub fn publish(self: &Rc<Self>, items: Vec<Item>) {
        let items = self.replica.merge(items.into_iter().map(Arc::new));
        if items.is_empty() {
            return;
        }
        for peer in self.other_registries() {
            let (node, items) = (self.clone(), items.clone());
            // Items that do not arrive are found missing by anti-entropy.
            tokio::task::spawn_local(async move { node.send_items(peer, items).await });
        }
    }
}

/// Stores that a registry pulls control state from, with the own machine's store first.
pub(super) struct StoreSource(pub Rc<RegistryNode>);

impl PullSource for StoreSource {
    fn candidates(&self) -> Vec<SocketAddr> {
        let node = &self.0;
        let mut machines = vec![node.settings.ip];
        for machine in store_members(&node.replica.items()).iter().chain(&node.seeds) {
            if !machines.contains(machine) {
                machines.push(*machine);
            }
        }
        let port = node.settings.ports().store;
        machines.into_iter().map(|machine| SocketAddr::from((machine, port))).collect()
    }

    fn on_change(&self) {}
}
