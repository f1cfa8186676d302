//! The coordinator role is held by a registry that can acquire it, also if others come before it by address.

use ivygate_cluster::{Node, Role};
use ivygate_control_state::{Item, Items, Table, COORDINATOR_ROLE};
use ivygate_registry::Registry;
use ivygate_time::Timestamp;
use serde_json::json;
use std::net::Ipv4Addr;

const STEP_MS: f64 = 100.0;
/// Time within which a vacant role is held again: longer than the discovery after a start.
const MAX_VACANCY_MS: f64 = 4_000.0;

fn ip(n: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, n as u8 + 1)
}

/// Registries that see the same control state, each with the store of its machine.
struct Core {
    now: f64,
    items: Items,
    registries: Vec<Registry>,
    versions: Vec<u64>,
    /// Whether each machine's store grants the role.
    is_granting: Vec<bool>,
    members: Vec<Ipv4Addr>,
    epoch: u64,
}

impl Core {
    fn new(count: usize) -> Self {
        Self {
            now: 0.0,
            items: Items::default(),
            registries: (0..count).map(|n| Registry::new(ip(n))).collect(),
            versions: vec![1; count],
            is_granting: vec![true; count],
            members: (0..count).map(ip).collect(),
            epoch: 0,
        }
    }

    fn restart(&mut self, n: usize) {
        self.registries[n] = Registry::new(ip(n));
    }

    fn publish(&mut self, n: usize) {
        let ready = self.registries[n].is_ready(Timestamp::from_millis(self.now));
        let (zone, region) = ("r1".to_owned(), "r".to_owned());
        let role = Role::Registry;
        let node = Node { ip: ip(n), role, zone, region, http: None, ready, leaving: false, lost: false };
        let item = node.to_item(self.versions[n]);
        if self.items.get(Table::Nodes, &node.name()).is_none_or(|held| held.body != item.body) {
            self.versions[n] += 1;
            self.items.merge(node.to_item(self.versions[n]));
        }
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        let now = Timestamp::from_millis(self.now);
        for n in 0..self.registries.len() {
            self.publish(n);
            if !self.registries[n].should_acquire_role(now, &self.items, &self.members) {
                continue;
            }
            if !self.is_granting[n] {
                self.registries[n].handle_acquisition_failed(now, now);
                continue;
            }
            self.epoch += 1;
            let holder = Some(json!({ "holder": ip(n) }));
            self.items.merge(Item::new(Table::SingletonRoles, COORDINATOR_ROLE, self.epoch, holder));
            self.registries[n].handle_role_acquired(now, now, self.epoch);
        }
    }

    fn advance(&mut self, time: f64) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    fn holder(&self) -> Option<usize> {
        (0..self.registries.len()).find(|n| self.registries[*n].holds_role(&self.items))
    }
}

/// Guards against an added machine whose store is no member, and that comes first by address, keeping all others from the
/// role once its holder has restarted (review/1).
#[test]
fn registry_of_a_machine_outside_the_store_does_not_block_the_role() {
    let mut core = Core::new(4);
    core.members = (1..4).map(ip).collect();
    core.is_granting[0] = false;
    core.advance(6_000.0);
    assert_eq!(core.holder(), Some(1));
    for _ in 0..3 {
        core.restart(1);
        core.advance(MAX_VACANCY_MS);
        assert_eq!(core.holder(), Some(1), "the first member holds the role again");
    }
}

/// Guards against a live registry whose machine's store is a member but grants nothing, for example because its disk cannot be
/// written, keeping all others from the role.
#[test]
fn registry_whose_store_grants_nothing_does_not_block_the_role() {
    let mut core = Core::new(3);
    core.advance(6_000.0);
    assert_eq!(core.holder(), Some(0));
    core.is_granting[0] = false;
    core.restart(0);
    core.advance(MAX_VACANCY_MS);
    assert_eq!(core.holder(), Some(1));
    let epoch = core.epoch;
    core.advance(60_000.0);
    assert_eq!((core.holder(), core.epoch), (Some(1), epoch), "its attempts do not move the role");
    core.is_granting[0] = true;
    core.advance(2.0 * MAX_VACANCY_MS);
    assert_eq!(core.holder(), Some(0), "it takes the role back once it can");
}

#[test]
fn role_is_acquired_soon_after_no_store_granted_it() {
    let mut core = Core::new(3);
    core.is_granting = vec![false; 3];
    core.advance(30_000.0);
    assert_eq!(core.holder(), None);
    core.is_granting = vec![true; 3];
    core.advance(1_000.0);
    assert!(core.holder().is_some());
}
