//! Settings file: parsed values and reporting of all errors together.

use ivygate_rpc::{BootstrapSettings, ServicePorts};

const VALID: &str = r#"{"hostname":"edge-1","ip":"10.1.0.33","az":"a","region":"r","portRange":[7740,7755],
    "seeds":["10.1.0.36:8688","10.1.0.36:8689","10.2.0.11:8688"],"datadir":null,"later":1,
    "bounds":["drainS=4","strictRevoke=false"],"cloud":{"address":"10.200.0.51:8682","ratePerS":54.0}}"#;

#[test]
fn reads_settings_and_ignores_unknown_fields() {
    let settings = BootstrapSettings::parse(VALID).expect("settings are valid");
    assert_eq!(
        (settings.bound("drainS", 9.0), settings.bound("strictRevoke", 1.0), settings.bound("else", 7.0)),
        (4.0, 0.0, 7.0)
    );
    assert_eq!(settings.ports(), ServicePorts { proxy: 7740, registry: 7741, store: 7742 });
    assert_eq!(settings.seed_machines().len(), 2);
}

#[test]
fn reports_all_errors_together() {
    let invalid = VALID.replace("7755", "7741").replace("\"edge-1\"", "\"\"").replace("54.0", "0");
    let error = BootstrapSettings::parse(&invalid).expect_err("settings are invalid");
    for field in ["port_range", "hostname", "rate_per_s"] {
        assert!(error.detail.contains(field), "{field}: {}", error.detail);
    }
}
