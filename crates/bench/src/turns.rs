//! Measures several workloads in alternating turns, so that other load on the machine affects all of them alike.

use crate::load::closed_loop_with;
use crate::process::Process;
use crate::proxy::{quartiles, TURN_SECONDS};
use std::io;

/// A workload: its name, the process under load, and the request.
pub type Workload<'a> = (&'a str, &'a Process, &'a str);

/// Runs the workloads and prints a table of medians over the turns for each number of requests in flight.
pub fn measure(workloads: &[Workload], concurrencies: &[usize], turns: usize) -> io::Result<()> {
    println!("Medians of {turns} turns each, taken in turns.");
    println!(
        "{:>16} {:>9}  {:>9} {:>8} {:>8} {:>8} {:>6}",
        "", "in flight", "req/s", "p50 ms", "p99 ms", "CPU us", "other"
    );
    for in_flight in concurrencies {
        let mut figures: Vec<Vec<[f64; 4]>> = vec![Vec::new(); workloads.len()];
        let mut others = vec![0; workloads.len()];
        for turn in 0..=turns {
            for (number, (_, process, request)) in workloads.iter().enumerate() {
                let before = process.cpu_seconds();
                let mut results = closed_loop_with(process.address, request, *in_flight, TURN_SECONDS)?;
                let cpu =
                    (process.cpu_seconds() - before) * 1e6 / (results.latencies_us.len() as f64).max(1.0);
                // The first turn is a warm-up: learned state, connections and caches are not part of the result.
                if turn > 0 {
                    figures[number].push([
                        results.rate(),
                        results.percentile(50.0),
                        results.percentile(99.0),
                        cpu,
                    ]);
                    others[number] += results.others + results.broken;
                }
            }
        }
        for (number, (name, ..)) in workloads.iter().enumerate() {
            let median =
                |figure: usize| quartiles(figures[number].iter().map(|turn| turn[figure]).collect())[1];
            println!(
                "{name:>16} {in_flight:>9}  {:>9.0} {:>8.3} {:>8.3} {:>8.1} {:>6}",
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
