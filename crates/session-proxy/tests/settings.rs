//! The settings file of a session proxy: all errors are reported together, each with its code and position.

use milletturn_config::codes::Code;
use milletturn_session_proxy::settings::{Settings, parse};
use std::path::Path;

const VALID_FILE: &str = "group = \"harbour\"\nname = \"r1\"\nlisten = \"10.0.0.9:7401\"\n\
    stewards = [\"10.0.0.1:7301\", \"10.0.0.2:7301\", \"10.0.0.3:7301\"]\n";

fn findings_in(text: &str) -> Vec<(Code, Option<String>)> {
    let (document, settings) = parse(Path::new("session-proxy.toml"), text);
    assert_eq!(
        settings.is_none(),
        !document.findings.is_empty(),
        "settings are returned only without findings"
    );
    let text_at = |finding: &milletturn_config::finding::Finding| {
        finding.locations[0]
            .span
            .clone()
            .map(|span| document.text[span].to_string())
    };
    document
        .findings
        .iter()
        .map(|finding| (finding.code, text_at(finding)))
        .collect()
}

#[test]
fn a_valid_file_is_read_with_its_defaults() {
    let (document, settings) = parse(Path::new("session-proxy.toml"), VALID_FILE);
    assert_eq!(document.findings, []);
    let Settings {
        group,
        coordinators,
        max_batch_delay,
        max_connections,
        ..
    } = settings.expect("the file is valid");
    assert_eq!(
        (
            group.as_str(),
            coordinators.len(),
            max_batch_delay.0,
            max_connections
        ),
        ("harbour", 3, 100_000, 4_096)
    );
}

#[test]
fn each_error_has_its_code_and_position() {
    let with = |from: &str, to: &str| findings_in(&VALID_FILE.replace(from, to));
    let text = |text: &str| Some(text.to_string());
    assert_eq!(with("name", "nmae")[0], (Code::UnknownName, text("nmae")));
    assert!(
        with("name = \"r1\"\n", "")
            .iter()
            .any(|(code, _)| *code == Code::MissingSetting)
    );
    assert_eq!(
        with("10.0.0.2", "10.0.0.1"),
        [(Code::DuplicateCoordinator, text("\"10.0.0.1:7301\""))]
    );
    assert_eq!(
        with("10.0.0.9:7401", "10.0.0.2:7301"),
        [(Code::ProxyIsCoordinator, text("\"10.0.0.2:7301\""))]
    );
    assert_eq!(
        with(", \"10.0.0.3:7301\"", "")[0].0,
        Code::InvalidCoordinatorCount
    );
    assert_eq!(
        with("10.0.0.9:7401", "nowhere")[0],
        (Code::InvalidAddress, text("\"nowhere\""))
    );
    for (line, code) in [
        ("gather = \"1ms\"", Code::TooSmall),
        ("gather = \"2s\"", Code::TooLarge),
        ("gather = 100", Code::MissingUnit),
        ("places = 5000", Code::TooLarge),
        ("places = 1", Code::TooSmall),
        ("places = \"many\"", Code::WrongType),
        ("group = \"twice\"", Code::Duplicate),
        ("places =", Code::Syntax),
    ] {
        let codes: Vec<Code> = findings_in(&format!("{VALID_FILE}{line}\n"))
            .into_iter()
            .map(|(code, _)| code)
            .collect();
        assert!(codes.contains(&code), "{line}: {codes:?}");
    }
}
