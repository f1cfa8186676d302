//! Fleets of several processes under fault injection, checked by what servers ran and what clients received.
//! Scenarios with seeded defects show that the oracle detects violations.

use ivygate_fault_injection::{run_until_conclusive, Program, RunResult, Scenario, Verdict};
use std::sync::{PoisonError, RwLock};

/// Runs a scenario with four nodes and four servers, again if the machine was too busy for a verdict.
fn run(extra: &str, steps: &str) -> RunResult {
    run_fleet(4, 4, extra, steps)
}

/// Held exclusively by scenarios with many processes.
static MACHINE: RwLock<()> = RwLock::new(());

fn run_fleet(nodes: usize, servers: usize, extra: &str, steps: &str) -> RunResult {
    let text = format!(
        "name = \"test\"\nabout = \"a test\"\nseed = 5\nlength = \"5s\"\nsettle = \"1s\"\nnodes = {nodes}\nservers = {servers}\n\
         rate = 80\ncustomers = 10\n{extra}\n{steps}"
    );
    let scenario = Scenario::parse(&text).unwrap_or_else(|error| panic!("{error}\n{text}"));
    let program = Program { program: env!("CARGO_BIN_EXE_ivygate").into(), ..Program::default() };
    // A large fleet runs alone: it starts dozens of processes, and beside other scenarios it gets too little
    // CPU time.
    let is_large = nodes > 4;
    let _exclusive = is_large.then(|| MACHINE.write().unwrap_or_else(PoisonError::into_inner));
    let _shared = (!is_large).then(|| MACHINE.read().unwrap_or_else(PoisonError::into_inner));
    let result = run_until_conclusive(&scenario, &program).expect("a completed run");
    assert_ne!(result.verdict, Verdict::Void, "the machine was too busy in five runs");
    result
}

/// Returns the violated rules, except for `settles`: the rate of served requests also drops on a busy
/// machine.
fn violated_rules(result: &RunResult) -> Vec<&'static str> {
    let mut rules: Vec<_> =
        result.findings.iter().map(|f| f.rule).filter(|rule| *rule != "settles").collect();
    rules.dedup();
    rules
}

fn step(at: &str, duration: &str, action: &str) -> String {
    format!("[[step]]\nat = \"{at}\"\nfor = \"{duration}\"\n{action}\n")
}

#[test]
fn rules_hold_with_killed_nodes_broken_links_and_draining_servers() {
    let steps = [
        step("1s", "500ms", "do = \"kill\"\nnodes = \"0,1\""),
        step("1s", "2s", "do = \"drain\"\nservers = \"3\""),
        step("1500ms", "1s", "do = \"cut\"\nnodes = \"all\"\nservers = \"south\"\nways = \"back\""),
        step("2s", "500ms", "do = \"term\"\nnodes = \"2\""),
        step("3s", "500ms", "do = \"reset\"\nnodes = \"all\"\nservers = \"0\""),
        step("3s", "500ms", "do = \"pause\"\nnodes = \"3\""),
        step("2s", "1s", "do = \"cut\"\nlink = \"lists\"\nnodes = \"3\"\nways = \"back\""),
        step("2s", "1s", "do = \"change\"\nnodes = \"3\"\nservers = \"2\"\npart = 0.5"),
        step("3s", "1s", "do = \"break\"\nnodes = \"0\"\nservers = \"1\"\nways = \"back\"\nafter = 200"),
        step("3s", "500ms", "do = \"reset\"\nlink = \"clients\"\nnodes = \"2\""),
    ];
    let result = run("", &steps.concat());
    assert_eq!(violated_rules(&result), Vec::<&str>::new(), "{:?}", result.findings);
    assert!(result.figures.requests > 300 && result.trace.drains.len() >= 4, "{:?}", result.figures);
}

/// A tenth of the nodes restarts at a time while the list changes and discovery moves. Then seven in ten are
/// killed at once while servers restart cold.
#[test]
fn rules_hold_through_a_rolling_restart_and_a_mass_restart() {
    let mut steps = String::new();
    for node in 0..10 {
        let at = format!("{}ms", 500 + 150 * node);
        steps += &step(&at, "600ms", &format!("do = \"term\"\nnodes = \"{node}\""));
    }
    steps += &step("500ms", "1s", "do = \"drain\"\nservers = \"0,1\"");
    steps += &step("1s", "1s", "do = \"move\"\nnodes = \"all\"");
    steps += &step("2s", "1500ms", "do = \"crash\"\nservers = \"2,3\"");
    steps += &step("3200ms", "500ms", "do = \"kill\"\nnodes = \"7/10\"");
    steps += &step("3200ms", "1s", "do = \"swallow\"\nservers = \"4\"");
    let result = run_fleet(10, 8, "", &steps);
    assert_eq!(violated_rules(&result), Vec::<&str>::new(), "{:?}", result.findings);
    assert_eq!(result.trace.shutdowns.len(), 10);
    assert!(
        result.trace.cold_starts.len() == 2 && result.trace.drains.len() > 20,
        "{:?}",
        result.trace.drains.len()
    );
}

