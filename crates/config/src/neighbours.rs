//! Checks the configurations of several sidecars on one machine against each other. Files that are valid by themselves
//! may still conflict: two may use the same port, state folder or name, or contradict each other about a class, a
//! destination or the machine, and all together may exceed a destination's limit or the machine's resources.

use crate::codes::Code;
use crate::document::{Document, host_and_port};
use crate::finding::Finding;
use crate::units::format_time;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, ToSocketAddrs};
use std::path::{Component, Path, PathBuf};

/// Names of the settings below `listen`, each of which claims a port.
pub const LISTENERS: [&str; 3] = ["http", "outcomes", "operators"];

/// True if two listening addresses have the same port and share an IP address, so that only one of them can be bound.
#[must_use]
pub fn ports_overlap(left: &str, right: &str) -> bool {
    match (host_and_port(left), host_and_port(right)) {
        (Some((left_host, left_port)), Some((right_host, right_port))) => {
            left_port == right_port && hosts_overlap(left_host, right_host)
        }
        _ => false,
    }
}

/// Compares each pair of files, and checks the sums over all files. A finding about a pair is added to the later file,
/// and one about a sum to the last file that contributes to it.
pub fn check(documents: &mut [Document]) {
    for later in 1..documents.len() {
        for earlier in 0..later {
            let (earlier_part, later_part) = documents.split_at_mut(later);
            let findings = compare_pair(&earlier_part[earlier], &later_part[0]);
            later_part[0].findings.extend(findings);
        }
    }
    check_shares(documents);
    check_machine_totals(documents);
}

/// The IP addresses of a host; empty if the host can't be resolved.
fn resolve_host(host: &str) -> Vec<IpAddr> {
    if let Ok(address) = host.parse() {
        return vec![address];
    }
    (host, 0)
        .to_socket_addrs()
        .map(|found| found.map(|address| address.ip()).collect())
        .unwrap_or_default()
}

/// True if two hosts are equal or share an IP address. A wildcard address overlaps with all addresses of its family,
/// and `::` also with all IPv4 addresses.
fn hosts_overlap(left: &str, right: &str) -> bool {
    let (left_addresses, right_addresses) = (resolve_host(left), resolve_host(right));
    let unmapped = |address: &IpAddr| match address {
        IpAddr::V6(address) => address
            .to_ipv4_mapped()
            .map_or(IpAddr::V6(*address), IpAddr::V4),
        address => *address,
    };
    left == right
        || left_addresses.iter().any(|left_address| {
            right_addresses.iter().any(|right_address| {
                // on most machines a socket on [::] also accepts IPv4 connections
                let is_wildcard = |address: &IpAddr| address.is_unspecified();
                let same_family = left_address.is_ipv4() == right_address.is_ipv4();
                unmapped(left_address) == unmapped(right_address)
                    || (is_wildcard(left_address) && (same_family || left_address.is_ipv6()))
                    || (is_wildcard(right_address) && (same_family || right_address.is_ipv6()))
            })
        })
}

/// Resolves a path to its canonical form, following symbolic links. If the path doesn't exist, its existing part is
/// resolved, and `.` and `..` are removed from the rest.
#[must_use]
pub fn resolve_links(path: &Path) -> PathBuf {
    if let Ok(resolved) = path.canonicalize() {
        return resolved;
    }
    match (path.parent(), path.file_name()) {
        (Some(parent), Some(name)) if parent != Path::new("") => resolve_links(parent).join(name),
        _ => {
            let mut resolved = std::env::current_dir().unwrap_or_default();
            for part in path.components() {
                match part {
                    Component::ParentDir => _ = resolved.pop(),
                    Component::CurDir => {}
                    other => resolved.push(other),
                }
            }
            resolved
        }
    }
}

