//! A replica's durable state, which is written and synced before any message that depends on it is sent.
//!
//! The state is stored in a numbered folder, which is a `sled` database. Three rules keep it intact regardless of which
//! unsynced writes and file names a power loss discards:
//!
//! - **A folder is valid once it contains the file that marks it as complete.** The file is created after everything
//!   else in the folder is synced. [`Disk::open`] reads a copy of the valid folder with the highest number and writes
//!   the state into the next folder. Therefore, a log that a crash has torn is never appended to, and contents that a
//!   failed sync left in memory only are never trusted. The old folder is never written again, and is removed once the
//!   new one is complete.
//! - **A save in place is one batch**, which holds the header and the items. A large batch is written to the next
//!   folder instead, and so is any save once the log has grown too much. Values are split into chunks, so that sled
//!   creates no files besides its log.
//! - **After each save the log is synced**, and so is each folder in which file names have changed.
//!
//! State that can't be decoded counts as lost and is rebuilt from the other replicas. State that can't be read or
//! written because of an I/O error does not: its folder is left unchanged.

mod chunks;
mod error;
mod folder;
mod format;
mod fsync;
mod read_error;

pub use error::StorageError;
pub use fsync::{Fsync, SystemFsync};

use crate::durable_state::DurableState;
use crate::messages::AcceptedProposal;
use chunks::{ChunkCounts, WriteBatch};
use folder::{
    catch_database_panic, numbered_folders, quarantine_folder, read_folder, remove_scratch, sync_names,
    FolderWriter, OpenFolder, SyncedNames,
};
use format::{
    numbered_folder, put_accepted, put_header, put_item, ItemRecord, StoredState, COMPLETE_MARKER, LOG_FILE,
};
use ivygate_control_state::Tables;
use read_error::ReadError;
use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// Maximum size in bytes of a batch written in place. sled keeps a batch in memory until it is complete, and the stable
/// end recorded at the head of each segment stays before the batch until then, so that a torn write anywhere in it is
/// detected.
const MAX_BATCH_BYTES: usize = 4 << 20;
/// The log may grow to its initial size multiplied by this factor, plus `MAX_LOG_GROWTH_BYTES`.
const MAX_LOG_GROWTH_FACTOR: u64 = 2;
/// Growth of the log in bytes that is allowed in addition to `MAX_LOG_GROWTH_FACTOR`.
const MAX_LOG_GROWTH_BYTES: u64 = 16 << 20;

/// The durable storage of a replica.
pub struct Disk {
    parent: PathBuf,
    fsync: Box<dyn Fsync>,
    number: u64,
    db: sled::Db,
    chunks: ChunkCounts,
    names: SyncedNames,
    /// The size of the log when its folder was created, in bytes.
    initial_log_bytes: u64,
    /// The number of the last saved change of the items.
    saved_change: u64,
    saved_accepted: Option<AcceptedProposal>,
    /// Set once a save has failed, after which the disk must be reopened.
    has_failed: bool,
}

impl Disk {
    /// Opens a replica's folder and reads its state, or creates a new state with this incarnation. Either is durable
    /// when this returns. A stored state that can't be decoded is quarantined and counts as lost.
    ///
    /// # Errors
    /// If the folder can't be read or written; its contents are left unchanged.
    pub fn open(folder: &Path, incarnation: u64) -> Result<(Self, DurableState), StorageError> {
        Self::open_with(folder, incarnation, Box::new(SystemFsync))
    }

    /// Opens a replica's folder like [`Disk::open`], syncing through `fsync`.
    ///
    /// # Errors
    /// If the folder can't be read or written.
    pub fn open_with(
        folder: &Path,
        incarnation: u64,
        mut fsync: Box<dyn Fsync>,
    ) -> Result<(Self, DurableState), StorageError> {
        fs::create_dir_all(folder).map_err(StorageError::io("create", folder))?;
        let folders = numbered_folders(folder).map_err(StorageError::io("list", folder))?;
        let last_number = folders.last().map_or(0, |(number, _)| *number);
        let complete = folders.into_iter().rev().find(|(_, path)| path.join(COMPLETE_MARKER).is_file());
        let stored = match complete {
            Some((_, complete)) => read_or_quarantine(folder, &complete, incarnation)?,
            None => new_state(incarnation),
        };
        remove_scratch(folder)?;
        let number = last_number + 1;
        let mut chunks = ChunkCounts::default();
        let batch = encode_all(&mut chunks, &stored)?;
        let entries = batch.entries.into_iter().map(Ok);
        let OpenFolder { db, names } =
            FolderWriter { parent: folder, fsync: &mut *fsync, number }.write(entries)?;
        let saved_accepted = stored.state.accepted.clone();
        let state = stored.into_state();
        let mut disk = Self {
            parent: folder.to_owned(),
            fsync,
            number,
            db,
            chunks,
            names,
            initial_log_bytes: 0,
            saved_change: state.items.last_change(),
            saved_accepted,
            has_failed: false,
        };
        disk.initial_log_bytes = disk.log_bytes()?;
        Ok((disk, state))
    }

