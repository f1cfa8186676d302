//! HTTP server: accepts and limits client connections, and passes each request to a [`RequestHandler`].

use crate::framing::{Framing, FramingError};
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::error::Error;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::{interval, sleep, timeout, Instant};

/// Read buffer of a connection, in bytes; larger than the head of any request of the platform's protocol.
const BUFFER_BYTES: usize = 16 << 10;
/// Time limit for receiving a complete request: from the start of the connection, or from the first byte of a
/// later request. Without it, a client that sends nothing, or never the rest of a request, would hold its
/// descriptor forever.
pub const RECEIVE_TIMEOUT: Duration = Duration::from_millis(2300);
/// Idle timeout of a connection that has carried several requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Idle timeout of a connection that has carried one request. Shorter, since many clients send one request
/// and keep the connection open.
const IDLE_TIMEOUT_AFTER_ONE: Duration = Duration::from_secs(5);
/// Minimum idle time after which a connection that has carried several requests is closed to make room.
const MIN_IDLE_REUSED: Duration = Duration::from_secs(1);
/// Minimum idle time after which a connection that has carried no request is closed to make room: most
/// clients send a request as soon as they have connected.
const MIN_IDLE_UNUSED: Duration = Duration::from_millis(100);
/// Additional time for a connection that has carried no request before it is closed, since its first bytes
/// may not have been read yet.
const FINAL_READ_TIME: Duration = Duration::from_millis(10);
/// Divisor of the maximum number of connections that gives the number kept free for new clients.
const FREE_CONNECTIONS_DIVISOR: usize = 8;
/// Interval at which overdue connections are closed.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Time for a connection that is being closed to write its remaining output.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay after a failed accept: descriptors or memory that are short do not become free at once.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time for which idle connections are kept after the start of a shutdown. Clients go on using open
/// connections, and new ones arrive for up to 0.4 s.
const SHUTDOWN_IDLE_TIME: Duration = Duration::from_millis(500);
/// Time after [`SHUTDOWN_IDLE_TIME`] for which connections are still accepted, for requests that crossed the
/// close of an idle connection.
const SHUTDOWN_ACCEPT_TIME: Duration = Duration::from_millis(150);
/// Minimum time for a request that is being received, at a shutdown or when room is made.
const MIN_RECEIVE_TIME: Duration = Duration::from_millis(500);
/// Minimum time at a shutdown for the first request on a connection that was just accepted.
const MIN_FIRST_REQUEST_TIME: Duration = Duration::from_millis(50);

/// Limits on the connections of clients.
#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    /// Maximum number of connections.
    pub max_connections: usize,
    /// Maximum length of a connection's read buffer, in bytes.
    pub max_buffer_bytes: usize,
    /// Maximum length of a request head, in bytes, with strict checks of the message framing; `None` for
    /// hyper's checks only, which do not report ambiguous framing.
    pub strict_head_bytes: Option<usize>,
    /// Time after which a client that reads nothing of its response is disconnected.
    pub read_stall_timeout: Option<Duration>,
    /// Time limit for a request until its handler marks it as received.
    pub receive_timeout: Duration,
    /// Idle timeout of a connection that has carried several requests.
    pub idle_timeout: Duration,
    /// Idle timeout of a connection that has carried one request.
    pub idle_timeout_after_one: Duration,
}

impl ClientLimits {
    /// Returns the limits for the platform's clients, with this number of connections.
    pub fn new(max_connections: usize) -> Self {
        Self {
            max_connections,
            max_buffer_bytes: BUFFER_BYTES,
            strict_head_bytes: None,
            read_stall_timeout: None,
            receive_timeout: RECEIVE_TIMEOUT,
            idle_timeout: IDLE_TIMEOUT,
            idle_timeout_after_one: IDLE_TIMEOUT_AFTER_ONE,
        }
    }
}

/// Responds to requests. There is one handler for each listener.
pub trait RequestHandler: 'static {
    /// Body of the responses.
    type Body: Body<Data = Bytes, Error: Into<Box<dyn Error + Send + Sync>>> + 'static;

    /// Responds to a request; an error closes the connection without a response.
    fn respond(
        &self,
        request: IncomingRequest,
    ) -> impl Future<Output = Result<Response<Self::Body>, hyper::Error>>;
}

