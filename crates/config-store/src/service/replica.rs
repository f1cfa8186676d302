//! A replica with its disk and its peers: steps the state machine and carries out its effects.

use super::{start_store, NO_INCARNATION};
use crate::disk::Disk;
use crate::disk_supervisor::DiskSupervisor;
use crate::effect::Effect;
use crate::messages::{Command, CommandId, CommandOutcome, PeerEnvelope, PeerReply, PeerRequest, PEER_PATH};
use crate::store::{MembershipStatus, Store};
use ivygate_cluster::StateReplica;
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

/// How long a peer's reply is waited for ...
const REPLY_TIMEOUT: Duration = Duration::from_millis(1_000);
/// ... and how much longer for each item that goes with the request.
const TRANSFER_TIME_PER_ITEM: Duration = Duration::from_micros(500);
/// How long a chunk of a snapshot is waited for.
const CHUNK_TIMEOUT: Duration = Duration::from_millis(4_000);

type CommandResult = Result<CommandOutcome, RpcError>;

/// A replica at work.
pub(super) struct Replica {
    settings: BootstrapSettings,
    clock: MonotonicClock,
    client: RpcClient,
    store: RefCell<Store>,
    disk: RefCell<DiskSupervisor<Disk>>,
    folder: PathBuf,
    /// What registries and proxies pull from.
    published: Rc<StateReplica>,
    /// The last change of the register that is published.
    published_change: Cell<u64>,
    waiting: RefCell<HashMap<CommandId, oneshot::Sender<CommandResult>>>,
    next_command: Cell<CommandId>,
    last_status: Cell<MembershipStatus>,
}

impl Replica {
    /// A replica with its disk; `published` is what others pull from.
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
            waiting: RefCell::default(),
            next_command: Cell::new(1),
        })
    }

    /// What registries and proxies pull from.
    pub fn published(&self) -> &StateReplica {
        &self.published
    }

    /// Lets the store act, and carries out the effects in order. A disk that fails voids the store's memory and all that
    /// rests on it: no effect of the step is then carried out.
    ///
    /// # Errors
    /// If the disk has failed: the store does not act.
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
            self.carry_out(effect);
        }
        self.publish();
        Ok(value)
    }

    fn save(&self) -> Result<(), RpcError> {
        let saved = self.disk.borrow_mut().save(self.clock.now(), self.store.borrow().state());
        if let Err(error) = &saved {
            for (_, waiting) in self.waiting.borrow_mut().drain() {
                // Whoever called may have left.
                let _ = waiting.send(Err(error.clone()));
            }
        }
        saved
    }

    fn carry_out(self: &Rc<Self>, effect: Effect) {
        match effect {
            Effect::Save => {}
            Effect::Send { to, number, request } => self.send(to, number, request),
            Effect::Complete { command, result } => {
                if let Some(waiting) = self.waiting.borrow_mut().remove(&command) {
                    // Whoever called may have left.
                    let _ = waiting.send(result);
                }
            }
        }
    }

    /// Publishes what is new in the register, and how long ago a quorum was in contact.
    fn publish(&self) {
        let store = self.store.borrow();
        let items = &store.state().items;
        if items.last_change() > self.published_change.get() {
            let newer = items.changes_since(self.published_change.get(), Tables::PUBLISHED);
            self.published_change.set(items.last_change());
            self.published.merge(newer);
        }
        if let Some(age_ms) = store.contact_age_ms(self.clock.now()) {
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
                // A store whose disk has failed has no use for a reply.
                let _ = replica.step(|store, now| store.handle_response(now, number, reply.ok()));
            }
        });
    }

    /// Has a command carried out by the store.
    ///
    /// # Errors
    /// Those of the command, and of a disk that has failed.
    pub async fn submit(self: &Rc<Self>, command: Command) -> CommandResult {
        let id = self.next_command.get();
        self.next_command.set(id + 1);
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().insert(id, sender);
        if let Err(error) = self.step(|store, now| store.submit(now, id, command)) {
            self.waiting.borrow_mut().remove(&id);
            return Err(error);
        }
        let dropped = || RpcError::new(ErrorKind::Timeout, "the command was dropped");
        receiver.await.unwrap_or_else(|_| Err(dropped()))
    }

    /// Time has passed: opens a disk again that has failed, ticks the store, and notes a change of its status.
    pub fn tick(self: &Rc<Self>) {
        self.reopen_disk();
        // A store whose disk has failed has nothing to do.
        let _ = self.step(super::super::store::Store::tick);
        let store = self.store.borrow();
        let status = store.status();
        if self.last_status.replace(status) != status {
            tracing::info!(status = status.as_str(), members = ?store.members(), "membership status changed");
        }
    }

    /// Starts again with what the disk holds, if that has failed and can be opened.
    fn reopen_disk(&self) {
        let now = self.clock.now();
        if !self.disk.borrow().is_reopen_due(now) {
            return;
        }
        let opened = Disk::open(&self.folder, fastrand::u64(1..));
        if let Some(state) = self.disk.borrow_mut().handle_opened(now, opened) {
            let mut store = self.store.borrow_mut();
            // The first start of the system is over for a replica whose state was lost since.
            let is_same_disk = [NO_INCARNATION, state.incarnation].contains(&store.state().incarnation);
            *store = start_store(&self.settings, self.settings.bootstrap && is_same_disk, state);
            self.published_change.set(0);
        }
    }

    /// Begins to leave; tells whether it is worth waiting for another machine to take this member's place.
    pub fn leave(self: &Rc<Self>) -> bool {
        self.step(super::super::store::Store::leave).unwrap_or(false)
    }

    /// Whether nothing rests on this replica any more.
    pub fn can_stop(&self) -> bool {
        self.store.borrow().can_stop()
    }

    /// The replica's status, as operators and registries read it.
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

/// How long the reply to a request is waited for.
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
