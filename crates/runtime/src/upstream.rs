//! Connections to app servers and the attempts on them. One request at a time on each connection.

use crate::clock::duration_from_millis;
use crate::payload::{Outgoing, Sent};
use crate::streamed::Streamed;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{Connection, SendRequest};
use hyper::header::{HeaderName, HeaderValue, CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING};
use hyper::{HeaderMap, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use ivygate_gateway::{Links, Load, Outcome, ServerId};
use ivygate_time::Millis;
use serde::Deserialize;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::{poll_fn, Future};
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

/// Longest body of a message.
pub const MAX_BODY_BYTES: usize = 64 << 10;
/// Most that hyper holds of an answer where bodies are small.
const HEAD_MOST: usize = 32 << 10;
/// A connection rests this long between two requests: what a server sends behind an answer must not come
/// to be read as the next one's.
const REST: Duration = Duration::from_millis(1);
/// Weight of one request on a kept connection in the part of those that broke: some tens of requests.
const BROKE_WEIGHT: f64 = 0.05;
/// From this part on, kept connections are not trusted with a request that must not be sent again.
const BROKE_MOST: f64 = 0.04;
/// The most use that is believed, in percent: more is a slip of the pen.
const USE_MOST: f64 = 100_000.0;
/// And the most requests that a server is believed to hold.
const HELD_MOST: f64 = 100_000.0;
/// Part of the time after which app servers close an idle connection for which one is kept here: a request
/// written to a connection that the other side is just closing is a reset.
const KEEP_PART: f64 = 0.6;
/// And where the server itself tells it, the connection is let go this long before: the close is on its way then.
const KEEP_WAY: Duration = Duration::from_millis(500);
/// Where the settings tell no such time.
const KEEP_UNTOLD: Duration = Duration::from_secs(4);
/// And where they tell no time for connecting.
const CONNECT_UNTOLD: Duration = Duration::from_secs(1);

const API_USAGE: HeaderName = HeaderName::from_static("api-usage");
const SRV_LOAD: HeaderName = HeaderName::from_static("srv-load");

/// What an attempt came to.
pub struct End {
    /// Its outcome, by the protocol's table.
    pub outcome: Outcome,
    /// The body that came with a good answer.
    pub body: Bytes,
    /// And that body's type.
    pub content_type: Option<HeaderValue>,
    /// The customer's use, in percent.
    pub use_percent: Option<f64>,
    /// The app server's load.
    pub load: Load,
    /// An answer that is passed on, good or not.
    pub answer: Option<ServerResponse>,
}

/// An answer in a server's own words.
#[derive(Debug)]
pub enum ServerResponse {
    /// Passed on as it comes.
    Streamed(Box<Response<Streamed>>),
    /// Read whole.
    Buffered(Box<Response<Bytes>>),
}

impl ServerResponse {
    /// Its status.
    pub(crate) fn status(&self) -> StatusCode {
        match self {
            ServerResponse::Streamed(answer) => answer.status(),
            ServerResponse::Buffered(answer) => answer.status(),
        }
    }
}

impl End {
    /// An end that brought nothing along.
    pub fn bare(outcome: Outcome) -> Self {
        Self {
            outcome,
            body: Bytes::new(),
            content_type: None,
            use_percent: None,
            load: Load::default(),
            answer: None,
        }
    }

    /// Takes in what an answer's headers tell besides. One that cannot be read is as good as none: it is a
    /// hint, and the answer itself is whole.
    fn tell(&mut self, headers: &HeaderMap) {
        let usage = headers.get(API_USAGE).and_then(|v| v.to_str().ok()).and_then(|v| v.trim().parse().ok());
        self.use_percent = usage.filter(|u: &f64| (0.0..=USE_MOST).contains(u));
        let load = headers.get(SRV_LOAD).and_then(|v| serde_json::from_slice(v.as_bytes()).ok());
        self.load = load.map_or_else(Load::default, LoadReport::load);
    }
}

/// How far an attempt has come, for whoever gives it up.
#[derive(Default)]
pub struct Progress {
    /// The bytes that its connection has taken, and how many there were before this attempt.
    written: RefCell<Option<(Rc<Cell<u64>>, u64)>>,
    /// How much of its body has been handed over.
    pub(crate) sent: Rc<Sent>,
    /// It is recorded that it is about to be sent.
    pub(crate) recorded: Cell<bool>,
}

impl Progress {
    /// Whether the last of its body has been handed over and any byte has been written since the attempt
    /// began: from then on, in doubt, the request may have run.
    pub fn may_have_run(&self) -> bool {
        self.sent.last.get() && self.has_written()
    }

    /// Whether any byte has been written since the attempt began.
    fn has_written(&self) -> bool {
        self.written.borrow().as_ref().is_some_and(|(written, before)| written.get() > *before)
    }

    fn begin(&self, written: &Rc<Cell<u64>>) {
        *self.written.borrow_mut() = Some((written.clone(), written.get()));
    }
}

/// How answers are read.
#[derive(Clone, Debug)]
pub enum ResponsePolicy {
    /// Whole, by the platform's protocol.
    Platform,
    /// As ordinary applications word them, passed on while they come in.
    Application(ApplicationPolicy),
    /// Whole, and only those that bear what tells them to be the answer to the request; passed on unchanged.
    Echo(EchoPolicy),
}

/// How a whole answer is told to be the server's and to be the request's own.
#[derive(Clone, Debug)]
pub struct EchoPolicy {
    /// The header of a request that its answer must bring back unchanged.
    pub echo_header: HeaderName,
    /// The longest body that is read.
    pub max_body_bytes: usize,
    /// Which outcome an answer stands for.
    pub classify: fn(StatusCode, &HeaderMap) -> Outcome,
}

/// Which outcome an application's answer stands for.
#[derive(Clone, Debug, Default)]
pub struct ApplicationPolicy {
    /// Statuses that are failures of the server; all others are the application's answer.
    pub error_statuses: Vec<StatusCode>,
    /// The header and value by which a 503 or 504 proves that nothing ran; by default nothing does.
    pub not_run_header: Option<(HeaderName, HeaderValue)>,
    /// How long a server may pause in the middle of an answer.
    pub stall_timeout: Duration,
}

impl ApplicationPolicy {
    fn outcome(&self, status: StatusCode, headers: &HeaderMap) -> Outcome {
        let turned_away = matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT);
        let says = |(name, value): &(HeaderName, HeaderValue)| headers.get(name) == Some(value);
        if turned_away && self.not_run_header.as_ref().is_some_and(says) {
            Outcome::Rejected
        } else if self.error_statuses.contains(&status) {
            Outcome::Error
        } else {
            Outcome::Ok
        }
    }
}

