//! Contact age of responses that are read late: it counts from the request, not from the time of reading.

use ivygate_cluster::{contact_age_on_receipt_ms, Parent, ParentSelector, PullResponse, QuorumContact};
use ivygate_time::Timestamp;
use std::net::SocketAddr;

fn parent(address: SocketAddr, incarnation: u64, since: u64) -> Option<Parent> {
    Some(Parent { address, incarnation, since })
}

fn at(port: u16) -> SocketAddr {
    ([10, 0, 0, 1], port).into()
}

#[test]
fn response_read_after_a_freeze_is_stale() {
    let mut contact = QuorumContact::default();
    // The request is sent at 1 s and held for 600 ms by a parent with a contact age of 200 ms; the response is read 20 s later.
    let age = contact_age_on_receipt_ms(
        Timestamp::from_millis(1_000.0),
        Timestamp::from_millis(21_000.0),
        200.0,
        600.0,
    );
    contact.record(Timestamp::from_millis(21_000.0), age);
    assert_eq!(contact.age_ms(Timestamp::from_millis(21_000.0)), 19_600.0);
    let mut selector = ParentSelector::default();
    selector.handle_response(Timestamp::from_millis(21_000.0), at(1), 7, 40, age);
    assert_eq!(
        selector.select(Timestamp::from_millis(21_010.0), &[at(1), at(2)]),
        parent(at(2), 0, 0),
        "another parent is selected"
    );
}

#[test]
fn holding_time_does_not_age_a_response() {
    assert_eq!(
        contact_age_on_receipt_ms(Timestamp::from_millis(0.0), Timestamp::from_millis(620.0), 100.0, 600.0),
        120.0
    );
    // The contact age is never below the stated age, whatever holding time the parent states.
    assert_eq!(
        contact_age_on_receipt_ms(Timestamp::from_millis(0.0), Timestamp::from_millis(620.0), 100.0, 9_000.0),
        100.0
    );
    assert_eq!(
        contact_age_on_receipt_ms(Timestamp::from_millis(0.0), Timestamp::from_millis(620.0), 100.0, -50.0),
        720.0
    );
    assert_eq!(
        contact_age_on_receipt_ms(Timestamp::from_millis(620.0), Timestamp::from_millis(0.0), -5.0, 0.0),
        0.0
    );
}

#[test]
fn newest_contact_is_kept() {
    let mut contact = QuorumContact::default();
    assert!(contact.age_ms(Timestamp::from_millis(5_000.0)) > 80_000_000.0, "there was no contact");
    contact.record(Timestamp::from_millis(5_000.0), 100.0);
    contact.record(Timestamp::from_millis(5_500.0), 4_000.0);
    assert_eq!(contact.age_ms(Timestamp::from_millis(6_000.0)), 1_100.0);
}

#[test]
fn response_without_holding_time_counts_whole() {
    let response: PullResponse =
        serde_json::from_str(r#"{"life":7,"change":1,"age":50.0}"#).expect("response parses");
    assert_eq!(
        contact_age_on_receipt_ms(
            Timestamp::from_millis(0.0),
            Timestamp::from_millis(600.0),
            response.contact_age_ms,
            response.held_ms
        ),
        650.0
    );
}
