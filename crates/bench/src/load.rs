//! Closed-loop HTTP load and single blocking requests.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::LocalSet;

/// Results of a load run.
#[derive(Default)]
pub struct LoadResults {
    /// Latency of each response with status 200, in microseconds.
    pub latencies_us: Vec<u32>,
    /// Number of responses with another status.
    pub others: u64,
    /// Number of connections that failed.
    pub broken: u64,
    /// Duration of the run in seconds.
    pub seconds: f64,
}

impl LoadResults {
    /// Returns a percentile of the latencies, in milliseconds.
    pub fn percentile(&mut self, percent: f64) -> f64 {
        self.latencies_us.sort_unstable();
        let last = self.latencies_us.len().saturating_sub(1) as f64;
        let index = (last * percent / 100.0).round() as usize;
        f64::from(self.latencies_us.get(index).copied().unwrap_or(0)) / 1000.0
    }

    /// Returns the rate of responses with status 200, per second.
    pub fn rate(&self) -> f64 {
        self.latencies_us.len() as f64 / self.seconds
    }
}

/// Requests a path on a number of connections for a number of seconds; each connection sends its next request
/// when it has the response.
pub fn closed_loop(
    address: SocketAddr,
    path: &str,
    connections: usize,
    seconds: f64,
) -> io::Result<LoadResults> {
    closed_loop_with(address, &format!("GET {path} HTTP/1.1\r\nHost: bench\r\n\r\n"), connections, seconds)
}

/// Runs [`closed_loop`] with any request.
pub fn closed_loop_with(
    address: SocketAddr,
    request: &str,
    connections: usize,
    seconds: f64,
) -> io::Result<LoadResults> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let start = Instant::now();
    let end = start + Duration::from_secs_f64(seconds);
    let mut total = LocalSet::new().block_on(&runtime, async {
        let clients: Vec<_> = (0..connections)
            .map(|_| tokio::task::spawn_local(client(address, request.to_owned(), end)))
            .collect();
        let mut total = LoadResults::default();
        for client in clients {
            if let Ok(results) = client.await {
                total.latencies_us.extend(results.latencies_us);
                total.others += results.others;
                total.broken += results.broken;
            }
        }
        total
    });
    total.seconds = start.elapsed().as_secs_f64();
    Ok(total)
}

async fn client(address: SocketAddr, request: String, end: Instant) -> LoadResults {
    let mut results = LoadResults::default();
    'connections: while Instant::now() < end {
        let Ok(mut stream) = tokio::net::TcpStream::connect(address).await else {
            results.broken += 1;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let mut buffer = vec![0; 64 << 10];
        while Instant::now() < end {
            let start = Instant::now();
            if stream.write_all(request.as_bytes()).await.is_err() {
                results.broken += 1;
                continue 'connections;
            }
            let mut buffered = 0;
            let mut remaining = None;
            let mut status = 0;
            // Reads the head, then a body of the length that it states.
            while remaining != Some(0) {
                let Ok(received @ 1..) = stream.read(&mut buffer[buffered..]).await else {
                    results.broken += 1;
                    continue 'connections;
                };
                match &mut remaining {
                    Some(remaining) => *remaining -= received,
                    None => {
                        buffered += received;
                        if let Some((head, code, length)) = parse_head(&buffer[..buffered]) {
                            status = code;
                            remaining = Some(head + length - buffered);
                            buffered = 0;
                        }
                    }
                }
            }
            if status == 200 {
                results.latencies_us.push(start.elapsed().as_micros() as u32);
            } else {
                results.others += 1;
            }
        }
        return results;
    }
    results
}

/// Parses a response head; returns its length, its status and the length of its body.
fn parse_head(bytes: &[u8]) -> Option<(usize, u16, usize)> {
    let end = bytes.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let text = std::str::from_utf8(&bytes[..end]).ok()?;
    let status = text.split(' ').nth(1)?.parse().ok()?;
    let length = text.split("\r\n").find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse().ok())?
    });
    Some((end, status, length.unwrap_or(0)))
}

/// Sends one request and reads the response; returns its status and latency in microseconds.
pub fn exchange(stream: &mut TcpStream, request: &[u8]) -> io::Result<(u16, u32)> {
    let start = Instant::now();
    stream.write_all(request)?;
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let received = stream.read(&mut buffer)?;
        if received == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        bytes.extend_from_slice(&buffer[..received]);
        if let Some((head, status, length)) = parse_head(&bytes) {
            if bytes.len() >= head + length {
                return Ok((status, start.elapsed().as_micros() as u32));
            }
        }
    }
}
