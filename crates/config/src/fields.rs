//! The table of all settings. The reader of files, the commands `config show`, `config schema` and `config new`, and
//! the reference page are all driven by the table.

/// The type of a setting's value, with its bounds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Kind {
    /// Any text that is not empty.
    Text,
    /// A name of 1 to 64 letters, digits, `-`, `_` and `.` that does not start with a dot.
    Name,
    /// A path; a relative one is resolved against the folder of the configuration file.
    Path,
    /// A host name or IP address, with a port.
    Address,
    /// A list of addresses.
    Addresses,
    /// A time with a unit (us, ms, s, m, h, d); the bounds are in microseconds, minimum and maximum.
    Time(i64, i64),
    /// A size with a unit (B, KB, KiB, MB, MiB, GB, GiB); the bounds are in bytes, minimum and maximum.
    Size(u64, u64),
    /// A whole number, with its minimum and maximum.
    Count(u64, u64),
    /// A floating-point number, with its minimum and maximum.
    Number(f64, f64),
    /// `true` or `false`.
    Flag,
    /// One of the listed words.
    Choice(&'static [&'static str]),
}

impl Kind {
    /// A description of the valid values, for messages and the reference page.
    #[must_use]
    pub fn description(self) -> String {
        match self {
            Kind::Text => "a text".to_string(),
            Kind::Name => "a name of letters, digits, '-', '_' and '.'".to_string(),
            Kind::Path => "a path".to_string(),
            Kind::Address => {
                "a host or address with a port, such as \"127.0.0.1:7001\"".to_string()
            }
            Kind::Addresses => "a list of addresses, such as [\"127.0.0.1:9001\"]".to_string(),
            Kind::Time(min, max) => {
                format!(
                    "a time from {} to {}",
                    crate::units::format_time(min),
                    crate::units::format_time(max)
                )
            }
            Kind::Size(min, max) => {
                format!(
                    "a size from {} to {}",
                    crate::units::format_size(min),
                    crate::units::format_size(max)
                )
            }
            Kind::Count(min, max) => format!("a whole number from {min} to {max}"),
            Kind::Number(min, max) => format!("a number from {min} to {max}"),
            Kind::Flag => "true or false".to_string(),
            Kind::Choice(words) => format!("one of {}", words.join(", ")),
        }
    }
}

/// A setting that a configuration file may have.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Field {
    /// The setting's path; `*` stands for the name of a table that the file chooses.
    pub path: &'static str,
    /// The type of the value.
    pub kind: Kind,
    /// The default in TOML notation; empty if the setting has no value unless the file sets one.
    pub default: &'static str,
    /// Whether the file must set a value.
    pub required: bool,
    /// The setting's meaning, for users.
    pub doc: &'static str,
}

const fn field(path: &'static str, kind: Kind, default: &'static str, doc: &'static str) -> Field {
    Field {
        path,
        kind,
        default,
        required: false,
        doc,
    }
}

const fn required(path: &'static str, kind: Kind, doc: &'static str) -> Field {
    Field {
        path,
        kind,
        default: "",
        required: true,
        doc,
    }
}

const MILLISECOND: i64 = 1_000;
const SECOND: i64 = 1_000_000;
const DAY: i64 = 86_400 * SECOND;
const KILOBYTE: u64 = 1_000;
const MEGABYTE: u64 = 1_000_000;

