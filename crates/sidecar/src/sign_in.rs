//! Asks a sign-in service whether a request may go on.

use crate::forward::{to_client, Origin};
use crate::front::FULL_RETRY_AFTER;
use crate::remembered::Remember;
use crate::site::{SignIn, CHECKS};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Response, StatusCode, Uri};
use ivygate_forward_auth::{folded, lifetime, Gate, Input, OnFailure, Said, Step};
use ivygate_gateway::{RejectReason, RequestId};
use ivygate_runtime::{
    duration_from_millis, ClientRequest, DisconnectGuard, FinalResponse, Head, OutgoingRequest, RequestBody,
    Streamed,
};
use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;
use tokio::time::timeout;

/// Most of a yes's body that is read, so that its connection can be used again.
const BODY_MOST: usize = 64 << 10;

/// Names the processes that a check has passed through, so that none asks itself.
pub const CHAIN: &str = "ivygate-checks";

/// What is asked about.
pub struct Question<'a> {
    /// The request's method.
    pub method: &'a Method,
    /// Its path and query, in normal form.
    pub target: &'a str,
    /// Its headers.
    pub headers: &'a HeaderMap,
    /// Where it came from.
    pub origin: &'a Origin<'a>,
    /// The client's address.
    pub client: Arc<str>,
    /// The processes that this check has passed through, this one last.
    pub chain: &'a str,
    /// The body that goes with it, where the service wants one.
    pub body: Bytes,
    /// The check's id.
    pub id: RequestId,
    /// The number of its route.
    pub route: usize,
    /// Whether the request must not run twice.
    pub once: bool,
    /// How long the check may take, in milliseconds.
    pub time: f64,
    /// When the request's own time is up, in milliseconds of the pool's clock.
    pub deadline: f64,
}

/// What comes of a check.
pub enum Outcome {
    /// The request goes on, with these headers set.
    GoOn(Vec<(HeaderName, HeaderValue)>),
    /// The service's answer is the client's.
    PassOn(Box<Response<Streamed>>),
    /// And so is this one, which is here as a whole.
    No(StatusCode, HeaderMap, Bytes),
    /// The service has no room; the client should stay away this long, in milliseconds.
    Refused(f64),
    /// Too many checks failed for this client; it should stay away this long, in milliseconds.
    Limited(f64),
    /// The service gives no usable answer.
    Unavailable,
    /// The request's time is up.
    TimeUp,
}

/// Removes what only sign-in services say, in every spelling that a server might take for it.
pub fn strip(headers: &mut HeaderMap, vouched: &HashSet<String>) {
    if vouched.is_empty() {
        return;
    }
    let spoofed: Vec<HeaderName> =
        headers.keys().filter(|name| vouched.contains(&folded(name.as_str()))).cloned().collect();
    for name in spoofed {
        headers.remove(name);
    }
}

/// Asks, or remembers, and waits for the answer. Dropping the future ends the check.
pub async fn ask(sign_in: &SignIn, question: Question<'_>) -> Outcome {
    let settings = &sign_in.settings;
    let remembers = settings.cache_yes > 0.0 || settings.cache_no > 0.0;
    if !remembers || (question.once && !settings.cache_unsafe) {
        return ask_limited(sign_in, &question, question.time).await.0;
    }
    let driver = &sign_in.pool.driver;
    let begun = driver.now();
    let key = sign_in.remembered.key(question.route, &settings.request_headers, question.headers);
    let looking = sign_in.remembered.look(|| driver.now().as_millis(), key);
    let asking = match timeout(duration_from_millis(question.time), looking).await {
        Ok(Ok(Remember::Yes(headers))) => return Outcome::GoOn(headers),
        Ok(Ok(Remember::No(status, headers, body))) => return Outcome::No(status, headers, body),
        Ok(Err(asking)) => asking,
        // Whoever asks gets no answer either.
        Err(_) => return unanswered(settings, driver.now().as_millis(), question.deadline),
    };
    let left = (question.time - (driver.now().millis_since(begun))).max(0.0);
    let (outcome, lifetime) = ask_limited(sign_in, &question, left).await;
    let remember = match &outcome {
        Outcome::GoOn(headers) => Some(Remember::Yes(headers.clone())),
        Outcome::No(status, headers, body) => Some(Remember::No(*status, headers.clone(), body.clone())),
        _ => None,
    };
    asking.done(driver.now().as_millis(), remember.map(|answer| (answer, lifetime)));
    outcome
}

