//! The side that is called: one listener, each call read whole within a bound, one answer in JSON.

use crate::client::CALL;
use crate::errors::{Fault, Kind};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{HeaderValue, CONTENT_TYPE};
use hyper::{Response, StatusCode};
use ivygate_runtime::{listen, Asked, ClientLimits, Clients, Front, WHOLE_REQUEST};
use serde::Serialize;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use tokio::time::timeout;

/// Longest body of a call: a configuration of tens of thousands of tenants.
pub const BODY_MOST: usize = 32 << 20;
/// Most connections of one listener.
const CONNECTIONS: usize = 1500;

/// A call that has come whole.
pub struct Incoming {
    /// Its method.
    pub method: String,
    /// Its path, without the query.
    pub path: String,
    /// Its query, if any.
    pub query: String,
    /// Its body.
    pub body: Bytes,
    /// Who called.
    pub peer: SocketAddr,
}

/// What a call is answered with: a status and a body, JSON unless it is empty.
#[derive(Debug)]
pub struct Outgoing {
    /// The status.
    pub status: StatusCode,
    /// The body.
    pub body: Vec<u8>,
}

/// What answers calls.
pub type Handler = Rc<dyn Fn(Incoming) -> Pin<Box<dyn Future<Output = Outgoing>>>>;

/// The answer to a call that came to something or to an error.
pub fn answer_of<T: Serialize>(result: Result<T, Fault>) -> Outgoing {
    let (status, body) = match &result {
        Ok(value) => (StatusCode::OK, serde_json::to_vec(value)),
        Err(fault) => (fault.kind.status(), serde_json::to_vec(fault)),
    };
    match body {
        Ok(body) => Outgoing { status, body },
        // Guards against a map whose keys are no text; none is made here.
        Err(_) => Outgoing { status: StatusCode::INTERNAL_SERVER_ERROR, body: Vec::new() },
    }
}

struct Calling {
    handler: Handler,
}

impl Front for Calling {
    type Body = Full<Bytes>;

    async fn answer(&self, asked: Asked) -> Result<Response<Full<Bytes>>, hyper::Error> {
        let Asked { request, begun, turn, peer, .. } = asked;
        let (head, body) = request.into_parts();
        let wait = WHOLE_REQUEST.saturating_mul(4).saturating_sub(begun.elapsed());
        let outgoing = match timeout(wait, Limited::new(body, BODY_MOST).collect()).await {
            Err(_) => answer_of::<()>(Err(Fault::new(Kind::Late, "the body did not come in time"))),
            Ok(Err(error)) => match error.downcast::<hyper::Error>() {
                Ok(error) => return Err(*error),
                Err(_) => answer_of::<()>(Err(Fault::new(Kind::TooLarge, "the body is too large"))),
            },
            Ok(Ok(body)) => {
                turn.open();
                // Guards against an order that waited while this process stood still, or a link was cut, and that has
                // been given to another since: the connection is looked at once more, and where the caller has left,
                // this call ends here.
                tokio::task::yield_now().await;
                let incoming = Incoming {
                    method: head.method.as_str().to_owned(),
                    path: head.uri.path().to_owned(),
                    query: head.uri.query().unwrap_or_default().to_owned(),
                    body: body.to_bytes(),
                    peer,
                };
                (self.handler)(incoming).await
            }
        };
        let mut response = Response::new(Full::new(Bytes::from(outgoing.body)));
        *response.status_mut() = outgoing.status;
        response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(call) = head.headers.get(CALL) {
            response.headers_mut().insert(CALL, call.clone());
        }
        Ok(response)
    }
}

/// A listener at work.
pub struct CallServer {
    clients: Rc<Clients<Calling>>,
    accepting: tokio::task::JoinHandle<()>,
}

impl CallServer {
    /// Ends in good order.
    pub async fn wind_up(self) {
        self.clients.wind_up(self.accepting).await;
    }
}

/// Answers calls at an address from now on.
///
/// # Errors
/// If the address can't be listened on.
pub fn serve(address: SocketAddr, handler: Handler) -> Result<CallServer, Fault> {
    let listener = listen(address)
        .map_err(|error| Fault::new(Kind::Setting, format!("cannot listen on {address}: {error}")))?;
    let mut limits = ClientLimits::new(CONNECTIONS);
    limits.whole_request = WHOLE_REQUEST.saturating_mul(4);
    let clients = Clients::new(Rc::new(Calling { handler }), limits);
    let accepting = tokio::task::spawn_local(clients.clone().accept(listener));
    Ok(CallServer { clients, accepting })
}
