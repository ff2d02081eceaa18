//! Invalid configurations: each must be rejected with the right code at the text that is wrong, and the rendered
//! findings must equal a golden file. `BLESS=1 cargo test -p milletturn-config` rewrites the golden files; review the
//! changes then.

use milletturn_config::codes::Code;
use milletturn_config::document::Document;
use milletturn_config::{check_documents, findings, render, text_by_path};
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

const BASE: &str = include_str!("../../../examples/sidecar/billing.toml");

/// A case: its name, the replacements in the valid base file, the expected code, and the text that the finding must
/// mark (empty: any).
type Case = (
    &'static str,
    &'static [(&'static str, &'static str)],
    Code,
    &'static str,
);

const CASES: &[Case] = &[
    (
        "syntax-no-value",
        &[("sockets = 256", "sockets =")],
        Code::Syntax,
        "",
    ),
    (
        "resend-unused",
        &[
            ("keep = true", "keep = false"),
            ("[undelivered]", "[resend.all]\nmost = 2\n[undelivered]"),
        ],
        Code::UnusedRedriveRule,
        "all",
    ),
    (
        "resend-class",
        &[(
            "[undelivered]",
            "[resend.all]\nclass = \"notices\"\n[undelivered]",
        )],
        Code::UnknownClass,
        "\"notices\"",
    ),
    (
        "resend-destination",
        &[(
            "[undelivered]",
            "[resend.all]\ndestination = 8\n[undelivered]",
        )],
        Code::UnknownDestination,
        "8",
    ),
    (
        "syntax-no-quote",
        &[("\"billing\"", "\"billing")],
        Code::Syntax,
        "",
    ),
    (
        "syntax-colon",
        &[("rate = 10.0", "rate: 10.0")],
        Code::Syntax,
        "",
    ),
    (
        "twice-setting",
        &[("sockets = 256", "sockets = 256\nsockets = 512")],
        Code::Duplicate,
        "sockets",
    ),
    (
        "twice-table",
        &[("[load]", "[limits]\n[load]")],
        Code::Duplicate,
        "",
    ),
    (
        "unknown-top",
        &[("name = ", "nam = ")],
        Code::UnknownName,
        "nam",
    ),
    (
        "unknown-limit",
        &[("sockets = 256", "socket = 256")],
        Code::UnknownName,
        "socket",
    ),
    (
        "unknown-class-field",
        &[("aim = ", "goal = ")],
        Code::UnknownName,
        "goal",
    ),
    (
        "unknown-table",
        &[("[load]\nrate = 10.0", "[lod]\nrate = 10.0")],
        Code::UnknownName,
        "lod",
    ),
    (
        "unknown-far",
        &[("rate = 10.0", "rate = 10.0\nxyzzy = 1")],
        Code::UnknownName,
        "xyzzy",
    ),
    (
        "unknown-destination-field",
        &[("share = 0.4", "shares = 0.4")],
        Code::UnknownName,
        "shares",
    ),
    (
        "type-number-for-text",
        &[("\"billing\"", "7")],
        Code::WrongType,
        "7",
    ),
    (
        "type-text-for-count",
        &[("256", "\"256\"")],
        Code::WrongType,
        "\"256\"",
    ),
    (
        "type-float-for-count",
        &[("256", "256.5")],
        Code::WrongType,
        "256.5",
    ),
    (
        "type-text-for-flag",
        &[("keep = true", "keep = \"yes\"")],
        Code::WrongType,
        "\"yes\"",
    ),
    (
        "type-number-for-flag",
        &[("keep = true", "keep = 1")],
        Code::WrongType,
        "1",
    ),
    (
        "type-text-for-list",
        &[("[\"127.0.0.1:9003\"]", "\"127.0.0.1:9003\"")],
        Code::WrongType,
        "\"127.0.0.1:9003\"",
    ),
    (
        "type-number-in-list",
        &[("[\"127.0.0.1:9003\"]", "[9003]")],
        Code::WrongType,
        "9003",
    ),
    (
        "type-value-for-table",
        &[
            ("[load]\nrate = 10.0\n", ""),
            ("state = ", "load = 10.0\nstate = "),
        ],
        Code::WrongType,
        "10.0",
    ),
    (
        "type-table-for-value",
        &[("sockets = 256", "sockets = { most = 256 }")],
        Code::WrongType,
        "{ most = 256 }",
    ),
    (
        "type-date",
        &[("\"4s\"", "2026-12-01")],
        Code::WrongType,
        "2026-12-01",
    ),
    (
        "type-text-for-number",
        &[("rate = 10.0", "rate = \"ten\"")],
        Code::WrongType,
        "\"ten\"",
    ),
    (
        "unit-none-integer",
        &[("\"4s\"", "4")],
        Code::MissingUnit,
        "4",
    ),
    (
        "unit-none-text",
        &[("\"4s\"", "\"4\"")],
        Code::MissingUnit,
        "\"4\"",
    ),
    (
        "unit-none-size",
        &[("\"64MB\"", "64000000")],
        Code::MissingUnit,
        "64000000",
    ),
    (
        "unit-unknown-time",
        &[("\"4s\"", "\"4sec\"")],
        Code::UnknownUnit,
        "\"4sec\"",
    ),
    (
        "unit-unknown-size",
        &[("\"64MB\"", "\"64mb\"")],
        Code::UnknownUnit,
        "\"64mb\"",
    ),
    (
        "unit-month",
        &[("\"4s\"", "\"4M\"")],
        Code::UnknownUnit,
        "\"4M\"",
    ),
    (
        "number-sign",
        &[("\"4s\"", "\"-4s\"")],
        Code::NotANumber,
        "\"-4s\"",
    ),
    (
        "number-dots",
        &[("\"4s\"", "\"4.0.0s\"")],
        Code::NotANumber,
        "\"4.0.0s\"",
    ),
    (
        "number-words",
        &[("\"64MB\"", "\"much\"")],
        Code::NotANumber,
        "\"much\"",
    ),
    (
        "number-nan",
        &[("rate = 10.0", "rate = nan")],
        Code::NotANumber,
        "nan",
    ),
    (
        "number-inf",
        &[("rate = 10.0", "rate = inf")],
        Code::NotANumber,
        "inf",
    ),
    (
        "large-time",
        &[("aim = \"4s\"", "aim = \"400d\"")],
        Code::TooLarge,
        "\"400d\"",
    ),
    (
        "large-overflow",
        &[("aim = \"4s\"", "aim = \"99999999999999999999d\"")],
        Code::TooLarge,
        "\"99999999999999999999d\"",
    ),
    (
        "large-size-overflow",
        &[("\"64MB\"", "\"99999999999999999999GB\"")],
        Code::TooLarge,
        "\"99999999999999999999GB\"",
    ),
    (
        "large-count",
        &[("256", "99999999")],
        Code::TooLarge,
        "99999999",
    ),
    (
        "large-count-overflow",
        &[("256", "99999999999999999999999999999999999999999")],
        Code::TooLarge,
        "99999999999999999999999999999999999999999",
    ),
    (
        "large-share",
        &[("share = 0.4", "share = 1.4")],
        Code::TooLarge,
        "1.4",
    ),
    (
        "small-memory",
        &[("\"64MB\"", "\"1KB\"")],
        Code::TooSmall,
        "\"1KB\"",
    ),
    ("small-sockets", &[("256", "3")], Code::TooSmall, "3"),
    ("small-negative", &[("256", "-256")], Code::TooSmall, "-256"),
    (
        "small-limit",
        &[("limit = 20.0", "limit = 0")],
        Code::TooSmall,
        "0",
    ),
    (
        "small-deadline",
        &[("deadline = \"12s\"", "deadline = \"0s\"")],
        Code::TooSmall,
        "\"0s\"",
    ),
    ("small-id", &[("id = 7", "id = -7")], Code::TooSmall, "-7"),
    (
        "word-effect",
        &[("\"keyed\"", "\"keyd\"")],
        Code::InvalidChoice,
        "\"keyd\"",
    ),
    (
        "word-effect-other",
        &[("\"keyed\"", "\"at_most_once\"")],
        Code::InvalidChoice,
        "\"at_most_once\"",
    ),
    (
        "name-space",
        &[("\"billing\"", "\"our billing\"")],
        Code::InvalidName,
        "\"our billing\"",
    ),
    (
        "name-slash",
        &[("\"billing\"", "\"a/b\"")],
        Code::InvalidName,
        "\"a/b\"",
    ),
    (
        "name-class",
        &[("[class.notice]", "[class.\"a notice\"]")],
        Code::InvalidName,
        "\"a notice\"",
    ),
    (
        "name-destination",
        &[("[destination.lab]", "[destination.\"l\u{e4}b\"]")],
        Code::InvalidName,
        "\"l\u{e4}b\"",
    ),
    (
        "address-no-port",
        &[("\"127.0.0.1:7003\"", "\"127.0.0.1\"")],
        Code::InvalidAddress,
        "\"127.0.0.1\"",
    ),
    (
        "address-port-zero",
        &[("\"127.0.0.1:7003\"", "\"127.0.0.1:0\"")],
        Code::InvalidAddress,
        "\"127.0.0.1:0\"",
    ),
    (
        "address-port-large",
        &[("\"127.0.0.1:7003\"", "\"127.0.0.1:70030\"")],
        Code::InvalidAddress,
        "\"127.0.0.1:70030\"",
    ),
    (
        "address-number",
        &[("\"127.0.0.1:7003\"", "\"127.0.0.256:7003\"")],
        Code::InvalidAddress,
        "\"127.0.0.256:7003\"",
    ),
    (
        "address-url",
        &[("\"127.0.0.1:9003\"", "\"http://127.0.0.1:9003\"")],
        Code::InvalidAddress,
        "\"http://127.0.0.1:9003\"",
    ),
    (
        "address-v6-bare",
        &[("\"127.0.0.1:7003\"", "\"::1:7003\"")],
        Code::InvalidAddress,
        "\"::1:7003\"",
    ),
    (
        "missing-name",
        &[("name = \"billing\"\n", "")],
        Code::MissingSetting,
        "",
    ),
    (
        "missing-state",
        &[("state = \"billing.state\"\n", "")],
        Code::MissingSetting,
        "",
    ),
    (
        "missing-listen",
        &[(
            "[listen]\nhttp = \"127.0.0.1:7003\"\noutcomes = \"127.0.0.1:7103\"\n",
            "",
        )],
        Code::MissingSetting,
        "",
    ),
    (
        "missing-effect",
        &[("effect = \"keyed\"\n", "")],
        Code::MissingSetting,
        "notice",
    ),
    (
        "missing-id",
        &[("id = 9\n", "")],
        Code::MissingSetting,
        "lab",
    ),
    (
        "empty-name",
        &[("\"billing\"", "\"\"")],
        Code::EmptyValue,
        "\"\"",
    ),
    (
        "empty-endpoints",
        &[("[\"127.0.0.1:9003\"]", "[]")],
        Code::EmptyValue,
        "[]",
    ),
    (
        "empty-state",
        &[("\"billing.state\"", "\" \"")],
        Code::EmptyValue,
        "\" \"",
    ),
    (
        "class-none",
        &[(
            "[class.notice]\neffect = \"keyed\"\nwindow = \"12s\"\naim = \"4s\"\ndeadline = \"12s\"\n",
            "",
        )],
        Code::NoClass,
        "",
    ),
    (
        "destination-none",
        &[(
            "[destination.acme]\nid = 7\nendpoints = [\"127.0.0.1:9001\", \"127.0.0.1:9002\"]\nlimit = 20.0\nshare = 0.4\nwindow = \"12s\"\n\n[destination.lab]\nid = 9\nendpoints = [\"127.0.0.1:9003\"]\nlimit = 10.0\nshare = 0.5\n",
            "",
        )],
        Code::NoDestination,
        "",
    ),
    (
        "endpoint-none",
        &[("endpoints = [\"127.0.0.1:9003\"]\n", "")],
        Code::NoEndpoint,
        "lab",
    ),
    (
        "same-id",
        &[("id = 9", "id = 7")],
        Code::DuplicateDestinationId,
        "7",
    ),
    (
        "same-endpoint",
        &[("127.0.0.1:9003", "127.0.0.1:9002")],
        Code::DuplicateEndpoint,
        "\"127.0.0.1:9002\"",
    ),
    (
        "same-endpoint-twice",
        &[("127.0.0.1:9002", "127.0.0.1:9001")],
        Code::DuplicateEndpoint,
        "\"127.0.0.1:9001\"",
    ),
    (
        "class-unknown",
        &[("id = 9", "id = 9\nclasses = \"notise\"")],
        Code::UnknownClass,
        "\"notise\"",
    ),
    (
        "aim-past-deadline",
        &[("aim = \"4s\"", "aim = \"13s\"")],
        Code::ObjectiveAfterDeadline,
        "\"13s\"",
    ),
    (
        "past-worth",
        &[("aim = \"4s\"", "aim = \"4s\"\nworthless_after = \"10s\"")],
        Code::DeadlineAfterZeroValue,
        "\"12s\"",
    ),
    (
        "window-none",
        &[("effect = \"keyed\"\nwindow = \"12s\"", "effect = \"keyed\"")],
        Code::MissingWindow,
        "\"keyed\"",
    ),
    (
        "window-unused",
        &[("\"keyed\"", "\"repeatable\"")],
        Code::UnusedWindow,
        "\"12s\"",
    ),
    (
        "unsafe-copies",
        &[("\"keyed\"\nwindow = \"12s\"", "\"unsafe\"")],
        Code::HedgingUnsafeClasses,
        "\"unsafe\"",
    ),
    (
        "window-outlasted",
        &[("deadline = \"12s\"", "deadline = \"20s\"")],
        Code::DeadlineExceedsWindow,
        "\"20s\"",
    ),
    (
        "attempts",
        &[("[load]", "[retry]\nattempts = 50\n[load]")],
        Code::TooManyAttempts,
        "50",
    ),
    (
        "late-worthless",
        &[("aim = \"4s\"", "aim = \"12s\"\nlate_worth = 0.5")],
        Code::UnusedLateValue,
        "0.5",
    ),
    (
        "destination-window",
        &[(
            "share = 0.4\nwindow = \"12s\"",
            "share = 0.4\nwindow = \"5s\"",
        )],
        Code::WindowExceedsDestination,
        "\"12s\"",
    ),
    (
        "own-port",
        &[("127.0.0.1:7103", "0.0.0.0:7003")],
        Code::PortConflict,
        "\"0.0.0.0:7003\"",
    ),
    (
        "own-port-operators",
        &[(
            "127.0.0.1:7103\"",
            "127.0.0.1:7103\"\noperators = \"[::]:7103\"",
        )],
        Code::PortConflict,
        "\"[::]:7103\"",
    ),
    (
        "limit-low",
        &[("rate = 10.0", "rate = 30.0")],
        Code::LimitTooLow,
        "20.0",
    ),
    (
        "calls-few",
        &[("sockets = 256", "sockets = 256\ncalls = 2")],
        Code::TooFewCalls,
        "2",
    ),
    (
        "held-few",
        &[("sockets = 256", "sockets = 256\nheld = 20")],
        Code::PendingLimitTooLow,
        "20",
    ),
    (
        "sockets-few",
        &[("sockets = 256", "sockets = 128\ncalls = 80")],
        Code::DescriptorBudgetExceeded,
        "128",
    ),
    (
        "memory-small",
        &[("sockets = 256", "sockets = 256\nheld = 20000")],
        Code::MemoryBudgetExceeded,
        "\"64MB\"",
    ),
    (
        "disk-small",
        &[("size = \"4MB\"", "size = \"40MB\"")],
        Code::DiskBudgetExceeded,
        "\"30MB\"",
    ),
    (
        "dial-long",
        &[("[load]", "[connections]\ndial = \"12s\"\n[load]")],
        Code::ConnectTimeoutTooLong,
        "\"12s\"",
    ),
];

