//! A bounded part of the hunt, the same at each run, and what shows that it would find something.

use ivygate_model_checker::checker::Invariant;
use ivygate_model_checker::defects::Defect;
use ivygate_model_checker::schedule::Schedule;
use ivygate_model_checker::shrink::shrink;
use ivygate_model_checker::simulation::simulate;
use std::collections::BTreeSet;

/// The seeds that are run by each test run.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=1_500;
/// Most runs in which what nobody owes has to return without a standing ballot: first in run 1,798.
const RETURN_RUNS: u64 = 2_500;
/// Most runs in which a planted defect has to show.
const PLANTED: u64 = 900;

/// Three to seven stores.
fn schedule(seed: u64) -> Schedule {
    Schedule::drawn(seed, 3 + (seed % 5) as usize)
}

#[test]
fn random_schedules_violate_no_invariant() {
    let (mut confirmed, mut machine_faults, mut undecided) = (0, 0, 0);
    for seed in SEEDS {
        let result = simulate(&schedule(seed), None, &BTreeSet::new(), false);
        if let Some(violation) = result.violation {
            panic!("seed {seed}: {}: {}", violation.invariant.name(), violation.what);
        }
        confirmed += result.calls.1;
        machine_faults += result.machine_faults;
        undecided += result.undecided;
    }
    // Something was carried out, and something happened to who carried it out.
    assert!(confirmed > 10 * (SEEDS.end() / 2), "{confirmed} calls were confirmed");
    assert!(machine_faults > 2 * SEEDS.end(), "{machine_faults} machine faults happened");
    assert_eq!(undecided, 0);
}

#[test]
fn simulations_find_each_seeded_defect() {
    for (name, defect) in Defect::ALL {
        let found = (1..=PLANTED)
            .find_map(|seed| simulate(&schedule(seed), Some(defect), &BTreeSet::new(), false).violation);
        assert!(found.is_some(), "{name} was not found in {PLANTED} plays");
    }
}

#[test]
fn forgotten_chosen_ballot_is_found() {
    let defect = Some(Defect::NoChosenBallot);
    let all = Invariant::ALL.map(|(_, invariant)| invariant);
    let ignored = all.into_iter().filter(|invariant| *invariant != Invariant::NothingReturns).collect();
    let found =
        (1..=RETURN_RUNS).find_map(|seed| simulate(&schedule(seed), defect, &ignored, false).violation);
    assert!(found.is_some(), "it was not found in {RETURN_RUNS} runs");
}

#[test]
fn one_seed_gives_one_run() {
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
    let (long, violation) = (1..=PLANTED)
        .find_map(|seed| {
            Some((schedule(seed), simulate(&schedule(seed), defect, &ignored, false).violation?))
        })
        .expect("it is found");
    let (short, result, _) = shrink(&long, defect, &ignored).expect("it breaks");
    assert!(short.events.len() < long.events.len());
    assert_eq!(result.violation.map(|violation| violation.invariant), Some(violation.invariant));
    // Each event that is left is needed, and is told in one line.
    assert!(short.to_string().lines().count() >= short.events.len() + 2);
}
