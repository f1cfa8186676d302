//! Good passes beside ten times as many bad ones, at a sign-in service that can check 200 a second; and the memory of
//! remembered answers.

use crate::load::ask;
use crate::process::Process;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// What the service needs for one check, in microseconds; it checks one at a time.
const WORK_US: &str = "5000";
/// Good requests a second, and bad ones.
const GOOD: (usize, u64) = (4, 40);
const BAD: (usize, u64) = (20, 20);
/// An answer after this is late.
const AIM_US: u32 = 250_000;
/// Remembered answers whose memory is measured.
const REMEMBERED: usize = 100_000;

/// Measures and prints.
pub fn measure(seconds: f64) -> io::Result<()> {
    println!(
        "{} good and {} bad passes a second, a service of 200 checks a second, {seconds} s each",
        1000 * GOOD.0 as u64 / GOOD.1,
        1000 * BAD.0 as u64 / BAD.1
    );
    println!("{:>28} {:>8} {:>10} {:>8}  {:>10}", "", "good", "in time", "p99 ms", "bad asked");
    for (name, limits, remembers) in [
        ("no limit", "", ""),
        ("address-limit 2/s", "address-limit 2/s;", ""),
        ("address-limit 2/s 2", "address-limit 2/s 2;", ""),
        ("and cache-yes 10s", "address-limit 2/s 2;", "cache-yes 10s;"),
    ] {
        let (service, sidecar) = rig(&format!("{limits} {remembers}"), &["--work-us", WORK_US])?;
        let mut all = flood(sidecar.address, seconds)?;
        drop(service);
        all.good.sort_unstable();
        let (count, in_time) = (all.good.len(), all.good.iter().filter(|us| **us <= AIM_US).count());
        let p99 = all.good.get(count.saturating_sub(1) * 99 / 100).copied().unwrap_or(0);
        println!(
            "{name:>28} {:>8} {:>9.1}% {:>8.1}  {:>10}",
            all.asked,
            100.0 * in_time as f64 / (all.asked as f64).max(1.0),
            f64::from(p99) / 1000.0,
            all.refused_by_service
        );
    }
    memory()
}

fn rig(extra: &str, service: &[&str]) -> io::Result<(Vec<Process>, Process)> {
    let application = Process::own(&["application"])?;
    let accounts = Process::own(&[&["application"], service].concat())?;
    let sidecar = Process::sidecar(&format!(
        "limits {{ descriptors 4096; memory 1GiB; }}
listen 127.0.0.1:0 {{ connections 1500; trusted 127.0.0.1; }}
class read {{ effect safe; aim 250ms; deadline 2s; }}
pool app {{ requests 512; connections 512; server a {}; }}
pool accounts {{ requests 512; connections 512; server a {}; }}
sign-in members {{ pool accounts; path /app; within 500ms; cache-size {REMEMBERED}; {extra} }}
route app {{ path prefix /app; sign-in members; class read; pool app; }}
",
        application.address, accounts.address
    ))?;
    Ok((vec![application, accounts], sidecar))
}

#[derive(Default)]
struct Seen {
    asked: usize,
    /// Microseconds of good passes that were let on.
    good: Vec<u32>,
    /// Bad passes that came as far as the service.
    refused_by_service: usize,
}

fn flood(address: SocketAddr, seconds: f64) -> io::Result<Seen> {
    let end = Instant::now() + Duration::from_secs_f64(seconds);
    let kinds = [(true, GOOD), (false, BAD)];
    let threads: Vec<_> = kinds
        .into_iter()
        .flat_map(|(good, (threads, every))| (0..threads).map(move |n| (good, n, every)))
        .map(|(good, n, every)| {
            std::thread::spawn(move || client(address, good, n, Duration::from_millis(every), end))
        })
        .collect();
    let mut all = Seen::default();
    for thread in threads {
        let seen = thread.join().map_err(|_| io::Error::other("a client ended early"))??;
        all.asked += seen.asked;
        all.good.extend(seen.good);
        all.refused_by_service += seen.refused_by_service;
    }
    Ok(all)
}

fn client(address: SocketAddr, good: bool, n: usize, every: Duration, end: Instant) -> io::Result<Seen> {
    let mut seen = Seen::default();
    let mut stream = connect(address)?;
    let mut next = Instant::now() + every / 20 * (n as u32 % 20);
    let mut number = 0;
    while next < end {
        std::thread::sleep(next.saturating_duration_since(Instant::now()));
        // One that is late does not make up for it in a burst.
        next = (next + every).max(Instant::now());
        number += 1;
        let (pass, from) =
            if good { (format!("good-{n}"), 100 + n) } else { (format!("bad-{n}-{number}"), n / 2) };
        let request = format!(
            "GET /app HTTP/1.1\r\nHost: bench\r\nX-Forwarded-For: 192.0.2.{from}\r\nAuthorization: {pass}\r\n\r\n"
        );
        let answer = ask(&mut stream, request.as_bytes());
        seen.asked += usize::from(good);
        match answer {
            Ok((200, time)) if good => seen.good.push(time),
            Ok((401, _)) => seen.refused_by_service += 1,
            Ok(_) => {}
            Err(_) => stream = connect(address)?,
        }
    }
    Ok(seen)
}

fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    Ok(stream)
}

/// Memory of remembered answers, from a sidecar that has been warmed by a tenth as many of the same.
fn memory() -> io::Result<()> {
    let (_others, sidecar) = rig("cache-yes 10m;", &[])?;
    let fill = |from: usize, to: usize| -> io::Result<()> {
        let mut stream = connect(sidecar.address)?;
        for n in from..to {
            let request =
                format!("GET /app HTTP/1.1\r\nHost: bench\r\nAuthorization: Bearer {n:032}\r\n\r\n");
            ask(&mut stream, request.as_bytes())?;
        }
        Ok(())
    };
    fill(0, REMEMBERED / 10)?;
    let before = sidecar.memory();
    fill(REMEMBERED / 10, REMEMBERED)?;
    let grown = sidecar.memory() - before;
    println!(
        "{REMEMBERED} remembered answers: {:.1} MiB resident, {:.0} bytes each",
        sidecar.memory(),
        grown * 1_048_576.0 / (REMEMBERED as f64 * 0.9)
    );
    Ok(())
}
