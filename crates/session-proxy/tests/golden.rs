//! Golden data of the settings file: the keys, bounds and defaults that operators' files rely on, which must not change
//! when fields are renamed in the source.

use milletturn_config::fields::Kind;
use milletturn_coordination::Micros;
use milletturn_session_proxy::settings::{FIELDS, Settings, parse, read};
use std::path::Path;

#[test]
fn every_value_of_a_complete_file_is_read() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/session-proxy.toml");
    let (document, settings) = read(&path);
    assert_eq!(document.findings, []);
    let Settings {
        group,
        name,
        listen,
        coordinators,
        max_batch_delay,
        max_connections,
    } = settings.expect("the file is valid");
    assert_eq!(
        (group.as_str(), name.as_str(), listen.as_str()),
        ("harbour", "relay-1", "10.0.0.9:7401")
    );
    assert_eq!(
        coordinators,
        ["10.0.0.1:7301", "10.0.0.2:7301", "10.0.0.3:7301"]
    );
    assert_eq!(
        (max_batch_delay, max_connections),
        (Micros::from_millis(250), 1_024)
    );
}

#[test]
fn every_setting_keeps_its_key_bounds_and_default() {
    let fields: Vec<_> = FIELDS
        .iter()
        .map(|field| (field.path, field.kind, field.default, field.required))
        .collect();
    let known = [
        ("group", Kind::Name, "", true),
        ("name", Kind::Name, "", true),
        ("listen", Kind::Text, "", true),
        ("stewards", Kind::Addresses, "", true),
        ("gather", Kind::Time(10_000, 1_000_000), "\"100ms\"", false),
        ("places", Kind::Count(16, 4_096), "4096", false),
    ];
    assert_eq!(fields, known);
    let text = include_str!("golden/session-proxy.toml");
    let required_only: String = text
        .lines()
        .take(4)
        .map(|line| format!("{line}\n"))
        .collect();
    let (document, settings) = parse(Path::new("session-proxy.toml"), &required_only);
    assert_eq!(document.findings, []);
    let Settings {
        max_batch_delay,
        max_connections,
        ..
    } = settings.expect("the file is valid");
    assert_eq!(
        (max_batch_delay, max_connections),
        (Micros::from_millis(100), 4_096),
        "the defaults"
    );
}