/// Cases of two files on one machine: the base file, and a second file made from the base file by the replacements.
const PAIR_CASES: &[Case] = &[
    (
        "pair-port",
        &[("\"billing\"", "\"b\""), ("billing.state", "b.state")],
        Code::PortConflict,
        "\"127.0.0.1:7003\"",
    ),
    (
        "pair-port-any",
        &[
            ("\"billing\"", "\"b\""),
            ("billing.state", "b.state"),
            ("127.0.0.1:7003", "0.0.0.0:7003"),
        ],
        Code::PortConflict,
        "\"0.0.0.0:7003\"",
    ),
    (
        "pair-port-any6",
        &[
            ("\"billing\"", "\"b\""),
            ("billing.state", "b.state"),
            ("127.0.0.1:7003", "[::]:7003"),
        ],
        Code::PortConflict,
        "\"[::]:7003\"",
    ),
    (
        "pair-port-name",
        &[
            ("\"billing\"", "\"b\""),
            ("billing.state", "b.state"),
            ("127.0.0.1:7003", "localhost:7003"),
        ],
        Code::PortConflict,
        "\"localhost:7003\"",
    ),
    (
        "pair-state",
        &[("\"billing\"", "\"b\""), ("7003", "7004"), ("7103", "7104")],
        Code::SharedStateFolder,
        "\"billing.state\"",
    ),
    (
        "pair-state-path",
        &[
            ("\"billing\"", "\"b\""),
            ("7003", "7004"),
            ("7103", "7104"),
            ("billing.state", "x/../billing.state"),
        ],
        Code::SharedStateFolder,
        "\"x/../billing.state\"",
    ),
    (
        "pair-name",
        &[
            ("billing.state", "b.state"),
            ("7003", "7004"),
            ("7103", "7104"),
        ],
        Code::DuplicateName,
        "\"billing\"",
    ),
    (
        "pair-share",
        &[
            ("\"billing\"", "\"b\""),
            ("billing.state", "b.state"),
            ("7003", "7004"),
            ("7103", "7104"),
            ("share = 0.4", "share = 0.7"),
        ],
        Code::SharesExceedLimit,
        "0.7",
    ),
    (
        "pair-window",
        &[
            ("\"billing\"", "\"b\""),
            ("billing.state", "b.state"),
            ("7003", "7004"),
            ("7103", "7104"),
            (
                "share = 0.4\nwindow = \"12s\"",
                "share = 0.4\nwindow = \"15s\"",
            ),
        ],
        Code::WindowsDiffer,
        "\"15s\"",
    ),
    (
        "pair-limit",
        &[
            ("\"billing\"", "\"b\""),
            ("billing.state", "b.state"),
            ("7003", "7004"),
            ("7103", "7104"),
            ("limit = 20.0", "limit = 25.0"),
        ],
        Code::LimitsDiffer,
        "25.0",
    ),
    (
        "pair-endpoints",
        &[
            ("\"billing\"", "\"b\""),
            ("billing.state", "b.state"),
            ("7003", "7004"),
            ("7103", "7104"),
            ("9002", "9102"),
        ],
        Code::EndpointsDiffer,
        "[\"127.0.0.1:9001\", \"127.0.0.1:9102\"]",
    ),
    (
        "pair-effect",
        &[
            ("\"billing\"", "\"b\""),
            ("billing.state", "b.state"),
            ("7003", "7004"),
            ("7103", "7104"),
            ("\"keyed\"\nwindow = \"12s\"", "\"unsafe\""),
            ("[load]", "[retry]\ncopies = false\n[load]"),
        ],
        Code::EffectsDiffer,
        "\"unsafe\"",
    ),
    (
        "pair-memory",
        &[
            ("\"billing\"", "\"b\""),
            ("billing.state", "b.state"),
            ("7003", "7004"),
            ("7103", "7104"),
            ("[load]", "[machine]\nmemory = \"100MB\"\n[load]"),
        ],
        Code::MachineMemoryExceeded,
        "\"64MB\"",
    ),
    (
        "pair-sockets",
        &[
            ("\"billing\"", "\"b\""),
            ("billing.state", "b.state"),
            ("7003", "7004"),
            ("7103", "7104"),
            ("[load]", "[machine]\nsockets = 500\n[load]"),
        ],
        Code::MachineDescriptorsExceeded,
        "256",
    ),
    (
        "pair-cores",
        &[
            ("\"billing\"", "\"b\""),
            ("billing.state", "b.state"),
            ("7003", "7004"),
            ("7103", "7104"),
            ("[load]", "[machine]\ncores = 1.0\n[load]"),
        ],
        Code::MachineCoresExceeded,
        "",
    ),
];

