//! Checks one file as a whole for contradictions between settings and for budgets that are exceeded. These checks don't
//! access the state folder and don't bind ports, but they resolve host names to compare the addresses of listeners.

use crate::codes::Code;
use crate::document::Document;
use crate::neighbours::{LISTENERS, ports_overlap};
use crate::units::{format_size, format_time};
use std::collections::BTreeMap;

/// Backoff before the first retry of a message, in microseconds, as in the decision module; it doubles with each retry.
const INITIAL_RETRY_BACKOFF_US: i64 = 150_000;
/// Longest backoff before a retry, in microseconds, as in the decision module.
const MAX_RETRY_BACKOFF_US: i64 = 2_000_000;
/// File descriptors for everything except connections from clients and to endpoints: standard streams, epoll, signals,
/// listener, journal, endpoints file, outcome log, dead-letter store and its commands.
const OTHER_DESCRIPTORS: u64 = 34;
/// File descriptors of the admin listener, if one is configured.
pub const ADMIN_DESCRIPTORS: u64 = 14;
/// Share of the descriptors beyond [`OTHER_DESCRIPTORS`] that is given to connections from clients.
const CLIENT_DESCRIPTOR_SHARE: f64 = 0.4;
/// Share of the descriptors beyond [`OTHER_DESCRIPTORS`] that is left unused.
const FREE_DESCRIPTOR_SHARE: f64 = 0.1;
/// Memory of the process without messages and connections.
const PROCESS_MEMORY_BYTES: u64 = 8_000_000;
/// Memory of a pending message in addition to its body.
const MESSAGE_OVERHEAD_BYTES: u64 = 4_000;
/// Memory of one connection's buffers.
const CONNECTION_BUFFER_BYTES: u64 = 24_000;
/// Journal space for one message in addition to its body: the records of the message, its attempts and its end.
const JOURNAL_OVERHEAD_BYTES: u64 = 1_200;
/// Journal files that exist at once: the old and the new one, while the journal is compacted.
const JOURNAL_FILE_COUNT: u64 = 2;
/// Disk space of the dead-letter store as a multiple of its size limit: the store, the pages that a transaction copies,
/// and one damaged file that was set aside.
const RESERVED_STORE_SIZES: u64 = 3;

/// A resource limit and the estimated use of the resource, for `config show` and for findings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Budget {
    /// Path of the setting that limits the resource, such as `limits.memory`.
    pub setting: &'static str,
    /// Names and sizes of the parts of the estimate.
    pub parts: Vec<(&'static str, u64)>,
    /// Value of the setting.
    pub limit: u64,
    /// True if the amounts are bytes, false if they are counts.
    pub is_bytes: bool,
}

impl Budget {
    /// The sum of the parts.
    #[must_use]
    pub fn sum(&self) -> u64 {
        self.parts
            .iter()
            .map(|(_, size)| size)
            .fold(0, |sum, size| sum.saturating_add(*size))
    }

    /// The parts, their sum and the limit, such as `calls 40 + rest 34 = 74 of 256`.
    #[must_use]
    pub fn description(&self) -> String {
        let format_amount = |size: u64| {
            if self.is_bytes {
                format_megabytes(size)
            } else {
                size.to_string()
            }
        };
        let parts: Vec<String> = self
            .parts
            .iter()
            .map(|(name, size)| format!("{name} {}", format_amount(*size)))
            .collect();
        format!(
            "{} = {} of {}",
            parts.join(" + "),
            format_amount(self.sum()),
            format_amount(self.limit)
        )
    }
}

fn format_megabytes(bytes: u64) -> String {
    format!("{:.1}MB", bytes as f64 / 1e6)
}

