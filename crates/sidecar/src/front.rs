//! Handles plain HTTP requests of clients, from the request head to the response.

use crate::active_config::{ActiveConfig, Route, SignIn};
use crate::auth_checks::AllowHeaders;
use crate::forward::{to_application, to_client, Origin};
use crate::gossip::Gossip;
use crate::identity::{client_address, customer, duration, is_trusted};
use crate::order_recorder::OrderRecorder;
use crate::pool::BufferedBytes;
use crate::response::{HeldResources, ResponseBody, TextResponse};
use crate::sign_in::{self, strip_sign_in_headers, CheckOutcome, CheckRequest};
use crate::upload::{self, BodyReadError};
use bytes::Bytes;
use hyper::body::{Body as _, Incoming};
use hyper::header::{self, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, Response, StatusCode, Uri, Version};
use ivygate_config::Listener;
use ivygate_forward_auth::{check_time_limit, fold_header_name, Admissions};
use ivygate_gateway::{RejectReason, RequestId};
use ivygate_journal::{Order, State};
use ivygate_routing::{normalize_host, RequestTarget};
use ivygate_runtime::{
    duration_from_millis, single_value, ClientRequest, DisconnectGuard, FinalResponse, FramingError, Head,
    IncomingRequest, OutgoingRequest, RequestBody, RequestHandler, Streamed,
};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

/// `Retry-After` for a client whose request exceeds a pool's limits, in milliseconds.
pub const FULL_RETRY_AFTER_MS: f64 = 1000.0;

/// Maximum number of stored ids of admitted requests, which take about 30 MB.
const MAX_ADMISSIONS: usize = 100_000;
/// Maximum number of processes that a check may pass through.
const MAX_CHAIN_LENGTH: usize = 4;

/// State shared by all listeners.
pub struct Shared {
    /// Configuration in use.
    pub active_config: RefCell<Rc<ActiveConfig>>,
    /// Distinguishes request ids from those of other processes and earlier runs.
    process_nonce: u64,
    next_request: Cell<u64>,
    /// Name of this process in the chain of a check.
    pub instance_id: String,
    /// Request ids admitted in checks of other proxies.
    pub admissions: RefCell<Admissions<AllowHeaders>>,
    /// Recorder of requests that must not run twice, if a journal is configured.
    pub orders: Option<Rc<OrderRecorder>>,
    /// Gossip with other processes, if configured.
    pub gossip: RefCell<Option<Rc<Gossip>>>,
}

impl Shared {
    /// Creates the state with an initial configuration.
    pub fn new(active_config: ActiveConfig, orders: Option<Rc<OrderRecorder>>) -> Rc<Self> {
        let mut instance_id = String::new();
        push_hex(&mut instance_id, fastrand::u64(..));
        Rc::new(Self {
            active_config: RefCell::new(Rc::new(active_config)),
            process_nonce: fastrand::u64(..),
            next_request: Cell::new(0),
            instance_id,
            admissions: RefCell::new(Admissions::new(MAX_ADMISSIONS)),
            orders,
            gossip: RefCell::default(),
        })
    }

    /// Returns a new unique request id.
    pub fn new_request_id(&self) -> RequestId {
        let number = self.next_request.get();
        self.next_request.set(number + 1);
        // Ids ascend, so that the journal stores consecutive orders in the same page.
        let mut id = String::with_capacity(33);
        push_hex(&mut id, number);
        id.push('-');
        push_hex(&mut id, self.process_nonce);
        id.into()
    }
}

/// Appends a number as sixteen hexadecimal digits. `write!` would take a tenth of the time spent on a request here.
fn push_hex(text: &mut String, number: u64) {
    let digit = |place: u32| char::from_digit((number >> (4 * place)) as u32 & 15, 16).unwrap_or('0');
    text.extend((0..16).rev().map(digit));
}

/// Request handler of one listener.
pub struct SidecarFront {
    /// State shared with the other listeners.
    pub shared: Rc<Shared>,
    /// Settings of the listener.
    pub listener: RefCell<Rc<Listener>>,
}