/// A request whose head has been received.
pub struct IncomingRequest {
    /// The request.
    pub request: Request<Incoming>,
    /// Address of the client.
    pub peer: SocketAddr,
    /// IP address of the client as text; an IPv4-mapped IPv6 address is written as IPv4.
    pub peer_ip: Arc<str>,
    /// Time at which its first byte was received.
    pub started_at: Instant,
    /// Last event on the connection before it.
    pub preceding_event: PrecedingEvent,
    /// The server is shutting down.
    pub shutting_down: bool,
    /// Error in the framing of the request, for which it must be rejected. Only checked with
    /// [`ClientLimits::strict_head_bytes`].
    pub framing_error: Option<FramingError>,
    /// Guard that must be dropped when the response is complete, or when a streamed one has been sent.
    pub guard: RequestGuard,
}

/// Last event on a connection before a request. A client that does not pipeline sent the request after it, so the event bounds
/// the request's age even if the request was held up on its way or waited while this process stood still.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PrecedingEvent {
    /// The connection was accepted. It may have been established earlier.
    Accepted(Instant),
    /// The previous request was handled; its response was sent afterwards.
    Responded(Instant),
}

/// Guard of a request that is in progress on its connection. Dropping it marks the request as ended.
pub struct RequestGuard(Rc<Client>);

impl RequestGuard {
    /// Marks the request as received, completely or as far as the handler waits for it: the connection must
    /// stay open until the request has its response.
    pub fn mark_received(&self) {
        self.0.enter(Phase::Responding);
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.requests.set(self.0.requests.get().saturating_add(1));
        self.0.preceding_event.set(PrecedingEvent::Responded(Instant::now()));
        self.0.enter(Phase::Idle);
    }
}

/// Accepts client connections and serves them.
pub struct HttpServer<H> {
    handler: Rc<H>,
    limits: Cell<ClientLimits>,
    clients: RefCell<BTreeMap<u64, Rc<Client>>>,
    next_id: Cell<u64>,
    /// Notified when a connection has ended.
    connection_ended: Notify,
    shutting_down: Cell<bool>,
    /// Notified when no more connections are to be accepted.
    stop_accepting: Notify,
}

/// Phase of a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// There is no request: none has been sent yet, or the last one has ended.
    Idle,
    /// A request is being received.
    Receiving,
    /// A request has been received and has no response yet: the connection must stay open.
    Responding,
}

/// State of a client's connection.
struct Client {
    phase: Cell<Phase>,
    /// Start of the phase.
    since: Cell<Instant>,
    /// Number of requests that have ended.
    requests: Cell<u32>,
    preceding_event: Cell<PrecedingEvent>,
    /// Notified when the connection is to be closed as soon as it has no open request.
    close: Notify,
    /// The connection is being closed to make room.
    is_closing: Cell<bool>,
    /// Results of the framing checks of the heads that were passed to hyper, for requests not yet handled.
    framing_results: RefCell<VecDeque<Option<FramingError>>>,
    /// Time since which the client has read nothing of the output.
    write_blocked_since: Cell<Option<Instant>>,
}