/// The budgets of file descriptors, memory and disk space.
#[must_use]
pub fn budgets(document: &Document) -> [Budget; 3] {
    let (max_calls, max_pending) = (
        document.count(&["limits", "calls"]),
        document.count(&["limits", "held"]),
    );
    let (max_descriptors, body_bytes) = (
        document.count(&["limits", "sockets"]),
        document.size(&["load", "body"]),
    );
    let shared_descriptors = max_descriptors.saturating_sub(OTHER_DESCRIPTORS) as f64;
    let client_descriptors = (shared_descriptors * CLIENT_DESCRIPTOR_SHARE) as u64;
    let store_bytes = if document.flag(&["undelivered", "keep"]) {
        document.size(&["undelivered", "size"])
    } else {
        0
    };
    let outcome_bytes = document.size(&["outcomes", "size"]);
    let admin_listener = document
        .explicit_value(&["listen", "operators"])
        .map(|_| ("operators", ADMIN_DESCRIPTORS));
    let journal_bytes = max_pending
        .saturating_mul(body_bytes.saturating_add(JOURNAL_OVERHEAD_BYTES))
        .saturating_mul(JOURNAL_FILE_COUNT);
    [
        Budget {
            setting: "limits.sockets",
            parts: [
                ("calls", max_calls),
                ("application", client_descriptors),
                ("free", (shared_descriptors * FREE_DESCRIPTOR_SHARE) as u64),
                ("rest", OTHER_DESCRIPTORS),
            ]
            .into_iter()
            .chain(admin_listener)
            .collect(),
            limit: max_descriptors,
            is_bytes: false,
        },
        Budget {
            setting: "limits.memory",
            parts: vec![
                ("process", PROCESS_MEMORY_BYTES),
                (
                    "messages",
                    max_pending.saturating_mul(body_bytes.saturating_add(MESSAGE_OVERHEAD_BYTES)),
                ),
                (
                    "connections",
                    max_calls
                        .saturating_add(client_descriptors)
                        .saturating_mul(CONNECTION_BUFFER_BYTES),
                ),
                ("outcomes", outcome_bytes / 2),
            ],
            limit: document.size(&["limits", "memory"]),
            is_bytes: true,
        },
        Budget {
            setting: "limits.disk",
            parts: vec![
                ("journal", journal_bytes),
                ("outcomes", outcome_bytes.saturating_mul(2)),
                (
                    "undelivered",
                    store_bytes.saturating_mul(RESERVED_STORE_SIZES),
                ),
            ],
            limit: document.size(&["limits", "disk"]),
            is_bytes: true,
        },
    ]
}

/// Checks a document whose settings are each valid by themselves, and adds findings for contradictions between them.
pub fn check(document: &mut Document) {
    let labels = [
        (0, "messages are handed in at this port"),
        (1, "outcomes are read at this port"),
    ];
    for (index, label) in labels {
        for later in &LISTENERS[index + 1..] {
            let addresses =
                [LISTENERS[index], later].map(|name| document.text_of(&["listen", name]));
            let [Some(first), Some(second)] = addresses else {
                continue;
            };
            if ports_overlap(&first, &second) {
                let span = document.span(&["listen", later]);
                document.add(Code::PortConflict, span, label.into(), None);
            }
        }
    }
    check_classes(document);
    check_destinations(document);
    check_redrive_rules(document);
    check_load(document);
}

fn check_redrive_rules(document: &mut Document) {
    let classes = document.table_names("class");
    let ids: Vec<u64> = document
        .table_names("destination")
        .iter()
        .map(|name| document.count(&["destination", name, "id"]))
        .collect();
    let has_endpoints_file = document.explicit_value(&["endpoints", "file"]).is_some();
    for rule in document.table_names("resend") {
        let setting = |field: &'static str| ["resend", rule.as_str(), field];
        if !document.flag(&["undelivered", "keep"]) {
            let help = Some("[undelivered]\nkeep = true".to_string());
            let label = "nothing is kept that it could send again".to_string();
            document.add(
                Code::UnusedRedriveRule,
                document.span(&setting("class")),
                label,
                help,
            );
        }
        if let Some(class) = document.text_of(&setting("class")) {
            check_class_exists(document, &setting("class"), &class, &classes);
        }
        let id = document
            .explicit_value(&setting("destination"))
            .map(|_| document.count(&setting("destination")));
        if let Some(id) = id.filter(|id| !has_endpoints_file && !ids.contains(id)) {
            let label = format!("no destination has the number {id}");
            document.add(
                Code::UnknownDestination,
                document.span(&setting("destination")),
                label,
                None,
            );
        }
    }
}

