//! Body of a request that is forwarded: buffered, so that it can be sent again, or buffered in part and
//! streamed.

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::HeaderMap;
use std::cell::{Cell, RefCell};
use std::error::Error;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// Maximum length of the frames in which a buffered body is handed to hyper, in bytes.
const MAX_FRAME_BYTES: usize = 64 << 10;

/// Error with which a streamed body ended early.
pub type BodyError = Box<dyn Error + Send + Sync>;
/// The part of a body that has not been received yet.
pub type RemainingBody = Pin<Box<dyn Body<Data = Bytes, Error = BodyError>>>;

/// Body of a request.
pub struct RequestBody {
    buffered: Bytes,
    trailers: Option<HeaderMap>,
    /// `None` while an attempt has it, and for a body that is buffered completely.
    remaining: RefCell<Option<RemainingBody>>,
    is_streamed: bool,
    /// The remaining part has been polled, so it cannot be sent a second time.
    is_consumed: Rc<Cell<bool>>,
}

impl RequestBody {
    /// Creates a body that has been received completely.
    pub fn buffered(bytes: Bytes) -> Self {
        Self::buffered_with_trailers(bytes, None)
    }

    /// Creates a body that has been received completely, with its trailers.
    pub fn buffered_with_trailers(bytes: Bytes, trailers: Option<HeaderMap>) -> Self {
        Self {
            buffered: bytes,
            trailers,
            remaining: RefCell::default(),
            is_streamed: false,
            is_consumed: Rc::default(),
        }
    }

    /// Creates a body whose remaining part is received while it is forwarded. It can be sent again only as
    /// long as the remaining part has not been polled.
    pub fn streamed(buffered: Bytes, remaining: RemainingBody) -> Self {
        Self {
            buffered,
            trailers: None,
            remaining: RefCell::new(Some(remaining)),
            is_streamed: true,
            is_consumed: Rc::default(),
        }
    }

    /// Returns whether the body is received while it is forwarded.
    pub fn is_streamed(&self) -> bool {
        self.is_streamed
    }

    /// Returns the bytes of a body that is buffered completely.
    pub fn buffered_bytes(&self) -> Option<Bytes> {
        (!self.is_streamed).then(|| self.buffered.clone())
    }

    /// Returns whether the body has buffered trailers.
    pub fn has_trailers(&self) -> bool {
        self.trailers.is_some()
    }

    /// Returns whether the body cannot be sent again.
    pub fn is_consumed(&self) -> bool {
        self.is_consumed.get()
    }

    /// Returns the body for one attempt. The remaining part comes back if the attempt ends before it has
    /// polled it.
    pub(crate) fn for_attempt(self: &Rc<Self>, source_failed: &Rc<Cell<bool>>) -> AttemptBody {
        AttemptBody {
            buffered: self.buffered.clone(),
            trailers: self.trailers.clone(),
            remaining: self.remaining.borrow_mut().take(),
            source: self.clone(),
            source_failed: source_failed.clone(),
        }
    }
}

/// Body of one attempt.
pub(crate) struct AttemptBody {
    buffered: Bytes,
    trailers: Option<HeaderMap>,
    remaining: Option<RemainingBody>,
    source: Rc<RequestBody>,
    /// Set once receiving the body from the client has failed.
    source_failed: Rc<Cell<bool>>,
}

impl Body for AttemptBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let this = &mut *self;
        if !this.buffered.is_empty() {
            let data = this.buffered.split_to(this.buffered.len().min(MAX_FRAME_BYTES));
            return Poll::Ready(Some(Ok(Frame::data(data))));
        }
        if let Some(remaining) = &mut this.remaining {
            this.source.is_consumed.set(true);
            let frame = std::task::ready!(remaining.as_mut().poll_frame(cx));
            if matches!(frame, Some(Err(_))) {
                this.source_failed.set(true);
            }
            return Poll::Ready(frame);
        }
        Poll::Ready(this.trailers.take().map(|trailers| Ok(Frame::trailers(trailers))))
    }

    fn is_end_stream(&self) -> bool {
        let remaining_ended = self.remaining.as_ref().is_none_or(hyper::body::Body::is_end_stream);
        self.buffered.is_empty() && self.trailers.is_none() && remaining_ended
    }

    fn size_hint(&self) -> SizeHint {
        let buffered = self.buffered.len() as u64;
        match &self.remaining {
            None if self.trailers.is_none() => SizeHint::with_exact(buffered),
            None => SizeHint::default(),
            Some(remaining) => match remaining.size_hint().exact() {
                Some(remaining) => SizeHint::with_exact(buffered + remaining),
                None => SizeHint::default(),
            },
        }
    }
}

impl Drop for AttemptBody {
    fn drop(&mut self) {
        if !self.source.is_consumed.get() {
            *self.source.remaining.borrow_mut() = self.remaining.take();
        }
    }
}
