//! Whether a replica may act: its disk, and what becomes of the replica when that fails.
//!
//! A save that fails is to the replica what its own end would be: everything that it has in memory is dropped, commands are
//! rejected at once, and it starts again with what the disk surely holds, as soon as that can be read and written. So
//! nothing is ever said that rests on a save that failed, and what holds for a replica that is killed holds here.
//!
//! Called by the program before each step of the [`Store`](crate::Store). It does no I/O but through [`StateStorage`].

use crate::disk::{Disk, StorageError};
use crate::durable_state::DurableState;
use ivygate_rpc::{ErrorKind, RpcError};
use ivygate_time::Timestamp;
use std::time::Duration;

/// Pause between two attempts to open a disk.
const REOPEN_INTERVAL: Duration = Duration::from_millis(1_000);

/// What saves a replica's state.
pub trait StateStorage {
    /// Saves a state, or fails: it then holds this state or the one saved before.
    ///
    /// # Errors
    /// If it fails; it must then be closed and opened again.
    fn save(&mut self, state: &DurableState) -> Result<(), StorageError>;

    /// Closes it, also after a failure.
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
    /// The last save is safe.
    Healthy(D),
    /// It could not be opened, or a save has failed.
    Failed {
        /// Since when.
        since: Timestamp,
        /// When it is opened again.
        reopen_at: Timestamp,
        /// The last error.
        cause: String,
    },
}

/// A replica's disk, healthy or not.
pub struct DiskSupervisor<D> {
    status: DiskStatus<D>,
    generation: u64,
}

impl<D: StateStorage> DiskSupervisor<D> {
    /// Supervises a disk that was opened, or could not be. Gives the state that it holds.
    pub fn new(
        now: Timestamp,
        opened: Result<(D, DurableState), StorageError>,
    ) -> (Self, Option<DurableState>) {
        let status = DiskStatus::Failed { since: now, reopen_at: now, cause: String::new() };
        let mut supervisor = Self { status, generation: 0 };
        let state = supervisor.handle_opened(now, opened);
        (supervisor, state)
    }

    /// The disk's status.
    pub fn status(&self) -> &DiskStatus<D> {
        &self.status
    }

    /// What each call is answered while the replica may not act.
    pub fn error(&self) -> Option<RpcError> {
        match &self.status {
            DiskStatus::Healthy(_) => None,
            DiskStatus::Failed { cause, .. } => Some(RpcError::new(ErrorKind::Disk, cause.clone())),
        }
    }

    /// Counts openings. A reply to a request of one generation must not be handed to the replica of another.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Whether the disk is to be opened again.
    pub fn is_reopen_due(&self, now: Timestamp) -> bool {
        matches!(&self.status, DiskStatus::Failed { reopen_at, .. } if now >= *reopen_at)
    }

    /// Saves a state, before anything is said that rests on it.
    ///
    /// # Errors
    /// If the disk fails, or has failed: the replica's memory is then void, and so are the effects of its last step.
    pub fn save(&mut self, now: Timestamp, state: &DurableState) -> Result<(), RpcError> {
        let DiskStatus::Healthy(disk) = &mut self.status else {
            return Err(self.error().unwrap_or_else(|| RpcError::new(ErrorKind::Disk, "the disk is closed")));
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
        // Last: what writes logs may fail with the disk.
        tracing::error!(%error, "disk failed, replica stopped until it can be opened again");
    }

    /// The disk was opened again, or still can't be. Gives the state that it holds, for a new replica.
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
                    tracing::warn!(down_ms, "disk opened again");
                }
                self.generation += 1;
                self.status = DiskStatus::Healthy(disk);
                Some(state)
            }
            Err(error) => {
                let error = error.with_causes();
                if error != *cause {
                    tracing::error!(%error, "disk can't be opened");
                }
                *reopen_at = now + REOPEN_INTERVAL;
                *cause = error;
                None
            }
        }
    }
}
