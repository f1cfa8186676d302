//! Wire format of heartbeats and server items, and parsing of the platform's server list.

use ivygate_control_state::COORDINATOR_ROLE;
use ivygate_registry::{
    HeartbeatRequest, HeartbeatResponse, ServerListPage, ServerRecord, WATCHERS_PER_NODE,
};
use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::json;

#[track_caller]
fn assert_round_trip<T: Serialize + DeserializeOwned>(expected: &str) {
    let message: T = serde_json::from_str(expected).unwrap_or_else(|error| panic!("{error}: {expected}"));
    assert_eq!(serde_json::to_string(&message).expect("message serializes"), expected);
}

#[test]
fn heartbeats_keep_their_wire_format() {
    assert_round_trip::<HeartbeatRequest>(
        r#"{"entry":{"t":"nodes","k":"proxy@10.1.0.9","v":7,"b":{"ip":"10.1.0.9","leaving":false,"lost":false,"ready":true,"region":"r","role":"proxy","zone":"a"}}}"#,
    );
    assert_round_trip::<HeartbeatResponse>(r#"{"version":8,"registries":["10.1.0.5","10.2.0.5"]}"#);
    assert_round_trip::<HeartbeatResponse>(r#"{"version":8,"registries":[]}"#);
}

#[test]
fn server_entries_keep_their_wire_format() {
    assert_round_trip::<ServerRecord>(
        r#"{"backend":"checkout","address":"10.9.0.1:80","zone":"a","capacity":4.0,"draining":false,"cold_s":2.5}"#,
    );
}

#[test]
fn role_name_and_watcher_count_are_part_of_the_protocol() {
    assert_eq!((COORDINATOR_ROLE, WATCHERS_PER_NODE), ("warden", 2));
}

#[test]
fn server_list_page_parses_in_the_platforms_format() {
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
    .expect("page parses");
    assert_eq!(page.next_cursor.as_deref(), Some("c2"));
    let rows = page.rows();
    let servers: Vec<String> = rows
        .iter()
        .map(|row| serde_json::to_string(&row.to_record(None)).expect("message serializes"))
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
