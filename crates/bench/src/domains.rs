//! Zone faults simulated in virtual time: without failure-domain detection, with detection by each process alone,
//! and with processes that exchange their observations.

use ivygate_emulator::{simulate, Fault, FaultKind, PeerNetwork, Scenario, SimulationResults};
use std::io;

/// Start of the faults in milliseconds.
const FAULT_START: f64 = 5_000.0;
/// End of the faults in milliseconds.
const FAULT_END: f64 = 9_000.0;

/// Runs the simulations and prints tables.
pub fn measure(nodes: &[usize], rate: f64, seeds: u64, hours: f64) -> io::Result<()> {
    let zone = |kind| vec![Fault::in_zone(1, kind, FAULT_START, FAULT_END)];
    let one_server = |kind| {
        vec![Fault { server_ratio: 0.2, zone: None, ..Fault::in_zone(0, kind, FAULT_START, FAULT_END) }]
    };
    let mut flapping = Vec::new();
    for cycle in 0..3 {
        let at = FAULT_START + 6_000.0 * f64::from(cycle);
        flapping.push(Fault::in_zone(1, FaultKind::NetworkPartition, at, at + 3_000.0));
    }
    let half = vec![Fault {
        nodes: (2, 4),
        ..Fault::in_zone(1, FaultKind::NetworkPartition, FAULT_START, FAULT_END)
    }];
    let all =
        vec![Fault { zone: None, ..Fault::in_zone(0, FaultKind::NetworkPartition, FAULT_START, FAULT_END) }];
    let scenarios = [
        ("cut", zone(FaultKind::NetworkPartition)),
        ("cut on the way back", zone(FaultKind::ResponseLoss)),
        ("cut between zones", zone(FaultKind::ZonePartition)),
        ("cut for half the processes", half),
        ("dead, back cold", zone(FaultKind::Crash)),
        ("30 % lost", zone(FaultKind::Resets(0.3))),
        ("10 times as slow", zone(FaultKind::Slowdown(10.0))),
        ("nine in ten wrong", zone(FaultKind::Errors(0.9))),
        ("flapping each 3 s", flapping),
        ("all zones cut", all),
        ("one server in five wrong, in all zones", one_server(FaultKind::Errors(1.0))),
    ];
    println!("{rate} requests per second of each process; sums over {seeds} seeds.");
    println!("old: no failure-domain detection; own: detection by each process alone; all: processes exchange observations.");
    println!(
        "{:>38} {:>5} {:>8} |{:^20}|{:^20}|{:^14}|{:^11}|{:^17}|{:^7}|{:^5}",
        "",
        "nodes",
        "requests",
        "lost or late",
        "refused",
        "cold",
        "probes",
        "95 % left, ms",
        "wrongly",
        "heard"
    );
    let kinds = ["old", "own", "all"];
    println!(
        "{:>53} |{:>6} {:>6} {:>6}|{:>6} {:>6} {:>6}|{:>6} {:>7}|{:>5} {:>5}|{:>8} {:>8}|{:>3} {:>3}|{:>5}",
        "",
        kinds[0],
        kinds[1],
        kinds[2],
        kinds[0],
        kinds[1],
        kinds[2],
        "old",
        "all",
        "old",
        "all",
        "own",
        "all",
        "own",
        "all",
        "/s"
    );
    for (name, faults) in &scenarios {
        for nodes in nodes {
            let [old, own, all] = [Detection::Off, Detection::PerProcess, Detection::Shared]
                .map(|detection| sum_results(name, faults, *nodes, rate, seeds, detection));
            let (old, own, all) = (old?, own?, all?);
            let ejection_time = |results: &SimulationResults| {
                results.ejected_by(0.95).map_or("-".to_owned(), |at| format!("{at:.0}"))
            };
            println!(
                "{name:>38} {nodes:>5} {:>8} |{:>6} {:>6} {:>6}|{:>6} {:>6} {:>6}|{:>6.2} {:>7.2}|{:>5.0} {:>5.0}|{:>8} {:>8}|{:>3} {:>3}|{:>5.0}",
                all.requests,
                old.affected.0,
                own.affected.0,
                all.affected.0,
                old.affected.1,
                own.affected.1,
                all.affected.1,
                old.peak_cold_load,
                all.peak_cold_load,
                old.peak_probes_per_s,
                all.peak_probes_per_s,
                ejection_time(&own),
                ejection_time(&all),
                own.false_ejections,
                all.false_ejections,
                all.reports_per_s
            );
        }
    }
    let cut = vec![Fault::in_zone(1, FaultKind::NetworkPartition, FAULT_START, FAULT_END)];
    println!("Zone cut as above, 30 processes that exchange observations, with a fault of the peer network:");
    let peer_networks = [
        ("nothing", PeerNetwork::default()),
        ("30 % of the packets lost", PeerNetwork { loss: 0.3, ..PeerNetwork::default() }),
        ("packets take 300 to 600 ms", PeerNetwork { delay: 300.0, ..PeerNetwork::default() }),
        (
            "two halves cut off from each other",
            PeerNetwork { partition: (0.0, 1e9), ..PeerNetwork::default() },
        ),
        ("no messages delivered", PeerNetwork { outage: (0.0, 1e9), ..PeerNetwork::default() }),
        (
            "no messages delivered from 1 s of the cut",
            PeerNetwork { outage: (FAULT_START + 1_000.0, 1e9), ..PeerNetwork::default() },
        ),
        ("one Byzantine process", PeerNetwork { byzantine_nodes: 1, ..PeerNetwork::default() }),
        ("a tenth of the processes Byzantine", PeerNetwork { byzantine_nodes: 3, ..PeerNetwork::default() }),
    ];
    for (name, network) in peer_networks {
        for (faults, fault_name) in [(&cut, "cut"), (&Vec::new(), "no fault")] {
            let mut results = SimulationResults::default();
            for seed in 1..=seeds {
                let mut scenario = Scenario::new(seed, 30, rate * 30.0).with_peer_network(network);
                (scenario.duration, scenario.faults) = (25_000.0, faults.clone());
                add(&mut results, &simulate(&scenario).map_err(io::Error::other)?);
            }
            results.ejected_after.sort_by(f64::total_cmp);
            println!(
                "{name:>45} {fault_name:>9}: lost or late {:>5}, refused {:>5}, 95 % left {:>6} ms, left wrongly {:>3}",
                results.failed + results.served_late,
                results.rejected,
                results.ejected_by(0.95).map_or("-".to_owned(), |at| format!("{at:.0}")),
                results.false_ejections
            );
        }
    }
    let mut quiet = Scenario::new(1, 30, 30.0 * rate).with_peer_network(PeerNetwork::default());
    quiet.duration = hours * 3_600_000.0;
    let results = simulate(&quiet).map_err(io::Error::other)?;
    println!(
        "{hours} h without a fault, 30 processes, {} requests: {} zones left wrongly, {} lost or late",
        results.requests,
        results.false_ejections,
        results.failed + results.served_late
    );
    Ok(())
}

