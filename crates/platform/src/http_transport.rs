//! The transport to endpoints: connections, time limits, and the results of calls.
//!
//! The transport never retries a call by itself, because a retry that the decision module does not know of would be a
//! duplicate. If it is unclear whether a call has run, the outcome says that it may have. `MonitoredStream` extracts
//! from the raw bytes what hyper does not report, such as the status line of a response whose head hyper rejects.

mod response;

use self::response::{READ_TIMEOUT, ResponseReader};
use crate::attribution::CloseBehaviours;
use crate::call_codec::{Persistence, batch_item_bytes, build_request};
use crate::call_result::CallResult;
use crate::connection::Connection;
use crate::connection_monitor::ConnectionMonitor;
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

/// Longest wait for the rest of the response head after a status line with 200 that shows that the only message of the
/// call is delivered. Without the rest, only the load report and the connection are lost.
const HEAD_TIMEOUT_AFTER_200: Duration = Duration::from_millis(200);
/// Time for which a connection stays unused after a response, so that unsolicited data right after the response is
/// noticed before the next call.
const MIN_IDLE_TIME: Duration = Duration::from_millis(5);
/// Longest wait for a file descriptor when an idle connection is closed to make room for a new one.
const DESCRIPTOR_TIMEOUT: Duration = Duration::from_millis(200);

/// The transport of the platform: makes calls over HTTP/1.1 and owns the connections to the endpoints.
#[derive(Clone)]
pub struct HttpTransport(Rc<Shared>);

struct Shared {
    pools: RefCell<Pools<Connection>>,
    /// A permit for each file descriptor that connections may use.
    descriptors: Arc<Semaphore>,
    /// Idle connections are closed after this time, somewhat before the endpoint would close them.
    max_idle_time: Duration,
    connect_timeout: Duration,
    report_fields: Vec<String>,
    fault_log: RateLimitedLog,
    inputs: mpsc::UnboundedSender<Input>,
    /// Number of messages whose requests have been written completely.
    attempts_written: Rc<Cell<u64>>,
    /// Number of connections opened so far.
    opened_connections: Cell<u64>,
    close_behaviours: RefCell<CloseBehaviours>,
}

impl HttpTransport {
    /// Creates a transport without connections. `idle_timeout` is the time after which endpoints close idle
    /// connections; zero if that is unknown, which counts as 5 s. `attempts_written` is increased by the number of
    /// messages of each request that has been written completely.
    pub fn new(
        idle_timeout: Duration,
        connect_timeout: Duration,
        report_fields: Vec<String>,
        budget: &ResourceBudget,
        inputs: mpsc::UnboundedSender<Input>,
        attempts_written: Rc<Cell<u64>>,
    ) -> Self {
        let idle_timeout = if idle_timeout.is_zero() {
            Duration::from_secs(5)
        } else {
            idle_timeout
        };
        let max_idle_time =
            (idle_timeout * 9 / 10).min(idle_timeout.saturating_sub(Duration::from_millis(300)));
        HttpTransport(Rc::new(Shared {
            pools: RefCell::new(Pools::new(budget.idle_connections)),
            descriptors: Arc::new(Semaphore::new(budget.endpoint_connections)),
            max_idle_time,
            connect_timeout,
            report_fields,
            fault_log: RateLimitedLog::default(),
            inputs,
            attempts_written,
            opened_connections: Cell::default(),
            close_behaviours: RefCell::default(),
        }))
    }
}

impl HttpTransport {
    /// The permits for connections: each one that is available is a free file descriptor.
    #[must_use]
    pub fn descriptors(&self) -> Arc<Semaphore> {
        self.0.descriptors.clone()
    }
}

impl Transport for HttpTransport {
    /// Starts a call. The result of each message is sent to the engine as an input. `cancels` receives the positions of
    /// messages that are cancelled.
    fn start(&self, call: Call, cancels: mpsc::UnboundedReceiver<usize>) {
        let shared = self.0.clone();
        tokio::task::spawn_local(async move { run_call(shared, call, cancels).await });
    }

