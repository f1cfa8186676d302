//! Tests of the linearizability check on histories of one item.

use ivygate_model_checker::linearizability::{search, Confirmation, Entry, Operation, SearchResult};

fn check(history: &[(f64, f64, Operation)]) -> SearchResult {
    let entries: Vec<_> = history
        .iter()
        .cloned()
        .map(|(started_at, ended_at, operation)| Entry { started_at, ended_at, operation })
        .collect();
    search(&entries, 10_000)
}

const OK: Confirmation = Confirmation::Confirmed;

#[test]
fn read_without_a_confirmed_put_is_not_linearizable() {
    let put = (0.0, 1.0, Operation::Put(2, 7, OK));
    assert_eq!(check(&[put.clone(), (2.0, 3.0, Operation::Read(2, 7))]), SearchResult::Order);
    assert_eq!(check(&[put.clone(), (2.0, 3.0, Operation::Read(0, 0))]), SearchResult::None);
    // A read that started before the put ended may or may not see it.
    assert_eq!(check(&[put, (0.5, 3.0, Operation::Read(0, 0))]), SearchResult::Order);
}

#[test]
fn unclear_put_takes_effect_once_or_never() {
    let put = (0.0, 1.0, Operation::Put(2, 7, Confirmation::Unclear));
    let [with, without] = [Operation::Read(2, 7), Operation::Read(0, 0)];
    assert_eq!(check(&[put.clone(), (2.0, 3.0, without.clone())]), SearchResult::Order);
    assert_eq!(
        check(&[put.clone(), (2.0, 3.0, without.clone()), (4.0, 5.0, with.clone())]),
        SearchResult::Order
    );
    assert_eq!(check(&[put, (2.0, 3.0, with), (4.0, 5.0, without)]), SearchResult::None);
}

#[test]
fn two_confirmed_contents_of_one_version_are_not_linearizable() {
    let newer = (2.0, 3.0, Operation::Put(6, 1, OK));
    let [one, other] = [Operation::Put(5, 1, OK), Operation::Put(5, 2, OK)];
    assert_eq!(check(&[(0.0, 1.0, one.clone()), newer.clone(), (4.0, 5.0, other)]), SearchResult::None);
    assert_eq!(check(&[(0.0, 1.0, one.clone()), newer.clone(), (4.0, 5.0, one)]), SearchResult::Order);
    let rejected = Operation::Put(5, 1, Confirmation::Rejected);
    assert_eq!(
        check(&[(0.0, 1.0, Operation::Put(5, 1, OK)), newer, (4.0, 5.0, rejected)]),
        SearchResult::None
    );
}

#[test]
fn switch_that_took_effect_twice_is_not_linearizable() {
    let history = [
        (0.0, 9.0, Operation::Switch(true, OK)),
        (1.0, 2.0, Operation::ReadSwitch(true)),
        (3.0, 4.0, Operation::Switch(false, OK)),
        (10.0, 11.0, Operation::ReadSwitch(true)),
    ];
    assert_eq!(check(&history), SearchResult::None);
    assert_eq!(check(&history[..3]), SearchResult::Order);
}

#[test]
fn search_that_runs_out_of_steps_is_undecided() {
    let entry = |n: u32| Entry {
        started_at: 0.0,
        ended_at: f64::INFINITY,
        operation: Operation::Put(u64::from(n), 1, OK),
    };
    let entries: Vec<_> = (1..30)
        .map(entry)
        .chain([Entry { started_at: 0.0, ended_at: 1.0, operation: Operation::Read(99, 9) }])
        .collect();
    assert_eq!(search(&entries, 100), SearchResult::Undecided);
}