/// What bounds the connections to a pool's servers.
#[derive(Clone, Debug)]
pub struct UpstreamLimits {
    /// Most connections.
    pub max_connections: usize,
    /// A connection not established by then has failed.
    pub connect_timeout: Duration,
    /// An idle connection is kept for this long.
    pub idle_timeout: Duration,
    /// Most idle connections that are kept to one server: where each request that must not run twice takes a new one,
    /// they would add up to more than a server takes.
    pub max_idle_per_server: usize,
    /// A connection rests this long between two requests.
    pub min_idle_time: Duration,
    /// Most that hyper holds of an answer at once; guards the memory against heads that do not end.
    pub max_buffer_bytes: usize,
}

impl UpstreamLimits {
    /// The platform's, by what its settings tell.
    pub fn platform(links: Links, connections: usize) -> Self {
        let keep = |ms: Millis| duration_from_millis(ms * KEEP_PART);
        Self {
            max_connections: connections,
            connect_timeout: links.connect_timeout.map_or(CONNECT_UNTOLD, duration_from_millis),
            idle_timeout: links.keepalive.map_or(KEEP_UNTOLD, keep),
            max_idle_per_server: usize::MAX,
            min_idle_time: REST,
            max_buffer_bytes: HEAD_MOST,
        }
    }
}

/// All connections to app servers.
pub struct Upstream {
    idle: RefCell<HashMap<ServerId, Vec<Idle>>>,
    open: Rc<Cell<usize>>,
    /// Part of the requests on kept connections, of late, that ended with nothing but a reset.
    broke: Cell<f64>,
    limits: UpstreamLimits,
    reading: ResponsePolicy,
    /// Servers whose answers broke when they had begun, since that was last asked for.
    broken: RefCell<Vec<ServerId>>,
}

struct Idle {
    /// In a box: it is moved often and large.
    link: Box<Link>,
    since: Instant,
}

