//! The listener for people who run this: read-only, and never one of the clients'.

use crate::front::Shared;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{self, HeaderValue};
use hyper::{Method, Response, StatusCode};
use ivygate_config::Operator;
use ivygate_journal::{answer, Told};
use ivygate_runtime::{ClientLimits, IncomingRequest, RequestHandler};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Semaphore;

/// Questions that are answered at once; the others wait.
const AT_ONCE: usize = 2;
/// Longest head of a question.
const HEAD: usize = 8 << 10;
/// An operator's connection that says or reads nothing for this long is closed.
const STALL: Duration = Duration::from_secs(10);

/// Answers operators.
pub struct OperatorFront {
    shared: Rc<Shared>,
    turns: Semaphore,
}

impl OperatorFront {
    /// Of a sidecar.
    pub fn new(shared: Rc<Shared>) -> Self {
        Self { shared, turns: Semaphore::new(AT_ONCE) }
    }

    /// What is believed of all zones that are judged, as JSON lines, by pool and zone.
    fn domains(&self) -> Told {
        let site = self.shared.site.borrow().clone();
        let mut pools: Vec<_> = site.pools.values().filter(|pool| pool.zones.is_some()).collect();
        if pools.is_empty() {
            return Told::error(404, "no pool here has `domains`");
        }
        pools.sort_by(|a, b| a.settings.name.cmp(&b.settings.name));
        let told = pools.iter().flat_map(|pool| {
            pool.zones.iter().flat_map(|zones| zones.told(pool.driver.now())).collect::<Vec<_>>()
        });
        Told { status: 200, lines: told.map(|document| format!("{document}\n")).collect() }
    }

    async fn told(&self, method: &Method, target: &str) -> Told {
        if method != Method::GET && method != Method::HEAD {
            return Told::error(405, "this is read-only: ask with GET");
        }
        if target == "/members" {
            let talk = self.shared.talk.borrow().clone();
            let Some(talk) = talk else { return Told::error(404, "there is no `group` here") };
            let lines = talk.told().iter().map(|document| format!("{document}\n")).collect();
            return Told { status: 200, lines };
        }
        if target == "/domains" {
            return self.domains();
        }
        let Some(store) = self.shared.orders.as_ref().and_then(|orders| orders.store()) else {
            return Told::error(404, "there is no journal here");
        };
        // It is never closed.
        let _turn = self.turns.acquire().await;
        let target = target.to_owned();
        // Reads the disk, and so not on the thread that serves clients.
        let told = tokio::task::spawn_blocking(move || answer(&store, &target)).await;
        told.unwrap_or_else(|_| Told::error(500, "the answer failed"))
    }
}

/// How its clients are bounded.
pub fn limits() -> ClientLimits {
    ClientLimits {
        strict_head_bytes: Some(HEAD),
        read_stall_timeout: Some(STALL),
        ..ClientLimits::new(Operator::MAX_CONNECTIONS)
    }
}

impl RequestHandler for OperatorFront {
    type Body = Full<Bytes>;

    async fn respond(&self, asked: IncomingRequest) -> Result<Response<Full<Bytes>>, hyper::Error> {
        let IncomingRequest { request, framing_error: flaw, guard: turn, .. } = asked;
        turn.mark_received();
        let target = request.uri().path_and_query().map_or("", |target| target.as_str());
        let told = match flaw {
            Some(flaw) => Told::error(400, &flaw.to_string()),
            None => self.told(request.method(), target).await,
        };
        let mut response = Response::new(Full::new(Bytes::from(told.lines)));
        *response.status_mut() =
            StatusCode::from_u16(told.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/x-ndjson"));
        headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
        if told.status == 405 {
            headers.insert(header::ALLOW, HeaderValue::from_static("GET, HEAD"));
        }
        Ok(response)
    }
}
