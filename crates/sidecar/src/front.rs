//! Requests as ordinary applications have them, from their head to their answer.

use crate::answer::{AnswerBody, Held, Words};
use crate::answering::Yes;
use crate::forward::{to_application, to_client, Origin};
use crate::identity::{client_address, customer, duration, is_trusted};
use crate::orders::Orders;
use crate::pool::Bytewise;
use crate::sign_in::{self, strip, Outcome, Question};
use crate::site::{Route, SignIn, Site};
use crate::talk::Talk;
use crate::upload::{self, Unread};
use bytes::Bytes;
use hyper::body::{Body as _, Incoming};
use hyper::header::{self, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, Response, StatusCode, Uri, Version};
use ivygate_config::Listener;
use ivygate_forward_auth::{check_time_limit, fold_header_name, Admissions};
use ivygate_gateway::{RejectReason, RequestId};
use ivygate_journal::{Order, State};
use ivygate_routing::{host_of, Target};
use ivygate_runtime::{
    millis, one, Answer, Ask, Asked, Flaw, Front, Head, Leaving, Message, Payload, Streamed,
};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

/// How long a client is told to stay away where a pool has no room for another request.
pub const FULL_RETRY_AFTER: f64 = 1000.0;

/// Most ids of requests that were let on that are remembered: some 30 MB of them.
const ADMISSIONS_MOST: usize = 100_000;
/// Most processes that a check may pass through.
const CHAIN_MOST: usize = 4;

/// What all listeners share.
pub struct Shared {
    /// The configuration at work.
    pub site: RefCell<Rc<Site>>,
    /// Makes ids of requests unlike those of other processes and earlier lives.
    prefix: u64,
    next: Cell<u64>,
    /// This process's name among those that a check passes through.
    pub own: String,
    /// Ids that other programs asked about.
    pub admissions: RefCell<Admissions<Yes>>,
    /// Where requests that must not run twice are recorded, if they are.
    pub orders: Option<Rc<Orders>>,
    /// How this process and others tell each other what they see, if they do.
    pub talk: RefCell<Option<Rc<Talk>>>,
}

impl Shared {
    /// Begins with a site.
    pub fn new(site: Site, orders: Option<Rc<Orders>>) -> Rc<Self> {
        let mut own = String::new();
        push_hex(&mut own, fastrand::u64(..));
        Rc::new(Self {
            site: RefCell::new(Rc::new(site)),
            prefix: fastrand::u64(..),
            next: Cell::new(0),
            own,
            admissions: RefCell::new(Admissions::new(ADMISSIONS_MOST)),
            orders,
            talk: RefCell::default(),
        })
    }

    /// An id of its own for a request.
    pub fn id(&self) -> RequestId {
        let number = self.next.get();
        self.next.set(number + 1);
        // In order: the journal writes neighbours in one page, and a page in one piece.
        let mut id = String::with_capacity(33);
        push_hex(&mut id, number);
        id.push('-');
        push_hex(&mut id, self.prefix);
        id.into()
    }
}

/// Sixteen digits; formatting by the library's means costs a tenth of all that a request's front does.
fn push_hex(text: &mut String, number: u64) {
    let digit = |place: u32| char::from_digit((number >> (4 * place)) as u32 & 15, 16).unwrap_or('0');
    text.extend((0..16).rev().map(digit));
}

/// Answers the clients of one listener.
pub struct SidecarFront {
    /// What it shares with the others.
    pub shared: Rc<Shared>,
    /// The listener's part of the configuration.
    pub listener: RefCell<Rc<Listener>>,
}

impl SidecarFront {
    /// A front for a listener.
    pub fn new(shared: Rc<Shared>, listener: Listener) -> Self {
        Self { shared, listener: RefCell::new(Rc::new(listener)) }
    }
}

/// A request under the configuration that it began with.
pub struct Seen<'a> {
    pub site: &'a Site,
    pub listener: &'a Listener,
    pub route: &'a Route,
    pub origin: &'a Origin<'a>,
    pub peer: SocketAddr,
    /// The processes that a check of it has passed through.
    pub chain: &'a str,
}

