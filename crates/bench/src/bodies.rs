//! Memory of the sidecar while large bodies are forwarded; the application echoes them as they arrive.

use crate::process::Process;
use ivygate_test_servers::{read_head, ScriptedServer};
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::Instant;

/// Runs the benchmark and prints a table.
pub fn measure(mib: &[u64]) -> io::Result<()> {
    let echo = ScriptedServer::start(|stream, _| {
        let Some(head) = read_head(stream) else { return };
        let length: u64 = head.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
        let response_head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
        if stream.get_mut().write_all(response_head.as_bytes()).is_err() {
            return;
        }
        let (mut remaining, mut buffer) = (length, vec![0; 256 << 10]);
        while remaining > 0 {
            let Ok(received @ 1..) = stream.read(&mut buffer) else { return };
            if stream.get_mut().write_all(&buffer[..received]).is_err() {
                return;
            }
            remaining -= received as u64;
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
        let before = sidecar.memory_mib();
        let start = Instant::now();
        let mut stream = TcpStream::connect(sidecar.address)?;
        let mut upload = stream.try_clone()?;
        let bytes = size << 20;
        let writer = std::thread::spawn(move || -> io::Result<()> {
            let head = format!(
                "PUT /copy HTTP/1.1\r\nHost: bench\r\nConnection: close\r\nContent-Length: {bytes}\r\n\r\n"
            );
            upload.write_all(head.as_bytes())?;
            let block = vec![b'x'; 1 << 20];
            (0..bytes >> 20).try_for_each(|_| upload.write_all(&block))
        });
        let (mut received, mut peak, mut buffer) = (0u64, before, vec![0; 1 << 20]);
        let mut sampled = Instant::now();
        loop {
            let read = stream.read(&mut buffer)?;
            if read == 0 {
                break;
            }
            received += read as u64;
            if sampled.elapsed().as_millis() >= 5 {
                sampled = Instant::now();
                peak = peak.max(sidecar.memory_mib());
            }
        }
        writer.join().map_err(|_| io::Error::other("the upload thread panicked"))??;
        if received < bytes {
            return Err(io::Error::other(format!("response is truncated after {received} of {bytes} bytes")));
        }
        let seconds = start.elapsed().as_secs_f64();
        println!("{size:>9} {seconds:>10.2} {before:>12.1} {peak:>12.1} {:>9.0}", *size as f64 / seconds);
    }
    Ok(())
}
