//! The coordinator role: which registry reads the platform's list of servers and allocates quota shares.
//!
//! The role is acquired in the store, under an epoch above all before. The epoch is the fencing token: what is written under it
//! loses against anything written under a higher one, and a registry that sees a higher one stops.

use ivygate_control_state::{Items, Table, COORDINATOR_ROLE};
use ivygate_time::Timestamp;
use serde::Deserialize;
use std::cmp::Ordering;
use std::net::Ipv4Addr;
use std::time::Duration;

/// After its start a registry learns who is there for this long before it acquires the role.
const DISCOVERY_PERIOD: Duration = Duration::from_millis(1_800);
/// An acquisition that was not answered by then never will be.
const ACQUISITION_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Pause after an acquisition that failed.
const ACQUISITION_BACKOFF: Duration = Duration::from_millis(300);

/// How a registry stands to the role.
#[derive(Clone, Copy, Debug, PartialEq)]
enum RoleState {
    /// It does not have it, and does not ask for it before this time.
    Without { retry_at: Timestamp },
    /// It has asked for it, and was not answered yet.
    Acquiring { since: Timestamp },
    /// It was told that it has it under this epoch.
    Held {
        epoch: u64,
        /// How often it has written under the epoch.
        writes: u32,
    },
}

/// The coordinator role, as one registry knows it.
#[derive(Debug)]
pub(crate) struct Coordinator {
    own: Ipv4Addr,
    started_at: Option<Timestamp>,
    state: RoleState,
}

impl Coordinator {
    /// A registry that has not asked for the role.
    pub fn new(own: Ipv4Addr) -> Self {
        let state = RoleState::Without { retry_at: Timestamp::DISTANT_PAST };
        Self { own, started_at: None, state }
    }

    /// Whether to ask for the role now: the first registry in order that is up has it. An epoch that was held by an earlier
    /// incarnation of this registry does not count. `core` names the members of the store.
    pub fn should_acquire(
        &mut self,
        now: Timestamp,
        items: &Items,
        live_registries: &[Ipv4Addr],
        core: &[Ipv4Addr],
    ) -> bool {
        let started_at = *self.started_at.get_or_insert(now);
        let is_first = live_registries.first() == Some(&self.own);
        // Before it has learned who is there, only the first of all members knows that it is the first.
        let is_first_of_all = core.contains(&self.own) && core.iter().all(|member| *member >= self.own);
        let is_sure = now > started_at + DISCOVERY_PERIOD || is_first_of_all;
        let is_due = match self.state {
            RoleState::Without { retry_at } => now > retry_at,
            RoleState::Acquiring { since } => now > since + ACQUISITION_TIMEOUT,
            RoleState::Held { .. } => !self.holds(items),
        };
        let should_acquire = is_first && is_sure && is_due;
        if should_acquire {
            self.state = RoleState::Acquiring { since: now };
        }
        should_acquire
    }

    /// The acquisition of `asked` was answered by an epoch. An answer that is read later than any is waited for counts for
    /// nothing: others may have held the role since.
    pub fn handle_acquired(&mut self, asked: Timestamp, now: Timestamp, epoch: u64) {
        if self.state != (RoleState::Acquiring { since: asked }) {
            return;
        }
        let is_in_time = now <= asked + ACQUISITION_TIMEOUT;
        self.state = if is_in_time {
            RoleState::Held { epoch, writes: 0 }
        } else {
            RoleState::Without { retry_at: now }
        };
    }

    /// The acquisition of `asked` was rejected, or not answered.
    pub fn handle_failure(&mut self, asked: Timestamp, now: Timestamp) {
        if self.state == (RoleState::Acquiring { since: asked }) {
            self.state = RoleState::Without { retry_at: now + ACQUISITION_BACKOFF };
        }
    }

    /// The epoch under which it has the role, or last had it; 0 for none.
    pub fn epoch(&self) -> u64 {
        match self.state {
            RoleState::Held { epoch, .. } => epoch,
            _ => 0,
        }
    }

    /// How often it has written under its epoch; `None` without one.
    pub fn writes(&self) -> Option<u32> {
        match self.state {
            RoleState::Held { writes, .. } => Some(writes),
            _ => None,
        }
    }

    /// It has written under its epoch.
    pub fn note_write(&mut self) {
        if let RoleState::Held { writes, .. } = &mut self.state {
            *writes = writes.saturating_add(1);
        }
    }

    /// Whether this registry has the role, as far as it can know: compares its fencing token with the one in control state.
    pub fn holds(&self, items: &Items) -> bool {
        let RoleState::Held { epoch, .. } = self.state else { return false };
        match items.version(Table::SingletonRoles, COORDINATOR_ROLE).cmp(&epoch) {
            Ordering::Less => true,
            Ordering::Greater => false,
            // Should two ever be told one epoch, only the one that control state names acts.
            Ordering::Equal => role_holder(items) == Some(self.own),
        }
    }
}

/// The registry that holds the coordinator role, by control state.
fn role_holder(items: &Items) -> Option<Ipv4Addr> {
    let body = items.body(Table::SingletonRoles, COORDINATOR_ROLE)?;
    Ipv4Addr::deserialize(body.get("holder")?).ok()
}
