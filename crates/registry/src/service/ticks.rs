//! Periodic tick of the registry: lost nodes, the coordinator role, and the removal of soft state.

use super::node::RegistryNode;
use ivygate_cluster::store_members;
use ivygate_control_state::Table;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{interval, MissedTickBehavior};

const TICK_INTERVAL: Duration = Duration::from_millis(100);

impl RegistryNode {
    /// Ticks until the registry shuts down. From then on nodes send their heartbeats to other watchers, so missing ones do not
    /// count, and the registry must not acquire the role.
    pub async fn tick(self: Rc<Self>) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            if self.is_leaving.get() {
                return;
            }
            self.update_soft_state();
            self.acquire_role_if_due();
            self.publish_readiness();
            let own_version = self.replica.items().version(Table::Nodes, &self.own_node().name());
            self.exceed_version(own_version);
        }
    }

    /// Declares nodes lost and purges items that were removed long ago.
    fn update_soft_state(self: &Rc<Self>) {
        let now = self.now();
        let (lost, purgeable_keys) = {
            let items = self.replica.items();
            let mut registry = self.registry.borrow_mut();
            (registry.tick(now, self.replica.contact_age_ms(), &items), registry.purgeable_keys(now, &items))
        };
        for item in &lost {
            tracing::info!(node = item.key.name, "node lost");
        }
        self.publish(lost);
        if !purgeable_keys.is_empty() {
            self.replica.purge(&purgeable_keys);
        }
    }

    fn acquire_role_if_due(self: &Rc<Self>) {
        let now = self.now();
        let should_acquire = {
            let items = self.replica.items();
            self.registry.borrow_mut().should_acquire_role(now, &items, &store_members(&items))
        };
        if should_acquire {
            tokio::task::spawn_local(self.clone().acquire_role(now));
        }
    }
}
