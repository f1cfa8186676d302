//! How files and folders are made safe against a loss of power.

use std::fs::File;
use std::io;
use std::path::Path;

/// Makes files and folders safe against a loss of power. Tests put a simulated disk in its place.
pub trait Fsync {
    /// Syncs all that was written to a file.
    ///
    /// # Errors
    /// Those of the system.
    fn file(&mut self, path: &Path) -> io::Result<()>;

    /// Syncs the names in a folder.
    ///
    /// # Errors
    /// Those of the system.
    fn folder(&mut self, path: &Path) -> io::Result<()>;
}

/// The system's own `fdatasync` and `fsync`.
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