fn edit_base(name: &str, edits: &[(&str, &str)]) -> String {
    let mut text = BASE.to_string();
    for (from, to) in edits {
        assert!(
            text.contains(from),
            "{name}: {from} is not in the base file"
        );
        text = text.replacen(
            from,
            to,
            if name.starts_with("pair") {
                usize::MAX
            } else {
                1
            },
        );
    }
    text
}

fn assert_golden(name: &str, documents: &[Document]) {
    let rendered: Vec<String> = findings(documents)
        .iter()
        .map(|finding| render::to_text(finding, text_by_path(documents), false))
        .collect();
    let text = rendered.join("\n");
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(format!("{name}.txt"));
    if std::env::var_os("BLESS").is_some() {
        std::fs::create_dir_all(path.parent().expect("a parent folder"))
            .expect("the folder is created");
        std::fs::write(&path, &text).expect("the golden file is written");
    }
    let expected = std::fs::read_to_string(&path).unwrap_or_default();
    assert_eq!(
        text, expected,
        "{name}: the rendered text differs from the golden file"
    );
}

fn assert_rejected(name: &str, documents: &[Document], code: Code, marked_text: &str) {
    let found = findings(documents);
    let main_locations: Vec<(Code, String)> = found
        .iter()
        .map(|finding| {
            let location = &finding.locations[0];
            let text = documents
                .iter()
                .find(|one| one.path == location.path)
                .map_or("", |one| &one.text);
            (
                finding.code,
                location
                    .span
                    .clone()
                    .map_or("", |span| &text[span])
                    .to_string(),
            )
        })
        .collect();
    let is_found = main_locations
        .iter()
        .any(|(found, text)| *found == code && (marked_text.is_empty() || text == marked_text));
    assert!(
        is_found,
        "{name}: expected {code:?} at {marked_text:?}, got {main_locations:?}"
    );
    assert_golden(name, documents);
}