fn gate(settings: &ivygate_config::SignIn, deadline: f64) -> Gate {
    Gate::new(if settings.fail_open { OnFailure::Open } else { OnFailure::Closed }, deadline)
}

fn unanswered(settings: &ivygate_config::SignIn, now: f64, deadline: f64) -> Outcome {
    match gate(settings, deadline).handle(now, Input::Unanswered) {
        Step::GoOn { .. } => Outcome::GoOn(Vec::new()),
        Step::TimeUp => Outcome::TimeUp,
        _ => Outcome::Unavailable,
    }
}

/// Asks, unless too many checks have failed for this client. A client that leaves before its answer has spent what the
/// check took: else a flood would only have to hang up.
async fn ask_limited(sign_in: &SignIn, question: &Question<'_>, time: f64) -> (Outcome, f64) {
    let (settings, driver) = (&sign_in.settings, &sign_in.pool.driver);
    let credential = sign_in.remembered.credential(&settings.request_headers, question.headers);
    let taken = match sign_in.floods.take(driver.now().as_millis(), question.client.clone(), credential) {
        Ok(taken) => taken,
        Err(wait) => {
            let step = gate(settings, question.deadline).handle(driver.now().as_millis(), Input::Limited);
            let outcome = if step == Step::Limit { Outcome::Limited(wait) } else { Outcome::TimeUp };
            return (outcome, 0.0);
        }
    };
    let (outcome, good) = ask_now(sign_in, question, time).await;
    // Neither a service that fails nor one that sends visitors to its door tells of a bad pass.
    let status = match &outcome {
        Outcome::PassOn(response) => response.status(),
        Outcome::No(status, ..) => *status,
        _ => StatusCode::OK,
    };
    if !matches!(status, StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN) {
        sign_in.floods.give_back(driver.now().as_millis(), &taken);
    }
    (outcome, good)
}

/// Asks. The second part is how long the answer may be remembered.
async fn ask_now(sign_in: &SignIn, question: &Question<'_>, time: f64) -> (Outcome, f64) {
    let settings = &sign_in.settings;
    let driver = &sign_in.pool.driver;
    let mut gate = gate(settings, question.deadline);
    let asked = driver.now();
    let (answer, wait) = answer(sign_in, question, time).await;
    let mut no = None;
    let mut headers = Vec::new();
    let mut good = 0.0;
    let input = match answer {
        FinalResponse::Streamed(response) => {
            let mut meaning = Said::of(response.status().as_u16());
            let left = time - (driver.now().millis_since(asked));
            let told =
                response.headers().get(header::CACHE_CONTROL).map(|v| v.to_str().unwrap_or("no-store"));
            // A cookie is one client's, however equal the questions were.
            let own = response.headers().contains_key(header::SET_COOKIE);
            let configured = if meaning == Said::Yes { settings.cache_yes } else { settings.cache_no };
            good = if own { 0.0 } else { lifetime(configured, told) };
            if meaning == Said::Yes {
                let (parts, body) = response.into_parts();
                // A yes that breaks off may be half of something else.
                if read_out(body, left).await.is_none() {
                    meaning = Said::Unusable;
                }
                for name in &settings.answer_headers {
                    let Ok(name) = HeaderName::try_from(name) else { continue };
                    headers.extend(parts.headers.get_all(&name).iter().map(|v| (name.clone(), v.clone())));
                }
            } else if meaning == Said::No && good > 0.0 {
                let (parts, body) = response.into_parts();
                match read_out(body, left).await {
                    Some(body) => no = Some(Outcome::No(parts.status, to_client(parts.headers), body)),
                    None => meaning = Said::Unusable,
                }
            } else {
                let mut response = response;
                *response.headers_mut() = to_client(std::mem::take(response.headers_mut()));
                no = Some(Outcome::PassOn(response));
            }
            Input::Said(meaning)
        }
        FinalResponse::Refused(_, _, false) => Input::Refused,
        // It was asked, and there is nobody left to ask again.
        FinalResponse::Refused(_, _, true)
        | FinalResponse::Served(..)
        | FinalResponse::Buffered(_)
        | FinalResponse::Failed
        | FinalResponse::TimedOut => Input::Unanswered,
    };
    let outcome = match (gate.handle(driver.now().as_millis(), input), no) {
        (Step::GoOn { checked: true }, _) => Outcome::GoOn(headers),
        (Step::GoOn { checked: false }, _) => {
            // Nobody said so, so there is nothing to remember.
            good = 0.0;
            Outcome::GoOn(Vec::new())
        }
        (Step::PassOn, Some(no)) => no,
        (Step::Refuse | Step::Limit, _) => Outcome::Refused(wait),
        (Step::TimeUp, _) => Outcome::TimeUp,
        (Step::Unavailable | Step::Nothing | Step::PassOn, _) => Outcome::Unavailable,
    };
    (outcome, good)
}

