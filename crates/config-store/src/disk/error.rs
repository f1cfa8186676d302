//! Errors of the disk storage.

use ivygate_rpc::{ErrorKind, RpcError};
use std::io;
use std::path::PathBuf;

/// An error from reading or writing the disk.
#[derive(Debug, thiserror::Error)]
pub enum StorageError {
    /// The operating system failed an operation on a file or folder.
    #[error("can't {action} {}", .path.display())]
    Io {
        /// The attempted operation.
        action: &'static str,
        /// The file or folder.
        path: PathBuf,
        /// The cause.
        #[source]
        source: io::Error,
    },
    /// The embedded database returned an error.
    #[error("database error")]
    Database(#[from] sled::Error),
    /// The embedded database panicked, as it does on some I/O errors and on unexpected log contents.
    #[error("the database panicked: {0}")]
    DatabasePanicked(String),
    /// A record could not be encoded.
    #[error("failed to encode a record")]
    Encode(#[from] serde_json::Error),
    /// A value has more chunks than the chunk count can represent.
    #[error("an item is larger than 256 MiB")]
    ItemTooLarge,
    /// An earlier save failed; the disk must be reopened first.
    #[error("an earlier save failed and the disk has not been reopened")]
    NotReopened,
}

impl StorageError {
    /// Returns a function that converts an I/O error, adding the operation and the path.
    pub(crate) fn io(action: &'static str, path: impl Into<PathBuf>) -> impl FnOnce(io::Error) -> Self {
        let path = path.into();
        move |source| Self::Io { action, path, source }
    }

    /// Formats the error and its causes on one line.
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
