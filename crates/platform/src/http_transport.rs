//! Calls to endpoints: connections, time-outs, and what each answer means.
//!
//! Nothing here sends a call again by itself: a repeat that the decision module doesn't know of would be a
//! duplicate. When it is unsure whether a call may have run, the outcome says that it may. What hyper does not
//! tell, such as the first line of an answer whose head it rejects, is seen by `MonitoredStream` on the raw bytes.

mod response;

use self::response::{READ_TIMEOUT, ResponseReader};
use crate::attribution::CloseBehaviours;
use crate::call_codec::{Persistence, bulk_size, request_of};
use crate::call_result::Answer;
use crate::connection::Connection;
use crate::connection_monitor::Wire;
use crate::pools::Pools;
use crate::resource_budget::ResourceBudget;
use milletturn_engine::{
    AttemptEnd, Attribution, Call, CallItem, EndCause, Input, MAX_BODY_BYTES, Transport,
};
use milletturn_logging::RateLimitedLog;
use milletturn_policy::{EndpointId, Outcome};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot};
use tokio::time::{Instant, sleep_until, timeout};

/// Longest wait for the rest of the head behind a first line that says 200: the message is delivered, and only
/// the load report would be missed.
const HEAD_TIMEOUT_BEHIND_200: Duration = Duration::from_millis(200);
/// A connection rests so long after an answer: what comes right behind that must not meet the next call.
const MIN_IDLE_TIME: Duration = Duration::from_millis(5);
/// Longest wait for the descriptor of an idle connection that gives way to a new one.
const DESCRIPTOR_TIMEOUT: Duration = Duration::from_millis(200);

/// The connections to the endpoints and what calls have in common: the transport of the platform.
#[derive(Clone)]
pub struct HttpTransport(Rc<Shared>);

struct Shared {
    pools: RefCell<Pools<Connection>>,
    /// Descriptors for connections.
    descriptors: Arc<Semaphore>,
    /// Connections are given up somewhat before the endpoint would close them.
    max_idle_time: Duration,
    dial_timeout: Duration,
    report_fields: Vec<String>,
    faults: RateLimitedLog,
    inputs: mpsc::UnboundedSender<Input>,
    /// Messages written whole to endpoints.
    attempts_written: Rc<Cell<u64>>,
    /// Connections opened so far.
    opened: Cell<u64>,
    close_behaviours: RefCell<CloseBehaviours>,
}

impl HttpTransport {
    /// No connections yet. `idle` is when endpoints close idle ones, zero where that is not known. `attempts_written`
    /// counts messages that have been written whole.
    pub fn new(
        idle: Duration,
        dial_timeout: Duration,
        report_fields: Vec<String>,
        budget: &ResourceBudget,
        inputs: mpsc::UnboundedSender<Input>,
        attempts_written: Rc<Cell<u64>>,
    ) -> Self {
        let idle = if idle.is_zero() {
            Duration::from_secs(5)
        } else {
            idle
        };
        let max_idle_time = (idle * 9 / 10).min(idle.saturating_sub(Duration::from_millis(300)));
        HttpTransport(Rc::new(Shared {
            pools: RefCell::new(Pools::new(budget.idle_connections)),
            descriptors: Arc::new(Semaphore::new(budget.endpoint_connections)),
            max_idle_time,
            dial_timeout,
            report_fields,
            faults: RateLimitedLog::default(),
            inputs,
            attempts_written,
            opened: Cell::default(),
            close_behaviours: RefCell::default(),
        }))
    }
}

impl HttpTransport {
    /// Descriptors for connections that are free.
    #[must_use]
    pub fn descriptors(&self) -> Arc<Semaphore> {
        self.0.descriptors.clone()
    }
}

impl Transport for HttpTransport {
    /// Starts a call; its messages' ends come as inputs. `cancels` has the positions that are called off.
    fn start(&self, call: Call, cancels: mpsc::UnboundedReceiver<usize>) {
        let shared = self.0.clone();
        tokio::task::spawn_local(async move { run(shared, call, cancels).await });
    }

    /// Connections to the endpoint may be kept from now on; those to another address of it go.
    fn add_endpoint(&self, endpoint: EndpointId, address: SocketAddr) {
        self.0.pools.borrow_mut().admit(endpoint, address);
    }

    /// The endpoint gets no calls any more: its connections go, also those that a call still holds.
    fn remove_endpoint(&self, endpoint: EndpointId) {
        self.0.pools.borrow_mut().forget(endpoint);
        self.0.close_behaviours.borrow_mut().forget(endpoint);
    }

    /// Gives back the connections to an endpoint that carry nothing now.
    fn close_idle_connections(&self, endpoint: EndpointId) {
        self.0.pools.borrow_mut().clear(endpoint);
    }

    /// Closes connections that would soon be closed from the other side.
    fn evict_idle(&self) {
        let over = |connection: &Connection| connection.sender.is_closed();
        self.0
            .pools
            .borrow_mut()
            .sweep(Instant::now(), self.0.max_idle_time, over);
        self.0.close_behaviours.borrow_mut().evict(Instant::now());
    }

