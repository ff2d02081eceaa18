//! The settings file of a session proxy. It is read and checked in the same way as the settings file of a sidecar: each
//! error is reported with a code, a position in the file and, where possible, a suggested correction.

use milletturn_config::codes::Code;
use milletturn_config::document::{Document, host_and_port};
use milletturn_config::fields::{Field, Kind, SettingsTable};
use milletturn_config::neighbours::ports_overlap;
use milletturn_coordination::{Micros, bounds};
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use std::path::Path;

/// All settings that the file may contain, with their kinds, bounds and defaults.
pub const FIELDS: &[Field] = &[
    Field {
        path: "group",
        kind: Kind::Name,
        default: "",
        required: true,
        doc: "The group's name, as in its coordinators' files.",
    },
    Field {
        path: "name",
        kind: Kind::Name,
        default: "",
        required: true,
        doc: "The session proxy's name, for its log and its status. Two session proxies may have the same name.",
    },
    Field {
        path: "listen",
        kind: Kind::Text,
        default: "",
        required: true,
        doc: "The address on which members reach it: loopback or private, since there is no authentication. Port 0 selects a free port, which is logged.",
    },
    Field {
        path: "stewards",
        kind: Kind::Addresses,
        default: "",
        required: true,
        doc: "The addresses of all coordinators of the group.",
    },
    Field {
        path: "gather",
        kind: Kind::Time(10_000, 1_000_000),
        default: "\"100ms\"",
        required: false,
        doc: "Longest time for which heartbeats are batched; never more than a 64th of the lease.",
    },
    Field {
        path: "places",
        kind: Kind::Count(16, bounds::MAX_PROXY_WAITERS as u64),
        default: "4096",
        required: false,
        doc: "Largest number of open connections of members. A member whose connection is rejected tries another session proxy.",
    },
];

/// File descriptors that a session proxy needs in addition to its members' connections: for calls to the coordinators,
/// files and the runtime.
const OTHER_DESCRIPTORS: u64 = 64;

/// The checked settings of a session proxy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The group's name; calls for other groups are rejected.
    pub group: String,
    /// The session proxy's name in its log lines and its status.
    pub name: String,
    /// The address on which the session proxy listens for members; port 0 stands for any free port.
    pub listen: String,
    /// The addresses of all coordinators of the group.
    pub coordinators: Vec<String>,
    /// Longest time for which a heartbeat is delayed to batch it with others.
    pub max_batch_delay: Micros,
    /// Limit on open connections of members.
    pub max_connections: usize,
}

impl Settings {
    /// The prefix of each log line of this session proxy.
    #[must_use]
    pub fn log_name(&self) -> String {
        format!("session proxy {} of {}", self.name, self.group)
    }
}

/// Reads and checks a settings file. The settings are `None` if any error was found; the document lists the errors.
#[must_use]
pub fn read(path: &Path) -> (Document, Option<Settings>) {
    checked(Document::read_with(path, SettingsTable(FIELDS)))
}

/// Checks the text of the settings file at `path`, as [`read`] does.
#[must_use]
pub fn parse(path: &Path, text: &str) -> (Document, Option<Settings>) {
    checked(Document::parse_with(
        path,
        text.to_string(),
        SettingsTable(FIELDS),
    ))
}

fn checked(mut document: Document) -> (Document, Option<Settings>) {
    // contradictions between values are checked only if each value is valid by itself
    if !document.findings.is_empty() {
        return (document, None);
    }
    let text = |path: &str| document.text_of(&[path]).unwrap_or_default();
    let coordinators = document.list(&["stewards"]);
    let settings = Settings {
        group: text("group"),
        name: text("name"),
        listen: text("listen"),
        coordinators: coordinators
            .iter()
            .map(|(address, _)| address.clone())
            .collect(),
        max_batch_delay: Micros(u64::try_from(document.time(&["gather"])).unwrap_or(0)),
        max_connections: usize::try_from(document.count(&["places"])).unwrap_or(0),
    };
    check_listen(&mut document, &settings);
    check_coordinators(&mut document, &settings);
    let is_valid = document.findings.is_empty();
    (document, is_valid.then_some(settings))
}

fn check_listen(document: &mut Document, settings: &Settings) {
    if host_and_port(&settings.listen).is_none() && !settings.listen.ends_with(":0") {
        let label = "a host or IP address, a colon and a port".to_string();
        let help = Some("such as \"10.0.0.9:7401\"".to_string());
        document.add(
            Code::InvalidAddress,
            document.span(&["listen"]),
            label,
            help,
        );
    }
}

fn check_coordinators(document: &mut Document, settings: &Settings) {
    let listed = document.list(&["stewards"]).to_vec();
    for (index, (address, span)) in listed.iter().enumerate() {
        if listed[..index].iter().any(|(before, _)| before == address) {
            let label = "listed before".to_string();
            document.add(Code::DuplicateCoordinator, Some(span.clone()), label, None);
        }
        if ports_overlap(address, &settings.listen) {
            let label = format!("`listen` is {}", settings.listen);
            document.add(Code::ProxyIsCoordinator, Some(span.clone()), label, None);
        }
    }
    if !matches!(listed.len(), 1 | 3 | 5 | 7) {
        let label = format!("{} are listed", listed.len());
        let help = Some("list all stewards of the group".to_string());
        let span = document.span(&["stewards"]);
        document.add(Code::InvalidCoordinatorCount, span, label, help);
    }
}

/// Raises the process's soft limit on file descriptors to what the connections need. Adds an error to the document if
/// the hard limit is too low.
pub fn reserve_descriptors(document: &mut Document, settings: &Settings) {
    let needed = settings.max_connections as u64 + OTHER_DESCRIPTORS;
    let Rlimit { current, maximum } = getrlimit(Resource::Nofile);
    if let Some(allowed) = maximum.filter(|maximum| *maximum < needed) {
        let label = format!("{needed} descriptors in all, {allowed} are allowed");
        let span = document.span(&["places"]);
        document.add(Code::DescriptorLimitTooLow, span, label, None);
    } else if current.is_some_and(|current| current < needed) {
        let raised = Rlimit {
            current: Some(needed),
            maximum,
        };
        // if the limit can't be raised although the hard limit allows it, accepting connections fails and is logged
        let _ = setrlimit(Resource::Nofile, raised);
    }
}
