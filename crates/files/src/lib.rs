//! Reads configurations from disk.
//!
//! The command line and the sidecar both load through this crate, so `check` and `serve` read files alike. It
//! knows nothing of the contents.

use ivygate_config::{load_with, LoadedConfig, Loader};
use std::fs::{File, Metadata, OpenOptions};
use std::io::{self, Read};
use std::path::{Path, PathBuf};

/// Largest file that is read, in bytes.
pub const MAX_FILE_BYTES: u64 = 16 << 20;
/// Number of times a file that changes during the read is read before it is rejected.
const MAX_READ_ATTEMPTS: usize = 3;

/// Why a file cannot be read.
#[derive(Debug)]
pub struct ReadError {
    /// Path of the file.
    pub path: String,
    /// Reason, as text for the operator.
    pub reason: String,
}

impl std::fmt::Display for ReadError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "cannot read {}: {}", self.path, self.reason)
    }
}

impl std::error::Error for ReadError {}

/// Reads and checks a configuration with all files that it includes; `-` is standard input.
///
/// # Errors
/// If the first file cannot be read. An included file that cannot be read is a finding at its `include`.
pub fn load(path: &Path) -> Result<LoadedConfig, ReadError> {
    let bytes = read(path)?;
    Ok(load_with(&path.display().to_string(), &bytes, &DiskLoader))
}

/// Reads the bytes of one file; `-` is standard input.
///
/// # Errors
/// If the file cannot be read, is not a regular file, is too large, or keeps changing during the read.
pub fn read(path: &Path) -> Result<Vec<u8>, ReadError> {
    let fail = |reason: String| ReadError { path: path.display().to_string(), reason };
    if path == Path::new("-") {
        let mut bytes = Vec::new();
        io::stdin()
            .lock()
            .take(MAX_FILE_BYTES + 1)
            .read_to_end(&mut bytes)
            .map_err(|e| fail(e.to_string()))?;
        return if bytes.len() as u64 > MAX_FILE_BYTES { Err(fail(too_large())) } else { Ok(bytes) };
    }
    read_regular_file(path).map_err(fail)
}

fn too_large() -> String {
    format!("the file has more than {} MiB", MAX_FILE_BYTES >> 20)
}

fn read_regular_file(path: &Path) -> Result<Vec<u8>, String> {
    for _ in 0..MAX_READ_ATTEMPTS {
        let file = open(path).map_err(|error| error.to_string())?;
        let before = file.metadata().map_err(|error| error.to_string())?;
        if !before.is_file() {
            return Err("not a regular file".to_owned());
        }
        if before.len() > MAX_FILE_BYTES {
            return Err(too_large());
        }
        let mut bytes = Vec::with_capacity(before.len() as usize);
        (&file).take(MAX_FILE_BYTES + 1).read_to_end(&mut bytes).map_err(|error| error.to_string())?;
        let after = file.metadata().map_err(|error| error.to_string())?;
        // A file that is written in place could otherwise be read in part, and a part may parse as well.
        if is_unchanged(&before, &after) && bytes.len() as u64 == after.len() {
            return Ok(bytes);
        }
    }
    Err("the file keeps changing while it is read".to_owned())
}

fn is_unchanged(before: &Metadata, after: &Metadata) -> bool {
    before.len() == after.len() && before.modified().ok() == after.modified().ok()
}

/// Opens a file without blocking on a pipe that has no writer.
fn open(path: &Path) -> io::Result<File> {
    let mut options = OpenOptions::new();
    options.read(true);
    #[cfg(target_os = "linux")]
    {
        use std::os::unix::fs::OpenOptionsExt;
        /// Has this value on all Linux architectures except MIPS, Alpha and SPARC.
        const O_NONBLOCK: i32 = 0o4000;
        options.custom_flags(O_NONBLOCK);
    }
    options.open(path)
}

/// Loads included files from the file system.
pub struct DiskLoader;

impl Loader for DiskLoader {
    fn find(&self, from: &str, pattern: &str) -> Result<Vec<String>, String> {
        let base = Path::new(from).parent().unwrap_or(Path::new(""));
        let path = base.join(pattern);
        if !pattern.contains(['*', '?', '[']) {
            std::fs::metadata(&path).map_err(|error| error.to_string())?;
            return Ok(vec![display_name(&path)]);
        }
        // Only characters of the pattern are wildcards; those in the directory's name are escaped.
        let full_pattern = match base.as_os_str().is_empty() || Path::new(pattern).is_absolute() {
            true => pattern.to_owned(),
            false => {
                let base = base.to_str().ok_or("the directory's name is not UTF-8")?;
                format!("{}/{pattern}", glob::Pattern::escape(base))
            }
        };
        let mut names = Vec::new();
        for entry in glob::glob(&full_pattern).map_err(|error| error.to_string())? {
            let path: PathBuf = entry.map_err(|error| error.to_string())?;
            // Hidden files are left out: editors and package managers create them.
            let is_hidden = path.file_name().is_some_and(|name| name.to_string_lossy().starts_with('.'));
            if !is_hidden && !path.is_dir() {
                names.push(display_name(&path));
            }
        }
        Ok(names)
    }

    fn read(&self, name: &str) -> Result<Vec<u8>, String> {
        read_regular_file(Path::new(name))
    }

    fn identity(&self, name: &str) -> String {
        // A file that was removed since then fails when it is read.
        Path::new(name).canonicalize().map_or_else(|_| name.to_owned(), |path| path.display().to_string())
    }
}

/// Returns the name by which diagnostics refer to a file: the path as written, without `.` components.
fn display_name(path: &Path) -> String {
    let parts: PathBuf = path.components().filter(|part| *part != std::path::Component::CurDir).collect();
    parts.display().to_string()
}
