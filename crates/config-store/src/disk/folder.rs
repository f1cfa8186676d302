//! Finds, reads, writes and removes the folders of stored state.

use crate::disk::chunks::{Entry, WriteBatch};
use crate::disk::error::StorageError;
use crate::disk::format::{
    numbered_folder, read_state, StoredState, COMPLETE_MARKER, DATABASE_SETTINGS_FILE, FOLDER_PREFIX,
    LARGE_VALUES_FOLDER, LOG_FILE, SCRATCH_FOLDER, UNREADABLE_PREFIX,
};
use crate::disk::fsync::Fsync;
use crate::disk::read_error::ReadError;
use std::collections::BTreeSet;
use std::fs;
use std::io;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};

/// sled's cache capacity in bytes.
const DATABASE_CACHE_BYTES: u64 = 8 << 20;
/// Size in bytes at which a batch is flushed while a new folder is written.
const WRITE_STEP_BYTES: usize = 1 << 20;

/// Runs a sled operation and converts a panic to an error. sled panics on some I/O errors and on unexpected log
/// contents.
pub(crate) fn catch_database_panic<T, E>(
    operation: impl FnOnce() -> Result<T, E>,
    to_error: impl FnOnce(String) -> E,
) -> Result<T, E> {
    catch_unwind(AssertUnwindSafe(operation)).unwrap_or_else(|payload| {
        let text = payload.downcast_ref::<String>().cloned();
        let text = text.or_else(|| payload.downcast_ref::<&str>().map(|text| (*text).to_owned()));
        Err(to_error(text.unwrap_or_else(|| "unknown panic payload".to_owned())))
    })
}

fn open_database(folder: &Path) -> sled::Result<sled::Db> {
    sled::Config::new().path(folder).cache_capacity(DATABASE_CACHE_BYTES).flush_every_ms(None).open()
}

/// Lists the numbered folders of a store in ascending order.
pub(crate) fn numbered_folders(parent: &Path) -> io::Result<Vec<(u64, PathBuf)>> {
    let mut folders = Vec::new();
    for entry in fs::read_dir(parent)? {
        let entry = entry?;
        let name = entry.file_name();
        let number = name.to_str().and_then(|name| name.strip_prefix(FOLDER_PREFIX));
        if let Some(number) = number.and_then(|number| number.parse().ok()) {
            folders.push((number, entry.path()));
        }
    }
    folders.sort_unstable();
    Ok(folders)
}

/// Renames a folder that can't be decoded so that an operator can inspect it, and removes any folder renamed earlier.
pub(crate) fn quarantine_folder(parent: &Path, folder: &Path) -> io::Result<()> {
    for entry in fs::read_dir(parent)? {
        let entry = entry?;
        if entry.file_name().to_string_lossy().starts_with(UNREADABLE_PREFIX) {
            fs::remove_dir_all(entry.path())?;
        }
    }
    let name = folder.file_name().unwrap_or_default().to_string_lossy();
    fs::rename(folder, parent.join(name.replace(FOLDER_PREFIX, UNREADABLE_PREFIX)))
}

/// Removes the scratch folder to which other folders are copied for reading.
pub(crate) fn remove_scratch(parent: &Path) -> Result<(), StorageError> {
    let scratch = parent.join(SCRATCH_FOLDER);
    match fs::remove_dir_all(&scratch) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => {
            Err(StorageError::io("remove", scratch)(error))
        }
        _ => Ok(()),
    }
}

/// Copies the files that sled needs. Its snapshots of the page table are left out, since sled takes a partially written
/// snapshot for a complete one.
fn copy_database(from: &Path, to: &Path) -> io::Result<()> {
    if to.exists() {
        fs::remove_dir_all(to)?;
    }
    fs::create_dir(to)?;
    for name in [DATABASE_SETTINGS_FILE, LOG_FILE] {
        match fs::copy(from.join(name), to.join(name)) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
            _ => {}
        }
    }
    Ok(())
}

/// Reads a complete folder through a copy. sled writes while opening a database, cannot recover if a crash interrupts
/// these writes, and treats read errors of the system as the end of its log.
pub(crate) fn read_folder(parent: &Path, folder: &Path) -> Result<StoredState, ReadError> {
    let scratch = parent.join(SCRATCH_FOLDER);
    let read = || {
        copy_database(folder, &scratch)
            .map_err(|error| ReadError::Io(StorageError::io("copy", folder)(error)))?;
        read_state(&open_database(&scratch)?)
    };
    catch_database_panic(read, ReadError::Corrupt)
}