impl SidecarFront {
    /// Creates the handler of a listener.
    pub fn new(shared: Rc<Shared>, listener: Listener) -> Self {
        Self { shared, listener: RefCell::new(Rc::new(listener)) }
    }
}

/// Request with the configuration that it started under.
pub struct RequestContext<'a> {
    pub active_config: &'a ActiveConfig,
    pub listener: &'a Listener,
    pub route: &'a Route,
    pub origin: &'a Origin<'a>,
    pub peer: SocketAddr,
    /// Processes that a check of it has passed through.
    pub chain: &'a str,
}

impl RequestContext<'_> {
    /// Returns the client's address.
    pub fn client(&self, headers: &header::HeaderMap) -> Arc<str> {
        match self.origin.trusted {
            true => client_address(self.peer.ip(), &self.listener.trusted, headers).to_string().into(),
            false => self.origin.peer.into(),
        }
    }

    /// Returns the customer to whom the request is attributed, and its plan.
    pub fn customer_and_plan(
        &self,
        headers: &header::HeaderMap,
    ) -> Result<(Arc<str>, Arc<str>), TextResponse> {
        let identity = &self.active_config.identity;
        let customer = customer(&identity.customer, headers, || self.client(headers)).map_err(bad_request)?;
        let named = match &identity.plan_header {
            // A header set by the sign-in service is trusted regardless of the peer.
            Some(name)
                if self.origin.trusted
                    || self.active_config.sign_in_headers.contains(&fold_header_name(name)) =>
            {
                single_value(headers, name).map_err(bad_request)?
            }
            _ => None,
        };
        let plan = self.active_config.plan(&customer, named);
        Ok((customer, plan))
    }
}

impl SidecarFront {
    /// Returns the time limit of a request, in milliseconds.
    pub(crate) fn wait(
        &self,
        context: &RequestContext<'_>,
        headers: &header::HeaderMap,
    ) -> Result<f64, TextResponse> {
        let stated = match &context.active_config.identity.deadline_header {
            Some(name) if context.origin.trusted => single_value(headers, name).map_err(bad_request)?,
            _ => None,
        };
        let max_wait = context.route.deadline;
        let wait = match stated {
            None => max_wait,
            Some(text) => {
                duration(text).ok_or_else(|| bad_request("the deadline is malformed"))?.min(max_wait)
            }
        };
        Ok(wait.min(context.listener.answer_within))
    }

    /// Checks a request with a sign-in service. Returns the headers to add to the request.
    pub(crate) async fn check_sign_in(
        &self,
        context: &RequestContext<'_>,
        sign_in: &SignIn,
        (method, target): (&Method, &str),
        headers: &header::HeaderMap,
        wait: f64,
        body: Bytes,
    ) -> Result<Vec<(header::HeaderName, HeaderValue)>, EarlyResponse> {
        let route = context.route;
        let request = CheckRequest {
            method,
            target,
            headers,
            origin: context.origin,
            client: context.client(headers),
            chain: context.chain,
            body,
            id: self.shared.new_request_id(),
            route: route.number,
            once: route.once,
            time_limit: check_time_limit(sign_in.settings.within, wait, route.latency_target),
            deadline: route.pool.driver.now().plus_millis(wait).as_millis(),
        };
        let unavailable = StatusCode::SERVICE_UNAVAILABLE;
        Err(match sign_in::check(sign_in, request).await {
            CheckOutcome::Forward(headers) => return Ok(headers),
            CheckOutcome::Relay(response) => EarlyResponse::Relayed(response),
            CheckOutcome::Denied(status, headers, body) => EarlyResponse::Buffered(status, headers, body),
            CheckOutcome::Overloaded(wait) => {
                let text = "the sign-in service has no room for this; nothing was run";
                TextResponse::retry_later(unavailable, text, wait).into()
            }
            CheckOutcome::RateLimited(wait) => {
                let text = "too many checks from here have failed; nothing was run";
                TextResponse::retry_later(StatusCode::TOO_MANY_REQUESTS, text, wait).into()
            }
            CheckOutcome::Unavailable => {
                let text = "the sign-in service gives no answer; nothing was run";
                TextResponse::retry_later(unavailable, text, FULL_RETRY_AFTER_MS).into()
            }
            CheckOutcome::TimedOut => {
                let text = "no answer of the sign-in service in time; nothing was run";
                TextResponse::new(StatusCode::GATEWAY_TIMEOUT, text).into()
            }
        })
    }
}

