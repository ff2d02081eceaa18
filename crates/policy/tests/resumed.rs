//! What a restart finds taken on and untried is still tried.

mod common;
use common::*;
use milletturn_policy::*;

fn resumed(id: u64, left: Micros) -> Event {
    Event::Resumed { message: NewMessage::new(MessageId(id), FREE, 7, left), attempts: vec![] }
}

#[test]
fn untried_messages_of_an_earlier_life_get_a_call_before_all_that_came_since() {
    // long past their aim they are worth less than any fresh one, and fresh ones never cease
    const OWED: u64 = 12;
    for seed in 0..20 {
        let mut rig = Rig::new(settings(2), vec![]);
        rig.sender = Sender::new(settings(2), seed).expect("settings make sense");
        rig.tell(vec![Event::Listed { listing: Listing::Full, entries: vec![entry(1, 7), entry(2, 7)] }]);
        rig.tell((0..OWED).map(|id| resumed(id, 2_400 * MILLISECOND)).collect());
        let (mut next, mut ended) = (100, 0);
        for step in 0..240 {
            rig.run(T0 + step * 10 * MILLISECOND);
            rig.tell(vec![message(next, FREE, 7)]);
            next += 1;
            while let Some(&(_, id, ..)) =
                rig.sends.get(ended).filter(|send| send.0 + 100 * MILLISECOND <= rig.now)
            {
                ended += 1;
                rig.end(id, Outcome::Success, 100 * MILLISECOND);
            }
        }
        let untried = (0..OWED).filter(|&id| rig.sends_of(id).is_empty()).count();
        assert_eq!(untried, 0, "seed {seed}: of {OWED}");
        let fresh = rig.sends.iter().filter(|send| send.1 >= 100).count();
        assert!(fresh >= 8, "seed {seed}: then the others go on, {fresh}");
    }
}

#[test]
fn the_rest_behind_a_start_leaves_time_for_a_call() {
    // three quarters of the aim are 1.5 s, and this one has 0.4 s left
    let mut told = settings(4);
    (told.report_left, told.report_limit, told.senders, told.max_held) = (Some(0), Some(1), 300, 4);
    for seed in 0..100 {
        let mut rig = Rig::new(told.clone(), vec![]);
        rig.sender = Sender::new(told.clone(), seed).expect("settings make sense");
        rig.tell(vec![Event::Listed { listing: Listing::Full, entries: vec![entry(1, 7)] }]);
        rig.tell(vec![resumed(1, 400 * MILLISECOND)]);
        rig.run(T0 + SECOND);
        assert_eq!(rig.sends_of(1).len(), 1, "seed {seed}");
    }
}

#[test]
fn one_whose_time_was_up_brings_no_senders_together() {
    // guards against 300 senders that all begin at once since the first of their messages was over
    let mut told = settings(4);
    (told.report_left, told.report_limit, told.senders, told.max_held) = (Some(0), Some(1), 300, 4);
    let mut at_once = 0;
    for seed in 0..100 {
        let mut rig = Rig::new(told.clone(), vec![]);
        rig.sender = Sender::new(told.clone(), seed).expect("settings make sense");
        rig.tell(vec![Event::Listed { listing: Listing::Full, entries: vec![entry(1, 7)] }]);
        rig.tell(vec![resumed(1, -SECOND), resumed(2, 9 * SECOND)]);
        rig.run(T0 + 9 * SECOND);
        assert!(rig.sends_of(1).is_empty());
        at_once += usize::from(rig.sends_of(2)[0] < 50 * MILLISECOND);
    }
    assert!(at_once < 20, "{at_once} of 100 begin within 50 ms");
}
