//! Compares the sidecar with the pass-through proxy: same application and same clients, in alternating turns of
//! half a second, since the speed of a machine varies from one second to the next.

use crate::load::closed_loop;
use crate::process::Process;
use std::io;

/// Duration of one turn in seconds.
pub const TURN_SECONDS: f64 = 0.5;

/// Returns a sidecar configuration with a plan, an identity, a class and a route for one server.
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

/// Results of one turn: requests per second, latencies in milliseconds, CPU microseconds per response.
struct TurnResults {
    rate: f64,
    p50: f64,
    p99: f64,
    cpu: f64,
    others: u64,
}

fn run_turn(process: &Process, path: &str, connections: usize) -> io::Result<TurnResults> {
    let before = process.cpu_seconds();
    let mut results = closed_loop(process.address, path, connections, TURN_SECONDS)?;
    let cpu = (process.cpu_seconds() - before) * 1e6
        / (results.latencies_us.len() as f64 + results.others as f64).max(1.0);
    Ok(TurnResults {
        rate: results.rate(),
        p50: results.percentile(50.0),
        p99: results.percentile(99.0),
        cpu,
        others: results.others + results.broken,
    })
}

/// Returns the first quartile, the median and the third quartile.
pub fn quartiles(mut values: Vec<f64>) -> [f64; 3] {
    values.sort_unstable_by(f64::total_cmp);
    let last = values.len().saturating_sub(1);
    [last / 4, last / 2, last - last / 4].map(|index| values.get(index).copied().unwrap_or(0.0))
}

/// Runs the benchmark and prints a table.
pub fn measure(turns: usize) -> io::Result<()> {
    let application = Process::benchmark_command(&["application"])?;
    let pass_through = Process::benchmark_command(&["pass-through", &application.address.to_string()])?;
    let sidecar = Process::sidecar(&config(&application.address.to_string()))?;
    println!("Medians of {turns} pairs of turns; of the ratios sidecar/pass-through the quartiles too.");
    println!(
        "{:>6} {:>5}  {:>15} {:>18}  {:>15} {:>18}  {:>15} {:>15}  {:>6}",
        "answer", "conns", "req/s", "ratio", "CPU us", "ratio", "p50 ms", "p99 ms", "other"
    );
    for (path, size) in [("/app", "64 B"), ("/app/large", "1 MiB")] {
        for connections in [1, 4, 16, 32, 256] {
            // Warms up: learned state, connections and caches are not part of the result.
            for process in [&pass_through, &sidecar] {
                closed_loop(process.address, path, connections, TURN_SECONDS)?;
            }
            let mut pairs = Vec::new();
            for number in 0..turns {
                // The order alternates, since the second of a pair runs on a machine warmed by the first.
                pairs.push(if number % 2 == 0 {
                    let baseline = run_turn(&pass_through, path, connections)?;
                    (baseline, run_turn(&sidecar, path, connections)?)
                } else {
                    let sidecar_turn = run_turn(&sidecar, path, connections)?;
                    (run_turn(&pass_through, path, connections)?, sidecar_turn)
                });
            }
            let both = |figure: fn(&TurnResults) -> f64, decimals: usize| {
                let baseline = quartiles(pairs.iter().map(|(baseline, _)| figure(baseline)).collect())[1];
                let sidecar_turn =
                    quartiles(pairs.iter().map(|(_, sidecar_turn)| figure(sidecar_turn)).collect())[1];
                format!("{baseline:.decimals$} {sidecar_turn:.decimals$}")
            };
            let ratio = |figure: fn(&TurnResults) -> f64| {
                let ratios = pairs
                    .iter()
                    .map(|(baseline, sidecar_turn)| figure(sidecar_turn) / figure(baseline).max(1e-9))
                    .collect();
                let [low, middle, high] = quartiles(ratios);
                format!("{middle:.2} ({low:.2}-{high:.2})")
            };
            let others: u64 =
                pairs.iter().map(|(baseline, sidecar_turn)| baseline.others + sidecar_turn.others).sum();
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
