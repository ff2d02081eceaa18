//! The summary of the records of several senders, and lines that are not records.

use milletturn_access_log::{AccessLogSummary, AccessRecord};

fn record(at_us: u64, event: &str) -> AccessRecord {
    let text = format!("0.062 trace {{\"at\":{at_us},{event}}}\n");
    AccessRecord::parse(&text).expect("a record")
}

/// Events of several senders with their times in microseconds, out of order.
const EVENTS: [(u64, &str); 8] = [
    (10_200_000, r#""what":"sent","to":4,"attempt":1"#),
    (10_000_000, r#""what":"taken","to":4"#),
    (
        10_900_000,
        r#""what":"ended","to":4,"how":"refused","report":[0.0,46.0]"#,
    ),
    (
        12_000_000,
        r#""what":"ended","to":4,"how":"ok","report":[]"#,
    ),
    (12_000_000, r#""what":"delivered","to":4,"age":2000000"#),
    (
        12_500_000,
        r#""what":"remark","text":"destination 4 sick: shut""#,
    ),
    (12_500_000, r#""what":"taken","to":9"#),
    (12_500_000, r#""what":"remark","text":"something else""#),
];

#[test]
fn the_records_of_all_senders_are_summed_by_destination_and_interval() {
    let mut summary = AccessLogSummary::new(1_000_000);
    for (at_us, event) in EVENTS {
        summary.add(&record(at_us, event));
    }
    let rows: Vec<_> = summary.rows().collect();
    assert_eq!(rows.len(), 3, "{rows:?}");
    let (row, totals) = (&rows[0], rows[0].totals);
    assert_eq!((row.destination, row.from_s, row.in_flight), (4, 0.0, 1));
    assert_eq!(
        (
            totals.accepted,
            totals.attempts,
            totals.retries,
            totals.rejected_attempts,
            totals.reports
        ),
        (1, 1, 1, 1, 1)
    );
    let (row, totals) = (&rows[1], rows[1].totals);
    assert_eq!((row.destination, row.from_s, row.in_flight), (4, 2.0, 0));
    assert_eq!(
        (
            totals.succeeded_attempts,
            totals.delivered,
            totals.age_us,
            totals.ejections
        ),
        (1, 1, 2_000_000, 1)
    );
    assert_eq!(
        (rows[2].destination, rows[2].in_flight),
        (9, 1),
        "messages in flight are counted separately for each destination"
    );
}

#[test]
fn a_line_that_is_not_a_record_is_ignored() {
    for line in [
        "",
        "trace",
        "trace {",
        "trace {\"at\":-1,\"what\":\"taken\",\"to\":1}",
        "trace [1]",
        "trace 1e999",
    ] {
        assert_eq!(AccessRecord::parse(line), None, "{line}");
    }
}
