//! What the tasks and calls of a registry share.

use crate::registry::Registry;
use ivygate_cluster::{store_members, Node, PullSource, Role, StateReplica};
use ivygate_control_state::Item;
use ivygate_quota::QuotaAllocator;
use ivygate_rpc::{BootstrapSettings, RouteMatcher, RpcClient};
use ivygate_time::{MonotonicClock, Timestamp};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::endpoints::{routes, Endpoint};

/// How long other registries' answers are waited for.
pub(super) const PEER_TIMEOUT: Duration = Duration::from_millis(800);
/// How long the store's answer is waited for; it gives up by itself before.
pub(super) const STORE_TIMEOUT: Duration = Duration::from_millis(3_000);
/// How long answers of other machines are remembered.
const ANSWER_RETENTION: Duration = Duration::from_millis(60_000);

/// A registry at work.
pub(super) struct RegistryNode {
    pub settings: BootstrapSettings,
    pub client: RpcClient,
    pub routes: Vec<RouteMatcher<Endpoint>>,
    pub registry: RefCell<Registry>,
    pub replica: Rc<StateReplica>,
    /// The version of its own item.
    pub version: Cell<u64>,
    pub is_leaving: Cell<bool>,
    /// While the coordinator role is held here.
    pub allocator: RefCell<Option<QuotaAllocator>>,
    clock: MonotonicClock,
    /// When each other machine last answered, counted from the request.
    pub last_answers: RefCell<HashMap<Ipv4Addr, Timestamp>>,
    seeds: Vec<Ipv4Addr>,
}

impl RegistryNode {
    /// A registry by its settings, which has heard nothing yet.
    pub fn new(settings: BootstrapSettings) -> Rc<Self> {
        Rc::new(Self {
            client: RpcClient::default(),
            routes: routes(),
            registry: RefCell::new(Registry::new(settings.ip)),
            replica: StateReplica::new(fastrand::u64(1..)),
            version: Cell::new(1),
            is_leaving: Cell::new(false),
            allocator: RefCell::default(),
            clock: MonotonicClock::start(),
            last_answers: RefCell::default(),
            seeds: settings.seed_machines(),
            settings,
        })
    }

    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// The address of another machine's registry.
    pub fn registry_at(&self, machine: Ipv4Addr) -> SocketAddr {
        SocketAddr::from((machine, self.settings.ports().registry))
    }

    /// The address of the own machine's store.
    pub fn own_store(&self) -> SocketAddr {
        SocketAddr::from((self.settings.ip, self.settings.ports().store))
    }

    /// All other registries that may be there.
    pub fn other_registries(&self) -> Vec<Ipv4Addr> {
        let mut others = self.registry.borrow().live_registries(&self.replica.items());
        others.extend(&self.seeds);
        others.sort_unstable();
        others.dedup();
        others.retain(|machine| *machine != self.settings.ip);
        others
    }

    /// What this process tells of itself.
    pub fn own_node(&self) -> Node {
        Node {
            ip: self.settings.ip,
            role: Role::Registry,
            zone: self.settings.az.clone(),
            region: self.settings.region.clone(),
            http: None,
            ready: true,
            leaving: self.is_leaving.get(),
            lost: false,
        }
    }

    /// Another machine answered a request that was sent at `asked`.
    pub fn record_answer(&self, machine: Ipv4Addr, asked: Timestamp) {
        let mut last_answers = self.last_answers.borrow_mut();
        last_answers.retain(|_, last| asked < *last + ANSWER_RETENTION);
        last_answers.insert(machine, asked);
    }

    /// Merges items that this registry made, and sends those that are new to all other registries.
    pub fn publish(self: &Rc<Self>, items: Vec<Item>) {
        let items = self.replica.merge(items.into_iter().map(Arc::new));
        if items.is_empty() {
            return;
        }
        for other in self.other_registries() {
            let (node, items) = (self.clone(), items.clone());
            // What does not arrive is found missing by anti-entropy.
            tokio::task::spawn_local(async move { node.send_items(other, items).await });
        }
    }
}

/// The stores that a registry pulls control state from: its own machine's first.
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
