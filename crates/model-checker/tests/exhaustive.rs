//! Small worlds, as far as a test run allows: the same states at each run.

use ivygate_model_checker::checker::Invariant;
use ivygate_model_checker::defects::Defect;
use ivygate_model_checker::exhaustive::{explore, is_founded, small_worlds, WorldBounds};
use std::collections::BTreeSet;
use std::time::Duration;

/// Longer than any of these takes, so that no verdict hangs on it.
const LONG: Duration = Duration::from_secs(3_600);

fn world(name: &str) -> WorldBounds {
    small_worlds().into_iter().find(|bounds| bounds.name == name).expect("there is such a world")
}

#[test]
fn one_call_and_one_loss_violate_no_invariant() {
    let explored = explore(&world("3-one-loss"), None, &BTreeSet::new(), u64::MAX, LONG, 2);
    assert!(explored.violation.is_none(), "{:?}", explored.violation);
    assert!(explored.whole && explored.states > 5_000, "{explored:?}");
}

#[test]
fn short_paths_of_small_worlds_violate_no_invariant() {
    for bounds in small_worlds() {
        assert!(is_founded(&bounds), "{}", bounds.name);
        let explored = explore(&bounds, None, &BTreeSet::new(), 1_500, LONG, 2);
        assert!(explored.violation.is_none(), "{}: {:?}", bounds.name, explored.violation);
        assert!(explored.whole || explored.states >= 1_500, "{}", bounds.name);
    }
}

#[test]
fn exhaustive_search_finds_an_old_incarnation() {
    let only = [Invariant::LossIsBorne].into();
    let explored =
        explore(&world("3-two-calls-one-loss"), Some(Defect::OldIncarnation), &only, 60_000, LONG, 2);
    assert!(explored.violation.is_some(), "{} states", explored.states);
}
