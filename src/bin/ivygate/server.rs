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
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::{interval, sleep, timeout, Instant};

/// Most that hyper holds of a connection's input at once; more than any request's head needs.
const BUFFER: usize = 16 << 10;
/// A connection without a whole request for this long is closed, also one with half a request on it.
const IDLE: Duration = Duration::from_secs(60);
/// Time in which a connection that is to close may write what it still has.
const CLOSING: Duration = Duration::from_secs(1);
/// Pause after an accept failed: what it lacks, descriptors or memory, does not come back at once.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// After the signal to end, idle connections are kept this long: clients go on using what stays open, and
/// new connections come for up to 0.4 s.
const WIND_UP_IDLE: Duration = Duration::from_millis(500);
/// And new ones are taken for this much longer, for requests that crossed the end of an idle one.
const WIND_UP_ACCEPT: Duration = Duration::from_millis(150);
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

/// What is known of a client's connection.
struct Client {
    /// A request is being read or served.
    busy: Cell<bool>,
    /// A request has been answered.
    served: Cell<bool>,
    /// Since when it is, or is not.
    since: Cell<Instant>,
    /// It is to close as soon as nothing is under way on it.
    close: Notify,
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
        let mut look = interval(Duration::from_secs(1));
        loop {
            // Guards the descriptors: at the bound the client longest idle makes room, or the next waits in
            // the kernel's queue until one ends.
            if self.clients.borrow().len() >= self.most {
                self.close_longest_idle();
                tokio::select! {
                    () = self.freed.notified() => continue,
                    () = self.stop.notified() => break,
                }
            }
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => self.take(stream),
                    // Guards against spinning while the process has no descriptor left.
                    Err(_) => sleep(ACCEPT_PAUSE).await,
                },
                _ = look.tick() => self.close_idle(IDLE),
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

    fn close_longest_idle(&self) {
        let clients = self.clients.borrow();
        if let Some(client) = clients.values().filter(|c| !c.busy.get()).min_by_key(|c| c.since.get()) {
            client.close.notify_one();
        }
    }

    fn close_idle(&self, least: Duration) {
        let clients = self.clients.borrow();
        for client in clients.values().filter(|c| !c.busy.get() && c.since.get().elapsed() >= least) {
            client.close.notify_one();
        }
    }

    fn take(self: &Rc<Self>, stream: TcpStream) {
        let number = self.next.get();
        self.next.set(number + 1);
        let client = Rc::new(Client {
            busy: Cell::new(false),
            served: Cell::new(false),
            since: Cell::new(Instant::now()),
            close: Notify::new(),
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
            let (server, busy) = (self.clone(), Busy::begin(&client));
            async move {
                let _busy = busy;
                server.answer(request).await
            }
        });
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
            // Guards the descriptors against clients that connect and send nothing, or never the rest:
            // there is no answer that could still be on its way to them.
            if !client.busy.get() && !client.served.get() {
                return;
            }
            connection.as_mut().graceful_shutdown();
            if timeout(CLOSING, connection.as_mut()).await.is_ok() || !client.busy.get() {
                return;
            }
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, hyper::Error> {
        let (mut response, stays) = if request.uri().path() == "/up" {
            (self.up(&request), true)
        } else {
            match self.read(request).await {
                Ok(ask) => match self.ask(ask).await {
                    Some(response) => (response, true),
                    None => (plain(StatusCode::CONFLICT, "a request of this id is open"), false),
                },
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

    /// Reads a whole request.
    async fn read(&self, request: Request<Incoming>) -> Result<Ask, Unfit> {
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
        let body = if body.is_end_stream() { Bytes::new() } else { read_body(body, head.wait).await? };
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

/// Reads a body that is still coming in, no longer than its client will wait.
async fn read_body(body: Incoming, wait: Millis) -> Result<Bytes, Unfit> {
    let too_large = || Unfit::Answer(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
    if body.size_hint().lower() > BODY_MOST as u64 {
        return Err(too_large());
    }
    match timeout(millis(wait), Limited::new(body, BODY_MOST).collect()).await {
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
        std::task::Poll::Ready(value) => std::task::Poll::Ready(Some(value)),
        std::task::Poll::Pending => std::task::Poll::Ready(None),
    })
    .await
}

/// Marks a connection as busy for as long as it lives.
struct Busy(Rc<Client>);

impl Busy {
    fn begin(client: &Rc<Client>) -> Self {
        client.busy.set(true);
        client.since.set(Instant::now());
        Self(client.clone())
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.busy.set(false);
        self.0.served.set(true);
        self.0.since.set(Instant::now());
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
