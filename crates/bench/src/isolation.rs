//! Latency of orders beside a pool of tile servers that stall.

use crate::load::{exchange, LoadResults};
use crate::process::Process;
use ivygate_test_servers::{AppServer, Reply};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Order rate per second.
const ORDERS_PER_S: f64 = 200.0;
/// Limit of concurrent tile requests.
const MAX_TILE_REQUESTS: usize = 64;
/// Deadline of tile requests in seconds.
const TILE_DEADLINE: f64 = 1.0;

/// Runs the benchmark and prints a table.
pub fn measure(seconds: f64) -> io::Result<()> {
    let stalled = AppServer::start(|_| Reply::Silence);
    let orders = AppServer::start(|_| Reply::Slow(Duration::from_millis(2)));
    let sidecar = Process::sidecar(&format!(
        "limits {{ descriptors 2048; }}
listen 127.0.0.1:0 {{ connections 1000; }}
class tile {{ effect safe; aim 500ms; deadline {TILE_DEADLINE}s; }}
class order {{ effect unsafe; aim 500ms; deadline 2s; worth 10; }}
pool tiles {{ requests {MAX_TILE_REQUESTS}; connections 128; server a {}; server b {}; }}
pool orders {{ requests 64; connections 128; server a {}; }}
route tiles {{ path prefix /tiles; class tile; pool tiles; }}
route orders {{ path exact /orders; class order; pool orders; }}
",
        stalled.address,
        AppServer::start(|_| Reply::Silence).address,
        orders.address
    ))?;
    println!(
        "{:>22} {:>8} {:>8} {:>8} {:>8} {:>6} {:>8}",
        "", "orders", "p50 ms", "p99 ms", "max ms", "late", "other"
    );
    // Warms up threads, connections and learned state.
    run_orders(sidecar.address, 1.0)?;
    let mut alone = run_orders(sidecar.address, seconds)?;
    print_row("alone", &mut alone);
    let stop = Arc::new(AtomicBool::new(false));
    let tile_requests = Arc::new(AtomicU64::new(0));
    // 120 % of the rate that the pool sustains if each request ends at its deadline.
    let rate = 1.2 * MAX_TILE_REQUESTS as f64 / TILE_DEADLINE;
    let threads = 4 * MAX_TILE_REQUESTS;
    let tile_clients: Vec<_> = (0..threads)
        .map(|_| {
            let (stop, tile_requests, address) = (stop.clone(), tile_requests.clone(), sidecar.address);
            std::thread::spawn(move || {
                send_tile_requests(address, &stop, &tile_requests, threads as f64 / rate);
            })
        })
        .collect();
    std::thread::sleep(Duration::from_secs(1));
    let mut beside_stall = run_orders(sidecar.address, seconds)?;
    stop.store(true, Ordering::SeqCst);
    print_row("tiles stalled, 120 %", &mut beside_stall);
    let achieved = tile_requests.load(Ordering::SeqCst) as f64 / (seconds + 1.0);
    println!("tile requests: {achieved:.0} per second of {rate:.0} intended");
    tile_clients.into_iter().for_each(|client| drop(client.join()));
    Ok(())
}

/// Sends one tile request per period, each on a connection of its own.
fn send_tile_requests(address: SocketAddr, stop: &AtomicBool, requests: &AtomicU64, period: f64) {
    let mut next = Instant::now() + Duration::from_secs_f64(period * fastrand::f64());
    while !stop.load(Ordering::SeqCst) {
        std::thread::sleep(next.saturating_duration_since(Instant::now()).min(Duration::from_millis(200)));
        if Instant::now() < next {
            continue;
        }
        next += Duration::from_secs_f64(period);
        requests.fetch_add(1, Ordering::SeqCst);
        if let Ok(mut stream) = TcpStream::connect(address) {
            let _ = exchange(&mut stream, b"GET /tiles/1 HTTP/1.1\r\nHost: bench\r\n\r\n");
        }
    }
}

/// Sends orders at [`ORDERS_PER_S`] on eight connections.
fn run_orders(address: SocketAddr, seconds: f64) -> io::Result<LoadResults> {
    const CLIENTS: usize = 8;
    let start = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            std::thread::spawn(move || -> io::Result<LoadResults> {
                let mut results = LoadResults::default();
                let mut stream = TcpStream::connect(address)?;
                stream.set_nodelay(true)?;
                let period = Duration::from_secs_f64(CLIENTS as f64 / ORDERS_PER_S);
                let mut next = start + period * n as u32 / CLIENTS as u32;
                while next < start + Duration::from_secs_f64(seconds) {
                    std::thread::sleep(next.saturating_duration_since(Instant::now()));
                    let request = b"POST /orders HTTP/1.1\r\nHost: bench\r\nContent-Length: 4\r\n\r\npaid";
                    match exchange(&mut stream, request) {
                        Ok((200, latency)) => results.latencies_us.push(latency),
                        Ok(_) => results.others += 1,
                        Err(_) => {
                            results.broken += 1;
                            stream = TcpStream::connect(address)?;
                        }
                    }
                    next += period;
                }
                Ok(results)
            })
        })
        .collect();
    let mut total = LoadResults::default();
    for client in clients {
        let results = client.join().map_err(|_| io::Error::other("a client thread panicked"))??;
        total.latencies_us.extend(results.latencies_us);
        total.others += results.others;
        total.broken += results.broken;
    }
    Ok(total)
}

fn print_row(name: &str, results: &mut LoadResults) {
    // The deadline of class `order` is 2 s.
    let late = results.latencies_us.iter().filter(|t| **t > 2_000_000).count();
    let (count, other) = (results.latencies_us.len(), results.others + results.broken);
    let [p50, p99, max] = [50.0, 99.0, 100.0].map(|p| results.percentile(p));
    println!("{name:>22} {count:>8} {p50:>8.3} {p99:>8.3} {max:>8.3} {late:>6} {other:>8}");
}
