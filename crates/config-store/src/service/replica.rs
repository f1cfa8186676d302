//! Runs a replica with its disk and its peers: steps the state machine and executes its effects.

use super::{start_store, NO_INCARNATION};
use crate::disk::Disk;
use crate::disk_supervisor::DiskSupervisor;
use crate::effect::Effect;
use crate::messages::{Command, CommandId, CommandOutcome, PeerEnvelope, PeerReply, PeerRequest, PEER_PATH};
use crate::store::{MembershipStatus, Store};
use ivygate_cluster::{StateReplica, StoreTime};
use ivygate_control_state::Tables;
use ivygate_rpc::{BootstrapSettings, ErrorKind, RpcClient, RpcError};
use ivygate_time::{MonotonicClock, Timestamp};
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Time to wait for a peer's reply, without the transfer time of items.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Additional time to wait for each item in the request.
const TRANSFER_TIME_PER_ITEM: Duration = Duration::from_micros(500);
/// Time to wait for a snapshot chunk.
const CHUNK_TIMEOUT: Duration = Duration::from_millis(4_000);

type CommandResult = Result<CommandOutcome, RpcError>;

/// A running replica.
pub(super) struct Replica {
    settings: BootstrapSettings,
    clock: MonotonicClock,
    client: RpcClient,
    store: RefCell<Store>,
    disk: RefCell<DiskSupervisor<Disk>>,
    folder: PathBuf,

    /// The state that registries and proxies pull.
    published: Rc<StateReplica>,
    /// The number of the last published change of the register.
    published_change: Cell<u64>,
    /// Identifies this run of the process and its clock.
    run: u64,
    submitters: RefCell<HashMap<CommandId, oneshot::Sender<CommandResult>>>,
    next_command: Cell<CommandId>,
    last_status: Cell<MembershipStatus>,
}

impl Replica {
    /// Creates a running replica; `published` is the state that registries and proxies pull.
    pub fn new(
        settings: BootstrapSettings,
        clock: MonotonicClock,
        client: RpcClient,
        store: Store,
        disk: DiskSupervisor<Disk>,
        folder: PathBuf,
        published: Rc<StateReplica>,
    ) -> Rc<Self> {
        Rc::new(Self {
            settings,
            clock,
            client,
            last_status: Cell::new(store.status()),
            store: RefCell::new(store),
            disk: RefCell::new(disk),
            folder,
            published,
            published_change: Cell::new(0),
            run: fastrand::u64(..),
            submitters: RefCell::default(),
            next_command: Cell::new(1),
        })
    }

    /// Returns the state that registries and proxies pull.
    pub fn published(&self) -> &StateReplica {
        &self.published
    }

    /// Runs one step of the store and executes its effects in order. If the disk fails, the store's memory is void and
    /// no effect of the step is executed.
    ///
    /// # Errors
    /// If the disk has failed, in which case the store does not act.
    pub fn step<T>(self: &Rc<Self>, act: impl FnOnce(&mut Store, Timestamp) -> T) -> Result<T, RpcError> {
        if let Some(error) = self.disk.borrow().error() {
            return Err(error);
        }
        let (value, effects) = {
            let mut store = self.store.borrow_mut();
            let value = act(&mut store, self.clock.now());
            (value, store.take_effects())
        };
        if effects.iter().any(|effect| matches!(effect, Effect::Save)) {
            self.save()?;
        }
        for effect in effects {
            self.execute(effect);
        }
        self.publish();
        Ok(value)
    }

    fn save(&self) -> Result<(), RpcError> {
        let saved = self.disk.borrow_mut().save(self.clock.now(), self.store.borrow().state());
        if let Err(error) = &saved {
            for (_, submitter) in self.submitters.borrow_mut().drain() {
                // The caller may have disconnected.
                let _ = submitter.send(Err(error.clone()));
            }
        }
        saved
    }

    fn execute(self: &Rc<Self>, effect: Effect) {
        match effect {
            Effect::Save => {}
            Effect::Send { to, number, request } => self.send(to, number, request),
            Effect::Complete { command, result } => {
                if let Some(submitter) = self.submitters.borrow_mut().remove(&command) {
                    // The caller may have disconnected.
                    let _ = submitter.send(result);
                }
            }
        }
    }

    /// Publishes new items of the register, and the age of its state.
    fn publish(&self) {
        let store = self.store.borrow();
        let items = &store.state().items;
        if items.last_change() > self.published_change.get() {
            let newer = items.changes_since(self.published_change.get(), Tables::PUBLISHED);
            self.published_change.set(items.last_change());
            self.published.merge(newer);
        }
        if let Some(age_ms) = store.state_age_ms(self.clock.now()) {
            self.published.record_contact(age_ms);
        }
    }

    fn send(self: &Rc<Self>, to: Ipv4Addr, number: u64, request: PeerRequest) {
        let replica = self.clone();
        let generation = self.disk.borrow().generation();
        tokio::task::spawn_local(async move {
            let address = SocketAddr::from((to, replica.settings.ports().store));
            let timeout = reply_timeout(&request);
            let envelope = PeerEnvelope { from: replica.settings.ip, request };
            let reply: Result<PeerReply, RpcError> =
                replica.client.post(address, PEER_PATH, &envelope, timeout).await;
            if let Err(error) = &reply {
                tracing::debug!(peer = %to, %error, "peer did not answer");
            }
            if replica.disk.borrow().generation() == generation {
                // A store whose disk has failed ignores replies.
                let _ = replica.step(|store, now| store.handle_response(now, number, reply.ok()));
            }
        });
    }