impl Seen<'_> {
    /// The client's address.
    pub fn client(&self, headers: &header::HeaderMap) -> Arc<str> {
        match self.origin.trusted {
            true => client_address(self.peer.ip(), &self.listener.trusted, headers).to_string().into(),
            false => self.origin.peer.into(),
        }
    }

    /// The customer that a request is counted for, and its plan.
    pub fn customer_and_plan(&self, headers: &header::HeaderMap) -> Result<(Arc<str>, Arc<str>), Words> {
        let identity = &self.site.identity;
        let customer = customer(&identity.customer, headers, || self.client(headers)).map_err(bad)?;
        let named = match &identity.plan_header {
            // What a sign-in service says is believed of whoever asked.
            Some(name) if self.origin.trusted || self.site.vouched.contains(&fold_header_name(name)) => {
                one(headers, name).map_err(bad)?
            }
            _ => None,
        };
        let plan = self.site.plan(&customer, named);
        Ok((customer, plan))
    }
}

impl SidecarFront {
    /// How long a request's client will wait.
    pub(crate) fn wait(&self, seen: &Seen<'_>, headers: &header::HeaderMap) -> Result<f64, Words> {
        let told = match &seen.site.identity.deadline_header {
            Some(name) if seen.origin.trusted => one(headers, name).map_err(bad)?,
            _ => None,
        };
        let most = seen.route.deadline;
        let wait = match told {
            None => most,
            Some(text) => duration(text).ok_or_else(|| bad("the deadline is malformed"))?.min(most),
        };
        Ok(wait.min(seen.listener.answer_within))
    }

    /// Asks a sign-in service about a request, and gives the headers that it is to go on with.
    pub(crate) async fn signed_in(
        &self,
        seen: &Seen<'_>,
        sign_in: &SignIn,
        (method, target): (&Method, &str),
        headers: &header::HeaderMap,
        wait: f64,
        body: Bytes,
    ) -> Result<Vec<(header::HeaderName, HeaderValue)>, Unfit> {
        let route = seen.route;
        let question = Question {
            method,
            target,
            headers,
            origin: seen.origin,
            client: seen.client(headers),
            chain: seen.chain,
            body,
            id: self.shared.id(),
            route: route.number,
            once: route.once,
            time: check_time_limit(sign_in.settings.within, wait, route.aim),
            deadline: route.pool.driver.now().plus_millis(wait).as_millis(),
        };
        let unavailable = StatusCode::SERVICE_UNAVAILABLE;
        Err(match sign_in::ask(sign_in, question).await {
            Outcome::GoOn(headers) => return Ok(headers),
            Outcome::PassOn(response) => Unfit::Passed(response),
            Outcome::No(status, headers, body) => Unfit::Whole(status, headers, body),
            Outcome::Refused(wait) => {
                let text = "the sign-in service has no room for this; nothing was run";
                Words::refused(unavailable, text, wait).into()
            }
            Outcome::Limited(wait) => {
                let text = "too many checks from here have failed; nothing was run";
                Words::refused(StatusCode::TOO_MANY_REQUESTS, text, wait).into()
            }
            Outcome::Unavailable => {
                let text = "the sign-in service gives no answer; nothing was run";
                Words::refused(unavailable, text, FULL_RETRY_AFTER).into()
            }
            Outcome::TimeUp => {
                let text = "no answer of the sign-in service in time; nothing was run";
                Words::new(StatusCode::GATEWAY_TIMEOUT, text).into()
            }
        })
    }
}

/// Why there is no answer of an application.
pub enum Unfit {
    /// Words of the sidecar's own.
    Words(Words),
    /// A sign-in service's answer, as it comes.
    Passed(Box<Response<Streamed>>),
    /// And one that is here as a whole.
    Whole(StatusCode, header::HeaderMap, Bytes),
    /// The client's connection broke.
    Lost(hyper::Error),
}

impl From<Words> for Unfit {
    fn from(words: Words) -> Self {
        Unfit::Words(words)
    }
}

/// The processes that a check has passed through, this one last.
///
/// # Errors
/// If it has come round, or has passed through too many.
pub fn chain(headers: &header::HeaderMap, own: &str) -> Result<String, Words> {
    let mut chain = String::new();
    let values = headers.get_all(sign_in::CHAIN).iter().filter_map(|value| value.to_str().ok());
    let before: Vec<&str> = values.flat_map(|value| value.split(',')).map(str::trim).collect();
    let wrong = if before.contains(&own) {
        "this check has come round to the process that asked: its sign-in leads back to itself"
    } else if before.len() >= CHAIN_MOST {
        "this check has passed through too many sign-in services that ask another"
    } else {
        for one in before {
            chain += one;
            chain += ", ";
        }
        return Ok(chain + own);
    };
    Err(Words::new(StatusCode::LOOP_DETECTED, wrong))
}

