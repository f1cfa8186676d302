//! Digests of what fleets in virtual time do: a change of names or shape leaves them as they are.

use ivygate_emulator::{simulate, Fault, FaultKind, PeerNetwork, Scenario, SimulationResults};
use std::fmt::Write;

const NODES: usize = 12;
const REQUESTS_PER_S: f64 = 120.0;
const LENGTH_MS: f64 = 20_000.0;
const FAULT_BEGIN_MS: f64 = 5_000.0;
const FAULT_END_MS: f64 = 9_000.0;

/// FNV-1a over the figures of a simulate, spelt out.
fn digest(text: &str) -> u64 {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    text.bytes().fold(0xcbf2_9ce4_8422_2325, step)
}

fn spelt(figures: &SimulationResults) -> String {
    let mut text = String::new();
    let counts = [
        figures.requests,
        figures.served,
        figures.served_late,
        figures.rejected,
        figures.failed,
        figures.repeated_effects,
        figures.affected.0,
        figures.affected.1,
        figures.false_ejections,
        figures.ejected_at_end,
    ];
    let measures =
        [figures.peak_cold_load, figures.peak_load, figures.reports_per_s, figures.peak_probes_per_s];
    write!(text, "{counts:?} {measures:.6?} {:.6?}", figures.ejected_after).expect("a string takes all");
    text
}

fn played(seed: u64, kind: FaultKind, talk: Option<PeerNetwork>) -> String {
    let mut scenario = Scenario::new(seed, NODES, REQUESTS_PER_S);
    scenario.duration = LENGTH_MS;
    scenario.faults = vec![Fault::in_zone(1, kind, FAULT_BEGIN_MS, FAULT_END_MS)];
    let scenario = scenario.with_failure_domains();
    let scenario = match talk {
        Some(talk) => scenario.with_peer_network(talk),
        None => scenario,
    };
    spelt(&simulate(&scenario).expect("a sound scenario"))
}

#[test]
fn decisions_on_zones_keep_their_digest() {
    let kinds =
        [FaultKind::NetworkPartition, FaultKind::Crash, FaultKind::Slowdown(10.0), FaultKind::Errors(0.9)];
    let mut text = String::new();
    for seed in 1..=6 {
        for kind in kinds {
            writeln!(text, "{}", played(seed, kind, None)).expect("a string takes all");
            writeln!(text, "{}", played(seed, kind, Some(PeerNetwork::default())))
                .expect("a string takes all");
        }
    }
    assert_eq!(digest(&text), 18_399_918_682_171_736_968, "the decisions on zones have changed");
}
