//! The side that calls: kept connections, one call at a time on each, every wait with an end.

use crate::errors::{Fault, Kind};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::SendRequest;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{timeout, Instant};

/// An idle connection is kept this long.
const KEEP: Duration = Duration::from_secs(4);
/// A connection not established by then never will be: the other machine has no power or is cut off.
const CONNECT: Duration = Duration::from_millis(350);
/// Most idle connections to one address.
const IDLE_MOST: usize = 4;
/// Most addresses with idle connections.
const ADDRESSES_MOST: usize = 256;

struct Idle {
    sender: SendRequest<Full<Bytes>>,
    since: Instant,
}

/// Calls other processes.
#[derive(Clone, Default)]
pub struct Calls {
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<Idle>>>>,
}

impl Calls {
    /// Calls with a body in JSON, and reads the answer as JSON.
    ///
    /// # Errors
    /// The fault that the other side told, or that it could not be reached, or not in time.
    pub async fn post<Q: Serialize, A: DeserializeOwned>(
        &self,
        to: SocketAddr,
        path: &str,
        question: &Q,
        wait: Duration,
    ) -> Result<A, Fault> {
        let body = serde_json::to_vec(question).map_err(|e| Fault::new(Kind::Malformed, e.to_string()))?;
        let (status, body) = self.raw(to, Method::POST, path, body.into(), wait).await?;
        read(to, status, &body)
    }

    /// Asks, and reads the answer as JSON.
    ///
    /// # Errors
    /// As for [`Self::post`].
    pub async fn get<A: DeserializeOwned>(
        &self,
        to: SocketAddr,
        path: &str,
        wait: Duration,
    ) -> Result<A, Fault> {
        let (status, body) = self.raw(to, Method::GET, path, Bytes::new(), wait).await?;
        read(to, status, &body)
    }

    /// One call; the answer as it came.
    ///
    /// # Errors
    /// If there was no whole answer in time.
    pub async fn raw(
        &self,
        to: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
        wait: Duration,
    ) -> Result<(u16, Bytes), Fault> {
        match timeout(wait, self.exchange(to, method, path, body)).await {
            Ok(answer) => answer,
            Err(_) => Err(Fault::new(Kind::Late, format!("{to} gave no answer in time"))),
        }
    }

    async fn exchange(
        &self,
        to: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(u16, Bytes), Fault> {
        let lost = |what: String| Fault::new(Kind::Unreachable, format!("{to}: {what}"));
        let mut sender = match self.kept(to) {
            Some(sender) => sender,
            None => {
                let connected = timeout(CONNECT, TcpStream::connect(to)).await;
                let connected =
                    connected.map_err(|_| Fault::new(Kind::Late, format!("{to}: no connection in time")))?;
                let stream = connected.map_err(|e| lost(e.to_string()))?;
                // A hint: where the system refuses it, the connection serves all the same.
                let _ = stream.set_nodelay(true);
                let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
                    .await
                    .map_err(|e| lost(e.to_string()))?;
                // How it ends shows in the answer.
                tokio::task::spawn_local(async move {
                    let _ = connection.await;
                });
                sender
            }
        };
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, to.to_string())
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|e| Fault::new(Kind::Malformed, e.to_string()))?;
        let answer = sender.send_request(request).await.map_err(|e| lost(e.to_string()))?;
        let status = answer.status().as_u16();
        let body = Limited::new(answer.into_body(), crate::BODY_MOST)
            .collect()
            .await
            .map_err(|e| lost(e.to_string()))?
            .to_bytes();
        self.keep(to, sender);
        Ok((status, body))
    }

    fn kept(&self, to: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.idle.borrow_mut();
        let row = idle.get_mut(&to)?;
        while let Some(idle) = row.pop() {
            if idle.since.elapsed() < KEEP && idle.sender.is_ready() {
                return Some(idle.sender);
            }
        }
        None
    }

    fn keep(&self, to: SocketAddr, sender: SendRequest<Full<Bytes>>) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() >= ADDRESSES_MOST {
            idle.retain(|_, row| row.iter().any(|idle| idle.since.elapsed() < KEEP));
        }
        let row = idle.entry(to).or_default();
        row.retain(|idle| idle.since.elapsed() < KEEP && !idle.sender.is_closed());
        if row.len() < IDLE_MOST {
            row.push(Idle { sender, since: Instant::now() });
        }
    }
}

fn read<A: DeserializeOwned>(from: SocketAddr, status: u16, body: &[u8]) -> Result<A, Fault> {
    if status == 200 {
        return serde_json::from_slice(body).map_err(|e| Fault::new(Kind::Malformed, format!("{from}: {e}")));
    }
    Err(serde_json::from_slice(body)
        .unwrap_or_else(|_| Fault::new(Kind::Unreachable, format!("{from} answered {status}"))))
}
