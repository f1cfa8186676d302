//! Discovery of app servers: starts from the known list, fetches the list, watches its changes, and retries
//! after failures.

use bytes::{Buf, Bytes, BytesMut};
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use ivygate_runtime::{Driver, ServerListUpdate};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};

/// Time limit for connecting to the agent, which is on this machine.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit for the head of a response, and for a whole list.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after which a watch without input is considered dead: the agent sends an empty line every 2 s.
const WATCH_TIMEOUT: Duration = Duration::from_secs(5);
/// First delay after a failure; it doubles with each further failure.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum delay after a failure.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Maximum length of a list or line, in bytes; limits the memory for a line that never ends.
const MAX_LIST_BYTES: usize = 4 << 20;

/// Error of a call to the agent. The call is retried after a delay in any case.
enum DiscoveryError {
    /// There was no connection or no response, or the response ended.
    ConnectionLost,
    /// A response or line is malformed: the whole list must be fetched again.
    Malformed,
}

/// Keeps the driver's server list up to date while the node runs. Follows the last address received from
/// `agents`; `known` is the version of the list that the driver has.
pub async fn follow(driver: Rc<Driver>, mut agents: watch::Receiver<SocketAddr>, known: Option<u64>) {
    let mut rev = known;
    loop {
        let agent = *agents.borrow_and_update();
        tokio::select! {
            () = follow_agent(&driver, agent, rev) => {}
            changed = agents.changed() => if changed.is_err() {
                // The sender is gone, so the address does not change any more.
                follow_agent(&driver, agent, None).await;
            }
        }
        // Each agent has its own version numbers. The old list stays in use until the new agent's list is
        // received.
        rev = None;
    }
}

async fn follow_agent(driver: &Rc<Driver>, agent: SocketAddr, mut rev: Option<u64>) {
    let mut needs_full_list = true;
    let mut backoff = MIN_BACKOFF;
    loop {
        if needs_full_list {
            if let Ok(update) = fetch_list(agent).await {
                rev = Some(update.rev);
                driver.update_servers(update);
                needs_full_list = false;
                backoff = MIN_BACKOFF;
            }
        }
        // A watch also delivers the list, so it is opened even if the list could not be fetched.
        let mut received_line = false;
        if let Err(DiscoveryError::Malformed) = watch_list(agent, driver, &mut rev, &mut received_line).await
        {
            needs_full_list = true;
        }
        // Only a watch that has delivered a line counts as a success, so an agent that accepts connections
        // and closes them, or sends malformed responses, is not called in a tight loop.
        backoff = if received_line { MIN_BACKOFF } else { (backoff * 2).min(MAX_BACKOFF) };
        sleep(backoff).await;
    }
}

/// A call with a connection of its own, which is closed on drop.
struct Call {
    body: Incoming,
    connection: AbortHandle,
}

impl Drop for Call {
    fn drop(&mut self) {
        self.connection.abort();
    }
}

async fn call(agent: SocketAddr, path: &str) -> Option<Call> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(agent)).await.ok()?.ok()?;
    // Only an optimization: without it the list arrives a little later.
    let _ = stream.set_nodelay(true);
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.ok()?;
    let connection = tokio::task::spawn_local(connection).abort_handle();
    let request = Request::get(path).header("host", agent.to_string()).body(Empty::<Bytes>::new()).ok()?;
    match timeout(RESPONSE_TIMEOUT, sender.send_request(request)).await {
        Ok(Ok(response)) if response.status() == StatusCode::OK => {
            Some(Call { body: response.into_body(), connection })
        }
        _ => {
            connection.abort();
            None
        }
    }
}

async fn fetch_list(agent: SocketAddr) -> Result<ServerListUpdate, DiscoveryError> {
    let mut call = call(agent, "/discovery/hosts").await.ok_or(DiscoveryError::ConnectionLost)?;
    let body = http_body_util::Limited::new(&mut call.body, MAX_LIST_BYTES).collect();
    let body = timeout(RESPONSE_TIMEOUT, body)
        .await
        .map_err(|_| DiscoveryError::ConnectionLost)?
        .map_err(|_| DiscoveryError::ConnectionLost)?;
    serde_json::from_slice(&body.to_bytes()).map_err(|_| DiscoveryError::Malformed)
}

/// Opens a watch and applies its updates until it fails. Sets `received_line` when it has delivered a line.
async fn watch_list(
    agent: SocketAddr,
    driver: &Rc<Driver>,
    rev: &mut Option<u64>,
    received_line: &mut bool,
) -> Result<(), DiscoveryError> {
    let path = format!("/discovery/hosts?stream=1&index={}", rev.unwrap_or(0));
    let mut call = call(agent, &path).await.ok_or(DiscoveryError::ConnectionLost)?;
    let mut text = BytesMut::new();
    loop {
        let frame =
            timeout(WATCH_TIMEOUT, call.body.frame()).await.map_err(|_| DiscoveryError::ConnectionLost)?;
        let frame =
            frame.ok_or(DiscoveryError::ConnectionLost)?.map_err(|_| DiscoveryError::ConnectionLost)?;
        let Ok(data) = frame.into_data() else { continue };
        let mut from = text.len();
        text.extend_from_slice(&data);
        while let Some(end) = text[from..].iter().position(|byte| *byte == b'\n') {
            let line = text.split_to(from + end);
            text.advance(1);
            from = 0;
            if !line.trim_ascii().is_empty() {
                let update: ServerListUpdate =
                    serde_json::from_slice(&line).map_err(|_| DiscoveryError::Malformed)?;
                *rev = Some(update.rev);
                driver.update_servers(update);
            }
            *received_line = true;
        }
        if text.len() > MAX_LIST_BYTES {
            return Err(DiscoveryError::Malformed);
        }
    }
}
