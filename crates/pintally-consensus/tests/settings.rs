//! Validation of the settings.

use pintally_consensus::Settings;

#[test]
fn rejects_inconsistent_settings() {
    let valid = Settings::new("a", &["a", "b", "c"]);
    assert!(valid.check().is_ok());
    assert!(Settings { election_timeout: valid.heartbeat_interval, ..valid.clone() }.check().is_err());
    assert!(Settings { replicas: vec!["a".into(), "a".into()], ..valid.clone() }.check().is_err());
    assert!(Settings { max_clock_drift: 0.5, ..valid }.check().is_err());
}
