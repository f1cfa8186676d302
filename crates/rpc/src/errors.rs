//! The closed list of error kinds, and what each is answered with.

use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use std::fmt;

/// All kinds of error that a process of the system tells another or an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A call can't be read.
    Malformed,
    /// A configuration breaks a rule of its own.
    Invalid,
    /// Nothing of that name is known.
    Unknown,
    /// That method is not for that path.
    Method,
    /// Another content was acknowledged under the same version.
    Conflict,
    /// What was acknowledged under a version is not remembered any more: neither yes nor no may be said.
    Forgotten,
    /// A call is larger than allowed.
    TooLarge,
    /// This process is not ready to answer: it rebuilds its state, or its group is not founded.
    Unready,
    /// More than half of the core can't be reached.
    NoMajority,
    /// Another process can't be reached.
    Unreachable,
    /// Another process gave no answer in time.
    Late,
    /// The disk failed.
    Disk,
    /// A setting can't be acted on.
    Setting,
}

/// One row a kind: the status that answers it, and whether the same call may do better elsewhere or later.
const TABLE: [(Kind, StatusCode, bool); 13] = [
    (Kind::Malformed, StatusCode::BAD_REQUEST, false),
    (Kind::Invalid, StatusCode::BAD_REQUEST, false),
    (Kind::Unknown, StatusCode::NOT_FOUND, false),
    (Kind::Method, StatusCode::METHOD_NOT_ALLOWED, false),
    (Kind::Conflict, StatusCode::CONFLICT, false),
    (Kind::Forgotten, StatusCode::SERVICE_UNAVAILABLE, true),
    (Kind::TooLarge, StatusCode::PAYLOAD_TOO_LARGE, false),
    (Kind::Unready, StatusCode::SERVICE_UNAVAILABLE, true),
    (Kind::NoMajority, StatusCode::SERVICE_UNAVAILABLE, true),
    (Kind::Unreachable, StatusCode::SERVICE_UNAVAILABLE, true),
    (Kind::Late, StatusCode::SERVICE_UNAVAILABLE, true),
    (Kind::Disk, StatusCode::SERVICE_UNAVAILABLE, true),
    (Kind::Setting, StatusCode::INTERNAL_SERVER_ERROR, false),
];

impl Kind {
    /// The status that answers it.
    pub fn status(self) -> StatusCode {
        TABLE.iter().find(|row| row.0 == self).map_or(StatusCode::INTERNAL_SERVER_ERROR, |row| row.1)
    }

    /// Whether the same call may do better elsewhere or later.
    pub fn is_passing(self) -> bool {
        TABLE.iter().any(|row| row.0 == self && row.2)
    }
}

/// An error of a kind, in words.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// Its kind.
    pub kind: Kind,
    /// What is wrong, and where.
    pub detail: String,
}

impl Fault {
    /// An error of this kind.
    pub fn new(kind: Kind, detail: impl Into<String>) -> Self {
        Self { kind, detail: detail.into() }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.detail)
    }
}

impl std::error::Error for Fault {}

impl miette::Diagnostic for Fault {
    fn code<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        Some(Box::new(format!("{:?}", self.kind)))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_promises_that_nothing_came_into_force_is_never_told_of_what_may_pass() {
        for (kind, status, passing) in TABLE {
            assert_eq!(
                passing,
                status.is_server_error() && status != StatusCode::INTERNAL_SERVER_ERROR,
                "{kind:?}"
            );
        }
    }
}
