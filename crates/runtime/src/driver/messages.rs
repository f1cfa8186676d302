//! Requests, final responses, and the recorder of attempts.

use crate::request_body::{AttemptBody, RequestBody};
use crate::streamed::Streamed;
use crate::upstream::ServerResponse;
use bytes::Bytes;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Method, Request, Response, Uri};
use ivygate_gateway::{RejectReason, RequestId, Zones};
use ivygate_time::{Millis, Timestamp};
use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;

/// The checked contents of a request head.
#[derive(Debug, PartialEq)]
pub struct Head {
    /// Id of the request.
    pub id: RequestId,
    /// Class of the request.
    pub class: Arc<str>,
    /// Plan of the customer.
    pub plan: Arc<str>,
    /// Customer.
    pub customer: Arc<str>,
    /// Units that the request takes from the quota.
    pub units: f64,
    /// Number of gateways through which the customer's requests may come.
    pub gateways: u32,
    /// Time for which the client waits for the response.
    pub timeout: Millis,
    /// The request must not run twice.
    pub at_most_once: bool,
    /// Zones whose servers may get the request; `None` for all.
    pub zones: Option<Zones>,
    /// Maximum number of attempts, if it is lower than that of the settings.
    pub max_attempts: Option<u32>,
}

/// A client's request, parsed and checked.
pub struct ClientRequest {
    /// Contents of its head.
    pub head: Head,
    /// Time at which the client gives up.
    pub deadline: Timestamp,
    /// The request as it is forwarded to an app server.
    pub outgoing: OutgoingRequest,
}

/// A request as it is forwarded to an app server.
pub struct OutgoingRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers, without those that belong to the client's connection.
    pub headers: HeaderMap,
    /// Body.
    pub body: Rc<RequestBody>,
    /// Sets further headers for each attempt, just before the first byte is written.
    pub set_attempt_headers: Option<SetAttemptHeaders>,
}

/// Sets the headers of a request that depend on the attempt: from the time left for it and the server's name
/// on the list.
pub type SetAttemptHeaders = fn(&mut HeaderMap, Millis, &str);

impl OutgoingRequest {
    pub(super) fn for_attempt(
        &self,
        time_left: Millis,
        server: &str,
        source_failed: &Rc<Cell<bool>>,
    ) -> Request<AttemptBody> {
        let mut request = Request::new(self.body.for_attempt(source_failed));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        if let Some(set_attempt_headers) = self.set_attempt_headers {
            set_attempt_headers(request.headers_mut(), time_left, server);
        }
        request
    }
}

/// The final response to a request. Each request gets exactly one.
#[derive(Debug)]
pub enum FinalResponse {
    /// The request was served; the body and its content type, if the server sent one.
    Served(Bytes, Option<HeaderValue>),
    /// A server's response, successful or not, that is forwarded while it is received.
    Streamed(Box<Response<Streamed>>),
    /// A server's response, successful or not, that was received completely.
    Buffered(Box<Response<Bytes>>),
    /// The request was refused: the time after which the client should retry (0 for no advice), the reason,
    /// and whether an attempt had been made before.
    Refused(Millis, RejectReason, bool),
    /// The request failed.
    Failed,
    /// The request failed because its time was up.
    TimedOut,
}

impl From<ServerResponse> for FinalResponse {
    fn from(response: ServerResponse) -> Self {
        match response {
            ServerResponse::Streamed(response) => FinalResponse::Streamed(response),
            ServerResponse::Buffered(response) => FinalResponse::Buffered(response),
        }
    }
}

/// Records attempts of requests that must not run twice: each before it is sent, and its result.
pub trait AttemptRecorder {
    /// Returns whether attempts of this request are recorded although it may run twice.
    fn records_repeatable(&self, id: &RequestId) -> bool;

    /// Records that an attempt is about to be sent. Returns whether it was recorded; if not, nothing is sent.
    fn record_send<'a>(
        &'a self,
        id: &'a RequestId,
        attempt: u32,
        server: SocketAddr,
        now: Timestamp,
    ) -> Pin<Box<dyn Future<Output = bool> + 'a>>;

    /// Records the result of a recorded attempt: the status of its response, or that it certainly did not
    /// run, or neither.
    fn record_result(&self, id: &RequestId, attempt: u32, never_ran: bool, status: Option<u16>);
}

/// Decision on a request that is not sent by this process.
#[derive(Debug)]
pub enum Admission {
    /// The request is admitted; the address of the server that would be chosen for it.
    Admitted(Option<SocketAddr>),
    /// The request is refused; the time after which the client should retry, and the reason.
    Refused(Millis, RejectReason),
}
