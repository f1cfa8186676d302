//! Errors of configurations and of updates to them.

use crate::table::Table;
use ivygate_rpc::{ErrorKind, RpcError};

/// An error that prevents an update from being applied, or makes a configuration invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// The update can't be parsed as JSON of the expected structure.
    #[error("{place}{cause}")]
    Malformed {
        /// The path of the field followed by a colon and a space, or empty if there is no path.
        place: String,
        /// The error at that place and the expected input.
        cause: String,
    },
    /// A name is empty or too long.
    #[error("{}: a name must have 1 to {max} bytes", .table.as_str())]
    InvalidName {
        /// The table.
        table: Table,
        /// The maximum length of a name in bytes.
        max: usize,
    },
    /// A version is missing or can't be parsed.
    #[error("{} '{name}': \"gen\" must be a version such as \"r12\" or 12", .table.as_str())]
    InvalidVersion {
        /// The table.
        table: Table,
        /// The item.
        name: String,
    },
    /// An item violates a rule regardless of other items.
    #[error("{} '{name}': {cause}", .table.as_str())]
    InvalidItem {
        /// The table.
        table: Table,
        /// The item.
        name: String,
        /// A description of the violation.
        cause: String,
    },
    /// A route names no backend.
    #[error("route '{route}' names no backend")]
    NoBackend {
        /// The route.
        route: String,
    },
    /// A route names a backend that does not exist.
    #[error("route '{route}' names the unknown backend '{backend}'")]
    UnknownBackend {
        /// The route.
        route: String,
        /// The backend.
        backend: String,
    },
    /// Two routes have the same host and prefix.
    #[error("routes '{first}' and '{second}' share host and prefix")]
    SharedPrefix {
        /// The first route.
        first: String,
        /// The second route.
        second: String,
    },
    /// Two tenants share an API key.
    #[error("tenant '{first}' shares a key with '{second}'")]
    SharedKey {
        /// The first tenant.
        first: String,
        /// The second tenant.
        second: String,
    },
    /// Different content was acknowledged under the version.
    #[error("{} '{name}': different content was acknowledged under r{version}", .table.as_str())]
    VersionConflict {
        /// The table.
        table: Table,
        /// The item.
        name: String,
        /// The version.
        version: u64,
    },
    /// The version is older than the item's version history, so its content is unknown.
    #[error("{} '{name}': the content of r{version} is no longer in the version history", .table.as_str())]
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
    /// Returns the kind under which the error is reported to callers.
    pub fn kind(&self) -> ErrorKind {
        match self {
            Self::Malformed { .. } | Self::InvalidName { .. } | Self::InvalidVersion { .. } => {
                ErrorKind::Malformed
            }
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
