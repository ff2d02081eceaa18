//! Files together: what several applications on one machine claim, each valid alone.

use crate::codes::Code;
use crate::document::{Document, host_and_port};
use crate::finding::Finding;
use crate::units::format_time;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, ToSocketAddrs};
use std::path::{Component, Path, PathBuf};

/// The settings that claim a port.
pub const LISTENERS: [&str; 3] = ["http", "outcomes", "operators"];

/// True if two listeners can't both be had.
#[must_use]
pub fn ports_overlap(left: &str, right: &str) -> bool {
    match (host_and_port(left), host_and_port(right)) {
        (Some((left_host, left_port)), Some((right_host, right_port))) => {
            left_port == right_port && overlap(left_host, right_host)
        }
        _ => false,
    }
}

/// Checks files as neighbours. Findings go to the later file of each pair.
pub fn check(documents: &mut [Document]) {
    for later in 1..documents.len() {
        for earlier in 0..later {
            let (before, after) = documents.split_at_mut(later);
            let found = pair(&before[earlier], &after[0]);
            after[0].findings.extend(found);
        }
    }
    shares(documents);
    machine(documents);
}

/// The addresses that a host means on this machine; none for one that can't be resolved.
fn addresses(host: &str) -> Vec<IpAddr> {
    if let Ok(address) = host.parse() {
        return vec![address];
    }
    (host, 0)
        .to_socket_addrs()
        .map(|found| found.map(|address| address.ip()).collect())
        .unwrap_or_default()
}

fn overlap(left: &str, right: &str) -> bool {
    let (left_all, right_all) = (addresses(left), addresses(right));
    let plain = |address: &IpAddr| match address {
        IpAddr::V6(address) => address
            .to_ipv4_mapped()
            .map_or(IpAddr::V6(*address), IpAddr::V4),
        other => *other,
    };
    left == right
        || left_all.iter().any(|one| {
            right_all.iter().any(|other| {
                // [::] takes IPv4 too on most machines
                let any = |address: &IpAddr| address.is_unspecified();
                let family = one.is_ipv4() == other.is_ipv4();
                plain(one) == plain(other)
                    || (any(one) && (family || one.is_ipv6()))
                    || (any(other) && (family || other.is_ipv6()))
            })
        })
}

/// Where a path leads: links followed as far as it exists, the rest by its words.
#[must_use]
pub fn resolve_links(path: &Path) -> PathBuf {
    if let Ok(real) = path.canonicalize() {
        return real;
    }
    match (path.parent(), path.file_name()) {
        (Some(parent), Some(name)) if parent != Path::new("") => resolve_links(parent).join(name),
        _ => {
            let mut plain = std::env::current_dir().unwrap_or_default();
            for part in path.components() {
                match part {
                    Component::ParentDir => _ = plain.pop(),
                    Component::CurDir => {}
                    other => plain.push(other),
                }
            }
            plain
        }
    }
}

