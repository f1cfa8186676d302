//! Errors from reading a stored folder.

use crate::disk::error::StorageError;
use std::io;

/// The reason for which a folder could not be read.
pub(crate) enum ReadError {
    /// The system returned an I/O error; the stored state may be intact.
    Io(StorageError),
    /// The stored state can't be decoded.
    Corrupt(String),
}

impl From<sled::Error> for ReadError {
    fn from(error: sled::Error) -> Self {
        use io::ErrorKind::{InvalidData, NotFound, UnexpectedEof};
        match &error {
            sled::Error::Io(cause) if !matches!(cause.kind(), InvalidData | NotFound | UnexpectedEof) => {
                Self::Io(StorageError::Database(error))
            }
            _ => Self::Corrupt(error.to_string()),
        }
    }
}

impl From<serde_json::Error> for ReadError {
    fn from(error: serde_json::Error) -> Self {
        Self::Corrupt(error.to_string())
    }
}
