//! The side of the clients: accepts connections, bounds them, and hands each request to a [`RequestHandler`].

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

/// Most that hyper holds of a connection's input at once; more than any request's head needs.
const BUFFER: usize = 16 << 10;
/// A client has this long to send a whole request: from when it connects, or from the first byte of a later
/// one. A client that says nothing, or never the rest, would else hold its descriptor for good.
pub const RECEIVE_TIMEOUT: Duration = Duration::from_millis(2300);
/// A connection on which this long nothing has been asked is closed ...
const IDLE: Duration = Duration::from_secs(30);
/// ... sooner where it has been used but once: many clients ask once and keep their connection for good.
const IDLE_ONCE: Duration = Duration::from_secs(5);
/// One that has been used again and again, as usual clients do, gives way at the bound after this time only.
const USUAL_LEAST: Duration = Duration::from_secs(1);
/// A client that has not asked for anything yet gives way at the bound after this time: a usual one asks as
/// soon as it has connected.
const SILENT_LEAST: Duration = Duration::from_millis(100);
/// And is listened to for this much longer before it is closed: what it has sent may not have been seen yet.
const LAST_LOOK: Duration = Duration::from_millis(10);
/// One part in so many of the connections is kept free for those that come next.
const ROOM_PART: usize = 8;
/// Period in which connections are looked through.
const LOOK: Duration = Duration::from_millis(200);
/// Time in which a connection that is to close may write what it still has.
const CLOSING: Duration = Duration::from_secs(1);
/// Pause after an accept failed: what it lacks, descriptors or memory, does not come back at once.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// After the signal to end, idle connections are kept this long: clients go on using what stays open, and
/// new connections come for up to 0.4 s.
const WIND_UP_IDLE: Duration = Duration::from_millis(500);
/// And new ones are taken for this much longer, for requests that crossed the end of an idle one.
const WIND_UP_ACCEPT: Duration = Duration::from_millis(150);
/// A request that is coming in then, or at the bound, has this long to be whole.
const READING_LEAST: Duration = Duration::from_millis(500);
/// A request that is only now coming in on a connection just accepted is given this long then.
const FIRST_REQUEST: Duration = Duration::from_millis(50);

/// How clients are bounded.
#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    /// Most connections.
    pub max_connections: usize,
    /// Most bytes that hyper holds of a connection at once.
    pub max_buffer_bytes: usize,
    /// Longest head of requests, where those that can be read in two ways are to be found out; hyper alone does
    /// not tell.
    pub strict_head_bytes: Option<usize>,
    /// A client that has read nothing of its answer for this long is given up.
    pub read_stall_timeout: Option<Duration>,
    /// Time for a request until its front has called it whole.
    pub receive_timeout: Duration,
    /// An idle connection that has been used more than once is closed after this time ...
    pub idle_timeout: Duration,
    /// ... and one that has been used once after this.
    pub idle_timeout_after_one: Duration,
}

impl ClientLimits {
    /// The platform's limits, with this many connections.
    pub fn new(connections: usize) -> Self {
        let (whole_request, idle, idle_once) = (RECEIVE_TIMEOUT, IDLE, IDLE_ONCE);
        let (strict_head, read_stall) = (None, None);
        Self {
            max_connections: connections,
            max_buffer_bytes: BUFFER,
            strict_head_bytes: strict_head,
            read_stall_timeout: read_stall,
            receive_timeout: whole_request,
            idle_timeout: idle,
            idle_timeout_after_one: idle_once,
        }
    }
}

/// What makes answers of requests. There is one for each listener; it owns no connection.
pub trait RequestHandler: 'static {
    /// The body of its answers.
    type Body: Body<Data = Bytes, Error: Into<Box<dyn Error + Send + Sync>>> + 'static;

    /// Answers a request; an error ends the connection with no answer.
    fn respond(
        &self,
        asked: IncomingRequest,
    ) -> impl Future<Output = Result<Response<Self::Body>, hyper::Error>>;
}

/// A request whose head has come in.
pub struct IncomingRequest {
    /// The request.
    pub request: Request<Incoming>,
    /// The other side of its connection.
    pub peer: SocketAddr,
    /// Its address in words, without the port; IPv4 also where it came through IPv6.
    pub peer_ip: Arc<str>,
    /// When its first byte came.
    pub started_at: Instant,
    /// Whether this process is winding up.
    pub shutting_down: bool,
    /// Why it must not be taken; looked for only where the limits say so.
    pub framing_error: Option<FramingError>,
    /// Its turn on the connection; to be dropped when the answer is made or, streamed, has gone out.
    pub guard: RequestGuard,
}

/// A request's turn on its connection. Dropping it marks the request as answered or given up.
pub struct RequestGuard(Rc<Client>);

