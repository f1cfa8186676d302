//! What a client gets: an application's answer as it comes, or a few words of the sidecar's own.

use crate::front::FULL_RETRY_AFTER;
use crate::pool::{Bytewise, Place, Pool};
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};
use ivygate_runtime::{BodyError, RequestGuard, Streamed};
use std::pin::Pin;
use std::task::{Context, Poll};

/// What a request holds until its answer has gone out.
#[allow(dead_code, reason = "held to be dropped")]
pub struct Held {
    /// Its turn on the client's connection.
    pub turn: RequestGuard,
    /// Its place among the pool's open requests.
    pub place: Option<Place>,
    /// The bytes of its body that are held.
    pub bytes: Option<Bytewise>,
}

impl Held {
    /// Takes a place in a pool for this request.
    ///
    /// # Errors
    /// If the pool has none left.
    pub fn take_place(&mut self, pool: &Pool) -> Result<(), Words> {
        self.place = Some(pool.place().ok_or_else(|| {
            let text = "this pool has as many requests open as it may; nothing was run";
            Words::refused(StatusCode::SERVICE_UNAVAILABLE, text, FULL_RETRY_AFTER)
        })?);
        Ok(())
    }
}

/// The body of an answer.
pub struct AnswerBody {
    what: What,
    _held: Held,
}

enum What {
    Words(Bytes),
    Passed(Box<Streamed>),
}

impl AnswerBody {
    /// An answer that is here as a whole.
    pub fn whole(body: Bytes, held: Held) -> Self {
        Self { what: What::Words(body), _held: held }
    }

    /// An application's answer, passed on.
    pub fn passed(body: Streamed, held: Held) -> Self {
        Self { what: What::Passed(Box::new(body)), _held: held }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match &mut self.what {
            What::Words(words) if words.is_empty() => Poll::Ready(None),
            What::Words(words) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(words))))),
            What::Passed(body) => Pin::new(&mut **body).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.what {
            What::Words(words) => words.is_empty(),
            What::Passed(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.what {
            What::Words(words) => SizeHint::with_exact(words.len() as u64),
            What::Passed(body) => body.size_hint(),
        }
    }
}

/// An answer in the sidecar's own words.
pub struct Words {
    status: StatusCode,
    text: String,
    headers: Vec<(header::HeaderName, HeaderValue)>,
}

impl Words {
    /// A status and a line of text.
    pub fn new(status: StatusCode, text: impl Into<String>) -> Self {
        Self { status, text: text.into(), headers: Vec::new() }
    }

    /// Refused: trying again after so many milliseconds is harmless.
    pub fn refused(status: StatusCode, text: &str, retry_after: f64) -> Self {
        // Whole seconds, as the field's definition has it.
        let seconds = (retry_after / 1000.0).ceil().max(1.0) as u64;
        Self::new(status, text).with(header::RETRY_AFTER, HeaderValue::from(seconds))
    }

    /// Adds a header.
    pub fn with(mut self, name: header::HeaderName, value: HeaderValue) -> Self {
        self.headers.push((name, value));
        self
    }

    /// Ends the connection behind this answer.
    pub fn closing(self) -> Self {
        self.with(header::CONNECTION, HeaderValue::from_static("close"))
    }

    /// As a response.
    pub fn response(self, held: Held) -> Response<AnswerBody> {
        let text = format!("ivygate: {}\n", self.text);
        let mut response = Response::new(AnswerBody { what: What::Words(text.into()), _held: held });
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain; charset=utf-8"));
        headers.extend(self.headers);
        response
    }
}
