//! Lookup time and memory of the route table, by number of routes.

use ivygate_routing::{HostMatch, LookupResult, MethodMatch, PathMatch, RouteMatch, RouteTable};
use std::hint::black_box;
use std::io;
use std::time::Instant;

/// Runs the benchmark and prints a table.
pub fn measure() -> io::Result<()> {
    println!(
        "{:>8} {:>10} {:>12} {:>12} {:>14}",
        "routes", "build ms", "ns, 3 parts", "ns, 12 parts", "bytes a route"
    );
    for count in [10, 1_000, 100_000] {
        let routes = routes(count);
        let start = Instant::now();
        let table = RouteTable::build(routes).map_err(io::Error::other)?;
        let built = start.elapsed().as_secs_f64() * 1e3;
        let times = [3, 12].map(|parts| lookup_time(&table, count, parts));
        let memory = table.memory_bytes() as f64 / count as f64;
        println!("{count:>8} {built:>10.2} {:>12.0} {:>12.0} {memory:>14.0}", times[0], times[1]);
    }
    Ok(())
}

/// Returns routes over a hundred hosts: a third each of exact paths, prefixes and patterns.
fn routes(count: usize) -> Vec<RouteMatch> {
    let route = |n: usize| {
        let text = format!("/service-{}/resource-{n}", n % 50);
        let path = match n % 3 {
            0 => PathMatch::exact(&text),
            1 => PathMatch::prefix(&text),
            _ => PathMatch::pattern(&format!("{text}/*/edit")),
        };
        let host = HostMatch::parse(&format!("h{}.example.org", n % 100));
        Some(RouteMatch { host: host.ok()?, path: path.ok()?, methods: MethodMatch::Any })
    };
    (0..count).filter_map(route).collect()
}

/// Returns the nanoseconds per lookup of paths whose prefix routes have `parts` segments; the best of 20 runs.
fn lookup_time(table: &RouteTable, count: usize, parts: usize) -> f64 {
    let mut rng = fastrand::Rng::with_seed(5);
    let requests: Vec<_> = (0..10_000)
        .map(|_| {
            let n = rng.usize(..count);
            let mut path = format!("/service-{}/resource-{n}", n % 50);
            match n % 3 {
                0 => {}
                1 => path += &"/x".repeat(parts - 2),
                _ => path += "/x/edit",
            }
            (format!("h{}.example.org", n % 100), path)
        })
        .collect();
    let mut best = f64::INFINITY;
    for _ in 0..20 {
        let start = Instant::now();
        let found = requests
            .iter()
            .filter(|(host, path)| {
                matches!(table.find(black_box(host), black_box(path), "GET"), LookupResult::Route(..))
            })
            .count();
        let each = start.elapsed().as_nanos() as f64 / requests.len() as f64;
        assert_eq!(found, requests.len(), "every path matches a route");
        best = best.min(each);
    }
    best
}
