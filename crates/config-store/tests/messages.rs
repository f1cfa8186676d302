//! Messages of the previous version are decoded and encoded again byte for byte.

use ivygate_config_store::{AcceptedProposal, Ballot, JoinCandidate, PeerReply, PeerRequest};
use serde::de::DeserializeOwned;
use serde::Serialize;

#[track_caller]
fn assert_round_trip<T: Serialize + DeserializeOwned>(encoded: &str) {
    let message: T = serde_json::from_str(encoded).unwrap_or_else(|error| panic!("{error}: {encoded}"));
    assert_eq!(serde_json::to_string(&message).expect("the message can be encoded"), encoded);
}

const BALLOT: &str = r#"{"counter":7,"by":"10.1.0.5","incarnation":3}"#;
const ITEM: &str = r#"{"t":"routes","k":"pay","v":12,"b":{"gen":"r12"}}"#;
const TOMBSTONE: &str = r#"{"t":"drains","k":"zone-a","v":2,"b":null}"#;

#[test]
fn requests_keep_their_wire_format() {
    let requests = [
        format!(r#"{{"prepare":{{"ballot":{BALLOT},"incarnation":4,"chosen":{BALLOT}}}}}"#),
        format!(
            r#"{{"accept":{{"ballot":{BALLOT},"incarnation":4,"base":{BALLOT},"missing":[{TOMBSTONE}],"items":[{ITEM}]}}}}"#
        ),
        format!(r#"{{"learn":{{"ballot":{BALLOT},"base":{BALLOT},"items":[{ITEM},{TOMBSTONE}]}}}}"#),
        format!(r#"{{"ping":{{"chosen":{BALLOT}}}}}"#),
        format!(r#"{{"catch_up":{{"chosen":{BALLOT},"after":null}}}}"#),
        format!(r#"{{"catch_up":{{"chosen":{BALLOT},"after":{{"t":"past","k":"routes/pay"}}}}}}"#),
        r#"{"hello":{"incarnation":5}}"#.to_owned(),
        format!(r#"{{"join":{{"incarnation":5,"group":2,"chosen":{BALLOT}}}}}"#),
    ];
    for request in &requests {
        assert_round_trip::<PeerRequest>(request);
    }
}

#[test]
fn replies_keep_their_wire_format() {
    let responses = [
        format!(
            r#"{{"promised":{{"accepted":{{"ballot":{BALLOT},"items":[{ITEM}]}},"chosen":{BALLOT},"items":[{TOMBSTONE}]}}}}"#
        ),
        format!(r#"{{"promised":{{"accepted":null,"chosen":{BALLOT},"items":null}}}}"#),
        format!(r#"{{"nack":{{"promised":{BALLOT}}}}}"#),
        r#""accepted""#.to_owned(),
        r#""learned""#.to_owned(),
        format!(r#"{{"pong":{{"chosen":{BALLOT}}}}}"#),
        format!(r#"{{"snapshot":{{"chosen":{BALLOT},"items":[{ITEM}],"more":true}}}}"#),
        r#""blank""#.to_owned(),
    ];
    for response in &responses {
        assert_round_trip::<PeerReply>(&format!(r#"{{"incarnation":9,"group":2,"answer":{response}}}"#));
    }
    assert_round_trip::<PeerReply>(r#"{"incarnation":9,"group":null,"answer":"blank"}"#);
    assert_round_trip::<PeerReply>(
        r#"{"incarnation":9,"group":2,"latest":{"counter":7,"by":"10.1.0.5","incarnation":9},"answer":"blank"}"#,
    );
}

#[test]
fn message_parts_keep_their_wire_format() {
    assert_round_trip::<Ballot>(BALLOT);
    assert_round_trip::<AcceptedProposal>(&format!(r#"{{"ballot":{BALLOT},"items":[{ITEM}]}}"#));
    assert_round_trip::<JoinCandidate>(&format!(r#"{{"incarnation":5,"group":2,"chosen":{BALLOT}}}"#));
    // Ballots from before incarnations were introduced.
    let old: Ballot =
        serde_json::from_str(r#"{"counter":7,"by":"10.1.0.5"}"#).expect("the ballot can be decoded");
    assert_eq!((old.counter, old.incarnation), (7, 0));
}
