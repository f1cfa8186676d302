//! Several processes of the program with faults between them, judged by what servers ran and clients got. The same plays
//! with nodes that are told something wrong show that the judge sees it.

use ivygate_fault_injection::{play_until_told, Played, Program, Scenario, Verdict};
use std::sync::{PoisonError, RwLock};

/// Plays until the machine has had enough to spare for a verdict.
fn played(extra: &str, steps: &str) -> Played {
    played_by(4, 4, extra, steps)
}

static MACHINE: RwLock<()> = RwLock::new(());

fn played_by(nodes: usize, servers: usize, extra: &str, steps: &str) -> Played {
    let text = format!(
        "name = \"test\"\nabout = \"a test\"\nseed = 5\nlength = \"5s\"\nsettle = \"1s\"\nnodes = {nodes}\nservers = {servers}\n\
         rate = 80\ncustomers = 10\n{extra}\n{steps}"
    );
    let scenario = Scenario::parse(&text).unwrap_or_else(|error| panic!("{error}\n{text}"));
    let program = Program { program: env!("CARGO_BIN_EXE_ivygate").into(), ..Program::default() };
    // A large fleet whose processes start by the dozen is played alone: beside others it has too little of a machine.
    let large = nodes > 4;
    let _alone = large.then(|| MACHINE.write().unwrap_or_else(PoisonError::into_inner));
    let _beside = (!large).then(|| MACHINE.read().unwrap_or_else(PoisonError::into_inner));
    let played = play_until_told(&scenario, &program).expect("a play");
    assert_ne!(played.verdict, Verdict::Void, "five plays in turn had too little of the machine");
    played
}

/// Rules that were broken, without the figure of service, which a busy machine may lower.
fn broken(played: &Played) -> Vec<&'static str> {
    let mut rules: Vec<_> =
        played.findings.iter().map(|f| f.rule).filter(|rule| *rule != "settles").collect();
    rules.dedup();
    rules
}

fn step(at: &str, lasts: &str, does: &str) -> String {
    format!("[[step]]\nat = \"{at}\"\nfor = \"{lasts}\"\n{does}\n")
}

#[test]
fn rules_hold_while_nodes_die_links_break_and_servers_drain() {
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
    let played = played("", &steps.concat());
    assert_eq!(broken(&played), Vec::<&str>::new(), "{:?}", played.findings);
    assert!(played.figures.requests > 300 && played.trace.drains.len() >= 4, "{:?}", played.figures);
}

/// Restarts, a tenth of the nodes at a time, while the list changes and discovery moves; then seven in ten are killed at
/// once while servers come back cold.
#[test]
fn rules_hold_through_a_release_and_a_herd() {
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
    let played = played_by(10, 8, "", &steps);
    assert_eq!(broken(&played), Vec::<&str>::new(), "{:?}", played.findings);
    assert_eq!(played.trace.leaves.len(), 10);
    assert!(
        played.trace.cold.len() == 2 && played.trace.drains.len() > 20,
        "{:?}",
        played.trace.drains.len()
    );
}

/// What waits at a node that stood still is sent on by the list of now, not by the one it fell asleep with.
#[test]
fn a_node_that_wakes_hears_of_drains_before_it_sends() {
    let steps = [
        // Requests that came before the news wait before it, and their clients still listen.
        step("500ms", "1600ms", "do = \"pause\"\nnodes = \"all\""),
        step("900ms", "3s", "do = \"drain\"\nservers = \"1\""),
    ];
    let played = played_by(2, 2, "", &steps.concat());
    assert_eq!(broken(&played), Vec::<&str>::new(), "{:?}", played.findings);
    assert!(played.trace.drains.len() >= 2);
}

/// Nodes start while discovery says nothing, some of them with a list of servers that are gone.
#[test]
fn rules_hold_for_nodes_that_start_with_no_discovery() {
    let steps = [
        step("0ms", "2500ms", "do = \"unlisted\"\nnodes = \"all\""),
        step("500ms", "1s", "do = \"kill\"\nnodes = \"0,1\""),
        step("700ms", "2s", "do = \"crash\"\nservers = \"0\""),
    ];
    let played = played("", &steps.concat());
    assert_eq!(broken(&played), Vec::<&str>::new(), "{:?}", played.findings);
    assert!(played.figures.served > 0.6, "{:?}", played.figures);
}

#[test]
fn repeats_of_what_must_not_run_twice_are_found() {
    let lost = step("1s", "3s", "do = \"swallow\"\nservers = \"all\"");
    assert_eq!(broken(&played("", &lost)), Vec::<&str>::new());
    assert_eq!(broken(&played("plant = [\"unsafe-as-safe\"]", &lost)), ["no effect twice"]);
    assert_eq!(broken(&played("plant = [\"keyed-everywhere\"]", &lost)), ["no effect twice"]);
}

#[test]
fn nodes_that_take_the_whole_of_a_ceiling_each_are_found() {
    let none = step("1s", "1s", "do = \"slow\"\nservers = \"0\"\ntimes = 1.0");
    assert_eq!(broken(&played("ceiling = 4.0", &none)), Vec::<&str>::new());
    assert_eq!(broken(&played("ceiling = 4.0\nplant = [\"alone\"]", &none)), ["ceilings hold"]);
}

#[test]
fn rules_hold_for_sidecars_that_hear_of_drains_by_their_configuration() {
    let steps = [
        step("1s", "2s", "do = \"drain\"\nservers = \"3\""),
        step("1s", "1s", "do = \"unlisted\"\nnodes = \"1\""),
        step("2s", "500ms", "do = \"kill\"\nnodes = \"0\""),
        step("3s", "500ms", "do = \"reset\"\nnodes = \"all\"\nservers = \"0\""),
        step("3s", "500ms", "do = \"term\"\nnodes = \"2\""),
    ];
    let played = played("form = \"sidecar\"", &steps.concat());
    assert_eq!(broken(&played), Vec::<&str>::new(), "{:?}", played.findings);
    assert!(played.trace.drains.len() >= 4 && played.trace.leaves.len() == 1, "{:?}", played.trace.drains);
}

#[test]
fn a_disk_that_is_full_ends_no_sidecar_and_loses_no_record() {
    let full = step("1s", "2s", "do = \"full-disk\"\nnodes = \"all\"");
    let killed = step("4s", "500ms", "do = \"kill\"\nnodes = \"0,1\"");
    let played = played("form = \"sidecar\"\njournal = true", &(full + &killed));
    assert_eq!(broken(&played), Vec::<&str>::new(), "{:?}", played.findings);
    assert!(
        played.figures.phases[2].is_none_or(|served| served > 0.5),
        "orders are taken again: {:?}",
        played.figures
    );
}

#[test]
fn a_sign_in_service_that_is_lost_lets_nobody_on() {
    let steps = [
        step("1s", "1s", "do = \"cut\"\nlink = \"sign-in\"\nnodes = \"all\""),
        step(
            "2500ms",
            "1s",
            "do = \"break\"\nlink = \"sign-in\"\nnodes = \"0,1\"\nways = \"back\"\nafter = 300",
        ),
    ];
    let played = played("form = \"sidecar\"\nsign-in = true", &steps.concat());
    assert_eq!(broken(&played), Vec::<&str>::new(), "{:?}", played.findings);
    let denied =
        played.trace.requests.iter().filter(|r| r.answer == ivygate_fault_injection::Answer::Denied).count();
    let [before, during, _] = played.figures.phases;
    assert!(denied > 10 && before > during, "{denied} denied, {:?}", played.figures.phases);
}
