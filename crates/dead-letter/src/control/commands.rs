//! Executes the requests of the control socket: sends jobs to the store's thread, and writes the responses.

use super::messages::{Request, Response};
use super::server::ResponseWriter;
use crate::error::{RedriveError, Rejection, StoreError};
use crate::job::{GetRequest, Job, ListRequest, RedriveJob, Redriven, ResolveJob, WithReply};
use crate::record::{BodyMode, Filter, Summary};
use crate::redrive_service::Resolution;
use std::collections::BTreeSet;
use std::io;
use std::sync::mpsc::{SyncSender, TrySendError};
use std::time::Duration;
use thiserror::Error;
use tokio::sync::oneshot;
use tokio::time::sleep;

/// Maximum number of messages that one job reads from the store.
const PAGE_SIZE: usize = 200;
/// How many times a command retries to add a job to the full queue of the store's thread before it fails.
const MAX_QUEUE_RETRIES: usize = 1000;
/// Backoff before each retry to add a job to the full queue.
const QUEUE_BACKOFF: Duration = Duration::from_millis(5);

/// Why the answer to a command ended early.
#[derive(Debug, Error)]
pub(super) enum CommandError {
    /// The store failed; the client gets the error.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The response could not be written to the client's connection.
    #[error(transparent)]
    Connection(#[from] io::Error),
}

/// Executes a request and writes all responses but the last one.
pub(super) async fn execute(
    request: Request,
    jobs: &SyncSender<Job>,
    responses: &mut ResponseWriter,
) -> Result<(), CommandError> {
    match request {
        Request::Stats => write_stats(jobs, responses).await,
        Request::List { filter, limit } => {
            let limit = limit.unwrap_or(usize::MAX);
            write_summaries(filter, limit, jobs, responses).await
        }
        Request::Records { filter, bodies } => {
            write_records(filter, BodyMode::from_requested(bodies), jobs, responses).await
        }
        Request::Redrive {
            filter,
            actor,
            reason,
            dry_run,
        } => {
            let redrive = |number| RedriveJob {
                number,
                actor: actor.clone(),
                reason: reason.clone(),
                dry_run,
            };
            for_each_number(filter, jobs, responses, async |number| {
                submit_job(jobs, redrive(number), Job::Redrive).await
            })
            .await
        }
        Request::Resolve {
            filter,
            did_not_run,
            actor,
            reason,
        } => {
            let resolution = resolution_for(did_not_run);
            let resolve = |number| ResolveJob {
                number,
                resolution,
                actor: actor.clone(),
                reason: reason.clone(),
            };
            for_each_number(filter, jobs, responses, async |number| {
                submit_job(jobs, resolve(number), Job::Resolve).await?;
                Ok(Redriven { until: None })
            })
            .await
        }
    }
}

async fn write_stats(
    jobs: &SyncSender<Job>,
    responses: &mut ResponseWriter,
) -> Result<(), CommandError> {
    let stats = submit_job(jobs, (), Job::Stats).await?;
    Ok(responses.write(&Response::Stats(stats)).await?)
}

fn resolution_for(did_not_run: bool) -> Resolution {
    if did_not_run {
        Resolution::DidNotRun
    } else {
        Resolution::Done
    }
}

async fn write_summaries(
    filter: Filter,
    limit: usize,
    jobs: &SyncSender<Job>,
    responses: &mut ResponseWriter,
) -> Result<(), CommandError> {
    let mut pages = Pages::new(filter, jobs);
    while responses.count < limit
        && let Some(page) = pages.next(limit - responses.count).await?
    {
        for summary in page {
            responses.count += 1;
            responses.write(&Response::Summary(summary)).await?;
        }
    }
    Ok(())
}

async fn write_records(
    filter: Filter,
    body: BodyMode,
    jobs: &SyncSender<Job>,
    responses: &mut ResponseWriter,
) -> Result<(), CommandError> {
    let mut pages = Pages::new(filter, jobs);
    while let Some(page) = pages.next(usize::MAX).await? {
        for Summary { number, .. } in page {
            let request = GetRequest { number, body };
            if let Some(record) = submit_job(jobs, request, Job::Get).await? {
                responses.count += 1;
                responses.write(&Response::Record(Box::new(record))).await?;
            }
        }
    }
    Ok(())
}

/// Changes each message that matches the filter, and writes the result for each. A number that the filter lists is
/// rejected as [`Rejection::NotFound`] if no message matches, even if the store holds a message with this number that
/// another condition of the filter excludes.
async fn for_each_number(
    filter: Filter,
    jobs: &SyncSender<Job>,
    responses: &mut ResponseWriter,
    change: impl AsyncFn(u64) -> Result<Redriven, RedriveError>,
) -> Result<(), CommandError> {
    let mut missing: BTreeSet<u64> = filter.numbers.iter().copied().collect();
    let mut pages = Pages::new(filter, jobs);
    while let Some(page) = pages.next(usize::MAX).await? {
        for Summary { number, .. } in page {
            missing.remove(&number);
            let result = match change(number).await {
                Ok(redriven) => Ok(redriven),
                Err(RedriveError::Rejected(rejection)) => Err(rejection),
                Err(RedriveError::Store(error)) => return Err(error.into()),
            };
            write_result(number, result, responses).await?;
        }
    }
    for number in missing {
        write_result(number, Err(Rejection::NotFound), responses).await?;
    }
    Ok(())
}

async fn write_result(
    number: u64,
    result: Result<Redriven, Rejection>,
    responses: &mut ResponseWriter,
) -> Result<(), CommandError> {
    responses.count += 1;
    responses.rejected += usize::from(result.is_err());
    let (until, rejection) = match result {
        Ok(redriven) => (redriven.until, None),
        Err(rejection) => (None, Some(rejection.to_string())),
    };
    let response = Response::Done {
        number,
        until,
        rejection,
    };
    Ok(responses.write(&response).await?)
}

/// Reads the messages that match a filter, page by page.
struct Pages<'a> {
    filter: Filter,
    next_after: Option<u64>,
    jobs: &'a SyncSender<Job>,
}

