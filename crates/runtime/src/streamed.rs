//! An answer that is passed on while it comes in. It drives the connection that brings it, and gives that
//! back when it is whole.

use crate::payload::BodyError;
use crate::stall::StallTimer;
use crate::upstream::{Link, Upstream};
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use ivygate_gateway::ServerId;
use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

/// The body of an answer that is passed on.
pub struct Streamed {
    /// `None` once the answer is whole or has broken.
    link: Option<Box<Link>>,
    incoming: Incoming,
    server: ServerId,
    upstream: Rc<Upstream>,
    pauses: StallTimer,
}

impl Streamed {
    pub(crate) fn new(
        link: Box<Link>,
        incoming: Incoming,
        server: ServerId,
        upstream: Rc<Upstream>,
        stall: Duration,
    ) -> Self {
        Self { link: Some(link), incoming, server, upstream, pauses: StallTimer::new(stall) }
    }

    /// Gives the connection back: the answer is whole.
    fn finish(&mut self) {
        let Some(mut link) = self.link.take() else { return };
        // hyper notes only on its next turn that the answer was the last; one whose request is still being
        // written is not given back.
        link.drive(&mut Context::from_waker(Waker::noop()));
        if link.is_ready() {
            self.upstream.put_back(self.server, link);
        }
    }

    fn fail(&mut self, error: BodyError) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.link = None;
        self.upstream.stream_broke(self.server);
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
            if let Some(link) = &mut this.link {
                link.drive(cx);
                frame = Pin::new(&mut this.incoming).poll_frame(cx);
            }
        }
        match frame {
            Poll::Ready(Some(Ok(frame))) => {
                this.pauses.reset();
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
            Poll::Pending => match this.pauses.poll_stalled(cx) {
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
        // An answer without a body is never polled.
        if self.incoming.is_end_stream() {
            self.finish();
        }
    }
}
