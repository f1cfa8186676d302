//! Checks requests with a sign-in service before they are forwarded.

use crate::active_config::{SignIn, CHECKS};
use crate::check_cache::CachedAnswer;
use crate::forward::{to_client, Origin};
use crate::front::FULL_RETRY_AFTER_MS;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Response, StatusCode, Uri};
use ivygate_forward_auth::{
    cache_lifetime, fold_header_name, AuthCheck, CheckAction, CheckEvent, FailurePolicy, Verdict,
};
use ivygate_gateway::{RejectReason, RequestId};
use ivygate_runtime::{
    duration_from_millis, ClientRequest, DisconnectGuard, FinalResponse, Head, OutgoingRequest, RequestBody,
    Streamed,
};
use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;
use tokio::time::timeout;

/// Maximum size of a response body that is read from a sign-in service. Even unused bodies are read, so that the
/// connection can be reused.
const MAX_BODY_BYTES: usize = 64 << 10;

/// Header with the processes that a check has passed through, to detect loops.
pub const CHAIN_HEADER: &str = "ivygate-checks";

/// Request to be checked.
pub struct CheckRequest<'a> {
    /// Method of the request.
    pub method: &'a Method,
    /// Normalized path and query.
    pub target: &'a str,
    /// Headers of the request.
    pub headers: &'a HeaderMap,
    /// Origin of the request.
    pub origin: &'a Origin<'a>,
    /// Address of the client.
    pub client: Arc<str>,
    /// Processes that this check has passed through, this one last.
    pub chain: &'a str,
    /// Body of the request, if the service requires it.
    pub body: Bytes,
    /// Id of the check.
    pub id: RequestId,
    /// Index of the route.
    pub route: usize,
    /// Set if the request must not run twice.
    pub once: bool,
    /// Time limit of the check, in milliseconds.
    pub time_limit: f64,
    /// Deadline of the request itself, in milliseconds of the pool's clock.
    pub deadline: f64,
}

/// Outcome of a check.
pub enum CheckOutcome {
    /// The request is forwarded with these headers added.
    Forward(Vec<(HeaderName, HeaderValue)>),
    /// The service's response is streamed to the client.
    Relay(Box<Response<Streamed>>),
    /// The request is denied with this complete response.
    Denied(StatusCode, HeaderMap, Bytes),
    /// The service has no capacity; the client should retry after this time, in milliseconds.
    Overloaded(f64),
    /// Too many checks have failed for this client; it should retry after this time, in milliseconds.
    RateLimited(f64),
    /// The service gave no usable answer.
    Unavailable,
    /// The request's deadline has passed.
    TimedOut,
}

/// Removes the headers that only sign-in services may set, in every spelling that a server might accept.
pub fn strip_sign_in_headers(headers: &mut HeaderMap, sign_in_headers: &HashSet<String>) {
    if sign_in_headers.is_empty() {
        return;
    }
    let spoofed: Vec<HeaderName> = headers
        .keys()
        .filter(|name| sign_in_headers.contains(&fold_header_name(name.as_str())))
        .cloned()
        .collect();
    for name in spoofed {
        headers.remove(name);
    }
}

/// Checks a request, using a cached answer if possible. Dropping the future cancels the check.
pub async fn check(sign_in: &SignIn, request: CheckRequest<'_>) -> CheckOutcome {
    let settings = &sign_in.settings;
    let uses_cache = settings.cache_yes > 0.0 || settings.cache_no > 0.0;
    if !uses_cache || (request.once && !settings.cache_unsafe) {
        return check_with_limits(sign_in, &request, request.time_limit).await.0;
    }
    let driver = &sign_in.pool.driver;
    let started_at = driver.now();
    let key = sign_in.check_cache.key(request.route, &settings.request_headers, request.headers);
    let lookup = sign_in.check_cache.lookup(|| driver.now().as_millis(), key);
    let pending = match timeout(duration_from_millis(request.time_limit), lookup).await {
        Ok(Ok(CachedAnswer::Allowed(headers))) => return CheckOutcome::Forward(headers),
        Ok(Ok(CachedAnswer::Denied(status, headers, body))) => {
            return CheckOutcome::Denied(status, headers, body)
        }
        Ok(Err(pending)) => pending,
        // The caller that sent the check has not received an answer either.
        Err(_) => return unanswered_outcome(settings, driver.now().as_millis(), request.deadline),
    };
    let remaining = (request.time_limit - (driver.now().millis_since(started_at))).max(0.0);
    let (outcome, lifetime) = check_with_limits(sign_in, &request, remaining).await;
    let cached = match &outcome {
        CheckOutcome::Forward(headers) => Some(CachedAnswer::Allowed(headers.clone())),
        CheckOutcome::Denied(status, headers, body) => {
            Some(CachedAnswer::Denied(*status, headers.clone(), body.clone()))
        }
        _ => None,
    };
    pending.complete(driver.now().as_millis(), cached.map(|answer| (answer, lifetime)));
    outcome
}

