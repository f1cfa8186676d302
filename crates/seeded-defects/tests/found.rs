//! Each defect that is put in on purpose is found by a scenario that comes with the rig, by the rule that it breaks; the
//! same program without a defect keeps all rules there.

use ivygate_fault_injection::{
    built_in_scenarios, run_until_conclusive, Program, RunResult, Scenario, Verdict,
};

/// Plays a shipped scenario until the machine has had enough to spare for a verdict.
fn played(name: &str, defect: Option<&str>) -> RunResult {
    let (_, text) =
        built_in_scenarios().into_iter().find(|(built_in, _)| *built_in == name).expect("it is shipped");
    let scenario = Scenario::parse(text).expect("it is sound");
    let program = Program {
        program: env!("CARGO_BIN_EXE_ivygate-planted").into(),
        defect: defect.map(str::to_owned),
        ..Program::default()
    };
    let played = run_until_conclusive(&scenario, &program).expect("a play");
    assert_ne!(played.verdict, Verdict::Void, "five plays in turn had too little of the machine");
    played
}

/// Most plays in which a defect has to show.
const PLAYS: u32 = 3;

/// Both at once: a play waits most of its time.
fn found(defect: &str, scenario: &str, rule: &str) {
    let (sound, planted) = std::thread::scope(|scope| {
        let sound = scope.spawn(|| played(scenario, None));
        // Whether a play brings the defect about is chance: which requests lose their answers is not the same twice.
        let breaks = |played: &RunResult| played.findings.iter().any(|f| f.rule == rule);
        let mut planted = played(scenario, Some(defect));
        for _ in 1..PLAYS {
            if !breaks(&planted) {
                planted = played(scenario, Some(defect));
            }
        }
        (sound.join().expect("it plays"), planted)
    });
    assert!(sound.findings.iter().all(|f| f.rule != rule), "without a defect: {:?}", sound.findings);
    assert!(planted.findings.iter().any(|f| f.rule == rule), "{defect}: {:?}", planted.findings);
}

macro_rules! defects {
    ($($test:ident: $defect:literal in $scenario:literal breaks $rule:literal;)*) => {
        $(#[test]
        fn $test() {
            found($defect, $scenario, $rule);
        })*
    };
}

defects! {
    an_unsafe_repeat: "unsafe-repeat" in "every-answer-lost" breaks "no effect twice";
    a_keyed_repeat_in_another_group: "keyed-elsewhere" in "answers-lost" breaks "no effect twice";
    a_drain_ignored: "drain-ignored" in "late-lists" breaks "drains kept";
    a_cold_server_flooded: "cold-flood" in "cold-return" breaks "cold servers";
    a_ceiling_split_wrongly: "ceiling-whole" in "busy-customers" breaks "ceilings hold";
    an_answer_twice: "answer-twice" in "calm" breaks "one answer in time";
    an_answer_lost: "answer-lost" in "calm" breaks "one answer in time";
    a_herd_after_a_fault: "herd" in "zone-lost" breaks "does not swing";
    a_zone_left_one_by_one: "one-by-one" in "grey-zone" breaks "decides alike";
    a_zone_left_for_ever: "away-for-ever" in "zone-cut" breaks "settles";
}