impl RequestGuard {
    /// The request has come whole, or as far as it is waited for: the connection must stay until it is
    /// answered.
    pub fn mark_received(&self) {
        self.0.enter(Phase::Open);
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.served.set(self.0.served.get().saturating_add(1));
        self.0.enter(Phase::Idle);
    }
}

/// Accepts clients and serves them.
pub struct HttpServer<F> {
    front: Rc<F>,
    limits: Cell<ClientLimits>,
    clients: RefCell<BTreeMap<u64, Rc<Client>>>,
    next: Cell<u64>,
    /// A connection has ended.
    freed: Notify,
    /// The signal to end has come.
    ending: Cell<bool>,
    /// No more connections are to be accepted.
    stop: Notify,
}

/// What a client's connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Nothing: it has asked for nothing yet, or has been answered.
    Idle,
    /// A request is coming in.
    Reading,
    /// A whole request is open: the connection must stay.
    Open,
}

/// What is known of a client's connection.
struct Client {
    phase: Cell<Phase>,
    /// Since when it is in that phase.
    since: Cell<Instant>,
    /// Requests answered.
    served: Cell<u32>,
    /// It is to close as soon as nothing is under way on it.
    close: Notify,
    /// It has been told to, to make room.
    leaving: Cell<bool>,
    /// Judgements on the heads that hyper has been given and not yet told of.
    flaws: RefCell<VecDeque<Option<FramingError>>>,
    /// Since when it reads nothing of what is written.
    unread: Cell<Option<Instant>>,
}

impl Client {
    fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        self.since.set(Instant::now());
    }

    /// Marks a request as coming in and tells since when.
    fn reading(&self) -> Instant {
        if self.phase.get() == Phase::Idle {
            // One that connects is expected to ask, so its time runs from then.
            let since = if self.served.get() == 0 { self.since.get() } else { Instant::now() };
            self.phase.set(Phase::Reading);
            self.since.set(since);
        }
        self.since.get()
    }

    /// How long it may stay as it is; `None` for as long as it likes.
    fn allowed(&self, limits: &ClientLimits) -> Option<Duration> {
        match (self.phase.get(), self.served.get()) {
            (Phase::Open, _) => None,
            (Phase::Reading, _) | (Phase::Idle, 0) => Some(limits.receive_timeout),
            (Phase::Idle, 1) => Some(limits.idle_timeout_after_one),
            (Phase::Idle, _) => Some(limits.idle_timeout),
        }
    }

    /// Notes whether the other side takes what is written.
    fn wrote(&self, written: &Poll<io::Result<usize>>) {
        match written {
            Poll::Ready(_) => self.unread.set(None),
            Poll::Pending if self.unread.get().is_none() => self.unread.set(Some(Instant::now())),
            Poll::Pending => {}
        }
    }

    /// Whether it has read nothing of its answer for too long.
    fn has_stalled(&self, limits: &ClientLimits) -> bool {
        let unread = self.unread.get().map(|since| since.elapsed());
        unread.zip(limits.read_stall_timeout).is_some_and(|(unread, most)| unread >= most)
    }

    /// Whether it may be closed to make room, and how gladly: the least first.
    fn gives_way(&self) -> Option<(u32, Instant)> {
        if self.leaving.get() {
            return None;
        }
        // No long wait for any: whoever has to connect meanwhile waits as long.
        let least = match (self.phase.get(), self.served.get()) {
            (Phase::Open, _) => return None,
            (Phase::Reading, _) => READING_LEAST,
            (Phase::Idle, 0) => SILENT_LEAST,
            (Phase::Idle, 1) => Duration::ZERO,
            (Phase::Idle, _) => USUAL_LEAST,
        };
        let since = self.since.get();
        (since.elapsed() >= least).then_some((self.served.get().min(2), since))
    }
}

impl<F: RequestHandler> HttpServer<F> {
    /// Serves by this front, within these limits.
    pub fn new(front: Rc<F>, limits: ClientLimits) -> Rc<Self> {
        Rc::new(Self {
            front,
            limits: Cell::new(limits),
            clients: RefCell::default(),
            next: Cell::new(0),
            freed: Notify::new(),
            ending: Cell::new(false),
            stop: Notify::new(),
        })
    }

    /// What makes the answers.
    pub fn handler(&self) -> &Rc<F> {
        &self.front
    }

    /// Sets other limits; connections that stand keep the size of their buffers.
    pub fn set_limits(&self, limits: ClientLimits) {
        self.limits.set(limits);
    }