impl Client {
    fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        self.since.set(Instant::now());
    }

    /// Enters the receiving phase and returns the time at which it started.
    fn start_receiving(&self) -> Instant {
        if self.phase.get() == Phase::Idle {
            // The first request is expected as soon as the client has connected, so its time runs from then.
            let since = if self.requests.get() == 0 { self.since.get() } else { Instant::now() };
            self.phase.set(Phase::Receiving);
            self.since.set(since);
        }
        self.since.get()
    }

    /// Returns the time limit of the current phase; `None` if there is none.
    fn phase_limit(&self, limits: &ClientLimits) -> Option<Duration> {
        match (self.phase.get(), self.requests.get()) {
            (Phase::Responding, _) => None,
            (Phase::Receiving, _) | (Phase::Idle, 0) => Some(limits.receive_timeout),
            (Phase::Idle, 1) => Some(limits.idle_timeout_after_one),
            (Phase::Idle, _) => Some(limits.idle_timeout),
        }
    }

    /// Records whether the client accepts the output.
    fn record_write(&self, written: &Poll<io::Result<usize>>) {
        match written {
            Poll::Ready(_) => self.write_blocked_since.set(None),
            Poll::Pending if self.write_blocked_since.get().is_none() => {
                self.write_blocked_since.set(Some(Instant::now()));
            }
            Poll::Pending => {}
        }
    }

    /// Returns whether the client has read nothing of its response for too long.
    fn has_stalled(&self, limits: &ClientLimits) -> bool {
        let blocked = self.write_blocked_since.get().map(|since| since.elapsed());
        blocked.zip(limits.read_stall_timeout).is_some_and(|(blocked, timeout)| blocked >= timeout)
    }

    /// Returns the order in which the connection is closed to make room, lowest first; `None` if it must not
    /// be closed.
    fn eviction_order(&self) -> Option<(u32, Instant)> {
        if self.is_closing.get() {
            return None;
        }
        // These times are short, since new clients wait until a connection is closed.
        let min_time = match (self.phase.get(), self.requests.get()) {
            (Phase::Responding, _) => return None,
            (Phase::Receiving, _) => MIN_RECEIVE_TIME,
            (Phase::Idle, 0) => MIN_IDLE_UNUSED,
            (Phase::Idle, 1) => Duration::ZERO,
            (Phase::Idle, _) => MIN_IDLE_REUSED,
        };
        let since = self.since.get();
        (since.elapsed() >= min_time).then_some((self.requests.get().min(2), since))
    }
}

impl<H: RequestHandler> HttpServer<H> {
    /// Creates a server with this handler and these limits.
    pub fn new(handler: Rc<H>, limits: ClientLimits) -> Rc<Self> {
        Rc::new(Self {
            handler,
            limits: Cell::new(limits),
            clients: RefCell::default(),
            next_id: Cell::new(0),
            connection_ended: Notify::new(),
            shutting_down: Cell::new(false),
            stop_accepting: Notify::new(),
        })
    }

    /// Returns the request handler.
    pub fn handler(&self) -> &Rc<H> {
        &self.handler
    }

    /// Replaces the limits; open connections keep the size of their buffers.
    pub fn set_limits(&self, limits: ClientLimits) {
        self.limits.set(limits);
    }