    /// Keeps idle connections to the endpoint at this address from now on, and closes those to a previous address.
    fn add_endpoint(&self, endpoint: EndpointId, address: SocketAddr) {
        self.0.pools.borrow_mut().add_endpoint(endpoint, address);
    }

    /// Closes the idle connections to the endpoint; one that carries a call is closed after the call.
    fn remove_endpoint(&self, endpoint: EndpointId) {
        self.0.pools.borrow_mut().remove_endpoint(endpoint);
        self.0.close_behaviours.borrow_mut().remove(endpoint);
    }

    fn close_idle_connections(&self, endpoint: EndpointId) {
        self.0.pools.borrow_mut().close_idle(endpoint);
    }

    /// Closes idle connections that the endpoint has closed or would soon close. Also removes expired records of
    /// endpoints that did not close a connection as requested.
    fn evict_idle(&self) {
        let is_closed = |connection: &Connection| connection.sender.is_closed();
        self.0
            .pools
            .borrow_mut()
            .evict_expired(Instant::now(), self.0.max_idle_time, is_closed);
        self.0.close_behaviours.borrow_mut().evict(Instant::now());
    }

    fn item_bytes(&self, item: &CallItem) -> usize {
        batch_item_bytes(item)
    }

    fn max_call_bytes(&self) -> usize {
        MAX_BODY_BYTES
    }
}

async fn run_call(shared: Rc<Shared>, call: Call, mut cancels: mpsc::UnboundedReceiver<usize>) {
    // A cancelled message stays in flight while other messages need the call. The endpoint cannot see the cancellation
    // while the connection is open, so another attempt would be a duplicate there.
    let mut wanted: Vec<bool> = vec![true; call.items.len()];
    let monitor = RefCell::new(None);
    let result = {
        let exchange = exchange(&shared, &call, &monitor);
        tokio::pin!(exchange);
        loop {
            tokio::select! {
                // a response that has arrived takes precedence over a cancellation
                biased;
                result = &mut exchange => break result,
                () = sleep_until(call.expires) => {
                    break result_without_response(&monitor, call.items.len(), Outcome::TimedOut, EndCause::TimedOut);
                }
                Some(item) = cancels.recv() => {
                    if is_delivered(&monitor, call.items.len()) {
                        break CallResult::uniform(Outcome::Success, EndCause::Response(200));
                    }
                    wanted.get_mut(item).map(std::mem::take);
                    if !wanted.contains(&true) {
                        break CallResult::uniform(Outcome::Cancelled, EndCause::Cancelled);
                    }
                }
            }
        }
    };
    let connection_use = monitor
        .borrow()
        .as_ref()
        .map(|monitor| monitor.connection_use());
    for position in 0..call.items.len() {
        let (outcome, message_closed) = result.message_result(position);
        let end = AttemptEnd {
            call: call.number,
            position,
            outcome,
            message_closed,
            report: result.load_report.clone(),
            cause: result.cause,
            ambiguous: result.may_be_duplicate,
            connection_use,
        };
        // sending fails only when the process ends
        let _ = shared.inputs.send(Input::AttemptEnded(end));
    }
}

type CurrentMonitor = RefCell<Option<Rc<ConnectionMonitor>>>;

/// Whether the only message of the call is delivered already, whatever the rest of the response contains.
fn is_delivered(monitor: &CurrentMonitor, message_count: usize) -> bool {
    message_count == 1
        && monitor
            .borrow()
            .as_ref()
            .is_some_and(|monitor| monitor.has_unambiguous_200())
}

/// The result of a call without a complete response: success if the status line already shows that its only message is
/// delivered, and otherwise `outcome` and `cause`.
fn result_without_response(
    monitor: &CurrentMonitor,
    message_count: usize,
    outcome: Outcome,
    cause: EndCause,
) -> CallResult {
    match is_delivered(monitor, message_count) {
        true => CallResult::uniform(Outcome::Success, EndCause::Response(200)),
        false => CallResult::uniform(outcome, cause),
    }
}

