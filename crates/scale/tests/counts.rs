//! Tests the counters of the scale run, which count missing, duplicate and reordered endpoint updates, and that a fit
//! through points on a line recovers that line.

use milletturn_engine::{EndpointListUpdate, ListedEndpoint};
use milletturn_policy::EndpointStatus;
use milletturn_scale::fit::{Form, best, fit};
use milletturn_scale::fleet::counters::{Mark, Report, SenderCounters, hash_sum_of};
use milletturn_scale::fleet::percentiles::Percentiles;

const SENDER_START_US: u64 = 1_000_000;

fn update(
    version: u64,
    full: bool,
    destinations: impl IntoIterator<Item = u64>,
) -> EndpointListUpdate {
    let endpoint = |destination: u64| ListedEndpoint {
        uid: format!("s-{destination}"),
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: String::new(),
        kind: "one".into(),
        destination,
        status: EndpointStatus::Serving,
        weight: 1.0,
    };
    EndpointListUpdate {
        version,
        full,
        endpoints: destinations.into_iter().map(endpoint).collect(),
    }
}

/// Returns the report of a sender that received a first list of ten destinations and then the given updates, after
/// twelve destinations had been published, the last at version 2,000,020.
fn report_after(updates: &[EndpointListUpdate]) -> Report {
    let mut counters = SenderCounters::new(0, SENDER_START_US, 10);
    counters.record_update(SENDER_START_US + 5, &update(1, true, 0..10), None);
    updates
        .iter()
        .for_each(|update| counters.record_update(2_000_050, update, None));
    let mut report = Report::default();
    counters.report(2_000_020, 12, hash_sum_of(12), &mut report);
    report
}

fn fault_counts(report: &Report) -> (u64, u64, u64) {
    (report.lost, report.doubled, report.wrong_order)
}

#[test]
fn a_sender_that_received_all_changes_has_no_faults() {
    let report = report_after(&[
        update(2_000_010, false, [10]),
        update(2_000_020, false, [11]),
    ]);
    assert_eq!(fault_counts(&report), (0, 0, 0));
    assert_eq!((report.lines, report.senders), (3, 1));
    assert_eq!(report.in_force.values().sum::<u64>(), 2);
    assert_eq!(
        report.time_to_first_list.keys().next(),
        Some(&5),
        "the first list was complete after 5 us"
    );
    // both changes arrive in one update, as after a lost connection
    assert_eq!(
        fault_counts(&report_after(&[update(2_000_020, false, [10, 11])])),
        (0, 0, 0)
    );
    // the second change arrives as a full list
    assert_eq!(
        fault_counts(&report_after(&[
            update(2_000_010, false, [10]),
            update(2_000_020, true, 0..12)
        ])),
        (0, 0, 0)
    );
}

#[test]
fn lost_duplicate_and_reordered_changes_are_counted() {
    assert_eq!(
        fault_counts(&report_after(&[update(2_000_010, false, [10])])),
        (1, 0, 0),
        "the last change is missing"
    );
    assert_eq!(
        fault_counts(&report_after(&[update(2_000_020, false, [11])])),
        (1, 0, 0),
        "the change before the last is missing"
    );
    let twice = [
        update(2_000_010, false, [10]),
        update(2_000_010, false, [10]),
        update(2_000_020, false, [11]),
    ];
    assert_eq!(
        report_after(&twice).doubled,
        2,
        "one version and one destination arrived twice"
    );
    let out_of_order = [
        update(2_000_020, false, [11]),
        update(2_000_010, false, [10]),
    ];
    assert_eq!(fault_counts(&report_after(&out_of_order)), (0, 0, 1));
    let other = [
        update(2_000_010, false, [10]),
        update(2_000_020, false, [12]),
    ];
    assert_eq!(
        report_after(&other).lost,
        1,
        "the number of destinations is right, but one of them is not a published one"
    );
}

#[test]
fn a_mark_counts_once_per_sender_and_not_before_the_sender_started() {
    let mark = Some(Mark {
        version: 2_000_010,
        from: 900_000,
    });
    let mut counters = SenderCounters::new(0, SENDER_START_US, 1);
    counters.record_update(1_500_000, &update(1, true, [0]), mark);
    counters.record_update(2_000_500, &update(2_000_010, false, [1]), mark);
    counters.record_update(2_000_900, &update(2_000_020, false, [2]), mark);
    let mut report = Report::default();
    counters.report(2_000_020, 3, hash_sum_of(3), &mut report);
    let spread = Percentiles::of(&report.marked);
    assert_eq!(spread.count, 1);
    // counted from the start of the sender (1,000,000 us), with a resolution of 1/256 and three digits
    assert!((spread.worst_s - 1.0005).abs() < 0.005, "{spread:?}");
    // a sender that had received the version before the mark was set did not wait for it
    let mut already_current = SenderCounters::new(0, SENDER_START_US, 1);
    already_current.record_update(2_000_500, &update(2_000_010, true, [0]), None);
    already_current.record_update(2_000_900, &update(2_000_020, false, [1]), mark);
    let mut report = Report::default();
    already_current.report(2_000_020, 2, hash_sum_of(2), &mut report);
    assert!(report.marked.is_empty(), "{report:?}");
}

#[test]
fn a_fit_recovers_the_form_and_slope_of_exact_points() {
    let sizes = [31.0, 62.0, 125.0, 250.0, 500.0, 1000.0];
    for form in Form::ALL {
        let points: Vec<(f64, f64)> = sizes
            .iter()
            .map(|&n| (n, 0.5 + 0.25 * form.term(n)))
            .collect();
        let found = best(&points).expect("six sizes");
        assert_eq!(found.form, form);
        assert!(
            (found.slope - 0.25).abs() < 1e-6 && found.rms < 1e-6,
            "{found:?}"
        );
    }
    let off_line: Vec<(f64, f64)> = vec![(1.0, 1.0), (2.0, 2.0), (3.0, 6.0)];
    let line = fit(Form::Linear, &off_line).expect("three sizes");
    assert!(
        (line.slope - 2.5).abs() < 1e-9 && (line.constant + 2.0).abs() < 1e-9,
        "{line:?}"
    );
    assert!(
        (line.worst - -1.0).abs() < 1e-9 && (line.rms - 0.5f64.sqrt()).abs() < 1e-9,
        "{line:?}"
    );
    assert!(
        fit(Form::Linear, &[(1.0, 1.0), (1.0, 2.0)]).is_none(),
        "a single size does not determine a line"
    );
}
