//! The watch of the endpoint list and the notifications in virtual time, against a discovery service that is
//! unreachable, hangs, rejects requests, truncates responses or is slow, and recovers.

#![expect(
    clippy::too_many_lines,
    reason = "long scenarios of this file have not been split yet"
)]

mod virtual_discovery;

use milletturn_engine::{Ending, Input, Notification, SharedStr};
use milletturn_platform::notifications::post_notifications;
use milletturn_platform::{DiscoveryBackoff, discovery};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use virtual_discovery::{State, VirtualDiscovery, virtual_time};

/// Maximum time until a sender receives a change, from the time when discovery has the change and can be reached.
const MAX_UPDATE_DELAY: Duration = Duration::from_millis(6000);
/// The platform counts a message as lost when its notification has not been accepted this long after the message's
/// deadline.
const NOTIFICATION_DEADLINE: Duration = Duration::from_millis(300);
/// Response time of a healthy discovery service in the worst case.
const RESPONSE_DELAY: Duration = Duration::from_millis(950);

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Starts a watch; returns the inputs that the watch sends.
fn start_watch(
    service: &VirtualDiscovery,
    addresses: watch::Receiver<SocketAddr>,
    backoff: DiscoveryBackoff,
) -> mpsc::UnboundedReceiver<Input> {
    let (inputs, received) = mpsc::unbounded_channel();
    spawn_local(discovery::watch_endpoints(
        service.clone(),
        addresses,
        0,
        backoff,
        inputs,
    ));
    received
}

/// Waits for a list with at least this version.
async fn wait_for_version(received: &mut mpsc::UnboundedReceiver<Input>, version: u64) {
    loop {
        match received.recv().await {
            Some(Input::EndpointsListed(update)) if update.version >= version => return,
            Some(_) => {}
            None => panic!("the watch has ended"),
        }
    }
}

/// Time from the recovery of discovery until the sender receives the new list. Discovery is in `state` from
/// `fault_start` until `recovery`, and healthy before and afterwards. If `fault_start` is zero, discovery is faulty
/// from the start of the sender.
async fn update_delay(
    state: State,
    fault_start: Duration,
    recovery: Duration,
    backoff: DiscoveryBackoff,
) -> Duration {
    let started_at = Instant::now();
    let service = VirtualDiscovery::new(
        vec![
            (ms(0), State::Healthy),
            (fault_start, state),
            (recovery, State::Healthy),
        ],
        RESPONSE_DELAY,
    );
    let (_address_sender, addresses) = watch::channel(address(1));
    let mut received = start_watch(&service, addresses, backoff);
    let received_in_time =
        timeout(recovery + ms(300_000), wait_for_version(&mut received, 3)).await;
    assert!(
        received_in_time.is_ok(),
        "{state:?} from {fault_start:?} to {recovery:?}: no update received"
    );
    (Instant::now() - started_at).saturating_sub(recovery)
}

#[test]
fn updates_arrive_in_time_after_discovery_recovers_in_any_watch_state() {
    virtual_time(async {
        let mut worst = (ms(0), String::new());
        for state in [
            State::ConnectionRefused,
            State::Unreachable,
            State::Unresponsive,
            State::TruncatedResponse,
            State::StalledResponse,
        ] {
            for (senders, is_pushed) in [(300, false), (25, false), (3, false), (300, true)] {
                // zero: discovery is faulty from the start of the sender
                for fault_start in [0, 5000, 5700, 6400] {
                    for step in 0..60 {
                        let (fault_start, recovery) =
                            (ms(fault_start), ms(fault_start + 50 + 230 * step));
                        let backoff = DiscoveryBackoff::new(
                            senders,
                            is_pushed,
                            fault_start.as_millis() as u64 * 100 + step,
                        );
                        let delay = update_delay(state, fault_start, recovery, backoff).await;
                        let description = format!(
                            "{state:?} {fault_start:?} {recovery:?} {senders} {is_pushed}: {delay:?}"
                        );
                        worst = worst.max((delay, description));
                    }
                }
            }
        }
        assert!(worst.0 < MAX_UPDATE_DELAY, "{}", worst.1);
    });
}

