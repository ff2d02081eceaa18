//! What the scale run counts is what happened: a list that lacks something, has something twice, or comes out of
//! order is found; a line through points is the line that they lie on.

use milletturn_engine::{EndpointListUpdate, ListedEndpoint};
use milletturn_policy::EndpointStatus;
use milletturn_scale::fit::{Form, best, fit};
use milletturn_scale::fleet::tally::{Mark, Report, Tally, sum_of};
use milletturn_scale::fleet::times::Spread;

const BEGUN: u64 = 1_000_000;

fn list(
    version: u64,
    full: bool,
    destinations: impl IntoIterator<Item = u64>,
) -> EndpointListUpdate {
    let target = |destination: u64| ListedEndpoint {
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
        endpoints: destinations.into_iter().map(target).collect(),
    }
}

/// What a sender reports that heard a first list of ten and then these, where twelve had been published, the last at
/// version 2,000,020.
fn heard(updates: &[EndpointListUpdate]) -> Report {
    let mut tally = Tally::new(0, BEGUN, 10);
    tally.listed(BEGUN + 5, &list(1, true, 0..10), None);
    updates
        .iter()
        .for_each(|update| tally.listed(2_000_050, update, None));
    let mut report = Report::default();
    tally.report(2_000_020, 12, sum_of(12), &mut report);
    report
}

fn astray(report: &Report) -> (u64, u64, u64) {
    (report.lost, report.doubled, report.wrong_order)
}

#[test]
fn a_sender_that_heard_all_lacks_nothing() {
    let report = heard(&[list(2_000_010, false, [10]), list(2_000_020, false, [11])]);
    assert_eq!(astray(&report), (0, 0, 0));
    assert_eq!((report.lines, report.senders), (3, 1));
    assert_eq!(report.in_force.values().sum::<u64>(), 2);
    assert_eq!(
        report.begun.keys().next(),
        Some(&5),
        "the first list was whole after 5 us"
    );
    // both at once, as after a cut
    assert_eq!(
        astray(&heard(&[list(2_000_020, false, [10, 11])])),
        (0, 0, 0)
    );
    // and the whole list anew
    assert_eq!(
        astray(&heard(&[
            list(2_000_010, false, [10]),
            list(2_000_020, true, 0..12)
        ])),
        (0, 0, 0)
    );
}

#[test]
fn what_went_astray_is_counted() {
    assert_eq!(
        astray(&heard(&[list(2_000_010, false, [10])])),
        (1, 0, 0),
        "the last one is missing"
    );
    assert_eq!(
        astray(&heard(&[list(2_000_020, false, [11])])),
        (1, 0, 0),
        "one before it is missing"
    );
    let twice = [
        list(2_000_010, false, [10]),
        list(2_000_010, false, [10]),
        list(2_000_020, false, [11]),
    ];
    assert_eq!(
        heard(&twice).doubled,
        2,
        "a version and a destination, twice"
    );
    let overtaken = [list(2_000_020, false, [11]), list(2_000_010, false, [10])];
    assert_eq!(astray(&heard(&overtaken)), (0, 0, 1));
    let other = [list(2_000_010, false, [10]), list(2_000_020, false, [12])];
    assert_eq!(
        heard(&other).lost,
        1,
        "as many as there should be, and not the same ones"
    );
}

#[test]
fn a_mark_counts_once_for_each_sender_and_from_its_own_beginning() {
    let mark = Some(Mark {
        version: 2_000_010,
        from: 900_000,
    });
    let mut tally = Tally::new(0, BEGUN, 1);
    tally.listed(1_500_000, &list(1, true, [0]), mark);
    tally.listed(2_000_500, &list(2_000_010, false, [1]), mark);
    tally.listed(2_000_900, &list(2_000_020, false, [2]), mark);
    let mut report = Report::default();
    tally.report(2_000_020, 3, sum_of(3), &mut report);
    let spread = Spread::of(&report.marked);
    assert_eq!(spread.count, 1);
    // counted from the sender's beginning, told to 1 part in 256 and three digits
    assert!((spread.worst_s - 1.0005).abs() < 0.005, "{spread:?}");
    // one that knew the version before the mark was set has not waited for it
    let mut knew = Tally::new(0, BEGUN, 1);
    knew.listed(2_000_500, &list(2_000_010, true, [0]), None);
    knew.listed(2_000_900, &list(2_000_020, false, [1]), mark);
    let mut report = Report::default();
    knew.report(2_000_020, 2, sum_of(2), &mut report);
    assert!(report.marked.is_empty(), "{report:?}");
}

#[test]
fn a_line_is_found_again_with_the_form_that_made_it() {
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
    let off: Vec<(f64, f64)> = vec![(1.0, 1.0), (2.0, 2.0), (3.0, 6.0)];
    let line = fit(Form::Linear, &off).expect("three sizes");
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
        "one size is no line"
    );
}
