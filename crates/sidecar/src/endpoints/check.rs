//! Checks an endpoints file against the configurations that name it.

use super::read;
use milletturn_config::codes::Code;
use milletturn_config::document::Document;
use milletturn_config::neighbours::resolve_links;
use milletturn_engine::ListedEndpoint;
use std::path::Path;

/// Checks an endpoints file and the sidecar configurations that name it: a destination without endpoints in its
/// configuration must have some in the file. Findings are added to the documents; earlier findings of `list` are
/// dropped.
pub fn check_list(list: &mut Document, sidecars: &mut [Document]) {
    list.findings.clear();
    let listed = match read(&list.path) {
        Ok(listed) => listed,
        Err(error) => return list.add(Code::InvalidEndpointsFile, None, error.to_string(), None),
    };
    let real_path = resolve_links(&list.path);
    for sidecar in sidecars.iter_mut() {
        let names_list = sidecar
            .path_of(&["endpoints", "file"])
            .is_some_and(|path| resolve_links(&path) == real_path);
        if names_list {
            check_destinations(sidecar, &list.path, &listed);
        }
    }
}

fn check_destinations(sidecar: &mut Document, list_path: &Path, listed: &[ListedEndpoint]) {
    for name in sidecar.table_names("destination") {
        let id = sidecar.count(&["destination", &name, "id"]);
        let has_own_endpoints = sidecar
            .explicit_value(&["destination", &name, "endpoints"])
            .is_some();
        if !has_own_endpoints && listed.iter().all(|endpoint| endpoint.destination != id) {
            let span = sidecar.span(&["destination", &name, "id"]);
            let label = format!("{} has no endpoint of {id}", list_path.display());
            let help = Some(format!(
                "add [destination.{id}] with its endpoints to that file"
            ));
            sidecar.add(Code::NoEndpoint, span, label, help);
        }
    }
}