/// What a client got wrong.
pub fn bad(text: impl Into<String>) -> Words {
    Words::new(StatusCode::BAD_REQUEST, text).closing()
}

impl Front for SidecarFront {
    type Body = AnswerBody;

    async fn answer(&self, asked: Asked) -> Result<Response<AnswerBody>, hyper::Error> {
        let site = self.shared.site.borrow().clone();
        let listener = self.listener.borrow().clone();
        let Asked { request, peer, peer_name, flaw, turn, .. } = asked;
        // From here on the request's own limits hold, not the connection's.
        turn.open();
        let mut held = Held { turn, place: None, bytes: None };
        if let Some(flaw) = flaw {
            let status = match flaw {
                Flaw::TooLong => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
                _ => StatusCode::BAD_REQUEST,
            };
            return Ok(Words::new(status, flaw.to_string()).closing().response(held));
        }
        let (mut parts, body) = request.into_parts();
        let has_body = !body.is_end_stream();
        let spoilt = Rc::new(Cell::new(false));
        let taken = async {
            if listener.answers_checks.is_some() {
                let asker = (peer, &*peer_name);
                return self.check(&site, &listener, parts, has_body, asker, &mut held).await;
            }
            let (target, host) = destination(&parts)?;
            let route = route(&site, &host, &target, &parts.method)?;
            held.take_place(&route.pool)?;
            // Before anything reads them, and also where nothing is asked.
            strip(&mut parts.headers, &site.vouched);
            let trusted = is_trusted(&listener.trusted, peer.ip());
            let origin = Origin { peer: &peer_name, trusted, host: &host, kept: &site.kept };
            let mut chain = String::new();
            if route.sign_in.is_some() {
                chain = self::chain(&parts.headers, &self.shared.own)?;
            }
            let (site, listener) = (&*site, &*listener);
            let seen = Seen { site, listener, route, origin: &origin, peer, chain: &chain };
            let mut body = Body::Coming(body);
            let mut spent = 0.0;
            if let Some(sign_in) = &route.sign_in {
                let wait = self.wait(&seen, &parts.headers)?;
                let mut sent = Bytes::new();
                if let Some(most) = sign_in.settings.body {
                    let (payload, bytes) = body.read(route, listener, &spoilt).await?;
                    match payload.whole_bytes().filter(|whole| whole.len() <= most) {
                        Some(whole) => sent = whole,
                        None => {
                            let text = "the body is too long to be checked; nothing was run";
                            return Err(Words::new(StatusCode::PAYLOAD_TOO_LARGE, text).closing().into());
                        }
                    }
                    body = Body::Here(payload, bytes);
                }
                let begun = route.pool.driver.now();
                let target = target.path_and_query();
                let asked = (&parts.method, target.as_str());
                let vouched = self.signed_in(&seen, sign_in, asked, &parts.headers, wait, sent).await?;
                spent = route.pool.driver.now().millis_since(begun);
                for (name, value) in vouched {
                    parts.headers.append(name, value);
                }
            }
            let (customer, plan) = seen.customer_and_plan(&parts.headers)?;
            let wait = (self.wait(&seen, &parts.headers)? - spent).max(0.0);
            let class = class(route, &parts)?;
            let (payload, bytes) = body.read(route, listener, &spoilt).await?;
            held.bytes = Some(bytes);
            let id = self.shared.id();
            let normal = parts.uri.authority().is_none() && parts.uri.path() == target.path;
            let uri = if normal {
                parts.uri
            } else {
                Uri::try_from(target.path_and_query()).map_err(|_| bad("the target is malformed"))?
            };
            let chunked = has_body && payload.is_streamed() || payload.has_trailers();
            let method = parts.method;
            let headers = to_application(parts.headers, &origin, chunked, &id);
            let keyed = route.unkeyed.is_some() && !class.1;
            let orders = self.shared.orders.as_ref().filter(|orders| class.1 || keyed && orders.keyed);
            let taken = match orders {
                None => None,
                Some(orders) => Some(orders.taken(
                    &id,
                    Order {
                        client_id: one(&headers, orders.id_header.as_str()).map_err(bad)?.map(str::to_owned),
                        keyed,
                        customer: orders.customer(&customer),
                        route: route.name.to_string(),
                        target: target.path_and_query(),
                        accepted_at: route.pool.driver.now().as_millis(),
                        attempts: Vec::new(),
                        end_reason: None,
                    },
                )),
            };
            let deadline = wait + if payload.is_streamed() { route.upload } else { 0.0 };
            let ask = Ask {
                head: Head {
                    id: id.clone(),
                    once: class.1,
                    zones: None,
                    tries: None,
                    class: class.0,
                    plan,
                    customer,
                    units: route.units,
                    width: route.pool.settings.sidecars,
                    wait: deadline,
                },
                deadline: route.pool.driver.now().plus_millis(deadline),
                message: Message { method, uri, headers, body: Rc::new(payload), tells: None },
            };
            let driver = route.pool.driver.clone();
            let Some(answer) = driver.arrive(ask) else {
                return Err(Words::new(StatusCode::CONFLICT, "a request of this id is open").into());
            };
            // hyper drops this future when the client closes its connection.
            let leaving = Leaving::new(driver, id);
            let answer = answer.await.unwrap_or(Answer::Failed);
            leaving.answered();
            if let Some(taken) = &taken {
                taken.answered(&answer);
            }
            match taken.and_then(|taken| taken.known()) {
                Some(state) => Err(known(state).into()),
                None => Ok(answer),
            }
        };
        let answer = taken.await;
        let words = match answer {
            // What the server made of half a body is not told as if the request had been whole.
            Ok(Answer::Failed | Answer::Refused(..)) if spoilt.get() => bad(Flaw::Chunk.to_string()),
            Ok(Answer::Passed(response)) => return Ok(passed(*response, held)),
            Ok(answer) => in_words(&answer),
            Err(Unfit::Words(words)) => words,
            Err(Unfit::Passed(response)) => return Ok(passed(*response, held)),
            Err(Unfit::Whole(status, headers, body)) => {
                let mut response = Response::new(AnswerBody::whole(body, held));
                (*response.status_mut(), *response.headers_mut()) = (status, headers);
                return Ok(response);
            }
            Err(Unfit::Lost(error)) => return Err(error),
        };
        Ok(words.response(held))
    }
}

