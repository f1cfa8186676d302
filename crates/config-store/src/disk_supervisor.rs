//! Supervision of a replica's disk: a replica may act only while its disk is healthy.
//!
//! A failed save is treated like a crash of the replica: its memory is discarded, commands are rejected immediately,
//! and the replica restarts from the state on disk as soon as the disk can be read and written. Therefore no message
//! ever depends on a failed save, and the guarantees for a killed replica hold here too.
//!
//! The program calls it before each step of the [`Store`](crate::Store). It does no I/O except through
//! [`StateStorage`].

use crate::disk::{Disk, StorageError};
use crate::durable_state::DurableState;
use ivygate_rpc::{ErrorKind, RpcError};
use ivygate_time::Timestamp;
use std::time::Duration;

/// Interval between two attempts to open a disk.
const REOPEN_INTERVAL: Duration = Duration::from_millis(1_000);

/// Storage for a replica's state.
pub trait StateStorage {
    /// Saves a state. After an error, the storage holds this state or the one saved before.
    ///
    /// # Errors
    /// If the save fails; the storage must then be closed and reopened.
    fn save(&mut self, state: &DurableState) -> Result<(), StorageError>;

    /// Closes the storage, even after a failure.
    fn close(self);
}

impl StateStorage for Disk {
    fn save(&mut self, state: &DurableState) -> Result<(), StorageError> {
        Disk::save(self, state)
    }

    fn close(self) {
        Disk::close(self);
    }
}

/// The status of a replica's disk.
pub enum DiskStatus<D> {
    /// The disk is open and the last save succeeded.
    Healthy(D),
    /// The disk could not be opened, or a save has failed.
    Failed {
        /// The time of the failure.
        since: Timestamp,
        /// The time of the next attempt to reopen the disk.
        reopen_at: Timestamp,
        /// The last error.
        cause: String,
    },
}

/// A replica's disk and its status.
pub struct DiskSupervisor<D> {
    status: DiskStatus<D>,
    generation: u64,
}

impl<D: StateStorage> DiskSupervisor<D> {
    /// Creates a supervisor from the result of opening the disk, and returns the state on disk.
    pub fn new(
        now: Timestamp,
        opened: Result<(D, DurableState), StorageError>,
    ) -> (Self, Option<DurableState>) {
        let status = DiskStatus::Failed { since: now, reopen_at: now, cause: String::new() };
        let mut supervisor = Self { status, generation: 0 };
        let state = supervisor.handle_opened(now, opened);
        (supervisor, state)
    }

    /// Returns the disk's status.
    pub fn status(&self) -> &DiskStatus<D> {
        &self.status
    }

    /// Returns the error with which calls are rejected while the disk has failed.
    pub fn error(&self) -> Option<RpcError> {
        match &self.status {
            DiskStatus::Healthy(_) => None,
            DiskStatus::Failed { cause, .. } => Some(RpcError::new(ErrorKind::Disk, cause.clone())),
        }
    }

    /// Returns the number of times the disk was opened. A reply to a request from one generation must not be passed to
    /// the replica of another.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns whether the disk is due to be reopened.
    pub fn is_reopen_due(&self, now: Timestamp) -> bool {
        matches!(&self.status, DiskStatus::Failed { reopen_at, .. } if now >= *reopen_at)
    }

    /// Saves a state. Must be called before any message that depends on it is sent.
    ///
    /// # Errors
    /// If the disk fails or has failed before. The replica's memory and the effects of its last step must then be
    /// discarded.
    pub fn save(&mut self, now: Timestamp, state: &DurableState) -> Result<(), RpcError> {
        let DiskStatus::Healthy(disk) = &mut self.status else {
            return Err(self
                .error()
                .unwrap_or_else(|| RpcError::new(ErrorKind::Disk, "the disk is not open")));
        };
        match disk.save(state) {
            Ok(()) => Ok(()),
            Err(error) => {
                let error = RpcError::from(error);
                self.handle_failure(now, &error);
                Err(error)
            }
        }
    }

    fn handle_failure(&mut self, now: Timestamp, error: &RpcError) {
        let failed =
            DiskStatus::Failed { since: now, reopen_at: now + REOPEN_INTERVAL, cause: error.to_string() };
        if let DiskStatus::Healthy(disk) = std::mem::replace(&mut self.status, failed) {
            disk.close();
        }
        // Logs last, since logging may fail together with the disk.
        tracing::error!(%error, "disk failed, replica stopped until the disk can be reopened");
    }

    /// Handles the result of reopening the disk. Returns the state on disk from which a new replica starts.
    pub fn handle_opened(
        &mut self,
        now: Timestamp,
        opened: Result<(D, DurableState), StorageError>,
    ) -> Option<DurableState> {
        let DiskStatus::Failed { since, reopen_at, cause } = &mut self.status else { return None };
        match opened {
            Ok((disk, state)) => {
                if self.generation > 0 {
                    let down_ms = now.millis_since(*since).round();
                    tracing::warn!(down_ms, "disk reopened");
                }
                self.generation += 1;
                self.status = DiskStatus::Healthy(disk);
                Some(state)
            }
            Err(error) => {
                let error = error.with_causes();
                if error != *cause {
                    tracing::error!(%error, "failed to open the disk");
                }
                *reopen_at = now + REOPEN_INTERVAL;
                *cause = error;
                None
            }
        }
    }
}