    /// Submits a command to the store and waits for its result.
    ///
    /// # Errors
    /// The error of the command, or of the disk if it has failed.
    pub async fn submit(self: &Rc<Self>, command: Command) -> CommandResult {
        self.submit_until(command, Timestamp::DISTANT_FUTURE).await
    }

    /// Submits a command that must not be evaluated after `deadline`, and waits for its result. If the caller stops waiting, the
    /// command is withdrawn from the store.
    ///
    /// # Errors
    /// The error of the command, or of the disk if it has failed.
    pub async fn submit_until(self: &Rc<Self>, command: Command, deadline: Timestamp) -> CommandResult {
        let id = self.next_command.get();
        self.next_command.set(id + 1);
        let (sender, receiver) = oneshot::channel();
        self.submitters.borrow_mut().insert(id, sender);
        let _submission = Submission { replica: self.clone(), id };
        self.step(|store, now| store.submit_until(now, id, command, deadline))?;
        let dropped = || RpcError::new(ErrorKind::Timeout, "the command was discarded before it completed");
        receiver.await.unwrap_or_else(|_| Err(dropped()))
    }

    /// Returns the time of the replica's clock.
    pub fn clock_time(&self) -> StoreTime {
        StoreTime::new(self.run, self.clock.now())
    }

    /// Returns a deadline on the replica's clock.
    ///
    /// # Errors
    /// `NotReady` if the deadline is one on the clock of an earlier run of this store.
    pub fn deadline_in_this_run(&self, deadline: StoreTime) -> Result<Timestamp, RpcError> {
        let restarted = || RpcError::new(ErrorKind::NotReady, "the store has been restarted");
        deadline.in_run(self.run).ok_or_else(restarted)
    }

    /// Reopens a failed disk if due, ticks the store, and logs a change of its status.
    pub fn tick(self: &Rc<Self>) {
        self.reopen_disk();
        // A store whose disk has failed does nothing.
        let _ = self.step(super::super::store::Store::tick);
        let store = self.store.borrow();
        let status = store.status();
        if self.last_status.replace(status) != status {
            tracing::info!(status = status.as_str(), members = ?store.members(), "membership status changed");
        }
    }

    /// Restarts the replica from the state on disk, if the disk failed and can be opened again.
    fn reopen_disk(&self) {
        let now = self.clock.now();
        if !self.disk.borrow().is_reopen_due(now) {
            return;
        }
        let opened = Disk::open(&self.folder, fastrand::u64(1..));
        if let Some(state) = self.disk.borrow_mut().handle_opened(now, opened) {
            let mut store = self.store.borrow_mut();
            // A replica that lost its state must not bootstrap the system again.
            let is_same_disk = [NO_INCARNATION, state.incarnation].contains(&store.state().incarnation);
            *store = start_store(&self.settings, self.settings.bootstrap && is_same_disk, state);
            self.published_change.set(0);
        }
    }

    /// Begins a planned leave. Returns whether to wait for another machine to take this member's slot.
    pub fn leave(self: &Rc<Self>) -> bool {
        self.step(super::super::store::Store::leave).unwrap_or(false)
    }

    /// Returns whether the store no longer depends on this replica.
    pub fn can_stop(&self) -> bool {
        self.store.borrow().can_stop()
    }

    /// Returns the replica's status as reported to operators and registries.
    pub fn status(&self) -> Value {
        let store = self.store.borrow();
        let state = store.state();
        json!({
            "standing": store.status().as_str(),
            "members": store.members(),
            "items": state.items.len(),
            "digest": format!("{:016x}", state.items.digest(Tables::DURABLE)),
            "chosen": state.chosen,
            "inTouchMs": store.contact_age_ms(self.clock.now()),
            "disk": self.disk.borrow().error().map(|error| error.to_string()),
        })
    }
}

/// Caller that waits for the result of a command. Dropping it withdraws the command if there is no result yet.
struct Submission {
    replica: Rc<Replica>,
    id: CommandId,
}

impl Drop for Submission {
    fn drop(&mut self) {
        if self.replica.submitters.borrow_mut().remove(&self.id).is_some() {
            self.replica.store.borrow_mut().withdraw(self.id);
        }
    }
}

/// Returns the time to wait for the reply to a request.
fn reply_timeout(request: &PeerRequest) -> Duration {
    match request {
        PeerRequest::CatchUp { .. } => CHUNK_TIMEOUT,
        PeerRequest::Accept { missing, items, .. } => {
            REPLY_TIMEOUT + TRANSFER_TIME_PER_ITEM * (missing.len() + items.len()) as u32
        }
        PeerRequest::Learn { items, .. } => REPLY_TIMEOUT + TRANSFER_TIME_PER_ITEM * items.len() as u32,
        _ => REPLY_TIMEOUT,
    }
}
