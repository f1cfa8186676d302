//! The list of app servers: starts from what is known, lists, watches, and comes back after failures.

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

/// Longest time for a connection to the agent, which is on this machine.
const CONNECT: Duration = Duration::from_secs(1);
/// Longest time for an answer's head and for a whole list.
const ANSWER: Duration = Duration::from_secs(3);
/// A watch has an empty line every 2 s; one that is silent for this long is dead without having said so.
const SILENCE: Duration = Duration::from_secs(5);
/// First wait after a failure; doubles up to the last.
const BACK_OFF: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));
/// Longest list or line that is believed; guards the memory against a peer that never ends its line.
const LIST_MOST: usize = 4 << 20;

/// What went wrong with a call. The cure is the same for all: wait, and call again.
enum Trouble {
    /// No connection, no answer, or the answer ended.
    Lost,
    /// An answer or a line that cannot be read: the list must be fetched anew.
    Unreadable,
}

/// Keeps the driver informed for as long as the node runs, by the agent that was named last.
pub async fn follow(driver: Rc<Driver>, mut agents: watch::Receiver<SocketAddr>, known: Option<u64>) {
    let mut rev = known;
    loop {
        let agent = *agents.borrow_and_update();
        tokio::select! {
            () = follow_one(&driver, agent, rev) => {}
            changed = agents.changed() => if changed.is_err() {
                // None will be named any more, so the last one is followed to the end.
                follow_one(&driver, agent, None).await;
            }
        }
        // Another agent counts its versions anew. Until its list has come the old one holds.
        rev = None;
    }
}

async fn follow_one(driver: &Rc<Driver>, agent: SocketAddr, mut rev: Option<u64>) {
    let mut whole = true;
    let mut wait = BACK_OFF.0;
    loop {
        if whole {
            if let Ok(listing) = list(agent).await {
                rev = Some(listing.rev);
                driver.update_servers(listing);
                whole = false;
                wait = BACK_OFF.0;
            }
        }
        // A watch brings the list too where fetching it failed, so it is tried all the same.
        let mut heard = false;
        if let Err(Trouble::Unreadable) = stream(agent, driver, &mut rev, &mut heard).await {
            whole = true;
        }
        // Only a watch that has brought a line counts as a success: an agent that accepts and hangs up,
        // or answers nonsense, is not called in a tight loop.
        wait = if heard { BACK_OFF.0 } else { (wait * 2).min(BACK_OFF.1) };
        sleep(wait).await;
    }
}

/// A connection of its own for each call; it ends with this.
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
    let stream = timeout(CONNECT, TcpStream::connect(agent)).await.ok()?.ok()?;
    // A hint: a list that comes a little later is better than none.
    let _ = stream.set_nodelay(true);
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.ok()?;
    let connection = tokio::task::spawn_local(connection).abort_handle();
    let request = Request::get(path).header("host", agent.to_string()).body(Empty::<Bytes>::new()).ok()?;
    match timeout(ANSWER, sender.send_request(request)).await {
        Ok(Ok(answer)) if answer.status() == StatusCode::OK => {
            Some(Call { body: answer.into_body(), connection })
        }
        _ => {
            connection.abort();
            None
        }
    }
}

async fn list(agent: SocketAddr) -> Result<ServerListUpdate, Trouble> {
    let mut call = call(agent, "/discovery/hosts").await.ok_or(Trouble::Lost)?;
    let body = http_body_util::Limited::new(&mut call.body, LIST_MOST).collect();
    let body = timeout(ANSWER, body).await.map_err(|_| Trouble::Lost)?.map_err(|_| Trouble::Lost)?;
    serde_json::from_slice(&body.to_bytes()).map_err(|_| Trouble::Unreadable)
}

async fn stream(
    agent: SocketAddr,
    driver: &Rc<Driver>,
    rev: &mut Option<u64>,
    heard: &mut bool,
) -> Result<(), Trouble> {
    let path = format!("/discovery/hosts?stream=1&index={}", rev.unwrap_or(0));
    let mut call = call(agent, &path).await.ok_or(Trouble::Lost)?;
    let mut text = BytesMut::new();
    loop {
        let frame = timeout(SILENCE, call.body.frame()).await.map_err(|_| Trouble::Lost)?;
        let frame = frame.ok_or(Trouble::Lost)?.map_err(|_| Trouble::Lost)?;
        let Ok(data) = frame.into_data() else { continue };
        let mut from = text.len();
        text.extend_from_slice(&data);
        while let Some(end) = text[from..].iter().position(|byte| *byte == b'\n') {
            let line = text.split_to(from + end);
            text.advance(1);
            from = 0;
            if !line.trim_ascii().is_empty() {
                let listing: ServerListUpdate =
                    serde_json::from_slice(&line).map_err(|_| Trouble::Unreadable)?;
                *rev = Some(listing.rev);
                driver.update_servers(listing);
            }
            *heard = true;
        }
        if text.len() > LIST_MOST {
            return Err(Trouble::Unreadable);
        }
    }
}
