//! The proxy's service: what is put together, started and ended.

use crate::cluster_client::ClusterClient;
use crate::front::ClientFront;
use crate::proxy::{Proxy, DEFAULT_MAX_HEAD_BYTES};
use crate::quota::ProxyQuota;
use crate::upstream_pools::UpstreamPools;
use hyper::StatusCode;
use ivygate_cluster::follow;
use ivygate_control_state::Tables;
use ivygate_quota::LeasedQuota;
use ivygate_rpc::{serve, BootstrapSettings, ErrorKind, RpcClient, RpcError, RpcResponse, RpcServer};
use ivygate_runtime::{listen, ClientLimits, Clock, HttpServer};
use ivygate_time::MonotonicClock;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::JoinSet;

/// Descriptors that neither clients nor servers get.
const RESERVED_DESCRIPTORS: u64 = 300;
/// The fewest descriptors for clients and servers.
const MIN_DESCRIPTORS: u64 = 64;
/// The part of them that clients get, as a fraction.
const CLIENT_DESCRIPTORS_NUMERATOR: u64 = 3;
const CLIENT_DESCRIPTORS_DENOMINATOR: u64 = 5;
/// A request must come in completely within this time.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
/// An idle connection of a client is kept this long ...
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// ... and one that has carried a single request, this long.
const IDLE_TIMEOUT_AFTER_ONE: Duration = Duration::from_secs(3);
/// A client that takes nothing of its answer for this long is disconnected.
const READ_STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// How many connections clients and servers may have.
struct ConnectionBudget {
    clients: usize,
    servers: usize,
}

impl ConnectionBudget {
    fn of_descriptors(descriptors: u64) -> Self {
        let available = descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(MIN_DESCRIPTORS);
        let clients = available * CLIENT_DESCRIPTORS_NUMERATOR / CLIENT_DESCRIPTORS_DENOMINATOR;
        Self { clients: clients as usize, servers: (available - clients) as usize }
    }
}

fn client_limits(max_connections: usize) -> ClientLimits {
    let mut limits = ClientLimits::new(max_connections);
    limits.strict_head_bytes = Some(DEFAULT_MAX_HEAD_BYTES);
    limits.receive_timeout = REQUEST_TIMEOUT;
    limits.idle_timeout = IDLE_TIMEOUT;
    limits.idle_timeout_after_one = IDLE_TIMEOUT_AFTER_ONE;
    limits.read_stall_timeout = Some(READ_STALL_TIMEOUT);
    limits
}

fn configuration_error(text: String) -> RpcError {
    RpcError::new(ErrorKind::Configuration, text)
}

/// Answers whether the proxy takes clients, until the process ends.
fn serve_readiness(proxy: &Rc<Proxy>, address: SocketAddr) -> Result<RpcServer, RpcError> {
    let proxy = proxy.clone();
    let handler = move |_| -> std::pin::Pin<Box<dyn std::future::Future<Output = RpcResponse>>> {
        let status = if proxy.is_serving() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        Box::pin(std::future::ready(RpcResponse { status, body: Vec::new() }))
    };
    serve(address, Rc::new(handler))
}

/// Answers the other proxies of the zone.
fn serve_peers(proxy: &Rc<Proxy>, address: SocketAddr) -> Result<RpcServer, RpcError> {
    let proxy = proxy.clone();
    serve(address, Rc::new(move |request| Box::pin(proxy.clone().handle_peer(request))))
}

/// Runs the proxy's service until the process is told to end.
///
/// # Errors
/// If an address can't be listened on.
pub async fn run(settings: BootstrapSettings) -> Result<(), RpcError> {
    let mut terminate =
        signal(SignalKind::terminate()).map_err(|error| configuration_error(error.to_string()))?;
    // A hangup must not end the process; the proxy has nothing to read again.
    let _hangup = signal(SignalKind::hangup()).map_err(|error| configuration_error(error.to_string()))?;
    let http = settings.listen.http;
    let http = http.ok_or_else(|| configuration_error("listen.http: a proxy needs it".to_owned()))?;
    let connections = ConnectionBudget::of_descriptors(settings.limits.nofile);
    let (clock, monotonic) = (Clock::new(), MonotonicClock::start());
    let client = RpcClient::default();
    let cluster = ClusterClient::new(settings.clone(), client.clone(), monotonic);
    let leased = Rc::new(RefCell::new(LeasedQuota::new(fastrand::u64(1..))));
    let quota = ProxyQuota::new(monotonic, cluster.clone(), leased.clone());
    let pools = UpstreamPools::new(&settings, clock, connections.servers);
    let peer_address = SocketAddr::from((settings.ip, settings.ports().proxy));
    let readiness_address = settings.listen.readyz;
    let proxy = Proxy::new(settings, clock, cluster.clone(), quota, pools);
    let updated = Rc::downgrade(&proxy);
    cluster.set_change_listener(move || {
        if let Some(proxy) = updated.upgrade() {
            proxy.apply_control_state();
        }
    });
    let peer_server = serve_peers(&proxy, peer_address)?;
    let _readiness_server = match readiness_address {
        Some(address) => Some(serve_readiness(&proxy, address)?),
        None => None,
    };
    let listener =
        listen(http).map_err(|error| configuration_error(format!("cannot listen on {http}: {error}")))?;
    tracing::info!(address = %http, "proxy started");
    // Ended with the process.
    let mut tasks = JoinSet::new();
    tasks.spawn_local(follow(cluster.replica.clone(), client, cluster.clone(), Tables::all()));
    tasks.spawn_local(cluster.clone().send_heartbeats());
    tasks.spawn_local(cluster.clone().report_usage(leased));
    let clients =
        HttpServer::new(Rc::new(ClientFront::new(proxy.clone())), client_limits(connections.clients));
    let accepting = tokio::task::spawn_local(clients.clone().accept(listener));
    let _ = terminate.recv().await;
    tracing::info!("shutting down");
    proxy.begin_shutdown();
    clients.shut_down(accepting).await;
    peer_server.shut_down().await;
    Ok(())
}