/// A connection that is ready for a call.
struct ReadyConnection {
    connection: Connection,
    /// Whether the connection was idle before; otherwise it is new.
    is_reused: bool,
    /// Deadline for the last byte of the request.
    write_deadline: Instant,
}

/// Makes the call on an idle or new connection and reads the response. Dropping the future closes the connection.
async fn exchange(shared: &Rc<Shared>, call: &Call, monitor: &CurrentMonitor) -> CallResult {
    loop {
        let ready = match obtain_connection(shared, call).await {
            Ok(ready) => ready,
            Err(result) => return result,
        };
        if let Some(result) = exchange_on(shared, call, monitor, ready).await {
            return result;
        }
    }
}

/// Returns an idle connection, or a new one on which the call may still start; otherwise the result of the call.
async fn obtain_connection(shared: &Shared, call: &Call) -> Result<ReadyConnection, CallResult> {
    if let Some(connection) = take_idle(shared, call).await {
        return Ok(ReadyConnection {
            connection,
            is_reused: true,
            write_deadline: call.expires,
        });
    }
    let connection = open_connection(shared, call).await?;
    let Some(write_deadline) = await_start_permission(shared, call.number).await else {
        return_connection(shared, call.endpoint, call.address, connection);
        let unsent = Outcome::Unsent { no_slot: false };
        return Err(CallResult::uniform(unsent, EndCause::NotStarted));
    };
    Ok(ReadyConnection {
        connection,
        is_reused: false,
        write_deadline: write_deadline.min(call.expires),
    })
}

async fn open_connection(shared: &Shared, call: &Call) -> Result<Connection, CallResult> {
    let Some(descriptor) = acquire_descriptor(shared).await else {
        shared.fault_log.log(format_args!(
            "calls: no file descriptor available for a new connection"
        ));
        let unsent = Outcome::Unsent { no_slot: false };
        return Err(CallResult::uniform(unsent, EndCause::NoConnection));
    };
    let number = shared.opened_connections.get() + 1;
    shared.opened_connections.set(number);
    let (endpoint, address) = (call.endpoint, call.address);
    let opening = Connection::open(number, endpoint, address, descriptor, &shared.inputs);
    match timeout(shared.connect_timeout, opening).await {
        Ok(Ok(connection)) => Ok(connection),
        Ok(Err(_)) | Err(_) => Err(CallResult::uniform(
            Outcome::NoConnection,
            EndCause::NoConnection,
        )),
    }
}