/// The answer of the service's pool, and how long to stay away if it refuses.
async fn answer(sign_in: &SignIn, question: &Question<'_>, time: f64) -> (FinalResponse, f64) {
    let settings = &sign_in.settings;
    let Ok(uri) = Uri::try_from(&settings.path) else { return (FinalResponse::Failed, 0.0) };
    // The check takes a place of its pool like any other request.
    let Some(_place) = sign_in.pool.place() else {
        return (FinalResponse::Refused(FULL_RETRY_AFTER, RejectReason::Overload, false), FULL_RETRY_AFTER);
    };
    let ask = ClientRequest {
        head: Head {
            id: question.id.clone(),
            class: sign_in.class.clone(),
            plan: CHECKS.into(),
            customer: question.client.clone(),
            units: 1.0,
            gateways: sign_in.pool.settings.sidecars,
            timeout: time,
            at_most_once: false,
            zones: None,
            max_attempts: None,
        },
        deadline: sign_in.pool.driver.now().plus_millis(time),
        outgoing: OutgoingRequest {
            method: if settings.body.is_some() { Method::POST } else { Method::GET },
            uri,
            headers: headers(settings, question),
            body: Rc::new(RequestBody::buffered(question.body.clone())),
            set_attempt_headers: None,
        },
    };
    let driver = sign_in.pool.driver.clone();
    let Some(answer) = driver.submit(ask) else { return (FinalResponse::Failed, 0.0) };
    let leaving = DisconnectGuard::new(driver, question.id.clone());
    let answer = answer.await.unwrap_or(FinalResponse::Failed);
    leaving.disarm();
    let wait = if let FinalResponse::Refused(wait, ..) = &answer { *wait } else { 0.0 };
    (answer, wait)
}

fn headers(settings: &ivygate_config::SignIn, question: &Question) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for name in &settings.request_headers {
        let Ok(name) = HeaderName::try_from(name) else { continue };
        for value in question.headers.get_all(&name) {
            headers.append(name.clone(), value.clone());
        }
    }
    if let Some(kind) = question.headers.get(header::CONTENT_TYPE).filter(|_| settings.body.is_some()) {
        headers.insert(header::CONTENT_TYPE, kind.clone());
    }
    let told = |name: &str| question.headers.get(name).filter(|_| question.origin.trusted).cloned();
    let proto = told("x-forwarded-proto").unwrap_or(HeaderValue::from_static("http"));
    headers.insert("x-forwarded-proto", proto);
    for (name, value) in [
        ("x-forwarded-method", question.method.as_str()),
        ("x-forwarded-uri", question.target),
        ("x-forwarded-host", question.origin.host),
        ("x-forwarded-for", &question.client),
        (CHAIN, question.chain),
    ] {
        // What was read off a request can be written into another.
        if let Ok(value) = HeaderValue::try_from(value) {
            headers.insert(HeaderName::from_static(name), value);
        }
    }
    if let Ok(host) = HeaderValue::try_from(question.origin.host) {
        headers.insert(header::HOST, host);
    }
    headers
}

/// Reads a body to its end; `None` if it does not come whole, in time and not too long.
async fn read_out(mut body: Streamed, time: f64) -> Option<Bytes> {
    let reading = async {
        let mut read = BytesMut::new();
        while let Some(frame) = body.frame().await {
            if let Ok(data) = frame.ok()?.into_data() {
                read.extend_from_slice(&data);
            }
            if read.len() > BODY_MOST {
                return None;
            }
        }
        Some(read.freeze())
    };
    timeout(duration_from_millis(time), reading).await.ok().flatten()
}
