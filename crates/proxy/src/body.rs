//! Request bodies, which are read completely before a request is dispatched. Their memory is charged before they are read.

use crate::response::{Rejection, RETRY_SOON_MS};
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::StatusCode;
use ivygate_runtime::{BufferFull, ChargedBuffer, MemoryAccount, MemoryUse, ReceiveError};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{timeout, Instant};

/// Time allowed to receive a body, from the start of the request.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

impl From<BufferFull> for Rejection {
    fn from(error: BufferFull) -> Self {
        match error {
            BufferFull::TooLong => Self::new(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"),
            BufferFull::OutOfMemoryShare => Self::unavailable("too many bodies are held", RETRY_SOON_MS),
        }
    }
}

impl From<ReceiveError> for Rejection {
    fn from(error: ReceiveError) -> Self {
        match error {
            ReceiveError::Full(error) => error.into(),
            ReceiveError::ConnectionLost(error) => Self::ConnectionLost(error),
        }
    }
}

/// Reads a body completely, so that a request with a truncated body never reaches a server.
pub(crate) async fn read_body(
    memory: &Arc<MemoryAccount>,
    body: Incoming,
    max_bytes: usize,
    started_at: Instant,
) -> Result<Bytes, Rejection> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let buffer = ChargedBuffer::new(memory, MemoryUse::of_request, body.size_hint().exact(), max_bytes)?;
    let remaining_time = BODY_TIMEOUT.saturating_sub(started_at.elapsed());
    match timeout(remaining_time, buffer.receive(body)).await {
        Ok(received) => Ok(received?),
        Err(_) => Err(Rejection::new(StatusCode::REQUEST_TIMEOUT, "the body did not come in time")),
    }
}
