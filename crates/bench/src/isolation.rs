//! Paid orders beside a pool of tiles that stalls.

use crate::load::{ask, Seen};
use crate::process::Process;
use ivygate_test_servers::{AppServer, Reply};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Orders a second.
const ORDERS: f64 = 200.0;
/// Tiles that may be open at once.
const TILES_OPEN: usize = 64;
/// Tiles' deadline in seconds.
const TILES_DEADLINE: f64 = 1.0;

/// Measures and prints.
pub fn measure(seconds: f64) -> io::Result<()> {
    let stalled = AppServer::start(|_| Reply::Silence);
    let orders = AppServer::start(|_| Reply::Slow(Duration::from_millis(2)));
    let sidecar = Process::sidecar(&format!(
        "limits {{ descriptors 2048; }}
listen 127.0.0.1:0 {{ connections 1000; }}
class tile {{ effect safe; aim 500ms; deadline {TILES_DEADLINE}s; }}
class order {{ effect unsafe; aim 500ms; deadline 2s; worth 10; }}
pool tiles {{ requests {TILES_OPEN}; connections 128; server a {}; server b {}; }}
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
    // The whole is played once unseen: threads, connections and what is learned.
    play(sidecar.address, 1.0)?;
    let mut alone = play(sidecar.address, seconds)?;
    print("alone", &mut alone);
    let stop = Arc::new(AtomicBool::new(false));
    let tiles = Arc::new(AtomicU64::new(0));
    // What the pool could take if its servers gave up at the deadline, and a fifth more.
    let rate = 1.2 * TILES_OPEN as f64 / TILES_DEADLINE;
    let threads = 4 * TILES_OPEN;
    let flood: Vec<_> = (0..threads)
        .map(|_| {
            let (stop, tiles, address) = (stop.clone(), tiles.clone(), sidecar.address);
            std::thread::spawn(move || flood(address, &stop, &tiles, threads as f64 / rate))
        })
        .collect();
    std::thread::sleep(Duration::from_secs(1));
    let mut beside = play(sidecar.address, seconds)?;
    stop.store(true, Ordering::SeqCst);
    print("tiles stalled, 120 %", &mut beside);
    let asked = tiles.load(Ordering::SeqCst) as f64 / (seconds + 1.0);
    println!("tiles asked for: {asked:.0} a second of {rate:.0} wanted");
    flood.into_iter().for_each(|f| drop(f.join()));
    Ok(())
}

fn flood(address: SocketAddr, stop: &AtomicBool, tiles: &AtomicU64, period: f64) {
    let mut next = Instant::now() + Duration::from_secs_f64(period * fastrand::f64());
    while !stop.load(Ordering::SeqCst) {
        std::thread::sleep(next.saturating_duration_since(Instant::now()).min(Duration::from_millis(200)));
        if Instant::now() < next {
            continue;
        }
        next += Duration::from_secs_f64(period);
        tiles.fetch_add(1, Ordering::SeqCst);
        if let Ok(mut stream) = TcpStream::connect(address) {
            let _ = ask(&mut stream, b"GET /tiles/1 HTTP/1.1\r\nHost: bench\r\n\r\n");
        }
    }
}

/// Orders at their rate, on eight connections.
fn play(address: SocketAddr, seconds: f64) -> io::Result<Seen> {
    const CLIENTS: usize = 8;
    let start = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            std::thread::spawn(move || -> io::Result<Seen> {
                let mut seen = Seen::default();
                let mut stream = TcpStream::connect(address)?;
                stream.set_nodelay(true)?;
                let period = Duration::from_secs_f64(CLIENTS as f64 / ORDERS);
                let mut next = start + period * n as u32 / CLIENTS as u32;
                while next < start + Duration::from_secs_f64(seconds) {
                    std::thread::sleep(next.saturating_duration_since(Instant::now()));
                    let request = b"POST /orders HTTP/1.1\r\nHost: bench\r\nContent-Length: 4\r\n\r\npaid";
                    match ask(&mut stream, request) {
                        Ok((200, time)) => seen.times.push(time),
                        Ok(_) => seen.others += 1,
                        Err(_) => {
                            seen.broken += 1;
                            stream = TcpStream::connect(address)?;
                        }
                    }
                    next += period;
                }
                Ok(seen)
            })
        })
        .collect();
    let mut all = Seen::default();
    for client in clients {
        let seen = client.join().map_err(|_| io::Error::other("a client failed"))??;
        all.times.extend(seen.times);
        all.others += seen.others;
        all.broken += seen.broken;
    }
    Ok(all)
}

fn print(name: &str, seen: &mut Seen) {
    // The class's deadline.
    let late = seen.times.iter().filter(|t| **t > 2_000_000).count();
    let (count, other) = (seen.times.len(), seen.others + seen.broken);
    let [p50, p99, most] = [50.0, 99.0, 100.0].map(|p| seen.percentile(p));
    println!("{name:>22} {count:>8} {p50:>8.3} {p99:>8.3} {most:>8.3} {late:>6} {other:>8}");
}
