//! Replication of control state: each process holds a replica, and pulls what is new from a parent. A pull waits at the parent
//! until there is something new or its time is up.

use crate::contact::{contact_age_on_receipt_ms, QuorumContact};
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

/// The path at which every process is pulled from.
pub const PULL_PATH: &str = "/news";
/// How long a pull asks its parent to wait for something new, in seconds.
const LONG_POLL_TIMEOUT_S: f64 = 0.6;
/// How long the caller waits beyond that, in seconds.
const LONG_POLL_GRACE_S: f64 = 0.8;
/// The longest wait that a parent grants, in seconds.
const MAX_LONG_POLL_S: f64 = 5.0;
/// Pause after a pull that failed.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Least time between two pulls, against a parent that always answers at once.
const MIN_PULL_INTERVAL: Duration = Duration::from_millis(5);

/// A pull.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PullRequest {
    /// The incarnation of the replica that answered the last pull.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The last change received from it.
    pub since: u64,
    /// How long to wait for something new, in seconds.
    #[serde(rename = "hold")]
    pub wait_s: f64,
    /// The tables wanted, as bits of [`Tables`].
    pub tables: u16,
}

/// The answer to a pull.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PullResponse {
    /// The incarnation of the replica that answers.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Its last change.
    pub change: u64,
    /// How long ago it was surely in contact with a quorum of the store, in milliseconds.
    #[serde(rename = "age")]
    pub contact_age_ms: f64,
    /// How long the pull was held before that was told, in milliseconds: only the rest of the time since the request adds to
    /// the age.
    #[serde(default, rename = "heldMs")]
    pub held_ms: f64,
    /// What is new.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub items: Vec<Arc<Item>>,
}

/// A replica of control state that others pull from.
pub struct StateReplica {
    items: RefCell<Items>,
    changed: Notify,
    incarnation: u64,
    clock: MonotonicClock,
    contact: Cell<QuorumContact>,
}

impl StateReplica {
    /// An empty replica. `incarnation` must differ from that of earlier replicas of this process.
    pub fn new(incarnation: u64) -> Rc<Self> {
        Rc::new(Self {
            items: RefCell::default(),
            changed: Notify::new(),
            incarnation,
            clock: MonotonicClock::start(),
            contact: Cell::default(),
        })
    }

    /// What it holds. The borrow must not be kept over an await point.
    pub fn items(&self) -> Ref<'_, Items> {
        self.items.borrow()
    }

    /// Merges items; gives those that were new.
    pub fn merge(&self, items: impl IntoIterator<Item = Arc<Item>>) -> Vec<Arc<Item>> {
        let mut held = self.items.borrow_mut();
        let newer: Vec<_> = items.into_iter().filter(|item| held.merge_shared(item.clone())).collect();
        drop(held);
        if !newer.is_empty() {
            self.changed.notify_waiters();
        }
        newer
    }

    /// Removes soft state for good.
    pub fn purge(&self, keys: &[Key]) {
        self.items.borrow_mut().purge(keys);
    }

    /// The replica was in contact with a quorum of the store so long ago, in milliseconds.
    pub fn record_contact(&self, age_ms: f64) {
        let mut contact = self.contact.get();
        contact.record(self.clock.now(), age_ms);
        self.contact.set(contact);
    }

    /// How long ago that was, in milliseconds; a day where it never was.
    pub fn contact_age_ms(&self) -> f64 {
        self.contact.get().age_ms(self.clock.now())
    }

    /// Answers a pull: at once where there is something new, else when there is or its time is up.
    pub async fn handle_pull(&self, pull: PullRequest) -> PullResponse {
        let tables = Tables::from_bits_truncate(pull.tables);
        let is_current = pull.incarnation == self.incarnation;
        let since = if is_current { pull.since } else { 0 };
        let begun = self.clock.now();
        let deadline = Instant::now() + Duration::from_secs_f64(pull.wait_s.clamp(0.0, MAX_LONG_POLL_S));
        loop {
            let changed = self.changed.notified();
            let (change, items) = {
                let held = self.items.borrow();
                (held.last_change(), held.changes_since(since, tables))
            };
            let is_over = Instant::now() >= deadline || !is_current;
            if !items.is_empty() || is_over {
                return PullResponse {
                    incarnation: self.incarnation,
                    change,
                    contact_age_ms: self.contact_age_ms(),
                    held_ms: self.clock.now().millis_since(begun),
                    items,
                };
            }
            let _ = timeout(deadline - Instant::now(), changed).await;
        }
    }
}

/// Whom a process may pull from.
pub trait PullSource {
    /// The candidates now, the best first.
    fn candidates(&self) -> Vec<SocketAddr>;

    /// Called after something new was merged into the replica.
    fn on_change(&self);
}

/// Pulls control state into a replica for as long as the process runs.
pub async fn run_replication<S: PullSource>(
    replica: Rc<StateReplica>,
    client: RpcClient,
    source: Rc<S>,
    tables: Tables,
) {
    let clock = MonotonicClock::start();
    let mut selector = ParentSelector::default();
    loop {
        let Some(parent) = selector.select(clock.now(), &source.candidates()) else {
            sleep(RETRY_INTERVAL).await;
            continue;
        };
        let asked = clock.now();
        match pull(&client, &parent, tables).await {
            Ok(response) => {
                let now = clock.now();
                let age_ms = contact_age_on_receipt_ms(asked, now, response.contact_age_ms, response.held_ms);
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
                pause_after_answer(&clock, asked, is_in_contact).await;
            }
            Err(error) => {
                tracing::debug!(parent = %parent.address, %error, "pull failed");
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

async fn pause_after_answer(clock: &MonotonicClock, asked: Timestamp, is_in_contact: bool) {
    // Where all parents are out of contact they are asked in turn, without haste.
    if !is_in_contact {
        sleep(RETRY_INTERVAL).await;
    }
    if clock.now() < asked + MIN_PULL_INTERVAL {
        sleep(MIN_PULL_INTERVAL).await;
    }
}
