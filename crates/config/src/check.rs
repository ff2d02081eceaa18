//! One file as a whole: what contradicts what, and what does not add up. Pure: looks at no folder and no port.

use crate::codes::Code;
use crate::document::Document;
use crate::neighbours::{LISTENERS, ports_overlap};
use crate::units::{format_size, format_time};
use std::collections::BTreeMap;

/// Rest before a message is tried again, at first and at most: the decision module's.
const REST_FIRST: i64 = 150_000;
const REST_MOST: i64 = 2_000_000;
/// Descriptors beside those of clients and endpoints: standard streams, the poll, signals, listener, journal,
/// endpoints' file, outcomes, the store and its commands.
const SOCKETS_REST: u64 = 34;
/// Those of the operators' door, where it is open.
pub const ADMIN_DESCRIPTORS: u64 = 14;
/// Parts of the descriptors: clients get two fifths, and a tenth stays free.
const CLIENT_PART: f64 = 0.4;
const FREE_PART: f64 = 0.1;
/// Memory of the process itself, and of a held message beside its body.
const MEMORY_BASE: u64 = 8_000_000;
const MEMORY_MESSAGE: u64 = 4_000;
/// Memory that a connection's buffers take.
const MEMORY_SOCKET: u64 = 24_000;
/// Bytes of the journal beside a body: records of the message, its sends and its end. Old and new file stand side by
/// side while it is compacted.
const JOURNAL_MESSAGE: u64 = 1_200;
const JOURNAL_FILES: u64 = 2;
/// The store, the pages that a transaction copies, and one file set aside.
const STORE_SIZES: u64 = 3;

/// A worked-out budget, for `config show` and the findings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Budget {
    /// What is shared out.
    pub setting: &'static str,
    /// Its parts, with their sizes.
    pub parts: Vec<(&'static str, u64)>,
    /// What there is.
    pub limit: u64,
    /// Bytes, not things.
    pub is_bytes: bool,
}

impl Budget {
    /// What the parts come to.
    #[must_use]
    pub fn sum(&self) -> u64 {
        self.parts
            .iter()
            .map(|(_, size)| size)
            .fold(0, |sum, size| sum.saturating_add(*size))
    }

    /// In words.
    #[must_use]
    pub fn description(&self) -> String {
        let text = |size: u64| {
            if self.is_bytes {
                mega(size)
            } else {
                size.to_string()
            }
        };
        let parts: Vec<String> = self
            .parts
            .iter()
            .map(|(name, size)| format!("{name} {}", text(*size)))
            .collect();
        format!(
            "{} = {} of {}",
            parts.join(" + "),
            text(self.sum()),
            text(self.limit)
        )
    }
}

fn mega(bytes: u64) -> String {
    format!("{:.1}MB", bytes as f64 / 1e6)
}

/// The three budgets of a file.
#[must_use]
pub fn budgets(document: &Document) -> [Budget; 3] {
    let (calls, held) = (
        document.count(&["limits", "calls"]),
        document.count(&["limits", "held"]),
    );
    let (sockets, body) = (
        document.count(&["limits", "sockets"]),
        document.size(&["load", "body"]),
    );
    let room = sockets.saturating_sub(SOCKETS_REST) as f64;
    let clients = (room * CLIENT_PART) as u64;
    let store = if document.flag(&["undelivered", "keep"]) {
        document.size(&["undelivered", "size"])
    } else {
        0
    };
    let outcomes = document.size(&["outcomes", "size"]);
    let operators = document
        .explicit_value(&["listen", "operators"])
        .map(|_| ("operators", ADMIN_DESCRIPTORS));
    let journal = held
        .saturating_mul(body.saturating_add(JOURNAL_MESSAGE))
        .saturating_mul(JOURNAL_FILES);
    [
        Budget {
            setting: "limits.sockets",
            parts: [
                ("calls", calls),
                ("application", clients),
                ("free", (room * FREE_PART) as u64),
                ("rest", SOCKETS_REST),
            ]
            .into_iter()
            .chain(operators)
            .collect(),
            limit: sockets,
            is_bytes: false,
        },
        Budget {
            setting: "limits.memory",
            parts: vec![
                ("process", MEMORY_BASE),
                (
                    "messages",
                    held.saturating_mul(body.saturating_add(MEMORY_MESSAGE)),
                ),
                (
                    "connections",
                    calls.saturating_add(clients).saturating_mul(MEMORY_SOCKET),
                ),
                ("outcomes", outcomes / 2),
            ],
            limit: document.size(&["limits", "memory"]),
            is_bytes: true,
        },
        Budget {
            setting: "limits.disk",
            parts: vec![
                ("journal", journal),
                ("outcomes", outcomes.saturating_mul(2)),
                ("undelivered", store.saturating_mul(STORE_SIZES)),
            ],
            limit: document.size(&["limits", "disk"]),
            is_bytes: true,
        },
    ]
}

