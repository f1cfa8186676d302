//! The sidecar against the pass-through: same application, same clients, in turns of a part of a second, since
//! a machine's pace moves from one second to the next.

use crate::load::closed_loop;
use crate::process::Process;
use std::io;

/// How long each of the two is asked before it is the other's turn, in seconds.
pub const TURN: f64 = 0.5;

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

/// What one turn came to.
struct Turn {
    rate: f64,
    p50: f64,
    p99: f64,
    cpu: f64,
    others: u64,
}

fn turn(process: &Process, path: &str, connections: usize) -> io::Result<Turn> {
    let before = process.cpu();
    let mut seen = closed_loop(process.address, path, connections, TURN)?;
    let cpu = (process.cpu() - before) * 1e6 / (seen.times.len() as f64 + seen.others as f64).max(1.0);
    Ok(Turn {
        rate: seen.rate(),
        p50: seen.percentile(50.0),
        p99: seen.percentile(99.0),
        cpu,
        others: seen.others + seen.broken,
    })
}

/// The middle one, and the first and third quarter.
pub fn quartiles(mut values: Vec<f64>) -> [f64; 3] {
    values.sort_unstable_by(f64::total_cmp);
    let last = values.len().saturating_sub(1);
    [last / 4, last / 2, last - last / 4].map(|at| values.get(at).copied().unwrap_or(0.0))
}

/// Measures and prints.
pub fn measure(turns: usize) -> io::Result<()> {
    let application = Process::own(&["application"])?;
    let pass_through = Process::own(&["pass-through", &application.address.to_string()])?;
    let sidecar = Process::sidecar(&config(&application.address.to_string()))?;
    println!("Medians of {turns} pairs of turns; of the ratios sidecar/pass-through the quartiles too.");
    println!(
        "{:>6} {:>5}  {:>15} {:>18}  {:>15} {:>18}  {:>15} {:>15}  {:>6}",
        "answer", "conns", "req/s", "ratio", "CPU us", "ratio", "p50 ms", "p99 ms", "other"
    );
    for (path, size) in [("/app", "64 B"), ("/app/large", "1 MiB")] {
        for connections in [1, 4, 16, 32, 256] {
            // What is learned, opened and cached first is no part of it.
            for process in [&pass_through, &sidecar] {
                closed_loop(process.address, path, connections, TURN)?;
            }
            let mut pairs = Vec::new();
            for number in 0..turns {
                // Whoever comes second finds the machine as the first left it: they take turns at that too.
                pairs.push(if number % 2 == 0 {
                    let bare = turn(&pass_through, path, connections)?;
                    (bare, turn(&sidecar, path, connections)?)
                } else {
                    let deciding = turn(&sidecar, path, connections)?;
                    (turn(&pass_through, path, connections)?, deciding)
                });
            }
            let both = |of: fn(&Turn) -> f64, places: usize| {
                let bare = quartiles(pairs.iter().map(|(bare, _)| of(bare)).collect())[1];
                let deciding = quartiles(pairs.iter().map(|(_, deciding)| of(deciding)).collect())[1];
                format!("{bare:.places$} {deciding:.places$}")
            };
            let ratio = |of: fn(&Turn) -> f64| {
                let ratios = pairs.iter().map(|(bare, deciding)| of(deciding) / of(bare).max(1e-9)).collect();
                let [low, middle, high] = quartiles(ratios);
                format!("{middle:.2} ({low:.2}-{high:.2})")
            };
            let others: u64 = pairs.iter().map(|(bare, deciding)| bare.others + deciding.others).sum();
            println!(
                "{size:>6} {connections:>5}  {:>15} {:>18}  {:>15} {:>18}  {:>15} {:>15}  {others:>6}",
                both(|t| t.rate, 0),
                ratio(|t| t.rate),
                both(|t| t.cpu, 1),
                ratio(|t| t.cpu),
                both(|t| t.p50, 3),
                both(|t| t.p99, 3),
            );
        }
    }
    Ok(())
}
