//! The side of the clients: requests read and matched with routes and keys, answers worded.

use crate::answers::{tell, ATTEMPT, DEADLINE, KEY, TENANT, WANTED};
use crate::pools::PLAN;
use crate::proxy::Proxy;
use crate::sight::{both, Holder, Way};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderValue};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Request, Response, StatusCode};
use ivygate_control_state::Effect;
use ivygate_gateway::Millis;
use ivygate_runtime::{
    end_to_end, one, retry_after_value, without_hop_by_hop, Answer, Ask, Asked, Front, Head, Leaving,
    Message, Payload,
};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{timeout, Instant};

/// Longest id of a try.
const ID_MOST: usize = 128;
/// Longest time that a client may say it waits, in milliseconds.
const WAIT_MOST: Millis = 3_600_000.0;
/// A body may take this long to come in.
const BODY_TIME: Duration = Duration::from_secs(30);
/// Bytes of bodies that are held at once.
const HELD_MOST: usize = 96 << 20;
/// What a refused client is told to wait where nothing better is known.
const COMEBACK: Millis = 100.0;
/// And where only another configuration would help.
const HOMELESS: Millis = 30_000.0;
/// And at the least, for the part of a service's requests that were refused of late.
const CROWDED: Millis = 3_000.0;
/// Weight of one request in that part.
const CROWD_WEIGHT: f64 = 0.02;

/// Answers clients.
pub struct WayFront {
    proxy: Rc<Proxy>,
    held: Rc<Cell<usize>>,
    /// The part of requests of late that were refused for want of room, by service.
    crowd: RefCell<HashMap<Arc<str>, f64>>,
}

/// Why a request is not passed on, or its own connection broke.
enum Unfit {
    Words(StatusCode, &'static str, Millis),
    Lost(hyper::Error),
}

fn words(status: StatusCode, what: &'static str) -> Unfit {
    Unfit::Words(status, what, 0.0)
}

impl Front for WayFront {
    type Body = Full<Bytes>;

    async fn answer(&self, asked: Asked) -> Result<Response<Full<Bytes>>, hyper::Error> {
        let Asked { request, begun, turn, flaw, .. } = asked;
        if flaw.is_some() {
            // What lies behind such a head can't be told.
            let mut response = plain(StatusCode::BAD_REQUEST, "the request can be read in two ways", 0.0);
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
            return Ok(response);
        }
        match self.pass(request, begun, || turn.open()).await {
            Ok(response) => Ok(response),
            Err(Unfit::Lost(error)) => Err(error),
            Err(Unfit::Words(status, what, wait)) => {
                let mut response = plain(status, what, wait);
                // A body that was not read to its end may be followed by anything.
                if matches!(status, StatusCode::PAYLOAD_TOO_LARGE | StatusCode::REQUEST_TIMEOUT) {
                    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
                }
                Ok(response)
            }
        }
    }
}

struct Held(Rc<Cell<usize>>, usize);

impl Drop for Held {
    fn drop(&mut self) {
        self.0.set(self.0.get() - self.1);
    }
}

impl WayFront {
    /// A front for this proxy.
    pub fn new(proxy: Rc<Proxy>) -> Self {
        Self { proxy, held: Rc::default(), crowd: RefCell::default() }
    }

