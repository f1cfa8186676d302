//! Read-only HTTP interface for operators, on a listener separate from those for clients.

use crate::front::Shared;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{self, HeaderValue};
use hyper::{Method, Response, StatusCode};
use ivygate_config::Operator;
use ivygate_journal::{answer_query, QueryResponse};
use ivygate_runtime::{ClientLimits, IncomingRequest, RequestHandler};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Semaphore;

/// Maximum number of journal queries answered concurrently; further ones wait.
const MAX_CONCURRENT_QUERIES: usize = 2;
/// Maximum size of a request head, in bytes.
const MAX_HEAD_BYTES: usize = 8 << 10;
/// Time without progress after which an operator's connection is closed.
const READ_STALL: Duration = Duration::from_secs(10);

/// Handler of operator requests.
pub struct OperatorFront {
    shared: Rc<Shared>,
    permits: Semaphore,
}

impl OperatorFront {
    /// Creates the handler for a sidecar.
    pub fn new(shared: Rc<Shared>) -> Self {
        Self { shared, permits: Semaphore::new(MAX_CONCURRENT_QUERIES) }
    }

    /// Returns the state of all monitored zones as JSON lines, by pool and zone.
    fn domains(&self) -> QueryResponse {
        let active_config = self.shared.active_config.borrow().clone();
        let mut pools: Vec<_> = active_config.pools.values().filter(|pool| pool.zones.is_some()).collect();
        if pools.is_empty() {
            return QueryResponse::error(404, "no pool here has `domains`");
        }
        pools.sort_by(|a, b| a.settings.name.cmp(&b.settings.name));
        let documents = pools.iter().flat_map(|pool| {
            pool.zones.iter().flat_map(|zones| zones.status(pool.driver.now())).collect::<Vec<_>>()
        });
        QueryResponse { status: 200, lines: documents.map(|document| format!("{document}\n")).collect() }
    }

    async fn respond(&self, method: &Method, target: &str) -> QueryResponse {
        if method != Method::GET && method != Method::HEAD {
            return QueryResponse::error(405, "this is read-only: ask with GET");
        }
        if target == "/members" {
            let gossip = self.shared.gossip.borrow().clone();
            let Some(gossip) = gossip else { return QueryResponse::error(404, "there is no `group` here") };
            let lines = gossip.status().iter().map(|document| format!("{document}\n")).collect();
            return QueryResponse { status: 200, lines };
        }
        if target == "/domains" {
            return self.domains();
        }
        let Some(store) = self.shared.orders.as_ref().and_then(|orders| orders.store()) else {
            return QueryResponse::error(404, "there is no journal here");
        };
        // The semaphore is never closed.
        let _permit = self.permits.acquire().await;
        let target = target.to_owned();
        // Reads the disk, so it must not run on the event loop.
        let response = tokio::task::spawn_blocking(move || answer_query(&store, &target)).await;
        response.unwrap_or_else(|_| QueryResponse::error(500, "the answer failed"))
    }
}

/// Returns the limits for operator connections.
pub fn limits() -> ClientLimits {
    ClientLimits {
        strict_head_bytes: Some(MAX_HEAD_BYTES),
        read_stall_timeout: READ_STALL,
        ..ClientLimits::new(Operator::MAX_CONNECTIONS)
    }
}

impl RequestHandler for OperatorFront {
    type Body = Full<Bytes>;

    async fn respond(&self, incoming: IncomingRequest) -> Result<Response<Full<Bytes>>, hyper::Error> {
        let IncomingRequest { request, framing_error, guard, .. } = incoming;
        guard.mark_received();
        let target = request.uri().path_and_query().map_or("", |target| target.as_str());
        let reply = match framing_error {
            Some(error) => QueryResponse::error(400, &error.to_string()),
            None => self.respond(request.method(), target).await,
        };
        let mut response = Response::new(Full::new(Bytes::from(reply.lines)));
        *response.status_mut() =
            StatusCode::from_u16(reply.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/x-ndjson"));
        headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
        if reply.status == 405 {
            headers.insert(header::ALLOW, HeaderValue::from_static("GET, HEAD"));
        }
        Ok(response)
    }
}
