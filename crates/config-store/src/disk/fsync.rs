//! Syncing of files and folders to stable storage.

use std::fs::File;
use std::io;
use std::path::Path;

/// Syncs files and folders to stable storage. Tests substitute a simulated disk.
pub trait Fsync {
    /// Syncs everything written to a file.
    ///
    /// # Errors
    /// Returns the I/O errors of the system.
    fn file(&mut self, path: &Path) -> io::Result<()>;

    /// Syncs the file names in a folder.
    ///
    /// # Errors
    /// Returns the I/O errors of the system.
    fn folder(&mut self, path: &Path) -> io::Result<()>;
}

/// Syncs with the operating system's `fdatasync` and `fsync`.
#[derive(Debug, Default)]
pub struct SystemFsync;

impl Fsync for SystemFsync {
    fn file(&mut self, path: &Path) -> io::Result<()> {
        File::open(path)?.sync_data()
    }

    fn folder(&mut self, path: &Path) -> io::Result<()> {
        File::open(path)?.sync_all()
    }
}
