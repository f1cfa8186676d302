//! Service of the proxy: construction of its parts, startup and shutdown.

use crate::cluster_client::ClusterClient;
use crate::front::ClientFront;
use crate::memory::{max_client_connections, memory_account};
use crate::proxy::{Proxy, DEFAULT_MAX_HEAD_BYTES};
use crate::quota::ProxyQuota;
use crate::staleness::StateLease;
use crate::upstream_pools::UpstreamPools;
use hyper::StatusCode;
use ivygate_cluster::run_replication;
use ivygate_control_state::Tables;
use ivygate_quota::LeasedQuota;
use ivygate_rpc::{
    serve, serve_with, BootstrapSettings, ErrorKind, Handler, ResourceLimits, RpcClient, RpcError,
    RpcResponse, RpcServer, RpcServerOptions,
};
use ivygate_runtime::{listen, ClientLimits, Clock, HttpServer, MemoryAccount};
use ivygate_time::MonotonicClock;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::JoinSet;

/// File descriptors reserved for other uses than connections to clients and servers.
const RESERVED_DESCRIPTORS: u64 = 300;
/// Minimum number of file descriptors for connections to clients and servers.
const MIN_DESCRIPTORS: u64 = 64;
/// Numerator of the fraction of these file descriptors that is available to clients.
const CLIENT_DESCRIPTORS_NUMERATOR: u64 = 3;
/// Denominator of that fraction.
const CLIENT_DESCRIPTORS_DENOMINATOR: u64 = 5;
/// Time allowed to receive a complete request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for which an idle client connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Time for which an idle client connection is kept if it has carried only one request.
const IDLE_TIMEOUT_AFTER_ONE: Duration = Duration::from_secs(3);
/// Time without progress in reading its response after which a client is disconnected.
const READ_STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of connections to clients and to servers.
struct ConnectionBudget {
    clients: usize,
    servers: usize,
}

impl ConnectionBudget {
    fn of_limits(limits: ResourceLimits) -> Self {
        let available = limits.nofile.saturating_sub(RESERVED_DESCRIPTORS).max(MIN_DESCRIPTORS);
        let clients = available * CLIENT_DESCRIPTORS_NUMERATOR / CLIENT_DESCRIPTORS_DENOMINATOR;
        Self {
            clients: (clients as usize).min(max_client_connections(limits)),
            servers: (available - clients) as usize,
        }
    }
}

fn client_limits(max_connections: usize) -> ClientLimits {
    let mut limits = ClientLimits::new(max_connections);
    limits.strict_head_bytes = Some(DEFAULT_MAX_HEAD_BYTES);
    limits.receive_timeout = REQUEST_TIMEOUT;
    limits.idle_timeout = IDLE_TIMEOUT;
    limits.idle_timeout_after_one = IDLE_TIMEOUT_AFTER_ONE;
    limits.read_stall_timeout = READ_STALL_TIMEOUT;
    limits
}

fn configuration_error(text: String) -> RpcError {
    RpcError::new(ErrorKind::Configuration, text)
}

/// Starts the readiness endpoint, which responds with 200 while the proxy is serving and with 503 otherwise.
fn serve_readiness(proxy: &Rc<Proxy>, address: SocketAddr) -> Result<RpcServer, RpcError> {
    let proxy = proxy.clone();
    let handler = move |_| -> std::pin::Pin<Box<dyn std::future::Future<Output = RpcResponse>>> {
        let status = if proxy.is_serving() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        Box::pin(std::future::ready(RpcResponse::new(status, Vec::new())))
    };
    serve(address, Rc::new(handler))
}

/// Starts the server for the other proxies of the zone.
fn serve_peers(
    proxy: &Rc<Proxy>,
    address: SocketAddr,
    memory: Arc<MemoryAccount>,
) -> Result<RpcServer, RpcError> {
    let proxy = proxy.clone();
    let handler: Handler = Rc::new(move |request| Box::pin(proxy.clone().handle_peer(request)));
    serve_with(address, handler, RpcServerOptions { memory, ..RpcServerOptions::default() })
}

/// Runs the proxy's service until the process receives a termination signal.
///
/// # Errors
/// Returns `Configuration` if `listen.http` is not set, or if the service cannot listen on an address or install a signal
/// handler.
pub async fn run(settings: BootstrapSettings) -> Result<(), RpcError> {
    let mut terminate =
        signal(SignalKind::terminate()).map_err(|error| configuration_error(error.to_string()))?;
    // SIGHUP must not end the process; the proxy has nothing to reload.
    let _hangup = signal(SignalKind::hangup()).map_err(|error| configuration_error(error.to_string()))?;
    let http = settings.listen.http;
    let http = http.ok_or_else(|| configuration_error("listen.http is required for a proxy".to_owned()))?;
    let connections = ConnectionBudget::of_limits(settings.limits);
    let memory = memory_account(settings.limits);
    let (clock, monotonic) = (Clock::new(), MonotonicClock::start());
    let client = RpcClient::default();
    let cluster = ClusterClient::new(settings.clone(), client.clone(), monotonic);
    let leased = Rc::new(RefCell::new(LeasedQuota::new(fastrand::u64(1..))));
    let quota = ProxyQuota::new(monotonic, cluster.clone(), leased.clone());
    let lease = Rc::new(StateLease::new(&settings, cluster.replica.clone()));
    let pools = UpstreamPools::new(&settings, clock, connections.servers, lease.clone(), memory.clone());
    let peer_address = SocketAddr::from((settings.ip, settings.ports().proxy));
    let readiness_address = settings.listen.readyz;
    let proxy = Proxy::new(settings, clock, cluster.clone(), quota, lease, pools, memory.clone());
    let weak_proxy = Rc::downgrade(&proxy);
    cluster.set_change_listener(move || {
        if let Some(proxy) = weak_proxy.upgrade() {
            proxy.apply_control_state();
        }
    });
    let peer_server = serve_peers(&proxy, peer_address, memory.clone())?;
    let _readiness_server = match readiness_address {
        Some(address) => Some(serve_readiness(&proxy, address)?),
        None => None,
    };
    let listener =
        listen(http).map_err(|error| configuration_error(format!("cannot listen on {http}: {error}")))?;
    tracing::info!(address = %http, "proxy started");
    // The tasks are aborted when the set is dropped at the end.
    let mut tasks = JoinSet::new();
    tasks.spawn_local(run_replication(cluster.replica.clone(), client, cluster.clone(), Tables::all()));
    tasks.spawn_local(cluster.clone().send_heartbeats());
    tasks.spawn_local(cluster.clone().report_usage(leased));
    let clients =
        HttpServer::new(Rc::new(ClientFront::new(proxy.clone(), memory)), client_limits(connections.clients));
    let accepting = tokio::task::spawn_local(clients.clone().accept(listener));
    let _ = terminate.recv().await;
    tracing::info!("shutting down");
    proxy.begin_shutdown();
    clients.shut_down(accepting).await;
    peer_server.shut_down().await;
    Ok(())
}