/// Compares two files, and returns findings whose first location is in the later one.
fn compare_pair(earlier: &Document, later: &Document) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (later_name, earlier_name) in LISTENERS.iter().flat_map(|later_name| {
        LISTENERS
            .iter()
            .map(move |earlier_name| (later_name, earlier_name))
    }) {
        let (later_path, earlier_path) = (["listen", later_name], ["listen", earlier_name]);
        let (Some(later_value), Some(earlier_value)) =
            (later.text_of(&later_path), earlier.text_of(&earlier_path))
        else {
            continue;
        };
        if ports_overlap(&earlier_value, &later_value) {
            let later_file_label = if earlier_value == later_value {
                "the same port".to_string()
            } else {
                format!("the same port as {earlier_value}")
            };
            let locations = vec![
                later.location(later.span(&later_path), later_file_label),
                earlier.location(earlier.span(&earlier_path), "claimed first here"),
            ];
            findings.push(Finding {
                code: Code::PortConflict,
                locations,
                help: None,
            });
        }
    }
    let mut add = |code, path: &[&str], later_file_label: String, earlier_file_label: String| {
        let locations = vec![
            later.location(later.span(path), later_file_label),
            earlier.location(earlier.span(path), earlier_file_label),
        ];
        findings.push(Finding {
            code,
            locations,
            help: None,
        });
    };
    if let (Some(earlier_value), Some(later_value)) =
        (earlier.path_of(&["state"]), later.path_of(&["state"]))
        && resolve_links(&earlier_value) == resolve_links(&later_value)
    {
        let as_written = |document: &Document| document.text_of(&["state"]).unwrap_or_default();
        let later_file_label = match as_written(earlier) == as_written(later) {
            true => "the same folder".to_string(),
            false => format!("the same folder as {}", as_written(earlier)),
        };
        add(
            Code::SharedStateFolder,
            &["state"],
            later_file_label,
            "claimed first here".into(),
        );
    }
    let name = |document: &Document| document.text_of(&["name"]);
    if name(earlier).is_some() && name(earlier) == name(later) {
        add(
            Code::DuplicateName,
            &["name"],
            "the same name".into(),
            "given first here".into(),
        );
    }
    let classes: Vec<String> = later.table_names("class");
    for class in earlier
        .table_names("class")
        .iter()
        .filter(|class| classes.contains(class))
    {
        let path = ["class", class, "effect"];
        let (earlier_value, later_value) = (earlier.text_of(&path), later.text_of(&path));
        if earlier_value.is_some() && later_value.is_some() && earlier_value != later_value {
            add(
                Code::EffectsDiffer,
                &path,
                later_value.unwrap_or_default(),
                earlier_value.unwrap_or_default(),
            );
        }
    }
    for (earlier_name, later_name) in common_destinations(earlier, later) {
        let (later_path, earlier_path) = (
            ["destination", &later_name, "window"],
            ["destination", &earlier_name, "window"],
        );
        if earlier.explicit_value(&earlier_path).is_some()
            && later.explicit_value(&later_path).is_some()
            && earlier.time(&earlier_path) != later.time(&later_path)
        {
            let locations = vec![
                later.location(
                    later.span(&later_path),
                    format_time(later.time(&later_path)),
                ),
                earlier.location(
                    earlier.span(&earlier_path),
                    format_time(earlier.time(&earlier_path)),
                ),
            ];
            findings.push(Finding {
                code: Code::WindowsDiffer,
                locations,
                help: None,
            });
        }
        let (later_path, earlier_path) = (
            ["destination", &later_name, "limit"],
            ["destination", &earlier_name, "limit"],
        );
        let (later_limit, earlier_limit) = (
            later.number_of(&later_path),
            earlier.number_of(&earlier_path),
        );
        if earlier.explicit_value(&earlier_path).is_some()
            && later.explicit_value(&later_path).is_some()
            && (later_limit - earlier_limit).abs() > 1e-9
        {
            let locations = vec![
                later.location(later.span(&later_path), format!("{later_limit} a second")),
                earlier.location(
                    earlier.span(&earlier_path),
                    format!("{earlier_limit} a second"),
                ),
            ];
            findings.push(Finding {
                code: Code::LimitsDiffer,
                locations,
                help: None,
            });
        }
        let (later_path, earlier_path) = (
            ["destination", &later_name, "endpoints"],
            ["destination", &earlier_name, "endpoints"],
        );
        let address_set = |list: &[(String, _)]| {
            list.iter()
                .map(|(address, _)| address.clone())
                .collect::<BTreeSet<_>>()
        };
        let (later_addresses, earlier_addresses) = (
            address_set(later.list(&later_path)),
            address_set(earlier.list(&earlier_path)),
        );
        if !later_addresses.is_empty()
            && !earlier_addresses.is_empty()
            && later_addresses != earlier_addresses
        {
            let differing: Vec<&String> = later_addresses
                .symmetric_difference(&earlier_addresses)
                .take(3)
                .collect();
            let label = differing
                .into_iter()
                .cloned()
                .collect::<Vec<_>>()
                .join(", ");
            let locations = vec![
                later.location(
                    later.span(&later_path),
                    format!("in one list only: {label}"),
                ),
                earlier.location(earlier.span(&earlier_path), "the other list"),
            ];
            findings.push(Finding {
                code: Code::EndpointsDiffer,
                locations,
                help: None,
            });
        }
    }
    let machine_values = |document: &Document| {
        let given = |name: &'static str| {
            document
                .explicit_value(&["machine", name])
                .map(|found| found.value.clone())
        };
        ["memory", "sockets", "cores"].map(given)
    };
    for ((earlier_value, later_value), name) in machine_values(earlier)
        .into_iter()
        .zip(machine_values(later))
        .zip(["memory", "sockets", "cores"])
    {
        if earlier_value.is_some() && later_value.is_some() && earlier_value != later_value {
            let path = ["machine", name];
            let locations = vec![
                later.location(later.span(&path), "another machine"),
                earlier.location(earlier.span(&path), "than this one"),
            ];
            findings.push(Finding {
                code: Code::MachineDiffers,
                locations,
                help: None,
            });
        }
    }
    findings
}

