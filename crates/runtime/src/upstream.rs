//! Connections to app servers, and attempts on them. Each connection carries one request at a time.

mod connection;
mod platform;
mod response;

pub use connection::has_unread_input;
pub(crate) use connection::ServerConnection;

use crate::clock::duration_from_millis;
use crate::memory::MemoryAccount;
use crate::request_body::AttemptBody;
use crate::streamed::Streamed;
use bytes::Bytes;
use connection::{drive_while, CountingStream, OpenConnectionGuard};
use hyper::body::Incoming;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use ivygate_gateway::{ConnectionSettings, Load, Outcome, ServerId};
use ivygate_time::Millis;
use platform::platform_attempt_end;
use response::{check_framing, read_body, read_response, ExchangeError, ReceivedBody};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::{poll_fn, Future};
use std::io;
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

/// Maximum length of a body in the platform's protocol, in bytes.
pub const MAX_BODY_BYTES: usize = 64 << 10;
/// Read buffer of a connection where bodies are small, in bytes.
const DEFAULT_BUFFER_BYTES: usize = 32 << 10;
/// Minimum idle time of a connection between two requests, so that surplus bytes after a response arrive
/// before the next request and are not read as its response.
const DEFAULT_MIN_IDLE_TIME: Duration = Duration::from_millis(1);
/// Weight of one request in the moving average of resets on reused connections, which so covers some tens of
/// requests.
const RESET_RATE_WEIGHT: f64 = 0.05;
/// From this rate of resets on, a request that must not run twice is sent on a new connection.
const MAX_RESET_RATE: f64 = 0.04;
/// Idle timeout as a fraction of the server's: a request written while the server closes the connection ends
/// in a reset.
const IDLE_TIMEOUT_RATIO: f64 = 0.6;
/// Margin before the idle timeout that a server announces itself, for a close that is already on its way.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(500);
/// Idle timeout if the settings give none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Connect timeout if the settings give none.
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Result of an attempt.
pub struct AttemptEnd {
    /// Outcome, as the response policy classifies it.
    pub outcome: Outcome,
    /// Body of a successful response of the platform's protocol.
    pub body: Bytes,
    /// Content type of that body.
    pub content_type: Option<HeaderValue>,
    /// Usage of the customer's quota, in percent.
    pub metered_percent: Option<f64>,
    /// Load of the app server.
    pub load: Load,
    /// Response that is forwarded, successful or not.
    pub response: Option<ServerResponse>,
}

/// A server's response that is forwarded to the client.
#[derive(Debug)]
pub enum ServerResponse {
    /// Forwarded while it is received.
    Streamed(Box<Response<Streamed>>),
    /// Received completely.
    Buffered(Box<Response<Bytes>>),
}

impl ServerResponse {
    /// Returns the status.
    pub(crate) fn status(&self) -> StatusCode {
        match self {
            ServerResponse::Streamed(response) => response.status(),
            ServerResponse::Buffered(response) => response.status(),
        }
    }
}

impl AttemptEnd {
    /// Creates a result without a response.
    pub fn without_response(outcome: Outcome) -> Self {
        Self {
            outcome,
            body: Bytes::new(),
            content_type: None,
            metered_percent: None,
            load: Load::default(),
            response: None,
        }
    }
}

/// Progress of an attempt, which determines its outcome if it is given up.
#[derive(Default)]
pub struct AttemptProgress {
    /// Number of bytes written to its connection, and that number before this attempt.
    written: RefCell<Option<(Rc<Cell<u64>>, u64)>>,
    /// Receiving its body from the client failed, which is no fault of the server.
    pub(crate) source_failed: Rc<Cell<bool>>,
    /// Its start has been recorded.
    pub(crate) is_recorded: Cell<bool>,
}

impl AttemptProgress {
    /// Returns whether the request may have run: some byte of it has been written. A server may begin to work on
    /// a request as soon as it has the head, so how much of the body has been written proves nothing.
    pub fn may_have_run(&self) -> bool {
        self.written.borrow().as_ref().is_some_and(|(written, before)| written.get() > *before)
    }

    /// Returns the outcome if the connection is lost without a response.
    fn outcome_of_lost_connection(&self) -> Outcome {
        match (self.may_have_run(), self.source_failed.get()) {
            (true, false) => Outcome::Reset,
            // The client failed to send its body, which does not count against the server's health.
            (true, true) => Outcome::Unusable,
            (false, true) => Outcome::NeverSent,
            (false, false) => Outcome::ConnectFailed,
        }
    }