fn check_class_exists(document: &mut Document, path: &[&str], class: &String, classes: &[String]) {
    if !classes.contains(class) {
        let closest = classes
            .iter()
            .min_by_key(|known| strsim::damerau_levenshtein(known, class));
        let help = closest.map(|known| format!("did you mean \"{known}\"?"));
        document.add(
            Code::UnknownClass,
            document.span(path),
            "no such class".into(),
            help,
        );
    }
}

fn check_classes(document: &mut Document) {
    let names = document.table_names("class");
    if names.is_empty() {
        document.add(
            Code::NoClass,
            None,
            "no table [class.NAME]".into(),
            Some("[class.notice]".into()),
        );
        return;
    }
    let (call, attempts) = (
        document.time(&["load", "call"]),
        document.count(&["retry", "attempts"]),
    );
    let mut shortest_deadline = i64::MAX;
    let mut max_possible_attempts = 0;
    for name in &names {
        let setting = |field: &'static str| ["class", name.as_str(), field];
        let (objective, deadline) = (
            document.time(&setting("aim")),
            document.time(&setting("deadline")),
        );
        let (deduplication_window, effect) = (
            document.time(&setting("window")),
            document.text_of(&setting("effect")),
        );
        shortest_deadline = shortest_deadline.min(deadline);
        max_possible_attempts = max_possible_attempts.max(max_attempts_within(deadline, call));
        if objective > deadline {
            let help = format!("aim = \"{}\" at most", format_time(deadline));
            let label = format!("the deadline is {}", format_time(deadline));
            document.add(
                Code::ObjectiveAfterDeadline,
                document.span(&setting("aim")),
                label,
                Some(help),
            );
        } else if objective == deadline && document.explicit_value(&setting("late_worth")).is_some()
        {
            let label = format!(
                "nothing can be late: aim and deadline are {}",
                format_time(objective)
            );
            document.add(
                Code::UnusedLateValue,
                document.span(&setting("late_worth")),
                label,
                None,
            );
        }
        let worthless_after = document.time(&setting("worthless_after"));
        if worthless_after > 0 && deadline > worthless_after {
            let label = format!("worth nothing from {} on", format_time(worthless_after));
            let help = format!("deadline = \"{}\"", format_time(worthless_after));
            document.add(
                Code::DeadlineAfterZeroValue,
                document.span(&setting("deadline")),
                label,
                Some(help),
            );
        }
        match effect.as_deref() {
            Some("keyed") if document.explicit_value(&setting("window")).is_none() => {
                let help =
                    Some("window = \"12s\"  # as long as destinations drop repeats".to_string());
                let label = "it is keyed, and has no window".to_string();
                document.add(
                    Code::MissingWindow,
                    document.span(&setting("effect")),
                    label,
                    help,
                );
            }
            Some("keyed") if deadline > deduplication_window && deduplication_window > 0 => {
                let label = format!("the window is {}", format_time(deduplication_window));
                let help = format!(
                    "deadline = \"{}\" at most, or a longer window",
                    format_time(deduplication_window)
                );
                document.add(
                    Code::DeadlineExceedsWindow,
                    document.span(&setting("deadline")),
                    label,
                    Some(help),
                );
            }
            Some(effect @ ("repeatable" | "unsafe"))
                if document.explicit_value(&setting("window")).is_some() =>
            {
                let label = format!("the class is {effect}");
                document.add(
                    Code::UnusedWindow,
                    document.span(&setting("window")),
                    label,
                    None,
                );
            }
            _ => {}
        }
    }
    let all_unsafe = names
        .iter()
        .all(|name| document.text_of(&["class", name, "effect"]).as_deref() == Some("unsafe"));
    if all_unsafe && document.flag(&["retry", "copies"]) {
        let span = document
            .span(&["retry", "copies"])
            .or_else(|| document.span(&["class", &names[0], "effect"]));
        let help = Some("[retry]\ncopies = false".to_string());
        document.add(
            Code::HedgingUnsafeClasses,
            span,
            "every class is unsafe".into(),
            help,
        );
    }
    if attempts > max_possible_attempts && document.explicit_value(&["retry", "attempts"]).is_some()
    {
        let label =
            format!("at most {max_possible_attempts} can start before the longest deadline");
        let span = document.span(&["retry", "attempts"]);
        document.add(
            Code::TooManyAttempts,
            span,
            label,
            Some(format!("attempts = {max_possible_attempts}")),
        );
    }
    let connect_timeout = document.time(&["connections", "dial"]);
    if connect_timeout >= shortest_deadline {
        let label = format!(
            "the shortest deadline is {}",
            format_time(shortest_deadline)
        );
        document.add(
            Code::ConnectTimeoutTooLong,
            document.span(&["connections", "dial"]),
            label,
            None,
        );
    }
}