/// Checks a file that has been read without a finding of its own in the settings that it compares.
pub fn check(document: &mut Document) {
    let pairs = [
        (0, "messages are handed in at this port"),
        (1, "outcomes are read at this port"),
    ];
    for (at, label) in pairs {
        for later in &LISTENERS[at + 1..] {
            let texts = [LISTENERS[at], later].map(|name| document.text_of(&["listen", name]));
            let [Some(first), Some(other)] = texts else {
                continue;
            };
            if ports_overlap(&first, &other) {
                let span = document.span(&["listen", later]);
                document.add(Code::PortConflict, span, label.into(), None);
            }
        }
    }
    classes(document);
    destinations(document);
    resends(document);
    load(document);
}

fn resends(document: &mut Document) {
    let classes = document.table_names("class");
    let numbers: Vec<u64> = document
        .table_names("destination")
        .iter()
        .map(|name| document.count(&["destination", name, "id"]))
        .collect();
    let file = document.explicit_value(&["endpoints", "file"]).is_some();
    for rule in document.table_names("resend") {
        let at = |field: &'static str| ["resend", rule.as_str(), field];
        if !document.flag(&["undelivered", "keep"]) {
            let help = Some("[undelivered]\nkeep = true".to_string());
            let label = "nothing is kept that it could send again".to_string();
            document.add(
                Code::UnusedRedriveRule,
                document.span(&at("class")),
                label,
                help,
            );
        }
        if let Some(class) = document.text_of(&at("class")) {
            unknown_class(document, &at("class"), &class, &classes);
        }
        let number = document
            .explicit_value(&at("destination"))
            .map(|_| document.count(&at("destination")));
        if let Some(number) = number.filter(|number| !file && !numbers.contains(number)) {
            let label = format!("no destination has the number {number}");
            document.add(
                Code::UnknownDestination,
                document.span(&at("destination")),
                label,
                None,
            );
        }
    }
}

fn unknown_class(document: &mut Document, path: &[&str], class: &String, classes: &[String]) {
    if !classes.contains(class) {
        let near = classes
            .iter()
            .min_by_key(|known| strsim::damerau_levenshtein(known, class));
        let help = near.map(|known| format!("did you mean \"{known}\"?"));
        document.add(
            Code::UnknownClass,
            document.span(path),
            "no such class".into(),
            help,
        );
    }
}

