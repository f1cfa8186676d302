//! Client front, which processes a request from its head to the response.

use crate::body::read_body;
use crate::proxy::Proxy;
use crate::request::{forwarded_headers, ParsedRequest};
use crate::response::{
    close_connection, outcome_response, plain_response, ProxyBody, Rejection, ResponseContext, RETRY_SOON_MS,
};
use crate::server_protocol::set_attempt_headers;
use crate::upstream_pools::PLAN;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use ivygate_control_state::RequestKind;
use ivygate_runtime::{
    ClientRequest, DisconnectGuard, Driver, FinalResponse, Head, IncomingRequest, MemoryAccount,
    OutgoingRequest, RequestBody, RequestHandler,
};
use ivygate_time::{Millis, Timestamp};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use tokio::time::Instant;

/// Minimum retry-after time of a rejected client if all recent requests of its service were rejected, in milliseconds.
/// It is scaled with the rejection rate.
const MAX_REJECTION_RETRY_AFTER_MS: Millis = 3_000.0;
/// Weight of one request in the moving average of the rejection rate.
const REJECTION_WEIGHT: f64 = 0.02;
/// Number of services above which all rejection rates are dropped. Services may be removed from the configuration.
const MAX_COUNTED_BACKENDS: usize = 4096;

/// Moving average of the fraction of requests rejected for lack of capacity, by service.
#[derive(Default)]
struct RejectionRates {
    rates: RefCell<HashMap<Arc<str>, f64>>,
}

impl RejectionRates {
    /// Records a request and returns the current rejection rate of its service.
    fn record(&self, backend: &Arc<str>, was_rejected: bool) -> f64 {
        let mut rates = self.rates.borrow_mut();
        if rates.len() > MAX_COUNTED_BACKENDS {
            rates.clear();
        }
        let rate = rates.entry(backend.clone()).or_default();
        *rate += REJECTION_WEIGHT * (f64::from(u8::from(was_rejected)) - *rate);
        *rate
    }
}

/// Service chosen for a request, with the driver of its decision module.
struct Target {
    backend: Arc<str>,
    driver: Rc<Driver>,
}

/// Front that handles client requests.
pub(crate) struct ClientFront {
    proxy: Rc<Proxy>,
    memory: Arc<MemoryAccount>,
    rejections: RejectionRates,
}

impl RequestHandler for ClientFront {
    type Body = ProxyBody;

    async fn respond(&self, incoming: IncomingRequest) -> Result<Response<ProxyBody>, hyper::Error> {
        let IncomingRequest { request, started_at, guard, framing_error, .. } = incoming;
        if framing_error.is_some() {
            // The end of such a request is ambiguous, so the connection cannot be reused.
            let mut response =
                plain_response(StatusCode::BAD_REQUEST, "the request can be read in two ways", 0.0);
            close_connection(&mut response);
            return Ok(response);
        }
        match self.handle(request, started_at, || guard.mark_received()).await {
            Ok(response) => Ok(response),
            Err(rejection) => rejection.into_response(),
        }
    }
}

impl ClientFront {
    /// Creates the client front of a proxy.
    pub fn new(proxy: Rc<Proxy>, memory: Arc<MemoryAccount>) -> Self {
        Self { proxy, memory, rejections: RejectionRates::default() }
    }

    /// Handles one request. `on_complete` is called when its body has been received.
    async fn handle(
        &self,
        request: Request<Incoming>,
        started_at: Instant,
        on_complete: impl FnOnce(),
    ) -> Result<Response<ProxyBody>, Rejection> {
        let now = self.proxy.now();
        let (parts, body) = request.into_parts();
        let version = parts.version;
        let body = read_body(&self.memory, body, self.proxy.max_body_bytes(), started_at).await;
        // The rest of an incompletely read body would be taken for the next request.
        let body = body.map_err(Rejection::closing_connection)?;
        on_complete();
        if !self.proxy.has_valid_state() {
            return Err(Rejection::unavailable("the configuration may be out of date", RETRY_SOON_MS));
        }
        let snapshot = self.proxy.snapshot();
        let request = ParsedRequest::parse(&snapshot, &parts)?;
        self.acquire_quota(&request).await?;
        let target = self.choose_target(&request)?;
        let deadline = now.plus_millis(request.wait_ms);
        let answer = self.dispatch(&target, &request, parts, body, deadline).await?;
        let min_retry_after_ms = self.record_outcome(&target, &request, &answer);
        let context = ResponseContext {
            deadline: self.proxy.instant(deadline),
            version,
            runs_at_most_once: runs_at_most_once(&request),
            min_retry_after_ms,
        };
        Ok(outcome_response(answer, &context))
    }