/// Makes the call on this connection. Returns `None` if the connection had been closed while it was idle, in which case
/// nothing of the call was sent.
async fn exchange_on(
    shared: &Rc<Shared>,
    call: &Call,
    monitor: &CurrentMonitor,
    ready: ReadyConnection,
) -> Option<CallResult> {
    let ReadyConnection {
        mut connection,
        is_reused,
        write_deadline,
    } = ready;
    let message_count = call.items.len();
    let attribution = connection.history.attribution(&call.items);
    let persistence = persistence_of(shared, call, attribution);
    let request = build_request(call.address, &call.items, call.expires, persistence);
    let Some((request, min_request_bytes)) = request else {
        let unsent = Outcome::Unsent { no_slot: false };
        return Some(CallResult::uniform(unsent, EndCause::RequestIncomplete));
    };
    let attempts_written = &shared.attempts_written;
    connection.monitor.begin_call(
        is_reused,
        min_request_bytes,
        message_count as u64,
        attempts_written,
    );
    if persistence == Persistence::Close {
        connection.monitor.set_close_requested();
    }
    *monitor.borrow_mut() = Some(connection.monitor.clone());
    let written_before = connection.monitor.bytes_written.get();
    let response = {
        let response = connection.sender.try_send_request(request);
        tokio::pin!(response);
        tokio::select! {
            biased;
            response = &mut response => Some(response),
            () = connection.monitor.wait_for_status_line() => {
                let head_timeout = match is_delivered(monitor, message_count) {
                    true => HEAD_TIMEOUT_AFTER_200,
                    false => READ_TIMEOUT,
                };
                timeout(head_timeout, response).await.ok()
            }
            () = write_timeout(&connection.monitor, written_before + min_request_bytes, write_deadline) => {
                return Some(CallResult::uniform(Outcome::NoConnection, EndCause::RequestIncomplete));
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
            let written = connection.monitor.bytes_written.get() - written_before;
            if is_reused && written == 0 {
                connection.set_closed_while_idle();
                return None;
            }
            // with fewer bytes written, the endpoint cannot have received the complete request
            match written < min_request_bytes {
                true => (Outcome::NoConnection, EndCause::RequestIncomplete),
                false => (Outcome::Reset, EndCause::NoResponseHead),
            }
        }
        // the head was not complete in time
        None => (Outcome::Reset, EndCause::NoResponseHead),
    };
    Some(result_without_response(
        monitor,
        message_count,
        outcome,
        cause,
    ))
}

/// Asks the engine, once the connection is established, whether the call may start. Returns the deadline for the last
/// byte of the request; `None` if the call may not start any more.
async fn await_start_permission(shared: &Shared, call: u64) -> Option<Instant> {
    let (reply, write_deadline) = oneshot::channel();
    // sending fails only when the process ends
    let _ = shared.inputs.send(Input::RequestStart(call, reply));
    write_deadline.await.ok()
}

/// Completes at `write_deadline` if the request has not been written completely by then, and never otherwise.
async fn write_timeout(monitor: &ConnectionMonitor, complete_at: u64, write_deadline: Instant) {
    sleep_until(write_deadline).await;
    if monitor.bytes_written.get() >= complete_at {
        std::future::pending::<()>().await;
    }
}

/// Decides whether the endpoint is asked to close the connection after the call. It is asked if the response can be
/// attributed to the call only by the close. It is also asked for the first call on a connection if that call must run
/// at most once and the close behaviour of the endpoint is unknown: the response shows the behaviour, on which later
/// calls depend.
fn persistence_of(shared: &Shared, call: &Call, attribution: Attribution) -> Persistence {
    let is_unknown = || shared.close_behaviours.borrow().is_unknown(call.endpoint);
    match attribution {
        Attribution::LastCall => Persistence::Close,
        Attribution::FirstCall if call.at_most_once && is_unknown() => Persistence::Close,
        Attribution::FirstCall | Attribution::NamesMessages => Persistence::KeepAlive,
    }
}

/// Acquires a file descriptor for a new connection. If none is free, the connection that has been idle for longest is
/// closed.
async fn acquire_descriptor(shared: &Shared) -> Option<OwnedSemaphorePermit> {
    if shared.descriptors.available_permits() == 0 {
        shared.pools.borrow_mut().evict_oldest();
    }
    timeout(
        DESCRIPTOR_TIMEOUT,
        shared.descriptors.clone().acquire_owned(),
    )
    .await
    .ok()?
    .ok()
}

/// Takes an idle connection on which the response can be attributed to the call. If there are only others, one of them
/// is closed, because a new connection replaces it.
async fn take_idle(shared: &Shared, call: &Call) -> Option<Connection> {
    let (endpoint, address) = (call.endpoint, call.address);
    let is_usable = |connection: &Connection| {
        let attribution = connection.history.attribution(&call.items);
        let behaviours = shared.close_behaviours.borrow();
        behaviours.allows(endpoint, attribution, call.at_most_once)
    };
    let acquire = |is_usable: &dyn Fn(&Connection) -> bool| {
        let mut pools = shared.pools.borrow_mut();
        pools.acquire(endpoint, address, Instant::now(), MIN_IDLE_TIME, is_usable)
    };
    loop {
        let Some((since, mut connection)) = acquire(&is_usable) else {
            if let Some((_, connection)) = acquire(&|_| true) {
                connection.retire();
            }
            return None;
        };
        if since.elapsed() < shared.max_idle_time && connection.wait_until_ready().await {
            return Some(connection);
        }
    }
}

/// Puts a connection without a call back into the idle pool, unless it has been closed.
fn return_connection(
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
        .release(endpoint, address, Instant::now(), connection);
}
