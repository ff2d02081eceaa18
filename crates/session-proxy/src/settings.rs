//! The settings file of a session proxy, read and checked as a sidecar's is: each finding with a code, a place and what to
//! write instead.

use milletturn_config::codes::Code;
use milletturn_config::document::{Document, host_and_port};
use milletturn_config::fields::{Field, Kind, SettingsTable};
use milletturn_config::neighbours::ports_overlap;
use milletturn_coordination::{Micros, bounds};
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use std::path::Path;

/// The settings that the file may have.
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
        doc: "The session proxy's name, for its log and its status. Two session proxies under one name do no harm.",
    },
    Field {
        path: "listen",
        kind: Kind::Text,
        default: "",
        required: true,
        doc: "Where members reach it: loopback or a private address, since there is no sign-in. Port 0: a free one, told in the log.",
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
        doc: "Connections of members at once. A member that comes when all are open goes to another session proxy.",
    },
];

/// Descriptors that a session proxy needs beside those of its members: calls to the coordinators, files, the runtime's
/// own.
const OTHER_DESCRIPTORS: u64 = 64;

/// The settings of a session proxy, checked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The group's name.
    pub group: String,
    /// The session proxy's own name.
    pub name: String,
    /// The address at which members reach it.
    pub listen: String,
    /// The coordinators' addresses.
    pub coordinators: Vec<String>,
    /// Longest time for which heartbeats are batched.
    pub max_batch_delay: Micros,
    /// Connections of members at once.
    pub max_connections: usize,
}

impl Settings {
    /// The name under which this session proxy logs.
    #[must_use]
    pub fn log_name(&self) -> String {
        format!("session proxy {} of {}", self.name, self.group)
    }
}

/// Reads a file. There are settings if nothing was found wrong with it.
#[must_use]
pub fn read(path: &Path) -> (Document, Option<Settings>) {
    checked(Document::read_with(path, SettingsTable(FIELDS)))
}

/// Reads a file's text; as [`read`].
#[must_use]
pub fn parse(path: &Path, text: &str) -> (Document, Option<Settings>) {
    checked(Document::parse_with(
        path,
        text.to_string(),
        SettingsTable(FIELDS),
    ))
}

fn checked(mut document: Document) -> (Document, Option<Settings>) {
    // contradictions are looked for only between values that are sound by themselves
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
    let is_sound = document.findings.is_empty();
    (document, is_sound.then_some(settings))
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
            let label = "named before".to_string();
            document.add(Code::DuplicateCoordinator, Some(span.clone()), label, None);
        }
        if ports_overlap(address, &settings.listen) {
            let label = format!("`listen` is {}", settings.listen);
            document.add(Code::ProxyIsCoordinator, Some(span.clone()), label, None);
        }
    }
    if !matches!(listed.len(), 1 | 3 | 5 | 7) {
        let label = format!("{} are named", listed.len());
        let help = Some("name all stewards of the group".to_string());
        let span = document.span(&["stewards"]);
        document.add(Code::InvalidCoordinatorCount, span, label, help);
    }
}

/// Raises the process's limit of descriptors to what the connections need; adds a finding to the document if its hard
/// limit does not allow that.
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
        // a limit that can't be raised within its own hard limit shows at the accept, which logs it
        let _ = setrlimit(Resource::Nofile, raised);
    }
}