/// One connection. It is driven by whoever uses it, so nothing is left running when it is dropped.
pub(crate) struct Link {
    sender: SendRequest<Outgoing>,
    /// `None` once it has ended.
    connection: Option<Connection<TokioIo<Counted>, Outgoing>>,
    written: Rc<Cell<u64>>,
    /// Nothing is asked, so that anything to be read is too much.
    resting: Rc<Cell<bool>>,
    address: SocketAddr,
    /// How long it is kept while idle, by the limits and by what the server last told.
    keep: Duration,
}

impl Link {
    /// Whether another request may be written: the other side has not closed it, and all that it sent was
    /// read. Looks without waiting, and past tokio, which may not have heard yet or may owe others a turn.
    async fn usable(&mut self) -> bool {
        self.resting.set(true);
        let look = poll_fn(|cx| {
            self.drive(cx);
            Poll::Ready(())
        });
        tokio::task::unconstrained(look).await;
        self.resting.set(false);
        self.is_ready()
    }

    /// Whether the connection stands and waits for a request.
    pub(crate) fn is_ready(&self) -> bool {
        self.stands() && self.sender.is_ready()
    }

    /// Reads and writes what can be.
    pub(crate) fn drive(&mut self, cx: &mut Context<'_>) {
        if let Some(connection) = &mut self.connection {
            // How it ended shows in the answer.
            if Pin::new(connection).poll(cx).is_ready() {
                self.connection = None;
            }
        }
    }

    /// Whether the connection has not ended, as far as is known.
    pub(crate) fn stands(&self) -> bool {
        self.connection.is_some()
    }
}

impl Upstream {
    /// No connection yet.
    pub fn new(limits: UpstreamLimits, reading: ResponsePolicy) -> Rc<Self> {
        Rc::new(Self {
            idle: RefCell::default(),
            open: Rc::default(),
            broke: Cell::new(0.0),
            limits,
            reading,
            broken: RefCell::default(),
        })
    }

    /// Whether servers can be tried without a request.
    pub(crate) fn probes(&self) -> bool {
        !matches!(self.reading, ResponsePolicy::Platform)
    }

    /// Whether a server takes a connection.
    pub(crate) async fn probe(&self, address: SocketAddr) -> Outcome {
        match self.connect(address).await {
            Ok(_) => Outcome::Ok,
            Err(outcome) => outcome,
        }
    }

    /// Notes that an answer broke after it had begun.
    pub(crate) fn stream_broke(&self, server: ServerId) {
        let mut broken = self.broken.borrow_mut();
        // Guards the memory; a server is no worse for being named twice.
        if !broken.contains(&server) {
            broken.push(server);
        }
    }

    /// Servers whose answers broke after they had begun, once each.
    pub(crate) fn take_broken(&self) -> Vec<ServerId> {
        self.broken.take()
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&self, server: ServerId) {
        self.idle.borrow_mut().remove(&server);
    }

    /// Closes what has been idle for too long.
    pub fn close_expired(&self) {
        self.idle.borrow_mut().retain(|_, links| {
            links.retain(|idle| idle.since.elapsed() < idle.link.keep);
            !links.is_empty()
        });
    }

