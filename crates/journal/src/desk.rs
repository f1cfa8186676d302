//! Where a running process is asked about its orders: a socket in the journal's folder, which only its owner reaches.
//!
//! One question a connection, a line such as `/orders?state=unknown`; the answer is a line with its status and length
//! in bytes, and the documents behind it. One is answered after the other, by a thread of its own.

use crate::asking::{answer_query, QueryResponse};
use crate::store::Store;
use std::fs;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

/// The socket in the folder.
const SOCKET: &str = "ask.sock";
/// Longest question.
const QUESTION_MOST: u64 = 8192;
/// Longest answer that is read: a page's orders are bounded, and so are their texts.
const ANSWER_MOST: u64 = 256 << 20;
/// Whoever says or reads nothing for this long is left.
const STALL: Duration = Duration::from_secs(2);
/// A process that answers may have to read thousands of orders first.
const ANSWER_WITHIN: Duration = Duration::from_secs(60);
/// Pause after an accept failed.
const PAUSE: Duration = Duration::from_millis(50);

/// A socket that is answered for as long as this lives.
pub struct QuerySocket {
    path: PathBuf,
    ending: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl QuerySocket {
    /// Opens it. To be called by the process that has the journal open: a socket that is there is of one that died.
    ///
    /// # Errors
    /// If it can't be opened.
    pub fn open(folder: &Path, store: Arc<Store>) -> io::Result<Self> {
        let path = folder.join(SOCKET);
        match fs::remove_file(&path) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
            _ => {}
        }
        let listener = UnixListener::bind(&path)?;
        fs::set_permissions(&path, fs::Permissions::from_mode(0o600))?;
        let ending = Arc::new(AtomicBool::new(false));
        let told = ending.clone();
        let thread = std::thread::Builder::new().name("journal-desk".into()).spawn(move || {
            while !told.load(Ordering::SeqCst) {
                match listener.accept() {
                    // Whoever leaves early has what it wanted.
                    Ok((stream, _)) => drop(serve(&stream, &store)),
                    Err(_) => std::thread::sleep(PAUSE),
                }
            }
        })?;
        Ok(Self { path, ending, thread: Some(thread) })
    }
}

impl Drop for QuerySocket {
    fn drop(&mut self) {
        self.ending.store(true, Ordering::SeqCst);
        // Wakes the thread up. Where the folder is gone nobody can, and it is left to end with the process.
        let woken = UnixStream::connect(&self.path).is_ok();
        let _ = fs::remove_file(&self.path);
        if let Some(thread) = self.thread.take().filter(|_| woken) {
            let _ = thread.join();
        }
    }
}

fn serve(stream: &UnixStream, store: &Store) -> io::Result<()> {
    stream.set_read_timeout(Some(STALL))?;
    stream.set_write_timeout(Some(STALL))?;
    let mut line = String::new();
    BufReader::new(stream.take(QUESTION_MOST)).read_line(&mut line)?;
    let Some(target) = line.strip_suffix('\n') else { return Ok(()) };
    let QueryResponse { status, lines } = answer_query(store, target);
    let mut stream = stream;
    stream.write_all(format!("{status} {}\n", lines.len()).as_bytes())?;
    stream.write_all(lines.as_bytes())
}

/// Asks the process that has a journal open.
///
/// # Errors
/// If there is none, or it does not answer whole.
pub fn query_running_process(folder: &Path, target: &str) -> io::Result<QueryResponse> {
    let mut stream = UnixStream::connect(folder.join(SOCKET))?;
    stream.set_read_timeout(Some(ANSWER_WITHIN))?;
    stream.write_all(format!("{target}\n").as_bytes())?;
    let mut reader = BufReader::new(stream.take(ANSWER_MOST));
    let mut head = String::new();
    reader.read_line(&mut head)?;
    let bad = || io::Error::new(io::ErrorKind::InvalidData, "the answer is malformed");
    let (status, length) = head.trim_end().split_once(' ').ok_or_else(bad)?;
    let (status, length): (u16, usize) =
        (status.parse().map_err(|_| bad())?, length.parse().map_err(|_| bad())?);
    let mut lines = String::new();
    reader.read_to_string(&mut lines)?;
    if lines.len() != length {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(QueryResponse { status, lines })
}
