//! Unit tests of `admissions` that access private items.

use super::*;

#[test]
fn non_repeatable_id_is_admitted_once_until_it_expires() {
    let mut ids = Admissions::new(10);
    assert_eq!(ids.begin(0.0, "a"), AdmissionStatus::New);
    assert_eq!(ids.begin(0.0, "a"), AdmissionStatus::Pending);
    ids.admit(10.0, "a", 1, true, 100.0);
    assert_eq!(ids.begin(109.9, "a"), AdmissionStatus::NotRepeatable);
    assert_eq!(ids.begin(110.0, "a"), AdmissionStatus::New);
}

#[test]
fn repeatable_id_gets_the_same_answer_again() {
    let mut ids = Admissions::new(10);
    assert_eq!(ids.begin(0.0, "a"), AdmissionStatus::New);
    ids.admit(0.0, "a", 7, false, 100.0);
    assert_eq!(ids.begin(50.0, "a"), AdmissionStatus::Repeat(7));
}

#[test]
fn release_frees_a_pending_id_but_not_an_admitted_one() {
    let mut ids = Admissions::new(10);
    assert_eq!(ids.begin(0.0, "a"), AdmissionStatus::<i32>::New);
    ids.release("a");
    assert_eq!((ids.begin(0.0, "a"), ids.len()), (AdmissionStatus::New, 1));
    ids.admit(0.0, "a", 1, true, 100.0);
    ids.release("a");
    assert_eq!(ids.begin(0.0, "a"), AdmissionStatus::NotRepeatable);
}

#[test]
fn ids_beyond_capacity_are_refused_and_evict_no_admitted_id() {
    let mut ids = Admissions::new(100);
    for n in 0..1000 {
        let id = n.to_string();
        if ids.begin(0.0, &id) == AdmissionStatus::New {
            ids.admit(0.0, &id, n, true, 1000.0);
        }
        assert!(ids.len() <= 100 && ids.expiries.len() <= 100);
    }
    assert_eq!(
        (ids.begin(500.0, "0"), ids.begin(500.0, "999")),
        (AdmissionStatus::NotRepeatable, AdmissionStatus::Full)
    );
    assert_eq!(ids.begin(1000.0, "999"), AdmissionStatus::New);
    assert_eq!((ids.len(), ids.expiries.len()), (1, 0));
}