/// Destinations whose number is in both files, as pairs of their names in the earlier and the later file.
fn common_destinations(earlier: &Document, later: &Document) -> Vec<(String, String)> {
    let ids = |document: &Document| {
        let with_id = |name: String| {
            let id = document
                .explicit_value(&["destination", &name, "id"])
                .map(|_| document.count(&["destination", &name, "id"]))?;
            Some((id, name))
        };
        document
            .table_names("destination")
            .into_iter()
            .filter_map(with_id)
            .collect::<BTreeMap<u64, String>>()
    };
    let earlier_names = ids(earlier);
    ids(later)
        .into_iter()
        .filter_map(|(id, name)| Some((earlier_names.get(&id)?.clone(), name)))
        .collect()
}

/// Adds a finding for each destination whose shares in several files sum to more than 1. A share counts only in a file
/// that sets the destination's `limit`.
fn check_shares(documents: &mut [Document]) {
    let mut sums: BTreeMap<u64, (f64, Vec<(usize, String)>)> = BTreeMap::new();
    for (index, document) in documents.iter().enumerate() {
        for name in document.table_names("destination") {
            if document
                .explicit_value(&["destination", &name, "limit"])
                .is_some()
            {
                let id = document.count(&["destination", &name, "id"]);
                let entry = sums.entry(id).or_default();
                entry.0 += document.number_of(&["destination", &name, "share"]);
                entry.1.push((index, name));
            }
        }
    }
    for (sum, share_settings) in sums
        .into_values()
        .filter(|(sum, share_settings)| *sum > 1.0 + 1e-9 && share_settings.len() > 1)
    {
        let locations: Vec<_> = share_settings
            .iter()
            .rev()
            .map(|(index, name)| {
                let document = &documents[*index];
                let share = document.number_of(&["destination", name, "share"]);
                document.location(
                    document.span(&["destination", name, "share"]),
                    format!("a share of {share}"),
                )
            })
            .collect();
        let help = Some(format!(
            "the shares come to {sum:.2}; together they may be 1 at most"
        ));
        if let Some((last, _)) = share_settings.last() {
            documents[*last].findings.push(Finding {
                code: Code::SharesExceedLimit,
                locations,
                help,
            });
        }
    }
}

/// Adds a finding for memory, file descriptors and cores if the files' limits sum to more than the machine has. If the
/// files state different amounts for the machine, the greatest one is used.
fn check_machine_totals(documents: &mut [Document]) {
    let format_amount = |value: f64, is_bytes: bool| {
        if is_bytes {
            format!("{:.1}MB", value / 1e6)
        } else {
            format!("{value}")
        }
    };
    for (name, code) in [
        ("memory", Code::MachineMemoryExceeded),
        ("sockets", Code::MachineDescriptorsExceeded),
        ("cores", Code::MachineCoresExceeded),
    ] {
        let amount = |document: &Document, group: &'static str| match name {
            "memory" => document.size(&[group, name]) as f64,
            "sockets" => document.count(&[group, name]) as f64,
            _ => document.number_of(&[group, name]),
        };
        let machine_amount = documents
            .iter()
            .map(|document| amount(document, "machine"))
            .fold(0.0, f64::max);
        let sum: f64 = documents
            .iter()
            .map(|document| amount(document, "limits"))
            .sum();
        if machine_amount > 0.0 && sum > machine_amount + 1e-9 {
            let is_bytes = name == "memory";
            let locations: Vec<_> = documents
                .iter()
                .map(|document| {
                    document.location(
                        document.span(&["limits", name]),
                        format_amount(amount(document, "limits"), is_bytes),
                    )
                })
                .collect();
            let help = Some(format!(
                "together {}, and the machine has {}",
                format_amount(sum, is_bytes),
                format_amount(machine_amount, is_bytes)
            ));
            if let Some(last) = documents.last_mut() {
                last.findings.push(Finding {
                    code,
                    locations,
                    help,
                });
            }
        }
    }
}
