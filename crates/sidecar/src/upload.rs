//! A client's body: held up to a pool's limit so that it can be sent again, streamed beyond it.

use crate::pool::{Bytewise, Pool};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use ivygate_runtime::{BodyError, RequestBody, StallTimer};
use std::cell::Cell;
use std::error::Error;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::timeout;

/// Why a body is not taken.
pub enum Unread {
    /// It stood still for too long.
    Stalled,
    /// The pool holds as many bytes as it may.
    NoRoom,
    /// It can't be read.
    Malformed,
    /// Its connection broke.
    Lost(hyper::Error),
}

/// Reads a body, whole if it is within the limit. What is held counts against the pool for as long as the
/// second part of the answer lives.
pub async fn read(
    mut body: Incoming,
    pool: &Rc<Pool>,
    stall: Duration,
    spoilt: Rc<Cell<bool>>,
) -> Result<(RequestBody, Bytewise), Unread> {
    let limit = pool.settings.repeat_limit;
    let mut held = BytesMut::new();
    let mut taken = pool.hold();
    if body.is_end_stream() {
        return Ok((RequestBody::buffered(Bytes::new()), taken));
    }
    if body.size_hint().lower() > limit as u64 {
        // It could not be sent again anyway, so nothing of it is held.
        return Ok((RequestBody::streamed(Bytes::new(), Box::pin(Upload::new(body, stall, spoilt))), taken));
    }
    loop {
        let frame = match timeout(stall, body.frame()).await {
            Err(_) => return Err(Unread::Stalled),
            Ok(None) => return Ok((RequestBody::buffered_with_trailers(held.freeze(), None), taken)),
            Ok(Some(Err(error))) if is_malformed(&error) => return Err(Unread::Malformed),
            Ok(Some(Err(error))) => return Err(Unread::Lost(error)),
            Ok(Some(Ok(frame))) => frame,
        };
        match frame.into_data() {
            Ok(data) => {
                if !taken.grow(data.len()) {
                    return Err(Unread::NoRoom);
                }
                held.extend_from_slice(&data);
                if held.len() > limit {
                    let rest = Box::pin(Upload::new(body, stall, spoilt));
                    return Ok((RequestBody::streamed(held.freeze(), rest), taken));
                }
            }
            Err(frame) => {
                if let Ok(trailers) = frame.into_trailers() {
                    return Ok((RequestBody::buffered_with_trailers(held.freeze(), Some(trailers)), taken));
                }
            }
        }
    }
}

/// The part of a body that is still coming in.
struct Upload {
    incoming: Incoming,
    pauses: StallTimer,
    /// Told when it can't be read.
    spoilt: Rc<Cell<bool>>,
}

/// Whether a body ended with bytes that are no part of one, and not with its connection.
fn is_malformed(error: &hyper::Error) -> bool {
    let mut cause = error.source();
    while let Some(error) = cause {
        let io = error.downcast_ref::<std::io::Error>();
        if io.is_some_and(|error| error.kind() == std::io::ErrorKind::InvalidData) {
            return true;
        }
        cause = error.source();
    }
    false
}

impl Upload {
    fn new(incoming: Incoming, stall: Duration, spoilt: Rc<Cell<bool>>) -> Self {
        Self { incoming, pauses: StallTimer::new(stall), spoilt }
    }
}

impl Body for Upload {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let this = &mut *self;
        if let Poll::Ready(frame) = Pin::new(&mut this.incoming).poll_frame(cx) {
            this.pauses.reset();
            if let Some(Err(error)) = &frame {
                this.spoilt.set(is_malformed(error));
            }
            return Poll::Ready(frame.map(|frame| frame.map_err(Into::into)));
        }
        this.pauses.poll_stalled(cx).map(|stalled| Some(Err(Box::new(stalled) as BodyError)))
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
