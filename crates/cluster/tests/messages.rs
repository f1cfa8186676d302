//! Wire format of pulls, their responses and node items.

use ivygate_cluster::{Node, PullRequest, PullResponse};
use serde::de::DeserializeOwned;
use serde::Serialize;

#[track_caller]
fn assert_round_trip<T: Serialize + DeserializeOwned>(expected: &str) {
    let message: T = serde_json::from_str(expected).unwrap_or_else(|error| panic!("{error}: {expected}"));
    assert_eq!(serde_json::to_string(&message).expect("message serializes"), expected);
}

#[test]
fn pulls_keep_their_wire_format() {
    assert_round_trip::<PullRequest>(r#"{"life":5,"since":40,"hold":0.6,"tables":1023}"#);
    assert_round_trip::<PullRequest>(r#"{"life":5,"since":40,"hold":0.6,"tables":1023,"digests":[7,0]}"#);
    assert_round_trip::<PullResponse>(
        r#"{"life":5,"change":42,"age":120.5,"heldMs":600.25,"items":[{"t":"duties","k":"warden","v":3,"b":{"holder":"10.1.0.5"}},{"t":"servers","k":"i-1","v":4294967297,"b":null}]}"#,
    );
    assert_round_trip::<PullResponse>(r#"{"life":5,"change":42,"age":120.5,"heldMs":0.0}"#);
    let old: PullResponse =
        serde_json::from_str(r#"{"life":5,"change":42,"age":120.5}"#).expect("message parses");
    assert_eq!(
        serde_json::to_string(&old).expect("message serializes"),
        r#"{"life":5,"change":42,"age":120.5,"heldMs":0.0}"#
    );
}

#[test]
fn node_entries_keep_their_wire_format() {
    assert_round_trip::<Node>(
        r#"{"ip":"10.1.0.9","role":"proxy","zone":"a","region":"r","http":"10.1.0.9:80","ready":true,"leaving":false,"lost":false}"#,
    );
    assert_round_trip::<Node>(
        r#"{"ip":"10.1.0.5","role":"registry","zone":"a","region":"r","ready":true,"leaving":false,"lost":true}"#,
    );
    let node: Node = serde_json::from_str(r#"{"ip":"10.1.0.5","role":"registry","zone":"a","region":"r"}"#)
        .expect("message parses");
    assert_eq!(node.name(), "registry@10.1.0.5");
    assert_eq!(
        serde_json::to_string(&node.to_item(7)).expect("message serializes"),
        r#"{"t":"nodes","k":"registry@10.1.0.5","v":7,"b":{"ip":"10.1.0.5","lost":false,"leaving":false,"ready":false,"region":"r","role":"registry","zone":"a"}}"#
            .replace(r#""lost":false,"leaving":false"#, r#""leaving":false,"lost":false"#)
    );
}
