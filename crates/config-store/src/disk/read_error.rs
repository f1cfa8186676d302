//! Why a stored folder was not read.

use crate::disk::error::StorageError;
use std::io;

/// Why a folder was not read.
pub(crate) enum ReadError {
    /// The system refuses just now; what is there may be intact.
    Refused(StorageError),
    /// What is there can't be understood.
    Corrupt(String),
}

impl From<sled::Error> for ReadError {
    fn from(error: sled::Error) -> Self {
        use io::ErrorKind::{InvalidData, NotFound, UnexpectedEof};
        match &error {
            sled::Error::Io(cause) if !matches!(cause.kind(), InvalidData | NotFound | UnexpectedEof) => {
                Self::Refused(StorageError::Database(error))
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
