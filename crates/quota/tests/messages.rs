//! Wire format of the messages between proxies and the quota allocator.

use ivygate_quota::{QuotaGrant, UsageReport};
use serde::de::DeserializeOwned;
use serde::Serialize;

#[track_caller]
fn assert_round_trip<T: Serialize + DeserializeOwned>(expected: &str) {
    let message: T = serde_json::from_str(expected).unwrap_or_else(|error| panic!("{error}: {expected}"));
    assert_eq!(serde_json::to_string(&message).expect("message serializes"), expected);
}

#[test]
fn reports_and_grants_keep_their_wire_format() {
    assert_round_trip::<UsageReport>(
        r#"{"life":77,"epoch":3,"number":12,"other":0.25,"tenants":{"acme":[1.5,1.25,0.5],"zeta":[0.0,0.0,0.01]}}"#,
    );
    assert_round_trip::<QuotaGrant>(
        r#"{"epoch":3,"number":13,"proxies":4,"other":0.165,"tenants":{"acme":[0.4,120.0],"zeta":[0.1,0.0]}}"#,
    );
}

#[test]
fn report_without_an_epoch_is_accepted() {
    let report: UsageReport =
        serde_json::from_str(r#"{"life":77,"number":12,"other":0.25,"tenants":{}}"#).expect("report parses");
    assert_eq!((report.epoch, report.number), (0, 12));
}
