//! Batches: messages that share a call.

mod common;

use milletturn_engine::*;
use milletturn_policy::SECOND;
use milletturn_test_support::{
    MemoryJournal, RecordingTransport, engine_ports, new_arrival, serving_endpoint,
};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::{LocalSet, yield_now};
use tokio::time::Instant;

#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn a_shared_call_expires_with_the_first_of_its_messages() {
    // a response after the earliest deadline counts as no response, for all messages of the call
    LocalSet::new()
        .run_until(async {
            let calls = RecordingTransport::default();
            let settings = common::keyed_settings(40, 50, 5);
            let (inputs, mut received) = mpsc::unbounded_channel();
            let ports = engine_ports(
                settings,
                vec![serving_endpoint(1)],
                &MemoryJournal::default(),
                calls.clone(),
            );
            let mut engine = Engine::new(ports).expect("valid settings");
            for (id, seconds) in [("long", 9), ("short", 3), ("longer", 10)] {
                let (mut arrival, _) = new_arrival(id, 0, true);
                arrival.time_to_live = seconds * SECOND;
                inputs
                    .send(Input::Arrived(arrival))
                    .expect("the input channel is open");
            }
            tokio::task::spawn_local(async move { engine.run(&mut received).await });
            while calls.0.borrow().is_empty() {
                yield_now().await;
            }
            let calls = calls.0.borrow();
            assert_eq!(
                (calls.len(), calls[0].items.len()),
                (1, 3),
                "they share a call"
            );
            assert_eq!(calls[0].expires, Instant::now() + Duration::from_secs(3));
        })
        .await;
}
