//! The side of the clients: accepts connections, reads and checks requests, and writes the one answer to
//! each.

use crate::clock::millis;
use crate::driver::{Answer, Ask, Driver, Message};
use crate::request::Reader;
use crate::upstream::BODY_MOST;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderName, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use ivygate::{Millis, RequestId};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::{interval, sleep, timeout, Instant};

/// Most that hyper holds of a connection's input at once; more than any request's head needs.
const BUFFER: usize = 16 << 10;
/// A client has this long to send a whole request: from when it connects, or from the first byte of a later
/// one. A client that says nothing, or never the rest, would else hold its descriptor for good.
const WHOLE_REQUEST: Duration = Duration::from_millis(2300);
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

/// Accepts clients and serves them.
pub struct Server {
    driver: Rc<Driver>,
    reader: Reader,
    most: usize,
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
    fn allowed(&self) -> Option<Duration> {
        match (self.phase.get(), self.served.get()) {
            (Phase::Open, _) => None,
            (Phase::Reading, _) | (Phase::Idle, 0) => Some(WHOLE_REQUEST),
            (Phase::Idle, 1) => Some(IDLE_ONCE),
            (Phase::Idle, _) => Some(IDLE),
        }
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

impl Server {
    /// A server with no connection yet, and never more than `most`.
    pub fn new(driver: Rc<Driver>, reader: Reader, most: usize) -> Rc<Self> {
        Rc::new(Self {
            driver,
            reader,
            most,
            clients: RefCell::default(),
            next: Cell::new(0),
            freed: Notify::new(),
            ending: Cell::new(false),
            stop: Notify::new(),
        })
    }

    /// Accepts connections until told to stop.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        let mut look = interval(LOOK);
        loop {
            // Guards the descriptors: at the bound another client makes room, or the next waits in the
            // kernel's queue until one ends.
            self.make_room();
            let full = self.clients.borrow().len() >= self.most;
            tokio::select! {
                () = self.freed.notified(), if full => {}
                accepted = listener.accept(), if !full => match accepted {
                    Ok((stream, _)) => self.take(stream),
                    // Guards against spinning while the process has no descriptor left.
                    Err(_) => sleep(ACCEPT_PAUSE).await,
                },
                _ = look.tick() => self.close_overdue(),
                () = self.stop.notified() => break,
            }
        }
        // What the machine has accepted by now counts as taken.
        while let Some(Ok((stream, _))) = now_or_never(listener.accept()).await {
            self.take(stream);
        }
    }

    /// Ends in good order: whoever comes or stays is still served, and told to go elsewhere next.
    pub async fn wind_up(&self, accepting: JoinHandle<()>) {
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
        let wanted = self.most - self.most / ROOM_PART;
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
            if client.allowed().is_some_and(|allowed| client.since.get().elapsed() >= allowed) {
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

    fn take(self: &Rc<Self>, stream: TcpStream) {
        let number = self.next.get();
        self.next.set(number + 1);
        let client = Rc::new(Client {
            phase: Cell::new(Phase::Idle),
            since: Cell::new(Instant::now()),
            served: Cell::new(0),
            close: Notify::new(),
            leaving: Cell::new(false),
        });
        self.clients.borrow_mut().insert(number, client.clone());
        let registered = Registered { server: self.clone(), number };
        tokio::task::spawn_local(async move {
            let server = registered.server.clone();
            // A socket that takes no options is broken, which the first read will tell as well.
            let _ = stream.set_nodelay(true);
            server.serve(stream, client).await;
            drop(registered);
        });
    }

    async fn serve(self: Rc<Self>, stream: TcpStream, client: Rc<Client>) {
        let service = service_fn(|request| {
            let (server, client) = (self.clone(), client.clone());
            async move {
                let _served = Served(client.clone());
                server.answer(request, &client).await
            }
        });
        let stream = Watched { stream, client: client.clone() };
        let connection =
            http1::Builder::new().max_buf_size(BUFFER).serve_connection(TokioIo::new(stream), service);
        let mut connection = pin!(connection);
        loop {
            tokio::select! {
                biased;
                // Malformed input is answered by hyper; a client that broke off is noticed by `Leaving`.
                _ = connection.as_mut() => return,
                () = client.close.notified() => {}
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

    async fn answer(
        &self,
        request: Request<Incoming>,
        client: &Client,
    ) -> Result<Response<Full<Bytes>>, hyper::Error> {
        let begun = client.reading();
        let (mut response, stays) = if request.uri().path() == "/up" {
            (self.up(&request), true)
        } else {
            match self.read(request, begun).await {
                Ok(ask) => {
                    client.enter(Phase::Open);
                    match self.ask(ask).await {
                        Some(response) => (response, true),
                        None => (plain(StatusCode::CONFLICT, "a request of this id is open"), false),
                    }
                }
                Err(Unfit::Answer(status, what)) => (plain(status, what), false),
                Err(Unfit::Lost(error)) => return Err(error),
            }
        };
        // Guards against what may lie behind a request that was not read to its end or by its own rules, and
        // against a client that goes on with more of the kind at full speed.
        if self.ending.get() || !stays {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(response)
    }

    fn up(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        if request.method() != Method::GET {
            return plain(StatusCode::METHOD_NOT_ALLOWED, "only GET");
        }
        if self.ending.get() || !self.driver.ready() {
            return plain(StatusCode::SERVICE_UNAVAILABLE, "not ready");
        }
        plain(StatusCode::OK, "up")
    }

    /// The answer to a request, or `None` if one of its id is open.
    async fn ask(&self, ask: Ask) -> Option<Response<Full<Bytes>>> {
        let id = ask.head.id.clone();
        let answer = self.driver.arrive(ask)?;
        // hyper drops this future when the client closes its connection.
        let mut leaving = Leaving { driver: &self.driver, id: Some(id) };
        let answer = answer.await;
        leaving.id = None;
        Some(match answer {
            Ok(Answer::Served(body, content_type)) => {
                let mut response = Response::new(Full::new(body));
                if let Some(content_type) = content_type {
                    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
                }
                response
            }
            Ok(Answer::Refused(retry_after)) => {
                let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "refused; nothing was run");
                if let Some(value) = retry_after_value(retry_after) {
                    response.headers_mut().insert(header::RETRY_AFTER, value);
                }
                response
            }
            Ok(Answer::TimeUp) => plain(StatusCode::GATEWAY_TIMEOUT, "no answer in time"),
            Ok(Answer::Failed) | Err(_) => plain(StatusCode::BAD_GATEWAY, "failed"),
        })
    }

    /// Reads a whole request, the first byte of which came at `begun`.
    async fn read(&self, request: Request<Incoming>, begun: Instant) -> Result<Ask, Unfit> {
        let now = self.driver.now();
        let (parts, body) = request.into_parts();
        // Guards against a second request hidden in a body. hyper drops `Content-Length` where there is a
        // `Transfer-Encoding`, so whether there were both cannot be told; clients send a length.
        if parts.headers.contains_key(header::TRANSFER_ENCODING) {
            return Err(Unfit::Answer(StatusCode::LENGTH_REQUIRED, "a body needs Content-Length"));
        }
        let bad = |what| Unfit::Answer(StatusCode::BAD_REQUEST, what);
        let head = self.reader.read(&parts).map_err(bad)?;
        if parts.method == Method::GET && !body.is_end_stream() {
            return Err(bad("a GET has no body"));
        }
        let body =
            if body.is_end_stream() { Bytes::new() } else { read_body(body, head.wait, begun).await? };
        let message =
            Message { method: parts.method, uri: parts.uri, headers: end_to_end(parts.headers), body };
        Ok(Ask { deadline: now + head.wait, head, message })
    }
}

/// Why a request is not taken.
enum Unfit {
    /// It is answered so.
    Answer(StatusCode, &'static str),
    /// Its connection broke.
    Lost(hyper::Error),
}

/// Reads a body that is still coming in, no longer than its client will wait or than a whole request may take.
async fn read_body(body: Incoming, wait: Millis, begun: Instant) -> Result<Bytes, Unfit> {
    let too_large = || Unfit::Answer(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
    if body.size_hint().lower() > BODY_MOST as u64 {
        return Err(too_large());
    }
    let wait = millis(wait).min(WHOLE_REQUEST.saturating_sub(begun.elapsed()));
    match timeout(wait, Limited::new(body, BODY_MOST).collect()).await {
        Err(_) => Err(Unfit::Answer(StatusCode::REQUEST_TIMEOUT, "the body did not come in time")),
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(too_large()),
        Ok(Err(error)) => Err(match error.downcast::<hyper::Error>() {
            Ok(error) => Unfit::Lost(*error),
            Err(_) => Unfit::Answer(StatusCode::BAD_REQUEST, "the body is malformed"),
        }),
    }
}

/// The headers that go on: all but those that belong to the client's connection.
fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    // The length is written anew from the body.
    for name in [
        header::CONNECTION,
        header::CONTENT_LENGTH,
        header::EXPECT,
        header::PROXY_AUTHORIZATION,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
    ] {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers
}

/// Seconds with three places, rounded up; `None` for no advice.
fn retry_after_value(wait: Millis) -> Option<HeaderValue> {
    let wait = wait.ceil();
    (wait > 0.0).then(|| HeaderValue::try_from(format!("{:.3}", wait / 1000.0)).ok()).flatten()
}

fn plain(status: StatusCode, what: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(what.as_bytes())));
    *response.status_mut() = status;
    response
}

async fn now_or_never<T>(future: impl Future<Output = T>) -> Option<T> {
    let mut future = pin!(future);
    std::future::poll_fn(|cx| match future.as_mut().poll(cx) {
        Poll::Ready(value) => Poll::Ready(Some(value)),
        Poll::Pending => Poll::Ready(None),
    })
    .await
}

/// Marks a request as answered, or given up, when it is dropped.
struct Served(Rc<Client>);

impl Drop for Served {
    fn drop(&mut self) {
        self.0.served.set(self.0.served.get().saturating_add(1));
        self.0.enter(Phase::Idle);
    }
}

/// A client's stream that notes when a request begins to come in.
struct Watched {
    stream: TcpStream,
    client: Rc<Client>,
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.client.reading();
        }
        read
    }
}

impl AsyncWrite for Watched {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
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

/// Tells the driver that the client has left, unless its answer came first.
struct Leaving<'a> {
    driver: &'a Rc<Driver>,
    id: Option<RequestId>,
}

impl Drop for Leaving<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.id.take() {
            self.driver.client_gone(&id);
        }
    }
}

/// A connection on the server's list, for as long as it lives.
struct Registered {
    server: Rc<Server>,
    number: u64,
}

impl Drop for Registered {
    fn drop(&mut self) {
        self.server.clients.borrow_mut().remove(&self.number);
        self.server.freed.notify_one();
    }
}
