//! The book alone: terms only grow, asking again changes nothing, and what is over is refused.

use milletturn_fleet::book::Happening;
use milletturn_fleet::entry::{About, Session, Term};
use milletturn_fleet::fence::Passed;
use milletturn_fleet::{Answer, Book, Entry, Fence, Refusal, Span, bounds};

const LEASE: u64 = 9_000_000;
const REIGN: u64 = 4;

fn write(book: &mut Book, entry: Entry) -> Answer {
    book.apply(entry, REIGN)
}

fn about(name: &str) -> About {
    About { name: name.into(), zone: "a".into(), version: "0.1.0".into(), serves: "sender".into() }
}

fn open(book: &mut Book, name: &str, nonce: u64) -> Session {
    match write(book, Entry::Open { about: about(name), nonce, lease: LEASE }) {
        Answer::Opened { session, lease: LEASE } => session,
        other => panic!("{other:?}"),
    }
}

fn claim(book: &mut Book, session: Session, work: &str) -> Answer {
    write(book, Entry::Claim { session, work: work.into() })
}

fn owned(book: &mut Book, session: Session, work: &str) -> Term {
    match claim(book, session, work) {
        Answer::Owned { term, .. } => term,
        other => panic!("{other:?}"),
    }
}

fn act(book: &mut Book, session: Session, term: Term, number: u64, cursor: &str) -> Answer {
    write(book, Entry::Act { session, work: "w".into(), term, number, cursor: cursor.into() })
}

#[test]
fn asking_again_opens_no_second_session_and_gives_no_second_term() {
    let mut book = Book::default();
    let one = open(&mut book, "n1", 7);
    assert_eq!(open(&mut book, "n1", 7), one);
    assert_eq!(
        write(&mut book, Entry::Open { about: about("n1"), nonce: 8, lease: LEASE }),
        Answer::Refused(Refusal::NameTaken { name: "n1".into(), session: one }),
        "a second process under the same name, while the old one's session lasts"
    );
    let term = owned(&mut book, one, "w");
    assert_eq!(owned(&mut book, one, "w"), term);
    assert_eq!(act(&mut book, one, term, 1, "a"), Answer::Done);
    assert_eq!(act(&mut book, one, term, 1, "a"), Answer::Done, "the same act once more");
    assert!(matches!(
        act(&mut book, one, term, 1, "b"),
        Answer::Refused(Refusal::OutOfOrder { last: 1, .. })
    ));
    assert!(matches!(
        act(&mut book, one, term, 3, "c"),
        Answer::Refused(Refusal::OutOfOrder { last: 1, .. })
    ));
    assert_eq!(
        claim(&mut book, one, "w"),
        Answer::Owned { term, acts: 1, cursor: "a".into() },
        "an owner that lost an answer learns where it stands"
    );
    let acts = book.history().filter(|event| matches!(event.what, Happening::Acted(_))).count();
    assert_eq!(acts, 1);
}

#[test]
fn an_owner_from_before_is_refused_by_name_and_the_next_one_goes_on() {
    let mut book = Book::default();
    let (one, two) = (open(&mut book, "n1", 1), open(&mut book, "n2", 2));
    let first = owned(&mut book, one, "w");
    assert_eq!(act(&mut book, one, first, 1, "half"), Answer::Done);
    assert_eq!(
        claim(&mut book, two, "w"),
        Answer::Refused(Refusal::Taken { work: "w".into(), owner: "n1".into(), term: first })
    );
    write(&mut book, Entry::Expire { session: one, reign: REIGN });
    assert_eq!(
        claim(&mut book, two, "w"),
        Answer::Owned { term: first + 1, acts: 0, cursor: "half".into() },
        "the next one starts where the last one left off"
    );
    assert_eq!(
        act(&mut book, one, first, 2, "late"),
        Answer::Refused(Refusal::Fenced { work: "w".into(), term: first, now: first + 1 })
    );
    // nor under the new term, which is another's
    assert!(matches!(act(&mut book, one, first + 1, 1, "late"), Answer::Refused(Refusal::Fenced { .. })));
    // nor does its wish to give back touch the next one
    write(&mut book, Entry::Release { session: one, work: "w".into(), term: first });
    write(&mut book, Entry::Free { work: "w".into(), term: first });
    assert_eq!(book.works()["w"].owner, Some(two));
    assert_eq!(claim(&mut book, one, "w"), Answer::Refused(Refusal::NoSession { session: one }));
    // an operator frees the term that counts
    write(&mut book, Entry::Free { work: "w".into(), term: first + 1 });
    assert_eq!(book.works()["w"].owner, None);
    assert!(matches!(act(&mut book, two, first + 1, 1, "late"), Answer::Refused(Refusal::Fenced { .. })));
    assert_eq!(owned(&mut book, two, "w"), first + 2);
}

