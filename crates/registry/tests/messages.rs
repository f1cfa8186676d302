//! Heartbeats, entries of servers and the platform's list, as they are spoken.

use ivygate_control_state::COORDINATOR_ROLE;
use ivygate_registry::{
    HeartbeatRequest, HeartbeatResponse, ServerListPage, ServerRecord, WATCHERS_PER_NODE,
};
use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::json;

#[track_caller]
fn is_spoken_on<T: Serialize + DeserializeOwned>(golden: &str) {
    let message: T = serde_json::from_str(golden).unwrap_or_else(|error| panic!("{error}: {golden}"));
    assert_eq!(serde_json::to_string(&message).expect("it can be written"), golden);
}

#[test]
fn heartbeats_keep_their_wire_format() {
    is_spoken_on::<HeartbeatRequest>(
        r#"{"entry":{"t":"nodes","k":"proxy@10.1.0.9","v":7,"b":{"ip":"10.1.0.9","leaving":false,"lost":false,"ready":true,"region":"r","role":"proxy","zone":"a"}}}"#,
    );
    is_spoken_on::<HeartbeatResponse>(r#"{"version":8,"registries":["10.1.0.5","10.2.0.5"]}"#);
    is_spoken_on::<HeartbeatResponse>(r#"{"version":8,"registries":[]}"#);
}

#[test]
fn server_entries_keep_their_wire_format() {
    is_spoken_on::<ServerRecord>(
        r#"{"backend":"checkout","address":"10.9.0.1:80","zone":"a","capacity":4.0,"draining":false,"cold_s":2.5}"#,
    );
}

#[test]
fn the_key_of_the_singleton_and_the_number_of_watchers_are_data() {
    assert_eq!((COORDINATOR_ROLE, WATCHERS_PER_NODE), ("warden", 2));
}

#[test]
fn a_page_of_the_list_is_read_as_the_platform_words_it() {
    let page: ServerListPage = serde_json::from_value(json!({
        "instances": {
            "cols": ["id", "backend", "address", "az", "capacity", "state", "warmLeftS", "later"],
            "rows": [
                ["i-1", "checkout", "10.9.0.1:80", "a", 4, "ready", null, 1],
                ["i-2", "checkout", "10.9.0.2:80", "b", 2, "draining", 3.5, null],
                ["i-3", "checkout", "no address", "b", 2, "ready", 0, null]
            ]
        },
        "nextCursor": "c2"
    }))
    .expect("it is a page");
    assert_eq!(page.next_cursor.as_deref(), Some("c2"));
    let rows = page.rows();
    let servers: Vec<String> = rows
        .iter()
        .map(|row| serde_json::to_string(&row.to_record(None)).expect("it can be written"))
        .collect();
    assert_eq!(
        servers,
        [
            r#"{"backend":"checkout","address":"10.9.0.1:80","zone":"a","capacity":4.0,"draining":false,"cold_s":0.0}"#,
            r#"{"backend":"checkout","address":"10.9.0.2:80","zone":"b","capacity":2.0,"draining":true,"cold_s":3.5}"#,
        ]
    );
    assert_eq!(rows.iter().map(|row| row.id.as_str()).collect::<Vec<_>>(), ["i-1", "i-2"]);
}
