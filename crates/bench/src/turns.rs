//! Several kinds of requests in turns, so that what else the machine does meets all of them.

use crate::load::closed_loop_of;
use crate::process::Process;
use crate::proxy::{quartiles, TURN};
use std::io;

/// A kind: its name, who is asked, and the request.
pub type Kind<'a> = (&'a str, &'a Process, &'a str);

/// Plays and prints a table: medians of so many turns for each number of requests in flight.
pub fn measure(kinds: &[Kind], all_in_flight: &[usize], turns: usize) -> io::Result<()> {
    println!("Medians of {turns} turns each, taken in turns.");
    println!(
        "{:>16} {:>9}  {:>9} {:>8} {:>8} {:>8} {:>6}",
        "", "in flight", "req/s", "p50 ms", "p99 ms", "CPU us", "other"
    );
    for in_flight in all_in_flight {
        let mut seen: Vec<Vec<[f64; 4]>> = vec![Vec::new(); kinds.len()];
        let mut others = vec![0; kinds.len()];
        for turn in 0..=turns {
            for (number, (_, process, request)) in kinds.iter().enumerate() {
                let before = process.cpu();
                let mut all = closed_loop_of(process.address, request, *in_flight, TURN)?;
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