    /// Accepts connections until the server shuts down.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        let mut check = interval(CHECK_INTERVAL);
        loop {
            // At the limit another connection is closed, or the next client waits in the kernel's queue until
            // one ends.
            self.make_room();
            let is_full = self.clients.borrow().len() >= self.limits.get().max_connections;
            tokio::select! {
                () = self.connection_ended.notified(), if is_full => {}
                accepted = listener.accept(), if !is_full => match accepted {
                    Ok((stream, peer)) => self.start_connection(stream, peer),
                    // Avoids a busy loop while the process has no descriptor left.
                    Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
                },
                _ = check.tick() => self.close_overdue(),
                () = self.stop_accepting.notified() => break,
            }
        }
        // Connections that the kernel has accepted by now are still served.
        while let Some(Ok((stream, peer))) = now_or_never(listener.accept()).await {
            self.start_connection(stream, peer);
        }
    }

    /// Shuts down gracefully. Open and new connections are still served, and closed after their next
    /// response.
    pub async fn shut_down(&self, accepting: JoinHandle<()>) {
        self.shutting_down.set(true);
        sleep(SHUTDOWN_IDLE_TIME).await;
        self.close_idle(MIN_FIRST_REQUEST_TIME);
        sleep(SHUTDOWN_ACCEPT_TIME).await;
        self.stop_accepting.notify_one();
        // A failure of the task does not change the shutdown.
        let _ = accepting.await;
        loop {
            if self.clients.borrow().is_empty() {
                return;
            }
            self.close_idle(MIN_FIRST_REQUEST_TIME);
            let _ = timeout(MIN_FIRST_REQUEST_TIME / 2, self.connection_ended.notified()).await;
        }
    }

    /// Closes connections before the limit is reached: first those that have carried no request, then those
    /// that have carried one, then those that have carried several. Closes several at a time, since each
    /// takes some time to end and hundreds of clients may connect at once.
    fn make_room(&self) {
        let clients = self.clients.borrow();
        let max_connections = self.limits.get().max_connections;
        let target = max_connections - max_connections / FREE_CONNECTIONS_DIVISOR;
        if clients.len() <= target {
            return;
        }
        let remaining = clients.len() - clients.values().filter(|c| c.is_closing.get()).count();
        let mut evictable: Vec<_> = clients.values().filter_map(|c| Some((c.eviction_order()?, c))).collect();
        evictable.sort_unstable_by_key(|(order, _)| *order);
        for (_, client) in evictable.into_iter().take(remaining.saturating_sub(target)) {
            client.is_closing.set(true);
            client.close.notify_one();
        }
    }

    /// Closes connections that exceed the time limit of their phase, or whose client does not read its
    /// response.
    fn close_overdue(&self) {
        let clients = self.clients.borrow();
        for client in clients.values() {
            let limits = self.limits.get();
            let phase_limit = client.phase_limit(&limits);
            let is_overdue = phase_limit.is_some_and(|limit| client.since.get().elapsed() >= limit);
            if is_overdue || client.has_stalled(&limits) {
                client.close.notify_one();
            }
        }
    }

    /// Closes connections that have had no open request for at least this time.
    fn close_idle(&self, min_time: Duration) {
        let clients = self.clients.borrow();
        for client in clients.values() {
            let is_idle = match client.phase.get() {
                Phase::Responding => false,
                Phase::Receiving => client.since.get().elapsed() >= min_time.max(MIN_RECEIVE_TIME),
                Phase::Idle => client.since.get().elapsed() >= min_time,
            };
            if is_idle {
                client.close.notify_one();
            }
        }
    }

    fn start_connection(self: &Rc<Self>, stream: TcpStream, peer: SocketAddr) {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let client = Rc::new(Client {
            phase: Cell::new(Phase::Idle),
            since: Cell::new(Instant::now()),
            requests: Cell::new(0),
            preceding_event: Cell::new(PrecedingEvent::Accepted(Instant::now())),
            close: Notify::new(),
            is_closing: Cell::new(false),
            framing_results: RefCell::default(),
            write_blocked_since: Cell::new(None),
        });
        self.clients.borrow_mut().insert(id, client.clone());
        let registration = Registration { server: self.clone(), id };
        tokio::task::spawn_local(async move {
            let server = registration.server.clone();
            // If the option cannot be set, the socket is broken, and the first read fails as well.
            let _ = stream.set_nodelay(true);
            server.serve(stream, peer, client).await;
            drop(registration);
        });
    }

    async fn serve(self: Rc<Self>, stream: TcpStream, peer: SocketAddr, client: Rc<Client>) {
        let peer_ip: Arc<str> = peer.ip().to_canonical().to_string().into();
        let service = service_fn(|request| {
            let (server, client, peer_ip) = (self.clone(), client.clone(), peer_ip.clone());
            async move {
                let started_at = client.start_receiving();
                let shutting_down = server.shutting_down.get();
                let framing_error = client.framing_results.borrow_mut().pop_front().flatten();
                let incoming = IncomingRequest {
                    request,
                    peer,
                    peer_ip,
                    started_at,
                    preceding_event: client.preceding_event.get(),
                    shutting_down,
                    framing_error,
                    guard: RequestGuard(client),
                };
                let mut response = server.handler.respond(incoming).await?;
                if server.shutting_down.get() {
                    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
                }
                Ok::<_, hyper::Error>(response)
            }
        });
        let limits = self.limits.get();
        let framing = limits.strict_head_bytes.map(Framing::new);
        let stream = ClientStream {
            stream,
            client: client.clone(),
            framing,
            buffer: Vec::new(),
            passable: 0,
            body_error: None,
        };
        let connection = http1::Builder::new()
            .max_buf_size(self.limits.get().max_buffer_bytes)
            .serve_connection(TokioIo::new(stream), service);
        let mut connection = pin!(connection);
        loop {
            tokio::select! {
                biased;
                // hyper responds to malformed input; a disconnected client is handled by `DisconnectGuard`.
                _ = connection.as_mut() => return,
                () = client.close.notified() => {}
            }
            if client.has_stalled(&self.limits.get()) {
                return;
            }
            match client.phase.get() {
                // A request has been received completely in the meantime, and gets its response.
                Phase::Responding => {}
                // A client that sends nothing, or never the rest of its request, has no response on its way,
                // so the connection is dropped at once.
                Phase::Receiving => return,
                Phase::Idle if client.requests.get() == 0 => {
                    let ended = timeout(FINAL_READ_TIME, connection.as_mut()).await.is_ok();
                    if ended || (client.phase.get() == Phase::Idle && client.requests.get() == 0) {
                        return;
                    }
                    client.is_closing.set(false);
                    continue;
                }
                Phase::Idle => {}
            }
            connection.as_mut().graceful_shutdown();
            let ended = timeout(CLOSE_TIMEOUT, connection.as_mut()).await.is_ok();
            if ended || client.phase.get() != Phase::Responding {
                return;
            }
        }
    }
}

