//! The sidecar against the pass-through: same application, same clients, one after the other.

use crate::load::closed_loop;
use crate::process::Process;
use std::io;

/// A configuration that decides all there is to decide for one server.
fn config(server: &str) -> String {
    format!(
        "limits {{ descriptors 2048; }}
listen 127.0.0.1:0 {{ connections 1000; }}
class read {{ effect safe; aim 500ms; deadline 5s; }}
plan wide {{ quota 1000000/s; burst 1000000; }}
identity {{ customer header X-Customer; }}
pool app {{ requests 512; connections 512; server a {server}; }}
route all {{ path prefix /app; class read; pool app; }}
"
    )
}

/// Measures and prints.
pub fn measure(seconds: f64, rounds: usize) -> io::Result<()> {
    let application = Process::own(&["application"])?;
    let pass_through = Process::own(&["pass-through", &application.address.to_string()])?;
    let sidecar = Process::sidecar(&config(&application.address.to_string()))?;
    println!(
        "{:>12} {:>5} {:>6}  {:>9} {:>8} {:>8} {:>8} {:>7} {:>6}",
        "", "conns", "answer", "req/s", "p50 ms", "p99 ms", "max ms", "CPU us", "other"
    );
    for round in 0..rounds {
        for (path, size) in [("/app", "64 B"), ("/app/large", "1 MiB")] {
            for connections in [1, 4, 16, 32, 256] {
                for (name, process) in [("pass-through", &pass_through), ("sidecar", &sidecar)] {
                    // What is learned, opened and cached first is no part of it.
                    closed_loop(process.address, path, connections, 0.3)?;
                    let before = process.cpu();
                    let mut seen = closed_loop(process.address, path, connections, seconds)?;
                    let cpu = (process.cpu() - before) * 1e6
                        / (seen.times.len() as f64 + seen.others as f64).max(1.0);
                    println!(
                        "{name:>12} {connections:>5} {size:>6}  {:>9.0} {:>8.3} {:>8.3} {:>8.3} {cpu:>7.1} {:>6}",
                        seen.rate(),
                        seen.percentile(50.0),
                        seen.percentile(99.0),
                        seen.percentile(100.0),
                        seen.others + seen.broken,
                    );
                }
            }
        }
        if round + 1 < rounds {
            println!();
        }
    }
    Ok(())
}
