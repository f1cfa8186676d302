//! Errors of the disk.

use ivygate_rpc::{ErrorKind, RpcError};
use std::io;
use std::path::PathBuf;

/// Why the disk could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum StorageError {
    /// The system refused an operation on a file or folder.
    #[error("can't {action} {}", .path.display())]
    Io {
        /// What was attempted.
        action: &'static str,
        /// On what.
        path: PathBuf,
        /// Why it failed.
        #[source]
        source: io::Error,
    },
    /// The embedded database failed.
    #[error("the database failed")]
    Database(#[from] sled::Error),
    /// The embedded database panicked, as it does on some failures of the system and on logs that it did not expect.
    #[error("the database panicked: {0}")]
    DatabasePanicked(String),
    /// A record can't be encoded.
    #[error("a record can't be encoded")]
    Encode(#[from] serde_json::Error),
    /// A value has more chunks than can be counted.
    #[error("an item is larger than 256 MiB")]
    ItemTooLarge,
    /// An earlier save has failed: what the disk holds must be read again first.
    #[error("an earlier save has failed and the disk was not opened again")]
    NotReopened,
}

impl StorageError {
    /// Says on what an operation of the system failed.
    pub(crate) fn io(action: &'static str, path: impl Into<PathBuf>) -> impl FnOnce(io::Error) -> Self {
        let path = path.into();
        move |source| Self::Io { action, path, source }
    }

    /// The error and its causes in one line.
    pub fn with_causes(&self) -> String {
        let mut text = self.to_string();
        let mut cause = std::error::Error::source(self);
        while let Some(error) = cause {
            text.push_str(&format!(": {error}"));
            cause = error.source();
        }
        text
    }
}

impl From<&StorageError> for RpcError {
    fn from(error: &StorageError) -> Self {
        Self::new(ErrorKind::Disk, error.with_causes())
    }
}

impl From<StorageError> for RpcError {
    fn from(error: StorageError) -> Self {
        Self::from(&error)
    }
}
