//! Request bodies, which are read completely before a request is dispatched, within a limit on the memory of all bodies.

use crate::response::{Rejection, RETRY_SOON_MS};
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::StatusCode;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{timeout, Instant};

/// Time allowed to receive a body, from the start of the request.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of bytes of all bodies held at once.
const MAX_HELD_BYTES: usize = 96 << 20;

/// Memory budget of request bodies, which counts the bytes of all bodies held.
#[derive(Clone, Default)]
pub(crate) struct BodyBudget {
    used_bytes: Rc<Cell<usize>>,
}

/// Body that counts toward the budget until it is dropped.
pub(crate) struct HeldBody {
    /// Content of the body.
    pub bytes: Bytes,
    used_bytes: Rc<Cell<usize>>,
    size: usize,
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        self.used_bytes.set(self.used_bytes.get() - self.size);
    }
}

impl BodyBudget {
    /// Counts a body toward the budget.
    fn hold(&self, bytes: Bytes) -> HeldBody {
        let size = bytes.len();
        self.used_bytes.set(self.used_bytes.get() + size);
        HeldBody { bytes, used_bytes: self.used_bytes.clone(), size }
    }

    /// Reads a body completely, so that a request with a truncated body never reaches a server.
    pub async fn read(
        &self,
        body: Incoming,
        max_bytes: u64,
        started_at: Instant,
    ) -> Result<HeldBody, Rejection> {
        if body.is_end_stream() {
            return Ok(self.hold(Bytes::new()));
        }
        let too_large = || Rejection::new(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
        let min_bytes = body.size_hint().lower();
        if min_bytes > max_bytes {
            return Err(too_large());
        }
        let max_bytes = (max_bytes as usize).min(MAX_HELD_BYTES.saturating_sub(self.used_bytes.get()));
        if min_bytes as usize > max_bytes {
            return Err(Rejection::unavailable("too many bodies are held", RETRY_SOON_MS));
        }
        let remaining_time = BODY_TIMEOUT.saturating_sub(started_at.elapsed());
        match timeout(remaining_time, Limited::new(body, max_bytes).collect()).await {
            Err(_) => Err(Rejection::new(StatusCode::REQUEST_TIMEOUT, "the body did not come in time")),
            Ok(Ok(body)) => Ok(self.hold(body.to_bytes())),
            Ok(Err(error)) if error.is::<LengthLimitError>() => Err(too_large()),
            Ok(Err(error)) => match error.downcast::<hyper::Error>() {
                Ok(error) => Err(Rejection::ConnectionLost(*error)),
                Err(_) => Err(Rejection::new(StatusCode::BAD_REQUEST, "the body is malformed")),
            },
        }
    }
}
