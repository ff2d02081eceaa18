use super::*;
use milletturn_engine::EndReason;

fn delivered(class: usize) -> EngineEvent<'static> {
    EngineEvent::Delivered {
        id: "m-1",
        class,
        destination: 7,
        age: 5,
    }
}

fn rejected(outcome: ArrivalOutcome) -> EngineEvent<'static> {
    EngineEvent::Rejected {
        id: "m-1",
        class: 1,
        destination: 7,
        at: 0,
        outcome,
    }
}

fn abandoned(ending: Ending) -> EngineEvent<'static> {
    EngineEvent::Abandoned {
        id: "m-1",
        class: 0,
        destination: 7,
        ending,
        reason: EndReason::DeadlineExceeded,
        never_attempted: true,
        age: 0,
    }
}

#[test]
fn each_message_end_is_counted_once_under_its_class() {
    let metrics = Metrics::default();
    metrics.count_event(&EngineEvent::Classes(&["a".to_string(), "b".to_string()]));
    let accepted = EngineEvent::Accepted {
        id: "m-1",
        class: 0,
        destination: 7,
        at: 0,
    };
    for event in [
        accepted,
        delivered(0),
        rejected(ArrivalOutcome::Rejected { retry_after: None }),
        rejected(ArrivalOutcome::NoCapacity),
        rejected(ArrivalOutcome::Failed),
        abandoned(Ending::Failed),
        abandoned(Ending::Returned { after_ms: None }),
    ] {
        metrics.count_event(&event);
    }
    metrics.attempts_written.set(4);
    let text = metrics.render(EngineStatus {
        open_messages: 3,
        listed_endpoints: 2,
        ejected_endpoints: 1,
    });
    let expected = "relay.responses.a.ok:1|c\nrelay.responses.a.shed:1|c\nrelay.responses.a.errors:1|c\n\
        relay.responses.b.ok:0|c\nrelay.responses.b.shed:2|c\nrelay.responses.b.errors:1|c\n\
        relay.tries:4|c\nrelay.active:3|g\nrelay.pool_size:2|g\nrelay.pool_ejected:1|g\n\
        relay.config_applied:0|c\nrelay.config_rejected:0|c\n";
    assert_eq!(text, expected);
}

#[test]
fn the_number_of_counted_classes_is_limited() {
    let metrics = Metrics::default();
    for number in 0..2 * MAX_CLASSES {
        metrics.count_event(&EngineEvent::Classes(&[format!("c{number}")]));
        metrics.count_event(&delivered(0));
    }
    assert!(metrics.ends.borrow().len() <= MAX_CLASSES + 1);
    let all: u64 = metrics.ends.borrow().values().map(|ends| ends.ok).sum();
    assert_eq!(all, 2 * MAX_CLASSES as u64);
}

#[test]
fn closed_connections_are_counted_by_reason() {
    let metrics = Metrics::default();
    for reason in [
        CloseReason::UnsolicitedData,
        CloseReason::Evicted,
        CloseReason::UnsolicitedData,
    ] {
        metrics.count_event(&EngineEvent::ConnectionClosed {
            uid: "s-1",
            connection: 1,
            calls: 2,
            reason,
            unsolicited: None,
        });
    }
    let text = metrics.render(EngineStatus::default());
    assert!(text.ends_with(
        "relay.connections_closed.evicted:1|c\nrelay.connections_closed.unsolicited_data:2|c\n"
    ));
}