    /// One attempt. `request` is asked for the request when a connection stands and just before its first
    /// byte is written; `None` means that it must not be sent any more. `once` says that it must not be sent
    /// again once it has been, `again` that this server has been sent it before.
    ///
    /// Dropping the future gives the attempt up and closes its connection.
    pub(crate) async fn attempt(
        self: &Rc<Self>,
        server: ServerId,
        address: SocketAddr,
        progress: &Progress,
        once: bool,
        again: bool,
        request: impl Fn(&Rc<Sent>) -> Option<Request<Outgoing>>,
    ) -> End {
        loop {
            // Guards requests that can't be repeated against servers that end kept connections unsaid: a new
            // connection costs a handshake, a reset the whole request.
            // And against a copy of the server's answer to the same request, which bears the same id: a second
            // refusal would pass for one of this attempt, which runs.
            let trusted = !again && (!once || self.broke.get() < BROKE_MOST);
            let kept = if trusted { self.idle_link(server, address).await } else { None };
            let (link, reused) = match kept {
                Some(link) => (link, true),
                None => match self.connect(address).await {
                    Ok(link) => (link, false),
                    Err(outcome) => return End::bare(outcome),
                },
            };
            // Guards against what happened while connecting: the client left, the server drains, time is up.
            let Some(request) = request(&progress.sent) else { return End::bare(Outcome::NeverSent) };
            progress.begin(&link.written);
            let answer = self.exchange(server, link, reused, request).await;
            if reused && progress.may_have_run() {
                let broke = f64::from(u8::from(matches!(answer, Err(Broken::Lost))));
                self.broke.set(self.broke.get() + BROKE_WEIGHT * (broke - self.broke.get()));
            }
            match answer {
                Ok(end) => return end,
                Err(Broken::Spoilt) => return End::bare(Outcome::Unusable),
                // The client's doing: it says nothing of the server, which never had the whole request.
                Err(Broken::Lost) if progress.sent.broken_off.get() => return End::bare(Outcome::NeverSent),
                Err(Broken::Lost) if progress.may_have_run() => return End::bare(Outcome::Reset),
                // Not a byte was written, so taking another connection sends nothing again.
                Err(Broken::Lost) if reused && !progress.has_written() => {}
                Err(Broken::Lost) => return End::bare(Outcome::ConnectFailed),
            }
        }
    }

    /// Writes a request and reads its answer: whole, or as far as it can be passed on.
    async fn exchange(
        self: &Rc<Self>,
        server: ServerId,
        mut link: Box<Link>,
        reused: bool,
        request: Request<Outgoing>,
    ) -> Result<End, Broken> {
        let echo = match &self.reading {
            ResponsePolicy::Echo(seal) => request.headers().get(&seal.echo_header).cloned(),
            _ => None,
        };
        let Link { sender, connection, .. } = &mut *link;
        let mut sending = pin!(sender.send_request(request));
        let answer = poll_fn(|cx| {
            if let Poll::Ready(answer) = sending.as_mut().poll(cx) {
                return Poll::Ready(answer);
            }
            if let Some(open) = connection {
                if Pin::new(open).poll(cx).is_ready() {
                    // As one does whose answer said so. What it brought is still to be read.
                    *connection = None;
                }
                return sending.as_mut().poll(cx);
            }
            Poll::Pending
        })
        .await?;
        link.keep = kept_for(answer.headers(), self.limits.idle_timeout);
        match &self.reading {
            ResponsePolicy::Platform => {
                let reading = pin!(read_whole(answer, MAX_BODY_BYTES));
                let whole = drive_while(&mut link, reading).await?;
                let end = read_answer(whole);
                if link.stands() && link.usable().await {
                    self.put_back(server, link);
                }
                Ok(end)
            }
            ResponsePolicy::Echo(seal) => {
                let reading = pin!(read_whole(answer, seal.max_body_bytes));
                let whole = drive_while(&mut link, reading).await?;
                // Guards against a surplus answer to an earlier request, and against bytes that no server's
                // application made. Whoever has the address by now may turn a request away without a word on
                // which; on a connection that has carried no other there is but the one.
                let untold = !reused
                    && whole.status == StatusCode::MISDIRECTED_REQUEST
                    && !whole.headers.contains_key(&seal.echo_header);
                if whole.headers.get(&seal.echo_header) != echo.as_ref() && !untold {
                    return Err(Broken::Spoilt);
                }
                let outcome = (seal.classify)(whole.status, &whole.headers);
                if outcome == Outcome::Unusable {
                    return Err(Broken::Spoilt);
                }
                if link.stands() && link.usable().await {
                    self.put_back(server, link);
                }
                let mut end = End::bare(outcome);
                if !outcome.never_ran() {
                    let mut answer = Response::new(whole.body);
                    *answer.status_mut() = whole.status;
                    *answer.headers_mut() = whole.headers;
                    end.answer = Some(ServerResponse::Buffered(Box::new(answer)));
                }
                Ok(end)
            }
            ResponsePolicy::Application(judge) => {
                // Guards the connection: nobody asked for another protocol.
                if answer.status().is_informational() {
                    return Err(Broken::Spoilt);
                }
                let (parts, body) = answer.into_parts();
                let outcome = judge.outcome(parts.status, &parts.headers);
                let mut end = End::bare(outcome);
                end.tell(&parts.headers);
                let body = Streamed::new(link, body, server, self.clone(), judge.stall_timeout);
                end.answer = (outcome != Outcome::Rejected)
                    .then(|| ServerResponse::Streamed(Box::new(Response::from_parts(parts, body))));
                Ok(end)
            }
        }
    }

