//! Coordinator role, whose holder reads the platform's server list and allocates quota shares.
//!
//! The role is acquired in the store under an epoch above all earlier ones. The epoch is a fencing token: a write under it
//! loses against every write under a higher epoch, and a registry that sees a higher epoch stops acting as coordinator.

use ivygate_control_state::{Items, Table, COORDINATOR_ROLE};
use ivygate_time::Timestamp;
use serde::Deserialize;
use std::cmp::Ordering;
use std::net::Ipv4Addr;
use std::time::Duration;

/// Time after its start during which a registry discovers other registries before it may acquire the role.
const DISCOVERY_PERIOD: Duration = Duration::from_millis(1_800);
/// Timeout of an acquisition.
const ACQUISITION_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Pause after a failed acquisition.
const ACQUISITION_BACKOFF: Duration = Duration::from_millis(300);
/// Time of failed acquisitions after which a registry is not ready for the role, so that another one requests it.
const READINESS_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time after the last failed acquisition after which a registry that was not ready tries again.
const READINESS_BACKOFF: Duration = Duration::from_millis(5_000);

/// State of the role at one registry.
#[derive(Clone, Copy, Debug, PartialEq)]
enum RoleState {
    /// The role is not held and not requested before `retry_at`.
    NotHeld { retry_at: Timestamp },
    /// The role was requested at `since` and there is no response yet.
    Acquiring { since: Timestamp },
    /// The role was granted under this epoch.
    Held {
        epoch: u64,
        /// Number of writes under the epoch.
        writes: u32,
    },
}

/// View of the coordinator role at one registry.
#[derive(Debug)]
pub(crate) struct Coordinator {
    own_ip: Ipv4Addr,
    started_at: Option<Timestamp>,
    state: RoleState,
    /// Failed acquisitions since the last granted one.
    failures: Option<FailedAcquisitions>,
}

/// Acquisitions that failed in a row.
#[derive(Clone, Copy, Debug)]
struct FailedAcquisitions {
    first_at: Timestamp,
    last_at: Timestamp,
}

impl Coordinator {
    /// Creates the state of a registry that has not requested the role.
    pub fn new(own_ip: Ipv4Addr) -> Self {
        let state = RoleState::NotHeld { retry_at: Timestamp::DISTANT_PAST };
        Self { own_ip, started_at: None, state, failures: None }
    }

    /// Returns whether this registry can acquire the role as far as it knows. Its acquisitions may fail while it is live, for
    /// example because its machine's store is not a member or cannot write its disk.
    pub fn is_ready(&self, now: Timestamp) -> bool {
        self.failures.is_none_or(|failures| {
            now < failures.first_at + READINESS_TIMEOUT || now > failures.last_at + READINESS_BACKOFF
        })
    }

    /// Returns whether the registry should request the role now, and records the request.
    ///
    /// The first candidate should hold the role. An epoch held by an earlier incarnation of this registry does not count.
    /// `store_members` are the machines of the store's members.
    pub fn should_acquire(
        &mut self,
        now: Timestamp,
        items: &Items,
        candidates: &[Ipv4Addr],
        store_members: &[Ipv4Addr],
    ) -> bool {
        let started_at = *self.started_at.get_or_insert(now);
        let is_first = candidates.first() == Some(&self.own_ip);
        // During discovery only the first of all store members can be sure that no other registry comes before it.
        let is_first_member =
            store_members.contains(&self.own_ip) && store_members.iter().all(|member| *member >= self.own_ip);
        let is_discovery_over = now > started_at + DISCOVERY_PERIOD || is_first_member;
        let is_due = match self.state {
            RoleState::NotHeld { retry_at } => now > retry_at,
            RoleState::Acquiring { since } => now > since + ACQUISITION_TIMEOUT,
            RoleState::Held { .. } => !self.holds(items),
        };
        let should_acquire = is_first && is_discovery_over && is_due;
        if should_acquire {
            self.state = RoleState::Acquiring { since: now };
        }
        should_acquire
    }

    /// Handles the epoch granted for the acquisition of `requested_at`. A response that is read after the timeout is ignored,
    /// because other registries may have held the role since.
    pub fn handle_acquired(&mut self, requested_at: Timestamp, now: Timestamp, epoch: u64) {
        if self.state != (RoleState::Acquiring { since: requested_at }) {
            return;
        }
        let is_in_time = now <= requested_at + ACQUISITION_TIMEOUT;
        self.state = if is_in_time {
            self.failures = None;
            RoleState::Held { epoch, writes: 0 }
        } else {
            RoleState::NotHeld { retry_at: now }
        };
    }

    /// Handles a rejected or unanswered acquisition of `requested_at`.
    pub fn handle_failure(&mut self, requested_at: Timestamp, now: Timestamp) {
        if self.state == (RoleState::Acquiring { since: requested_at }) {
            self.state = RoleState::NotHeld { retry_at: now + ACQUISITION_BACKOFF };
            self.record_failure(now);
        }
    }

    fn record_failure(&mut self, now: Timestamp) {
        let is_recent = |failures: &FailedAcquisitions| now <= failures.last_at + READINESS_BACKOFF;
        let first_at = self.failures.filter(is_recent).map_or(now, |failures| failures.first_at);
        self.failures = Some(FailedAcquisitions { first_at, last_at: now });
    }

    /// Returns the epoch under which the role is held, or was held until a higher epoch appeared; 0 without one.
    pub fn epoch(&self) -> u64 {
        match self.state {
            RoleState::Held { epoch, .. } => epoch,
            _ => 0,
        }
    }

    /// Returns the number of writes under its epoch; `None` without an epoch.
    pub fn writes(&self) -> Option<u32> {
        match self.state {
            RoleState::Held { writes, .. } => Some(writes),
            _ => None,
        }
    }

    /// Records a write under its epoch.
    pub fn record_write(&mut self) {
        if let RoleState::Held { writes, .. } = &mut self.state {
            *writes = writes.saturating_add(1);
        }
    }

    /// Returns whether this registry holds the role as far as it knows, by comparing its fencing token with control state.
    pub fn holds(&self, items: &Items) -> bool {
        let RoleState::Held { epoch, .. } = self.state else { return false };
        match items.version(Table::SingletonRoles, COORDINATOR_ROLE).cmp(&epoch) {
            Ordering::Less => true,
            Ordering::Greater => false,
            // If two registries were ever granted the same epoch, only the holder in control state acts.
            Ordering::Equal => role_holder(items) == Some(self.own_ip),
        }
    }
}

/// Returns the registry that holds the coordinator role according to control state.
fn role_holder(items: &Items) -> Option<Ipv4Addr> {
    let body = items.body(Table::SingletonRoles, COORDINATOR_ROLE)?;
    Ipv4Addr::deserialize(body.get("holder")?).ok()
}