    async fn pass(
        &self,
        request: Request<Incoming>,
        begun: Instant,
        whole: impl FnOnce(),
    ) -> Result<Response<Full<Bytes>>, Unfit> {
        let now = self.proxy.now();
        let (parts, body) = request.into_parts();
        let (body, _held) = self.read(body, begun).await?;
        whole();
        let sight = self.proxy.sight();
        if sight.config.routes.is_empty() {
            return Err(Unfit::Words(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet", COMEBACK));
        }
        let host = match parts.uri.host() {
            Some(host) => host,
            None => one(&parts.headers, "host")
                .ok()
                .flatten()
                .ok_or(words(StatusCode::BAD_REQUEST, "Host is missing or repeated"))?,
        };
        let way = sight
            .way(host, parts.uri.path())
            .ok_or(words(StatusCode::NOT_FOUND, "no route is for this"))?
            .clone();
        let holder = self.holder(&sight, &way, &parts.headers)?;
        let read =
            |name: &str| one(&parts.headers, name).map_err(|what| words(StatusCode::BAD_REQUEST, what));
        let id = read(ATTEMPT.as_str())?
            .filter(|id| !id.is_empty() && id.len() <= ID_MOST)
            .ok_or(words(StatusCode::BAD_REQUEST, "Ivygate-Attempt-Id is missing or malformed"))?;
        let told = read(DEADLINE.as_str())?.and_then(|v| v.parse::<f64>().ok());
        let told = told.filter(|ms| ms.is_finite() && *ms >= 0.0).map(|ms| ms.min(WAIT_MOST));
        let wait = told.unwrap_or(f64::INFINITY).min(1000.0 * way.route.timeout_s);
        let zones = both(&way.zones, &holder.as_ref().and_then(|h| h.zones.clone()));
        if zones.as_ref().is_some_and(|zones| zones.is_empty()) {
            // No server may have it while route and tenant stand as they do.
            return Err(Unfit::Words(
                StatusCode::SERVICE_UNAVAILABLE,
                "the route's and the tenant's home regions have none in common",
                HOMELESS,
            ));
        }
        if let Some(holder) = &holder {
            if let Err(wait) = self.proxy.take_quota(holder).await {
                return Err(Unfit::Words(
                    StatusCode::TOO_MANY_REQUESTS,
                    "the tenant is beyond its quota",
                    wait,
                ));
            }
        }
        let service = way.service(fastrand::f64());
        let driver = service.and_then(|service| self.proxy.driver(service));
        let driver = driver.ok_or(Unfit::Words(
            StatusCode::SERVICE_UNAVAILABLE,
            "the service has no server",
            COMEBACK,
        ))?;
        let head = Head {
            id: id.into(),
            class: way.class.clone(),
            plan: PLAN.into(),
            customer: holder.as_ref().map_or_else(|| "".into(), |h| h.name.clone()),
            units: 1.0,
            width: 1,
            wait,
            once: way.route.kind != Effect::Idempotent,
            zones,
            tries: Some(way.route.tries),
        };
        let message = Message {
            headers: onward(&parts, holder.as_deref()),
            method: parts.method,
            uri: parts.uri,
            body: Rc::new(Payload::whole(body)),
            tells: Some(tell),
        };
        let once = head.once;
        let id = head.id.clone();
        let ask = Ask { head, deadline: now + wait, message };
        let Some(answer) = driver.arrive(ask) else {
            return Err(words(StatusCode::CONFLICT, "a request of this id is open"));
        };
        // hyper drops this future when the client closes its connection.
        let leaving = Leaving::new(driver.clone(), id);
        let answer = answer.await.unwrap_or(Answer::Failed);
        leaving.answered();
        if let (Answer::Refused(.., false), Some(holder)) = (&answer, &holder) {
            self.proxy.give_back(holder);
        }
        let refused = matches!(answer, Answer::Refused(..));
        let crowd = service.map_or(0.0, |service| self.crowded(service, refused));
        Ok(worded(answer, CROWDED * crowd, once))
    }

    /// Counts a request of a service; tells the part of those of late that were refused.
    fn crowded(&self, service: &Arc<str>, refused: bool) -> f64 {
        let mut crowd = self.crowd.borrow_mut();
        // Services come and go with the configuration.
        if crowd.len() > 4096 {
            crowd.clear();
        }
        let part = crowd.entry(service.clone()).or_default();
        *part += CROWD_WEIGHT * (f64::from(u8::from(refused)) - *part);
        *part
    }

    fn holder(
        &self,
        sight: &crate::sight::Sight,
        way: &Way,
        headers: &HeaderMap,
    ) -> Result<Option<Rc<Holder>>, Unfit> {
        let unknown = || words(StatusCode::UNAUTHORIZED, "the key is not known");
        if !sight.has_tenants {
            return Ok(None);
        }
        let key = one(headers, KEY.as_str()).map_err(|_| unknown())?;
        match key.and_then(|key| sight.holder(key)) {
            Some(holder) => Ok(Some(holder.clone())),
            None if way.route.public => Ok(None),
            None => Err(unknown()),
        }
    }

    /// Reads a body whole: a request whose body breaks off never reaches a server.
    async fn read(&self, body: Incoming, begun: Instant) -> Result<(Bytes, Held), Unfit> {
        if body.is_end_stream() {
            return Ok((Bytes::new(), Held(self.held.clone(), 0)));
        }
        let most = self.proxy.body_most();
        let size = body.size_hint();
        if size.lower() > most {
            return Err(words(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"));
        }
        let room = HELD_MOST.saturating_sub(self.held.get());
        let most = (most as usize).min(room);
        if size.lower() as usize > most {
            return Err(Unfit::Words(StatusCode::SERVICE_UNAVAILABLE, "too many bodies are held", COMEBACK));
        }
        let left = BODY_TIME.saturating_sub(begun.elapsed());
        match timeout(left, Limited::new(body, most).collect()).await {
            Err(_) => Err(words(StatusCode::REQUEST_TIMEOUT, "the body did not come in time")),
            Ok(Ok(body)) => {
                let body = body.to_bytes();
                self.held.set(self.held.get() + body.len());
                let held = Held(self.held.clone(), body.len());
                Ok((body, held))
            }
            Ok(Err(error)) if error.is::<LengthLimitError>() => {
                Err(words(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"))
            }
            Ok(Err(error)) => match error.downcast::<hyper::Error>() {
                Ok(error) => Err(Unfit::Lost(*error)),
                Err(_) => Err(words(StatusCode::BAD_REQUEST, "the body is malformed")),
            },
        }
    }
}

/// The headers that a server gets: the client's, without its key, with the tenant's name in place of what it said.
fn onward(parts: &Parts, holder: Option<&Holder>) -> HeaderMap {
    let ours = [&ATTEMPT, &DEADLINE, &WANTED, &TENANT, &KEY];
    let mut headers = end_to_end(parts.headers.clone(), |name| ours.contains(&name));
    headers.remove(KEY);
    headers.remove(TENANT);
    headers.remove(WANTED);
    if let Some(holder) = holder {
        if let Ok(name) = HeaderValue::from_str(&holder.name) {
            headers.insert(TENANT, name);
        }
    }
    headers
}

/// Whether a status promises that the request has not run and never will.
fn promises(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}

fn worded(answer: Answer, least: Millis, once: bool) -> Response<Full<Bytes>> {
    match answer {
        // Guards a promise that the server has not made: where it has, its words are not passed on.
        Answer::Whole(answer) if once && promises(answer.status()) => {
            plain(StatusCode::BAD_GATEWAY, "failed; it may have run", 0.0)
        }
        Answer::Whole(answer) => {
            let (mut parts, body) = answer.into_parts();
            parts.headers = without_hop_by_hop(parts.headers);
            // Written anew from the body.
            parts.headers.remove(header::CONTENT_LENGTH);
            Response::from_parts(parts, Full::new(body))
        }
        Answer::Refused(wait, ..) => {
            plain(StatusCode::SERVICE_UNAVAILABLE, "refused; nothing was run", wait.max(COMEBACK).max(least))
        }
        Answer::TimeUp => plain(StatusCode::GATEWAY_TIMEOUT, "no answer in time", 0.0),
        Answer::Failed | Answer::Passed(_) | Answer::Served(..) => {
            plain(StatusCode::BAD_GATEWAY, "failed", 0.0)
        }
    }
}

fn plain(status: StatusCode, what: &'static str, retry_after: Millis) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(what.as_bytes())));
    *response.status_mut() = status;
    if let Some(value) = retry_after_value(retry_after) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}