#[test]
fn a_watch_is_retried_in_time_after_one_rejection() {
    virtual_time(async {
        for seed in 0..200 {
            for (senders, is_pushed) in [(300, false), (3, false), (300, true)] {
                let service =
                    VirtualDiscovery::new(vec![(ms(0), State::Rejecting(1))], RESPONSE_DELAY);
                let (_address_sender, addresses) = watch::channel(address(1));
                let started_at = Instant::now();
                let mut received = start_watch(
                    &service,
                    addresses,
                    DiscoveryBackoff::new(senders, is_pushed, seed),
                );
                wait_for_version(&mut received, 1).await;
                // the rejection of the first request comes after `RESPONSE_DELAY`
                assert!(
                    Instant::now() - started_at < RESPONSE_DELAY + MAX_UPDATE_DELAY,
                    "{senders} {is_pushed} {seed}"
                );
            }
        }
    });
}

#[test]
fn few_senders_receive_updates_in_time_after_many_rejections() {
    virtual_time(async {
        for (senders, is_pushed) in [(1, false), (5, false), (300, true)] {
            for step in 0..100 {
                let recovery = ms(5050 + 230 * step);
                let backoff = DiscoveryBackoff::new(senders, is_pushed, step);
                let delay =
                    update_delay(State::Rejecting(u32::MAX), ms(5000), recovery, backoff).await;
                assert!(
                    delay < MAX_UPDATE_DELAY,
                    "{senders} {is_pushed} {recovery:?}: {delay:?}"
                );
            }
        }
    });
}

#[test]
fn a_new_address_is_used_at_once_in_any_watch_state() {
    virtual_time(async {
        for state in [
            State::ConnectionRefused,
            State::Unreachable,
            State::Unresponsive,
            State::Rejecting(u32::MAX),
            State::Healthy,
        ] {
            for move_time in 0..40 {
                let move_time = ms(5000 + 330 * move_time);
                let service = VirtualDiscovery::new(
                    vec![(ms(0), State::Healthy), (ms(5000), state)],
                    ms(100),
                );
                service.add_address(address(2), vec![(ms(0), State::Healthy)]);
                let (address_sender, addresses) = watch::channel(address(1));
                let mut received =
                    start_watch(&service, addresses, DiscoveryBackoff::new(300, false, 7));
                wait_for_version(&mut received, 1).await;
                sleep_until(service.started_at() + move_time).await;
                while received.try_recv().is_ok() {}
                address_sender.send_replace(address(2));
                wait_for_version(&mut received, 1).await;
                let delay = Instant::now() - service.started_at() - move_time;
                assert!(delay <= ms(200), "{state:?} {move_time:?}: {delay:?}");
            }
        }
    });
}

#[test]
fn requests_that_queue_longer_than_the_inactivity_timeout_are_answered() {
    virtual_time(async {
        // serves 12.5 requests per second in the order of their arrival, including those whose callers have
        // disconnected
        let service = VirtualDiscovery::new(vec![(ms(0), State::Queue(ms(80)))], ms(0));
        let (_address_sender, addresses) = watch::channel(address(1));
        let mut watches: Vec<_> = (0..100)
            .map(|seed| {
                start_watch(
                    &service,
                    addresses.clone(),
                    DiscoveryBackoff::new(100, false, seed),
                )
            })
            .collect();
        sleep(ms(30_000)).await;
        let served = watches
            .iter_mut()
            .filter_map(|received| received.try_recv().ok())
            .count();
        assert!(served >= 95, "{served} of 100 in 30 s");
    });
}

/// A running task that posts notifications, and the receiver of the inputs that the task sends to the engine.
struct NotificationSender {
    notifications: mpsc::UnboundedSender<Notification>,
    inputs: mpsc::UnboundedReceiver<Input>,
    addresses: watch::Sender<SocketAddr>,
}

impl NotificationSender {
    fn start(service: &VirtualDiscovery) -> Self {
        let (notifications, queue) = mpsc::unbounded_channel();
        let (inputs, received) = mpsc::unbounded_channel();
        let (address_sender, addresses) = watch::channel(address(1));
        spawn_local(post_notifications(
            service.clone(),
            addresses,
            queue,
            inputs,
        ));
        NotificationSender {
            notifications,
            inputs: received,
            addresses: address_sender,
        }
    }

    fn submit(&self, number: u64) {
        let id = SharedStr::new(format!("m{number}").as_bytes()).expect("a valid id");
        let notification = Notification {
            number,
            id,
            class: 0,
            ending: Ending::Failed,
        };
        self.notifications
            .send(notification)
            .expect("the task runs");
    }

