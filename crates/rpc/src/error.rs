//! The closed list of error kinds, and the answer to each.

use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Every kind of error that a process tells another, or an operator.
///
/// The words on the wire are those of the first release.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// The request can't be read.
    Malformed,
    /// The configuration breaks a rule.
    Invalid,
    /// There is nothing of that name.
    #[serde(rename = "unknown")]
    NotFound,
    /// The method is not for that path.
    #[serde(rename = "method")]
    MethodNotAllowed,
    /// Another content was acknowledged under the same version.
    Conflict,
    /// What was acknowledged under a version is not remembered any more, so neither yes nor no may be said.
    #[serde(rename = "forgotten")]
    VersionForgotten,
    /// The request is larger than allowed.
    TooLarge,
    /// This process can't answer yet: it has begun nothing, and another may be asked.
    #[serde(rename = "unready")]
    NotReady,
    /// No quorum of the configuration store can be reached.
    #[serde(rename = "no_majority")]
    NoQuorum,
    /// Another process can't be reached.
    Unreachable,
    /// There was no answer in time.
    #[serde(rename = "late")]
    Timeout,
    /// The disk failed.
    Disk,
    /// A setting can't be acted on.
    #[serde(rename = "setting")]
    Configuration,
}

/// How an error is answered.
struct ErrorAnswer {
    kind: ErrorKind,
    status: StatusCode,
    /// Whether the same request may succeed elsewhere or later.
    is_retryable: bool,
}

const fn answer(kind: ErrorKind, status: StatusCode, is_retryable: bool) -> ErrorAnswer {
    ErrorAnswer { kind, status, is_retryable }
}

/// One row a kind.
const ANSWERS: [ErrorAnswer; 13] = [
    answer(ErrorKind::Malformed, StatusCode::BAD_REQUEST, false),
    answer(ErrorKind::Invalid, StatusCode::BAD_REQUEST, false),
    answer(ErrorKind::NotFound, StatusCode::NOT_FOUND, false),
    answer(ErrorKind::MethodNotAllowed, StatusCode::METHOD_NOT_ALLOWED, false),
    answer(ErrorKind::Conflict, StatusCode::CONFLICT, false),
    answer(ErrorKind::VersionForgotten, StatusCode::SERVICE_UNAVAILABLE, true),
    answer(ErrorKind::TooLarge, StatusCode::PAYLOAD_TOO_LARGE, false),
    answer(ErrorKind::NotReady, StatusCode::SERVICE_UNAVAILABLE, true),
    answer(ErrorKind::NoQuorum, StatusCode::SERVICE_UNAVAILABLE, true),
    answer(ErrorKind::Unreachable, StatusCode::SERVICE_UNAVAILABLE, true),
    answer(ErrorKind::Timeout, StatusCode::SERVICE_UNAVAILABLE, true),
    answer(ErrorKind::Disk, StatusCode::SERVICE_UNAVAILABLE, true),
    answer(ErrorKind::Configuration, StatusCode::INTERNAL_SERVER_ERROR, false),
];

impl ErrorKind {
    /// All kinds.
    pub fn all() -> impl Iterator<Item = Self> {
        ANSWERS.iter().map(|answer| answer.kind)
    }

    /// The status that answers it.
    pub fn status(self) -> StatusCode {
        let answer = ANSWERS.iter().find(|answer| answer.kind == self);
        answer.map_or(StatusCode::INTERNAL_SERVER_ERROR, |answer| answer.status)
    }

    /// Whether the same request may succeed elsewhere or later.
    pub fn is_retryable(self) -> bool {
        ANSWERS.iter().any(|answer| answer.kind == self && answer.is_retryable)
    }
}

/// An error as it is told to another process or an operator.
///
/// Inside a process, parts have error types of their own; they are turned into this one at the edge.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RpcError {
    /// Its kind.
    pub kind: ErrorKind,
    /// What is wrong, and where, for people.
    pub detail: String,
}

impl RpcError {
    /// An error of a kind.
    pub fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self { kind, detail: detail.into() }
    }

    /// A request that can't be read as JSON of its type.
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