fn pair(before: &Document, after: &Document) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (mine, theirs) in LISTENERS
        .iter()
        .flat_map(|mine| LISTENERS.iter().map(move |theirs| (mine, theirs)))
    {
        let (path, other) = (["listen", mine], ["listen", theirs]);
        let (Some(right), Some(left)) = (after.text_of(&path), before.text_of(&other)) else {
            continue;
        };
        if ports_overlap(&left, &right) {
            let here = if left == right {
                "the same port".to_string()
            } else {
                format!("the same port as {left}")
            };
            let locations = vec![
                after.location(after.span(&path), here),
                before.location(before.span(&other), "claimed first here"),
            ];
            findings.push(Finding {
                code: Code::PortConflict,
                locations,
                help: None,
            });
        }
    }
    let mut add = |code, path: &[&str], here: String, there: String| {
        let locations = vec![
            after.location(after.span(path), here),
            before.location(before.span(path), there),
        ];
        findings.push(Finding {
            code,
            locations,
            help: None,
        });
    };
    if let (Some(left), Some(right)) = (before.path_of(&["state"]), after.path_of(&["state"]))
        && resolve_links(&left) == resolve_links(&right)
    {
        let written = |document: &Document| document.text_of(&["state"]).unwrap_or_default();
        let here = match written(before) == written(after) {
            true => "the same folder".to_string(),
            false => format!("the same folder as {}", written(before)),
        };
        add(
            Code::SharedStateFolder,
            &["state"],
            here,
            "claimed first here".into(),
        );
    }
    let name = |document: &Document| document.text_of(&["name"]);
    if name(before).is_some() && name(before) == name(after) {
        add(
            Code::DuplicateName,
            &["name"],
            "the same name".into(),
            "given first here".into(),
        );
    }
    let classes: Vec<String> = after.table_names("class");
    for class in before
        .table_names("class")
        .iter()
        .filter(|class| classes.contains(class))
    {
        let path = ["class", class, "effect"];
        let (left, right) = (before.text_of(&path), after.text_of(&path));
        if left.is_some() && right.is_some() && left != right {
            add(
                Code::EffectsDiffer,
                &path,
                right.unwrap_or_default(),
                left.unwrap_or_default(),
            );
        }
    }
    for (left, right) in common_destinations(before, after) {
        let (at, there) = (
            ["destination", &right, "window"],
            ["destination", &left, "window"],
        );
        if before.explicit_value(&there).is_some()
            && after.explicit_value(&at).is_some()
            && before.time(&there) != after.time(&at)
        {
            let locations = vec![
                after.location(after.span(&at), format_time(after.time(&at))),
                before.location(before.span(&there), format_time(before.time(&there))),
            ];
            findings.push(Finding {
                code: Code::WindowsDiffer,
                locations,
                help: None,
            });
        }
        let (at, there) = (
            ["destination", &right, "limit"],
            ["destination", &left, "limit"],
        );
        let (limit, other) = (after.number_of(&at), before.number_of(&there));
        if before.explicit_value(&there).is_some()
            && after.explicit_value(&at).is_some()
            && (limit - other).abs() > 1e-9
        {
            let locations = vec![
                after.location(after.span(&at), format!("{limit} a second")),
                before.location(before.span(&there), format!("{other} a second")),
            ];
            findings.push(Finding {
                code: Code::LimitsDiffer,
                locations,
                help: None,
            });
        }
        let (at, there) = (
            ["destination", &right, "endpoints"],
            ["destination", &left, "endpoints"],
        );
        let set = |list: &[(String, _)]| {
            list.iter()
                .map(|(address, _)| address.clone())
                .collect::<BTreeSet<_>>()
        };
        let (here, other) = (set(after.list(&at)), set(before.list(&there)));
        if !here.is_empty() && !other.is_empty() && here != other {
            let differ: Vec<&String> = here.symmetric_difference(&other).take(3).collect();
            let label = differ.into_iter().cloned().collect::<Vec<_>>().join(", ");
            let locations = vec![
                after.location(after.span(&at), format!("in one list only: {label}")),
                before.location(before.span(&there), "the other list"),
            ];
            findings.push(Finding {
                code: Code::EndpointsDiffer,
                locations,
                help: None,
            });
        }
    }
    let stated = |document: &Document| {
        let given = |name: &'static str| {
            document
                .explicit_value(&["machine", name])
                .map(|found| found.value.clone())
        };
        ["memory", "sockets", "cores"].map(given)
    };
    for ((left, right), name) in stated(before)
        .into_iter()
        .zip(stated(after))
        .zip(["memory", "sockets", "cores"])
    {
        if left.is_some() && right.is_some() && left != right {
            let path = ["machine", name];
            let locations = vec![
                after.location(after.span(&path), "another machine"),
                before.location(before.span(&path), "than this one"),
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

/// Destinations with one number in both files, by their names there.
fn common_destinations(before: &Document, after: &Document) -> Vec<(String, String)> {
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
    let theirs = ids(before);
    ids(after)
        .into_iter()
        .filter_map(|(id, name)| Some((theirs.get(&id)?.clone(), name)))
        .collect()
}

fn shares(documents: &mut [Document]) {
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
    for (sum, users) in sums
        .into_values()
        .filter(|(sum, users)| *sum > 1.0 + 1e-9 && users.len() > 1)
    {
        let locations: Vec<_> = users
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
        if let Some((last, _)) = users.last() {
            documents[*last].findings.push(Finding {
                code: Code::SharesExceedLimit,
                locations,
                help,
            });
        }
    }
}

fn machine(documents: &mut [Document]) {
    let text = |value: f64, bytes: bool| {
        if bytes {
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
        let of = |document: &Document, group: &'static str| match name {
            "memory" => document.size(&[group, name]) as f64,
            "sockets" => document.count(&[group, name]) as f64,
            _ => document.number_of(&[group, name]),
        };
        let most = documents
            .iter()
            .map(|document| of(document, "machine"))
            .fold(0.0, f64::max);
        let sum: f64 = documents
            .iter()
            .map(|document| of(document, "limits"))
            .sum();
        if most > 0.0 && sum > most + 1e-9 {
            let bytes = name == "memory";
            let locations: Vec<_> = documents
                .iter()
                .map(|document| {
                    document.location(
                        document.span(&["limits", name]),
                        text(of(document, "limits"), bytes),
                    )
                })
                .collect();
            let help = Some(format!(
                "together {}, and the machine has {}",
                text(sum, bytes),
                text(most, bytes)
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
