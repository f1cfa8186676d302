//! HTTP server: accepts and limits client connections, and passes each request to a [`RequestHandler`].

mod client;
mod limits;
mod response_body;
mod stream;

pub use client::{PrecedingEvent, RequestGuard};
pub use limits::{ClientLimits, RECEIVE_TIMEOUT};

use crate::framing::{Framing, FramingError};
use bytes::Bytes;
use client::{Client, Phase};
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use response_body::TrackedBody;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::error::Error;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;
use stream::ClientStream;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::{interval, sleep, timeout, Instant};

/// Additional time for a connection that has carried no request before it is closed, since its first bytes
/// may not have been read yet.
const FINAL_READ_TIME: Duration = Duration::from_millis(10);
/// Divisor of the maximum number of connections that gives the number kept free for new clients.
const FREE_CONNECTIONS_DIVISOR: usize = 8;
/// Interval at which overdue connections are closed.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Time for a connection without an open request to be closed.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay after a failed accept: descriptors or memory that are short do not become free at once.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time for which idle connections are kept after the start of a shutdown. Clients go on using open
/// connections, and new ones arrive for up to 0.4 s.
const SHUTDOWN_IDLE_TIME: Duration = Duration::from_millis(500);
/// Time after [`SHUTDOWN_IDLE_TIME`] for which connections are still accepted, for requests that crossed the
/// close of an idle connection.
const SHUTDOWN_ACCEPT_TIME: Duration = Duration::from_millis(150);
/// Minimum time at a shutdown for the first request on a connection that was just accepted.
const MIN_FIRST_REQUEST_TIME: Duration = Duration::from_millis(50);

/// Responds to requests. There is one handler for each listener.
pub trait RequestHandler: 'static {
    /// Body of the responses.
    type Body: Body<Data = Bytes, Error: Into<Box<dyn Error + Send + Sync>>> + Unpin + 'static;

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
    /// Guard that must be dropped when the handler is done with the request.
    pub guard: RequestGuard,
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
        for client in clients.values().filter(|client| client.is_overdue(&self.limits.get())) {
            client.close.notify_one();
        }
    }

    /// Closes connections that have had no open request for at least this time.
    fn close_idle(&self, min_time: Duration) {
        let clients = self.clients.borrow();
        for client in clients.values().filter(|client| client.is_idle_for(min_time)) {
            client.close.notify_one();
        }
    }

    fn start_connection(self: &Rc<Self>, stream: TcpStream, peer: SocketAddr) {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let client = Client::new();
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
        let service = service_fn(|request: Request<Incoming>| {
            let (server, client, peer_ip) = (self.clone(), client.clone(), peer_ip.clone());
            async move {
                let (guard, started_at) = client.start_request();
                let preceding_event = client.preceding_event();
                let has_body = !request.body().is_end_stream();
                let shutting_down = server.shutting_down.get();
                let framing_error = client.framing_results.borrow_mut().pop_front().flatten();
                let incoming = IncomingRequest {
                    request,
                    peer,
                    peer_ip,
                    started_at,
                    preceding_event,
                    shutting_down,
                    framing_error,
                    guard,
                };
                let response = server.handler.respond(incoming).await;
                let mut response = response.inspect_err(|_| client.record_no_response())?;
                client.record_response(has_body);
                if server.shutting_down.get() {
                    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
                }
                Ok::<_, hyper::Error>(response.map(|body| TrackedBody::new(body, client)))
            }
        });
        let limits = self.limits.get();
        let framing = limits.strict_head_bytes.map(Framing::new);
        let stream = ClientStream::new(stream, client.clone(), framing);
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
            match client.phase() {
                // A request has been received completely in the meantime, and gets its response.
                Phase::Responding => {}
                // A client that sends nothing, or never the rest of its request, has no response on its way,
                // so the connection is dropped at once.
                Phase::Receiving => return,
                Phase::Idle if client.is_unused() => {
                    let ended = timeout(FINAL_READ_TIME, connection.as_mut()).await.is_ok();
                    if ended || client.is_unused() {
                        return;
                    }
                    client.is_closing.set(false);
                    continue;
                }
                Phase::Idle => {}
            }
            connection.as_mut().graceful_shutdown();
            let ended = timeout(CLOSE_TIMEOUT, connection.as_mut()).await.is_ok();
            if ended || client.phase() != Phase::Responding {
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
