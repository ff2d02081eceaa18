//! The giver's side of a lease: when the leading steward may take a session's lease for run out.
//!
//! Only the leading steward counts, on its own clock, and keeps nothing of it: a renewal is not written into the
//! book. It counts from when it *confirmed* a renewal, which is after the request came, which is after its holder
//! sent it; the holder counts from before it sent. A steward that becomes the leader doesn't know what the one
//! before confirmed last, so it counts every session from the moment at which it began to lead: it ends none
//! before the longest lease that an earlier leader may have given is over.

use crate::entry::Session;
use crate::time::{Moment, Span};
use std::collections::BTreeMap;

/// Leases by session, while this steward leads.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Leases {
    counted: Option<BTreeMap<Session, Counted>>,
    stint: u64,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Counted {
    since: Moment,
    lease: Span,
    /// The end has been proposed: no renewal is confirmed any more, whatever becomes of the proposal here.
    ending: bool,
}

/// A renewal whose confirmation is being asked for, under one stint of leading.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Asked {
    session: Session,
    stint: u64,
}

impl Leases {
    /// This steward leads from now on, with these sessions in the book and the lease that each was given.
    pub fn lead(&mut self, now: Moment, sessions: impl IntoIterator<Item = (Session, Span)>) {
        self.stint += 1;
        let counted = |(session, lease)| (session, Counted { since: now, lease, ending: false });
        self.counted = Some(sessions.into_iter().map(counted).collect());
    }

    /// It no longer leads: it knows nothing of leases any more.
    pub fn follow(&mut self) {
        self.counted = None;
    }

    /// Whether it leads.
    pub fn leading(&self) -> bool {
        self.counted.is_some()
    }

    /// The entry that opened this session has been applied here.
    pub fn opened(&mut self, now: Moment, session: Session, lease: Span) {
        if let Some(counted) = &mut self.counted {
            counted.entry(session).or_insert(Counted { since: now, lease, ending: false });
        }
    }

    /// The session is over in the book.
    pub fn closed(&mut self, session: Session) {
        if let Some(counted) = &mut self.counted {
            counted.remove(&session);
        }
    }

    /// A renewal has come. `None`: the session is over or ending, or this steward doesn't lead. Otherwise the
    /// steward has to make sure, from now on, that it still leads, and call [`confirmed`](Self::confirmed).
    pub fn asked(&self, session: Session) -> Option<Asked> {
        let counted = self.counted.as_ref()?.get(&session)?;
        (!counted.ending).then_some(Asked { session, stint: self.stint })
    }

    /// A majority has said, after the renewal was asked for, that this steward leads. Returns whether the renewal
    /// holds; only then may it be answered.
    pub fn confirmed(&mut self, asked: Asked, now: Moment) -> bool {
        if asked.stint != self.stint {
            return false;
        }
        match self.counted.as_mut().and_then(|counted| counted.get_mut(&asked.session)) {
            Some(counted) if !counted.ending => {
                counted.since = counted.since.max(now);
                true
            }
            _ => false,
        }
    }

    /// The sessions whose leases have run out; from now on they are ending, and their end is to be proposed. One
    /// whose end was proposed before is told again, in case that proposal came to nothing.
    pub fn run_out(&mut self, now: Moment) -> Vec<Session> {
        let Some(counted) = &mut self.counted else { return Vec::new() };
        let over = |counted: &Counted| counted.ending || now.since(counted.since) > counted.lease;
        (counted.iter_mut().filter(|(_, counted)| over(counted)))
            .map(|(&session, counted)| {
                counted.ending = true;
                session
            })
            .collect()
    }
}
