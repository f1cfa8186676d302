//! What stores of the version before say to each other is understood and said on, byte for byte.

use ivygate_config_store::{AcceptedProposal, Ballot, JoinCandidate, PeerReply, PeerRequest};
use serde::de::DeserializeOwned;
use serde::Serialize;

#[track_caller]
fn is_spoken_on<T: Serialize + DeserializeOwned>(golden: &str) {
    let message: T = serde_json::from_str(golden).unwrap_or_else(|error| panic!("{error}: {golden}"));
    assert_eq!(serde_json::to_string(&message).expect("it can be written"), golden);
}

const BALLOT: &str = r#"{"counter":7,"by":"10.1.0.5","incarnation":3}"#;
const ITEM: &str = r#"{"t":"routes","k":"pay","v":12,"b":{"gen":"r12"}}"#;
const DROPPED: &str = r#"{"t":"drains","k":"zone-a","v":2,"b":null}"#;

#[test]
fn requests_keep_their_wire_format() {
    let asks = [
        format!(r#"{{"prepare":{{"ballot":{BALLOT},"incarnation":4,"chosen":{BALLOT}}}}}"#),
        format!(
            r#"{{"accept":{{"ballot":{BALLOT},"incarnation":4,"base":{BALLOT},"missing":[{DROPPED}],"items":[{ITEM}]}}}}"#
        ),
        format!(r#"{{"learn":{{"ballot":{BALLOT},"base":{BALLOT},"items":[{ITEM},{DROPPED}]}}}}"#),
        format!(r#"{{"ping":{{"chosen":{BALLOT}}}}}"#),
        format!(r#"{{"catch_up":{{"chosen":{BALLOT},"after":null}}}}"#),
        format!(r#"{{"catch_up":{{"chosen":{BALLOT},"after":{{"t":"past","k":"routes/pay"}}}}}}"#),
        r#"{"hello":{"incarnation":5}}"#.to_owned(),
        format!(r#"{{"join":{{"incarnation":5,"group":2,"chosen":{BALLOT}}}}}"#),
    ];
    for ask in &asks {
        is_spoken_on::<PeerRequest>(ask);
    }
}

#[test]
fn replies_keep_their_wire_format() {
    let answers = [
        format!(
            r#"{{"promised":{{"accepted":{{"ballot":{BALLOT},"items":[{ITEM}]}},"chosen":{BALLOT},"items":[{DROPPED}]}}}}"#
        ),
        format!(r#"{{"promised":{{"accepted":null,"chosen":{BALLOT},"items":null}}}}"#),
        format!(r#"{{"nack":{{"promised":{BALLOT}}}}}"#),
        r#""accepted""#.to_owned(),
        r#""learned""#.to_owned(),
        format!(r#"{{"pong":{{"chosen":{BALLOT}}}}}"#),
        format!(r#"{{"snapshot":{{"chosen":{BALLOT},"items":[{ITEM}],"more":true}}}}"#),
        r#""blank""#.to_owned(),
    ];
    for answer in &answers {
        is_spoken_on::<PeerReply>(&format!(r#"{{"incarnation":9,"group":2,"answer":{answer}}}"#));
    }
    is_spoken_on::<PeerReply>(r#"{"incarnation":9,"group":null,"answer":"blank"}"#);
}

#[test]
fn message_parts_keep_their_wire_format() {
    is_spoken_on::<Ballot>(BALLOT);
    is_spoken_on::<AcceptedProposal>(&format!(r#"{{"ballot":{BALLOT},"items":[{ITEM}]}}"#));
    is_spoken_on::<JoinCandidate>(&format!(r#"{{"incarnation":5,"group":2,"chosen":{BALLOT}}}"#));
    // Ballots of before incarnations.
    let old: Ballot = serde_json::from_str(r#"{"counter":7,"by":"10.1.0.5"}"#).expect("it is understood");
    assert_eq!((old.counter, old.incarnation), (7, 0));
}
