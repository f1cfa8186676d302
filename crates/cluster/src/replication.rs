//! Replication of control state: each process holds a replica and pulls changes from a parent. A pull is a long poll, which the
//! parent answers when it has a change or the requested wait is over.

use crate::contact::{contact_age_on_receipt_ms, QuorumContact};
use crate::contact_log::{log_update, ContactLog};
use crate::parent_selector::{Parent, ParentSelector};
use ivygate_control_state::{Item, Items, Key, Tables};
use ivygate_rpc::{ErrorKind, RpcClient, RpcError};
use ivygate_time::{MonotonicClock, Timestamp};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, Ref, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout, Instant};

/// Path of pull requests at every process.
pub const PULL_PATH: &str = "/news";
/// Wait for a change that a pull requests from its parent, in seconds.
const LONG_POLL_TIMEOUT_S: f64 = 0.6;
/// Time that the caller allows beyond the requested wait, in seconds.
const LONG_POLL_GRACE_S: f64 = 0.8;
/// Longest wait that a parent grants, in seconds.
const MAX_LONG_POLL_S: f64 = 5.0;
/// Pause after a failed pull.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum time between two pulls, which limits the load if a parent always responds at once.
const MIN_PULL_INTERVAL: Duration = Duration::from_millis(5);

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
    }

    /// Returns the age of the last contact with a quorum of the store in milliseconds; one day if there was none.
    pub fn contact_age_ms(&self) -> f64 {
        self.contact.get().age_ms(self.clock.now())
    }

    /// Answers a pull at once if there are changes, otherwise as soon as there are or when the requested wait is over.
    pub async fn handle_pull(&self, pull: PullRequest) -> PullResponse {
        let tables = Tables::from_bits_truncate(pull.tables);
        let is_current = pull.incarnation == self.incarnation;
        let since = if is_current { pull.since } else { 0 };
        let started_at = self.clock.now();
        let deadline = Instant::now() + Duration::from_secs_f64(pull.wait_s.clamp(0.0, MAX_LONG_POLL_S));
        loop {
            let changed = self.changed.notified();
            let (change, items) = {
                let replicated = self.items.borrow();
                (replicated.last_change(), replicated.changes_since(since, tables))
            };
            let is_due = Instant::now() >= deadline || !is_current;
            if !items.is_empty() || is_due {
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

/// Source of the parents that a process may pull from.
pub trait PullSource {
    /// Returns the current candidates, the best first.
    fn candidates(&self) -> Vec<SocketAddr>;

    /// Called after changes have been merged into the replica.
    fn on_change(&self);
}

/// Pulls control state into a replica until the process ends.
pub async fn run_replication<S: PullSource>(
    replica: Rc<StateReplica>,
    client: RpcClient,
    source: Rc<S>,
    tables: Tables,
) {
    let clock = MonotonicClock::start();
    let mut selector = ParentSelector::default();
    let mut contact_log = ContactLog::default();
    loop {
        let Some(parent) = selector.select(clock.now(), &source.candidates()) else {
            sleep(RETRY_INTERVAL).await;
            continue;
        };
        let requested_at = clock.now();
        match pull(&client, &parent, tables).await {
            Ok(response) => {
                let now = clock.now();
                let age_ms =
                    contact_age_on_receipt_ms(requested_at, now, response.contact_age_ms, response.held_ms);
                let is_in_contact = selector.handle_response(
                    now,
                    parent.address,
                    response.incarnation,
                    response.change,
                    age_ms,
                );
                replica.record_contact(age_ms);
                if !replica.merge(response.items).is_empty() {
                    source.on_change();
                }
                contact_log.record_response(parent.address, replica.contact_age_ms());
                pause_after_response(&clock, requested_at, is_in_contact).await;
            }
            Err(error) => {
                contact_log.record_failure(parent.address, replica.contact_age_ms(), &error);
                let refused = error.kind == ErrorKind::Unreachable;
                selector.handle_failure(clock.now(), parent.address, refused);
                sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

async fn pull(client: &RpcClient, parent: &Parent, tables: Tables) -> Result<PullResponse, RpcError> {
    let request = PullRequest {
        incarnation: parent.incarnation,
        since: parent.since,
        wait_s: LONG_POLL_TIMEOUT_S,
        tables: tables.bits(),
    };
    let wait = Duration::from_secs_f64(LONG_POLL_TIMEOUT_S + LONG_POLL_GRACE_S);
    client.post(parent.address, PULL_PATH, &request, wait).await
}

/// Waits before the next pull to limit the request rate.
async fn pause_after_response(clock: &MonotonicClock, requested_at: Timestamp, is_in_contact: bool) {
    // If all parents are out of contact, they are polled in turn at a low rate.
    if !is_in_contact {
        sleep(RETRY_INTERVAL).await;
    }
    if clock.now() < requested_at + MIN_PULL_INTERVAL {
        sleep(MIN_PULL_INTERVAL).await;
    }
}