/// Mode of failure-domain detection.
#[derive(Clone, Copy)]
enum Detection {
    Off,
    PerProcess,
    Shared,
}

/// Simulates a scenario with each seed and sums the results; fails if a simulated effect is repeated.
fn sum_results(
    name: &str,
    faults: &[Fault],
    nodes: usize,
    rate: f64,
    seeds: u64,
    detection: Detection,
) -> io::Result<SimulationResults> {
    let mut total = SimulationResults::default();
    for seed in 1..=seeds {
        let mut scenario = Scenario::new(seed, nodes, rate * nodes as f64);
        scenario.duration = if name.starts_with("flapping") { 40_000.0 } else { 25_000.0 };
        scenario.faults = faults.to_vec();
        let scenario = match detection {
            Detection::Off => scenario,
            Detection::PerProcess => scenario.with_failure_domains(),
            Detection::Shared => scenario.with_peer_network(PeerNetwork::default()),
        };
        let results = simulate(&scenario).map_err(io::Error::other)?;
        if results.repeated_effects > 0 {
            return Err(io::Error::other(format!("{name}: an effect was applied twice")));
        }
        add(&mut total, &results);
    }
    total.ejected_after.sort_by(f64::total_cmp);
    Ok(total)
}

/// Adds the counts of one simulation to the total; rates and peaks become the maximum.
fn add(total: &mut SimulationResults, results: &SimulationResults) {
    total.requests += results.requests;
    total.failed += results.failed;
    total.served_late += results.served_late;
    total.rejected += results.rejected;
    total.affected = (total.affected.0 + results.affected.0, total.affected.1 + results.affected.1);
    total.peak_cold_load = total.peak_cold_load.max(results.peak_cold_load);
    total.peak_probes_per_s = total.peak_probes_per_s.max(results.peak_probes_per_s);
    total.reports_per_s = total.reports_per_s.max(results.reports_per_s);
    total.false_ejections += results.false_ejections;
    total.ejected_at_end += results.ejected_at_end;
    total.ejected_after.extend(&results.ejected_after);
}
