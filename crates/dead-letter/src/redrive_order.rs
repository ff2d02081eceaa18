//! What the engine needs to redrive a message, made from its row.

use crate::row::Row;
use bytes::Bytes;
use milletturn_engine::{RedriveOrder, SharedStr, UncertainAttempt};
use milletturn_policy::{Effect, Micros};

/// What the engine needs to redrive a message; `None` without its body.
pub(crate) fn order_of(row: &Row, effect: Option<Effect>) -> Option<RedriveOrder> {
    let shared = |text: &str| SharedStr::new(text.as_bytes()).ok();
    let key = match &row.key {
        Some(key) => Some(shared(key)?),
        None => None,
    };
    let uncertain = row
        .first_uncertain_at
        .filter(|_| effect != Some(Effect::Repeatable));
    Some(RedriveOrder {
        number: row.number,
        id: shared(&row.id)?,
        key,
        class: row.class.clone(),
        destination: row.destination,
        body: Bytes::from(row.body.clone()?),
        uncertain_attempt: uncertain.map(|sent_at| uncertain_attempt(row, sent_at)),
    })
}

/// The attempt from which a key's window counts. Its endpoint only matters where keys are known by zone; then it is
/// that of the attempt itself.
fn uncertain_attempt(row: &Row, sent_at: Micros) -> UncertainAttempt {
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