    /// Saves a state atomically and returns when it is durable.
    ///
    /// # Errors
    /// If the disk fails. No message that depends on the state may then be sent, and the disk must be reopened: it holds
    /// either the state saved before or this state.
    pub fn save(&mut self, state: &DurableState) -> Result<(), StorageError> {
        if std::mem::replace(&mut self.has_failed, true) {
            return Err(StorageError::NotReopened);
        }
        let batch = self.encode_changes(state)?;
        catch_database_panic(
            || {
                if self.is_new_folder_due(&batch)? {
                    self.save_in_new_folder(batch)
                } else {
                    self.save_in_place(batch)
                }
            },
            StorageError::DatabasePanicked,
        )?;
        self.saved_change = state.items.last_change();
        self.saved_accepted.clone_from(&state.accepted);
        self.has_failed = false;
        Ok(())
    }

    /// Closes the files, even after a failure.
    pub fn close(self) {
        let close = || {
            drop(self);
            Ok(())
        };
        // Anything that sled fails to write here was never reported as saved.
        if let Err(cause) = catch_database_panic(close, |cause| cause) {
            tracing::debug!(%cause, "failed to close the database");
        }
    }

    fn encode_changes(&mut self, state: &DurableState) -> Result<WriteBatch, StorageError> {
        let mut batch = WriteBatch::default();
        for item in state.items.changes_since(self.saved_change, Tables::DURABLE) {
            put_item(&mut self.chunks, &mut batch, &ItemRecord { chosen: state.chosen, item })?;
        }
        put_accepted(&mut self.chunks, &mut batch, self.saved_accepted.as_ref(), state.accepted.as_ref())?;
        put_header(&mut batch, state)?;
        Ok(batch)
    }

    fn is_new_folder_due(&self, batch: &WriteBatch) -> Result<bool, StorageError> {
        let max_log_bytes = MAX_LOG_GROWTH_FACTOR * self.initial_log_bytes + MAX_LOG_GROWTH_BYTES;
        Ok(batch.bytes > MAX_BATCH_BYTES || self.log_bytes()? > max_log_bytes)
    }

    fn save_in_place(&mut self, batch: WriteBatch) -> Result<(), StorageError> {
        self.db.apply_batch(batch.into_sled())?;
        self.db.flush()?;
        let folder = numbered_folder(&self.parent, self.number);
        sync_names(&mut *self.fsync, &folder, &mut self.names).map_err(StorageError::io("sync", &folder))?;
        let log = folder.join(LOG_FILE);
        self.fsync.file(&log).map_err(StorageError::io("sync", &log))
    }

    /// Writes the state on disk, with the changes applied, into the next folder.
    fn save_in_new_folder(&mut self, batch: WriteBatch) -> Result<(), StorageError> {
        let number = self.number + 1;
        let changed: BTreeSet<Vec<u8>> = batch.entries.iter().map(|(key, _)| key.clone()).collect();
        let unchanged = self.db.iter().filter_map(|entry| match entry {
            Ok((key, _)) if changed.contains(&*key) => None,
            Ok((key, value)) => Some(Ok((key.to_vec(), Some(value.to_vec())))),
            Err(error) => Some(Err(StorageError::from(error))),
        });
        let mut writer = FolderWriter { parent: &self.parent, fsync: &mut *self.fsync, number };
        let written = writer.write(unchanged.chain(batch.entries.into_iter().map(Ok)))?;
        self.db = written.db;
        self.names = written.names;
        self.number = number;
        self.initial_log_bytes = self.log_bytes()?;
        Ok(())
    }

    fn log_bytes(&self) -> Result<u64, StorageError> {
        let log = numbered_folder(&self.parent, self.number).join(LOG_FILE);
        Ok(log.metadata().map_err(StorageError::io("read", &log))?.len())
    }
}

fn new_state(incarnation: u64) -> StoredState {
    StoredState { state: DurableState::new(incarnation), records: Vec::new() }
}

/// Reads a complete folder. A folder that can't be decoded is quarantined, and its state counts as lost.
fn read_or_quarantine(parent: &Path, folder: &Path, incarnation: u64) -> Result<StoredState, StorageError> {
    match read_folder(parent, folder) {
        Ok(stored) => Ok(stored),
        Err(ReadError::Io(error)) => Err(error),
        Err(ReadError::Corrupt(cause)) => {
            tracing::warn!(folder = %folder.display(), %cause, "stored state can't be decoded, treating it as lost");
            quarantine_folder(parent, folder).map_err(StorageError::io("quarantine", folder))?;
            Ok(new_state(incarnation))
        }
    }
}

fn encode_all(chunks: &mut ChunkCounts, stored: &StoredState) -> Result<WriteBatch, StorageError> {
    let mut batch = WriteBatch::default();
    for record in &stored.records {
        put_item(chunks, &mut batch, record)?;
    }
    put_accepted(chunks, &mut batch, None, stored.state.accepted.as_ref())?;
    put_header(&mut batch, &stored.state)?;
    Ok(batch)
}
