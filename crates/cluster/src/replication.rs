//! Pulls control state from a parent into the replica of this process. A pull is a long poll, which the parent answers when it
//! has a change, when its contact with the store was renewed, or when the requested wait is over.
//!
//! A pull that is late is not given up: another parent is asked beside it. On a slow link every response is late, and a process
//! that gave up all of them would never learn anything.

use crate::contact::contact_age_on_receipt_ms;
use crate::contact_log::ContactLog;
use crate::parent_selector::{Parent, ParentSelector};
use crate::replica::{PullRequest, PullResponse, StateReplica};
use ivygate_control_state::Tables;
use ivygate_rpc::{ErrorKind, RpcClient, RpcError};
use ivygate_time::{MonotonicClock, Timestamp};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout_at, Instant};

/// Path of pull requests at every process.
pub const PULL_PATH: &str = "/news";
/// Wait for a change that a pull requests from its parent.
const LONG_POLL_WAIT: Duration = Duration::from_millis(600);
/// Time beyond the requested wait after which a pull is late.
const LATE_AFTER: Duration = Duration::from_millis(400);
/// Time beyond the requested wait after which a pull is given up.
const PULL_GRACE: Duration = Duration::from_millis(2_400);
/// Maximum number of pulls at a time.
const MAX_PULLS: usize = 4;
/// Pause after a failed pull.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum time between two pulls, which limits the load if a parent always responds at once.
const MIN_PULL_INTERVAL: Duration = Duration::from_millis(5);

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
    let mut replication = Replication::new(replica, client, source, tables);
    loop {
        replication.pull_once().await;
    }
}

/// A pull that has ended.
struct FinishedPull {
    number: u64,
    parent: SocketAddr,
    requested_at: Timestamp,
    result: Result<PullResponse, RpcError>,
}

/// Replication into one replica.
struct Replication<S> {
    replica: Rc<StateReplica>,
    client: RpcClient,
    source: Rc<S>,
    tables: Tables,
    clock: MonotonicClock,
    selector: ParentSelector,
    contact_log: ContactLog,
    /// Pulls in flight; all but the last one are late.
    pulls: JoinSet<FinishedPull>,
    last_pull: u64,
}

impl<S: PullSource> Replication<S> {
    fn new(replica: Rc<StateReplica>, client: RpcClient, source: Rc<S>, tables: Tables) -> Self {
        Self {
            replica,
            client,
            source,
            tables,
            clock: MonotonicClock::start(),
            selector: ParentSelector::default(),
            contact_log: ContactLog::default(),
            pulls: JoinSet::new(),
            last_pull: 0,
        }
    }

    /// Starts a pull from the best parent, and handles all that finish until this one has, or is late.
    async fn pull_once(&mut self) {
        let Some(parent) = self.selector.select(self.clock.now(), &self.source.candidates()) else {
            return sleep(RETRY_INTERVAL).await;
        };
        self.start(parent);
        let late_at = Instant::now() + LONG_POLL_WAIT + LATE_AFTER;
        loop {
            match timeout_at(late_at, self.pulls.join_next()).await {
                Ok(Some(Ok(finished))) => {
                    let is_last = finished.number == self.last_pull;
                    let pause = self.handle_finished(finished);
                    if is_last {
                        return sleep(pause).await;
                    }
                }
                Ok(Some(Err(_)) | None) => return sleep(RETRY_INTERVAL).await,
                Err(_) => return self.handle_late(parent.address).await,
            }
        }
    }

    fn start(&mut self, parent: Parent) {
        self.last_pull += 1;
        let number = self.last_pull;
        let (client, requested_at) = (self.client.clone(), self.clock.now());
        let request = PullRequest {
            incarnation: parent.incarnation,
            since: parent.since,
            wait_s: LONG_POLL_WAIT.as_secs_f64(),
            tables: self.tables.bits(),
            digests: self.replica.items().table_digests(),
        };
        self.pulls.spawn_local(async move {
            let wait = LONG_POLL_WAIT + PULL_GRACE;
            let result = client.post(parent.address, PULL_PATH, &request, wait).await;
            FinishedPull { number, parent: parent.address, requested_at, result }
        });
    }

    /// Handles the end of a pull and returns the time to wait before the next one.
    fn handle_finished(&mut self, finished: FinishedPull) -> Duration {
        let FinishedPull { parent, requested_at, result, .. } = finished;
        match result {
            Ok(response) => self.handle_response(parent, requested_at, response),
            Err(error) => {
                self.contact_log.record_failure(parent, self.replica.contact_age_ms(), &error);
                let refused = error.kind == ErrorKind::Unreachable;
                self.selector.handle_failure(self.clock.now(), parent, refused);
                RETRY_INTERVAL
            }
        }
    }

    fn handle_response(
        &mut self,
        parent: SocketAddr,
        requested_at: Timestamp,
        response: PullResponse,
    ) -> Duration {
        let now = self.clock.now();
        let age_ms = contact_age_on_receipt_ms(requested_at, now, response.contact_age_ms, response.held_ms);
        let PullResponse { incarnation, change, .. } = response;
        let is_in_contact = self.selector.handle_response(now, parent, incarnation, change, age_ms);
        self.replica.record_contact(age_ms);
        if !self.replica.merge(response.items).is_empty() {
            self.source.on_change();
        }
        self.contact_log.record_response(parent, self.replica.contact_age_ms());
        if !is_in_contact {
            // If all parents are out of contact, they are polled in turn at a low rate.
            RETRY_INTERVAL
        } else if now < requested_at + MIN_PULL_INTERVAL {
            MIN_PULL_INTERVAL
        } else {
            Duration::ZERO
        }
    }

    /// Prefers other parents from now on, and waits for one of the pulls if there are too many.
    async fn handle_late(&mut self, parent: SocketAddr) {
        self.selector.handle_failure(self.clock.now(), parent, false);
        while self.pulls.len() >= MAX_PULLS {
            match self.pulls.join_next().await {
                Some(Ok(finished)) => {
                    self.handle_finished(finished);
                }
                Some(Err(_)) | None => return,
            }
        }
    }
}
