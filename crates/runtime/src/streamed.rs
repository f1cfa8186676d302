//! A response body that is forwarded while it is received. It drives its connection, and returns the
//! connection to the idle ones when the body is complete.

use crate::memory::{MemoryAccount, MemoryCharge, MemoryUse};
use crate::request_body::BodyError;
use crate::stall::StallTimer;
use crate::upstream::{ServerConnection, Upstream};
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use ivygate_gateway::ServerId;
use std::collections::VecDeque;
use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{ready, Context, Poll, Waker};
use std::time::Duration;
use tokio::time::{sleep_until, Instant, Sleep};

/// Body of a response that is forwarded while it is received.
pub struct Streamed {
    /// `None` once the response is complete or has failed.
    connection: Option<Box<ServerConnection>>,
    incoming: Incoming,
    server: ServerId,
    upstream: Rc<Upstream>,
    stall_timer: StallTimer,
    /// Parts of the body that were received before it was decided to forward the rest meanwhile.
    received: VecDeque<Bytes>,
    window: Window,
    /// Time at which the response is given up.
    deadline: Option<Pin<Box<Sleep>>>,
}

/// Memory for the part of a response that is under way between its server and its client.
enum Window {
    /// It is limited elsewhere.
    Unlimited,
    /// Nothing is read before the account has the memory.
    Pending(Pin<Box<dyn Future<Output = Option<MemoryCharge>>>>),
    /// Charged until the response is forwarded.
    Charged { _charge: Option<MemoryCharge> },
}

/// Error for a response that was not forwarded completely within the time of its request.
#[derive(Debug)]
struct DeadlineExceeded;

impl fmt::Display for DeadlineExceeded {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the response was not forwarded within the time of its request")
    }
}

impl std::error::Error for DeadlineExceeded {}

impl Streamed {
    pub(crate) fn new(
        connection: Box<ServerConnection>,
        incoming: Incoming,
        server: ServerId,
        upstream: Rc<Upstream>,
        stall_timeout: Duration,
    ) -> Self {
        let stall_timer = StallTimer::new(stall_timeout);
        Self {
            connection: Some(connection),
            incoming,
            server,
            upstream,
            stall_timer,
            received: VecDeque::new(),
            window: Window::Unlimited,
            deadline: None,
        }
    }

    /// Adds the parts of the body that have been received already.
    pub(crate) fn with_received(mut self, received: VecDeque<Bytes>) -> Self {
        self.received = received;
        self
    }

    /// Limits the memory for the part of the response that is under way: nothing is read from the server before the account has
    /// this memory.
    pub(crate) fn with_window(mut self, account: Arc<MemoryAccount>, bytes: usize) -> Self {
        self.window = Window::Pending(Box::pin(account.charge(MemoryUse::StreamedResponses, bytes)));
        self
    }

    /// Gives the response up at a time, so that a client that reads slowly does not hold its memory for longer.
    pub fn set_deadline(&mut self, deadline: Instant) {
        self.deadline = Some(Box::pin(sleep_until(deadline)));
    }

    fn poll_window(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if let Window::Pending(charging) = &mut self.window {
            self.window = Window::Charged { _charge: ready!(charging.as_mut().poll(cx)) };
        }
        Poll::Ready(())
    }

    fn poll_deadline(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        self.deadline.as_mut().map_or(Poll::Pending, |deadline| deadline.as_mut().poll(cx))
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
        if this.poll_deadline(cx).is_ready() {
            // The server has not failed.
            this.connection = None;
            return Poll::Ready(Some(Err(Box::new(DeadlineExceeded))));
        }
        ready!(this.poll_window(cx));
        if let Some(data) = this.received.pop_front() {
            return Poll::Ready(Some(Ok(Frame::data(data))));
        }
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
        self.received.is_empty() && self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let received = self.received.iter().map(|data| data.len() as u64).sum::<u64>();
        match self.incoming.size_hint().exact() {
            Some(rest) => SizeHint::with_exact(received + rest),
            None => SizeHint::default(),
        }
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