/// The file names in the folder of sled's large values and in the state's folder, as last synced.
pub(crate) type SyncedNames = [BTreeSet<String>; 2];

/// An open state folder.
pub(crate) struct OpenFolder {
    pub db: sled::Db,
    pub names: SyncedNames,
}

/// Writes a new state folder.
pub(crate) struct FolderWriter<'a> {
    pub parent: &'a Path,
    pub fsync: &'a mut dyn Fsync,
    pub number: u64,
}

impl FolderWriter<'_> {
    /// Writes all entries, and removes the other folders once this one is complete. Removes this folder if writing it
    /// fails.
    pub fn write(
        &mut self,
        entries: impl Iterator<Item = Result<Entry, StorageError>>,
    ) -> Result<OpenFolder, StorageError> {
        let folder = numbered_folder(self.parent, self.number);
        let written = catch_database_panic(|| self.fill(&folder, entries), StorageError::DatabasePanicked);
        match &written {
            Ok(_) => self.remove_other_folders(),
            // The folder may already be complete; its contents were synced before the marker was created, so it stays.
            Err(_) if folder.join(COMPLETE_MARKER).exists() => {}
            Err(_) => {
                if let Err(error) = fs::remove_dir_all(&folder) {
                    tracing::debug!(folder = %folder.display(), %error, "failed to remove incomplete folder");
                }
            }
        }
        written
    }

    fn fill(
        &mut self,
        folder: &Path,
        entries: impl Iterator<Item = Result<Entry, StorageError>>,
    ) -> Result<OpenFolder, StorageError> {
        if folder.exists() {
            fs::remove_dir_all(folder).map_err(StorageError::io("remove", folder))?;
        }
        let db = open_database(folder)?;
        write_entries(&db, entries)?;
        db.flush()?;
        let names = self.mark_complete(folder).map_err(StorageError::io("sync", folder))?;
        Ok(OpenFolder { db, names })
    }

    /// Syncs everything, and only then creates the file that marks the folder as complete.
    fn mark_complete(&mut self, folder: &Path) -> io::Result<SyncedNames> {
        let mut names = SyncedNames::default();
        sync_names(self.fsync, folder, &mut names)?;
        self.fsync.file(&folder.join(LOG_FILE))?;
        self.fsync.folder(self.parent)?;
        fs::write(folder.join(COMPLETE_MARKER), b"")?;
        sync_names(self.fsync, folder, &mut names)?;
        Ok(names)
    }

    /// Removes the other folders. If one reappears after a power loss, the folder with the highest number takes
    /// precedence.
    fn remove_other_folders(&self) {
        for (number, folder) in numbered_folders(self.parent).unwrap_or_default() {
            if number != self.number {
                if let Err(error) = fs::remove_dir_all(&folder) {
                    tracing::warn!(folder = %folder.display(), %error, "failed to remove old folder");
                }
            }
        }
    }
}

fn write_entries(
    db: &sled::Db,
    entries: impl Iterator<Item = Result<Entry, StorageError>>,
) -> Result<(), StorageError> {
    let mut step = WriteBatch::default();
    for entry in entries {
        let (key, value) = entry?;
        if value.is_some() {
            step.add(key, value);
        }
        if step.bytes > WRITE_STEP_BYTES {
            db.apply_batch(std::mem::take(&mut step).into_sled())?;
        }
    }
    db.apply_batch(step.into_sled())?;
    Ok(())
}

/// Syncs new files other than the log, and folders in which file names have changed.
pub(crate) fn sync_names(fsync: &mut dyn Fsync, folder: &Path, synced: &mut SyncedNames) -> io::Result<()> {
    for (folder, synced) in [folder.join(LARGE_VALUES_FOLDER), folder.to_owned()].iter().zip(synced) {
        let mut names = BTreeSet::new();
        for entry in fs::read_dir(folder)? {
            let entry = entry?;
            let name = entry.file_name().to_string_lossy().into_owned();
            if entry.file_type()?.is_file() && name != LOG_FILE && !synced.contains(&name) {
                fsync.file(&entry.path())?;
            }
            names.insert(name);
        }
        if names != *synced {
            fsync.folder(folder)?;
            *synced = names;
        }
    }
    Ok(())
}