/// Response or error that ends a request without an application's response.
pub enum EarlyResponse {
    /// Text of the sidecar itself.
    Text(TextResponse),
    /// Streamed response of a sign-in service.
    Relayed(Box<Response<Streamed>>),
    /// Complete response of a sign-in service.
    Buffered(StatusCode, header::HeaderMap, Bytes),
    /// The client's connection failed.
    Disconnected(hyper::Error),
}

impl From<TextResponse> for EarlyResponse {
    fn from(response: TextResponse) -> Self {
        EarlyResponse::Text(response)
    }
}

/// Returns the names of the processes that a check has passed through, this one last.
///
/// # Errors
/// Returns an error response if the check has looped, or passed through too many processes.
pub fn chain(headers: &header::HeaderMap, instance_id: &str) -> Result<String, TextResponse> {
    let mut chain = String::new();
    let values = headers.get_all(sign_in::CHAIN_HEADER).iter().filter_map(|value| value.to_str().ok());
    let previous: Vec<&str> = values.flat_map(|value| value.split(',')).map(str::trim).collect();
    let text = if previous.contains(&instance_id) {
        "this check has come round to the process that asked: its sign-in leads back to itself"
    } else if previous.len() >= MAX_CHAIN_LENGTH {
        "this check has passed through too many sign-in services that ask another"
    } else {
        for instance in previous {
            chain += instance;
            chain += ", ";
        }
        return Ok(chain + instance_id);
    };
    Err(TextResponse::new(StatusCode::LOOP_DETECTED, text))
}

/// Creates the response to an invalid request.
pub fn bad_request(text: impl Into<String>) -> TextResponse {
    TextResponse::new(StatusCode::BAD_REQUEST, text).closing()
}

impl RequestHandler for SidecarFront {
    type Body = ResponseBody;

