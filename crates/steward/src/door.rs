//! Calls by members, operators and other stewards.

use crate::reign::{NotHere, Throne};
use crate::settings::Settings;
use crate::{Group, StewardId};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use milletturn_fleet::{Book, Entry};
use milletturn_fleet_wire::words::{self, Backup, Look, Opening, Renewal, Renewed, Status, Trouble};
use milletturn_log::Seldom;
use openraft::ServerState;
use openraft::raft::{AppendEntriesRequest, InstallSnapshotRequest, VoteRequest};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};

/// Connections at once: a member holds one, so this is room for a full book, the stewards and some operators.
const PLACES: usize = milletturn_fleet::bounds::SESSIONS + 64;
/// A connection on which nothing comes for so long is given up; members call several times within a lease.
const IDLE: Duration = Duration::from_secs(300);
/// Longest time in which a call's body has to come.
const BODY: Duration = Duration::from_secs(10);

/// What calls have in common.
pub struct Door {
    /// The steward's file.
    pub settings: Settings,
    /// Names the book that the group began with.
    pub origin: String,
    /// The steward itself.
    pub throne: Rc<Throne>,
}

/// Serves for ever.
pub async fn serve(listener: TcpListener, door: Rc<Door>) {
    let faults = Seldom::default();
    let free = std::sync::Arc::new(Semaphore::new(PLACES));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                faults.log(format_args!("steward: no connection accepted: {error}"));
                sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        let Ok(place) = free.clone().try_acquire_owned() else {
            faults.log(format_args!("steward: all {PLACES} connections are taken, one more is turned away"));
            continue;
        };
        let door = door.clone();
        tokio::task::spawn_local(async move {
            serve_one(stream, door).await;
            drop(place);
        });
    }
}

