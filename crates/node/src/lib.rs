//! The platform's edge node: its configuration, its protocol's heads and answers, discovery.
//!
//! Called by the command line only, where `RELAY_CONFIG` is set. Must never decide which server, whether
//! again or what is refused: that is the gateway's.

mod config;
mod discovery;
mod front;
mod request;

use config::Config;
use front::NodeFront;
use ivygate_gateway::{Gateway, Settings, SettingsError};
use ivygate_runtime::{
    listen, ClientLimits, Clock, DecisionEngine, Driver, HttpServer, ResponsePolicy, Upstream, UpstreamLimits,
};
use request::Reader;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;
use tokio::task::LocalSet;

/// Descriptors that neither side may use: listener, discovery, the runtime's own, standard streams and
/// sockets in the act of closing.
fn reserve(sockets: usize) -> usize {
    (sockets / 16).max(16)
}

/// Part of the descriptors that attempts may use, a fraction. Clients get the rest: many of theirs wait idle.
const UPSTREAM_PART: (usize, usize) = (2, 5);

/// Runs one edge node until it is told to end.
///
/// # Errors
/// If the configuration cannot be used, or the node cannot listen.
pub fn run() -> Result<(), Box<dyn std::error::Error>> {
    run_with(Gateway::new)
}

/// The same with other decisions, made of settings and a seed. Only tests of a fleet have others than the gateway's.
///
/// # Errors
/// As for [`run`].
pub fn run_with<D: DecisionEngine + 'static>(
    decisions: impl FnOnce(Settings, u64) -> Result<D, SettingsError>,
) -> Result<(), Box<dyn std::error::Error>> {
    let config = Config::load()?;
    let gateway = decisions(config.settings.clone(), config.seed).map_err(|e| format!("settings: {e}"))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, serve(config, gateway))
}

async fn serve(
    config: Config,
    gateway: impl DecisionEngine + 'static,
) -> Result<(), Box<dyn std::error::Error>> {
    let sockets = config.sockets - reserve(config.sockets);
    let upstreams = sockets * UPSTREAM_PART.0 / UPSTREAM_PART.1;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    // Asked for before anything else is done: until then a signal would end the process.
    let hangups = signal(SignalKind::hangup())?;
    let clock = Clock::new();
    let reader = Reader::new(&config.settings, config.bounds);
    let driver = Driver::new(
        gateway,
        clock,
        Upstream::new(UpstreamLimits::platform(config.links, upstreams), ResponsePolicy::Platform),
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
    let front = Rc::new(NodeFront::new(driver, reader));
    let clients = HttpServer::new(front, ClientLimits::new(sockets - upstreams));
    let accepting = tokio::task::spawn_local(clients.clone().accept(listener));
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    clients.shut_down(accepting).await;
    Ok(())
}

/// Reads the configuration anew at each SIGHUP, also while the node winds up. What a running node takes from
/// it is the address of discovery; all else stays as it was at the start.
async fn reload_on(mut hangups: Signal, agent: watch::Sender<SocketAddr>) {
    while hangups.recv().await.is_some() {
        match Config::load() {
            Ok(config) => {
                eprintln!("ivygate: configuration read anew; discovery is at {}", config.discovery);
                agent.send_replace(config.discovery);
            }
            // Guards a running node against a file that is half written or wrong.
            Err(error) => eprintln!("ivygate: the configuration stays as it was: {error}"),
        }
    }
}