/// The number of attempts that can start before a deadline, if each takes the time of a usual call and is followed by a
/// backoff; both times are in microseconds. Stops counting at 1,000.
fn max_attempts_within(deadline: i64, call: i64) -> u64 {
    let (mut elapsed, mut backoff, mut attempts) = (0i64, INITIAL_RETRY_BACKOFF_US, 0u64);
    while elapsed < deadline && attempts < 1_000 {
        attempts += 1;
        elapsed = elapsed.saturating_add(call).saturating_add(backoff);
        backoff = (backoff * 2).min(MAX_RETRY_BACKOFF_US);
    }
    attempts
}

fn check_destinations(document: &mut Document) {
    let names = document.table_names("destination");
    let has_endpoints_file = document.explicit_value(&["endpoints", "file"]).is_some();
    if names.is_empty() && !has_endpoints_file {
        let help = Some("[destination.acme]\nid = 7\nendpoints = [\"127.0.0.1:9001\"]".to_string());
        document.add(
            Code::NoDestination,
            None,
            "no table [destination.NAME], and no endpoints.file".into(),
            help,
        );
    }
    let classes = document.table_names("class");
    let mut names_by_id: BTreeMap<u64, String> = BTreeMap::new();
    let mut destinations_by_address: BTreeMap<String, (String, std::ops::Range<usize>)> =
        BTreeMap::new();
    for name in &names {
        let setting = |field: &'static str| ["destination", name.as_str(), field];
        if document.explicit_value(&setting("id")).is_some() {
            let id = document.count(&setting("id"));
            if let Some(other) = names_by_id.insert(id, name.clone()) {
                let first = document.span(&["destination", &other, "id"]);
                let locations = vec![
                    document.location(document.span(&setting("id")), "the same number"),
                    document.location(first, format!("the number of `{other}`")),
                ];
                document.findings.push(crate::finding::Finding {
                    code: Code::DuplicateDestinationId,
                    locations,
                    help: None,
                });
            }
        }
        if document.explicit_value(&setting("endpoints")).is_none() && !has_endpoints_file {
            let label = "nothing can be delivered here".to_string();
            let help = Some("endpoints = [\"127.0.0.1:9001\"]".to_string());
            document.add(
                Code::NoEndpoint,
                document.span(&setting("endpoints")),
                label,
                help,
            );
        }
        let list: Vec<_> = document.list(&setting("endpoints")).to_vec();
        for (address, span) in list {
            if let Some((other, first)) =
                destinations_by_address.insert(address, (name.clone(), span.clone()))
            {
                let locations = vec![
                    document.location(Some(span), "here again"),
                    document.location(Some(first), format!("an endpoint of `{other}`")),
                ];
                document.findings.push(crate::finding::Finding {
                    code: Code::DuplicateEndpoint,
                    locations,
                    help: None,
                });
            }
        }
        if let Some(class) = document.text_of(&setting("classes")) {
            check_class_exists(document, &setting("classes"), &class, &classes);
        }
        let destination_window = document.time(&setting("window"));
        for class in &classes {
            let window = document.time(&["class", class, "window"]);
            let is_sent_there = document
                .text_of(&setting("classes"))
                .is_none_or(|class_name| class_name == *class);
            if destination_window > 0 && is_sent_there && window > destination_window {
                let locations = vec![
                    document.location(
                        document.span(&["class", class, "window"]),
                        "longer than a destination remembers",
                    ),
                    document.location(
                        document.span(&setting("window")),
                        format!(
                            "`{name}` drops repeats for {}",
                            format_time(destination_window)
                        ),
                    ),
                ];
                let help = Some(format!("window = \"{}\"", format_time(destination_window)));
                document.findings.push(crate::finding::Finding {
                    code: Code::WindowExceedsDestination,
                    locations,
                    help,
                });
            }
        }
    }
}