    /// Accepts connections until told to stop.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        let mut look = interval(LOOK);
        loop {
            // Guards the descriptors: at the bound another client makes room, or the next waits in the
            // kernel's queue until one ends.
            self.make_room();
            let full = self.clients.borrow().len() >= self.limits.get().max_connections;
            tokio::select! {
                () = self.freed.notified(), if full => {}
                accepted = listener.accept(), if !full => match accepted {
                    Ok((stream, peer)) => self.take(stream, peer),
                    // Guards against spinning while the process has no descriptor left.
                    Err(_) => sleep(ACCEPT_PAUSE).await,
                },
                _ = look.tick() => self.close_overdue(),
                () = self.stop.notified() => break,
            }
        }
        // What the machine has accepted by now counts as taken.
        while let Some(Ok((stream, peer))) = now_or_never(listener.accept()).await {
            self.take(stream, peer);
        }
    }

    /// Ends in good order: whoever comes or stays is still served, and told to go elsewhere next.
    pub async fn shut_down(&self, accepting: JoinHandle<()>) {
        self.ending.set(true);
        sleep(WIND_UP_IDLE).await;
        self.close_idle(FIRST_REQUEST);
        sleep(WIND_UP_ACCEPT).await;
        self.stop.notify_one();
        // It ends by itself; a failure of its own changes nothing about the end.
        let _ = accepting.await;
        loop {
            if self.clients.borrow().is_empty() {
                return;
            }
            self.close_idle(FIRST_REQUEST);
            let _ = timeout(FIRST_REQUEST / 2, self.freed.notified()).await;
        }
    }

    /// Closes connections ahead of the bound, those that can best be spared: ones that have never asked before
    /// ones that asked once, and these before those that are used again and again. Several at a time, since
    /// each takes some time to end and hundreds may come at one moment.
    fn make_room(&self) {
        let clients = self.clients.borrow();
        let wanted = self.limits.get().max_connections - self.limits.get().max_connections / ROOM_PART;
        if clients.len() <= wanted {
            return;
        }
        let staying = clients.len() - clients.values().filter(|c| c.leaving.get()).count();
        let mut spare: Vec<_> = clients.values().filter_map(|c| Some((c.gives_way()?, c))).collect();
        spare.sort_unstable_by_key(|(way, _)| *way);
        for (_, client) in spare.into_iter().take(staying.saturating_sub(wanted)) {
            client.leaving.set(true);
            client.close.notify_one();
        }
    }

    /// Closes what has stayed idle, or has not brought a whole request, for too long.
    fn close_overdue(&self) {
        let clients = self.clients.borrow();
        for client in clients.values() {
            let limits = self.limits.get();
            let late = client.allowed(&limits).is_some_and(|allowed| client.since.get().elapsed() >= allowed);
            if late || client.has_stalled(&limits) {
                client.close.notify_one();
            }
        }
    }

    /// Closes the connections on which nothing has been open for some time.
    fn close_idle(&self, least: Duration) {
        let clients = self.clients.borrow();
        for client in clients.values() {
            let idle = match client.phase.get() {
                Phase::Open => false,
                Phase::Reading => client.since.get().elapsed() >= least.max(READING_LEAST),
                Phase::Idle => client.since.get().elapsed() >= least,
            };
            if idle {
                client.close.notify_one();
            }
        }
    }

    fn take(self: &Rc<Self>, stream: TcpStream, peer: SocketAddr) {
        let number = self.next.get();
        self.next.set(number + 1);
        let client = Rc::new(Client {
            phase: Cell::new(Phase::Idle),
            since: Cell::new(Instant::now()),
            served: Cell::new(0),
            close: Notify::new(),
            leaving: Cell::new(false),
            flaws: RefCell::default(),
            unread: Cell::new(None),
        });
        self.clients.borrow_mut().insert(number, client.clone());
        let registered = Registered { clients: self.clone(), number };
        tokio::task::spawn_local(async move {
            let clients = registered.clients.clone();
            // A socket that takes no options is broken, which the first read will tell as well.
            let _ = stream.set_nodelay(true);
            clients.serve(stream, peer, client).await;
            drop(registered);
        });
    }

    async fn serve(self: Rc<Self>, stream: TcpStream, peer: SocketAddr, client: Rc<Client>) {
        let peer_name: Arc<str> = peer.ip().to_canonical().to_string().into();
        let service = service_fn(|request| {
            let (clients, client, peer_name) = (self.clone(), client.clone(), peer_name.clone());
            async move {
                let begun = client.reading();
                let ending = clients.ending.get();
                let flaw = client.flaws.borrow_mut().pop_front().flatten();
                let asked = IncomingRequest {
                    request,
                    peer,
                    peer_ip: peer_name,
                    started_at: begun,
                    shutting_down: ending,
                    framing_error: flaw,
                    guard: RequestGuard(client),
                };
                let mut response = clients.front.respond(asked).await?;
                if clients.ending.get() {
                    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
                }
                Ok::<_, hyper::Error>(response)
            }
        });
        let limits = self.limits.get();
        let framing = limits.strict_head_bytes.map(Framing::new);
        let stream =
            Watched { stream, client: client.clone(), framing, held: Vec::new(), cleared: 0, broken: None };
        let connection = http1::Builder::new()
            .max_buf_size(self.limits.get().max_buffer_bytes)
            .serve_connection(TokioIo::new(stream), service);
        let mut connection = pin!(connection);
        loop {
            tokio::select! {
                biased;
                // Malformed input is answered by hyper; a client that broke off is noticed by `Leaving`.
                _ = connection.as_mut() => return,
                () = client.close.notified() => {}
            }
            if client.has_stalled(&self.limits.get()) {
                return;
            }
            match client.phase.get() {
                // The word came too late: a request has come in whole meanwhile, and is answered.
                Phase::Open => {}
                // Guards the descriptors against clients that connect and send nothing, or never the rest:
                // there is no answer that could still be on its way to them.
                Phase::Reading => return,
                Phase::Idle if client.served.get() == 0 => {
                    let ended = timeout(LAST_LOOK, connection.as_mut()).await.is_ok();
                    if ended || (client.phase.get() == Phase::Idle && client.served.get() == 0) {
                        return;
                    }
                    client.leaving.set(false);
                    continue;
                }
                Phase::Idle => {}
            }
            connection.as_mut().graceful_shutdown();
            if timeout(CLOSING, connection.as_mut()).await.is_ok() || client.phase.get() != Phase::Open {
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

/// A client's stream that notes when a request begins to come in, and judges heads before hyper has them.
struct Watched {
    stream: TcpStream,
    client: Rc<Client>,
    framing: Option<Framing>,
    /// What has come and has not gone on: little more than a head, so bounded as one.
    held: Vec<u8>,
    /// So much of that has been judged.
    cleared: usize,
    /// The body behind what has gone on can't be read. Told once, in its place: its head goes on first and is answered.
    broken: Option<FramingError>,
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let Watched { stream, client, framing, held, cleared, broken } = &mut *self;
        loop {
            if *cleared > 0 {
                let pass = buf.remaining().min(*cleared);
                buf.put_slice(&held[..pass]);
                held.drain(..pass);
                *cleared -= pass;
                return Poll::Ready(Ok(()));
            }
            if let Some(flaw) = broken.take() {
                return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, flaw)));
            }
            let before = buf.filled().len();
            let read = Pin::new(&mut *stream).poll_read(cx, buf);
            let came = buf.filled().len() - before;
            if came > 0 {
                client.reading();
            }
            let Some(framing) = framing else { return read };
            match read {
                Poll::Ready(Ok(())) if came > 0 => {}
                other => return other,
            }
            if framing.is_stopped() {
                // Read and forgotten: a connection that closes with something unread is reset, and the answer
                // on it lost.
                buf.set_filled(before);
            } else if held.is_empty() {
                let bytes = &buf.filled()[before..];
                let pass = judge(framing, client, bytes, broken);
                if !framing.is_stopped() {
                    held.extend_from_slice(&bytes[pass..]);
                }
                buf.set_filled(before + pass);
                *cleared += framing.take_end(held);
                if pass > 0 {
                    return Poll::Ready(Ok(()));
                }
            } else {
                held.extend_from_slice(&buf.filled()[before..]);
                buf.set_filled(before);
                *cleared = judge(framing, client, held, broken);
                if framing.is_stopped() {
                    held.truncate(*cleared);
                    *cleared += framing.take_end(held);
                }
            }
        }
    }
}

