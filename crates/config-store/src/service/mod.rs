//! The service that runs a replica: it connects the network, the disk and the [`Store`].

mod api;
mod replica;

pub use api::RoleRequest;

use crate::disk::Disk;
use crate::disk_supervisor::DiskSupervisor;
use crate::durable_state::DurableState;
use crate::store::Store;
use api::Api;
use ivygate_cluster::StateReplica;
use ivygate_rpc::{
    control_memory_account, serve_with, BootstrapSettings, ErrorKind, Handler, RpcClient, RpcError,
    RpcServerOptions,
};
use ivygate_time::MonotonicClock;
use replica::Replica;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};
use tokio::time::{interval, Instant, MissedTickBehavior};

/// Interval between ticks of the replica.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which a terminating process tries to hand its membership slot to another machine.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Incarnation used until a disk has been opened. The replica does not act before that.
const NO_INCARNATION: u64 = 0;

/// Starts a replica from the state on its disk.
fn start_store(settings: &BootstrapSettings, bootstrap: bool, state: DurableState) -> Store {
    let store = Store::new(settings.ip, settings.seed_machines(), bootstrap, state, fastrand::u64(..));
    let items = store.state().items.len();
    tracing::info!(status = store.status().as_str(), items, "replica started");
    store
}

/// Runs the store's service until the process receives SIGTERM.
///
/// # Errors
/// If the settings name no data folder, or the address can't be bound.
pub async fn run(settings: BootstrapSettings) -> Result<(), RpcError> {
    let configuration = |what: String| RpcError::new(ErrorKind::Configuration, what);
    let folder = settings
        .datadir
        .clone()
        .ok_or_else(|| configuration("datadir: the configuration store requires a data folder".to_owned()))?;
    let mut terminate = signal(SignalKind::terminate()).map_err(|error| configuration(error.to_string()))?;
    // SIGHUP must not end the process; the store has nothing to reload.
    let _hangup = signal(SignalKind::hangup()).map_err(|error| configuration(error.to_string()))?;
    let address = SocketAddr::from((settings.ip, settings.ports().store));
    let memory = control_memory_account(settings.limits);
    let clock = MonotonicClock::start();
    let (disk, state) = DiskSupervisor::new(clock.now(), Disk::open(&folder, fastrand::u64(1..)));
    let state = state.unwrap_or_else(|| DurableState::new(NO_INCARNATION));
    let store = start_store(&settings, settings.bootstrap, state);
    let published = StateReplica::new(fastrand::u64(1..));
    let replica = Replica::new(settings, clock, RpcClient::default(), store, disk, folder, published);
    let api = Rc::new(Api::new(replica.clone()));
    let handler: Handler = Rc::new(move |request| Box::pin(api.clone().handle(request)));
    let server = serve_with(address, handler, RpcServerOptions { memory, ..RpcServerOptions::default() })?;
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut leave_deadline: Option<Instant> = None;
    loop {
        tokio::select! {
            _ = ticks.tick() => replica.tick(),
            _ = terminate.recv(), if leave_deadline.is_none() => {
                if !replica.leave() {
                    break;
                }
                tracing::info!("leaving, waiting for another machine to take this member's slot");
                leave_deadline = Some(Instant::now() + LEAVE_TIMEOUT);
            }
        }
        if leave_deadline.is_some_and(|deadline| Instant::now() >= deadline || replica.can_stop()) {
            break;
        }
    }
    server.shut_down().await;
    Ok(())
}
