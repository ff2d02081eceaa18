//! Guards the format of the snapshot that one process passes to the next: a stored snapshot of an earlier build must
//! be read, and written again byte for byte. The encoding depends on the order of fields and variants, not on their
//! names.

mod layout;
mod scenario;

use layout::{MILLISECOND, decode_layout, messages, routes};
use milletturn_engine::{Engine, RestoredEngine, Snapshot};
use milletturn_policy::{MessageId, Outcome};
use milletturn_test_support::{MemoryJournal, RecordingTransport, START_TIME_US};
use scenario::{engine, ports_of, settings};
use tokio::task::LocalSet;

/// A snapshot in version 7 of the format, of the engine that [`engine`] builds.
const SNAPSHOT: &[u8] = include_bytes!("snapshot.bin");

/// Numbers of the calls in flight, and how many messages are in each.
const CALLS_IN_FLIGHT: &[(u64, usize)] = &[(3, 1), (4, 1), (5, 1), (6, 2)];

#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn an_engine_is_written_and_restored_byte_for_byte() {
    LocalSet::new()
        .run_until(async {
            let journal = MemoryJournal::default();
            let fixture = engine(&journal).await;
            let written = fixture.engine.snapshot().expect("the snapshot is encoded");
            assert!(
                written == SNAPSHOT,
                "{} bytes written, which are not the {} stored ones",
                written.len(),
                SNAPSHOT.len()
            );
            drop(fixture);
            let (ports, _notifications) = ports_of(&journal, &RecordingTransport::default());
            let snapshot = Snapshot::decode(SNAPSHOT).expect("the snapshot is decoded");
            let RestoredEngine {
                engine,
                foreign_calls,
            } = Engine::restore(snapshot, ports).expect("valid settings");
            let rewritten = engine.snapshot().expect("the snapshot is encoded");
            assert!(
                rewritten == SNAPSHOT,
                "{} bytes written, which are not the {} stored ones",
                rewritten.len(),
                SNAPSHOT.len()
            );
            let foreign_calls: Vec<(u64, usize)> = foreign_calls
                .iter()
                .map(|foreign| (foreign.call, foreign.items))
                .collect();
            assert_eq!(foreign_calls, CALLS_IN_FLIGHT);
            assert_eq!(engine.calls_in_flight(), CALLS_IN_FLIGHT.len());
        })
        .await;
}

#[test]
fn each_value_is_decoded_from_its_position() {
    let found = decode_layout(SNAPSHOT);
    assert_eq!(found.now, START_TIME_US + 1062 * MILLISECOND);
    let names = ["unsafe", "keyed", "ordered"].map(String::from).to_vec();
    assert_eq!(found.classes, (settings().classes, vec![true; 3], names));
    assert_eq!(
        (&found.zones[..], &found.kinds[..]),
        (
            &["east", "west"].map(String::from)[..],
            &["one", "many"].map(String::from)[..]
        )
    );
    assert_eq!(
        (
            &found.max_batch_size[..],
            found.max_open_messages,
            found.max_attempts
        ),
        (&[1, 5][..], 50, 8)
    );
    assert_eq!(found.routes, routes());
    assert_eq!(found.last_endpoint, 6);
    assert_eq!(found.messages, messages());
    assert_eq!((found.next_message, found.next_call), (11, 7));
    let calls = [
        (3, vec![(MessageId(4), 1)], 1),
        (4, vec![(MessageId(5), 0)], 1),
        (5, vec![(MessageId(8), 0)], 1),
        (6, vec![(MessageId(6), 0), (MessageId(7), 0)], 2),
    ];
    assert_eq!(found.calls, calls);
    assert_eq!(found.delivered, ["delivered"]);
    assert_eq!(
        (found.alarm, found.ready),
        (Some(START_TIME_US + 1578 * MILLISECOND), true)
    );
    // the values above are the whole payload: encoding them again gives the same bytes
    let rewritten = postcard::to_allocvec(&found).expect("the snapshot is encoded");
    assert_eq!(rewritten, SNAPSHOT[..SNAPSHOT.len() - 4]);
}

#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn each_outcome_and_each_returned_end_survive_a_restore() {
    LocalSet::new()
        .run_until(async {
            let journal = MemoryJournal::default();
            drop(engine(&journal).await);
            let outcomes = [
                (Outcome::Success, 0),
                (Outcome::Error, 1),
                (Outcome::Rejected { retry_after: None }, 2),
                (Outcome::TimedOut, 3),
                (Outcome::NoConnection, 4),
                (Outcome::Reset, 5),
                (Outcome::Cancelled, 6),
                (Outcome::Unsent { no_slot: true }, 7),
            ];
            for (outcome, number) in outcomes {
                assert_eq!(
                    postcard::to_allocvec(&outcome).expect("the outcome is encoded")[0],
                    number
                );
                let mut changed = decode_layout(SNAPSHOT);
                changed.messages[1].end = Some((
                    START_TIME_US,
                    Some([None, Some(1500)][usize::from(number) % 2]),
                ));
                changed.messages[0].attempts[0].outcome = Some(outcome);
                let mut bytes = postcard::to_allocvec(&changed).expect("the snapshot is encoded");
                bytes.extend(crc32fast::hash(&bytes).to_le_bytes());
                let (ports, _notifications) = ports_of(&journal, &RecordingTransport::default());
                let snapshot = Snapshot::decode(&bytes).expect("the snapshot is decoded");
                let restored = Engine::restore(snapshot, ports).expect("valid settings");
                assert_eq!(
                    restored.engine.snapshot().expect("the snapshot is encoded"),
                    bytes
                );
            }
        })
        .await;
}
