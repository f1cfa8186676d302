//! Responses to clients: the streamed response of an application, or a short text of the sidecar itself.

use crate::front::FULL_RETRY_AFTER_MS;
use crate::pool::{BufferedBytes, Pool, RequestSlot};
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};
use ivygate_runtime::{BodyError, RequestGuard, Streamed};
use std::pin::Pin;
use std::task::{Context, Poll};

/// Resources held by a request until its response has been sent.
#[allow(dead_code, reason = "the fields are kept only to be dropped with the response")]
pub struct HeldResources {
    /// Guard of the request on the client's connection.
    pub guard: RequestGuard,
    /// Slot among the pool's open requests.
    pub slot: Option<RequestSlot>,
    /// Buffered bytes of the request body.
    pub body_bytes: Option<BufferedBytes>,
}

impl HeldResources {
    /// Acquires a request slot in a pool.
    ///
    /// # Errors
    /// Returns an error response if the pool has no free slot.
    pub fn acquire_slot(&mut self, pool: &Pool) -> Result<(), TextResponse> {
        self.slot = Some(pool.acquire_slot().ok_or_else(|| {
            let text = "this pool has as many requests open as it may; nothing was run";
            TextResponse::retry_later(StatusCode::SERVICE_UNAVAILABLE, text, FULL_RETRY_AFTER_MS)
        })?);
        Ok(())
    }
}

/// Body of a response.
pub struct ResponseBody {
    source: BodySource,
    _resources: HeldResources,
}

/// Source of a response body.
enum BodySource {
    Buffered(Bytes),
    Streamed(Box<Streamed>),
}

impl ResponseBody {
    /// Creates a body that is already complete.
    pub fn buffered(body: Bytes, resources: HeldResources) -> Self {
        Self { source: BodySource::Buffered(body), _resources: resources }
    }

    /// Creates a body that is streamed from an application.
    pub fn streamed(body: Streamed, resources: HeldResources) -> Self {
        Self { source: BodySource::Streamed(Box::new(body)), _resources: resources }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match &mut self.source {
            BodySource::Buffered(bytes) if bytes.is_empty() => Poll::Ready(None),
            BodySource::Buffered(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            BodySource::Streamed(body) => Pin::new(&mut **body).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.source {
            BodySource::Buffered(bytes) => bytes.is_empty(),
            BodySource::Streamed(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            BodySource::Buffered(bytes) => SizeHint::with_exact(bytes.len() as u64),
            BodySource::Streamed(body) => body.size_hint(),
        }
    }
}

/// Response with a text of the sidecar itself.
pub struct TextResponse {
    status: StatusCode,
    text: String,
    headers: Vec<(header::HeaderName, HeaderValue)>,
}

impl TextResponse {
    /// Creates a response with a status and a line of text.
    pub fn new(status: StatusCode, text: impl Into<String>) -> Self {
        Self { status, text: text.into(), headers: Vec::new() }
    }

    /// Creates a rejection that may safely be retried after `retry_after_ms` milliseconds.
    pub fn retry_later(status: StatusCode, text: &str, retry_after_ms: f64) -> Self {
        // The header is defined in whole seconds.
        let seconds = (retry_after_ms / 1000.0).ceil().max(1.0) as u64;
        Self::new(status, text).with_header(header::RETRY_AFTER, HeaderValue::from(seconds))
    }

    /// Adds a header.
    pub fn with_header(mut self, name: header::HeaderName, value: HeaderValue) -> Self {
        self.headers.push((name, value));
        self
    }

    /// Closes the connection after this response.
    pub fn closing(self) -> Self {
        self.with_header(header::CONNECTION, HeaderValue::from_static("close"))
    }

    /// Converts into an HTTP response.
    pub fn into_response(self, resources: HeldResources) -> Response<ResponseBody> {
        let text = format!("ivygate: {}\n", self.text);
        let mut response =
            Response::new(ResponseBody { source: BodySource::Buffered(text.into()), _resources: resources });
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain; charset=utf-8"));
        headers.extend(self.headers);
        response
    }
}