    async fn respond(&self, incoming: IncomingRequest) -> Result<Response<ResponseBody>, hyper::Error> {
        let active_config = self.shared.active_config.borrow().clone();
        let listener = self.listener.borrow().clone();
        let IncomingRequest { request, peer, peer_ip, framing_error, guard, .. } = incoming;
        // From here on the limits of the request apply, not those of the connection.
        guard.mark_received();
        let mut resources = HeldResources { guard, slot: None, body_bytes: None };
        if let Some(error) = framing_error {
            let status = match error {
                FramingError::HeadTooLong => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
                _ => StatusCode::BAD_REQUEST,
            };
            return Ok(TextResponse::new(status, error.to_string()).closing().into_response(resources));
        }
        let (mut parts, body) = request.into_parts();
        let has_body = !body.is_end_stream();
        let body_malformed = Rc::new(Cell::new(false));
        let processing = async {
            if listener.answers_checks.is_some() {
                let client = (peer, &*peer_ip);
                return self.check(&active_config, &listener, parts, has_body, client, &mut resources).await;
            }
            let (target, host) = destination(&parts)?;
            let route = route(&active_config, &host, &target, &parts.method)?;
            resources.acquire_slot(&route.pool)?;
            // Stripped before they are read, and also on routes without sign-in.
            strip_sign_in_headers(&mut parts.headers, &active_config.sign_in_headers);
            let trusted = is_trusted(&listener.trusted, peer.ip());
            let origin = Origin {
                peer: &peer_ip,
                trusted,
                host: &host,
                protected_headers: &active_config.protected_headers,
            };
            let mut chain = String::new();
            if route.sign_in.is_some() {
                chain = self::chain(&parts.headers, &self.shared.instance_id)?;
            }
            let (active_config, listener) = (&*active_config, &*listener);
            let context =
                RequestContext { active_config, listener, route, origin: &origin, peer, chain: &chain };
            let mut body = IncomingBody::Unread(body);
            let mut check_time = 0.0;
            if let Some(sign_in) = &route.sign_in {
                let wait = self.wait(&context, &parts.headers)?;
                let mut check_body = Bytes::new();
                if let Some(max_bytes) = sign_in.settings.body {
                    let (payload, bytes) = body.read(route, listener, &body_malformed).await?;
                    match payload.buffered_bytes().filter(|whole| whole.len() <= max_bytes) {
                        Some(whole) => check_body = whole,
                        None => {
                            let text = "the body is too long to be checked; nothing was run";
                            return Err(TextResponse::new(StatusCode::PAYLOAD_TOO_LARGE, text)
                                .closing()
                                .into());
                        }
                    }
                    body = IncomingBody::Read(payload, bytes);
                }
                let started_at = route.pool.driver.now();
                let target = target.path_and_query();
                let request_line = (&parts.method, target.as_str());
                let sign_in_headers = self
                    .check_sign_in(&context, sign_in, request_line, &parts.headers, wait, check_body)
                    .await?;
                check_time = route.pool.driver.now().millis_since(started_at);
                for (name, value) in sign_in_headers {
                    parts.headers.append(name, value);
                }
            }
            let (customer, plan) = context.customer_and_plan(&parts.headers)?;
            let wait = (self.wait(&context, &parts.headers)? - check_time).max(0.0);
            let (class, once) = request_class(route, &parts)?;
            let (payload, bytes) = body.read(route, listener, &body_malformed).await?;
            resources.body_bytes = Some(bytes);
            let id = self.shared.new_request_id();
            let is_normalized = parts.uri.authority().is_none() && parts.uri.path() == target.path;
            let uri = if is_normalized {
                parts.uri
            } else {
                Uri::try_from(target.path_and_query()).map_err(|_| bad_request("the target is malformed"))?
            };
            let chunked = has_body && payload.is_streamed() || payload.has_trailers();
            let method = parts.method;
            let headers = to_application(parts.headers, &origin, chunked, &id);
            let keyed = route.unkeyed.is_some() && !once;
            let orders = self.shared.orders.as_ref().filter(|orders| once || keyed && orders.keyed);
            let accepted = match orders {
                None => None,
                Some(orders) => Some(
                    orders.accept(
                        &id,
                        Order {
                            client_id: single_value(&headers, orders.id_header.as_str())
                                .map_err(bad_request)?
                                .map(str::to_owned),
                            keyed,
                            customer: orders.customer(&customer),
                            route: route.name.to_string(),
                            target: target.path_and_query(),
                            accepted_at: route.pool.driver.now().as_millis(),
                            attempts: Vec::new(),
                            end_reason: None,
                        },
                    ),
                ),
            };
            let time_limit = wait + if payload.is_streamed() { route.upload_allowance } else { 0.0 };
            let request = ClientRequest {
                head: Head {
                    id: id.clone(),
                    at_most_once: once,
                    zones: None,
                    max_attempts: None,
                    class,
                    plan,
                    customer,
                    units: route.units,
                    gateways: route.pool.settings.sidecars,
                    timeout: time_limit,
                },
                deadline: route.pool.driver.now().plus_millis(time_limit),
                outgoing: OutgoingRequest {
                    method,
                    uri,
                    headers,
                    body: Rc::new(payload),
                    set_attempt_headers: None,
                },
            };
            let driver = route.pool.driver.clone();
            let Some(answer) = driver.submit(request) else {
                return Err(TextResponse::new(StatusCode::CONFLICT, "a request of this id is open").into());
            };
            // hyper drops this future when the client closes its connection.
            let disconnect_guard = DisconnectGuard::new(driver, id);
            let answer = answer.await.unwrap_or(FinalResponse::Failed);
            disconnect_guard.disarm();
            if let Some(accepted) = &accepted {
                accepted.answered(&answer);
            }
            match accepted.and_then(|accepted| accepted.duplicate_of()) {
                Some(state) => Err(duplicate_response(state).into()),
                None => Ok(answer),
            }
        };
        let answer = processing.await;
        let response = match answer {
            // The server saw a truncated body, so its failure is reported as a malformed request.
            Ok(FinalResponse::Failed | FinalResponse::Refused(..)) if body_malformed.get() => {
                bad_request(FramingError::InvalidChunk.to_string())
            }
            Ok(FinalResponse::Streamed(response)) => return Ok(relay_response(*response, resources)),
            Ok(answer) => gateway_error_response(&answer),
            Err(EarlyResponse::Text(response)) => response,
            Err(EarlyResponse::Relayed(response)) => return Ok(relay_response(*response, resources)),
            Err(EarlyResponse::Buffered(status, headers, body)) => {
                let mut response = Response::new(ResponseBody::buffered(body, resources));
                (*response.status_mut(), *response.headers_mut()) = (status, headers);
                return Ok(response);
            }
            Err(EarlyResponse::Disconnected(error)) => return Err(error),
        };
        Ok(response.into_response(resources))
    }
}