#[test]
fn the_base_file_is_valid() {
    let documents = check_documents(vec![Document::parse(
        Path::new("billing.toml"),
        BASE.to_string(),
    )]);
    assert_eq!(
        findings(&documents),
        Vec::<&milletturn_config::finding::Finding>::new()
    );
    // with a byte order mark and CRLF line ends, as some editors save files
    let text = format!("\u{feff}{}", BASE.replace('\n', "\r\n"));
    let documents = check_documents(vec![Document::parse(Path::new("billing.toml"), text)]);
    assert_eq!(
        findings(&documents),
        Vec::<&milletturn_config::finding::Finding>::new()
    );
}

#[test]
fn each_invalid_file_is_rejected_with_its_code_at_its_location() {
    assert!(CASES.len() >= 80, "{}", CASES.len());
    for (name, edits, code, marked_text) in CASES {
        let text = edit_base(name, edits);
        let documents = check_documents(vec![Document::parse(Path::new("billing.toml"), text)]);
        assert_rejected(name, &documents, *code, marked_text);
    }
}

#[test]
fn each_pair_is_rejected_although_each_file_alone_is_valid() {
    for (name, edits, code, marked_text) in PAIR_CASES {
        let (base_text, other) = (BASE.to_string(), edit_base(name, edits));
        let parse = |path: &str, text: &str| Document::parse(Path::new(path), text.to_string());
        let alone = check_documents(vec![parse("other.toml", &other)]);
        assert!(
            findings(&alone).is_empty(),
            "{name} alone: {:?}",
            findings(&alone)
        );
        let documents = check_documents(vec![
            parse("billing.toml", &base_text),
            parse("other.toml", &other),
        ]);
        assert_rejected(name, &documents, *code, marked_text);
    }
}