    fn begin(&self, written: &Rc<Cell<u64>>) {
        *self.written.borrow_mut() = Some((written.clone(), written.get()));
    }
}

/// Policy for reading and classifying responses.
#[derive(Clone)]
pub enum ResponsePolicy {
    /// Responses of the platform's protocol, read completely.
    Platform,
    /// Responses of ordinary applications, forwarded while they are received.
    Application(ApplicationPolicy),
    /// Responses that must echo a header of their request, forwarded unchanged.
    Echo(EchoPolicy),
}

/// Policy for responses that must prove to be from the server and to belong to the request.
#[derive(Clone)]
pub struct EchoPolicy {
    /// Request header that the response must repeat unchanged.
    pub echo_header: HeaderName,
    /// Maximum length of a response body that is received completely before it is forwarded, in bytes. If the connection
    /// fails meanwhile, the request may be sent again.
    pub max_buffered_bytes: usize,
    /// Memory for the part of a longer response that is under way, in bytes.
    pub window_bytes: usize,
    /// Maximum pause in the middle of a longer response.
    pub stall_timeout: Duration,
    /// Account of the responses.
    pub memory: Arc<MemoryAccount>,
    /// Returns the outcome for a response.
    pub classify: fn(StatusCode, &HeaderMap) -> Outcome,
}

/// Policy for responses of ordinary applications.
#[derive(Clone, Debug, Default)]
pub struct ApplicationPolicy {
    /// Statuses that count as failures of the server; all others are responses of the application.
    pub error_statuses: Vec<StatusCode>,
    /// Header and value by which a 503 or 504 proves that the request was not run; `None` if nothing proves
    /// that.
    pub not_run_header: Option<(HeaderName, HeaderValue)>,
    /// Maximum pause in the middle of a response body.
    pub stall_timeout: Duration,
}

impl ApplicationPolicy {
    fn outcome(&self, status: StatusCode, headers: &HeaderMap) -> Outcome {
        let may_be_rejection =
            matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT);
        let is_present = |(name, value): &(HeaderName, HeaderValue)| headers.get(name) == Some(value);
        if may_be_rejection && self.not_run_header.as_ref().is_some_and(is_present) {
            Outcome::Rejected
        } else if self.error_statuses.contains(&status) {
            Outcome::Error
        } else {
            Outcome::Ok
        }
    }
}

/// Limits on the connections to a pool's servers.
#[derive(Clone, Debug)]
pub struct UpstreamLimits {
    /// Maximum number of connections.
    pub max_connections: usize,
    /// Time limit for establishing a connection.
    pub connect_timeout: Duration,
    /// Time for which an idle connection is kept.
    pub idle_timeout: Duration,
    /// Maximum number of idle connections to one server. Without a limit, requests that must not run twice,
    /// which may each take a new connection, would leave more of them than a server accepts.
    pub max_idle_per_server: usize,
    /// Minimum idle time of a connection between two requests.
    pub min_idle_time: Duration,
    /// Maximum length of the read buffer, in bytes; limits the memory for a response head that does not end.
    pub max_buffer_bytes: usize,
}

impl UpstreamLimits {
    /// Returns the limits for the platform's protocol, with the timeouts of its settings.
    pub fn platform(links: ConnectionSettings, connections: usize) -> Self {
        let idle_timeout = |ms: Millis| duration_from_millis(ms * IDLE_TIMEOUT_RATIO);
        Self {
            max_connections: connections,
            connect_timeout: links.connect_timeout.map_or(DEFAULT_CONNECT_TIMEOUT, duration_from_millis),
            idle_timeout: links.keepalive.map_or(DEFAULT_IDLE_TIMEOUT, idle_timeout),
            max_idle_per_server: usize::MAX,
            min_idle_time: DEFAULT_MIN_IDLE_TIME,
            max_buffer_bytes: DEFAULT_BUFFER_BYTES,
        }
    }
}

/// The connections to app servers.
pub struct Upstream {
    idle: RefCell<HashMap<ServerId, Vec<IdleConnection>>>,
    open_connections: Rc<Cell<usize>>,
    /// Moving average of the fraction of requests on reused connections that ended in a reset without a
    /// response.
    reset_rate: Cell<f64>,
    limits: UpstreamLimits,
    response_policy: ResponsePolicy,
    /// Servers with a response that failed in the middle of its body, since the last call of
    /// `take_failed_streams`.
    failed_streams: RefCell<Vec<ServerId>>,
}

struct IdleConnection {
    /// Boxed, since it is large and moved often.
    connection: Box<ServerConnection>,
    since: Instant,
}