/// Relays a streamed response to the client.
fn relay_response(response: Response<Streamed>, resources: HeldResources) -> Response<ResponseBody> {
    let (mut parts, body) = response.into_parts();
    parts.headers = to_client(parts.headers);
    parts.version = Version::HTTP_11;
    // hyper's extensions describe the connection to the server, not this one.
    parts.extensions.clear();
    Response::from_parts(parts, ResponseBody::streamed(body, resources))
}

/// Request body, before or after it has been read.
enum IncomingBody {
    Unread(Incoming),
    Read(RequestBody, BufferedBytes),
}

impl IncomingBody {
    /// Reads the body, unless it has been read.
    async fn read(
        self,
        route: &Route,
        listener: &Listener,
        body_malformed: &Rc<Cell<bool>>,
    ) -> Result<(RequestBody, BufferedBytes), EarlyResponse> {
        let body = match self {
            IncomingBody::Unread(body) => body,
            IncomingBody::Read(payload, bytes) => return Ok((payload, bytes)),
        };
        upload::read(body, &route.pool, duration_from_millis(listener.body_stall), body_malformed.clone())
            .await
            .map_err(|error| match error {
                BodyReadError::Stalled => {
                    TextResponse::new(StatusCode::REQUEST_TIMEOUT, "the body stood still").closing().into()
                }
                BodyReadError::BufferFull => {
                    let text = "this pool holds as much of bodies as it may; nothing was run";
                    TextResponse::retry_later(StatusCode::SERVICE_UNAVAILABLE, text, FULL_RETRY_AFTER_MS)
                        .closing()
                        .into()
                }
                BodyReadError::Malformed => bad_request(FramingError::InvalidChunk.to_string()).into(),
                BodyReadError::Disconnected(error) => EarlyResponse::Disconnected(error),
            })
    }
}

/// Creates the response to an order whose client id belongs to an earlier one that may have run.
fn duplicate_response(state: State) -> TextResponse {
    let (text, header) = match state {
        State::Answered(status) => {
            ("an order with this id was answered before; nothing was run again", format!("answered {status}"))
        }
        State::Unknown | State::NeverSent => {
            ("an order with this id may have run before; nothing was run again", "unknown".to_owned())
        }
    };
    let response = TextResponse::new(StatusCode::CONFLICT, text);
    match HeaderValue::try_from(header) {
        Ok(header) => response.with_header(header::HeaderName::from_static("ivygate-order"), header),
        Err(_) => response,
    }
}