fn classes(document: &mut Document) {
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
    let mut shortest = i64::MAX;
    let mut most_possible = 0;
    for name in &names {
        let at = |field: &'static str| ["class", name.as_str(), field];
        let (aim, deadline) = (document.time(&at("aim")), document.time(&at("deadline")));
        let (window, effect) = (
            document.time(&at("window")),
            document.text_of(&at("effect")),
        );
        shortest = shortest.min(deadline);
        most_possible = most_possible.max(attempts_in(deadline, call));
        if aim > deadline {
            let help = format!("aim = \"{}\" at most", format_time(deadline));
            let label = format!("the deadline is {}", format_time(deadline));
            document.add(
                Code::ObjectiveAfterDeadline,
                document.span(&at("aim")),
                label,
                Some(help),
            );
        } else if aim == deadline && document.explicit_value(&at("late_worth")).is_some() {
            let label = format!(
                "nothing can be late: aim and deadline are {}",
                format_time(aim)
            );
            document.add(
                Code::UnusedLateValue,
                document.span(&at("late_worth")),
                label,
                None,
            );
        }
        let worthless = document.time(&at("worthless_after"));
        if worthless > 0 && deadline > worthless {
            let label = format!("worth nothing from {} on", format_time(worthless));
            let help = format!("deadline = \"{}\"", format_time(worthless));
            document.add(
                Code::DeadlineAfterZeroValue,
                document.span(&at("deadline")),
                label,
                Some(help),
            );
        }
        match effect.as_deref() {
            Some("keyed") if document.explicit_value(&at("window")).is_none() => {
                let help =
                    Some("window = \"12s\"  # as long as destinations drop repeats".to_string());
                let label = "it is keyed, and has no window".to_string();
                document.add(
                    Code::MissingWindow,
                    document.span(&at("effect")),
                    label,
                    help,
                );
            }
            Some("keyed") if deadline > window && window > 0 => {
                let label = format!("the window is {}", format_time(window));
                let help = format!(
                    "deadline = \"{}\" at most, or a longer window",
                    format_time(window)
                );
                document.add(
                    Code::DeadlineExceedsWindow,
                    document.span(&at("deadline")),
                    label,
                    Some(help),
                );
            }
            Some(effect @ ("repeatable" | "unsafe"))
                if document.explicit_value(&at("window")).is_some() =>
            {
                let label = format!("the class is {effect}");
                document.add(
                    Code::UnusedWindow,
                    document.span(&at("window")),
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
    if attempts > most_possible && document.explicit_value(&["retry", "attempts"]).is_some() {
        let label = format!("at most {most_possible} can start before the longest deadline");
        let span = document.span(&["retry", "attempts"]);
        document.add(
            Code::TooManyAttempts,
            span,
            label,
            Some(format!("attempts = {most_possible}")),
        );
    }
    let dial = document.time(&["connections", "dial"]);
    if dial >= shortest {
        let label = format!("the shortest deadline is {}", format_time(shortest));
        document.add(
            Code::ConnectTimeoutTooLong,
            document.span(&["connections", "dial"]),
            label,
            None,
        );
    }
}

/// Attempts that can start within a time, each after the one before has ended and rested.
fn attempts_in(time: i64, call: i64) -> u64 {
    let (mut at, mut rest, mut count) = (0i64, REST_FIRST, 0u64);
    while at < time && count < 1_000 {
        count += 1;
        at = at.saturating_add(call).saturating_add(rest);
        rest = (rest * 2).min(REST_MOST);
    }
    count
}

fn destinations(document: &mut Document) {
    let names = document.table_names("destination");
    let file = document.explicit_value(&["endpoints", "file"]).is_some();
    if names.is_empty() && !file {
        let help = Some("[destination.acme]\nid = 7\nendpoints = [\"127.0.0.1:9001\"]".to_string());
        document.add(
            Code::NoDestination,
            None,
            "no table [destination.NAME], and no endpoints.file".into(),
            help,
        );
    }
    let classes = document.table_names("class");
    let mut ids: BTreeMap<u64, String> = BTreeMap::new();
    let mut endpoints: BTreeMap<String, (String, std::ops::Range<usize>)> = BTreeMap::new();
    for name in &names {
        let at = |field: &'static str| ["destination", name.as_str(), field];
        if document.explicit_value(&at("id")).is_some() {
            let id = document.count(&at("id"));
            if let Some(other) = ids.insert(id, name.clone()) {
                let first = document.span(&["destination", &other, "id"]);
                let locations = vec![
                    document.location(document.span(&at("id")), "the same number"),
                    document.location(first, format!("the number of `{other}`")),
                ];
                document.findings.push(crate::finding::Finding {
                    code: Code::DuplicateDestinationId,
                    locations,
                    help: None,
                });
            }
        }
        if document.explicit_value(&at("endpoints")).is_none() && !file {
            let label = "nothing can be delivered here".to_string();
            let help = Some("endpoints = [\"127.0.0.1:9001\"]".to_string());
            document.add(
                Code::NoEndpoint,
                document.span(&at("endpoints")),
                label,
                help,
            );
        }
        let list: Vec<_> = document.list(&at("endpoints")).to_vec();
        for (address, span) in list {
            if let Some((other, first)) = endpoints.insert(address, (name.clone(), span.clone())) {
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
        if let Some(class) = document.text_of(&at("classes")) {
            unknown_class(document, &at("classes"), &class, &classes);
        }
        let kept = document.time(&at("window"));
        for class in &classes {
            let window = document.time(&["class", class, "window"]);
            let goes = document
                .text_of(&at("classes"))
                .is_none_or(|only| only == *class);
            if kept > 0 && goes && window > kept {
                let locations = vec![
                    document.location(
                        document.span(&["class", class, "window"]),
                        "longer than a destination remembers",
                    ),
                    document.location(
                        document.span(&at("window")),
                        format!("`{name}` drops repeats for {}", format_time(kept)),
                    ),
                ];
                let help = Some(format!("window = \"{}\"", format_time(kept)));
                document.findings.push(crate::finding::Finding {
                    code: Code::WindowExceedsDestination,
                    locations,
                    help,
                });
            }
        }
    }
}

fn load(document: &mut Document) {
    let (rate, call) = (
        document.number_of(&["load", "rate"]),
        document.time(&["load", "call"]),
    );
    let (calls, held) = (
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
        let sum: f64 = limits.iter().sum();
        if sum < rate {
            let label = format!(
                "the shares of all limits come to {sum:.1} a second, and the load is {rate}"
            );
            let span = document.span(&["destination", &names[0], "limit"]);
            document.add(Code::LimitTooLow, span, label, None);
        }
    }
    let needed = (rate * call as f64 / 1e6).ceil() as u64;
    if calls < needed {
        let label = format!(
            "{rate} a second of {} each keep {needed} busy",
            format_time(call)
        );
        let span = document
            .span(&["limits", "calls"])
            .or_else(|| document.span(&["load", "rate"]));
        document.add(
            Code::TooFewCalls,
            span,
            label,
            Some(format!("calls = {needed} or more")),
        );
    }
    if held < calls {
        let span = document
            .span(&["limits", "held"])
            .or_else(|| document.span(&["limits", "calls"]));
        let label = format!("{calls} calls and {held} held messages");
        document.add(
            Code::PendingLimitTooLow,
            span,
            label,
            Some(format!("held = {calls} or more")),
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
