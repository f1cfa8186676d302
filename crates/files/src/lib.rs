//! Reads configurations from disk.
//!
//! Called by the command line and the sidecar's process, so that `check` and `serve` read alike. It must not
//! know what a file says.

use ivygate_config::{load_with, Loaded, Loader};
use std::fs::{File, Metadata, OpenOptions};
use std::io::{self, Read};
use std::path::{Path, PathBuf};

/// Largest file that is read.
pub const MAX_FILE_BYTES: u64 = 16 << 20;
/// How often a file that changes while it is read is read anew.
const TRIES: usize = 3;

/// Why a file cannot be read.
#[derive(Debug)]
pub struct ReadError {
    /// Its name.
    pub path: String,
    /// Why, in words.
    pub reason: String,
}

impl std::fmt::Display for ReadError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "cannot read {}: {}", self.path, self.reason)
    }
}

impl std::error::Error for ReadError {}

/// Reads and checks a configuration with all that it includes; `-` is standard input.
///
/// # Errors
/// If the first file cannot be read; what is wrong with others is a finding at their include.
pub fn load(path: &Path) -> Result<Loaded, ReadError> {
    let bytes = read(path)?;
    Ok(load_with(&path.display().to_string(), &bytes, &DiskLoader))
}

/// One file's bytes; `-` is standard input.
///
/// # Errors
/// If it cannot be read, is no plain file, is too large, or does not stay the same while it is read.
pub fn read(path: &Path) -> Result<Vec<u8>, ReadError> {
    let fail = |why: String| ReadError { path: path.display().to_string(), reason: why };
    if path == Path::new("-") {
        let mut bytes = Vec::new();
        io::stdin()
            .lock()
            .take(MAX_FILE_BYTES + 1)
            .read_to_end(&mut bytes)
            .map_err(|e| fail(e.to_string()))?;
        return if bytes.len() as u64 > MAX_FILE_BYTES { Err(fail(too_large())) } else { Ok(bytes) };
    }
    plain(path).map_err(fail)
}

fn too_large() -> String {
    format!("it has more than {} MiB", MAX_FILE_BYTES >> 20)
}

fn plain(path: &Path) -> Result<Vec<u8>, String> {
    for _ in 0..TRIES {
        let file = open(path).map_err(|error| error.to_string())?;
        let before = file.metadata().map_err(|error| error.to_string())?;
        if !before.is_file() {
            return Err("it is no plain file".to_owned());
        }
        if before.len() > MAX_FILE_BYTES {
            return Err(too_large());
        }
        let mut bytes = Vec::with_capacity(before.len() as usize);
        (&file).take(MAX_FILE_BYTES + 1).read_to_end(&mut bytes).map_err(|error| error.to_string())?;
        let after = file.metadata().map_err(|error| error.to_string())?;
        // One that is being written in place would else be taken in half: it may parse all the same.
        if same(&before, &after) && bytes.len() as u64 == after.len() {
            return Ok(bytes);
        }
    }
    Err("it changes while it is read".to_owned())
}

fn same(before: &Metadata, after: &Metadata) -> bool {
    before.len() == after.len() && before.modified().ok() == after.modified().ok()
}

/// Opens without waiting for the other side of a pipe.
fn open(path: &Path) -> io::Result<File> {
    let mut options = OpenOptions::new();
    options.read(true);
    #[cfg(target_os = "linux")]
    {
        use std::os::unix::fs::OpenOptionsExt;
        /// O_NONBLOCK, of the same value on all of Linux's architectures but MIPS, Alpha and SPARC.
        const NONBLOCK: i32 = 0o4000;
        options.custom_flags(NONBLOCK);
    }
    options.open(path)
}

/// The files of this machine.
pub struct DiskLoader;

impl Loader for DiskLoader {
    fn find(&self, from: &str, pattern: &str) -> Result<Vec<String>, String> {
        let base = Path::new(from).parent().unwrap_or(Path::new(""));
        let path = base.join(pattern);
        if !pattern.contains(['*', '?', '[']) {
            std::fs::metadata(&path).map_err(|error| error.to_string())?;
            return Ok(vec![shown(&path)]);
        }
        // Only what the pattern says may be a wildcard, not what the folder's name happens to hold.
        let whole = match base.as_os_str().is_empty() || Path::new(pattern).is_absolute() {
            true => pattern.to_owned(),
            false => {
                let base = base.to_str().ok_or("the folder's name is not UTF-8")?;
                format!("{}/{pattern}", glob::Pattern::escape(base))
            }
        };
        let mut names = Vec::new();
        for entry in glob::glob(&whole).map_err(|error| error.to_string())? {
            let path: PathBuf = entry.map_err(|error| error.to_string())?;
            // Hidden files are editors' and package managers' own.
            let hidden = path.file_name().is_some_and(|name| name.to_string_lossy().starts_with('.'));
            if !hidden && !path.is_dir() {
                names.push(shown(&path));
            }
        }
        Ok(names)
    }

    fn read(&self, name: &str) -> Result<Vec<u8>, String> {
        plain(Path::new(name))
    }

    fn identity(&self, name: &str) -> String {
        // One that has gone meanwhile fails when it is read.
        Path::new(name).canonicalize().map_or_else(|_| name.to_owned(), |real| real.display().to_string())
    }
}

/// The name by which a file is told: as written, without `.` in it.
fn shown(path: &Path) -> String {
    let parts: PathBuf = path.components().filter(|part| *part != std::path::Component::CurDir).collect();
    parts.display().to_string()
}
