//! Zones that fail, played in virtual time: decision modules alone, with zones judged as a whole,
//! and with processes that tell each other what they see.

use ivygate_emulator::{simulate, Fault, FaultKind, PeerNetwork, Scenario, SimulationResults};
use std::io;

const FROM: f64 = 5_000.0;
const UNTIL: f64 = 9_000.0;

/// Plays and prints a table.
pub fn measure(nodes: &[usize], rate: f64, seeds: u64, hours: f64) -> io::Result<()> {
    let zone = |kind| vec![Fault::in_zone(1, kind, FROM, UNTIL)];
    let one_server =
        |kind| vec![Fault { server_ratio: 0.2, zone: None, ..Fault::in_zone(0, kind, FROM, UNTIL) }];
    let mut flapping = Vec::new();
    for turn in 0..3 {
        let at = FROM + 6_000.0 * f64::from(turn);
        flapping.push(Fault::in_zone(1, FaultKind::NetworkPartition, at, at + 3_000.0));
    }
    let half = vec![Fault { nodes: (2, 4), ..Fault::in_zone(1, FaultKind::NetworkPartition, FROM, UNTIL) }];
    let all = vec![Fault { zone: None, ..Fault::in_zone(0, FaultKind::NetworkPartition, FROM, UNTIL) }];
    let scenes = [
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
    println!("{rate} requests a second of each process; sums over {seeds} seeds.");
    println!("old: decision modules alone; own: zones judged, each process by itself; all: processes tell each other.");
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
    for (name, faults) in &scenes {
        for nodes in nodes {
            let [old, own, all] = [Judged::Not, Judged::Alone, Judged::Together]
                .map(|judged| sum(name, faults, *nodes, rate, seeds, judged));
            let (old, own, all) = (old?, own?, all?);
            let by = |figures: &SimulationResults| {
                figures.ejected_by(0.95).map_or("-".to_owned(), |at| format!("{at:.0}"))
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
                by(&own),
                by(&all),
                own.false_ejections,
                all.false_ejections,
                all.reports_per_s
            );
        }
    }
    let cut = vec![Fault::in_zone(1, FaultKind::NetworkPartition, FROM, UNTIL)];
    println!("Zone cut as above, 30 processes that tell each other, and what is wrong with that:");
    let talks = [
        ("nothing", PeerNetwork::default()),
        ("30 % of the packets lost", PeerNetwork { loss: 0.3, ..PeerNetwork::default() }),
        ("packets take 300 to 600 ms", PeerNetwork { delay: 300.0, ..PeerNetwork::default() }),
        (
            "two halves that don't hear each other",
            PeerNetwork { partition: (0.0, 1e9), ..PeerNetwork::default() },
        ),
        ("nobody hears anything", PeerNetwork { outage: (0.0, 1e9), ..PeerNetwork::default() }),
        (
            "nobody hears anything from 1 s of the cut",
            PeerNetwork { outage: (FROM + 1_000.0, 1e9), ..PeerNetwork::default() },
        ),
        ("one liar", PeerNetwork { byzantine_nodes: 1, ..PeerNetwork::default() }),
        ("a tenth are liars", PeerNetwork { byzantine_nodes: 3, ..PeerNetwork::default() }),
    ];
    for (name, talk) in talks {
        for (faults, what) in [(&cut, "cut"), (&Vec::new(), "no fault")] {
            let mut figures = SimulationResults::default();
            for seed in 1..=seeds {
                let mut scene = Scenario::new(seed, 30, rate * 30.0).with_peer_network(talk);
                (scene.duration, scene.faults) = (25_000.0, faults.clone());
                add(&mut figures, &simulate(&scene).map_err(io::Error::other)?);
            }
            figures.ejected_after.sort_by(f64::total_cmp);
            println!(
                "{name:>45} {what:>9}: lost or late {:>5}, refused {:>5}, 95 % left {:>6} ms, left wrongly {:>3}",
                figures.failed + figures.served_late,
                figures.rejected,
                figures.ejected_by(0.95).map_or("-".to_owned(), |at| format!("{at:.0}")),
                figures.false_ejections
            );
        }
    }
    let mut quiet = Scenario::new(1, 30, 30.0 * rate).with_peer_network(PeerNetwork::default());
    quiet.duration = hours * 3_600_000.0;
    let figures = simulate(&quiet).map_err(io::Error::other)?;
    println!(
        "{hours} h without a fault, 30 processes, {} requests: {} zones left wrongly, {} lost or late",
        figures.requests,
        figures.false_ejections,
        figures.failed + figures.served_late
    );
    Ok(())
}

#[derive(Clone, Copy)]
enum Judged {
    Not,
    Alone,
    Together,
}

fn sum(
    name: &str,
    faults: &[Fault],
    nodes: usize,
    rate: f64,
    seeds: u64,
    judged: Judged,
) -> io::Result<SimulationResults> {
    let mut all = SimulationResults::default();
    for seed in 1..=seeds {
        let mut scene = Scenario::new(seed, nodes, rate * nodes as f64);
        scene.duration = if name.starts_with("flapping") { 40_000.0 } else { 25_000.0 };
        scene.faults = faults.to_vec();
        let scene = match judged {
            Judged::Not => scene,
            Judged::Alone => scene.with_failure_domains(),
            Judged::Together => scene.with_peer_network(PeerNetwork::default()),
        };
        let figures = simulate(&scene).map_err(io::Error::other)?;
        if figures.repeated_effects > 0 {
            return Err(io::Error::other(format!("{name}: an effect happened twice")));
        }
        add(&mut all, &figures);
    }
    all.ejected_after.sort_by(f64::total_cmp);
    Ok(all)
}

fn add(all: &mut SimulationResults, figures: &SimulationResults) {
    all.requests += figures.requests;
    all.failed += figures.failed;
    all.served_late += figures.served_late;
    all.rejected += figures.rejected;
    all.affected = (all.affected.0 + figures.affected.0, all.affected.1 + figures.affected.1);
    all.peak_cold_load = all.peak_cold_load.max(figures.peak_cold_load);
    all.peak_probes_per_s = all.peak_probes_per_s.max(figures.peak_probes_per_s);
    all.reports_per_s = all.reports_per_s.max(figures.reports_per_s);
    all.false_ejections += figures.false_ejections;
    all.ejected_at_end += figures.ejected_at_end;
    all.ejected_after.extend(&figures.ejected_after);
}