    /// Acquires one request from the tenant's quota.
    async fn acquire_quota(&self, request: &ParsedRequest) -> Result<(), Rejection> {
        let Some(tenant) = &request.tenant else { return Ok(()) };
        self.proxy.quota.acquire(tenant).await.map_err(|retry_after_ms| {
            let status = StatusCode::TOO_MANY_REQUESTS;
            Rejection::retry_later(status, "the tenant is beyond its quota", retry_after_ms)
        })
    }

    /// Chooses a service for a request according to the weights of its route.
    fn choose_target(&self, request: &ParsedRequest) -> Result<Target, Rejection> {
        let backend = request.route.choose_backend(fastrand::f64()).cloned();
        let target = backend.and_then(|backend| {
            let driver = self.proxy.driver(&backend)?;
            Some(Target { backend, driver })
        });
        target.ok_or_else(|| Rejection::unavailable("the service has no server", RETRY_SOON_MS))
    }

    /// Passes a request to the decision module of its service and waits for its final outcome.
    async fn dispatch(
        &self,
        target: &Target,
        request: &ParsedRequest,
        parts: Parts,
        body: Bytes,
        deadline: Timestamp,
    ) -> Result<FinalResponse, Rejection> {
        let head = request_head(request);
        let id = head.id.clone();
        let message = OutgoingRequest {
            headers: forwarded_headers(&parts.headers, request.tenant.as_deref()),
            method: parts.method,
            uri: parts.uri,
            body: Rc::new(RequestBody::buffered(body)),
            set_attempt_headers: Some(set_attempt_headers),
        };
        let client_request = ClientRequest { head, deadline, outgoing: message };
        let Some(answer) = target.driver.submit(client_request) else {
            return Err(Rejection::new(StatusCode::CONFLICT, "a request of this id is open"));
        };
        // hyper drops this future when the client closes its connection. Dropping `disconnect_guard` then cancels the request.
        let disconnect_guard = DisconnectGuard::new(target.driver.clone(), id);
        let answer = answer.await.unwrap_or(FinalResponse::Failed);
        disconnect_guard.disarm();
        Ok(answer)
    }

    /// Records the outcome and returns the minimum retry-after time of a rejection, in milliseconds. A request that was not
    /// sent to any server is returned to its tenant's quota.
    fn record_outcome(&self, target: &Target, request: &ParsedRequest, answer: &FinalResponse) -> Millis {
        if let (FinalResponse::Refused(.., false), Some(tenant)) = (answer, &request.tenant) {
            self.proxy.quota.release(tenant);
        }
        let was_rejected = matches!(answer, FinalResponse::Refused(..));
        MAX_REJECTION_RETRY_AFTER_MS * self.rejections.record(&target.backend, was_rejected)
    }
}

/// Returns whether a request must not be executed more than once.
fn runs_at_most_once(request: &ParsedRequest) -> bool {
    request.route.route.kind != RequestKind::Idempotent
}

/// Creates the description of a request for the decision module.
fn request_head(request: &ParsedRequest) -> Head {
    Head {
        id: request.attempt_id.as_str().into(),
        class: request.route.class.clone(),
        plan: PLAN.into(),
        customer: request.tenant.as_ref().map_or_else(|| "".into(), |tenant| tenant.name.clone()),
        units: 1.0,
        gateways: 1,
        timeout: request.wait_ms,
        at_most_once: runs_at_most_once(request),
        zones: request.zones.clone(),
        max_attempts: Some(request.route.route.tries),
    }
}