async fn now_or_never<T>(future: impl Future<Output = T>) -> Option<T> {
    let mut future = pin!(future);
    std::future::poll_fn(|cx| match future.as_mut().poll(cx) {
        Poll::Ready(value) => Poll::Ready(Some(value)),
        Poll::Pending => Poll::Ready(None),
    })
    .await
}

/// A client's stream that notes the start of requests, and checks their framing before hyper gets the bytes.
struct ClientStream {
    stream: TcpStream,
    client: Rc<Client>,
    framing: Option<Framing>,
    /// Bytes received but not passed on; limited like a head, as they are little more than one.
    buffer: Vec<u8>,
    /// Number of bytes of the buffer that have been checked and may pass.
    passable: usize,
    /// Error in the body after the bytes passed on. Returned once by a read, after the request's head has
    /// been passed on, so that the request gets a response.
    body_error: Option<FramingError>,
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let ClientStream { stream, client, framing, buffer, passable, body_error } = &mut *self;
        loop {
            if *passable > 0 {
                let pass = buf.remaining().min(*passable);
                buf.put_slice(&buffer[..pass]);
                buffer.drain(..pass);
                *passable -= pass;
                return Poll::Ready(Ok(()));
            }
            if let Some(error) = body_error.take() {
                return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, error)));
            }
            let before = buf.filled().len();
            let read = Pin::new(&mut *stream).poll_read(cx, buf);
            let received = buf.filled().len() - before;
            if received > 0 {
                client.start_receiving();
            }
            let Some(framing) = framing else { return read };
            match read {
                Poll::Ready(Ok(())) if received > 0 => {}
                other => return other,
            }
            if framing.is_stopped() {
                // Discards the input: closing a connection with unread input resets it, and the response on
                // it would be lost.
                buf.set_filled(before);
            } else if buffer.is_empty() {
                let bytes = &buf.filled()[before..];
                let pass = check_framing(framing, client, bytes, body_error);
                if !framing.is_stopped() {
                    buffer.extend_from_slice(&bytes[pass..]);
                }
                buf.set_filled(before + pass);
                *passable += framing.terminate_head(buffer);
                if pass > 0 {
                    return Poll::Ready(Ok(()));
                }
            } else {
                buffer.extend_from_slice(&buf.filled()[before..]);
                buf.set_filled(before);
                *passable = check_framing(framing, client, buffer, body_error);
                if framing.is_stopped() {
                    buffer.truncate(*passable);
                    *passable += framing.terminate_head(buffer);
                }
            }
        }
    }
}

/// Checks the framing of received bytes, and returns how many of them may pass.
fn check_framing(
    framing: &mut Framing,
    client: &Client,
    bytes: &[u8],
    body_error: &mut Option<FramingError>,
) -> usize {
    let mut pass = 0;
    loop {
        let step = framing.step(&bytes[pass..]);
        let step = match step {
            Ok(step) => step,
            Err(error) => {
                *body_error = Some(error);
                return pass;
            }
        };
        if let Some(result) = step.head {
            client.framing_results.borrow_mut().push_back(result.err());
        }
        pass += step.pass;
        if step.pass == 0 || pass == bytes.len() || framing.is_stopped() {
            return pass;
        }
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.client.record_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.client.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Keeps a connection in its server's list until it is dropped.
struct Registration<H: RequestHandler> {
    server: Rc<HttpServer<H>>,
    id: u64,
}

impl<H: RequestHandler> Drop for Registration<H> {
    fn drop(&mut self) {
        self.server.clients.borrow_mut().remove(&self.id);
        self.server.connection_ended.notify_one();
    }
}

/// Listens on an address. The accept queue holds a burst of connections, since a client that finds it full
/// waits a second until its system retries.
///
/// # Errors
/// If the address cannot be listened on.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    const BACKLOG: u32 = 1024;
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    // Allows a restarted process to listen while old connections are still in TIME_WAIT.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