impl Upstream {
    /// Creates an upstream without connections.
    pub fn new(limits: UpstreamLimits, response_policy: ResponsePolicy) -> Rc<Self> {
        Rc::new(Self {
            idle: RefCell::default(),
            open_connections: Rc::default(),
            reset_rate: Cell::new(0.0),
            limits,
            response_policy,
            failed_streams: RefCell::default(),
        })
    }

    /// Returns whether servers can be checked without a request.
    pub(crate) fn supports_health_checks(&self) -> bool {
        !matches!(self.response_policy, ResponsePolicy::Platform)
    }

    /// Checks whether a server accepts a connection.
    pub(crate) async fn check_health(&self, address: SocketAddr) -> Outcome {
        match self.connect(address).await {
            Ok(_) => Outcome::Ok,
            Err(outcome) => outcome,
        }
    }

    /// Records that a response failed in the middle of its body.
    pub(crate) fn record_failed_stream(&self, server: ServerId) {
        let mut failed = self.failed_streams.borrow_mut();
        // One entry per server bounds the memory, and a second one would have no effect.
        if !failed.contains(&server) {
            failed.push(server);
        }
    }

    /// Takes the servers with a response that failed in the middle of its body, each once.
    pub(crate) fn take_failed_streams(&self) -> Vec<ServerId> {
        self.failed_streams.take()
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&self, server: ServerId) {
        self.idle.borrow_mut().remove(&server);
    }