    /// The idle connection last used; the others get the rest that lets them go.
    async fn idle_link(&self, server: ServerId, address: SocketAddr) -> Option<Box<Link>> {
        loop {
            let now = Instant::now();
            let idle = {
                let mut idle = self.idle.borrow_mut();
                let links = idle.get_mut(&server)?;
                let last = links.len().checked_sub(1)?;
                let rested = links.iter().rposition(|idle| now - idle.since >= self.limits.min_idle_time);
                links.remove(rested.unwrap_or(last))
            };
            let rested = now - idle.since;
            if rested < self.limits.min_idle_time {
                sleep(self.limits.min_idle_time - rested).await;
            }
            let mut link = idle.link;
            if rested < link.keep && link.address == address && link.usable().await {
                return Some(link);
            }
        }
    }

    pub(crate) fn put_back(&self, server: ServerId, link: Box<Link>) {
        let idle = Idle { link, since: Instant::now() };
        let mut all = self.idle.borrow_mut();
        let links = all.entry(server).or_default();
        if links.len() >= self.limits.max_idle_per_server {
            // The one that was used longest ago, which would be closed first anyway.
            links.remove(0);
        }
        links.push(idle);
    }

    async fn connect(&self, address: SocketAddr) -> Result<Box<Link>, Outcome> {
        if self.open.get() >= self.limits.max_connections && !self.close_oldest() {
            // No descriptor to spare: a want of this node's own, which tells nothing of the server.
            return Err(Outcome::NeverSent);
        }
        let slot = Slot::take(&self.open);
        let stream = match timeout(self.limits.connect_timeout, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if out_of_descriptors(&error) => return Err(Outcome::NeverSent),
            Ok(Err(_)) | Err(_) => return Err(Outcome::ConnectFailed),
        };
        // A hint: where the system refuses it the connection serves all the same, and the server has not failed.
        let _ = stream.set_nodelay(true);
        let written = Rc::new(Cell::new(0));
        let resting = Rc::new(Cell::new(false));
        let counted = Counted { stream, written: written.clone(), resting: resting.clone(), _slot: slot };
        let (sender, connection) = hyper::client::conn::http1::Builder::new()
            .max_buf_size(self.limits.max_buffer_bytes)
            .handshake(TokioIo::new(counted))
            .await
            .map_err(|_| Outcome::ConnectFailed)?;
        let keep = self.limits.idle_timeout;
        Ok(Box::new(Link { sender, connection: Some(connection), written, resting, address, keep }))
    }

    /// Makes room by closing the connection that has been idle longest.
    fn close_oldest(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle.values_mut().filter(|links| !links.is_empty()).min_by_key(|links| links[0].since);
        oldest.map(|links| links.remove(0)).is_some()
    }
}

/// How long an idle connection is kept, at most, where its server tells when it closes one: `Keep-Alive: timeout=5`, in
/// whole seconds.
fn kept_for(headers: &HeaderMap, most: Duration) -> Duration {
    let told = headers.get("keep-alive").and_then(|value| value.to_str().ok());
    let told = told.and_then(|told| told.split(',').find_map(|part| part.trim().strip_prefix("timeout=")));
    let Some(told) = told.and_then(|seconds| seconds.parse().ok()).map(Duration::from_secs) else {
        return most;
    };
    told.saturating_sub(KEEP_WAY).max(told.mul_f64(KEEP_PART)).min(most)
}

/// Whether an error says that this process or machine has no descriptor left (EMFILE, ENFILE).
pub fn out_of_descriptors(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(23 | 24))
}

/// Whether the other side has sent something that is still unread, or has ended its sending. Asks the system itself: tokio
/// may not have heard yet.
pub fn has_unread_input(stream: &TcpStream) -> bool {
    let peeked = SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]);
    !peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}

/// Why there was no whole answer.
enum Broken {
    /// The connection ended or broke.
    Lost,
    /// What came was no answer, or longer than any may be.
    Spoilt,
}

