//! Validation of the settings.

use pintally_quota::Settings;

#[test]
fn rejects_inconsistent_settings() {
    assert!(Settings::default().check().is_ok());
    assert!(Settings { lease_duration: 1_000, ..Settings::default() }.check().is_err());
    assert!(Settings { reserved_fraction: 0.95, ..Settings::default() }.check().is_err());
    assert!(Settings { node_count: 0, ..Settings::default() }.check().is_err());
}
