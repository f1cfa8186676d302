//! A request's body on its way to a server: held, so that it can be sent again, or held in part and streamed.

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::HeaderMap;
use std::cell::{Cell, RefCell};
use std::error::Error;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// What is handed to hyper at once of a held body.
const PIECE: usize = 64 << 10;

/// Why a body that was being streamed ended early.
pub type BodyError = Box<dyn Error + Send + Sync>;
/// The part of a body that is still coming in.
pub type RemainingBody = Pin<Box<dyn Body<Data = Bytes, Error = BodyError>>>;

/// A request's body.
pub struct RequestBody {
    held: Bytes,
    trailers: Option<HeaderMap>,
    /// `None` once it has been taken by an attempt, and where all is held.
    rest: RefCell<Option<RemainingBody>>,
    streamed: bool,
    /// A byte of the rest has been asked for: it can't be had again.
    begun: Rc<Cell<bool>>,
}

impl RequestBody {
    /// A body that is here as a whole.
    pub fn buffered(held: Bytes) -> Self {
        Self::buffered_with_trailers(held, None)
    }

    /// A whole body with trailers behind it.
    pub fn buffered_with_trailers(held: Bytes, trailers: Option<HeaderMap>) -> Self {
        Self { held, trailers, rest: RefCell::default(), streamed: false, begun: Rc::default() }
    }

    /// A body whose rest comes in while it is sent on. It can be sent again only as long as nothing of the
    /// rest has been asked for.
    pub fn streamed(held: Bytes, rest: RemainingBody) -> Self {
        let rest = RefCell::new(Some(rest));
        Self { held, trailers: None, rest, streamed: true, begun: Rc::default() }
    }

    /// Whether a part of it is still coming in.
    pub fn is_streamed(&self) -> bool {
        self.streamed
    }

    /// Its bytes, if it is here as a whole.
    pub fn buffered_bytes(&self) -> Option<Bytes> {
        (!self.streamed).then(|| self.held.clone())
    }

    /// Whether trailers are held with it.
    pub fn has_trailers(&self) -> bool {
        self.trailers.is_some()
    }

    /// Whether it can't be sent any more.
    pub fn is_consumed(&self) -> bool {
        self.begun.get()
    }

    /// Its bytes for one attempt; the rest comes back if that attempt ends before it has asked for it.
    pub(crate) fn outgoing(self: &Rc<Self>, sent: &Rc<Sent>) -> Outgoing {
        let outgoing = Outgoing {
            held: self.held.clone(),
            trailers: self.trailers.clone(),
            rest: self.rest.borrow_mut().take(),
            payload: self.clone(),
            sent: sent.clone(),
        };
        if outgoing.is_end_stream() {
            sent.last.set(true);
        }
        outgoing
    }
}

/// How much of a body has been handed over for writing.
#[derive(Default)]
pub(crate) struct Sent {
    /// All of it.
    pub last: Cell<bool>,
    /// The side that it came from broke it off: no fault of the server.
    pub broken_off: Cell<bool>,
}

/// A body as hyper takes it.
pub(crate) struct Outgoing {
    held: Bytes,
    trailers: Option<HeaderMap>,
    rest: Option<RemainingBody>,
    payload: Rc<RequestBody>,
    sent: Rc<Sent>,
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let this = &mut *self;
        if !this.held.is_empty() {
            let piece = this.held.split_to(this.held.len().min(PIECE));
            this.sent.last.set(this.is_end_stream());
            return Poll::Ready(Some(Ok(Frame::data(piece))));
        }
        if let Some(rest) = &mut this.rest {
            this.payload.begun.set(true);
            let frame = std::task::ready!(rest.as_mut().poll_frame(cx));
            match &frame {
                Some(Ok(_)) => this.sent.last.set(rest.is_end_stream()),
                Some(Err(_)) => this.sent.broken_off.set(true),
                None => this.sent.last.set(true),
            }
            return Poll::Ready(frame);
        }
        this.sent.last.set(true);
        Poll::Ready(this.trailers.take().map(|trailers| Ok(Frame::trailers(trailers))))
    }

    fn is_end_stream(&self) -> bool {
        let rest = self.rest.as_ref().is_none_or(hyper::body::Body::is_end_stream);
        self.held.is_empty() && self.trailers.is_none() && rest
    }

    fn size_hint(&self) -> SizeHint {
        let held = self.held.len() as u64;
        match &self.rest {
            None if self.trailers.is_none() => SizeHint::with_exact(held),
            None => SizeHint::default(),
            Some(rest) => match rest.size_hint().exact() {
                Some(rest) => SizeHint::with_exact(held + rest),
                None => SizeHint::default(),
            },
        }
    }
}

impl Drop for Outgoing {
    fn drop(&mut self) {
        if !self.payload.begun.get() {
            *self.payload.rest.borrow_mut() = self.rest.take();
        }
    }
}