/// An answer that is passed on as it comes.
fn passed(response: Response<Streamed>, held: Held) -> Response<AnswerBody> {
    let (mut parts, body) = response.into_parts();
    parts.headers = to_client(parts.headers);
    parts.version = Version::HTTP_11;
    // What hyper noted of the other connection does not hold for this one.
    parts.extensions.clear();
    Response::from_parts(parts, AnswerBody::passed(body, held))
}

/// A request's body, before or after it has been read.
enum Body {
    Coming(Incoming),
    Here(Payload, Bytewise),
}

impl Body {
    /// Reads it, unless it has been.
    async fn read(
        self,
        route: &Route,
        listener: &Listener,
        spoilt: &Rc<Cell<bool>>,
    ) -> Result<(Payload, Bytewise), Unfit> {
        let body = match self {
            Body::Coming(body) => body,
            Body::Here(payload, bytes) => return Ok((payload, bytes)),
        };
        upload::read(body, &route.pool, millis(listener.body_stall), spoilt.clone()).await.map_err(|error| {
            match error {
                Unread::Stalled => {
                    Words::new(StatusCode::REQUEST_TIMEOUT, "the body stood still").closing().into()
                }
                Unread::NoRoom => {
                    let text = "this pool holds as much of bodies as it may; nothing was run";
                    Words::refused(StatusCode::SERVICE_UNAVAILABLE, text, FULL_RETRY_AFTER).closing().into()
                }
                Unread::Malformed => bad(Flaw::Chunk.to_string()).into(),
                Unread::Lost(error) => Unfit::Lost(error),
            }
        })
    }
}

/// What is told of an order whose id an earlier one has that may have run.
fn known(state: State) -> Words {
    let (text, told) = match state {
        State::Answered(status) => {
            ("an order with this id was answered before; nothing was run again", format!("answered {status}"))
        }
        State::Unknown | State::NeverSent => {
            ("an order with this id may have run before; nothing was run again", "unknown".to_owned())
        }
    };
    let words = Words::new(StatusCode::CONFLICT, text);
    match HeaderValue::try_from(told) {
        Ok(told) => words.with(header::HeaderName::from_static("ivygate-order"), told),
        Err(_) => words,
    }
}

