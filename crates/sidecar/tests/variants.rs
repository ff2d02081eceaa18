//! Variants of the valid example configurations, in which single settings are removed, emptied, negated, duplicated or
//! set to extreme values. Each variant must be rejected with a finding, or give a plan with which a sidecar can start.

use milletturn_config::check_documents;
use milletturn_config::document::Document;
use milletturn_policy::Sender;
use milletturn_sidecar::plan::Plan;
use milletturn_test_support::config_variants;
use std::path::{Path, PathBuf};

fn examples() -> Vec<(PathBuf, String)> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/sidecar");
    let names = ["billing.toml", "ordering.toml", "catalogue.toml"];
    names
        .map(|name| {
            (
                folder.join(name),
                std::fs::read_to_string(folder.join(name)).expect("the example is readable"),
            )
        })
        .to_vec()
}

#[test]
fn each_variant_is_rejected_or_can_start() {
    let (mut rejected, mut valid) = (0, 0);
    for (path, text) in examples() {
        for (variant, changed) in config_variants(&text) {
            let documents = check_documents(vec![Document::parse(&path, changed)]);
            let document = &documents[0];
            if document.findings.is_empty() {
                valid += 1;
                let plan = Plan::from_document(document)
                    .unwrap_or_else(|error| panic!("{variant}: {error}"));
                Sender::new(plan.settings, 1).unwrap_or_else(|error| panic!("{variant}: {error}"));
            } else {
                rejected += 1;
                assert!(
                    document
                        .findings
                        .iter()
                        .all(|finding| !finding.locations.is_empty())
                );
            }
        }
    }
    assert!(
        rejected > 300 && valid > 50,
        "{rejected} rejected, {valid} valid"
    );
}

#[test]
fn random_changes_to_a_file_never_cause_a_panic() {
    let (path, text) = &examples()[0];
    // a linear congruential generator with the multiplier and increment of Knuth's MMIX, and a fixed seed
    let mut state = 7u64;
    let mut next = move || {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (state >> 33) as usize
    };
    for _ in 0..3_000 {
        let mut bytes = text.clone().into_bytes();
        for _ in 0..1 + next() % 4 {
            let at = next() % bytes.len();
            match next() % 3 {
                0 => bytes[at] = (next() % 128) as u8,
                1 => _ = bytes.remove(at),
                _ => bytes.truncate(at.max(1)),
            }
        }
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let documents = check_documents(vec![Document::parse(path, text)]);
        for finding in milletturn_config::findings(&documents) {
            assert!(
                !milletturn_config::render::to_text(
                    finding,
                    milletturn_config::text_by_path(&documents),
                    false
                )
                .is_empty()
            );
        }
        if documents[0].findings.is_empty() {
            let _ = Plan::from_document(&documents[0]);
        }
    }
}
