//! Answers read-only requests from the store's file when no sender runs.

use super::now;
use super::printer::ResponsePrinter;
use milletturn_dead_letter::control::{Request, Response};
use milletturn_dead_letter::error::StoreError;
use milletturn_dead_letter::record::BodyMode;
use milletturn_dead_letter::store::DeadLetterStore;
use std::path::Path;

/// Number of messages that are read from the store at once.
const PAGE: usize = 200;

/// Answers a read-only request with the same responses as a running sender.
pub(super) fn answer(
    path: &Path,
    request: &Request,
    printer: &mut ResponsePrinter,
) -> Result<(), StoreError> {
    let store = DeadLetterStore::open_read_only(path)?;
    let (filter, limit) = match request {
        Request::List { filter, limit } => (filter, limit.unwrap_or(usize::MAX)),
        Request::Records { filter, .. } => (filter, usize::MAX),
        _ => {
            printer.receive(Response::Stats(store.stats(now())?));
            return Ok(());
        }
    };
    let (mut count, mut next_after) = (0, Some(0));
    while let Some(after) = next_after.take_if(|_| count < limit) {
        let page = store.list(filter, after, PAGE.min(limit - count))?;
        next_after = page.next_after;
        for summary in page.messages {
            count += 1;
            match request {
                Request::Records { bodies, .. } => {
                    if let Some(record) =
                        store.record(summary.number, BodyMode::from_requested(*bodies))?
                    {
                        printer.receive(Response::Record(Box::new(record)));
                    }
                }
                _ => printer.receive(Response::Summary(summary)),
            }
        }
    }
    printer.receive(Response::End { count, rejected: 0 });
    Ok(())
}