fn auth_check(settings: &ivygate_config::SignIn, deadline: f64) -> AuthCheck {
    AuthCheck::new(if settings.fail_open { FailurePolicy::Open } else { FailurePolicy::Closed }, deadline)
}

fn unanswered_outcome(settings: &ivygate_config::SignIn, now: f64, deadline: f64) -> CheckOutcome {
    match auth_check(settings, deadline).handle(now, CheckEvent::NoAnswer) {
        CheckAction::Forward { .. } => CheckOutcome::Forward(Vec::new()),
        CheckAction::TimedOut => CheckOutcome::TimedOut,
        _ => CheckOutcome::Unavailable,
    }
}

/// Sends the check, unless too many have failed for this client. A client that disconnects before the answer is not
/// refunded; otherwise it could bypass the limits by disconnecting.
async fn check_with_limits(
    sign_in: &SignIn,
    request: &CheckRequest<'_>,
    time_limit: f64,
) -> (CheckOutcome, f64) {
    let (settings, driver) = (&sign_in.settings, &sign_in.pool.driver);
    let credential = sign_in.check_cache.credential(&settings.request_headers, request.headers);
    let charge =
        match sign_in.failure_limits.charge(driver.now().as_millis(), request.client.clone(), credential) {
            Ok(charge) => charge,
            Err(wait) => {
                let action = auth_check(settings, request.deadline)
                    .handle(driver.now().as_millis(), CheckEvent::RateLimited);
                let outcome = if action == CheckAction::RateLimited {
                    CheckOutcome::RateLimited(wait)
                } else {
                    CheckOutcome::TimedOut
                };
                return (outcome, 0.0);
            }
        };
    let (outcome, lifetime) = send_check(sign_in, request, time_limit).await;
    // Neither a failure of the service nor a redirection to its login page indicates invalid credentials.
    let status = match &outcome {
        CheckOutcome::Relay(response) => response.status(),
        CheckOutcome::Denied(status, ..) => *status,
        _ => StatusCode::OK,
    };
    if !matches!(status, StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN) {
        sign_in.failure_limits.refund(driver.now().as_millis(), &charge);
    }
    (outcome, lifetime)
}

/// Sends the check and interprets the answer. Also returns how long the answer may be cached, in milliseconds.
async fn send_check(sign_in: &SignIn, request: &CheckRequest<'_>, time_limit: f64) -> (CheckOutcome, f64) {
    let settings = &sign_in.settings;
    let driver = &sign_in.pool.driver;
    let mut check = auth_check(settings, request.deadline);
    let sent_at = driver.now();
    let (answer, wait) = send(sign_in, request, time_limit).await;
    let mut denied = None;
    let mut headers = Vec::new();
    let mut lifetime = 0.0;
    let event = match answer {
        FinalResponse::Streamed(response) => {
            let mut verdict = Verdict::from_status(response.status().as_u16());
            let remaining = time_limit - (driver.now().millis_since(sent_at));
            let cache_control =
                response.headers().get(header::CACHE_CONTROL).map(|v| v.to_str().unwrap_or("no-store"));
            // A cookie belongs to a single client, even if the checks were identical.
            let sets_cookie = response.headers().contains_key(header::SET_COOKIE);
            let configured = if verdict == Verdict::Allowed { settings.cache_yes } else { settings.cache_no };
            lifetime = if sets_cookie { 0.0 } else { cache_lifetime(configured, cache_control) };
            if verdict == Verdict::Allowed {
                let (parts, body) = response.into_parts();
                // An incomplete allow response cannot be relied on.
                if read_body(body, remaining).await.is_none() {
                    verdict = Verdict::Unusable;
                }
                for name in &settings.answer_headers {
                    let Ok(name) = HeaderName::try_from(name) else { continue };
                    headers.extend(parts.headers.get_all(&name).iter().map(|v| (name.clone(), v.clone())));
                }
            } else if verdict == Verdict::Denied && lifetime > 0.0 {
                let (parts, body) = response.into_parts();
                match read_body(body, remaining).await {
                    Some(body) => {
                        denied = Some(CheckOutcome::Denied(parts.status, to_client(parts.headers), body));
                    }
                    None => verdict = Verdict::Unusable,
                }
            } else {
                let mut response = response;
                *response.headers_mut() = to_client(std::mem::take(response.headers_mut()));
                denied = Some(CheckOutcome::Relay(response));
            }
            CheckEvent::Answered(verdict)
        }
        FinalResponse::Refused(_, _, false) => CheckEvent::Rejected,
        // The check was sent, and no further attempt is possible.
        FinalResponse::Refused(_, _, true)
        | FinalResponse::Served(..)
        | FinalResponse::Buffered(_)
        | FinalResponse::Failed
        | FinalResponse::TimedOut => CheckEvent::NoAnswer,
    };
    let outcome = match (check.handle(driver.now().as_millis(), event), denied) {
        (CheckAction::Forward { checked: true }, _) => CheckOutcome::Forward(headers),
        (CheckAction::Forward { checked: false }, _) => {
            // The service has not decided, so there is nothing to cache.
            lifetime = 0.0;
            CheckOutcome::Forward(Vec::new())
        }
        (CheckAction::Relay, Some(denied)) => denied,
        (CheckAction::Overloaded | CheckAction::RateLimited, _) => CheckOutcome::Overloaded(wait),
        (CheckAction::TimedOut, _) => CheckOutcome::TimedOut,
        (CheckAction::Unavailable | CheckAction::Ignore | CheckAction::Relay, _) => CheckOutcome::Unavailable,
    };
    (outcome, lifetime)
}