    /// Closes the connections whose idle timeout has passed.
    pub fn close_expired(&self) {
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|idle| idle.since.elapsed() < idle.connection.idle_timeout);
            !connections.is_empty()
        });
    }

    /// Makes one attempt.
    ///
    /// `request` is called when a connection is established, just before the first byte is written; if it
    /// returns `None`, the request must not be sent any more. `at_most_once` means that the request must not
    /// be sent again after it has been sent, `sent_before` that this server has been sent the request before.
    ///
    /// Dropping the future gives the attempt up and closes its connection.
    pub(crate) async fn attempt(
        self: &Rc<Self>,
        server: ServerId,
        address: SocketAddr,
        progress: &AttemptProgress,
        at_most_once: bool,
        sent_before: bool,
        request: impl Fn(&Rc<Cell<bool>>) -> Option<Request<AttemptBody>>,
    ) -> AttemptEnd {
        loop {
            // A request that must not run twice takes a new connection if servers close idle connections
            // without notice: that costs a handshake, a reset the whole request. So does a request that this
            // server was sent before: a duplicate of the server's earlier response has the same id, and a
            // rejection that is read twice would be taken for one of this attempt, which runs.
            let may_reuse = !sent_before && (!at_most_once || self.reset_rate.get() < MAX_RESET_RATE);
            let idle = if may_reuse { self.take_idle(server, address).await } else { None };
            let (connection, is_reused) = match idle {
                Some(connection) => (connection, true),
                None => match self.connect(address).await {
                    Ok(connection) => (connection, false),
                    Err(outcome) => return AttemptEnd::without_response(outcome),
                },
            };
            // The request is asked for only now, since meanwhile the client may have left, the server may be
            // draining, or the time may be up.
            let Some(request) = request(&progress.source_failed) else {
                return AttemptEnd::without_response(Outcome::NeverSent);
            };
            progress.begin(&connection.written);
            let result = self.exchange(server, connection, is_reused, request).await;
            if is_reused && progress.may_have_run() {
                let was_reset = f64::from(u8::from(matches!(result, Err(ExchangeError::ConnectionLost))));
                let rate = self.reset_rate.get();
                self.reset_rate.set(rate + RESET_RATE_WEIGHT * (was_reset - rate));
            }
            let outcome = match result {
                Ok(end) => return end,
                Err(ExchangeError::InvalidResponse) => Outcome::Unusable,
                Err(ExchangeError::ConnectionLost) => progress.outcome_of_lost_connection(),
            };
            if is_reused && outcome == Outcome::ConnectFailed {
                // Not a byte was written, so another connection does not send the request a second time.
                continue;
            }
            return AttemptEnd::without_response(outcome);
        }
    }

    /// Writes a request and reads its response, completely or up to the body that is forwarded.
    async fn exchange(
        self: &Rc<Self>,
        server: ServerId,
        mut connection: Box<ServerConnection>,
        is_reused: bool,
        request: Request<AttemptBody>,
    ) -> Result<AttemptEnd, ExchangeError> {
        let expected_echo = match &self.response_policy {
            ResponsePolicy::Echo(policy) => request.headers().get(&policy.echo_header).cloned(),
            _ => None,
        };
        let ServerConnection { sender, driver, .. } = &mut *connection;
        let mut sending = pin!(sender.send_request(request));
        let response = poll_fn(|cx| {
            if let Poll::Ready(response) = sending.as_mut().poll(cx) {
                return Poll::Ready(response);
            }
            if let Some(open) = driver {
                if Pin::new(open).poll(cx).is_ready() {
                    // The connection ends after a response with `Connection: close`, which is still to be
                    // read.
                    *driver = None;
                }
                return sending.as_mut().poll(cx);
            }
            Poll::Pending
        })
        .await?;
        connection.idle_timeout = idle_timeout(response.headers(), self.limits.idle_timeout);
        match &self.response_policy {
            ResponsePolicy::Platform => self.read_platform_response(server, connection, response).await,
            ResponsePolicy::Echo(policy) => {
                check_echo(policy, expected_echo.as_ref(), is_reused, &response)?;
                self.read_echo_response(server, connection, policy, response).await
            }
            ResponsePolicy::Application(policy) => {
                self.forward_response(server, connection, policy, response)
            }
        }
    }

    /// Reads a response of the platform's protocol.
    async fn read_platform_response(
        &self,
        server: ServerId,
        mut connection: Box<ServerConnection>,
        response: Response<Incoming>,
    ) -> Result<AttemptEnd, ExchangeError> {
        let reading = pin!(read_response(response, MAX_BODY_BYTES));
        let response = drive_while(&mut connection, reading).await?;
        self.release(server, connection).await;
        Ok(platform_attempt_end(response))
    }

    /// Reads a response with a proven echo: completely if it is short, else up to the part that is forwarded.
    async fn read_echo_response(
        self: &Rc<Self>,
        server: ServerId,
        mut connection: Box<ServerConnection>,
        policy: &EchoPolicy,
        response: Response<Incoming>,
    ) -> Result<AttemptEnd, ExchangeError> {
        check_framing(&response)?;
        let outcome = (policy.classify)(response.status(), response.headers());
        if outcome == Outcome::Unusable {
            return Err(ExchangeError::InvalidResponse);
        }
        let (parts, body) = response.into_parts();
        let reading = pin!(read_body(body, policy.max_buffered_bytes, &policy.memory));
        let forwarded = match drive_while(&mut connection, reading).await? {
            ReceivedBody::Complete(body) => {
                self.release(server, connection).await;
                ServerResponse::Buffered(Box::new(Response::from_parts(parts, body)))
            }
            ReceivedBody::Partial(received, rest) => {
                let body = Streamed::new(connection, rest, server, self.clone(), policy.stall_timeout)
                    .with_received(received)
                    .with_window(policy.memory.clone(), policy.window_bytes);
                ServerResponse::Streamed(Box::new(Response::from_parts(parts, body)))
            }
        };
        let mut end = AttemptEnd::without_response(outcome);
        end.response = (!outcome.never_ran()).then_some(forwarded);
        Ok(end)
    }

    /// Forwards a response of an application while it is received.
    fn forward_response(
        self: &Rc<Self>,
        server: ServerId,
        connection: Box<ServerConnection>,
        policy: &ApplicationPolicy,
        response: Response<Incoming>,
    ) -> Result<AttemptEnd, ExchangeError> {
        // A change of protocol was not requested.
        if response.status().is_informational() {
            return Err(ExchangeError::InvalidResponse);
        }
        let (parts, body) = response.into_parts();
        let outcome = policy.outcome(parts.status, &parts.headers);
        let mut end = AttemptEnd::without_response(outcome);
        end.read_hints(&parts.headers);
        let body = Streamed::new(connection, body, server, self.clone(), policy.stall_timeout);
        end.response = (outcome != Outcome::Rejected)
            .then(|| ServerResponse::Streamed(Box::new(Response::from_parts(parts, body))));
        Ok(end)
    }

    /// Keeps a connection whose response has been read, if it can carry another request.
    async fn release(&self, server: ServerId, mut connection: Box<ServerConnection>) {
        if connection.is_open() && connection.is_reusable().await {
            self.add_idle(server, connection);
        }
    }

    /// Takes the idle connection that was used last, so that the others can reach their idle timeout.
    async fn take_idle(&self, server: ServerId, address: SocketAddr) -> Option<Box<ServerConnection>> {
        loop {
            let now = Instant::now();
            let idle = {
                let mut idle = self.idle.borrow_mut();
                let connections = idle.get_mut(&server)?;
                let last = connections.len().checked_sub(1)?;
                let ready =
                    connections.iter().rposition(|idle| now - idle.since >= self.limits.min_idle_time);
                connections.remove(ready.unwrap_or(last))
            };
            let idle_time = now - idle.since;
            if idle_time < self.limits.min_idle_time {
                sleep(self.limits.min_idle_time - idle_time).await;
            }
            let mut connection = idle.connection;
            if idle_time < connection.idle_timeout
                && connection.address == address
                && connection.is_reusable().await
            {
                return Some(connection);
            }
        }
    }

    pub(crate) fn add_idle(&self, server: ServerId, connection: Box<ServerConnection>) {
        let idle = IdleConnection { connection, since: Instant::now() };
        let mut all = self.idle.borrow_mut();
        let connections = all.entry(server).or_default();
        if connections.len() >= self.limits.max_idle_per_server {
            // The least recently used one, which would expire first.
            connections.remove(0);
        }
        connections.push(idle);
    }

    async fn connect(&self, address: SocketAddr) -> Result<Box<ServerConnection>, Outcome> {
        if self.open_connections.get() >= self.limits.max_connections && !self.close_oldest() {
            // A shortage of descriptors in this process says nothing about the server.
            return Err(Outcome::NeverSent);
        }
        let open_guard = OpenConnectionGuard::new(&self.open_connections);
        let stream = match timeout(self.limits.connect_timeout, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if out_of_descriptors(&error) => return Err(Outcome::NeverSent),
            Ok(Err(_)) | Err(_) => return Err(Outcome::ConnectFailed),
        };
        // Only an optimization: if the system refuses it, the connection works all the same and the server
        // has not failed.
        let _ = stream.set_nodelay(true);
        let written = Rc::new(Cell::new(0));
        let expects_silence = Rc::new(Cell::new(false));
        let counting = CountingStream {
            stream,
            written: written.clone(),
            expects_silence: expects_silence.clone(),
            _open_guard: open_guard,
        };
        let (sender, driver) = hyper::client::conn::http1::Builder::new()
            .max_buf_size(self.limits.max_buffer_bytes)
            .handshake(TokioIo::new(counting))
            .await
            .map_err(|_| Outcome::ConnectFailed)?;
        let idle_timeout = self.limits.idle_timeout;
        let driver = Some(driver);
        Ok(Box::new(ServerConnection { sender, driver, written, expects_silence, address, idle_timeout }))
    }

    /// Closes the connection that has been idle longest; returns whether there was one.
    fn close_oldest(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle
            .values_mut()
            .filter(|connections| !connections.is_empty())
            .min_by_key(|connections| connections[0].since);
        oldest.map(|connections| connections.remove(0)).is_some()
    }
}

