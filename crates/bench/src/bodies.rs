//! Memory while large bodies pass: sent back by an application while they come.

use crate::process::Process;
use ivygate_test_servers::{read_head, ScriptedServer};
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::Instant;

/// Measures and prints.
pub fn measure(mib: &[u64]) -> io::Result<()> {
    let echo = ScriptedServer::start(|stream, _| {
        let Some(head) = read_head(stream) else { return };
        let length: u64 = head.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
        if stream.get_mut().write_all(answer.as_bytes()).is_err() {
            return;
        }
        let (mut left, mut piece) = (length, vec![0; 256 << 10]);
        while left > 0 {
            let Ok(came @ 1..) = stream.read(&mut piece) else { return };
            if stream.get_mut().write_all(&piece[..came]).is_err() {
                return;
            }
            left -= came as u64;
        }
    });
    let sidecar = Process::sidecar(&format!(
        "listen 127.0.0.1:0 {{ }}
class copy {{ effect unsafe; deadline 5s; upload 10m; }}
pool app {{ server a {}; }}
route all {{ class copy; pool app; }}
",
        echo.address
    ))?;
    println!("{:>9} {:>10} {:>12} {:>12} {:>9}", "MiB", "seconds", "before MiB", "most MiB", "MiB/s");
    for size in mib {
        let before = sidecar.memory();
        let start = Instant::now();
        let mut stream = TcpStream::connect(sidecar.address)?;
        let mut writing = stream.try_clone()?;
        let bytes = size << 20;
        let writer = std::thread::spawn(move || -> io::Result<()> {
            let head = format!(
                "PUT /copy HTTP/1.1\r\nHost: bench\r\nConnection: close\r\nContent-Length: {bytes}\r\n\r\n"
            );
            writing.write_all(head.as_bytes())?;
            let piece = vec![b'x'; 1 << 20];
            (0..bytes >> 20).try_for_each(|_| writing.write_all(&piece))
        });
        let (mut came, mut most, mut piece) = (0u64, before, vec![0; 1 << 20]);
        let mut looked = Instant::now();
        loop {
            let read = stream.read(&mut piece)?;
            if read == 0 {
                break;
            }
            came += read as u64;
            if looked.elapsed().as_millis() >= 5 {
                looked = Instant::now();
                most = most.max(sidecar.memory());
            }
        }
        writer.join().map_err(|_| io::Error::other("the writer failed"))??;
        if came < bytes {
            return Err(io::Error::other(format!("only {came} bytes came back")));
        }
        let seconds = start.elapsed().as_secs_f64();
        println!("{size:>9} {seconds:>10.2} {before:>12.1} {most:>12.1} {:>9.0}", *size as f64 / seconds);
    }
    Ok(())
}