/// A node that was paused must read the current server list before it sends requests that were waiting, or it
/// would send them to a server that is draining by now.
#[test]
fn paused_node_learns_of_drains_before_it_sends_requests() {
    let steps = [
        // Requests that arrive before the drain is announced are read before it, and their clients still
        // wait.
        step("500ms", "1600ms", "do = \"pause\"\nnodes = \"all\""),
        step("900ms", "3s", "do = \"drain\"\nservers = \"1\""),
    ];
    let result = run_fleet(2, 2, "", &steps.concat());
    assert_eq!(violated_rules(&result), Vec::<&str>::new(), "{:?}", result.findings);
    assert!(result.trace.drains.len() >= 2);
}

/// Nodes start while discovery does not respond, some of them with a list of servers that no longer exist.
#[test]
fn rules_hold_for_nodes_that_start_without_discovery() {
    let steps = [
        step("0ms", "2500ms", "do = \"unlisted\"\nnodes = \"all\""),
        step("500ms", "1s", "do = \"kill\"\nnodes = \"0,1\""),
        step("700ms", "2s", "do = \"crash\"\nservers = \"0\""),
    ];
    let result = run("", &steps.concat());
    assert_eq!(violated_rules(&result), Vec::<&str>::new(), "{:?}", result.findings);
    assert!(result.figures.served > 0.6, "{:?}", result.figures);
}

#[test]
fn forbidden_retries_are_detected() {
    let lost_responses = step("1s", "3s", "do = \"swallow\"\nservers = \"all\"");
    assert_eq!(violated_rules(&run("", &lost_responses)), Vec::<&str>::new());
    assert_eq!(violated_rules(&run("plant = [\"unsafe-as-safe\"]", &lost_responses)), ["no effect twice"]);
    assert_eq!(violated_rules(&run("plant = [\"keyed-everywhere\"]", &lost_responses)), ["no effect twice"]);
}

#[test]
fn nodes_that_each_use_the_whole_rate_limit_are_detected() {
    let no_fault = step("1s", "1s", "do = \"slow\"\nservers = \"0\"\ntimes = 1.0");
    assert_eq!(violated_rules(&run("ceiling = 4.0", &no_fault)), Vec::<&str>::new());
    assert_eq!(violated_rules(&run("ceiling = 4.0\nplant = [\"alone\"]", &no_fault)), ["ceilings hold"]);
}

#[test]
fn rules_hold_for_sidecars_that_learn_of_drains_from_their_configuration() {
    let steps = [
        step("1s", "2s", "do = \"drain\"\nservers = \"3\""),
        step("1s", "1s", "do = \"unlisted\"\nnodes = \"1\""),
        step("2s", "500ms", "do = \"kill\"\nnodes = \"0\""),
        step("3s", "500ms", "do = \"reset\"\nnodes = \"all\"\nservers = \"0\""),
        step("3s", "500ms", "do = \"term\"\nnodes = \"2\""),
    ];
    let result = run("form = \"sidecar\"", &steps.concat());
    assert_eq!(violated_rules(&result), Vec::<&str>::new(), "{:?}", result.findings);
    assert!(result.trace.drains.len() >= 4 && result.trace.shutdowns.len() == 1, "{:?}", result.trace.drains);
}

#[test]
fn full_disk_stops_no_sidecar_and_loses_no_record() {
    let full = step("1s", "2s", "do = \"full-disk\"\nnodes = \"all\"");
    let killed = step("4s", "500ms", "do = \"kill\"\nnodes = \"0,1\"");
    let result = run("form = \"sidecar\"\njournal = true", &(full + &killed));
    assert_eq!(violated_rules(&result), Vec::<&str>::new(), "{:?}", result.findings);
    assert!(
        result.figures.phases[2].is_none_or(|served| served > 0.5),
        "orders are accepted again: {:?}",
        result.figures
    );
}

#[test]
fn requests_are_denied_while_the_sign_in_service_is_unreachable() {
    let steps = [
        step("1s", "1s", "do = \"cut\"\nlink = \"sign-in\"\nnodes = \"all\""),
        step(
            "2500ms",
            "1s",
            "do = \"break\"\nlink = \"sign-in\"\nnodes = \"0,1\"\nways = \"back\"\nafter = 300",
        ),
    ];
    let result = run("form = \"sidecar\"\nsign-in = true", &steps.concat());
    assert_eq!(violated_rules(&result), Vec::<&str>::new(), "{:?}", result.findings);
    let denied = result
        .trace
        .requests
        .iter()
        .filter(|r| r.outcome == ivygate_fault_injection::Outcome::Denied)
        .count();
    let [before, during, _] = result.figures.phases;
    assert!(denied > 10 && before > during, "{denied} denied, {:?}", result.figures.phases);
}
