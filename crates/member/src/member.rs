//! A group member and its current permissions.

use crate::coordinator_client::CoordinatorClient;
use crate::events::MemberEvent;
use crate::session::SessionLoop;
use milletturn_coordination::{
    FencingToken, LeaseHolder, MemberInfo, Micros, Permission, SessionId,
};
use milletturn_coordination_protocol::clock::now;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use tokio::sync::mpsc;

/// A member of the group. Its program has to check the [`permission`](Self::permission) immediately before each write.
///
/// The task that keeps the session open and the one that writes share the member, so no borrow of its cells may be held
/// across an `await`.
#[derive(Debug)]
pub struct Member {
    pub(crate) info: MemberInfo,
    pub(crate) lease: RefCell<LeaseHolder>,
    /// How long a lease is safe after a renewal, by this member's clock. Zero until a session has been opened.
    pub(crate) lease_duration: Cell<Micros>,
    pub(crate) wanted: BTreeSet<String>,
    pub(crate) progress: RefCell<BTreeMap<String, Progress>>,
    disconnected: Cell<bool>,
    events: mpsc::UnboundedSender<MemberEvent>,
}

/// The last write to an owned resource, by this member or by an earlier owner.
#[derive(Debug, Clone)]
pub(crate) struct Progress {
    /// The fencing token under which this member owns the resource.
    pub(crate) token: FencingToken,
    /// Number of writes executed under that token.
    pub(crate) writes: u64,
    /// The checkpoint of the last write to the resource, by this or an earlier owner.
    pub(crate) checkpoint: String,
}

impl Member {
    /// Creates a member that wants to own these resources, and the receiver of its events. The channel is
    /// unbounded, so a program that keeps the receiver must read the events, or they accumulate. Events are sent on
    /// changes, rejections and fenced writes.
    ///
    /// `clock_error_ppm` is the largest difference of clock rates between this machine and the coordinators', in parts
    /// per million.
    pub fn new(
        info: MemberInfo,
        clock_error_ppm: u32,
        wanted: impl IntoIterator<Item = String>,
    ) -> (Rc<Self>, mpsc::UnboundedReceiver<MemberEvent>) {
        let (events, receiver) = mpsc::unbounded_channel();
        let member = Self {
            info,
            lease: RefCell::new(LeaseHolder::new(clock_error_ppm)),
            lease_duration: Cell::new(Micros::ZERO),
            wanted: wanted.into_iter().collect(),
            progress: RefCell::default(),
            disconnected: Cell::new(false),
            events,
        };
        (Rc::new(member), receiver)
    }

    /// The current permission to write to a resource, or `None` if the member does not safely own the resource.
    pub fn permission(&self, resource: &str) -> Option<Permission> {
        self.lease.borrow().permission(resource, now())
    }

    /// The session, if its lease is currently safe by this member's clock.
    pub fn session(&self) -> Option<SessionId> {
        self.lease.borrow().safe_session(now())
    }

    /// The checkpoint of the last write to an owned resource, by this member or an earlier owner. `None` while the
    /// resource is not owned, or while the outcome of a write is unknown.
    pub fn checkpoint(&self, resource: &str) -> Option<String> {
        let progress = self.progress.borrow();
        progress.get(resource).map(|last| last.checkpoint.clone())
    }

    /// Keeps a session open and claims the wanted resources until the future is dropped. `seed` determines the
    /// session's nonces and the jitter of the heartbeats; each process needs a different one.
    pub async fn maintain_session(&self, client: CoordinatorClient, seed: u64) {
        SessionLoop::new(self, client, seed).run().await;
    }

    /// Removes a resource that this member no longer owns, and reports the loss.
    pub(crate) fn resource_lost(&self, resource: &str, token: FencingToken) {
        self.lease.borrow_mut().resource_lost(resource, token);
        self.progress.borrow_mut().remove(resource);
        self.report(MemberEvent::Lost {
            resource: resource.to_string(),
            token,
        });
    }

    pub(crate) fn report(&self, event: MemberEvent) {
        // a program that has dropped the receiver is not interested in events
        let _ = self.events.send(event);
    }

    /// Reports the reconnection, if the member was reported as disconnected.
    pub(crate) fn report_reconnected(&self) {
        if self.disconnected.replace(false) {
            self.report(MemberEvent::Reconnected);
        }
    }

    /// Reports a disconnection with its reason, unless the member was already reported as disconnected.
    pub(crate) fn report_disconnected(&self, reason: &impl ToString) {
        if !self.disconnected.replace(true) {
            self.report(MemberEvent::Disconnected(reason.to_string()));
        }
    }
}