/// Sends the check to the service's pool. Also returns the retry delay in milliseconds if the pool rejects it.
async fn send(sign_in: &SignIn, request: &CheckRequest<'_>, time_limit: f64) -> (FinalResponse, f64) {
    let settings = &sign_in.settings;
    let Ok(uri) = Uri::try_from(&settings.path) else { return (FinalResponse::Failed, 0.0) };
    // A check occupies a request slot of its pool like any other request.
    let Some(_slot) = sign_in.pool.acquire_slot() else {
        return (
            FinalResponse::Refused(FULL_RETRY_AFTER_MS, RejectReason::Overload, false),
            FULL_RETRY_AFTER_MS,
        );
    };
    let client_request = ClientRequest {
        head: Head {
            id: request.id.clone(),
            class: sign_in.class.clone(),
            plan: CHECKS.into(),
            customer: request.client.clone(),
            units: 1.0,
            gateways: sign_in.pool.settings.sidecars,
            timeout: time_limit,
            at_most_once: false,
            zones: None,
            max_attempts: None,
        },
        deadline: sign_in.pool.driver.now().plus_millis(time_limit),
        outgoing: OutgoingRequest {
            method: if settings.body.is_some() { Method::POST } else { Method::GET },
            uri,
            headers: check_headers(settings, request),
            body: Rc::new(RequestBody::buffered(request.body.clone())),
            set_attempt_headers: None,
        },
    };
    let driver = sign_in.pool.driver.clone();
    let Some(answer) = driver.submit(client_request) else { return (FinalResponse::Failed, 0.0) };
    let disconnect_guard = DisconnectGuard::new(driver, request.id.clone());
    let answer = answer.await.unwrap_or(FinalResponse::Failed);
    disconnect_guard.disarm();
    let wait = if let FinalResponse::Refused(wait, ..) = &answer { *wait } else { 0.0 };
    (answer, wait)
}

fn check_headers(settings: &ivygate_config::SignIn, request: &CheckRequest) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for name in &settings.request_headers {
        let Ok(name) = HeaderName::try_from(name) else { continue };
        for value in request.headers.get_all(&name) {
            headers.append(name.clone(), value.clone());
        }
    }
    if let Some(content_type) = request.headers.get(header::CONTENT_TYPE).filter(|_| settings.body.is_some())
    {
        headers.insert(header::CONTENT_TYPE, content_type.clone());
    }
    let from_trusted = |name: &str| request.headers.get(name).filter(|_| request.origin.trusted).cloned();
    let proto = from_trusted("x-forwarded-proto").unwrap_or(HeaderValue::from_static("http"));
    headers.insert("x-forwarded-proto", proto);
    for (name, value) in [
        ("x-forwarded-method", request.method.as_str()),
        ("x-forwarded-uri", request.target),
        ("x-forwarded-host", request.origin.host),
        ("x-forwarded-for", &request.client),
        (CHAIN_HEADER, request.chain),
    ] {
        // Values read from a request are valid in another one.
        if let Ok(value) = HeaderValue::try_from(value) {
            headers.insert(HeaderName::from_static(name), value);
        }
    }
    if let Ok(host) = HeaderValue::try_from(request.origin.host) {
        headers.insert(header::HOST, host);
    }
    headers
}

/// Reads a body to its end; `None` if it is incomplete, too long, or late.
async fn read_body(mut body: Streamed, time_limit: f64) -> Option<Bytes> {
    let read_all = async {
        let mut collected = BytesMut::new();
        while let Some(frame) = body.frame().await {
            if let Ok(data) = frame.ok()?.into_data() {
                collected.extend_from_slice(&data);
            }
            if collected.len() > MAX_BODY_BYTES {
                return None;
            }
        }
        Some(collected.freeze())
    };
    timeout(duration_from_millis(time_limit), read_all).await.ok().flatten()
}