impl From<hyper::Error> for Broken {
    fn from(error: hyper::Error) -> Self {
        // hyper words a chunk that cannot be read as a body error with one of these kinds in it.
        let unreadable = |error: &io::Error| {
            matches!(error.kind(), io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput)
        };
        let source = std::error::Error::source(&error).and_then(|e| e.downcast_ref::<io::Error>());
        if error.is_parse() || source.is_some_and(unreadable) {
            Broken::Spoilt
        } else {
            Broken::Lost
        }
    }
}

/// An answer that has come whole.
struct Whole {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// Waits for what a connection brings while driving it.
async fn drive_while<T>(link: &mut Link, mut reading: Pin<&mut impl Future<Output = T>>) -> T {
    poll_fn(|cx| {
        if let Poll::Ready(read) = reading.as_mut().poll(cx) {
            return Poll::Ready(read);
        }
        link.drive(cx);
        reading.as_mut().poll(cx)
    })
    .await
}

async fn read_whole(answer: Response<Incoming>, most: usize) -> Result<Whole, Broken> {
    let (parts, body) = answer.into_parts();
    let length = parts.headers.contains_key(CONTENT_LENGTH);
    let mut coding = parts.headers.get_all(TRANSFER_ENCODING).iter();
    let chunked = coding.next().map(|value| value.as_bytes().eq_ignore_ascii_case(b"chunked"));
    match chunked {
        // Guards against an answer cut short that looks whole: without a length or chunks only the
        // connection's end would mark the body's, and a server that dies ends it too.
        None if !length && !body.is_end_stream() => return Err(Broken::Lost),
        None => {}
        // Two ways to find the end of a body are two ends.
        Some(true) if !length && coding.next().is_none() => {}
        Some(_) => return Err(Broken::Spoilt),
    }
    // Guards the connection: nobody asked for another protocol.
    if parts.status.is_informational() || body.size_hint().lower() > most as u64 {
        return Err(Broken::Spoilt);
    }
    let body = Limited::new(body, most).collect().await.map_err(|error| {
        match error.downcast::<hyper::Error>() {
            Ok(error) => Broken::from(*error),
            // Longer than any body may be.
            Err(_) => Broken::Spoilt,
        }
    })?;
    Ok(Whole { status: parts.status, headers: parts.headers, body: body.to_bytes() })
}

fn read_answer(answer: Whole) -> End {
    let headers = &answer.headers;
    let declined = headers.get("srv-declined").is_some_and(|v| v.as_bytes() == b"1");
    let outcome = match answer.status {
        StatusCode::OK => Outcome::Ok,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if declined => Outcome::Rejected,
        // The fault is in the request, not in the server.
        status if status.is_client_error() => Outcome::Unusable,
        _ => Outcome::Error,
    };
    let mut end = End::bare(outcome);
    end.tell(headers);
    end.content_type = headers.get(CONTENT_TYPE).cloned();
    end.body = answer.body;
    end
}

/// The fields of a load report that a gateway takes in.
#[derive(Deserialize)]
struct LoadReport {
    inflight: Option<f64>,
    queue: Option<f64>,
    util: Option<f64>,
    latency_ms: Option<f64>,
}

impl LoadReport {
    fn load(self) -> Load {
        let within = |v: Option<f64>, most: f64| v.filter(|v| (0.0..=most).contains(v));
        Load {
            in_flight: within(self.inflight, HELD_MOST),
            queue: within(self.queue, HELD_MOST),
            // A little over the whole is noise.
            utilization: within(self.util, 2.0),
            service_time: within(self.latency_ms, f64::MAX),
        }
    }
}

/// Counts an open descriptor for as long as it lives.
struct Slot(Rc<Cell<usize>>);

impl Slot {
    fn take(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Self(open.clone())
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A stream that counts the bytes that it has taken for writing.
struct Counted {
    stream: TcpStream,
    written: Rc<Cell<u64>>,
    resting: Rc<Cell<bool>>,
    _slot: Slot,
}

impl Counted {
    fn count(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(bytes)) = &written {
            self.written.set(self.written.get() + *bytes as u64);
        }
        written
    }
}

impl AsyncRead for Counted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        // Guards against a stray second answer that tokio has not noticed yet.
        if self.resting.get() && has_unread_input(&self.stream) {
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Counted {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.count(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.count(written)
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

#[cfg(test)]
mod tests;
