//! The decision whether a dead letter may be sent again: a pure function that rules and operators' commands share.
//!
//! A destination drops a repeated request with the same idempotency key only inside its deduplication window, counted
//! from the first attempt that may have run. After the window a repeated request takes effect again. Whether a message
//! that may have run is redriven therefore depends on the effect of its class:
//!
//! - keyed: only inside the deduplication window, and only if the message has a key;
//! - must never run twice: never;
//! - may run any number of times: at any time.

use milletturn_engine::Ending;
use milletturn_policy::{Effect, MILLISECOND, Micros};
use std::fmt;

/// Time reserved at the end of a deduplication window for transmission to the destination, in microseconds: a redrive
/// that starts later might arrive after the window has ended. The policy reserves a margin of its own in addition.
pub const DELIVERY_MARGIN: Micros = 100 * MILLISECOND;

/// The facts about a message that the decision depends on.
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent facts, each decisive by itself"
)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DecisionInput {
    /// The strictest effect that the class has had since the message was accepted; `None` if the settings no longer name
    /// the class.
    pub effect: Option<Effect>,
    /// True if the message has an idempotency key.
    pub has_key: bool,
    /// How the last round ended.
    pub ending: Ending,
    /// When the first attempt that may have run was sent, in any round (Unix time in microseconds); `None` if no
    /// attempt may have run. Attempts that an operator has confirmed not to have run don't count.
    pub first_uncertain_at: Option<Micros>,
    /// True if an operator has confirmed that the message did not run, or that its client does not resubmit it.
    pub confirmed_not_run: bool,
    /// True if clients may resubmit messages that were returned to them (the setting `clients_retry`).
    pub clients_retry: bool,
    /// True if the store still has the message's body.
    pub has_body: bool,
}

/// Whether a message may be sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RedriveDecision {
    /// The message may be sent at any time.
    Allowed(AllowedReason),
    /// The message may be sent with the same idempotency key, if the redrive starts before this Unix time in
    /// microseconds.
    AllowedUntil(Micros),
    /// The message may not be sent.
    Denied(Denial),
}

/// Why a message may be redriven at any time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AllowedReason {
    /// No attempt can have run.
    NeverRan,
    /// Messages of the class may run any number of times.
    Idempotent,
    /// An operator has confirmed that the message did not run, or that its client does not resubmit it.
    ConfirmedNotRun,
}

/// Why a message may not be redriven.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denial {
    /// The message was delivered.
    Delivered,
    /// The message was returned to its client, and the settings say that clients may resubmit returned messages: the
    /// redrive and the resubmitted message could both take effect.
    Returned,
    /// The message may have run, and messages of its class must never run twice.
    Unsafe,
    /// The message may have run, and has no key by which the destination could drop a duplicate.
    NoKey,
    /// The message may have run, and the deduplication window of its key has ended, or ends within
    /// [`DELIVERY_MARGIN`].
    WindowExpired,
    /// The clock shows a time before the first attempt that may have run, so it is unknown how much of the
    /// deduplication window has passed.
    ClockSetBack,
    /// The settings no longer name the message's class.
    UnknownClass,
    /// The message's body was dropped to free space after the message had been resolved.
    NoBody,
}

/// The text for operators: what forbids the redrive, and what an operator can do about it.
impl fmt::Display for Denial {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Denial::Delivered => "it was delivered",
            Denial::Returned => concat!(
                "it was returned, and its client may have handed it in again; if it is certain that the client ",
                "did not, settle it as did-not-run, then resend"
            ),
            Denial::Unsafe => concat!(
                "it may have run, and its class must never run twice; ask the destination, and if it did not run, ",
                "settle it as did-not-run, then resend"
            ),
            Denial::NoKey => concat!(
                "it may have run, and it carries no key; ask the destination, and if it did not run, settle it as ",
                "did-not-run, then resend"
            ),
            Denial::WindowExpired => concat!(
                "it may have run, and the destination no longer drops a repeat; ask the destination, and if it ",
                "did not run, settle it as did-not-run, then resend"
            ),
            Denial::ClockSetBack => concat!(
                "it may have run, and the clock was set back since; ask the destination, and if it did not run, ",
                "settle it as did-not-run, then resend"
            ),
            Denial::UnknownClass => "the settings don't name its class any more",
            Denial::NoBody => "its body was dropped to make room after it had been settled",
        })
    }
}

/// Decides whether a message may be sent again at `now` (Unix time in microseconds).
#[must_use]
pub fn decide_redrive(input: &DecisionInput, now: Micros) -> RedriveDecision {
    if input.ending == Ending::Delivered {
        return RedriveDecision::Denied(Denial::Delivered);
    }
    let Some(effect) = input.effect else {
        return RedriveDecision::Denied(Denial::UnknownClass);
    };
    if !input.has_body {
        return RedriveDecision::Denied(Denial::NoBody);
    }
    // a message of an idempotent class may be redriven even if its client resubmits it
    if effect == Effect::Repeatable {
        return RedriveDecision::Allowed(AllowedReason::Idempotent);
    }
    let returned = matches!(input.ending, Ending::Returned { .. });
    if returned && input.clients_retry && !input.confirmed_not_run {
        return RedriveDecision::Denied(Denial::Returned);
    }
    let Some(first_uncertain_at) = input.first_uncertain_at else {
        return RedriveDecision::Allowed(if input.confirmed_not_run {
            AllowedReason::ConfirmedNotRun
        } else {
            AllowedReason::NeverRan
        });
    };
    let Effect::Keyed { window, .. } = effect else {
        return RedriveDecision::Denied(Denial::Unsafe);
    };
    let until = first_uncertain_at
        .saturating_add(window)
        .saturating_sub(DELIVERY_MARGIN);
    match () {
        () if !input.has_key => RedriveDecision::Denied(Denial::NoKey),
        () if now < first_uncertain_at => RedriveDecision::Denied(Denial::ClockSetBack),
        () if now >= until => RedriveDecision::Denied(Denial::WindowExpired),
        () => RedriveDecision::AllowedUntil(until),
    }
}

#[cfg(test)]
mod tests;
