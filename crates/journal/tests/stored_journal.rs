//! Guards the on-disk format: a journal file written by an earlier version must be readable, must answer every
//! query with the same bytes, and must accept further records.

use ivygate_journal::{
    answer_query, Attempt, AttemptOutcome, DurabilityLevel, EndReason, Order, RecordOutcome, Retention,
    State, Store, Update, VerifyReport,
};
use std::fmt::Write;
use std::fs;
use std::path::{Path, PathBuf};

/// Queries whose responses are compared byte for byte with `expected.txt`.
const QUERIES: [&str; 12] = [
    "/orders",
    "/orders?state=unknown",
    "/orders?state=answered",
    "/orders?state=never-sent",
    "/orders?customer=acme",
    "/orders?customer=globex",
    "/orders?id=client-1",
    "/orders?id=boot-3",
    "/orders?limit=2",
    "/orders?after=1764547202000-boot-2&limit=2",
    "/orders?after=1764547206000-boot-6",
    "/verify",
];

/// Invalid queries and the HTTP status that each is rejected with.
const REJECTED_QUERIES: [(&str, u16); 6] = [
    ("/orders?id=absent", 404),
    ("/orders?limit=0", 400),
    ("/orders?state=sent", 400),
    ("/orders?after=7", 400),
    ("/orders?colour=red", 400),
    ("/elsewhere", 404),
];

/// The directory of the stored journal, with the expected responses to `QUERIES` in `expected.txt`.
fn fixture_directory() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/stored-journal")
}

/// Copies the stored journal to a temporary directory that the test may write to.
fn copy_fixture(name: &str) -> PathBuf {
    let directory =
        std::env::temp_dir().join(format!("ivygate-stored-journal-{name}-{}", std::process::id()));
    let _ = fs::remove_dir_all(&directory);
    fs::create_dir_all(&directory).expect("the temporary directory can be created");
    fs::copy(fixture_directory().join("orders.redb"), directory.join("orders.redb"))
        .expect("the fixture file exists");
    directory
}

fn query_responses(store: &Store) -> String {
    let mut text = String::new();
    for query in QUERIES {
        let response = answer_query(store, query);
        write!(text, "{query} {}\n{}", response.status, response.lines)
            .expect("writing to a string succeeds");
    }
    text
}

fn attempt(number: u32, outcome: AttemptOutcome) -> Attempt {
    Attempt { number, server: ([127, 0, 0, 1], 9301).into(), sent_at: 1_764_547_300_000.5, outcome }
}

#[test]
fn responses_match_those_of_the_version_that_wrote_the_journal() {
    let directory = copy_fixture("read");
    let store = Store::open(&directory).expect("the journal opens");
    let expected =
        fs::read_to_string(fixture_directory().join("expected.txt")).expect("the fixture file exists");
    assert_eq!(query_responses(&store), expected);
    for (query, status) in REJECTED_QUERIES {
        let response = answer_query(&store, query);
        assert_eq!(response.status, status, "{query}");
        assert!(
            response.lines.starts_with("{\"error\":\"") && response.lines.ends_with("\"}\n"),
            "{}",
            response.lines
        );
    }
    assert!(!store.was_repaired() && !store.changed_after_close());
    assert_eq!(store.get_or_insert_salt([9; 32]).expect("the salt is readable"), [7; 32]);
    drop(store);
    fs::remove_dir_all(directory).expect("the temporary directory can be removed");
}

#[test]
fn appends_to_a_journal_of_an_earlier_version() {
    let directory = copy_fixture("write");
    let store =
        Store::create(&directory, DurabilityLevel::Synced, Retention::default()).expect("the journal opens");
    let accepted = |client_id: &str| {
        let order = Order {
            client_id: Some(client_id.to_owned()),
            customer: "acme".into(),
            route: "pay".into(),
            target: "/pay/9".into(),
            accepted_at: 1_764_547_300_000.0,
            attempts: vec![attempt(0, AttemptOutcome::Unknown)],
            ..Order::default()
        };
        Update::Accepted(order)
    };
    let updates = [
        ("boot-3".to_owned(), Update::AttemptEnded(0, AttemptOutcome::Answer(201))),
        ("boot-9".to_owned(), accepted("client-1")),
        ("boot-10".to_owned(), accepted("client-4")),
        ("boot-11".to_owned(), accepted("client-9")),
        ("boot-11".to_owned(), Update::Closed(EndReason::ClientGone)),
    ];
    let (recorded, fill) = store.record(&updates).expect("the updates are recorded");
    assert_eq!(
        recorded,
        [
            RecordOutcome::Recorded,
            RecordOutcome::Duplicate(State::Answered(200)),
            RecordOutcome::Recorded,
            RecordOutcome::Recorded,
            RecordOutcome::Recorded
        ]
    );
    assert_eq!(fill.orders, 9);
    drop(store);
    let store = Store::open(&directory).expect("the journal reopens");
    let find_state =
        |id: &str| store.find(id).expect("the order is readable").map(|(id, order)| (id, order.state()));
    assert_eq!(find_state("boot-3"), Some(("boot-3".to_owned(), State::Answered(201))));
    assert_eq!(find_state("client-4"), Some(("boot-10".to_owned(), State::Unknown)));
    assert_eq!(find_state("client-9"), Some(("boot-11".to_owned(), State::Unknown)));
    assert_eq!(find_state("boot-9"), None);
    assert_eq!(
        store.verify().expect("the journal is readable"),
        VerifyReport { orders: 9, unknown: 4, problems: Vec::new() }
    );
    drop(store);
    fs::remove_dir_all(directory).expect("the temporary directory can be removed");
}
