//! A journal that an earlier version wrote is opened, read order by order, written on, and opened again.

use ivygate_journal::{
    answer_query, Attempt, AttemptOutcome, DurabilityLevel, EndReason, Order, RecordOutcome, Retention,
    State, Store, Update, VerifyReport,
};
use std::fmt::Write;
use std::fs;
use std::path::{Path, PathBuf};

/// Queries whose answers are pinned to the byte.
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

/// Queries that are rejected, with the status.
const REJECTED: [(&str, u16); 6] = [
    ("/orders?id=absent", 404),
    ("/orders?limit=0", 400),
    ("/orders?state=sent", 400),
    ("/orders?after=7", 400),
    ("/orders?colour=red", 400),
    ("/elsewhere", 404),
];

/// The folder as it was written, with the answers to `QUERIES` in `expected.txt`.
fn fixture() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/stored-journal")
}

/// A copy that the test may write, in a folder of its own.
fn copy(name: &str) -> PathBuf {
    let to = std::env::temp_dir().join(format!("ivygate-stored-journal-{name}-{}", std::process::id()));
    let _ = fs::remove_dir_all(&to);
    fs::create_dir_all(&to).expect("it can be written");
    fs::copy(fixture().join("orders.redb"), to.join("orders.redb")).expect("the fixture is there");
    to
}

fn answers(store: &Store) -> String {
    let mut text = String::new();
    for query in QUERIES {
        let told = answer_query(store, query);
        write!(text, "{query} {}\n{}", told.status, told.lines).expect("text can be written");
    }
    text
}

fn attempt(number: u32, outcome: AttemptOutcome) -> Attempt {
    Attempt { number, server: ([127, 0, 0, 1], 9301).into(), sent_at: 1_764_547_300_000.5, outcome }
}

#[test]
fn answers_every_query_as_the_version_that_wrote_it() {
    let folder = copy("read");
    let store = Store::open(&folder).expect("it opens");
    let expected = fs::read_to_string(fixture().join("expected.txt")).expect("the fixture is there");
    assert_eq!(answers(&store), expected);
    for (query, status) in REJECTED {
        let told = answer_query(&store, query);
        assert_eq!(told.status, status, "{query}");
        assert!(told.lines.starts_with("{\"error\":\"") && told.lines.ends_with("\"}\n"), "{}", told.lines);
    }
    assert!(!store.was_repaired() && !store.changed_after_close());
    assert_eq!(store.get_or_insert_salt([9; 32]).expect("it can be read"), [7; 32]);
    drop(store);
    fs::remove_dir_all(folder).expect("it goes");
}

#[test]
fn writes_on_where_an_earlier_version_stopped() {
    let folder = copy("write");
    let store = Store::create(&folder, DurabilityLevel::Synced, Retention::default()).expect("it opens");
    let taken = |client_id: &str| {
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
        ("boot-9".to_owned(), taken("client-1")),
        ("boot-10".to_owned(), taken("client-4")),
        ("boot-11".to_owned(), taken("client-9")),
        ("boot-11".to_owned(), Update::Closed(EndReason::ClientGone)),
    ];
    let (recorded, fill) = store.record(&updates).expect("it is recorded");
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
    let store = Store::open(&folder).expect("it opens again");
    let found = |id: &str| store.find(id).expect("it can be read").map(|(id, order)| (id, order.state()));
    assert_eq!(found("boot-3"), Some(("boot-3".to_owned(), State::Answered(201))));
    assert_eq!(found("client-4"), Some(("boot-10".to_owned(), State::Unknown)));
    assert_eq!(found("client-9"), Some(("boot-11".to_owned(), State::Unknown)));
    assert_eq!(found("boot-9"), None);
    assert_eq!(
        store.verify().expect("it can be read"),
        VerifyReport { orders: 9, unknown: 4, problems: Vec::new() }
    );
    drop(store);
    fs::remove_dir_all(folder).expect("it goes");
}