async fn serve_one(stream: TcpStream, door: Rc<Door>) {
    // without it answers still come, only later
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let door = door.clone();
        async move { Ok::<_, Infallible>(door.answer(request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE)
        .serve_connection(TokioIo::new(stream), service);
    // how a caller leaves is its own affair
    let _ = connection.await;
}

type Answered = Result<Vec<u8>, (StatusCode, Trouble)>;

fn refused(status: StatusCode, why: impl Into<String>) -> (StatusCode, Trouble) {
    (status, Trouble { why: why.into(), leader: None, may_have_happened: false })
}

fn told(answer: &impl Serialize) -> Answered {
    serde_json::to_vec(answer).map_err(|error| refused(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()))
}

impl Door {
    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let (status, body) = match self.answered(request).await {
            Ok(body) => (StatusCode::OK, body),
            Err((status, trouble)) => (status, serde_json::to_vec(&trouble).unwrap_or_default()),
        };
        let mut response = Response::new(Full::new(Bytes::from(body)));
        *response.status_mut() = status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert(words::STEWARD_HEADER, HeaderValue::from(self.settings.id));
        response
    }

    async fn answered(&self, request: Request<Incoming>) -> Answered {
        let header = |name: &str| request.headers().get(name).and_then(|value| value.to_str().ok());
        if header(words::GROUP_HEADER) != Some(&self.settings.group) {
            let why = format!("this is group {:?}: the call is for another one", self.settings.group);
            return Err(refused(StatusCode::CONFLICT, why));
        }
        if header(words::VERSION_HEADER) != Some(words::VERSION) {
            let why = format!("this steward speaks version {} of the wire, the call another", words::VERSION);
            return Err(refused(StatusCode::CONFLICT, why));
        }
        let path = request.uri().path().to_string();
        if path.starts_with("/consensus/") && header(words::ORIGIN_HEADER) != Some(&self.origin) {
            let why = format!("this group began with book {}, the caller's with another", self.origin);
            return Err(refused(StatusCode::CONFLICT, why));
        }
        let get = matches!(path.as_str(), words::BOOK | words::STATUS | words::BACKUP);
        if request.method() != if get { Method::GET } else { Method::POST } {
            return Err(refused(StatusCode::METHOD_NOT_ALLOWED, "another method"));
        }
        let raft = &self.throne.raft;
        match path.as_str() {
            words::STATUS => told(&self.status()),
            words::BOOK => {
                self.throne.confirm().await.map_err(|not_here| elsewhere(&not_here, false))?;
                told(&self.look())
            }
            words::BACKUP => {
                self.throne.confirm().await.map_err(|not_here| elsewhere(&not_here, false))?;
                let book = self.throne.machine.look(Book::clone);
                told(&Backup { form: words::BACKUP_FORM, group: self.settings.group.clone(), book })
            }
            words::OPEN => {
                let Opening { about, nonce } = read(request, words::CALL_MOST).await?;
                self.write(Entry::Open { about, nonce, lease: self.settings.lease.lease.0 }).await
            }
            words::RENEW => {
                let Renewal { session, run_out } = read(request, words::CALL_MOST).await?;
                let renewed = self.throne.renew(session, run_out).await;
                let renewed = renewed.map_err(|not_here| elsewhere(&not_here, false))?;
                told(&renewed.map(|owns| Renewed { owns }))
            }
            words::ORDER => match read(request, words::CALL_MOST).await? {
                Entry::Open { .. } | Entry::Expire { .. } => {
                    Err(refused(StatusCode::FORBIDDEN, "only the leading steward writes this"))
                }
                entry => self.write(entry).await,
            },
            words::APPEND => {
                let call: AppendEntriesRequest<Group> = read(request, words::BODY_MOST).await?;
                told(&raft.append_entries(call).await)
            }
            words::VOTE => {
                let call: VoteRequest<StewardId> = read(request, words::CALL_MOST).await?;
                told(&raft.vote(call).await)
            }
            words::SNAPSHOT => {
                let call: InstallSnapshotRequest<Group> = read(request, words::BODY_MOST).await?;
                told(&raft.install_snapshot(call).await)
            }
            _ => Err(refused(StatusCode::NOT_FOUND, "no such path")),
        }
    }

    async fn write(&self, entry: Entry) -> Answered {
        let answer = self.throne.write(entry).await.map_err(|not_here| elsewhere(&not_here, true))?;
        told(&answer)
    }

    fn status(&self) -> Status {
        let metrics = self.throne.raft.metrics().borrow().clone();
        // it goes on taking itself for the leader until it hears of another: without a majority's word it says so
        let silent = self.settings.heartbeat * 10;
        let heard = metrics.millis_since_quorum_ack;
        let cut_off = metrics.state == ServerState::Leader
            && heard.is_none_or(|heard| u128::from(heard) > silent.as_millis());
        let role =
            if cut_off { "cut off".to_string() } else { format!("{:?}", metrics.state).to_lowercase() };
        Status {
            group: self.settings.group.clone(),
            steward: self.settings.id,
            version: env!("CARGO_PKG_VERSION").to_string(),
            role,
            leader: metrics.current_leader,
            reign: metrics.current_term,
            applied: metrics.last_applied.map_or(0, |applied| applied.index),
            voters: metrics.membership_config.voter_ids().collect(),
            majority_heard: heard,
        }
    }

    fn look(&self) -> Look {
        self.throne.machine.look(|book| Look {
            group: self.settings.group.clone(),
            leader: self.settings.id,
            sessions: book.sessions().clone(),
            works: book.works().clone(),
            history: book.history().cloned().collect(),
        })
    }
}

fn elsewhere(not_here: &NotHere, may_have_happened: bool) -> (StatusCode, Trouble) {
    match not_here {
        NotHere::Leader(leader) => {
            let why = "another steward leads, or none does yet; ask that one".to_string();
            let trouble = Trouble { why, leader: *leader, may_have_happened: false };
            (StatusCode::MISDIRECTED_REQUEST, trouble)
        }
        NotHere::NoMajority => {
            let why = "no majority of the stewards answers this one; ask another".to_string();
            (StatusCode::SERVICE_UNAVAILABLE, Trouble { why, leader: None, may_have_happened })
        }
    }
}

async fn read<T: DeserializeOwned>(
    request: Request<Incoming>, most: usize,
) -> Result<T, (StatusCode, Trouble)> {
    let late = |_| refused(StatusCode::REQUEST_TIMEOUT, "the call's body did not come");
    let body = timeout(BODY, Limited::new(request.into_body(), most).collect()).await.map_err(late)?;
    let unread = |error: &dyn std::fmt::Display| refused(StatusCode::BAD_REQUEST, error.to_string());
    let body = body.map_err(|error| unread(&error))?.to_bytes();
    serde_json::from_slice(&body).map_err(|error| unread(&error))
}