fn check_load(document: &mut Document) {
    let (rate, call) = (
        document.number_of(&["load", "rate"]),
        document.time(&["load", "call"]),
    );
    let (max_calls, max_pending) = (
        document.count(&["limits", "calls"]),
        document.count(&["limits", "held"]),
    );
    let names = document.table_names("destination");
    let limits = names.iter().map(|name| {
        let limit = document.explicit_value(&["destination", name, "limit"]);
        let share = document.number_of(&["destination", name, "share"]);
        limit.map(|_| document.number_of(&["destination", name, "limit"]) * share)
    });
    let limits: Option<Vec<f64>> = limits.collect();
    if let Some(limits) = limits.filter(|limits| !limits.is_empty()) {
        let total: f64 = limits.iter().sum();
        if total < rate {
            let label = format!(
                "the shares of all limits come to {total:.1} a second, and the load is {rate}"
            );
            let span = document.span(&["destination", &names[0], "limit"]);
            document.add(Code::LimitTooLow, span, label, None);
        }
    }
    let needed_calls = (rate * call as f64 / 1e6).ceil() as u64;
    if max_calls < needed_calls {
        let label = format!(
            "{rate} a second of {} each keep {needed_calls} busy",
            format_time(call)
        );
        let span = document
            .span(&["limits", "calls"])
            .or_else(|| document.span(&["load", "rate"]));
        document.add(
            Code::TooFewCalls,
            span,
            label,
            Some(format!("calls = {needed_calls} or more")),
        );
    }
    if max_pending < max_calls {
        let span = document
            .span(&["limits", "held"])
            .or_else(|| document.span(&["limits", "calls"]));
        let label = format!("{max_calls} calls and {max_pending} held messages");
        document.add(
            Code::PendingLimitTooLow,
            span,
            label,
            Some(format!("held = {max_calls} or more")),
        );
    }
    let codes = [
        Code::DescriptorBudgetExceeded,
        Code::MemoryBudgetExceeded,
        Code::DiskBudgetExceeded,
    ];
    for (budget, code) in budgets(document).into_iter().zip(codes) {
        if budget.sum() > budget.limit {
            let name = budget.setting.rsplit('.').next().unwrap_or(budget.setting);
            let help = match budget.is_bytes {
                true => format!(
                    "{name} = \"{}\" or more",
                    format_size(budget.sum().div_ceil(1_000_000) * 1_000_000)
                ),
                false => format!("{name} = {} or more, or fewer calls", budget.sum()),
            };
            let span = document.span(&["limits", name]);
            document.add(code, span, budget.description(), Some(help));
        }
    }
}