    /// Waits until this many notifications have been reported to the engine as accepted; returns their numbers in the
    /// order of the reports.
    async fn wait_for_accepted(&mut self, count: usize) -> Vec<u64> {
        let mut accepted = Vec::new();
        while accepted.len() < count {
            match self.inputs.recv().await {
                Some(Input::Notified(numbers)) => accepted.extend(numbers),
                other => panic!("{other:?}"),
            }
        }
        accepted
    }
}

#[test]
fn a_request_that_hangs_delays_no_notification_beyond_its_deadline() {
    virtual_time(async {
        for hanging_state in [State::Unresponsive, State::Unreachable] {
            for submit_offset_ms in [0, 1, 30, 99, 100, 101, 250, 700] {
                // only the first request hangs
                let service = VirtualDiscovery::new(
                    vec![(ms(0), hanging_state), (ms(1), State::Healthy)],
                    ms(5),
                );
                let mut sender = NotificationSender::start(&service);
                sender.submit(1);
                sleep(ms(1 + submit_offset_ms)).await;
                sender.submit(2);
                let submitted_at = Instant::now();
                let mut accepted = sender.wait_for_accepted(2).await;
                accepted.sort_unstable();
                assert_eq!(accepted, [1, 2], "each is reported once");
                let first_delay = service.accepted_at("m1") - service.started_at();
                let second_delay = service.accepted_at("m2") - submitted_at;
                assert!(
                    first_delay < NOTIFICATION_DEADLINE && second_delay < NOTIFICATION_DEADLINE,
                    "{hanging_state:?} {submit_offset_ms}: {first_delay:?} {second_delay:?}"
                );
            }
        }
    });
}

#[test]
fn a_slow_discovery_service_can_respond_and_few_requests_are_in_flight() {
    virtual_time(async {
        for response_delay_ms in [5, 90, 150, 400, 950] {
            let service =
                VirtualDiscovery::new(vec![(ms(0), State::Healthy)], ms(response_delay_ms));
            let mut sender = NotificationSender::start(&service);
            for number in 1..=1000 {
                sender.submit(number);
                sleep(ms(number % 7)).await;
            }
            let mut accepted = timeout(ms(30_000), sender.wait_for_accepted(1000))
                .await
                .expect("all are accepted");
            accepted.sort_unstable();
            accepted.dedup();
            assert_eq!(accepted.len(), 1000, "each once");
            assert!(
                response_delay_ms > 100 || service.posted_notification_count() == 1000,
                "a fast discovery service receives each notification once"
            );
            // three requests in flight, and one whose connection is being closed
            assert!(
                service.max_open_connections() <= 4,
                "{response_delay_ms}: {} at once",
                service.max_open_connections()
            );
        }
    });
}

#[test]
fn notifications_arrive_in_time_after_discovery_recovers_or_moves() {
    virtual_time(async {
        for state in [
            State::ConnectionRefused,
            State::Unreachable,
            State::Unresponsive,
            State::TruncatedResponse,
            State::Rejecting(u32::MAX),
        ] {
            for recovery in 0..40 {
                let recovery = ms(4000 + 70 * recovery);
                let service =
                    VirtualDiscovery::new(vec![(ms(0), state), (recovery, State::Healthy)], ms(5));
                let mut sender = NotificationSender::start(&service);
                sender.submit(1);
                sleep_until(service.started_at() + recovery - ms(40)).await;
                sender.submit(2);
                sender.wait_for_accepted(2).await;
                let delay = service.accepted_at("m2") - service.started_at() - recovery;
                assert!(
                    delay < NOTIFICATION_DEADLINE - ms(40),
                    "{state:?} {recovery:?}: {delay:?}"
                );
            }
            let service = VirtualDiscovery::new(vec![(ms(0), state)], ms(5));
            service.add_address(address(2), vec![(ms(0), State::Healthy)]);
            let mut sender = NotificationSender::start(&service);
            sender.submit(1);
            sleep(ms(3210)).await;
            sender.addresses.send_replace(address(2));
            sender.wait_for_accepted(1).await;
            assert!(
                service.accepted_at("m1") - service.started_at() < ms(3220),
                "{state:?}"
            );
        }
    });
}
