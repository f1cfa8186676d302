//! What proxies and the one that gives shares out say to each other, byte for byte.

use ivygate_quota::{QuotaGrant, UsageReport};
use serde::de::DeserializeOwned;
use serde::Serialize;

#[track_caller]
fn is_spoken_on<T: Serialize + DeserializeOwned>(golden: &str) {
    let message: T = serde_json::from_str(golden).unwrap_or_else(|error| panic!("{error}: {golden}"));
    assert_eq!(serde_json::to_string(&message).expect("it can be written"), golden);
}

#[test]
fn reports_and_grants_keep_their_wire_format() {
    is_spoken_on::<UsageReport>(
        r#"{"life":77,"epoch":3,"number":12,"other":0.25,"tenants":{"acme":[1.5,1.25,0.5],"zeta":[0.0,0.0,0.01]}}"#,
    );
    is_spoken_on::<QuotaGrant>(
        r#"{"epoch":3,"number":13,"proxies":4,"other":0.165,"tenants":{"acme":[0.4,120.0],"zeta":[0.1,0.0]}}"#,
    );
}

#[test]
fn a_report_of_before_epochs_is_understood() {
    let report: UsageReport = serde_json::from_str(r#"{"life":77,"number":12,"other":0.25,"tenants":{}}"#)
        .expect("it is understood");
    assert_eq!((report.epoch, report.number), (0, 12));
}