#[test]
fn forgotten_work_comes_back_above_every_term_it_ever_had() {
    let mut book = Book::default();
    let one = open(&mut book, "n1", 1);
    let mut highest = 0;
    for _ in 0..5 {
        highest = owned(&mut book, one, "w");
        write(&mut book, Entry::Release { session: one, work: "w".into(), term: highest });
    }
    for number in 0..2 * bounds::WORKS {
        let name = format!("other {number}");
        for _ in 0..6 {
            let term = owned(&mut book, one, &name);
            write(&mut book, Entry::Release { session: one, work: name.clone(), term });
        }
    }
    assert!(!book.works().contains_key("w"));
    assert_eq!(book.works().len(), bounds::WORKS);
    assert!(owned(&mut book, one, "w") > highest);
    assert!(book.history().count() <= bounds::HISTORY);
}

#[test]
fn bounds_are_refused_with_their_figure() {
    let mut book = Book::default();
    let long = "x".repeat(bounds::NAME + 1);
    for name in ["", &long] {
        assert!(matches!(
            write(&mut book, Entry::Open { about: about(name), nonce: 1, lease: LEASE }),
            Answer::Refused(Refusal::BadText { .. })
        ));
    }
    for number in 0..bounds::SESSIONS {
        open(&mut book, &format!("n{number}"), 1);
    }
    assert!(matches!(
        write(&mut book, Entry::Open { about: about("more"), nonce: 1, lease: LEASE }),
        Answer::Refused(Refusal::Full { most: 32_768, .. })
    ));
    assert!(matches!(claim(&mut book, 1, &long), Answer::Refused(Refusal::BadText { .. })));
    for number in 0..bounds::WORKS {
        owned(&mut book, 1, &format!("w{number}"));
    }
    assert!(matches!(claim(&mut book, 1, "more"), Answer::Refused(Refusal::Full { most: 4_096, .. })));
}

#[test]
fn a_fence_remembers_the_highest_term_and_says_what_is_new() {
    let mut fence = Fence::default();
    assert_eq!(fence.admit("w", 3), Ok(Passed::New));
    assert_eq!(fence.admit("w", 3), Ok(Passed::Known));
    assert_eq!(fence.admit("w", 2), Err(Refusal::Fenced { work: "w".into(), term: 2, now: 3 }));
    assert_eq!(fence.admit("v", 1), Ok(Passed::New), "each piece of work has terms of its own");
    assert_eq!(fence.highest("w"), 3);
}

#[test]
fn a_lease_counted_under_an_earlier_reign_ends_nothing() {
    let mut book = Book::default();
    let one = open(&mut book, "n1", 1);
    assert_eq!(
        write(&mut book, Entry::Expire { session: one, reign: REIGN - 2 }),
        Answer::Refused(Refusal::ReignOver { reign: REIGN - 2, now: REIGN })
    );
    assert!(book.sessions().contains_key(&one));
}

#[test]
fn a_restored_book_stands_above_all_that_was_given_since_the_backup() {
    let mut book = Book::default();
    let one = open(&mut book, "n1", 1);
    let first = owned(&mut book, one, "w");
    let backup = book.clone();
    // what the lost book gave out behind the backup
    for _ in 0..10 {
        let term = owned(&mut book, one, "w");
        write(&mut book, Entry::Release { session: one, work: "w".into(), term });
    }
    let lost = owned(&mut book, one, "w");
    assert!(lost > first);
    assert!(backup.restored(0, LEASE).is_err(), "a generation twice");
    let mut restored = backup.restored(1, LEASE).expect("restored");
    // the old owner is nobody here, whatever it shows
    assert!(matches!(act(&mut restored, one, lost, 1, "late"), Answer::Refused(Refusal::Fenced { .. })));
    let two = open(&mut restored, "n1", 9);
    assert!(two > one, "nor is its session another's");
    assert_eq!(claim(&mut restored, two, "w"), Answer::Refused(Refusal::Resting));
    assert_eq!(restored.leases().next(), Some((milletturn_fleet::entry::BEFORE, Span(LEASE))));
    write(&mut restored, Entry::Expire { session: milletturn_fleet::entry::BEFORE, reign: REIGN });
    let again = owned(&mut restored, two, "w");
    assert!(again > lost);
    let unknown = owned(&mut restored, two, "made behind the backup");
    assert!(unknown > lost);
    // the same backup once more, since the restored group was lost too
    assert!(restored.restored(1, LEASE).is_err());
    let mut twice = backup.restored(2, LEASE).expect("restored");
    let three = open(&mut twice, "n1", 10);
    write(&mut twice, Entry::Expire { session: milletturn_fleet::entry::BEFORE, reign: REIGN });
    assert!(owned(&mut twice, three, "w") > unknown.max(again));
}
