//! Tests of `admissions` that need its private state.

use super::*;

#[test]
fn an_id_that_must_not_run_twice_is_admitted_once_until_its_time_ends() {
    let mut ids = Admissions::new(10);
    assert_eq!(ids.begin(0.0, "a"), AdmissionStatus::New);
    assert_eq!(ids.begin(0.0, "a"), AdmissionStatus::Pending);
    ids.admit(10.0, "a", 1, true, 100.0);
    assert_eq!(ids.begin(109.9, "a"), AdmissionStatus::NotRepeatable);
    assert_eq!(ids.begin(110.0, "a"), AdmissionStatus::New);
}

#[test]
fn one_that_may_gets_the_same_answer_again() {
    let mut ids = Admissions::new(10);
    assert_eq!(ids.begin(0.0, "a"), AdmissionStatus::New);
    ids.admit(0.0, "a", 7, false, 100.0);
    assert_eq!(ids.begin(50.0, "a"), AdmissionStatus::Repeat(7));
}

#[test]
fn one_that_was_turned_away_may_ask_anew_and_an_admitted_one_is_not_freed_by_it() {
    let mut ids = Admissions::new(10);
    assert_eq!(ids.begin(0.0, "a"), AdmissionStatus::<i32>::New);
    ids.release("a");
    assert_eq!((ids.begin(0.0, "a"), ids.len()), (AdmissionStatus::New, 1));
    ids.admit(0.0, "a", 1, true, 100.0);
    ids.release("a");
    assert_eq!(ids.begin(0.0, "a"), AdmissionStatus::NotRepeatable);
}

#[test]
fn a_flood_of_ids_is_turned_away_at_the_bound_and_frees_none_that_was_admitted() {
    let mut ids = Admissions::new(100);
    for n in 0..1000 {
        let id = n.to_string();
        if ids.begin(0.0, &id) == AdmissionStatus::New {
            ids.admit(0.0, &id, n, true, 1000.0);
        }
        assert!(ids.len() <= 100 && ids.ends.len() <= 100);
    }
    assert_eq!(
        (ids.begin(500.0, "0"), ids.begin(500.0, "999")),
        (AdmissionStatus::NotRepeatable, AdmissionStatus::Full)
    );
    assert_eq!(ids.begin(1000.0, "999"), AdmissionStatus::New);
    assert_eq!((ids.len(), ids.ends.len()), (1, 0));
}
