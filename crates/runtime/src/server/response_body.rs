//! Body of a response on its way to hyper, which tells the connection's state when hyper has it completely.

use super::client::Client;
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// Body of a response. hyper drops it once it has taken all of it.
pub(super) struct TrackedBody<B> {
    body: B,
    client: Rc<Client>,
}

impl<B> TrackedBody<B> {
    pub fn new(body: B, client: Rc<Client>) -> Self {
        Self { body, client }
    }
}

impl<B: Body + Unpin> Body for TrackedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl<B> Drop for TrackedBody<B> {
    fn drop(&mut self) {
        self.client.record_buffered();
    }
}
