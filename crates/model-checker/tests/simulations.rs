//! A bounded, reproducible part of the random search, and tests which show that it finds seeded defects.

use ivygate_model_checker::checker::Invariant;
use ivygate_model_checker::defects::Defect;
use ivygate_model_checker::schedule::Schedule;
use ivygate_model_checker::shrink::shrink;
use ivygate_model_checker::simulation::simulate;
use std::collections::BTreeSet;

/// The seeds of each test run.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=1_500;
/// Maximum number of runs within which an excluded proposal must be chosen again if proposers do not learn chosen
/// ballots. It first happens in run 1,798.
const RESURRECTION_RUNS: u64 = 2_500;
/// Maximum number of runs within which each seeded defect must be found.
const SEEDED_DEFECT_RUNS: u64 = 900;

/// Generates the schedule of a seed for three to seven stores.
fn schedule(seed: u64) -> Schedule {
    Schedule::generate(seed, 3 + (seed % 5) as usize)
}

#[test]
fn random_schedules_violate_no_invariant() {
    let (mut confirmed, mut machine_faults, mut undecided) = (0, 0, 0);
    for seed in SEEDS {
        let result = simulate(&schedule(seed), None, &BTreeSet::new(), false);
        if let Some(violation) = result.violation {
            panic!("seed {seed}: {}: {}", violation.invariant.name(), violation.description);
        }
        confirmed += result.calls.1;
        machine_faults += result.machine_faults;
        undecided += result.undecided;
    }
    // The runs must include both confirmed calls and machine faults.
    assert!(confirmed > 10 * (SEEDS.end() / 2), "{confirmed} calls were confirmed");
    assert!(machine_faults > 2 * SEEDS.end(), "{machine_faults} machine faults occurred");
    assert_eq!(undecided, 0);
}

#[test]
fn simulations_find_each_seeded_defect() {
    for (name, defect) in Defect::ALL {
        let found = (1..=SEEDED_DEFECT_RUNS)
            .find_map(|seed| simulate(&schedule(seed), Some(defect), &BTreeSet::new(), false).violation);
        assert!(found.is_some(), "{name} was not found in {SEEDED_DEFECT_RUNS} runs");
    }
}

#[test]
fn forgotten_chosen_ballot_is_found() {
    let defect = Some(Defect::NoChosenBallot);
    let all = Invariant::ALL.map(|(_, invariant)| invariant);
    let ignored = all.into_iter().filter(|invariant| *invariant != Invariant::NoResurrection).collect();
    let found =
        (1..=RESURRECTION_RUNS).find_map(|seed| simulate(&schedule(seed), defect, &ignored, false).violation);
    assert!(found.is_some(), "the defect was not found in {RESURRECTION_RUNS} runs");
}

#[test]
fn runs_of_one_seed_are_identical() {
    for seed in 1..=20 {
        let [one, two] =
            [0, 1].map(|_| simulate(&schedule(seed), Some(Defect::OldIncarnation), &BTreeSet::new(), true));
        assert_eq!(one.steps, two.steps);
        assert_eq!(one.log, two.log);
    }
}

#[test]
fn shrunk_schedule_violates_the_same_invariant() {
    let defect = Some(Defect::PromiseLost);
    let ignored = BTreeSet::new();
    let (original, violation) = (1..=SEEDED_DEFECT_RUNS)
        .find_map(|seed| {
            Some((schedule(seed), simulate(&schedule(seed), defect, &ignored, false).violation?))
        })
        .expect("the defect is found");
    let (shrunk, result, _) =
        shrink(&original, defect, &ignored).expect("the schedule violates an invariant");
    assert!(shrunk.events.len() < original.events.len());
    assert_eq!(result.violation.map(|violation| violation.invariant), Some(violation.invariant));
    // Each remaining event is printed on its own line.
    assert!(shrunk.to_string().lines().count() >= shrunk.events.len() + 2);
}