    fn item_bytes(&self, item: &CallItem) -> usize {
        bulk_size(item)
    }

    fn max_call_bytes(&self) -> usize {
        MAX_BODY_BYTES
    }
}

async fn run(shared: Rc<Shared>, call: Call, mut cancels: mpsc::UnboundedReceiver<usize>) {
    // what is called off stays out while others need the call: the far side sees the connection open, and a further
    // send would be a second copy there
    let mut wanted: Vec<bool> = vec![true; call.items.len()];
    let wire = RefCell::new(None);
    let answer = {
        let exchange = exchange(&shared, &call, &wire);
        tokio::pin!(exchange);
        loop {
            tokio::select! {
                // an answer that is there counts more than a cancel
                biased;
                answer = &mut exchange => break answer,
                () = sleep_until(call.expires) => {
                    break without_response(&wire, call.items.len(), Outcome::TimedOut, EndCause::TimedOut);
                }
                Some(item) = cancels.recv() => {
                    if is_delivered(&wire, call.items.len()) {
                        break Answer::all(Outcome::Success, EndCause::Response(200));
                    }
                    wanted.get_mut(item).map(std::mem::take);
                    if !wanted.contains(&true) {
                        break Answer::all(Outcome::Cancelled, EndCause::Cancelled);
                    }
                }
            }
        }
    };
    let connection_use = wire.borrow().as_ref().map(|wire| wire.connection_use());
    for position in 0..call.items.len() {
        let (outcome, closed) = answer.end_at(position);
        let end = AttemptEnd {
            call: call.number,
            position,
            outcome,
            closed,
            report: answer.report.clone(),
            cause: answer.cause,
            ambiguous: answer.ambiguous,
            connection_use,
        };
        // nobody listens any more only when the process ends
        let _ = shared.inputs.send(Input::AttemptEnded(end));
    }
}

type CurrentWire = RefCell<Option<Rc<Wire>>>;

/// True if the call's only message is delivered, whatever becomes of the rest of its answer.
fn is_delivered(wire: &CurrentWire, messages: usize) -> bool {
    messages == 1 && wire.borrow().as_ref().is_some_and(|wire| wire.says_200())
}

/// What became of a call with no answer that can be read.
fn without_response(
    wire: &CurrentWire,
    messages: usize,
    outcome: Outcome,
    cause: EndCause,
) -> Answer {
    match is_delivered(wire, messages) {
        true => Answer::all(Outcome::Success, EndCause::Response(200)),
        false => Answer::all(outcome, cause),
    }
}

/// A connection that is ready for a call.
struct ReadyConnection {
    connection: Connection,
    /// It was idle before.
    reused: bool,
    /// By when the last byte of the request must be written.
    write_by: Instant,
}

/// Makes the call on one connection and reads its answer. Dropping this closes the connection.
async fn exchange(shared: &Rc<Shared>, call: &Call, wire: &CurrentWire) -> Answer {
    loop {
        let ready = match obtain_connection(shared, call).await {
            Ok(ready) => ready,
            Err(answer) => return answer,
        };
        if let Some(answer) = exchange_on(shared, call, wire, ready).await {
            return answer;
        }
    }
}

/// An idle connection, or a new one on which the call may still start; else how the call ends.
async fn obtain_connection(shared: &Shared, call: &Call) -> Result<ReadyConnection, Answer> {
    if let Some(connection) = take_idle(shared, call).await {
        return Ok(ReadyConnection {
            connection,
            reused: true,
            write_by: call.expires,
        });
    }
    let connection = open_connection(shared, call).await?;
    let Some(write_by) = ask_to_start(shared, call.number).await else {
        give_back(shared, call.endpoint, call.address, connection);
        let unsent = Outcome::Unsent { no_slot: false };
        return Err(Answer::all(unsent, EndCause::NotStarted));
    };
    Ok(ReadyConnection {
        connection,
        reused: false,
        write_by: write_by.min(call.expires),
    })
}

async fn open_connection(shared: &Shared, call: &Call) -> Result<Connection, Answer> {
    let Some(descriptor) = acquire_descriptor(shared).await else {
        shared
            .faults
            .log(format_args!("calls: no descriptor left for a connection"));
        let unsent = Outcome::Unsent { no_slot: false };
        return Err(Answer::all(unsent, EndCause::NoConnection));
    };
    let number = shared.opened.get() + 1;
    shared.opened.set(number);
    let (endpoint, address) = (call.endpoint, call.address);
    let opening = Connection::open(number, endpoint, address, descriptor, &shared.inputs);
    match timeout(shared.dial_timeout, opening).await {
        Ok(Ok(connection)) => Ok(connection),
        Ok(Err(_)) | Err(_) => Err(Answer::all(Outcome::NoConnection, EndCause::NoConnection)),
    }
}

