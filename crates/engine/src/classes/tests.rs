use super::*;

fn class(name: &str, deadline: Micros) -> Class {
    Class::new(name, Effect::Repeatable, 1, deadline)
}

#[test]
fn a_position_in_use_keeps_its_class_and_a_free_one_is_reused() {
    let mut classes = ClassTable::new(&[class("a", 10), class("b", 20)]);
    // class b changes while one of its messages is open, so the new b gets position 2; class a is unchanged
    assert_eq!(
        classes.replace(&[class("a", 10), class("b", 30)], |at| at == 1),
        [2]
    );
    assert_eq!(
        (
            classes.position("b"),
            classes.deadline(1),
            classes.deadline(2)
        ),
        (2, Some(20), Some(30))
    );
    // the message of the old b is still open, so c gets a new position; once the message has ended, d can reuse a
    // position
    assert_eq!(classes.replace(&[class("c", 5)], |at| at == 1), [3]);
    assert_eq!(
        (classes.position("a"), classes.position("b")),
        (usize::MAX, usize::MAX)
    );
    assert_eq!(classes.name(1), "b");
    assert_eq!(
        classes.replace(&[class("c", 5), class("d", 5)], |_| false),
        [0]
    );
    // a class that is added back unchanged gets its old position, if that position still holds the class
    assert_eq!(
        classes.replace(&[class("c", 5), class("b", 30)], |_| false),
        []
    );
    assert_eq!(classes.position("b"), 2);
}

#[test]
fn repeated_reloads_do_not_grow_the_table() {
    let mut classes = ClassTable::new(&[class("a", 1)]);
    for deadline in 2..200 {
        classes.replace(&[class("a", deadline)], |_| false);
    }
    assert!(classes.all().len() <= 3, "{}", classes.all().len());
}
