//! The platform's edge node: its configuration, its client protocol and discovery.
//!
//! Run by the command line if `RELAY_CONFIG` is set. All decisions about server choice, retries and refusals
//! are made by the gateway.

mod config;
mod discovery;
mod handler;
mod head_parser;

use config::Config;
use handler::NodeHandler;
use head_parser::HeadParser;
use ivygate_gateway::{Gateway, Settings, SettingsError};
use ivygate_runtime::{
    listen, ClientLimits, Clock, DecisionEngine, Driver, HttpServer, ResponsePolicy, Upstream, UpstreamLimits,
};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;
use tokio::task::LocalSet;

/// Returns the number of descriptors that are reserved: for the listener, discovery, the async runtime, the
/// standard streams and sockets that are being closed.
fn reserved_descriptors(descriptors: usize) -> usize {
    (descriptors / 16).max(16)
}

/// Fraction of the descriptors for connections to app servers, as numerator and denominator. Clients get the
/// larger part, since many of their connections are idle.
const UPSTREAM_FRACTION: (usize, usize) = (2, 5);

/// Runs an edge node until it receives SIGTERM or SIGINT.
///
/// # Errors
/// If the configuration cannot be used, or the node cannot listen.
pub fn run() -> Result<(), Box<dyn std::error::Error>> {
    run_with(Gateway::new)
}

/// Runs an edge node with another decision engine than the gateway, built from the settings and the seed.
/// Only used to test a fleet with seeded defects.
///
/// # Errors
/// As for [`run`].
pub fn run_with<D: DecisionEngine + 'static>(
    new_engine: impl FnOnce(Settings, u64) -> Result<D, SettingsError>,
) -> Result<(), Box<dyn std::error::Error>> {
    let config = Config::load()?;
    let engine = new_engine(config.settings.clone(), config.seed).map_err(|e| format!("settings: {e}"))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, serve(config, engine))
}

async fn serve(
    config: Config,
    engine: impl DecisionEngine + 'static,
) -> Result<(), Box<dyn std::error::Error>> {
    let descriptors = config.max_descriptors - reserved_descriptors(config.max_descriptors);
    let upstream_connections = descriptors * UPSTREAM_FRACTION.0 / UPSTREAM_FRACTION.1;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    // Registered first, since an unhandled SIGHUP ends the process.
    let hangups = signal(SignalKind::hangup())?;
    let clock = Clock::new();
    let parser = HeadParser::new(&config.settings, config.request_limits);
    let driver = Driver::new(
        engine,
        clock,
        Upstream::new(
            UpstreamLimits::platform(config.connection_settings, upstream_connections),
            ResponsePolicy::Platform,
        ),
    );
    let rev = config.known.as_ref().map(|list| list.rev);
    if let Some(known) = config.known {
        driver.update_servers(known);
    }
    let listener =
        listen(config.listen).map_err(|error| format!("cannot listen on {}: {error}", config.listen))?;
    eprintln!("ivygate: listening on {}", listener.local_addr()?);
    tokio::task::spawn_local(driver.clone().run_timers());
    let (agent, agents) = watch::channel(config.discovery);
    tokio::task::spawn_local(discovery::follow(driver.clone(), agents, rev));
    tokio::task::spawn_local(reload_on(hangups, agent));
    let handler = Rc::new(NodeHandler::new(driver, parser));
    let server = HttpServer::new(handler, ClientLimits::new(descriptors - upstream_connections));
    let accepting = tokio::task::spawn_local(server.clone().accept(listener));
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    server.shut_down(accepting).await;
    Ok(())
}

/// Reloads the configuration at each SIGHUP, also during a shutdown. A running node only applies the address
/// of the discovery agent; all other settings stay as they were at the start.
async fn reload_on(mut hangups: Signal, agent: watch::Sender<SocketAddr>) {
    while hangups.recv().await.is_some() {
        match Config::load() {
            Ok(config) => {
                eprintln!("ivygate: configuration reloaded; the discovery agent is {}", config.discovery);
                agent.send_replace(config.discovery);
            }
            // The file may be half written or invalid, which must not end a running node.
            Err(error) => eprintln!("ivygate: the configuration stays as it was: {error}"),
        }
    }
}