/// All settings of a sidecar's configuration, in the order in which generated files list them.
pub const FIELDS: &[Field] = &[
    required(
        "name",
        Kind::Name,
        "The application's name; neighbours on one machine have different ones.",
    ),
    required(
        "state",
        Kind::Path,
        "Folder that outlasts the process: journal, outcomes, undelivered messages.",
    ),
    required(
        "listen.http",
        Kind::Address,
        "Where the application hands messages in.",
    ),
    required(
        "listen.outcomes",
        Kind::Address,
        "Where the application reads final answers.",
    ),
    field(
        "listen.operators",
        Kind::Address,
        "",
        "Where operators read figures and drain; left out: nowhere.",
    ),
    field(
        "limits.memory",
        Kind::Size(16 * MEGABYTE, 64_000 * MEGABYTE),
        "\"64MB\"",
        "Memory that the sidecar may use.",
    ),
    field(
        "limits.sockets",
        Kind::Count(64, 1_000_000),
        "256",
        "File descriptors that it may hold.",
    ),
    field(
        "limits.disk",
        Kind::Size(MEGABYTE, 1_000_000 * MEGABYTE),
        "\"30MB\"",
        "Bytes that the state folder may hold.",
    ),
    field(
        "limits.cores",
        Kind::Number(0.05, 1.0),
        "1.0",
        "Part of a core; the sidecar never uses more than one.",
    ),
    field(
        "limits.calls",
        Kind::Count(1, 10_000),
        "40",
        "Calls to endpoints that may be out at once.",
    ),
    field(
        "limits.held",
        Kind::Count(1, 100_000),
        "400",
        "Messages that may be held at once.",
    ),
    field(
        "load.rate",
        Kind::Number(0.001, 100_000.0),
        "10.0",
        "Messages a second that the application is expected to hand in.",
    ),
    field(
        "load.body",
        Kind::Size(1, 64 * KILOBYTE),
        "\"2KB\"",
        "Usual size of a message's body.",
    ),
    field(
        "load.call",
        Kind::Time(MILLISECOND, 600 * SECOND),
        "\"250ms\"",
        "Usual time of a call.",
    ),
    required(
        "class.*.effect",
        Kind::Choice(&["repeatable", "keyed", "unsafe"]),
        "What a repeat does: nothing; it is dropped by key inside the window; it must never happen.",
    ),
    field(
        "class.*.window",
        Kind::Time(100 * MILLISECOND, 30 * DAY),
        "",
        "Keyed classes: for so long destinations drop a repeat of a key.",
    ),
    field(
        "class.*.aim",
        Kind::Time(MILLISECOND, DAY),
        "\"4s\"",
        "Wanted within this time; worth falls after it.",
    ),
    field(
        "class.*.deadline",
        Kind::Time(10 * MILLISECOND, 7 * DAY),
        "\"20s\"",
        "Given up after this time.",
    ),
    field(
        "class.*.worth",
        Kind::Number(0.0, 1_000_000.0),
        "1.0",
        "Worth of one message beside others.",
    ),
    field(
        "class.*.late_worth",
        Kind::Number(0.0, 1.0),
        "0.3",
        "Share of the worth that is left at the deadline.",
    ),
    field(
        "class.*.worthless_after",
        Kind::Time(MILLISECOND, 30 * DAY),
        "",
        "From this age on a message is worth nothing: no deadline may lie behind it.",
    ),
    field(
        "retry.attempts",
        Kind::Count(1, 100),
        "12",
        "Attempts for one message at most.",
    ),
    field(
        "retry.copies",
        Kind::Flag,
        "true",
        "A second copy may be sent while the first runs, to classes that may be repeated.",
    ),
    field(
        "retry.client_wait",
        Kind::Time(0, 600 * SECOND),
        "\"3s\"",
        "Longest wait that callers are told.",
    ),
    field(
        "connections.idle",
        Kind::Time(100 * MILLISECOND, DAY),
        "\"5s\"",
        "Endpoints close idle connections after this time.",
    ),
    field(
        "connections.dial",
        Kind::Time(MILLISECOND, 60 * SECOND),
        "\"500ms\"",
        "A connection that is not up by then has failed.",
    ),
    field(
        "safety.drain",
        Kind::Time(0, 60 * SECOND),
        "\"1s\"",
        "Nothing new goes to a removed endpoint after this time.",
    ),
    field(
        "safety.cold",
        Kind::Time(0, 600 * SECOND),
        "\"11s\"",
        "A destination that returns is warm after this time.",
    ),
    field(
        "safety.cold_start",
        Kind::Number(0.01, 1.0),
        "0.18",
        "Share of its capacity that it starts with.",
    ),
    field(
        "safety.fall_multiple",
        Kind::Number(1.0, 100.0),
        "2.0",
        "It falls over when sent this multiple of what it can do.",
    ),
    field(
        "safety.fall_time",
        Kind::Time(100 * MILLISECOND, 60 * SECOND),
        "\"3s\"",
        "For so long.",
    ),
    field(
        "endpoints.file",
        Kind::Path,
        "",
        "File of endpoints that is watched; it may be left out if destinations name theirs.",
    ),
    required(
        "destination.*.id",
        Kind::Count(0, u64::MAX),
        "Its number, which messages name in `Envelope: dest=`.",
    ),
    field(
        "destination.*.endpoints",
        Kind::Addresses,
        "",
        "Where it takes calls.",
    ),
    field(
        "destination.*.classes",
        Kind::Text,
        "",
        "Class that goes there; left out: all.",
    ),
    field(
        "destination.*.limit",
        Kind::Number(0.01, 1_000_000.0),
        "",
        "Calls a second that it takes from all senders together.",
    ),
    field(
        "destination.*.share",
        Kind::Number(0.001, 1.0),
        "1.0",
        "This sidecar's part of that limit.",
    ),
    field(
        "destination.*.window",
        Kind::Time(100 * MILLISECOND, 30 * DAY),
        "",
        "For so long it drops repeats of a key, as its owner told.",
    ),
    field(
        "destination.*.batch",
        Kind::Count(1, 100),
        "1",
        "Messages that one call may carry.",
    ),
    field(
        "undelivered.keep",
        Kind::Flag,
        "false",
        "Keep what could not be delivered, to be looked at and sent again.",
    ),
    field(
        "undelivered.size",
        Kind::Size(256 * KILOBYTE, 1_000_000 * MEGABYTE),
        "\"4MB\"",
        "Bytes that the store may take up.",
    ),
    field(
        "undelivered.messages",
        Kind::Count(1, 100_000_000),
        "10000",
        "Messages that it may hold.",
    ),
    field(
        "undelivered.returned",
        Kind::Flag,
        "true",
        "Keep also what was returned to the application: what never ran, or may be repeated.",
    ),
    field(
        "undelivered.application_retries",
        Kind::Flag,
        "true",
        "The application may hand in again what was returned to it; then only a person's word sends it from the store. \
         false: it never does, and rules may send it.",
    ),
    field(
        "undelivered.age",
        Kind::Time(SECOND, 3650 * DAY),
        "\"30d\"",
        "Settled messages go after this time.",
    ),
    field(
        "resend.*.class",
        Kind::Text,
        "",
        "Class that the rule is about; left out: all.",
    ),
    field(
        "resend.*.destination",
        Kind::Count(0, u64::MAX),
        "",
        "Destination that it is about; left out: all.",
    ),
    field(
        "resend.*.reason",
        Kind::Choice(&["time-up", "attempts-used", "turned-away"]),
        "",
        "Why a message ended that it is about; left out: all reasons.",
    ),
    field(
        "resend.*.well_for",
        Kind::Time(0, 30 * DAY),
        "\"60s\"",
        "The destination must not have failed for so long.",
    ),
    field(
        "resend.*.most",
        Kind::Count(1, 1_000),
        "3",
        "Resends of one message at most, by hand or by rule.",
    ),
    field(
        "resend.*.not_older_than",
        Kind::Time(SECOND, 3650 * DAY),
        "\"1d\"",
        "Not for messages that were first taken longer ago.",
    ),
    field(
        "resend.*.rate",
        Kind::Number(0.001, 10_000.0),
        "1.0",
        "Resends a second by this rule at most.",
    ),
    field(
        "outcomes.callback",
        Kind::Address,
        "",
        "Final answers are sent there too, as messages that may be repeated, until they are taken: what it has \
         answered with 200 counts as acknowledged.",
    ),
    field(
        "outcomes.size",
        Kind::Size(100 * KILOBYTE, 1_000_000 * MEGABYTE),
        "\"4MB\"",
        "Bytes of final answers that wait for their reader.",
    ),
    field(
        "machine.memory",
        Kind::Size(MEGABYTE, 64_000_000 * MEGABYTE),
        "",
        "The machine's memory, for checks of neighbours together.",
    ),
    field(
        "machine.sockets",
        Kind::Count(1, 100_000_000),
        "",
        "Descriptors that all on the machine may hold together.",
    ),
    field(
        "machine.cores",
        Kind::Number(0.05, 4096.0),
        "",
        "The machine's cores.",
    ),
];

/// The settings that one type of configuration file may have.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SettingsTable(pub &'static [Field]);

impl Default for SettingsTable {
    /// The settings of a sidecar's file.
    fn default() -> Self {
        SettingsTable(FIELDS)
    }
}

impl SettingsTable {
    /// Finds the setting with a path, whose parts are separated by `\u{1f}`. A `*` in a setting's path matches any
    /// name.
    #[must_use]
    pub fn find(self, path: &str) -> Option<&'static Field> {
        self.0.iter().find(|field| matches(field.path, path))
    }
}

/// Whether a setting's path, which may contain `*`, matches the path of a value in a file.
fn matches(pattern: &str, path: &str) -> bool {
    let (mut pattern_parts, mut path_parts) = (pattern.split('.'), path.split('\u{1f}'));
    loop {
        match (pattern_parts.next(), path_parts.next()) {
            (None, None) => return true,
            (Some("*"), Some(_)) => {}
            (Some(wanted), Some(found)) if wanted == found => {}
            _ => return false,
        }
    }
}
