//! Golden data: texts of an earlier build. They must not change, since scripts and other versions parse them.

use std::path::Path;

/// The content of the golden file of this name.
fn golden_text(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name);
    std::fs::read_to_string(path).expect("golden data")
}

/// Fails if a text differs from the golden file of this name.
pub(super) fn assert_matches_golden(name: &str, text: &str) {
    assert_eq!(text, golden_text(name), "{name}");
}

/// Replaces the number after each of these marks by `#`, since these numbers differ from run to run.
pub(super) fn masked(text: &str, marks: &[&str]) -> String {
    let mut text = text.to_string();
    for mark in marks {
        let mut parts = text.split(mark);
        let mut masked = parts.next().unwrap_or_default().to_string();
        for part in parts {
            masked.push_str(mark);
            if part.starts_with(|letter: char| letter.is_ascii_digit()) {
                masked.push('#');
            }
            masked.push_str(part.trim_start_matches(|letter: char| letter.is_ascii_digit()));
        }
        text = masked;
    }
    text
}