/// Creates the response for an outcome without an application's response.
pub fn gateway_error_response(answer: &FinalResponse) -> TextResponse {
    match answer {
        FinalResponse::Refused(wait, RejectReason::Quota, _) => TextResponse::retry_later(
            StatusCode::TOO_MANY_REQUESTS,
            "beyond the quota; nothing was run",
            *wait,
        ),
        FinalResponse::Refused(wait, RejectReason::RateLimit, _) => TextResponse::retry_later(
            StatusCode::TOO_MANY_REQUESTS,
            "at the plan's ceiling; nothing was run",
            *wait,
        ),
        FinalResponse::Refused(wait, RejectReason::Overload, _) => {
            let text = "no server has room for this; trying again is harmless";
            TextResponse::retry_later(StatusCode::SERVICE_UNAVAILABLE, text, *wait)
        }
        FinalResponse::TimedOut => {
            TextResponse::new(StatusCode::GATEWAY_TIMEOUT, "no answer in time; it may have run")
        }
        FinalResponse::Failed
        | FinalResponse::Served(..)
        | FinalResponse::Streamed(_)
        | FinalResponse::Buffered(_) => {
            TextResponse::new(StatusCode::BAD_GATEWAY, "the server failed; it may have run")
        }
    }
}

/// Returns the normalized target and host of a request.
pub fn destination(parts: &Parts) -> Result<(RequestTarget, String), TextResponse> {
    if parts.method == Method::CONNECT {
        return Err(TextResponse::new(StatusCode::NOT_IMPLEMENTED, "CONNECT is not offered").closing());
    }
    if parts.headers.contains_key(header::UPGRADE) {
        return Err(TextResponse::new(StatusCode::NOT_IMPLEMENTED, "no other protocol is offered").closing());
    }
    let expectations = parts.headers.get_all(header::EXPECT).iter();
    if expectations.into_iter().any(|value| !value.as_bytes().eq_ignore_ascii_case(b"100-continue")) {
        let text = "nothing but `100-continue` can be expected of this";
        return Err(TextResponse::new(StatusCode::EXPECTATION_FAILED, text).closing());
    }
    let target = match parts.uri.path_and_query() {
        Some(path) if parts.uri.authority().is_none() => RequestTarget::parse(path.as_str()),
        _ => RequestTarget::parse(&parts.uri.to_string()),
    };
    let target = target.map_err(|error| bad_request(error.to_string()))?;
    let mut host_headers = parts.headers.get_all(header::HOST).iter();
    let host = match (host_headers.next(), host_headers.next()) {
        (Some(_), Some(_)) => return Err(bad_request("Host is given twice")),
        (Some(host), None) => {
            let text = host.to_str().map_err(|_| bad_request("the host is malformed"))?;
            Some(normalize_host(text).map_err(|error| bad_request(error.to_string()))?)
        }
        (None, _) if parts.version == Version::HTTP_10 => None,
        (None, _) => return Err(bad_request("Host is missing")),
    };
    let host = match (&target.host, host) {
        (Some(named), Some(host)) if *named != host => {
            return Err(bad_request("the target and Host name different hosts"));
        }
        (named, host) => host.or_else(|| named.clone()).unwrap_or_default(),
    };
    Ok((target, host))
}

fn route<'a>(
    active_config: &'a ActiveConfig,
    host: &str,
    target: &RequestTarget,
    method: &Method,
) -> Result<&'a Route, TextResponse> {
    active_config.route(host, &target.path, method.as_str()).map_err(|others| {
        if others.is_empty() {
            return TextResponse::new(StatusCode::NOT_FOUND, "no route takes this host and path");
        }
        let response = TextResponse::new(StatusCode::METHOD_NOT_ALLOWED, "no route takes this method here");
        match HeaderValue::try_from(others.join(", ")) {
            Ok(allow) => response.with_header(header::ALLOW, allow),
            Err(_) => response,
        }
    })
}

/// Returns the class of a request, and `true` if it must run at most once.
pub fn request_class(route: &Route, parts: &Parts) -> Result<(std::sync::Arc<str>, bool), TextResponse> {
    let Some((unkeyed, key)) = &route.unkeyed else {
        return Ok((route.class.clone(), route.once));
    };
    // Conflicting keys are rejected, since a server may use either.
    Ok(match single_value(&parts.headers, key.as_str()).map_err(bad_request)? {
        None | Some("") => (unkeyed.clone(), true),
        Some(_) => (route.class.clone(), false),
    })
}