#[test]
fn all_errors_of_a_file_are_reported_at_once() {
    let text = edit_base(
        "all",
        &[
            ("256", "\"256\""),
            ("aim = ", "goal = "),
            ("id = 9\n", ""),
            ("\"4MB\"", "\"4\""),
        ],
    );
    let documents = check_documents(vec![Document::parse(Path::new("billing.toml"), text)]);
    let codes: BTreeSet<Code> = findings(&documents)
        .iter()
        .map(|finding| finding.code)
        .collect();
    let expected_codes = [
        Code::WrongType,
        Code::UnknownName,
        Code::MissingSetting,
        Code::MissingUnit,
    ];
    assert_eq!(codes, expected_codes.into_iter().collect());
}

#[test]
fn each_code_has_a_case_or_is_tested_elsewhere() {
    // codes that depend on the machine, not on the file alone
    let environment_codes = [
        Code::StateFolderNotWritable,
        Code::StateFolderTemporary,
        Code::StateFolderNotOwned,
        Code::StateFolderLocked,
        Code::PortTaken,
        Code::InvalidEndpointsFile,
        Code::DescriptorLimitTooLow,
    ];
    // codes of a session proxy's file, which are tested in crates/session-proxy/tests/settings.rs
    let session_proxy_codes = [
        Code::DuplicateCoordinator,
        Code::InvalidCoordinatorCount,
        Code::ProxyIsCoordinator,
    ];
    let codes_of_other_tests = [Code::Unreadable, Code::NotUtf8, Code::MachineDiffers];
    let covered: BTreeSet<Code> = CASES
        .iter()
        .chain(PAIR_CASES)
        .map(|case| case.2)
        .chain(environment_codes)
        .chain(session_proxy_codes)
        .chain(codes_of_other_tests)
        .collect();
    let missing: Vec<&Code> = Code::ALL
        .iter()
        .filter(|code| !covered.contains(code))
        .collect();
    assert!(missing.is_empty(), "{missing:?}");
}

