//! Each seeded defect is detected by a shipped scenario through the rule that it violates. Without a defect, the same
//! program violates no such rule there.

use ivygate_fault_injection::{
    built_in_scenarios, run_until_conclusive, Program, RunResult, Scenario, Verdict,
};

/// Runs a shipped scenario until the machine has had enough spare capacity for a verdict.
fn run_scenario(name: &str, defect: Option<&str>) -> RunResult {
    let (_, text) = built_in_scenarios()
        .into_iter()
        .find(|(built_in, _)| *built_in == name)
        .expect("the scenario is shipped");
    let scenario = Scenario::parse(text).expect("the scenario is valid");
    let program = Program {
        program: env!("CARGO_BIN_EXE_ivygate-planted").into(),
        defect: defect.map(str::to_owned),
        ..Program::default()
    };
    let played = run_until_conclusive(&scenario, &program).expect("the scenario runs");
    assert_ne!(played.verdict, Verdict::Void, "five runs in a row had too little of the machine's capacity");
    played
}

/// Maximum number of runs in which a defect must be detected.
const MAX_RUNS: u32 = 3;

/// Runs the scenario with and without the defect and checks that only the former violates the rule. Both run at the
/// same time, since a run spends most of its time waiting.
fn assert_detected(defect: &str, scenario: &str, rule: &str) {
    let (without_defect, with_defect) = std::thread::scope(|scope| {
        let without_defect = scope.spawn(|| run_scenario(scenario, None));
        // A run may not exercise the defect, since the requests that lose their responses vary.
        let violates_rule = |played: &RunResult| played.findings.iter().any(|f| f.rule == rule);
        let mut with_defect = run_scenario(scenario, Some(defect));
        for _ in 1..MAX_RUNS {
            if !violates_rule(&with_defect) {
                with_defect = run_scenario(scenario, Some(defect));
            }
        }
        (without_defect.join().expect("the run finishes"), with_defect)
    });
    assert!(
        without_defect.findings.iter().all(|f| f.rule != rule),
        "without a defect: {:?}",
        without_defect.findings
    );
    assert!(with_defect.findings.iter().any(|f| f.rule == rule), "{defect}: {:?}", with_defect.findings);
}

macro_rules! defects {
    ($($test:ident: $defect:literal in $scenario:literal violates $rule:literal;)*) => {
        $(#[test]
        fn $test() {
            assert_detected($defect, $scenario, $rule);
        })*
    };
}

defects! {
    an_unsafe_repeat: "unsafe-repeat" in "every-answer-lost" violates "no effect twice";
    a_keyed_repeat_in_another_group: "keyed-elsewhere" in "answers-lost" violates "no effect twice";
    a_drain_ignored: "drain-ignored" in "late-lists" violates "drains kept";
    a_cold_server_flooded: "cold-flood" in "cold-return" violates "cold servers";
    a_ceiling_split_wrongly: "ceiling-whole" in "busy-customers" violates "ceilings hold";
    an_answer_twice: "answer-twice" in "calm" violates "one answer in time";
    an_answer_lost: "answer-lost" in "calm" violates "one answer in time";
    a_herd_after_a_fault: "herd" in "zone-lost" violates "does not swing";
    a_zone_left_one_by_one: "one-by-one" in "grey-zone" violates "decides alike";
    a_zone_left_for_ever: "away-for-ever" in "zone-cut" violates "settles";
}
