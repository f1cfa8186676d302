//! Sound servers of a service, as `PROTOCOL.md` describes them.

use crate::http::{read_head, skip_body};
use crate::record::Record;
use std::io::{BufReader, Write};
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A request that a server has run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: f64,
    pub server: String,
    pub attempt: String,
}

/// The requests that the servers of a deployment have run.
#[derive(Clone, Default)]
pub struct Runs(Arc<Mutex<Vec<Run>>>);

impl Runs {
    pub fn all(&self) -> Vec<Run> {
        self.0.lock().unwrap().clone()
    }
}

/// Behaviour of a server.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub address: SocketAddrV4,
    /// Time for which it works on a request.
    pub work: Duration,
    /// Set while it is leaving: it serves on, and closes each connection after its answer.
    pub is_leaving: Arc<AtomicBool>,
}

/// Path whose answer has the length that follows it, as in `/bytes/1000`.
const SIZED: &str = "/bytes/";

impl Server {
    pub fn new(id: &str, address: SocketAddrV4, work: Duration) -> Self {
        Self { id: id.to_owned(), address, work, is_leaving: Arc::default() }
    }

    /// Serves until the process ends.
    pub fn serve(self, record: &Record, runs: &Runs) -> Result<(), String> {
        let listener = TcpListener::bind(self.address).map_err(|error| format!("{}: {error}", self.address))?;
        let (record, runs) = (record.clone(), runs.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (server, record, runs) = (self.clone(), record.clone(), runs.clone());
                thread::spawn(move || {
                    // A connection that ends early is the other side's choice.
                    let _ = server.serve_connection(stream, &record, &runs);
                });
            }
        });
        Ok(())
    }

    fn serve_connection(&self, stream: TcpStream, record: &Record, runs: &Runs) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut output = stream.try_clone()?;
        let mut input = BufReader::new(stream);
        while let Some(request) = read_head(&mut input)? {
            skip_body(&mut input, &request)?;
            let attempt = request.header("ivygate-attempt-id").unwrap_or("").to_owned();
            if request.header("ivygate-want-instance").is_some_and(|id| id != self.id) {
                let head = format!("HTTP/1.1 421 Misdirected Request\r\nIvygate-Attempt-Id: {attempt}\r\n");
                output.write_all(format!("{head}Ivygate-Not-Run: other\r\nContent-Length: 0\r\n\r\n").as_bytes())?;
                continue;
            }
            let run = Run { at: record.now(), server: self.id.clone(), attempt: attempt.clone() };
            runs.0.lock().unwrap().push(run);
            thread::sleep(self.work);
            let size = request.path().find(SIZED).map(|at| &request.path()[at + SIZED.len()..]);
            let size: usize = size.and_then(|text| text.parse().ok()).unwrap_or(20);
            let is_leaving = self.is_leaving.load(Ordering::Relaxed);
            let close = if is_leaving { "Connection: close\r\n" } else { "" };
            let head = format!(
                "HTTP/1.1 200 OK\r\nIvygate-Attempt-Id: {attempt}\r\nIvygate-Server-Seal: {}.{size}\r\n\
                 Content-Length: {size}\r\n{close}\r\n",
                self.id
            );
            output.write_all(head.as_bytes())?;
            output.write_all(&vec![b'x'; size])?;
            if is_leaving {
                return Ok(());
            }
        }
        Ok(())
    }
}