impl<'a> Pages<'a> {
    fn new(filter: Filter, jobs: &'a SyncSender<Job>) -> Self {
        Pages {
            filter,
            next_after: Some(0),
            jobs,
        }
    }

    /// The next page, with at most `limit` messages; `None` after the last one.
    async fn next(&mut self, limit: usize) -> Result<Option<Vec<Summary>>, StoreError> {
        let Some(after) = self.next_after else {
            return Ok(None);
        };
        let request = ListRequest {
            filter: self.filter.clone(),
            after,
            limit: PAGE_SIZE.min(limit),
        };
        let page = submit_job(self.jobs, request, Job::List).await?;
        self.next_after = page.next_after;
        Ok(Some(page.messages))
    }
}

/// Sends a job to the store's thread and waits for its reply. Unlike the engine, a command may wait while the thread's
/// queue is full.
async fn submit_job<Q, R, E: From<StoreError>>(
    jobs: &SyncSender<Job>,
    request: Q,
    job: impl FnOnce(WithReply<Q, R, E>) -> Job,
) -> Result<R, E> {
    let (reply, reply_receiver) = oneshot::channel();
    let mut job = job(WithReply { request, reply });
    for attempt in 0.. {
        match jobs.try_send(job) {
            Ok(()) => break,
            Err(TrySendError::Full(returned)) if attempt < MAX_QUEUE_RETRIES => job = returned,
            Err(_) => return Err(StoreError::Unavailable.into()),
        }
        sleep(QUEUE_BACKOFF).await;
    }
    reply_receiver
        .await
        .unwrap_or_else(|_| Err(StoreError::Unavailable.into()))
}
