//! A response body that is forwarded while it is received. It drives its connection, and returns the
//! connection to the idle ones when the body is complete.

use crate::request_body::BodyError;
use crate::stall::StallTimer;
use crate::upstream::{ServerConnection, Upstream};
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use ivygate_gateway::ServerId;
use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

/// Body of a response that is forwarded while it is received.
pub struct Streamed {
    /// `None` once the response is complete or has failed.
    connection: Option<Box<ServerConnection>>,
    incoming: Incoming,
    server: ServerId,
    upstream: Rc<Upstream>,
    stall_timer: StallTimer,
}

impl Streamed {
    pub(crate) fn new(
        connection: Box<ServerConnection>,
        incoming: Incoming,
        server: ServerId,
        upstream: Rc<Upstream>,
        stall_timeout: Duration,
    ) -> Self {
        let stall_timer = StallTimer::new(stall_timeout);
        Self { connection: Some(connection), incoming, server, upstream, stall_timer }
    }

    /// Returns the connection to the idle ones, as the response is complete.
    fn finish(&mut self) {
        let Some(mut connection) = self.connection.take() else { return };
        // hyper notices the end of the response only when it is polled again. A connection whose request is
        // still being written is closed instead.
        connection.drive(&mut Context::from_waker(Waker::noop()));
        if connection.is_ready() {
            self.upstream.add_idle(self.server, connection);
        }
    }

    fn fail(&mut self, error: BodyError) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.connection = None;
        self.upstream.record_failed_stream(self.server);
        Poll::Ready(Some(Err(error)))
    }
}

impl fmt::Debug for Streamed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Streamed").field("server", &self.server).finish_non_exhaustive()
    }
}

impl Body for Streamed {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let this = &mut *self;
        let mut frame = Pin::new(&mut this.incoming).poll_frame(cx);
        if frame.is_pending() {
            if let Some(connection) = &mut this.connection {
                connection.drive(cx);
                frame = Pin::new(&mut this.incoming).poll_frame(cx);
            }
        }
        match frame {
            Poll::Ready(Some(Ok(frame))) => {
                this.stall_timer.reset();
                if this.incoming.is_end_stream() {
                    this.finish();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => this.fail(error.into()),
            Poll::Ready(None) => {
                this.finish();
                Poll::Ready(None)
            }
            Poll::Pending => match this.stall_timer.poll_stalled(cx) {
                Poll::Ready(stalled) => this.fail(Box::new(stalled)),
                Poll::Pending => Poll::Pending,
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

impl Drop for Streamed {
    fn drop(&mut self) {
        // The body of a response without one is never polled.
        if self.incoming.is_end_stream() {
            self.finish();
        }
    }
}
