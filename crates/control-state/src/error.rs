//! Errors of configurations and of updates to them.

use crate::table::Table;
use ivygate_rpc::{ErrorKind, RpcError};

/// Why an update can't be applied, or a configuration is not valid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// The update can't be read as JSON of its form.
    #[error("{place}{cause}")]
    Unreadable {
        /// The field, with a colon and a space behind it; empty where there is none.
        place: String,
        /// What is wrong there, and what is expected.
        cause: String,
    },
    /// A name is empty or too long.
    #[error("{}: a name must have 1 to {max} bytes", .table.as_str())]
    BadName {
        /// The table.
        table: Table,
        /// Most bytes of a name.
        max: usize,
    },
    /// A version is missing or can't be read.
    #[error("{} '{name}': \"gen\" must be a version such as \"r12\" or 12", .table.as_str())]
    BadVersion {
        /// The table.
        table: Table,
        /// The item.
        name: String,
    },
    /// An item breaks a rule by itself.
    #[error("{} '{name}': {cause}", .table.as_str())]
    InvalidItem {
        /// The table.
        table: Table,
        /// The item.
        name: String,
        /// The rule.
        cause: String,
    },
    /// A route names no service.
    #[error("route '{route}' names no service")]
    NoBackend {
        /// The route.
        route: String,
    },
    /// A route names a service that does not exist.
    #[error("route '{route}' names the unknown service '{backend}'")]
    UnknownBackend {
        /// The route.
        route: String,
        /// The service.
        backend: String,
    },
    /// Two routes are for the same host and prefix.
    #[error("routes '{first}' and '{second}' share host and prefix")]
    SharedPrefix {
        /// One of them.
        first: String,
        /// The other.
        second: String,
    },
    /// Two tenants have the same key.
    #[error("tenant '{first}' shares a key with '{second}'")]
    SharedKey {
        /// One of them.
        first: String,
        /// The other.
        second: String,
    },
    /// Another content was acknowledged under the version.
    #[error("{} '{name}': another content was acknowledged under r{version}", .table.as_str())]
    VersionConflict {
        /// The table.
        table: Table,
        /// The item.
        name: String,
        /// The version.
        version: u64,
    },
    /// The version is so old that its content is not remembered.
    #[error("{} '{name}': what r{version} carried is not remembered any more", .table.as_str())]
    VersionForgotten {
        /// The table.
        table: Table,
        /// The item.
        name: String,
        /// The version.
        version: u64,
    },
}

impl ConfigError {
    /// The kind under which the error is told to others.
    pub fn kind(&self) -> ErrorKind {
        match self {
            Self::Unreadable { .. } | Self::BadName { .. } | Self::BadVersion { .. } => ErrorKind::Malformed,
            Self::InvalidItem { .. }
            | Self::NoBackend { .. }
            | Self::UnknownBackend { .. }
            | Self::SharedPrefix { .. }
            | Self::SharedKey { .. } => ErrorKind::Invalid,
            Self::VersionConflict { .. } => ErrorKind::Conflict,
            Self::VersionForgotten { .. } => ErrorKind::VersionForgotten,
        }
    }
}

impl From<ConfigError> for RpcError {
    fn from(error: ConfigError) -> Self {
        Self::new(error.kind(), error.to_string())
    }
}
