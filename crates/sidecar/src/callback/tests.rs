//! Tests of the delivery window and of the message ids.

use super::{DeliveryWindow, cursor_of, message_id};
use milletturn_engine::SharedStr;

#[test]
fn only_outcomes_delivered_without_a_gap_are_acknowledged() {
    let mut window = DeliveryWindow {
        submitted_cursor: 7,
        in_flight: [4, 5, 7].into(),
        last_delivered: 3,
    };
    assert_eq!(window.mark_delivered(5), None);
    assert_eq!(window.mark_delivered(5), None, "a repeated notification");
    assert_eq!(window.mark_delivered(4), Some(6));
    assert_eq!(
        window.mark_delivered(9),
        None,
        "a message of an earlier process"
    );
    assert_eq!(window.mark_delivered(7), Some(7));
}

#[test]
fn the_id_of_a_callback_message_contains_the_cursor() {
    let id = SharedStr::new(message_id(0xfeed, 42).as_bytes()).expect("valid text");
    assert_eq!(cursor_of(&id), Some(42));
    assert_eq!(
        cursor_of(&SharedStr::new(b"other").expect("valid text")),
        None
    );
}
