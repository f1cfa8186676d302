//! The side that calls: kept connections, one call at a time on each, every wait with an end.
//!
//! No call is sent again here once a byte of it may have left. Each bears an id which its answer must bring back, so that
//! one meant for another call reaches nobody (`docs/design/resending.md`).

use crate::errors::{Fault, Kind};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::SendRequest;
use hyper::header::{HeaderName, HeaderValue, CONTENT_TYPE, HOST, TRANSFER_ENCODING};
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use ivygate_runtime::has_news;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{timeout, Instant};

/// The id of a call, which its answer brings back. No two calls of a process have the same.
pub(crate) const CALL: HeaderName = HeaderName::from_static("call-id");
/// An idle connection is kept this long.
const KEEP: Duration = Duration::from_secs(4);
/// A connection not established by then never will be: the other machine has no power or is cut off.
const CONNECT: Duration = Duration::from_millis(350);
/// Most idle connections to one address.
const IDLE_MOST: usize = 4;
/// Most addresses with idle connections.
const ADDRESSES_MOST: usize = 256;

/// A connection as its caller holds it.
struct Link {
    sender: SendRequest<Full<Bytes>>,
    /// Its socket, for as long as it stands.
    socket: Weak<TcpStream>,
}

struct Idle {
    link: Link,
    since: Instant,
}

impl Link {
    /// Whether another call may be written: the other side has neither closed it nor sent what nobody asked for.
    fn is_usable(&self) -> bool {
        self.sender.is_ready() && self.socket.upgrade().is_some_and(|socket| !has_news(&socket))
    }
}

/// Calls other processes.
#[derive(Clone, Default)]
pub struct Calls {
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<Idle>>>>,
    made: Rc<Cell<u64>>,
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
    /// If there was no whole answer in time, or one that is not known to be this call's. It may have run then.
    pub async fn raw(
        &self,
        to: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
        wait: Duration,
    ) -> Result<(u16, Bytes), Fault> {
        let asked = Instant::now();
        match timeout(wait, self.exchange(to, method, path, body)).await {
            // Guards against an answer that lay there while this process stood still: what it says is long over.
            Ok(answer) if asked.elapsed() < wait => answer,
            Ok(_) | Err(_) => Err(Fault::new(Kind::Late, format!("{to} gave no answer in time"))),
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
        self.made.set(self.made.get() + 1);
        let call = HeaderValue::from(self.made.get());
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, to.to_string())
            .header(CONTENT_TYPE, "application/json")
            .header(CALL, call.clone())
            .body(Full::new(body))
            .map_err(|e| Fault::new(Kind::Malformed, e.to_string()))?;
        let (link, reused, answer) = self.send(to, request).await?;
        let own = match answer.headers().get(CALL) {
            Some(told) if *told == call => true,
            // A stranger, which knows no ids. There was no other call on this connection, nor will there be.
            None if !reused => false,
            // Guards against an answer to an earlier call, sent late or twice.
            Some(_) | None => return Err(lost("the answer belongs to another call".into())),
        };
        // Guards against an answer cut short that looks whole. A stranger's is an object of JSON, which can't.
        if own && !tells_its_end(&answer) {
            return Err(lost("the answer does not tell its length".into()));
        }
        let status = answer.status().as_u16();
        let body = Limited::new(answer.into_body(), crate::BODY_MOST)
            .collect()
            .await
            .map_err(|e| lost(e.to_string()))?
            .to_bytes();
        if own {
            self.keep(to, link);
        }
        Ok((status, body))
    }

    /// Sends a request on a kept connection or a new one; tells which, and the answer's head. One that ends before a
    /// byte of the request was written is no reason to give up: taking another sends nothing again.
    async fn send(
        &self,
        to: SocketAddr,
        mut request: Request<Full<Bytes>>,
    ) -> Result<(Link, bool, Response<Incoming>), Fault> {
        let lost = |what: String| Fault::new(Kind::Unreachable, format!("{to}: {what}"));
        loop {
            let (mut link, reused) = match self.kept(to) {
                Some(link) => (link, true),
                None => (connect(to).await?, false),
            };
            match link.sender.try_send_request(request).await {
                Ok(answer) => return Ok((link, reused, answer)),
                Err(mut error) => match error.take_message().filter(|_| reused) {
                    Some(unsent) => request = unsent,
                    None => return Err(lost(error.into_error().to_string())),
                },
            }
        }
    }

    fn kept(&self, to: SocketAddr) -> Option<Link> {
        let mut idle = self.idle.borrow_mut();
        let row = idle.get_mut(&to)?;
        while let Some(idle) = row.pop() {
            if idle.since.elapsed() < KEEP && idle.link.is_usable() {
                return Some(idle.link);
            }
        }
        None
    }

    fn keep(&self, to: SocketAddr, link: Link) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() >= ADDRESSES_MOST {
            idle.retain(|_, row| row.iter().any(|idle| idle.since.elapsed() < KEEP));
        }
        let row = idle.entry(to).or_default();
        row.retain(|idle| idle.since.elapsed() < KEEP && !idle.link.sender.is_closed());
        if row.len() < IDLE_MOST {
            row.push(Idle { link, since: Instant::now() });
        }
    }
}

async fn connect(to: SocketAddr) -> Result<Link, Fault> {
    let lost = |what: String| Fault::new(Kind::Unreachable, format!("{to}: {what}"));
    let connected = timeout(CONNECT, TcpStream::connect(to)).await;
    let connected = connected.map_err(|_| Fault::new(Kind::Late, format!("{to}: no connection in time")))?;
    let stream = connected.map_err(|e| lost(e.to_string()))?;
    // A hint: where the system refuses it, the connection serves all the same.
    let _ = stream.set_nodelay(true);
    let stream = Rc::new(stream);
    let socket = Rc::downgrade(&stream);
    let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(Shared(stream)))
        .await
        .map_err(|e| lost(e.to_string()))?;
    // How it ends shows in the answer.
    tokio::task::spawn_local(async move {
        let _ = connection.await;
    });
    Ok(Link { sender, socket })
}

/// A stream that its caller can look at while the connection has it. Dropping it closes it.
struct Shared(Rc<TcpStream>);

impl AsyncRead for Shared {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(cx))?;
            match self.0.try_read(buf.initialize_unfilled()) {
                Ok(read) => {
                    buf.advance(read);
                    return Poll::Ready(Ok(()));
                }
                // Readiness was out of date, and is known to be so now.
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for Shared {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[io::IoSlice::new(buf)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            match self.0.try_write_vectored(bufs) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// Whether an answer's end is told by its length or by chunks, and not just by the connection's end.
fn tells_its_end(answer: &Response<Incoming>) -> bool {
    answer.body().size_hint().exact().is_some() || answer.headers().contains_key(TRANSFER_ENCODING)
}

fn read<A: DeserializeOwned>(from: SocketAddr, status: u16, body: &[u8]) -> Result<A, Fault> {
    if status == 200 {
        return serde_json::from_slice(body).map_err(|e| Fault::new(Kind::Malformed, format!("{from}: {e}")));
    }
    Err(serde_json::from_slice(body)
        .unwrap_or_else(|_| Fault::new(Kind::Unreachable, format!("{from} answered {status}"))))
}
