//! What a sign-in check costs: the same requests unchecked, by a remembered yes, and each asked about.

use crate::load::closed_loop;
use crate::process::Process;
use crate::proxy::{quartiles, TURN};
use std::io;

/// Measures and prints.
pub fn measure(turns: usize) -> io::Result<()> {
    let application = Process::own(&["application"])?;
    let service = Process::own(&["application"])?;
    let pass_through = Process::own(&["pass-through", &application.address.to_string()])?;
    let config = format!(
        "limits {{ descriptors 4096; }}
listen 127.0.0.1:0 {{ connections 1500; }}
class read {{ effect safe; aim 500ms; deadline 5s; }}
pool app {{ requests 512; connections 512; server a {}; }}
pool accounts {{ requests 512; connections 512; server a {}; }}
sign-in each {{ pool accounts; path /app; }}
sign-in kept {{ pool accounts; path /app; cache-yes 1m; }}
route none {{ path prefix /app/none; class read; pool app; }}
route kept {{ path prefix /app/kept; sign-in kept; class read; pool app; }}
route each {{ path prefix /app/each; sign-in each; class read; pool app; }}
",
        application.address, service.address
    );
    let sidecar = Process::sidecar(&config)?;
    let kinds = [
        ("pass-through", &pass_through, "/app"),
        ("unchecked", &sidecar, "/app/none"),
        ("remembered", &sidecar, "/app/kept"),
        ("asked", &sidecar, "/app/each"),
    ];
    println!("Medians of {turns} turns each, taken in turns.");
    println!(
        "{:>12} {:>5}  {:>9} {:>8} {:>8} {:>8} {:>6}",
        "", "conns", "req/s", "p50 ms", "p99 ms", "CPU us", "other"
    );
    for connections in [1, 16] {
        let mut seen: Vec<Vec<[f64; 4]>> = vec![Vec::new(); kinds.len()];
        let mut others = vec![0; kinds.len()];
        for turn in 0..=turns {
            for (number, (_, process, path)) in kinds.iter().enumerate() {
                let before = process.cpu();
                let mut all = closed_loop(process.address, path, connections, TURN)?;
                let cpu = (process.cpu() - before) * 1e6 / (all.times.len() as f64).max(1.0);
                // What is learned, opened and remembered first is no part of it.
                if turn > 0 {
                    seen[number].push([all.rate(), all.percentile(50.0), all.percentile(99.0), cpu]);
                    others[number] += all.others + all.broken;
                }
            }
        }
        for (number, (name, ..)) in kinds.iter().enumerate() {
            let median = |of: usize| quartiles(seen[number].iter().map(|turn| turn[of]).collect())[1];
            println!(
                "{name:>12} {connections:>5}  {:>9.0} {:>8.3} {:>8.3} {:>8.1} {:>6}",
                median(0),
                median(1),
                median(2),
                median(3),
                others[number]
            );
        }
    }
    Ok(())
}