#[test]
fn a_state_folder_shared_through_a_link_is_found() {
    let folder = tempfile::tempdir().expect("a temporary folder is created");
    std::fs::create_dir(folder.path().join("real")).expect("the folder is created");
    std::os::unix::fs::symlink("real", folder.path().join("link")).expect("the link is created");
    let write = |name: &str, state: &str, edits: &[(&str, &str)]| {
        let path = folder.path().join(name);
        std::fs::write(
            &path,
            edit_base(name, edits).replace("billing.state", state),
        )
        .expect("the file is written");
        path
    };
    let first = write("first.toml", "real", &[]);
    let other = [("\"billing\"", "\"b\""), ("7003", "7004"), ("7103", "7104")];
    let second = write("second.toml", "link", &other);
    let codes = |paths: &[PathBuf]| -> Vec<Code> {
        let documents = milletturn_config::check_files(paths);
        findings(&documents)
            .iter()
            .map(|finding| finding.code)
            .collect()
    };
    assert_eq!(codes(&[first.clone(), second]), [Code::SharedStateFolder]);
    let third = write("third.toml", "third", &other);
    assert_eq!(codes(&[first, third]), []);
}

#[test]
fn files_that_state_different_machine_sizes_are_rejected() {
    let document_with_cores = |name: &str, edits: &[(&str, &str)], cores: &str| {
        let machine = format!("[machine]\ncores = {cores}\n[load]");
        Document::parse(
            Path::new(name),
            edit_base(name, edits).replace("[load]", &machine),
        )
    };
    let other = [
        ("\"billing\"", "\"b\""),
        ("billing.state", "b.state"),
        ("7003", "7004"),
        ("7103", "7104"),
    ];
    let documents = check_documents(vec![
        document_with_cores("first.toml", &[], "4.0"),
        document_with_cores("second.toml", &other, "8.0"),
    ]);
    let codes: Vec<Code> = findings(&documents)
        .iter()
        .map(|finding| finding.code)
        .collect();
    assert_eq!(codes, [Code::MachineDiffers]);
}

