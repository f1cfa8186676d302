//! Bounded explorations of small configurations, which visit the same states each time.

use ivygate_model_checker::checker::Invariant;
use ivygate_model_checker::defects::Defect;
use ivygate_model_checker::exhaustive::{explore, is_founded, small_configurations, ConfigurationBounds};
use std::collections::BTreeSet;
use std::time::Duration;

/// A duration that no exploration here reaches, so that results do not depend on it.
const UNLIMITED: Duration = Duration::from_secs(3_600);

fn configuration(name: &str) -> ConfigurationBounds {
    small_configurations().into_iter().find(|bounds| bounds.name == name).expect("the configuration exists")
}

#[test]
fn one_call_and_one_loss_violate_no_invariant() {
    let explored = explore(&configuration("3-one-loss"), None, &BTreeSet::new(), u64::MAX, UNLIMITED, 2);
    assert!(explored.violation.is_none(), "{:?}", explored.violation);
    assert!(explored.is_complete && explored.states > 5_000, "{explored:?}");
}

#[test]
fn short_paths_of_small_configurations_violate_no_invariant() {
    for bounds in small_configurations() {
        assert!(is_founded(&bounds), "{}", bounds.name);
        let explored = explore(&bounds, None, &BTreeSet::new(), 1_500, UNLIMITED, 2);
        assert!(explored.violation.is_none(), "{}: {:?}", bounds.name, explored.violation);
        assert!(explored.is_complete || explored.states >= 1_500, "{}", bounds.name);
    }
}

#[test]
fn exhaustive_search_finds_an_old_incarnation() {
    let only = [Invariant::Recovery].into();
    let explored = explore(
        &configuration("3-two-calls-one-loss"),
        Some(Defect::OldIncarnation),
        &only,
        60_000,
        UNLIMITED,
        2,
    );
    assert!(explored.violation.is_some(), "{} states", explored.states);
}
