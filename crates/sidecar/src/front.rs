//! Requests as ordinary applications have them, from their head to their answer.

use crate::answer::{AnswerBody, Held, Words};
use crate::forward::{to_application, to_client, Origin};
use crate::identity::{client_address, customer, duration, is_trusted};
use crate::sign_in::{self, strip, Outcome, Question};
use crate::site::{Route, Site};
use crate::upload::{self, Unread};
use bytes::Bytes;
use hyper::body::Body;
use hyper::header::{self, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, Response, StatusCode, Uri, Version};
use ivygate_config::Listener;
use ivygate_forward_auth::{folded, share};
use ivygate_gateway::{Refusal, RequestId};
use ivygate_routing::{host_of, Target};
use ivygate_runtime::{millis, one, Answer, Ask, Asked, Front, Head, Leaving, Message};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

/// How long a client is told to stay away where a pool has no room for another request.
pub const FULL_RETRY_AFTER: f64 = 1000.0;

/// What all listeners share.
pub struct Shared {
    /// The configuration at work.
    pub site: RefCell<Rc<Site>>,
    /// Makes ids of requests unlike those of other processes and earlier lives.
    prefix: u64,
    next: Cell<u64>,
}

impl Shared {
    /// Begins with a site.
    pub fn new(site: Site) -> Rc<Self> {
        Rc::new(Self { site: RefCell::new(Rc::new(site)), prefix: fastrand::u64(..), next: Cell::new(0) })
    }

