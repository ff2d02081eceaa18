//! Builds the engine's order to redrive a message from the message's row.

use crate::row::Row;
use bytes::Bytes;
use milletturn_engine::{RedriveOrder, SharedStr, UncertainAttempt};
use milletturn_policy::{Effect, Micros};

/// Builds the order to redrive a message; `None` if the row has no body, or an id or key that is not a valid
/// [`SharedStr`].
pub(crate) fn build_order(row: &Row, effect: Effect) -> Option<RedriveOrder> {
    let shared = |text: &str| SharedStr::new(text.as_bytes()).ok();
    let key = match &row.key {
        Some(key) => Some(shared(key)?),
        None => None,
    };
    Some(RedriveOrder {
        number: row.number,
        id: shared(&row.id)?,
        key,
        class: row.class.clone(),
        destination: row.destination,
        body: Bytes::from(row.body.clone()?),
        effect,
        uncertain_attempt: row
            .first_uncertain_at
            .map(|sent_at| find_uncertain_attempt(row, sent_at)),
    })
}

/// The attempt at which the deduplication window of the message's idempotency key begins. The engine needs the
/// attempt's endpoint only for destinations that recognize a key in a single zone. The endpoint is empty if the history
/// no longer has the attempt.
fn find_uncertain_attempt(row: &Row, sent_at: Micros) -> UncertainAttempt {
    let endpoint = row
        .history
        .rounds
        .iter()
        .flat_map(|round| &round.attempts)
        .find(|attempt| attempt.may_have_run && attempt.sent_at == sent_at)
        .map(|attempt| attempt.endpoint.clone());
    UncertainAttempt {
        uid: endpoint.unwrap_or_default(),
        sent_at,
    }
}
