//! The clients' side: takes a request through its steps.

use crate::body::{BodyBudget, HeldBody};
use crate::proxy::Proxy;
use crate::request::{forwarded_headers, ParsedRequest};
use crate::response::{close_connection, outcome_response, plain_response, Rejection, RETRY_SOON_MS};
use crate::server_protocol::set_attempt_headers;
use crate::upstream_pools::PLAN;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use ivygate_control_state::RequestKind;
use ivygate_runtime::{
    ClientRequest, DisconnectGuard, Driver, FinalResponse, Head, IncomingRequest, OutgoingRequest,
    RequestBody, RequestHandler,
};
use ivygate_time::{Millis, Timestamp};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use tokio::time::Instant;

/// What a rejected client is told to wait at least, for the part of its service's requests that were rejected of late, in
/// milliseconds.
const CROWDED_RETRY_AFTER_MS: Millis = 3_000.0;
/// Weight of one request in that part.
const REJECTION_WEIGHT: f64 = 0.02;
/// Most services whose rejections are counted; they come and go with the configuration.
const MAX_COUNTED_BACKENDS: usize = 4096;

/// The part of requests that were rejected of late for want of capacity, by service.
#[derive(Default)]
struct RejectionRates {
    rates: RefCell<HashMap<Arc<str>, f64>>,
}

impl RejectionRates {
    /// Counts a request; gives the part of those of late that were rejected.
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

/// A service that was chosen for a request, with its decision module.
struct Target {
    backend: Arc<str>,
    driver: Rc<Driver>,
}

/// Answers clients.
pub(crate) struct ClientFront {
    proxy: Rc<Proxy>,
    bodies: BodyBudget,
    rejections: RejectionRates,
}

impl RequestHandler for ClientFront {
    type Body = Full<Bytes>;

    async fn respond(&self, asked: IncomingRequest) -> Result<Response<Full<Bytes>>, hyper::Error> {
        let IncomingRequest { request, started_at: begun, guard: turn, framing_error: flaw, .. } = asked;
        if flaw.is_some() {
            // Where such a request ends can't be told.
            let mut response =
                plain_response(StatusCode::BAD_REQUEST, "the request can be read in two ways", 0.0);
            close_connection(&mut response);
            return Ok(response);
        }
        match self.handle(request, begun, || turn.mark_received()).await {
            Ok(response) => Ok(response),
            Err(rejection) => rejection.into_response(),
        }
    }
}

impl ClientFront {
    /// The front of a proxy.
    pub fn new(proxy: Rc<Proxy>) -> Self {
        Self { proxy, bodies: BodyBudget::default(), rejections: RejectionRates::default() }
    }

    async fn handle(
        &self,
        request: Request<Incoming>,
        begun: Instant,
        on_complete: impl FnOnce(),
    ) -> Result<Response<Full<Bytes>>, Rejection> {
        let now = self.proxy.now();
        let (parts, body) = request.into_parts();
        let body = self.bodies.read(body, self.proxy.max_body_bytes(), begun).await?;
        on_complete();
        let snapshot = self.proxy.snapshot();
        let request = ParsedRequest::parse(&snapshot, &parts)?;
        self.acquire_quota(&request).await?;
        let target = self.choose_target(&request)?;
        let answer = self.dispatch(&target, &request, parts, &body, now).await?;
        Ok(self.finish(&target, &request, answer))
    }

    /// Takes the request off its tenant's quota.
    async fn acquire_quota(&self, request: &ParsedRequest) -> Result<(), Rejection> {
        let Some(tenant) = &request.tenant else { return Ok(()) };
        self.proxy.quota.acquire(tenant).await.map_err(|retry_after_ms| Rejection::Answered {
            status: StatusCode::TOO_MANY_REQUESTS,
            reason: "the tenant is beyond its quota",
            retry_after_ms,
        })
    }

    fn choose_target(&self, request: &ParsedRequest) -> Result<Target, Rejection> {
        let backend = request.route.choose_backend(fastrand::f64()).cloned();
        let target = backend.and_then(|backend| {
            let driver = self.proxy.driver(&backend)?;
            Some(Target { backend, driver })
        });
        target.ok_or_else(|| Rejection::unavailable("the service has no server", RETRY_SOON_MS))
    }

    /// Hands a request to the decision module of its service, and waits for its final outcome.
    async fn dispatch(
        &self,
        target: &Target,
        request: &ParsedRequest,
        parts: Parts,
        body: &HeldBody,
        now: Timestamp,
    ) -> Result<FinalResponse, Rejection> {
        let head = request_head(request);
        let id = head.id.clone();
        let message = OutgoingRequest {
            headers: forwarded_headers(&parts.headers, request.tenant.as_deref()),
            method: parts.method,
            uri: parts.uri,
            body: Rc::new(RequestBody::buffered(body.bytes.clone())),
            set_attempt_headers: Some(set_attempt_headers),
        };
        let ask = ClientRequest { head, deadline: now.plus_millis(request.wait_ms), outgoing: message };
        let Some(answer) = target.driver.submit(ask) else {
            return Err(Rejection::new(StatusCode::CONFLICT, "a request of this id is open"));
        };
        // hyper drops this future when the client closes its connection: that withdraws the request.
        let leaving = DisconnectGuard::new(target.driver.clone(), id);
        let answer = answer.await.unwrap_or(FinalResponse::Failed);
        leaving.disarm();
        Ok(answer)
    }

    /// Maps the outcome to a response. A request that was sent to no server is given back to its tenant's quota.
    fn finish(
        &self,
        target: &Target,
        request: &ParsedRequest,
        answer: FinalResponse,
    ) -> Response<Full<Bytes>> {
        if let (FinalResponse::Refused(.., false), Some(tenant)) = (&answer, &request.tenant) {
            self.proxy.quota.release(tenant);
        }
        let was_rejected = matches!(answer, FinalResponse::Refused(..));
        let rejection_rate = self.rejections.record(&target.backend, was_rejected);
        outcome_response(answer, CROWDED_RETRY_AFTER_MS * rejection_rate, runs_at_most_once(request))
    }
}

fn runs_at_most_once(request: &ParsedRequest) -> bool {
    request.route.route.kind != RequestKind::Idempotent
}

/// What the decision module is told of a request.
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
