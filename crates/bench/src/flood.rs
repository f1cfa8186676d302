//! Valid credentials beside ten times as many invalid ones, with a sign-in service that can check 200 per second; and
//! the memory of the sign-in cache.

use crate::load::exchange;
use crate::process::Process;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Time of one check by the sign-in service in microseconds; it checks one at a time.
const CHECK_TIME_US: &str = "5000";
/// Clients with valid credentials, and the period of each in milliseconds.
const VALID_CLIENTS: (usize, u64) = (4, 40);
/// Clients with invalid credentials, and the period of each in milliseconds.
const INVALID_CLIENTS: (usize, u64) = (20, 20);
/// Latency above which a response is late.
const AIM_US: u32 = 250_000;
/// Number of cached sign-in results whose memory is measured.
const CACHED_RESULTS: usize = 100_000;

/// Runs the benchmark and prints a table.
pub fn measure(seconds: f64) -> io::Result<()> {
    println!(
        "{} valid and {} invalid credentials per second, 200 checks per second, {seconds} s per row",
        1000 * VALID_CLIENTS.0 as u64 / VALID_CLIENTS.1,
        1000 * INVALID_CLIENTS.0 as u64 / INVALID_CLIENTS.1
    );
    println!("{:>28} {:>8} {:>10} {:>8}  {:>10}", "", "valid", "in time", "p99 ms", "bad asked");
    for (name, limits, cache) in [
        ("no limit", "", ""),
        ("address-limit 2/s", "address-limit 2/s;", ""),
        ("address-limit 2/s 2", "address-limit 2/s 2;", ""),
        ("and cache-yes 10s", "address-limit 2/s 2;", "cache-yes 10s;"),
    ] {
        let (backends, sidecar) = start_sidecar(&format!("{limits} {cache}"), &["--work-us", CHECK_TIME_US])?;
        let mut results = run_clients(sidecar.address, seconds)?;
        drop(backends);
        results.valid_latencies_us.sort_unstable();
        let latencies_us = &results.valid_latencies_us;
        let (count, in_time) = (latencies_us.len(), latencies_us.iter().filter(|us| **us <= AIM_US).count());
        let p99 = latencies_us.get(count.saturating_sub(1) * 99 / 100).copied().unwrap_or(0);
        println!(
            "{name:>28} {:>8} {:>9.1}% {:>8.1}  {:>10}",
            results.valid_requests,
            100.0 * in_time as f64 / (results.valid_requests as f64).max(1.0),
            f64::from(p99) / 1000.0,
            results.rejected_by_service
        );
    }
    measure_cache_memory()
}

/// Starts an application, a sign-in service and a sidecar; returns the first two and the sidecar.
fn start_sidecar(extra: &str, service_arguments: &[&str]) -> io::Result<(Vec<Process>, Process)> {
    let application = Process::benchmark_command(&["application"])?;
    let accounts = Process::benchmark_command(&[&["application"], service_arguments].concat())?;
    let sidecar = Process::sidecar(&format!(
        "limits {{ descriptors 4096; memory 1GiB; }}
listen 127.0.0.1:0 {{ connections 1500; trusted 127.0.0.1; }}
class read {{ effect safe; aim 250ms; deadline 2s; }}
pool app {{ requests 512; connections 512; server a {}; }}
pool accounts {{ requests 512; connections 512; server a {}; }}
sign-in members {{ pool accounts; path /app; within 500ms; cache-size {CACHED_RESULTS}; {extra} }}
route app {{ path prefix /app; sign-in members; class read; pool app; }}
",
        application.address, accounts.address
    ))?;
    Ok((vec![application, accounts], sidecar))
}

#[derive(Default)]
struct FloodResults {
    /// Number of requests with valid credentials.
    valid_requests: usize,
    /// Latency of each accepted request with valid credentials, in microseconds.
    valid_latencies_us: Vec<u32>,
    /// Invalid credentials that reached the sign-in service.
    rejected_by_service: usize,
}

fn run_clients(address: SocketAddr, seconds: f64) -> io::Result<FloodResults> {
    let end = Instant::now() + Duration::from_secs_f64(seconds);
    let client_groups = [(true, VALID_CLIENTS), (false, INVALID_CLIENTS)];
    let threads: Vec<_> = client_groups
        .into_iter()
        .flat_map(|(valid, (threads, period))| (0..threads).map(move |n| (valid, n, period)))
        .map(|(valid, n, period)| {
            std::thread::spawn(move || client(address, valid, n, Duration::from_millis(period), end))
        })
        .collect();
    let mut total = FloodResults::default();
    for thread in threads {
        let results = thread.join().map_err(|_| io::Error::other("a client thread panicked"))??;
        total.valid_requests += results.valid_requests;
        total.valid_latencies_us.extend(results.valid_latencies_us);
        total.rejected_by_service += results.rejected_by_service;
    }
    Ok(total)
}

/// Sends one request per period with valid credentials, or with new invalid ones each time.
fn client(
    address: SocketAddr,
    valid: bool,
    n: usize,
    period: Duration,
    end: Instant,
) -> io::Result<FloodResults> {
    let mut results = FloodResults::default();
    let mut stream = connect(address)?;
    let mut next = Instant::now() + period / 20 * (n as u32 % 20);
    let mut number = 0;
    while next < end {
        std::thread::sleep(next.saturating_duration_since(Instant::now()));
        // A late client does not catch up with a burst.
        next = (next + period).max(Instant::now());
        number += 1;
        let (credential, host) =
            if valid { (format!("good-{n}"), 100 + n) } else { (format!("bad-{n}-{number}"), n / 2) };
        let request = format!(
            "GET /app HTTP/1.1\r\nHost: bench\r\nX-Forwarded-For: 192.0.2.{host}\r\nAuthorization: {credential}\r\n\r\n"
        );
        let response = exchange(&mut stream, request.as_bytes());
        results.valid_requests += usize::from(valid);
        match response {
            Ok((200, latency)) if valid => results.valid_latencies_us.push(latency),
            Ok((401, _)) => results.rejected_by_service += 1,
            Ok(_) => {}
            Err(_) => stream = connect(address)?,
        }
    }
    Ok(results)
}

fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    Ok(stream)
}

/// Prints the memory per cached sign-in result, measured after a tenth of them have warmed up the sidecar.
fn measure_cache_memory() -> io::Result<()> {
    let (_backends, sidecar) = start_sidecar("cache-yes 10m;", &[])?;
    let fill = |from: usize, to: usize| -> io::Result<()> {
        let mut stream = connect(sidecar.address)?;
        for n in from..to {
            let request =
                format!("GET /app HTTP/1.1\r\nHost: bench\r\nAuthorization: Bearer {n:032}\r\n\r\n");
            exchange(&mut stream, request.as_bytes())?;
        }
        Ok(())
    };
    fill(0, CACHED_RESULTS / 10)?;
    let before = sidecar.memory_mib();
    fill(CACHED_RESULTS / 10, CACHED_RESULTS)?;
    let growth = sidecar.memory_mib() - before;
    println!(
        "{CACHED_RESULTS} cached sign-in results: {:.1} MiB resident, {:.0} bytes each",
        sidecar.memory_mib(),
        growth * 1_048_576.0 / (CACHED_RESULTS as f64 * 0.9)
    );
    Ok(())
}
