//! Replica of control state from which other processes pull.

use crate::contact::QuorumContact;
use crate::contact_log::log_update;
use ivygate_control_state::{Item, Items, Key, Tables};
use ivygate_time::{Millis, MonotonicClock};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, Ref, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{timeout, Instant};

/// Longest wait that a parent grants, in seconds.
const MAX_LONG_POLL_S: f64 = 5.0;
/// A held pull is answered once the contact is newer by this time, in milliseconds.
const CONTACT_RENEWAL_STEP_MS: Millis = 400.0;

/// Request for changes of control state.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PullRequest {
    /// Incarnation of the replica that responded to the last pull.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Number of the last change received from it.
    pub since: u64,
    /// Time to wait for a change, in seconds.
    #[serde(rename = "hold")]
    pub wait_s: f64,
    /// Requested tables, as bits of [`Tables`].
    pub tables: u16,
    /// Digests of all tables at the requester, in their order; empty if it does not send them. A parent that has not answered
    /// this requester before sends only the tables that differ.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub digests: Vec<u64>,
}

/// Response to a pull.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PullResponse {
    /// Incarnation of the responding replica.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Number of its last change.
    pub change: u64,
    /// Age of its last confirmed contact with a quorum of the store, in milliseconds.
    #[serde(rename = "age")]
    pub contact_age_ms: f64,
    /// Time for which the pull was held before the contact age was determined, in milliseconds. Only the remaining time since
    /// the request adds to the age.
    #[serde(default, rename = "heldMs")]
    pub held_ms: f64,
    /// Changed items.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub items: Vec<Arc<Item>>,
}

/// Replica of control state from which other processes pull.
pub struct StateReplica {
    items: RefCell<Items>,
    changed: Notify,
    incarnation: u64,
    clock: MonotonicClock,
    contact: Cell<QuorumContact>,
    /// Contact at the last time that held pulls were woken for it.
    announced_contact: Cell<QuorumContact>,
}

impl StateReplica {
    /// Creates an empty replica. `incarnation` must differ from that of earlier replicas of this process.
    pub fn new(incarnation: u64) -> Rc<Self> {
        Rc::new(Self {
            items: RefCell::default(),
            changed: Notify::new(),
            incarnation,
            clock: MonotonicClock::start(),
            contact: Cell::default(),
            announced_contact: Cell::default(),
        })
    }

    /// Returns the replicated items. The borrow must not be held across an await point.
    pub fn items(&self) -> Ref<'_, Items> {
        self.items.borrow()
    }

    /// Merges items and returns those that were new.
    pub fn merge(&self, items: impl IntoIterator<Item = Arc<Item>>) -> Vec<Arc<Item>> {
        let mut replicated = self.items.borrow_mut();
        let newer: Vec<_> = items.into_iter().filter(|item| replicated.merge_shared(item.clone())).collect();
        drop(replicated);
        log_update(&newer, self.contact_age_ms());
        if !newer.is_empty() {
            self.changed.notify_waiters();
        }
        newer
    }

    /// Removes soft state permanently.
    pub fn purge(&self, keys: &[Key]) {
        self.items.borrow_mut().purge(keys);
    }

    /// Records that the replica was in contact with a quorum of the store `age_ms` milliseconds ago.
    pub fn record_contact(&self, age_ms: f64) {
        let mut contact = self.contact.get();
        contact.record(self.clock.now(), age_ms);
        self.contact.set(contact);
        if contact.is_newer_by(&self.announced_contact.get(), CONTACT_RENEWAL_STEP_MS) {
            self.announced_contact.set(contact);
            self.changed.notify_waiters();
        }
    }

    /// Returns the age of the last contact with a quorum of the store in milliseconds; one day if there was none.
    pub fn contact_age_ms(&self) -> f64 {
        self.contact.get().age_ms(self.clock.now())
    }

    /// Answers a pull at once if there are changes, otherwise as soon as there are, when the contact with the store has been
    /// renewed, or when the requested wait is over.
    pub async fn handle_pull(&self, pull: PullRequest) -> PullResponse {
        let is_current = pull.incarnation == self.incarnation;
        let requested = Tables::from_bits_truncate(pull.tables);
        let (since, tables) = if is_current {
            (pull.since, requested)
        } else {
            (0, requested.difference(self.items.borrow().equal_tables(&pull.digests)))
        };
        let contact_before = self.contact.get();
        let started_at = self.clock.now();
        let deadline = Instant::now() + Duration::from_secs_f64(pull.wait_s.clamp(0.0, MAX_LONG_POLL_S));
        loop {
            let changed = self.changed.notified();
            let (change, items) = {
                let replicated = self.items.borrow();
                (replicated.last_change(), replicated.changes_since(since, tables))
            };
            let is_due = Instant::now() >= deadline || !is_current;
            let is_renewed = self.contact.get().is_newer_by(&contact_before, CONTACT_RENEWAL_STEP_MS);
            if !items.is_empty() || is_due || is_renewed {
                return PullResponse {
                    incarnation: self.incarnation,
                    change,
                    contact_age_ms: self.contact_age_ms(),
                    held_ms: self.clock.now().millis_since(started_at),
                    items,
                };
            }
            let _ = timeout(deadline - Instant::now(), changed).await;
        }
    }
}