/// Makes the call on this connection; none if that had ended while it was idle, so that it carried no call at all.
async fn exchange_on(
    shared: &Rc<Shared>,
    call: &Call,
    wire: &CurrentWire,
    ready: ReadyConnection,
) -> Option<Answer> {
    let ReadyConnection {
        mut connection,
        reused,
        write_by,
    } = ready;
    let messages = call.items.len();
    let attribution = connection.record.attribution(&call.items);
    let persistence = persistence_of(shared, call, attribution);
    let request = request_of(call.address, &call.items, call.expires, persistence);
    let Some((request, least)) = request else {
        let unsent = Outcome::Unsent { no_slot: false };
        return Some(Answer::all(unsent, EndCause::RequestIncomplete));
    };
    let attempts_written = &shared.attempts_written;
    connection
        .wire
        .begin(reused, least, messages as u64, attempts_written);
    if persistence == Persistence::Close {
        connection.wire.set_closing();
    }
    *wire.borrow_mut() = Some(connection.wire.clone());
    let before = connection.wire.written.get();
    let response = {
        let response = connection.sender.try_send_request(request);
        tokio::pin!(response);
        tokio::select! {
            biased;
            response = &mut response => Some(response),
            () = connection.wire.first_line() => {
                let time = match is_delivered(wire, messages) {
                    true => HEAD_TIMEOUT_BEHIND_200,
                    false => READ_TIMEOUT,
                };
                timeout(time, response).await.ok()
            }
            () = write_timeout(&connection.wire, before + least, write_by) => {
                return Some(Answer::all(Outcome::NoConnection, EndCause::RequestIncomplete));
            }
        }
    };
    let (outcome, cause) = match response {
        Some(Ok(response)) => {
            let reader = ResponseReader {
                shared,
                call,
                attribution,
            };
            return Some(reader.read(connection, response).await);
        }
        Some(Err(_)) => {
            let written = connection.wire.written.get() - before;
            if reused && written == 0 {
                connection.ended_idle();
                return None;
            }
            // `least` is what the call takes up on the wire at the very least
            match written < least {
                true => (Outcome::NoConnection, EndCause::RequestIncomplete),
                false => (Outcome::Reset, EndCause::NoResponseHead),
            }
        }
        // a head without end
        None => (Outcome::Reset, EndCause::NoResponseHead),
    };
    Some(without_response(wire, messages, outcome, cause))
}

/// By when the last byte of a call must be written whose connection has come up; none if it may not begin any more.
async fn ask_to_start(shared: &Shared, call: u64) -> Option<Instant> {
    let (reply, answer) = oneshot::channel();
    // nobody listens any more only when the process ends
    let _ = shared.inputs.send(Input::RequestStart(call, reply));
    answer.await.ok()
}

/// Ends at a time unless the call is whole by then.
async fn write_timeout(wire: &Wire, whole: u64, by: Instant) {
    sleep_until(by).await;
    if wire.written.get() >= whole {
        std::future::pending::<()>().await;
    }
}

/// What the connection is asked for. A run-once call that is the first of its connection also finds out whether the
/// endpoint closes in order, where that is not known.
fn persistence_of(shared: &Shared, call: &Call, attribution: Attribution) -> Persistence {
    let is_unknown = || shared.close_behaviours.borrow().is_unknown(call.endpoint);
    match attribution {
        Attribution::LastCall => Persistence::Close,
        Attribution::FirstCall if call.at_most_once && is_unknown() => Persistence::Close,
        Attribution::FirstCall | Attribution::NamesMessages => Persistence::Keep,
    }
}

/// A descriptor for a new connection; the oldest idle one gives way if there is no other.
async fn acquire_descriptor(shared: &Shared) -> Option<OwnedSemaphorePermit> {
    if shared.descriptors.available_permits() == 0 {
        shared.pools.borrow_mut().give_way();
    }
    timeout(
        DESCRIPTOR_TIMEOUT,
        shared.descriptors.clone().acquire_owned(),
    )
    .await
    .ok()?
    .ok()
}

/// An idle connection whose next response can be tied to the call. One that can't serve it makes room for the connection
/// that is opened in its place.
async fn take_idle(shared: &Shared, call: &Call) -> Option<Connection> {
    let (endpoint, address) = (call.endpoint, call.address);
    let is_usable = |connection: &Connection| {
        let attribution = connection.record.attribution(&call.items);
        let behaviours = shared.close_behaviours.borrow();
        behaviours.allow(endpoint, attribution, call.at_most_once)
    };
    let take = |usable: &dyn Fn(&Connection) -> bool| {
        let mut pools = shared.pools.borrow_mut();
        pools.take(endpoint, address, Instant::now(), MIN_IDLE_TIME, usable)
    };
    loop {
        let Some((since, mut connection)) = take(&is_usable) else {
            if let Some((_, connection)) = take(&|_| true) {
                connection.retire();
            }
            return None;
        };
        if since.elapsed() < shared.max_idle_time && connection.is_ready().await {
            return Some(connection);
        }
    }
}

fn give_back(
    shared: &Shared,
    endpoint: EndpointId,
    address: SocketAddr,
    mut connection: Connection,
) {
    connection.set_idle();
    if connection.sender.is_closed() {
        return;
    }
    shared
        .pools
        .borrow_mut()
        .put(endpoint, address, Instant::now(), connection);
}
