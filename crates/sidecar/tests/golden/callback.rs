//! The ids and bodies of the messages that carry outcomes to the callback.

use super::{golden, open_copy, run_local};
use milletturn_engine::Input;
use milletturn_sidecar::callback::Callback;
use milletturn_sidecar::shared_outcome_log::SharedOutcomeLog;
use tokio::sync::mpsc;

#[test]
fn a_callback_gets_the_same_ids_and_bodies() {
    let (_folder, log) = open_copy("outcomes");
    run_local(async {
        let (inputs, mut engine_inputs) = mpsc::unbounded_channel();
        let (_endings_sender, endings) = mpsc::unbounded_channel();
        let callback = Callback {
            class: 3,
            destination: 5,
            time_to_live: 60_000_000,
        };
        tokio::task::spawn_local(callback.run(SharedOutcomeLog::new(log, inputs), 0xfeed, endings));
        let lines =
            std::fs::read_to_string(golden("outcomes")).expect("the golden file is readable");
        for cursor in 3..=5 {
            let Some(Input::Arrived(arrival)) = engine_inputs.recv().await else {
                panic!("the callback submitted no message")
            };
            assert_eq!(
                arrival.id.to_string(),
                format!("outcome:000000000000feed:{cursor}")
            );
            let body = std::str::from_utf8(&arrival.body).expect("the body is UTF-8");
            assert!(
                lines.contains(body) && body.starts_with(&format!("{{\"cursor\":{cursor},")),
                "{body}"
            );
            assert_eq!(
                (arrival.class, arrival.destination, arrival.time_to_live),
                (3, 5, 60_000_000)
            );
            assert!(arrival.key.is_none() && !arrival.resubmitted && !arrival.from_lost_sender);
        }
    });
}
