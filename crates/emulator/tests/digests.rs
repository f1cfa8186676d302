//! Digest of simulation results with failure-domain ejection. Refactoring must not change it.

use ivygate_emulator::{simulate, Fault, FaultKind, PeerNetwork, Scenario, SimulationResults};
use std::fmt::Write;

const NODES: usize = 12;
const REQUESTS_PER_S: f64 = 120.0;
const DURATION_MS: f64 = 20_000.0;
const FAULT_BEGIN_MS: f64 = 5_000.0;
const FAULT_END_MS: f64 = 9_000.0;

/// Returns the FNV-1a hash of a text.
fn digest(text: &str) -> u64 {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    text.bytes().fold(0xcbf2_9ce4_8422_2325, step)
}

fn format_results(results: &SimulationResults) -> String {
    let mut text = String::new();
    let counts = [
        results.requests,
        results.served,
        results.served_late,
        results.rejected,
        results.failed,
        results.repeated_effects,
        results.affected.0,
        results.affected.1,
        results.false_ejections,
        results.ejected_at_end,
    ];
    let measures =
        [results.peak_cold_load, results.peak_load, results.reports_per_s, results.peak_probes_per_s];
    write!(text, "{counts:?} {measures:.6?} {:.6?}", results.ejected_after)
        .expect("writing to a string cannot fail");
    text
}

fn simulate_fault(seed: u64, kind: FaultKind, network: Option<PeerNetwork>) -> String {
    let mut scenario = Scenario::new(seed, NODES, REQUESTS_PER_S);
    scenario.duration = DURATION_MS;
    scenario.faults = vec![Fault::in_zone(1, kind, FAULT_BEGIN_MS, FAULT_END_MS)];
    let scenario = scenario.with_failure_domains();
    let scenario = match network {
        Some(network) => scenario.with_peer_network(network),
        None => scenario,
    };
    format_results(&simulate(&scenario).expect("valid scenario"))
}

#[test]
fn ejection_results_keep_their_digest() {
    let kinds =
        [FaultKind::NetworkPartition, FaultKind::Crash, FaultKind::Slowdown(10.0), FaultKind::Errors(0.9)];
    let mut text = String::new();
    for seed in 1..=6 {
        for kind in kinds {
            writeln!(text, "{}", simulate_fault(seed, kind, None)).expect("writing to a string cannot fail");
            writeln!(text, "{}", simulate_fault(seed, kind, Some(PeerNetwork::default())))
                .expect("writing to a string cannot fail");
        }
    }
    assert_eq!(digest(&text), 18_399_918_682_171_736_968, "the simulation results have changed");
}
