//! Error kinds shared by all processes, with the HTTP status of each.

use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Kind of an error that a process reports to another process or to an operator.
///
/// The names on the wire are those of the first release.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// The message cannot be parsed.
    Malformed,
    /// The request or the configuration violates a rule.
    Invalid,
    /// The requested object or path does not exist.
    #[serde(rename = "unknown")]
    NotFound,
    /// The path does not support the method.
    #[serde(rename = "method")]
    MethodNotAllowed,
    /// Different content was acknowledged under the same version.
    Conflict,
    /// The content acknowledged under the version is no longer known, so the request can be neither confirmed nor rejected.
    #[serde(rename = "forgotten")]
    VersionForgotten,
    /// The message exceeds a size limit.
    TooLarge,
    /// The process cannot handle the request yet. It has started nothing, so the request may be sent to another process.
    #[serde(rename = "unready")]
    NotReady,
    /// No quorum of the configuration store is reachable.
    #[serde(rename = "no_majority")]
    NoQuorum,
    /// Another process is unreachable.
    Unreachable,
    /// There was no response in time.
    #[serde(rename = "late")]
    Timeout,
    /// The disk failed.
    Disk,
    /// A setting is invalid or cannot be applied.
    #[serde(rename = "setting")]
    Configuration,
}

/// Properties of an error kind.
struct KindProperties {
    kind: ErrorKind,
    status: StatusCode,
    /// `true` if the same request may succeed at another process or later.
    is_retryable: bool,
}

const fn properties(kind: ErrorKind, status: StatusCode, is_retryable: bool) -> KindProperties {
    KindProperties { kind, status, is_retryable }
}

/// Properties of every error kind.
const KINDS: [KindProperties; 13] = [
    properties(ErrorKind::Malformed, StatusCode::BAD_REQUEST, false),
    properties(ErrorKind::Invalid, StatusCode::BAD_REQUEST, false),
    properties(ErrorKind::NotFound, StatusCode::NOT_FOUND, false),
    properties(ErrorKind::MethodNotAllowed, StatusCode::METHOD_NOT_ALLOWED, false),
    properties(ErrorKind::Conflict, StatusCode::CONFLICT, false),
    properties(ErrorKind::VersionForgotten, StatusCode::SERVICE_UNAVAILABLE, true),
    properties(ErrorKind::TooLarge, StatusCode::PAYLOAD_TOO_LARGE, false),
    properties(ErrorKind::NotReady, StatusCode::SERVICE_UNAVAILABLE, true),
    properties(ErrorKind::NoQuorum, StatusCode::SERVICE_UNAVAILABLE, true),
    properties(ErrorKind::Unreachable, StatusCode::SERVICE_UNAVAILABLE, true),
    properties(ErrorKind::Timeout, StatusCode::SERVICE_UNAVAILABLE, true),
    properties(ErrorKind::Disk, StatusCode::SERVICE_UNAVAILABLE, true),
    properties(ErrorKind::Configuration, StatusCode::INTERNAL_SERVER_ERROR, false),
];

impl ErrorKind {
    /// Returns all kinds.
    pub fn all() -> impl Iterator<Item = Self> {
        KINDS.iter().map(|properties| properties.kind)
    }

    /// Returns the HTTP status of a response with this error.
    pub fn status(self) -> StatusCode {
        let properties = KINDS.iter().find(|properties| properties.kind == self);
        properties.map_or(StatusCode::INTERNAL_SERVER_ERROR, |properties| properties.status)
    }

    /// Returns whether the same request may succeed at another process or later.
    pub fn is_retryable(self) -> bool {
        KINDS.iter().any(|properties| properties.kind == self && properties.is_retryable)
    }
}

/// Error reported to another process or to an operator.
///
/// Components have their own error types, which are converted to this one at the process boundary.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RpcError {
    /// Kind of the error.
    pub kind: ErrorKind,
    /// Human-readable description of the error and its location.
    pub detail: String,
}

impl RpcError {
    /// Creates an error.
    pub fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self { kind, detail: detail.into() }
    }

    /// Creates the error for a message that is not valid JSON of its type.
    pub fn malformed(error: &serde_json::Error) -> Self {
        Self::new(ErrorKind::Malformed, error.to_string())
    }
}

impl fmt::Display for RpcError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.detail)
    }
}

impl std::error::Error for RpcError {}

impl miette::Diagnostic for RpcError {
    fn code<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        Some(Box::new(format!("{:?}", self.kind)))
    }
}