/// What is told of an answer that no application gave.
pub fn in_words(answer: &Answer) -> Words {
    match answer {
        Answer::Refused(wait, RejectReason::Quota, _) => {
            Words::refused(StatusCode::TOO_MANY_REQUESTS, "beyond the quota; nothing was run", *wait)
        }
        Answer::Refused(wait, RejectReason::RateLimit, _) => {
            Words::refused(StatusCode::TOO_MANY_REQUESTS, "at the plan's ceiling; nothing was run", *wait)
        }
        Answer::Refused(wait, RejectReason::Overload, _) => {
            let text = "no server has room for this; trying again is harmless";
            Words::refused(StatusCode::SERVICE_UNAVAILABLE, text, *wait)
        }
        Answer::TimeUp => Words::new(StatusCode::GATEWAY_TIMEOUT, "no answer in time; it may have run"),
        Answer::Failed | Answer::Served(..) | Answer::Passed(_) | Answer::Whole(_) => {
            Words::new(StatusCode::BAD_GATEWAY, "the server failed; it may have run")
        }
    }
}

/// The normal target and host of a request.
pub fn destination(parts: &Parts) -> Result<(Target, String), Words> {
    if parts.method == Method::CONNECT {
        return Err(Words::new(StatusCode::NOT_IMPLEMENTED, "CONNECT is not offered").closing());
    }
    if parts.headers.contains_key(header::UPGRADE) {
        return Err(Words::new(StatusCode::NOT_IMPLEMENTED, "no other protocol is offered").closing());
    }
    let expected = parts.headers.get_all(header::EXPECT).iter();
    if expected.into_iter().any(|value| !value.as_bytes().eq_ignore_ascii_case(b"100-continue")) {
        let text = "nothing but `100-continue` can be expected of this";
        return Err(Words::new(StatusCode::EXPECTATION_FAILED, text).closing());
    }
    let target = match parts.uri.path_and_query() {
        Some(path) if parts.uri.authority().is_none() => Target::parse(path.as_str()),
        _ => Target::parse(&parts.uri.to_string()),
    };
    let target = target.map_err(|error| bad(error.to_string()))?;
    let mut hosts = parts.headers.get_all(header::HOST).iter();
    let host = match (hosts.next(), hosts.next()) {
        (Some(_), Some(_)) => return Err(bad("Host is given twice")),
        (Some(host), None) => {
            let text = host.to_str().map_err(|_| bad("the host is malformed"))?;
            Some(host_of(text).map_err(|error| bad(error.to_string()))?)
        }
        (None, _) if parts.version == Version::HTTP_10 => None,
        (None, _) => return Err(bad("Host is missing")),
    };
    let host = match (&target.host, host) {
        (Some(named), Some(host)) if *named != host => {
            return Err(bad("the target and Host name different hosts"));
        }
        (named, host) => host.or_else(|| named.clone()).unwrap_or_default(),
    };
    Ok((target, host))
}

fn route<'a>(site: &'a Site, host: &str, target: &Target, method: &Method) -> Result<&'a Route, Words> {
    site.route(host, &target.path, method.as_str()).map_err(|others| {
        if others.is_empty() {
            return Words::new(StatusCode::NOT_FOUND, "no route takes this host and path");
        }
        let words = Words::new(StatusCode::METHOD_NOT_ALLOWED, "no route takes this method here");
        match HeaderValue::try_from(others.join(", ")) {
            Ok(allow) => words.with(header::ALLOW, allow),
            Err(_) => words,
        }
    })
}

/// A request's class, and whether it must never run twice.
pub fn class(route: &Route, parts: &Parts) -> Result<(std::sync::Arc<str>, bool), Words> {
    let Some((unkeyed, key)) = &route.unkeyed else {
        return Ok((route.class.clone(), route.once));
    };
    // Two keys are none: a server may look at either.
    Ok(match one(&parts.headers, key.as_str()).map_err(bad)? {
        None | Some("") => (unkeyed.clone(), true),
        Some(_) => (route.class.clone(), false),
    })
}
