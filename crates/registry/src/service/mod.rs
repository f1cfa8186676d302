//! Service of a registry, which transports messages between the network and the [`Registry`] state machine.

mod anti_entropy;
mod api;
mod coordinator_role;
mod endpoints;
mod heartbeats;
mod node;
mod quota;
mod server_list_task;
mod store_calls;
mod ticks;
mod zone_orders;

use ivygate_cluster::run_replication;
use ivygate_control_state::Tables;
use ivygate_rpc::{
    serve_with, BootstrapSettings, ErrorKind, Handler, RpcError, RpcServerOptions, TurnRecorder,
};
use node::{RegistryNode, StoreSource};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::JoinSet;

/// Runs the registry's service until the process receives a termination signal.
///
/// # Errors
/// Returns `Configuration` if the service cannot listen on an address or install a signal handler.
pub async fn run(settings: BootstrapSettings) -> Result<(), RpcError> {
    let configuration = |error: std::io::Error| RpcError::new(ErrorKind::Configuration, error.to_string());
    let mut terminate = signal(SignalKind::terminate()).map_err(configuration)?;
    // SIGHUP must not end the process; the registry has nothing to reload.
    let _hangup = signal(SignalKind::hangup()).map_err(configuration)?;
    let own = SocketAddr::from((settings.ip, settings.ports().registry));
    let public = [settings.listen.ctl, settings.listen.dir].into_iter().flatten();
    let addresses: Vec<SocketAddr> = [own].into_iter().chain(public).collect();
    let node = RegistryNode::new(settings);
    let options = RpcServerOptions { turns: Some(TurnRecorder::start()), memory: node.memory.clone() };
    let mut servers = Vec::new();
    for address in addresses {
        let node = node.clone();
        let handler: Handler = Rc::new(move |request| Box::pin(node.clone().handle(request)));
        servers.push(serve_with(address, handler, options.clone())?);
    }
    tracing::info!(address = %own, "registry started");
    // The tasks are aborted when the set is dropped at the end.
    let mut tasks = JoinSet::new();
    let source = Rc::new(StoreSource(node.clone()));
    tasks.spawn_local(run_replication(node.replica.clone(), node.client.clone(), source, Tables::DURABLE));
    tasks.spawn_local(node.clone().send_heartbeats());
    tasks.spawn_local(node.clone().compare_replicas());
    tasks.spawn_local(node.clone().fetch_server_list());
    tasks.spawn_local(node.clone().tick());
    let _ = terminate.recv().await;
    tracing::info!("shutting down");
    node.announce_shutdown();
    for server in servers {
        server.shut_down().await;
    }
    Ok(())
}