/// Judges what has come, and tells how much of it may go on.
fn judge(framing: &mut Framing, client: &Client, bytes: &[u8], broken: &mut Option<FramingError>) -> usize {
    let mut pass = 0;
    loop {
        let step = framing.step(&bytes[pass..]);
        let step = match step {
            Ok(step) => step,
            Err(flaw) => {
                *broken = Some(flaw);
                return pass;
            }
        };
        if let Some(judgement) = step.head {
            client.flaws.borrow_mut().push_back(judgement.err());
        }
        pass += step.pass;
        if step.pass == 0 || pass == bytes.len() || framing.is_stopped() {
            return pass;
        }
    }
}

impl AsyncWrite for Watched {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.client.wrote(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.client.wrote(&written);
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

/// A connection on the list, for as long as it lives.
struct Registered<F: RequestHandler> {
    clients: Rc<HttpServer<F>>,
    number: u64,
}

impl<F: RequestHandler> Drop for Registered<F> {
    fn drop(&mut self) {
        self.clients.clients.borrow_mut().remove(&self.number);
        self.clients.freed.notify_one();
    }
}

/// Listens with a queue that holds a crowd: one that runs over costs whoever comes next a second, until the
/// system tries again.
///
/// # Errors
/// If the address cannot be listened on.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    const QUEUE: u32 = 1024;
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    // A node that starts again takes over its address while old connections still linger.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(QUEUE)
}
