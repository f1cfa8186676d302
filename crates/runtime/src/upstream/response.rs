//! Reading a server's response, completely or up to the part that is forwarded while it is received.

use crate::memory::{ChargedBuffer, MemoryAccount, MemoryUse};
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{HeaderMap, Response, StatusCode};
use std::collections::VecDeque;
use std::io;
use std::sync::Arc;

/// Error for an exchange without a complete, valid response.
pub(super) enum ExchangeError {
    /// The connection ended or failed.
    ConnectionLost,
    /// The response is malformed, too long or not allowed.
    InvalidResponse,
}

impl From<hyper::Error> for ExchangeError {
    fn from(error: hyper::Error) -> Self {
        // hyper reports a malformed chunk as a body error whose source has one of these kinds.
        let is_malformed = |error: &io::Error| {
            matches!(error.kind(), io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput)
        };
        let source = std::error::Error::source(&error).and_then(|e| e.downcast_ref::<io::Error>());
        if error.is_parse() || source.is_some_and(is_malformed) {
            ExchangeError::InvalidResponse
        } else {
            ExchangeError::ConnectionLost
        }
    }
}

/// A response that has been received completely.
pub(super) struct BufferedResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// Body of a response, as far as it has been received.
pub(super) enum ReceivedBody {
    /// It is complete.
    Complete(Bytes),
    /// The rest is received while it is forwarded, after these parts.
    Partial(VecDeque<Bytes>, Incoming),
}

/// Reads a response completely.
pub(super) async fn read_response(
    response: Response<Incoming>,
    max_body_bytes: usize,
) -> Result<BufferedResponse, ExchangeError> {
    check_framing(&response)?;
    let (parts, body) = response.into_parts();
    if body.size_hint().lower() > max_body_bytes as u64 {
        return Err(ExchangeError::InvalidResponse);
    }
    let body = Limited::new(body, max_body_bytes).collect().await.map_err(|error| {
        match error.downcast::<hyper::Error>() {
            Ok(error) => ExchangeError::from(*error),
            // The body exceeds the maximum length.
            Err(_) => ExchangeError::InvalidResponse,
        }
    })?;
    Ok(BufferedResponse { status: parts.status, headers: parts.headers, body: body.to_bytes() })
}

/// Checks that the end of a response's body can be recognized, and that it is a final response.
pub(super) fn check_framing(response: &Response<Incoming>) -> Result<(), ExchangeError> {
    let headers = response.headers();
    let has_length = headers.contains_key(CONTENT_LENGTH);
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let is_chunked = codings.next().map(|value| value.as_bytes().eq_ignore_ascii_case(b"chunked"));
    match is_chunked {
        // Without a length or chunks, only the end of the connection would mark the end of the body. A
        // truncated body would then look complete, since a server that dies ends the connection too.
        None if !has_length && !response.body().is_end_stream() => return Err(ExchangeError::ConnectionLost),
        None => {}
        // With both a length and chunks, or several codings, the end of the body would be ambiguous.
        Some(true) if !has_length && codings.next().is_none() => {}
        Some(_) => return Err(ExchangeError::InvalidResponse),
    }
    // A change of protocol was not requested.
    if response.status().is_informational() {
        return Err(ExchangeError::InvalidResponse);
    }
    Ok(())
}

/// Reads a body up to `max_bytes`, and completely if it is not longer and the account has memory for it.
pub(super) async fn read_body(
    mut body: Incoming,
    max_bytes: usize,
    account: &Arc<MemoryAccount>,
) -> Result<ReceivedBody, ExchangeError> {
    if body.is_end_stream() {
        return Ok(ReceivedBody::Complete(Bytes::new()));
    }
    let length = body.size_hint().exact();
    let Ok(mut buffer) = ChargedBuffer::new(account, |_| MemoryUse::BufferedResponses, length, max_bytes)
    else {
        return Ok(ReceivedBody::Partial(VecDeque::new(), body));
    };
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        if buffer.extend(&data).is_err() {
            return Ok(ReceivedBody::Partial(VecDeque::from([buffer.freeze(), data]), body));
        }
    }
    Ok(ReceivedBody::Complete(buffer.freeze()))
}
