//! The configuration of a sidecar: read against one table of settings, checked alone and beside its neighbours, and
//! explained. Each finding has a code, a place, why it is wrong and what to write instead; all findings of a file
//! come at once.
//!
//! - [`fields`]: the table of all settings.
//! - [`document`]: a file against the table.
//! - [`check`](mod@check) and [`neighbours`]: one file as a whole, and several together. Pure.
//! - [`codes`], [`finding`], [`render`]: what is told.

#![expect(
    clippy::too_many_lines,
    reason = "names and shape of this package have not had their turn yet"
)]

pub mod check;
pub mod codes;
pub mod document;
pub mod fields;
pub mod finding;
pub mod neighbours;
pub mod render;
pub mod schema;
pub mod template;
pub mod units;

use document::Document;
use finding::Finding;
use std::path::PathBuf;

/// Reads and checks files, one or several as neighbours. All that is wrong is in their findings.
#[must_use]
pub fn check_files(paths: &[PathBuf]) -> Vec<Document> {
    check_documents(paths.iter().map(|path| Document::read(path)).collect())
}

/// Checks documents that have been read.
#[must_use]
pub fn check_documents(mut documents: Vec<Document>) -> Vec<Document> {
    let broken = |document: &Document| !document.findings.is_empty();
    for document in &mut documents {
        // what contradicts what is told only of values that stand
        if !broken(document) {
            check::check(document);
        }
    }
    if documents.len() > 1 {
        neighbours::check(&mut documents);
    }
    documents
}

/// All findings, in the order of the files.
#[must_use]
pub fn findings(documents: &[Document]) -> Vec<&Finding> {
    documents
        .iter()
        .flat_map(|document| &document.findings)
        .collect()
}

/// The text of a file among those read.
pub fn text_by_path(documents: &[Document]) -> impl Fn(&PathBuf) -> Option<String> + '_ {
    |path| {
        documents
            .iter()
            .find(|document| document.path == *path)
            .map(|document| document.text.clone())
    }
}
