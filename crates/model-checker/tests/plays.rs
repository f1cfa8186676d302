//! A bounded part of the hunt, the same at each run, and what shows that it would find something.

use ivygate_model_checker::defects::Defect;
use ivygate_model_checker::judge::Invariant;
use ivygate_model_checker::shrink::shrink;
use ivygate_model_checker::story::Story;
use ivygate_model_checker::world::play;
use std::collections::BTreeSet;

/// The seeds that are played by each test run.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=1_500;
/// Most plays in which what nobody owes has to return without a standing ballot: first in play 1,798.
const RETURNS: u64 = 2_500;
/// Most plays in which a planted defect has to show.
const PLANTED: u64 = 900;

/// Three to seven stores.
fn story(seed: u64) -> Story {
    Story::drawn(seed, 3 + (seed % 5) as usize)
}

#[test]
fn given_made_up_weather_and_losses_when_fleets_are_played_then_no_invariant_breaks() {
    let (mut confirmed, mut blows, mut undecided) = (0, 0, 0);
    for seed in SEEDS {
        let played = play(&story(seed), None, &BTreeSet::new(), false);
        if let Some(broken) = played.broken {
            panic!("seed {seed}: {}: {}", broken.invariant.name(), broken.what);
        }
        confirmed += played.calls.1;
        blows += played.blows;
        undecided += played.undecided;
    }
    // Something was carried out, and something befell who carried it out.
    assert!(confirmed > 10 * (SEEDS.end() / 2), "{confirmed} calls were confirmed");
    assert!(blows > 2 * SEEDS.end(), "{blows} blows fell");
    assert_eq!(undecided, 0);
}

#[test]
fn given_a_planted_defect_when_fleets_are_played_then_each_is_found() {
    for (name, defect) in Defect::ALL {
        let found =
            (1..=PLANTED).find_map(|seed| play(&story(seed), Some(defect), &BTreeSet::new(), false).broken);
        assert!(found.is_some(), "{name} was not found in {PLANTED} plays");
    }
}

#[test]
fn given_a_lost_standing_ballot_when_fleets_are_played_then_what_nobody_owes_returns() {
    let defect = Some(Defect::NoStandingBallot);
    let all = Invariant::ALL.map(|(_, invariant)| invariant);
    let but = all.into_iter().filter(|invariant| *invariant != Invariant::NothingReturns).collect();
    let found = (1..=RETURNS).find_map(|seed| play(&story(seed), defect, &but, false).broken);
    assert!(found.is_some(), "it was not found in {RETURNS} plays");
}

#[test]
fn given_one_seed_when_it_is_played_twice_then_both_plays_are_the_same() {
    for seed in 1..=20 {
        let [one, two] = [0, 1].map(|_| play(&story(seed), Some(Defect::OldLife), &BTreeSet::new(), true));
        assert_eq!(one.steps, two.steps);
        assert_eq!(one.log, two.log);
    }
}

#[test]
fn given_a_story_that_breaks_when_it_is_shrunk_then_a_shorter_one_breaks_the_same_invariant() {
    let defect = Some(Defect::PromiseLost);
    let but = BTreeSet::new();
    let (long, broken) = (1..=PLANTED)
        .find_map(|seed| Some((story(seed), play(&story(seed), defect, &but, false).broken?)))
        .expect("it is found");
    let (short, played, _) = shrink(&long, defect, &but).expect("it breaks");
    assert!(short.events.len() < long.events.len());
    assert_eq!(played.broken.map(|broken| broken.invariant), Some(broken.invariant));
    // Each event that is left is needed, and is told in one line.
    assert!(short.to_string().lines().count() >= short.events.len() + 2);
}