#[test]
fn one_invalid_address_among_100_000_endpoints_is_found() {
    let list = |faulty: bool| {
        let address = |n: usize| {
            format!(
                "\"10.{}.{}.{}:8{:03}\"",
                n >> 16,
                n >> 8 & 255,
                n & 255,
                n % 1000
            )
        };
        let mut all: Vec<String> = (0..100_000).map(address).collect();
        if faulty {
            all[77_777] = "\"10.0.0.1\"".to_string();
        }
        BASE.replace("\"127.0.0.1:9003\"", &all.join(", "))
    };
    for faulty in [false, true] {
        let documents =
            check_documents(vec![Document::parse(Path::new("many.toml"), list(faulty))]);
        let codes: Vec<Code> = findings(&documents)
            .iter()
            .map(|finding| finding.code)
            .collect();
        assert_eq!(
            codes,
            if faulty {
                vec![Code::InvalidAddress]
            } else {
                vec![]
            }
        );
    }
}

#[test]
fn unreadable_files_are_rejected() {
    let folder = tempfile::tempdir().expect("a temporary folder is created");
    let codes = |path: PathBuf| -> Vec<Code> {
        Document::read(&path)
            .findings
            .iter()
            .map(|finding| finding.code)
            .collect()
    };
    assert_eq!(codes(folder.path().join("none.toml")), [Code::Unreadable]);
    let bytes = folder.path().join("bytes.toml");
    std::fs::write(&bytes, b"name = \"\xff\"").expect("the file is written");
    assert_eq!(codes(bytes), [Code::NotUtf8]);
    let huge = folder.path().join("huge.toml");
    let file = std::fs::File::create(&huge).expect("the file is created");
    file.set_len(50_000_000).expect("the file is extended");
    assert_eq!(codes(huge), [Code::Unreadable]);
}
