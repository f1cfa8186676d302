//! Request bodies from clients: buffered up to the pool's limit so that they can be resent, and streamed beyond it.

use crate::pool::{BufferedBytes, Pool};
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

/// Error of reading a request body.
pub enum BodyReadError {
    /// No data arrived within the stall timeout.
    Stalled,
    /// The pool has reached its limit of buffered bytes.
    BufferFull,
    /// The body is malformed.
    Malformed,
    /// The connection failed.
    Disconnected(hyper::Error),
}

/// Reads a body, completely if it is within the limit. The buffered bytes count against the pool until the returned
/// [`BufferedBytes`] is dropped.
pub async fn read(
    mut body: Incoming,
    pool: &Rc<Pool>,
    stall: Duration,
    body_malformed: Rc<Cell<bool>>,
) -> Result<(RequestBody, BufferedBytes), BodyReadError> {
    let limit = pool.settings.repeat_limit;
    let mut buffer = BytesMut::new();
    let mut reserved = pool.start_buffering();
    if body.is_end_stream() {
        return Ok((RequestBody::buffered(Bytes::new()), reserved));
    }
    if body.size_hint().lower() > limit as u64 {
        // A body this long cannot be resent, so none of it is buffered.
        return Ok((
            RequestBody::streamed(Bytes::new(), Box::pin(Upload::new(body, stall, body_malformed))),
            reserved,
        ));
    }
    loop {
        let frame = match timeout(stall, body.frame()).await {
            Err(_) => return Err(BodyReadError::Stalled),
            Ok(None) => return Ok((RequestBody::buffered_with_trailers(buffer.freeze(), None), reserved)),
            Ok(Some(Err(error))) if is_malformed(&error) => return Err(BodyReadError::Malformed),
            Ok(Some(Err(error))) => return Err(BodyReadError::Disconnected(error)),
            Ok(Some(Ok(frame))) => frame,
        };
        match frame.into_data() {
            Ok(data) => {
                if !reserved.grow(data.len()) {
                    return Err(BodyReadError::BufferFull);
                }
                buffer.extend_from_slice(&data);
                if buffer.len() > limit {
                    let rest = Box::pin(Upload::new(body, stall, body_malformed));
                    return Ok((RequestBody::streamed(buffer.freeze(), rest), reserved));
                }
            }
            Err(frame) => {
                if let Ok(trailers) = frame.into_trailers() {
                    return Ok((
                        RequestBody::buffered_with_trailers(buffer.freeze(), Some(trailers)),
                        reserved,
                    ));
                }
            }
        }
    }
}

/// Remainder of a body that is still being received.
struct Upload {
    incoming: Incoming,
    stall_watch: StallTimer,
    /// Set if the body turns out to be malformed.
    body_malformed: Rc<Cell<bool>>,
}

/// Returns whether an error was caused by malformed data rather than by the connection.
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
    fn new(incoming: Incoming, stall: Duration, body_malformed: Rc<Cell<bool>>) -> Self {
        Self { incoming, stall_watch: StallTimer::new(stall), body_malformed }
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
            this.stall_watch.reset();
            if let Some(Err(error)) = &frame {
                this.body_malformed.set(is_malformed(error));
            }
            return Poll::Ready(frame.map(|frame| frame.map_err(Into::into)));
        }
        this.stall_watch.poll_stalled(cx).map(|stalled| Some(Err(Box::new(stalled) as BodyError)))
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
