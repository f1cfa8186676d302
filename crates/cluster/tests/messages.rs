//! Pulls of control state, their answers and what a process tells of itself, byte for byte.

use ivygate_cluster::{Node, PullRequest, PullResponse};
use serde::de::DeserializeOwned;
use serde::Serialize;

#[track_caller]
fn is_spoken_on<T: Serialize + DeserializeOwned>(golden: &str) {
    let message: T = serde_json::from_str(golden).unwrap_or_else(|error| panic!("{error}: {golden}"));
    assert_eq!(serde_json::to_string(&message).expect("it can be written"), golden);
}

#[test]
fn pulls_keep_their_wire_format() {
    is_spoken_on::<PullRequest>(r#"{"life":5,"since":40,"hold":0.6,"tables":1023}"#);
    is_spoken_on::<PullResponse>(
        r#"{"life":5,"change":42,"age":120.5,"heldMs":600.25,"items":[{"t":"duties","k":"warden","v":3,"b":{"holder":"10.1.0.5"}},{"t":"servers","k":"i-1","v":4294967297,"b":null}]}"#,
    );
    is_spoken_on::<PullResponse>(r#"{"life":5,"change":42,"age":120.5,"heldMs":0.0}"#);
    let old: PullResponse =
        serde_json::from_str(r#"{"life":5,"change":42,"age":120.5}"#).expect("it is understood");
    assert_eq!(
        serde_json::to_string(&old).expect("it can be written"),
        r#"{"life":5,"change":42,"age":120.5,"heldMs":0.0}"#
    );
}

#[test]
fn node_entries_keep_their_wire_format() {
    is_spoken_on::<Node>(
        r#"{"ip":"10.1.0.9","role":"proxy","zone":"a","region":"r","http":"10.1.0.9:80","ready":true,"leaving":false,"lost":false}"#,
    );
    is_spoken_on::<Node>(
        r#"{"ip":"10.1.0.5","role":"registry","zone":"a","region":"r","ready":true,"leaving":false,"lost":true}"#,
    );
    let node: Node = serde_json::from_str(r#"{"ip":"10.1.0.5","role":"registry","zone":"a","region":"r"}"#)
        .expect("it is understood");
    assert_eq!(node.name(), "registry@10.1.0.5");
    assert_eq!(
        serde_json::to_string(&node.to_item(7)).expect("it can be written"),
        r#"{"t":"nodes","k":"registry@10.1.0.5","v":7,"b":{"ip":"10.1.0.5","lost":false,"leaving":false,"ready":false,"region":"r","role":"registry","zone":"a"}}"#
            .replace(r#""lost":false,"leaving":false"#, r#""leaving":false,"lost":false"#)
    );
}