    fn id(&self) -> RequestId {
        let number = self.next.get();
        self.next.set(number + 1);
        // What differs comes first: ids are compared often.
        let mut id = String::with_capacity(33);
        push_hex(&mut id, number.swap_bytes());
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
    shared: Rc<Shared>,
    /// The listener's part of the configuration.
    pub listener: RefCell<Rc<Listener>>,
}

impl SidecarFront {
    /// A front for a listener.
    pub fn new(shared: Rc<Shared>, listener: Listener) -> Self {
        Self { shared, listener: RefCell::new(Rc::new(listener)) }
    }
}

impl SidecarFront {
    /// How long a request's client will wait.
    fn wait(
        &self,
        site: &Site,
        listener: &Listener,
        route: &Route,
        parts: &Parts,
        trusted: bool,
    ) -> Result<f64, Words> {
        let told = match &site.identity.deadline_header {
            Some(name) if trusted => one(&parts.headers, name).map_err(bad)?,
            _ => None,
        };
        let wait = match told {
            None => route.deadline,
            Some(text) => duration(text).ok_or_else(|| bad("the deadline is malformed"))?.min(route.deadline),
        };
        Ok(wait.min(listener.answer_within))
    }
}

/// Why there is no answer of an application.
enum Unfit {
    Words(Words),
    /// A sign-in service's answer.
    Whole(StatusCode, header::HeaderMap, Bytes),
    Lost(hyper::Error),
}

impl From<Words> for Unfit {
    fn from(words: Words) -> Self {
        Unfit::Words(words)
    }
}

fn bad(text: impl Into<String>) -> Words {
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
            return Ok(bad(flaw.to_string()).response(held));
        }
        let (mut parts, body) = request.into_parts();
        let has_body = !body.is_end_stream();
        let taken = async {
            let (target, host) = destination(&parts)?;
            let route = route(&site, &host, &target, &parts.method)?;
            let place = route.pool.place();
            held.place = Some(place.ok_or_else(|| {
                let text = "this pool has as many requests open as it may; nothing was run";
                Words::refused(StatusCode::SERVICE_UNAVAILABLE, text, FULL_RETRY_AFTER)
            })?);
            // Before anything reads them, and also where nothing is asked.
            strip(&mut parts.headers, &site.vouched);
            let trusted = is_trusted(&listener.trusted, peer.ip());
            let origin = Origin { peer: &peer_name, trusted, host: &host };
            let client = |headers: &header::HeaderMap| -> Arc<str> {
                match trusted {
                    true => client_address(peer.ip(), &listener.trusted, headers).to_string().into(),
                    false => peer_name.clone(),
                }
            };
            let mut spent = 0.0;
            if let Some(sign_in) = &route.sign_in {
                let begun = route.pool.driver.now();
                let wait = self.wait(&site, &listener, route, &parts, trusted)?;
                let target = target.path_and_query();
                let question = Question {
                    method: &parts.method,
                    target: &target,
                    headers: &parts.headers,
                    origin: &origin,
                    client: client(&parts.headers),
                    id: self.shared.id(),
                    route: route.number,
                    once: route.once,
                    time: share(sign_in.settings.within, wait, route.aim),
                    deadline: begun + wait,
                };
                let outcome = sign_in::ask(sign_in, question).await;
                spent = route.pool.driver.now() - begun;
                match outcome {
                    Outcome::GoOn(headers) => {
                        for (name, value) in headers {
                            parts.headers.append(name, value);
                        }
                    }
                    Outcome::PassOn(response) => return Ok(Answer::Passed(response)),
                    Outcome::No(status, headers, body) => return Err(Unfit::Whole(status, headers, body)),
                    Outcome::Refused(wait) => {
                        let text = "the sign-in service has no room for this; nothing was run";
                        return Err(Words::refused(StatusCode::SERVICE_UNAVAILABLE, text, wait).into());
                    }
                    Outcome::Unavailable => {
                        let text = "the sign-in service gives no answer; nothing was run";
                        let words = Words::refused(StatusCode::SERVICE_UNAVAILABLE, text, FULL_RETRY_AFTER);
                        return Err(words.into());
                    }
                    Outcome::TimeUp => {
                        let text = "no answer of the sign-in service in time; nothing was run";
                        return Err(Words::new(StatusCode::GATEWAY_TIMEOUT, text).into());
                    }
                }
            }
            let customer =
                customer(&site.identity.customer, &parts.headers, || client(&parts.headers)).map_err(bad)?;
            let named = match &site.identity.plan_header {
                // What a sign-in service says is believed of whoever asked.
                Some(name) if trusted || site.vouched.contains(&folded(name)) => {
                    one(&parts.headers, name).map_err(bad)?
                }
                _ => None,
            };
            let plan = site.plan(&customer, named);
            let wait = (self.wait(&site, &listener, route, &parts, trusted)? - spent).max(0.0);
            let class = class(route, &parts)?;
            let (payload, bytes) = match upload::read(body, &route.pool, millis(listener.body_stall)).await {
                Ok(read) => read,
                Err(Unread::Stalled) => {
                    return Err(Words::new(StatusCode::REQUEST_TIMEOUT, "the body stood still")
                        .closing()
                        .into());
                }
                Err(Unread::NoRoom) => {
                    let text = "this pool holds as much of bodies as it may; nothing was run";
                    let words = Words::refused(StatusCode::SERVICE_UNAVAILABLE, text, FULL_RETRY_AFTER);
                    return Err(words.closing().into());
                }
                Err(Unread::Lost(error)) => return Err(Unfit::Lost(error)),
            };
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
            let deadline = wait + if payload.is_streamed() { route.upload } else { 0.0 };
            let ask = Ask {
                head: Head {
                    id: id.clone(),
                    once: class.1,
                    class: class.0,
                    plan,
                    customer,
                    units: route.units,
                    width: route.pool.settings.sidecars,
                    wait: deadline,
                },
                deadline: route.pool.driver.now() + deadline,
                message: Message { method, uri, headers, body: Rc::new(payload), tells_deadline: false },
            };
            let driver = route.pool.driver.clone();
            let Some(answer) = driver.arrive(ask) else {
                return Err(Words::new(StatusCode::CONFLICT, "a request of this id is open").into());
            };
            // hyper drops this future when the client closes its connection.
            let leaving = Leaving::new(driver, id);
            let answer = answer.await.unwrap_or(Answer::Failed);
            leaving.answered();
            Ok(answer)
        };
        let answer = taken.await;
        let words = match answer {
            Ok(Answer::Passed(response)) => {
                let (mut parts, body) = response.into_parts();
                parts.headers = to_client(parts.headers);
                parts.version = Version::HTTP_11;
                // What hyper noted of the other connection does not hold for this one.
                parts.extensions.clear();
                return Ok(Response::from_parts(parts, AnswerBody::passed(body, held)));
            }
            Ok(answer) => in_words(&answer),
            Err(Unfit::Words(words)) => words,
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

/// What is told of an answer that no application gave.
fn in_words(answer: &Answer) -> Words {
    match answer {
        Answer::Refused(wait, Refusal::Quota, _) => {
            Words::refused(StatusCode::TOO_MANY_REQUESTS, "beyond the quota; nothing was run", *wait)
        }
        Answer::Refused(wait, Refusal::Ceiling, _) => {
            Words::refused(StatusCode::TOO_MANY_REQUESTS, "at the plan's ceiling; nothing was run", *wait)
        }
        Answer::Refused(wait, Refusal::Room, _) => {
            let text = "no server has room for this; trying again is harmless";
            Words::refused(StatusCode::SERVICE_UNAVAILABLE, text, *wait)
        }
        Answer::TimeUp => Words::new(StatusCode::GATEWAY_TIMEOUT, "no answer in time; it may have run"),
        Answer::Failed | Answer::Served(..) | Answer::Passed(_) => {
            Words::new(StatusCode::BAD_GATEWAY, "the server failed; it may have run")
        }
    }
}

/// The normal target and host of a request.
fn destination(parts: &Parts) -> Result<(Target, String), Words> {
    if parts.method == Method::CONNECT {
        return Err(Words::new(StatusCode::NOT_IMPLEMENTED, "CONNECT is not offered").closing());
    }
    if parts.headers.contains_key(header::UPGRADE) {
        return Err(Words::new(StatusCode::NOT_IMPLEMENTED, "no other protocol is offered").closing());
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
fn class(route: &Route, parts: &Parts) -> Result<(std::sync::Arc<str>, bool), Words> {
    let Some((unkeyed, key)) = &route.unkeyed else {
        return Ok((route.class.clone(), route.once));
    };
    // Two keys are none: a server may look at either.
    Ok(match one(&parts.headers, key.as_str()).map_err(bad)? {
        None | Some("") => (unkeyed.clone(), true),
        Some(_) => (route.class.clone(), false),
    })
}