/// Checks that a response belongs to its request and comes from the server.
///
/// A missing or different echo marks a surplus response to an earlier request, or bytes that are not from the server's
/// application. Another process that has the address by now may reject the request without an echo; on a connection that carried
/// no other request it can only mean this one.
fn check_echo(
    policy: &EchoPolicy,
    expected_echo: Option<&HeaderValue>,
    is_reused: bool,
    response: &Response<Incoming>,
) -> Result<(), ExchangeError> {
    let echo = response.headers().get(&policy.echo_header);
    let is_unechoed_rejection =
        !is_reused && response.status() == StatusCode::MISDIRECTED_REQUEST && echo.is_none();
    if echo == expected_echo || is_unechoed_rejection {
        Ok(())
    } else {
        Err(ExchangeError::InvalidResponse)
    }
}

/// Returns the idle timeout of a connection: `limit`, or less if the server announces its own timeout in
/// whole seconds, as in `Keep-Alive: timeout=5`.
fn idle_timeout(headers: &HeaderMap, limit: Duration) -> Duration {
    let header = headers.get("keep-alive").and_then(|value| value.to_str().ok());
    let seconds =
        header.and_then(|text| text.split(',').find_map(|part| part.trim().strip_prefix("timeout=")));
    let Some(timeout) = seconds.and_then(|seconds| seconds.parse().ok()).map(Duration::from_secs) else {
        return limit;
    };
    timeout.saturating_sub(IDLE_TIMEOUT_MARGIN).max(timeout.mul_f64(IDLE_TIMEOUT_RATIO)).min(limit)
}

/// Returns whether an error means that this process or machine has no descriptor left (EMFILE, ENFILE).
pub fn out_of_descriptors(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(23 | 24))
}

#[cfg(test)]
mod tests;
