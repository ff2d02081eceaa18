//! Reads and checks the configuration files of sidecars. A file is read according to one table of settings, then
//! checked as a whole, and against the files of other sidecars on the same machine. All errors of a file are reported
//! at once, as findings with a code, a location and a suggestion.
//!
//! - [`fields`]: the table of all settings.
//! - [`document`]: reads a file according to the table.
//! - [`check`](mod@check): checks one file as a whole.
//! - [`neighbours`]: checks the files of one machine against each other.
//! - [`codes`], [`finding`], [`render`]: the kinds of errors, the findings, and their text for users.
//! - [`schema`], [`template`]: generate the JSON Schema and the reference page of the settings, and the configuration
//!   file of a new application.
//! - [`units`]: times and sizes with their units.

#![expect(
    clippy::too_many_lines,
    reason = "a function that validates settings is one long sequence of independent checks"
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

/// Reads and checks files. Several files are also checked against each other, as sidecars on one machine. Errors are in
/// the documents' findings.
#[must_use]
pub fn check_files(paths: &[PathBuf]) -> Vec<Document> {
    check_documents(paths.iter().map(|path| Document::read(path)).collect())
}

/// Checks documents that have been read: each one as a whole if all its values are valid by themselves, and several
/// documents against each other, as sidecars on one machine.
#[must_use]
pub fn check_documents(mut documents: Vec<Document>) -> Vec<Document> {
    let has_findings = |document: &Document| !document.findings.is_empty();
    for document in &mut documents {
        // contradictions between settings are only checked if each value is valid by itself
        if !has_findings(document) {
            check::check(document);
        }
    }
    if documents.len() > 1 {
        neighbours::check(&mut documents);
    }
    documents
}

/// The findings of all documents, in the order of the documents.
#[must_use]
pub fn findings(documents: &[Document]) -> Vec<&Finding> {
    documents
        .iter()
        .flat_map(|document| &document.findings)
        .collect()
}

/// Returns a function that looks up the text of a file among the documents by the file's path. The function returns
/// `None` if no document has the path.
pub fn text_by_path(documents: &[Document]) -> impl Fn(&PathBuf) -> Option<String> + '_ {
    |path| {
        documents
            .iter()
            .find(|document| document.path == *path)
            .map(|document| document.text.clone())
    }
}
