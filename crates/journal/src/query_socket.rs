//! Unix socket in the journal's folder, accessible to its owner only, on which a running process answers queries.
//!
//! Each connection carries one query, a line such as `/orders?state=unknown`. The response is a line with its status
//! and length in bytes, followed by the documents. A dedicated thread answers the connections one by one.

use crate::query::{answer_query, QueryResponse};
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

/// Name of the socket in the journal's folder.
const SOCKET_NAME: &str = "ask.sock";
/// Maximum length of a query, in bytes.
const MAX_QUERY_BYTES: u64 = 8192;
/// Maximum length of a response, in bytes. Both the orders per page and the length of their fields are bounded.
const MAX_RESPONSE_BYTES: u64 = 256 << 20;
/// Read and write timeout of the serving thread, which serves one client at a time.
const IO_TIMEOUT: Duration = Duration::from_secs(2);
/// Read timeout of the client. The server may have to read thousands of orders before it responds.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Query socket, served until this value is dropped.
pub struct QuerySocket {
    path: PathBuf,
    stopping: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl QuerySocket {
    /// Opens the socket. Only the process that has the journal open may call this: it replaces an existing socket,
    /// which can only be left over from a process that was killed.
    ///
    /// # Errors
    /// Returns an error if the socket cannot be opened.
    pub fn open(folder: &Path, store: Arc<Store>) -> io::Result<Self> {
        let path = folder.join(SOCKET_NAME);
        match fs::remove_file(&path) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
            _ => {}
        }
        let listener = UnixListener::bind(&path)?;
        fs::set_permissions(&path, fs::Permissions::from_mode(0o600))?;
        let stopping = Arc::new(AtomicBool::new(false));
        let stop_requested = stopping.clone();
        let thread = std::thread::Builder::new().name("journal-desk".into()).spawn(move || {
            while !stop_requested.load(Ordering::SeqCst) {
                match listener.accept() {
                    // A client may disconnect before it has read the response.
                    Ok((stream, _)) => drop(serve(&stream, &store)),
                    Err(_) => std::thread::sleep(ACCEPT_RETRY_DELAY),
                }
            }
        })?;
        Ok(Self { path, stopping, thread: Some(thread) })
    }
}

impl Drop for QuerySocket {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::SeqCst);
        // Connecting wakes the thread up. If the folder has been removed, that is impossible, and the thread is left to
        // end with the process.
        let woken = UnixStream::connect(&self.path).is_ok();
        let _ = fs::remove_file(&self.path);
        if let Some(thread) = self.thread.take().filter(|_| woken) {
            let _ = thread.join();
        }
    }
}

fn serve(stream: &UnixStream, store: &Store) -> io::Result<()> {
    stream.set_read_timeout(Some(IO_TIMEOUT))?;
    stream.set_write_timeout(Some(IO_TIMEOUT))?;
    let mut line = String::new();
    BufReader::new(stream.take(MAX_QUERY_BYTES)).read_line(&mut line)?;
    let Some(target) = line.strip_suffix('\n') else { return Ok(()) };
    let QueryResponse { status, lines } = answer_query(store, target);
    let mut stream = stream;
    stream.write_all(format!("{status} {}\n", lines.len()).as_bytes())?;
    stream.write_all(lines.as_bytes())
}

/// Queries the process that has a journal open.
///
/// # Errors
/// Returns an error if no process has it open, or its response is incomplete or malformed.
pub fn query_running_process(folder: &Path, target: &str) -> io::Result<QueryResponse> {
    let mut stream = UnixStream::connect(folder.join(SOCKET_NAME))?;
    stream.set_read_timeout(Some(RESPONSE_TIMEOUT))?;
    stream.write_all(format!("{target}\n").as_bytes())?;
    let mut reader = BufReader::new(stream.take(MAX_RESPONSE_BYTES));
    let mut head = String::new();
    reader.read_line(&mut head)?;
    let malformed = || io::Error::new(io::ErrorKind::InvalidData, "the response is malformed");
    let (status, length) = head.trim_end().split_once(' ').ok_or_else(malformed)?;
    let (status, length): (u16, usize) =
        (status.parse().map_err(|_| malformed())?, length.parse().map_err(|_| malformed())?);
    let mut lines = String::new();
    reader.read_to_string(&mut lines)?;
    if lines.len() != length {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(QueryResponse { status, lines })
}
