//! Clients in a closed loop, or at a rate.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::LocalSet;

/// What clients saw.
#[derive(Default)]
pub struct Seen {
    /// Microseconds of each answer of status 200.
    pub times: Vec<u32>,
    /// Answers of another status.
    pub others: u64,
    /// Connections that broke.
    pub broken: u64,
    /// How long it took.
    pub seconds: f64,
}

impl Seen {
    /// A percentile of the times, in milliseconds.
    pub fn percentile(&mut self, percent: f64) -> f64 {
        self.times.sort_unstable();
        let last = self.times.len().saturating_sub(1) as f64;
        let at = (last * percent / 100.0).round() as usize;
        f64::from(self.times.get(at).copied().unwrap_or(0)) / 1000.0
    }

    /// Good answers a second.
    pub fn rate(&self) -> f64 {
        self.times.len() as f64 / self.seconds
    }
}

/// Asks for a path on so many connections for so long, each again when it has its answer.
pub fn closed_loop(address: SocketAddr, path: &str, connections: usize, seconds: f64) -> io::Result<Seen> {
    closed_loop_of(address, &format!("GET {path} HTTP/1.1\r\nHost: bench\r\n\r\n"), connections, seconds)
}

/// The same with any request.
pub fn closed_loop_of(
    address: SocketAddr,
    request: &str,
    connections: usize,
    seconds: f64,
) -> io::Result<Seen> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let start = Instant::now();
    let end = start + Duration::from_secs_f64(seconds);
    let mut all = LocalSet::new().block_on(&runtime, async {
        let clients: Vec<_> = (0..connections)
            .map(|_| tokio::task::spawn_local(client(address, request.to_owned(), end)))
            .collect();
        let mut all = Seen::default();
        for client in clients {
            if let Ok(seen) = client.await {
                all.times.extend(seen.times);
                all.others += seen.others;
                all.broken += seen.broken;
            }
        }
        all
    });
    all.seconds = start.elapsed().as_secs_f64();
    Ok(all)
}

async fn client(address: SocketAddr, request: String, end: Instant) -> Seen {
    let mut seen = Seen::default();
    'connections: while Instant::now() < end {
        let Ok(mut stream) = tokio::net::TcpStream::connect(address).await else {
            seen.broken += 1;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let mut buffer = vec![0; 64 << 10];
        while Instant::now() < end {
            let start = Instant::now();
            if stream.write_all(request.as_bytes()).await.is_err() {
                seen.broken += 1;
                continue 'connections;
            }
            let mut have = 0;
            let mut left = None;
            let mut status = 0;
            // The head, then as much as it says.
            while left != Some(0) {
                let Ok(came @ 1..) = stream.read(&mut buffer[have..]).await else {
                    seen.broken += 1;
                    continue 'connections;
                };
                match &mut left {
                    Some(left) => *left -= came,
                    None => {
                        have += came;
                        if let Some((head, code, length)) = head(&buffer[..have]) {
                            status = code;
                            left = Some(head + length - have);
                            have = 0;
                        }
                    }
                }
            }
            if status == 200 {
                seen.times.push(start.elapsed().as_micros() as u32);
            } else {
                seen.others += 1;
            }
        }
        return seen;
    }
    seen
}

/// Length of a head, its status and the length of what follows.
fn head(bytes: &[u8]) -> Option<(usize, u16, usize)> {
    let end = bytes.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let text = std::str::from_utf8(&bytes[..end]).ok()?;
    let status = text.split(' ').nth(1)?.parse().ok()?;
    let length = text.split("\r\n").find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse().ok())?
    });
    Some((end, status, length.unwrap_or(0)))
}

/// One request on a connection of its own; its status and time in microseconds.
pub fn ask(stream: &mut TcpStream, request: &[u8]) -> io::Result<(u16, u32)> {
    let start = Instant::now();
    stream.write_all(request)?;
    let mut bytes = Vec::new();
    let mut piece = [0; 4096];
    loop {
        let came = stream.read(&mut piece)?;
        if came == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        bytes.extend_from_slice(&piece[..came]);
        if let Some((head, status, length)) = head(&bytes) {
            if bytes.len() >= head + length {
                return Ok((status, start.elapsed().as_micros() as u32));
            }
        }
    }
}
