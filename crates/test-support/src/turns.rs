//! Runs turns of simulated decision modules in virtual time.

use milletturn_policy::{Action, Event, Micros, Sender};
use std::collections::BTreeSet;

/// Runs one decision module if it has events or a due alarm, and returns its actions. Alarms that it sets are added to
/// `alarms` instead of being returned.
pub(crate) fn run_turn(
    sender: &mut Sender,
    events: &mut Vec<Event>,
    alarms: &mut BTreeSet<Micros>,
    now: Micros,
) -> Vec<Action> {
    let events = std::mem::take(events);
    let is_alarm_due = alarms.first().is_some_and(|&at| at <= now);
    let mut actions = Vec::new();
    if events.is_empty() && !is_alarm_due {
        return actions;
    }
    *alarms = alarms.split_off(&(now + 1));
    sender.handle(now, &events, &mut actions);
    actions.retain(|action| match action {
        Action::SetAlarm(at) => {
            alarms.insert(*at);
            false
        }
        _ => true,
    });
    actions
}
